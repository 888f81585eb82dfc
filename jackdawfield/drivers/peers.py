"""Exchange typed messages between instances over gRPC streams.

An exchange is one request with its answers. A link is one bidirectional
stream to a peer, shared by concurrent exchanges. A frame is one message of an
exchange on the stream.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass
from enum import Enum
import itertools
import logging
import time
from typing import Any

import grpc
import grpc.aio
from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peer_frames import decode_frame
from jackdawfield.drivers.peer_frames import encode_frame
from jackdawfield.drivers.peer_frames import Frame
from jackdawfield.drivers.peer_frames import FrameKind
from jackdawfield.drivers.peer_frames import NOT_TAKEN
from jackdawfield.drivers.peer_frames import not_taken_frame
from jackdawfield.drivers.peer_frames import STOPPING_EXCHANGE
from jackdawfield.drivers.served_link import ServedLink
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


class PeerFault(Enum):
    """Lists the reasons for which an exchange with a peer fails.

    After NOT_SENT the peer has not received the request; after LOST that is
    unknown. After FAILED it has reported an error or sent no valid answer.
    After SILENT an answer is overdue, and the peer may have the request.
    """

    NOT_SENT = 'not sent'
    LOST = 'lost'
    FAILED = 'failed'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class PeerError:
    """Reports a failed exchange."""

    fault: PeerFault
    reason: str


NO_ANSWER: Err[PeerError] = Err(PeerError(PeerFault.FAILED, 'no answer'))
Handler = Callable[[Any], AsyncIterator[object]]
NoticeHandler = Callable[[Any], None]
IsLast = Callable[[Any], bool]
UnaryHandler = Callable[[Any], Awaitable[object]]


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
    ) -> AsyncGenerator[Result[Any, PeerError], None]:
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

    def notify(self, message: object) -> Result[None, PeerError]:
        """Send a message that has no answer."""
        reason = self._unusable_reason()
        if reason is not None:
            return Err(PeerError(PeerFault.NOT_SENT, reason))
        name, body = encode(message)
        # Older builds can't read another kind of frame; they answer this one
        # with a failure, which nobody waits for.
        number = next(self._exchange_numbers)
        notice = Frame(number, FrameKind.OPEN, name, body)
        self._outgoing.put_nowait(encode_frame(notice))
        return Ok(None)

    def _results(self, frame: Frame) -> list[Result[Any, PeerError]]:
        match frame.kind:
            case FrameKind.ITEM | FrameKind.LAST:
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


class PeerServer:
    """Serves exchanges with the handlers of their message classes."""

    def __init__(self) -> None:
        self._handlers_by_name: dict[str, Handler] = {}
        self._notice_handlers_by_name: dict[str, NoticeHandler] = {}
        # Tell the answer that ends an exchange, by name of its request.
        self._is_last_by_name: dict[str, IsLast] = {}
        self._server: grpc.aio.Server | None = None
        self._links: set[ServedLink] = set()
        self._is_stopping = False
        self.open_exchange_count = 0

    def handle_stream(
        self, cls: type, handler: Handler, is_last: IsLast | None = None
    ) -> None:
        """Register a handler that answers with a stream of messages.

        It ends with the answer for which `is_last` is true.
        """
        self._handlers_by_name[cls.__name__] = handler
        if is_last is not None:
            self._is_last_by_name[cls.__name__] = is_last

    def handle(self, cls: type, handler: UnaryHandler) -> None:
        """Register a handler that answers with one message."""

        async def stream(message: Any) -> AsyncIterator[object]:
            yield await handler(message)

        self._handlers_by_name[cls.__name__] = stream

    def handle_notice(self, cls: type, handler: NoticeHandler) -> None:
        """Register a handler of messages that have no answer."""
        self._notice_handlers_by_name[cls.__name__] = handler

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
            elif frame.name in self._notice_handlers_by_name:
                self._take_notice(frame)
            elif self._is_stopping:
                link.send(not_taken_frame(frame.exchange))
            else:
                answer = self._answer(frame, link)
                link.take(frame.exchange, asyncio.create_task(answer))
        link.end()

    def _take_notice(self, frame: Frame) -> None:
        handler = self._notice_handlers_by_name.get(frame.name)
        match decode(frame.name, frame.body):
            case Ok(message) if handler is not None:
                try:
                    handler(message)
                except Exception:
                    LOG.exception(
                        'event=handler_failed message=%s', frame.name
                    )
            case _:
                log_event(LOG, 'notice_not_taken', message=frame.name)

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
                is_last = self._is_last_by_name.get(frame.name)
                answers: Any = handler(message)
                async for answer in answers:
                    name, body = encode(answer)
                    if is_last is not None and is_last(answer):
                        await answers.aclose()
                        return Frame(
                            frame.exchange, FrameKind.LAST, name, body
                        )
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

    async def ask(
        self,
        address: str,
        message: object,
        wait_s: Callable[[Any], float | None],
        timeout_s: float,
    ) -> Result[Any, PeerError]:
        """Send a message and return the peer's last answer.

        `wait_s` returns for how long the next answer to the one given is
        waited for, None if that is the last; `timeout_s` is the time for the
        first one.
        """
        link = self._link(address)
        answers = link.exchange(message)
        left_s: float | None = timeout_s
        try:
            async with aclosing(answers):
                while left_s is not None:
                    async with asyncio.timeout(left_s):
                        found = await anext(answers, NO_ANSWER)
                    if isinstance(found, Err):
                        return found
                    left_s = wait_s(found.ok_value)
            return found
        except TimeoutError:
            await self._record_timeout(link)
            return Err(PeerError(PeerFault.SILENT, 'timeout'))

    def notify(self, address: str, message: object) -> Result[None, PeerError]:
        """Send a message that has no answer.

        It is lost if the link breaks before it has arrived.
        """
        return self._link(address).notify(message)

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
        return NO_ANSWER

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
