"""Keeps HTTP connections to servers and says what became of a request."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum
import socket
import time
from typing import cast

import h11
from result import Err
from result import Ok
from result import Result

MAX_HEAD_BYTES = 65536
# The kernel gives up on a peer that acknowledges nothing for this long.
USER_TIMEOUT_MS = 3000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A server that names no idle timeout is taken to wait at least this long.
DEFAULT_IDLE_S = 3.0
# Left between the own end of an idle connection and the server's.
IDLE_MARGIN_S = 0.7
PAUSE_BYTES = 262144


class Fault(Enum):
    """Says whether a request without an answer may have reached a server."""

    NOT_SENT = 'not sent'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class ExchangeError:
    """Reports an exchange without a whole answer."""

    fault: Fault
    reason: str


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Holds a request; the echoed header names it in its answer."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    echo_header: str = ''
    echo_value: str = ''


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Holds the status and the headers of an answer."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the value of a header named in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class BodyEnd(Enum):
    """Says how the body of an answer ended."""

    WHOLE = 'whole'
    CUT = 'cut'


Part = ResponseHead | bytes | BodyEnd


class Connection(asyncio.Protocol):
    """Carries one request at a time and never sends one twice."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._parts: deque[Part] = deque()
        self._buffered = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._request: OutgoingRequest | None = None
        self._foreign = False
        self._ended = False
        self._lost = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self.lost_reason = ''
        self.idle_until_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's time limits."""
        # Not every event loop's transports derive from asyncio's classes.
        self._transport = cast(asyncio.Transport, transport)
        limit_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what a server sends."""
        if self._request is None or self._ended:
            # Bytes that no request waits for belong to no request.
            self.abort('bytes without a request')
            return
        self._parser.receive_data(data)
        self._parse()

    def eof_received(self) -> bool:
        """Let an answer without a length end."""
        if self._request is not None and not self._ended:
            self._parser.receive_data(b'')
            self._parse()
        self._lose('closed by the server')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange that is under way."""
        self._lose(str(exc) if exc else 'closed')

    def _lose(self, reason: str) -> None:
        if self._lost:
            return
        self._lost = True
        self.lost_reason = reason
        if self._request is not None and not self._ended:
            self._push(BodyEnd.CUT)

    def _parse(self) -> None:
        try:
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self.abort(f'malformed answer: {error}')

    def _parse_events(self) -> None:
        while not self._ended and not self._lost:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._take_head(event)
                case h11.Data(data=data):
                    if not self._foreign:
                        self._buffered += len(data)
                        self._push(bytes(data))
                case h11.EndOfMessage():
                    self._take_end()
                case h11.ConnectionClosed():
                    self._lose('closed by the server')
                    return
                case h11.NEED_DATA | h11.PAUSED:
                    break
        if self._paused or self._buffered <= PAUSE_BYTES:
            return
        if self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def _take_head(self, event: h11.Response) -> None:
        head = ResponseHead(
            event.status_code,
            event.reason.decode('latin-1'),
            tuple(
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in event.headers.raw_items()
            ),
        )
        request = self._request
        assert request is not None
        echoed = head.get(request.echo_header) if request.echo_header else None
        if echoed is not None and echoed != request.echo_value:
            # A late answer to an earlier request; this one's is still due.
            self._foreign = True
            return
        self._idle_limit_s = idle_limit_s(head)
        self._push(head)

    def _take_end(self) -> None:
        if not self._foreign:
            self._ended = True
            self._push(BodyEnd.WHOLE)
            return
        rest, closed = self._parser.trailing_data
        self._foreign = False
        request = self._request
        assert request is not None
        if closed or self._parser.their_state is h11.MUST_CLOSE:
            self.abort('late answer ended the connection')
            return
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        encode_request(self._parser, request)
        if rest:
            self._parser.receive_data(rest)

    def _push(self, part: Part) -> None:
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def usable(self) -> bool:
        """Return whether the connection may take another request."""
        transport = self._transport
        return (
            not self._lost
            and transport is not None
            and not transport.is_closing()
        )

    def send(self, request: OutgoingRequest) -> Result[None, ExchangeError]:
        """Write a request once; an error says that none of it left."""
        if not self.usable or self._transport is None:
            return Err(ExchangeError(Fault.NOT_SENT, self.lost_reason))
        data = encode_request(self._parser, request)
        self._request = request
        self._ended = False
        self._foreign = False
        self._transport.write(data)
        return Ok(None)

    async def next_part(self) -> Part:
        """Return the head, then pieces of the body, then its end."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, bytes):
            self._buffered -= len(part)
            self._resume_reading()
        return part

    def _resume_reading(self) -> None:
        if not self._paused or self._buffered > PAUSE_BYTES // 2:
            return
        if self.usable and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def finish(self) -> bool:
        """Return whether the connection may be kept after an exchange."""
        parser = self._parser
        transport = self._transport
        rest, closed = parser.trailing_data
        clean = (
            self._ended
            and not rest
            and not closed
            and self.usable
            and transport is not None
            and transport.get_write_buffer_size() == 0
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
        )
        if not clean:
            self.abort('not reusable')
            return False
        parser.start_next_cycle()
        self._request = None
        self._parts.clear()
        self.idle_until_s = time.monotonic() + self._idle_limit_s
        return True

    def abort(self, reason: str) -> None:
        """Close the connection at once; work on its request is dropped."""
        self._lose(reason)
        if self._transport is not None:
            self._transport.abort()


def limit_silence(transport: asyncio.BaseTransport) -> None:
    """Let a connection to a silent peer end after a few seconds."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def encode_request(parser: h11.Connection, request: OutgoingRequest) -> bytes:
    """Return a request's bytes and move the parser to await its answer."""
    headers = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in request.headers
    ]
    if request.body or request.method in ('POST', 'PUT', 'PATCH'):
        headers.append((b'Content-Length', b'%d' % len(request.body)))
    data = parser.send(
        h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    )
    if request.body:
        data += parser.send(h11.Data(data=request.body))
    return data + parser.send(h11.EndOfMessage())


def idle_limit_s(head: ResponseHead) -> float:
    """Return how long a connection may stay idle after an answer."""
    text = head.get('keep-alive') or ''
    for item in text.split(','):
        name, _, value = item.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
