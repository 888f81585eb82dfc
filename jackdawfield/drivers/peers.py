"""Exchange typed messages between instances over gRPC streams.

An exchange is one request with its answers. A link is one bidirectional
stream to a peer, shared by concurrent exchanges. A frame is one message of an
exchange on the stream.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
import itertools
import logging
import time
from typing import Any

import grpc
import grpc.aio
import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.logs import log_event
from jackdawfield.messages.base import decode
from jackdawfield.messages.base import encode

LOG = logging.getLogger(__name__)
SERVICE = 'jackdawfield.Fleet'
METHOD = 'Exchange'
PATH = f'/{SERVICE}/{METHOD}'
MAX_IN_FLIGHT = 2_000
# An open connection can stop carrying data while new ones work.
TIMEOUTS_TO_REOPEN = 3
MAX_FRAME_BYTES = 64 * 1024 * 1024
# Exchange number of the frame by which a peer announces its stop; exchanges
# count from 1. Its body is the number of the last exchange that it has taken.
STOPPING_EXCHANGE = 0
# Name of a failed frame for an exchange that the peer has not taken.
NOT_TAKEN = 'not taken'
STOP_CHECK_S = 0.01
GRPC_OPTIONS = [
    ('grpc.enable_retries', 0),
    ('grpc.max_receive_message_length', MAX_FRAME_BYTES),
    ('grpc.max_send_message_length', MAX_FRAME_BYTES),
    ('grpc.keepalive_time_ms', 10_000),
    ('grpc.keepalive_timeout_ms', 5_000),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1_000),
    ('grpc.so_reuseport', 0),
    # With a shared pool, a new channel would reuse the old connection.
    ('grpc.use_local_subchannel_pool', 1),
]


class FrameKind(Enum):
    """Lists the kinds of frames.

    OPEN carries the request, ITEM one answer. END, FAILED and CANCEL end the
    exchange, the last one from the requester.
    """

    OPEN = 0
    ITEM = 1
    END = 2
    FAILED = 3
    CANCEL = 4


@dataclass(frozen=True, slots=True)
class Frame:
    """Holds one message of one exchange.

    The name is that of the message class; with FAILED, the body is the reason
    as text, and the name may be NOT_TAKEN.
    """

    exchange: int
    kind: FrameKind
    name: str = ''
    body: bytes = b''


class PeerFault(Enum):
    """Lists the reasons for which an exchange with a peer fails.

    After NOT_SENT the peer has not received the request; after LOST that is
    unknown. After FAILED it has reported an error or sent no valid answer.
    """

    NOT_SENT = 'not sent'
    LOST = 'lost'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class PeerError:
    """Reports a failed exchange."""

    fault: PeerFault
    reason: str


Handler = Callable[[Any], AsyncIterator[object]]
UnaryHandler = Callable[[Any], Awaitable[object]]


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    return msgspec.msgpack.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Decode a frame from MessagePack."""
    return msgspec.msgpack.decode(data, type=Frame)


def not_taken_frame(exchange: int) -> Frame:
    """Return the frame that ends an exchange that the peer has not taken."""
    return Frame(exchange, FrameKind.FAILED, NOT_TAKEN, b'peer is stopping')


def remove_task(
    tasks: dict[int, asyncio.Task[None]],
    exchange: int,
    task: asyncio.Task[None],
) -> None:
    """Remove the task of an exchange that has ended."""
    tasks.pop(exchange, None)


class Link:
    """Holds a bidirectional stream to a peer and its open exchanges."""

    def __init__(
        self, address: str, credentials: grpc.ChannelCredentials | None
    ) -> None:
        self.address = address
        if credentials is None:
            self._channel = grpc.aio.insecure_channel(address, GRPC_OPTIONS)
        else:
            self._channel = grpc.aio.secure_channel(
                address, credentials, GRPC_OPTIONS
            )
        self._exchange_numbers = itertools.count(1)
        self._queues_by_exchange: dict[int, asyncio.Queue[Frame]] = {}
        # None ends the stream.
        self._outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._read_task: asyncio.Task[None] | None = None
        self.is_broken = False
        self.is_peer_stopping = False
        # Requests that have timed out since the last frame arrived.
        self.timeouts_in_silence = 0

    def start(self) -> None:
        """Open the stream in the background."""
        self._read_task = asyncio.create_task(self._read())

    async def _send(self) -> AsyncIterator[bytes]:
        while (data := await self._outgoing.get()) is not None:
            yield data

    async def _read(self) -> None:
        method: Any = self._channel.stream_stream(PATH)
        call = method(self._send(), wait_for_ready=False)
        reason = 'stream closed'
        try:
            async for data in call:
                self.timeouts_in_silence = 0
                self._receive(decode_frame(data))
        except grpc.aio.AioRpcError as error:
            reason = f'{error.code().name}: {error.details()}'
        finally:
            self.is_broken = True
            self._outgoing.put_nowait(None)
            for number, queue in self._queues_by_exchange.items():
                failed_frame = Frame(
                    number, FrameKind.FAILED, '', reason.encode()
                )
                queue.put_nowait(failed_frame)

    def _receive(self, frame: Frame) -> None:
        if frame.exchange == STOPPING_EXCHANGE:
            self._end_not_taken(int(frame.body))
            return
        queue = self._queues_by_exchange.get(frame.exchange)
        if queue is not None:
            queue.put_nowait(frame)

    def _end_not_taken(self, last_taken: int) -> None:
        """End the exchanges that a stopping peer has not taken."""
        self.is_peer_stopping = True
        for number, queue in self._queues_by_exchange.items():
            if number > last_taken:
                queue.put_nowait(not_taken_frame(number))

    def _unusable_reason(self) -> str | None:
        """Return why no exchange can begin, None if one can."""
        if self.is_broken:
            return 'broken'
        if self.is_peer_stopping:
            return 'peer is stopping'
        if len(self._queues_by_exchange) >= MAX_IN_FLIGHT:
            return 'too many in flight'
        return None

    async def exchange(
        self, message: object
    ) -> AsyncIterator[Result[Any, PeerError]]:
        """Send a message and yield the peer's answers; an error ends them."""
        reason = self._unusable_reason()
        if reason is not None:
            yield Err(PeerError(PeerFault.NOT_SENT, reason))
            return
        number = next(self._exchange_numbers)
        queue: asyncio.Queue[Frame] = asyncio.Queue()
        self._queues_by_exchange[number] = queue
        name, body = encode(message)
        open_frame = Frame(number, FrameKind.OPEN, name, body)
        self._outgoing.put_nowait(encode_frame(open_frame))
        has_ended = False
        try:
            while not has_ended:
                frame = await queue.get()
                has_ended = frame.kind is not FrameKind.ITEM
                for result in self._results(frame):
                    yield result
        finally:
            del self._queues_by_exchange[number]
            if not has_ended and not self.is_broken:
                cancel_frame = Frame(number, FrameKind.CANCEL)
                self._outgoing.put_nowait(encode_frame(cancel_frame))

    def _results(self, frame: Frame) -> list[Result[Any, PeerError]]:
        match frame.kind:
            case FrameKind.ITEM:
                return [
                    decode(frame.name, frame.body).map_err(
                        lambda e: PeerError(PeerFault.FAILED, str(e))
                    )
                ]
            case FrameKind.FAILED:
                reason = frame.body.decode(errors='replace')
                return [Err(PeerError(self._fault(frame), reason))]
            case _:
                return []

    def _fault(self, failed_frame: Frame) -> PeerFault:
        if failed_frame.name == NOT_TAKEN:
            return PeerFault.NOT_SENT
        return PeerFault.LOST if self.is_broken else PeerFault.FAILED

    async def close(self) -> None:
        """Close the stream and its channel."""
        if self._read_task is not None:
            self._read_task.cancel()
        await self._channel.close()


class ServedLink:
    """Holds a peer's stream to this instance and its exchanges."""

    def __init__(self) -> None:
        # Number of the last exchange, below the first one's before any.
        self.last_taken = 0
        self.tasks_by_exchange: dict[int, asyncio.Task[None]] = {}
        # None ends the stream.
        self.outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()

    def send(self, frame: Frame) -> None:
        """Send a frame to the peer."""
        self.outgoing.put_nowait(encode_frame(frame))

    def announce_stop(self) -> None:
        """Tell the peer which exchanges were taken, and that none will be."""
        body = str(self.last_taken).encode()
        self.send(Frame(STOPPING_EXCHANGE, FrameKind.END, '', body))

    def take(self, exchange: int, task: asyncio.Task[None]) -> None:
        """Hold the task that answers an exchange until it has ended."""
        self.last_taken = exchange
        self.tasks_by_exchange[exchange] = task
        remove = partial(remove_task, self.tasks_by_exchange, exchange)
        task.add_done_callback(remove)

    def cancel(self, exchange: int) -> None:
        """Cancel an exchange that its requester has given up."""
        task = self.tasks_by_exchange.pop(exchange, None)
        if task is not None:
            task.cancel()

    def end(self) -> None:
        """End the stream after what was sent."""
        self.outgoing.put_nowait(None)


class PeerServer:
    """Serves exchanges with the handlers of their message classes."""

    def __init__(self) -> None:
        self._handlers_by_name: dict[str, Handler] = {}
        self._server: grpc.aio.Server | None = None
        self._links: set[ServedLink] = set()
        self._is_stopping = False
        self.open_exchange_count = 0

    def handle_stream(self, cls: type, handler: Handler) -> None:
        """Register a handler that answers with a stream of messages."""
        self._handlers_by_name[cls.__name__] = handler

    def handle(self, cls: type, handler: UnaryHandler) -> None:
        """Register a handler that answers with one message."""

        async def stream(message: Any) -> AsyncIterator[object]:
            yield await handler(message)

        self._handlers_by_name[cls.__name__] = stream

    async def start(
        self, address: str, credentials: grpc.ServerCredentials | None
    ) -> None:
        """Listen on an address, over TLS if credentials are given."""
        method: Any = grpc.stream_stream_rpc_method_handler(self._serve_stream)
        generic = grpc.method_handlers_generic_handler(
            SERVICE, {METHOD: method}
        )
        self._server = grpc.aio.server(options=GRPC_OPTIONS)
        self._server.add_generic_rpc_handlers((generic,))
        if credentials is None:
            self._server.add_insecure_port(address)
        else:
            self._server.add_secure_port(address, credentials)
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Take no more exchanges, answer those taken, and stop.

        What is not answered within the grace in seconds is cut.
        """
        if self._server is None:
            return
        deadline_s = time.monotonic() + grace_s
        self._is_stopping = True
        for link in self._links:
            link.announce_stop()
        while self.open_exchange_count and time.monotonic() < deadline_s:
            await asyncio.sleep(STOP_CHECK_S)
        for link in self._links:
            link.end()
        await self._server.stop(max(0.0, deadline_s - time.monotonic()))

    async def _serve_stream(
        self, frames: AsyncIterator[bytes], context: Any
    ) -> AsyncIterator[bytes]:
        link = ServedLink()
        self._links.add(link)
        if self._is_stopping:
            link.announce_stop()
        receiver = asyncio.create_task(self._receive(frames, link))
        try:
            while (data := await link.outgoing.get()) is not None:
                yield data
        except asyncio.CancelledError:
            # The peer has closed the stream; this is no error.
            return
        finally:
            self._links.discard(link)
            receiver.cancel()
            for task in list(link.tasks_by_exchange.values()):
                task.cancel()

    async def _receive(
        self, frames: AsyncIterator[bytes], link: ServedLink
    ) -> None:
        async for data in frames:
            frame = decode_frame(data)
            if frame.kind is FrameKind.CANCEL:
                link.cancel(frame.exchange)
            elif self._is_stopping:
                link.send(not_taken_frame(frame.exchange))
            else:
                answer = self._answer(frame, link)
                link.take(frame.exchange, asyncio.create_task(answer))
        link.end()

    async def _answer(self, frame: Frame, link: ServedLink) -> None:
        self.open_exchange_count += 1
        try:
            link.send(await self._run(frame, link))
        except Exception as error:
            LOG.exception('event=handler_failed message=%s', frame.name)
            reason = f'{frame.name}: {type(error).__name__}'
            link.send(
                Frame(frame.exchange, FrameKind.FAILED, '', reason.encode())
            )
        finally:
            self.open_exchange_count -= 1

    async def _run(self, frame: Frame, link: ServedLink) -> Frame:
        handler = self._handlers_by_name.get(frame.name)
        if handler is None:
            reason = f'no handler for {frame.name}'.encode()
            return Frame(frame.exchange, FrameKind.FAILED, '', reason)
        match decode(frame.name, frame.body):
            case Err(error):
                reason = str(error).encode()
                return Frame(frame.exchange, FrameKind.FAILED, '', reason)
            case Ok(message):
                async for answer in handler(message):
                    name, body = encode(answer)
                    link.send(
                        Frame(frame.exchange, FrameKind.ITEM, name, body)
                    )
        return Frame(frame.exchange, FrameKind.END)


class PeerLinks:
    """Holds one link for each peer address, opened at first use."""

    def __init__(
        self, credentials: grpc.ChannelCredentials | None = None
    ) -> None:
        self._credentials = credentials
        self._links_by_address: dict[str, Link] = {}

    def _link(self, address: str) -> Link:
        link = self._links_by_address.get(address)
        if link is not None and not link.is_broken:
            return link
        if link is not None:
            log_event(LOG, 'link_reopened', peer=address)
            asyncio.create_task(link.close())
        link = Link(address, self._credentials)
        self._links_by_address[address] = link
        link.start()
        return link

    def stream(
        self, address: str, message: object
    ) -> AsyncIterator[Result[Any, PeerError]]:
        """Send a message and yield the peer's answers; an error ends them."""
        return self._link(address).exchange(message)

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, PeerError]:
        """Send a message and return the peer's first answer.

        A timeout counts as LOST, since the peer may have the message.
        """
        link = self._link(address)
        try:
            async with asyncio.timeout(timeout_s):
                async for answer in link.exchange(message):
                    return answer
        except TimeoutError:
            await self._record_timeout(link)
            return Err(PeerError(PeerFault.LOST, 'timeout'))
        return Err(PeerError(PeerFault.FAILED, 'no answer'))

    async def _record_timeout(self, link: Link) -> None:
        """Close a link after repeated timeouts; the next use reopens it.

        A link on which frames arrive stays, since other exchanges use it.
        """
        link.timeouts_in_silence += 1
        if link.timeouts_in_silence < TIMEOUTS_TO_REOPEN:
            return
        if self._links_by_address.get(link.address) is not link:
            return
        del self._links_by_address[link.address]
        log_event(
            LOG,
            'link_silent',
            peer=link.address,
            timeouts=link.timeouts_in_silence,
        )
        await link.close()

    async def close(self) -> None:
        """Close all links."""
        for link in self._links_by_address.values():
            await link.close()
        self._links_by_address.clear()
