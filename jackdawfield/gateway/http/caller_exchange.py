"""Receive one request of a caller and run its handler."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import logging
import time

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine

from jackdawfield.decoding import MAX_COUNT_DIGITS
from jackdawfield.decoding import parse_count
from jackdawfield.gateway.http.caller_limits import NO_STATUS
from jackdawfield.gateway.http.caller_limits import RETRY_S
from jackdawfield.gateway.http.caller_limits import STATUS_UNAVAILABLE
from jackdawfield.gateway.http.caller_stream import CallerStream
from jackdawfield.gateway.http.caller_stream import CloseReason
from jackdawfield.gateway.http.memory_budget import FIELD_BYTES
from jackdawfield.gateway.http.reply import Reply
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# Limit of a body until the configuration sets one.
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
# Larger bodies are kept only if they are for a known route.
UNROUTED_BODY_BYTES = 16 * 1024
# A connection that waits longer for a request is closed. The limit is above
# the configured one for idle connections.
IDLE_LIMIT_S = 120.0
# Limit from the first byte of a request until its head is complete.
HEAD_TIMEOUT_S = 30.0
# Limit from a request's head until its body is complete.
BODY_TIMEOUT_S = 30.0
# Limit of a pause in which nothing of a body arrives.
BODY_STALL_S = 10.0
# Limit of a pause in which a caller reads nothing of a response.
READ_STALL_S = 10.0


class IncomingRequest:
    """Holds a caller's request as received.

    `arrived_at_s` is when its head arrived, by the monotonic clock. The body
    is dropped if no route was known for it when its head arrived.
    """

    __slots__ = (
        'arrived_at_s',
        'body',
        'is_body_dropped',
        'method',
        'raw_headers',
        'target',
    )

    def __init__(
        self,
        method: str,
        target: str,
        raw_headers: list[tuple[str, str]],
        body: bytes,
        arrived_at_s: float,
        is_body_dropped: bool = False,
    ) -> None:
        self.method = method
        self.target = target
        self.raw_headers = raw_headers
        self.body = body
        self.arrived_at_s = arrived_at_s
        self.is_body_dropped = is_body_dropped


RawHeaders = list[tuple[str, str]]
# Whether a route is known for a request's headers and target.
RouteCheck = Callable[[RawHeaders, str], bool]
Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


@dataclass(slots=True)
class ListenerState:
    """Holds what the exchanges of one listener share."""

    handler: Handler
    max_body_bytes: int = DEFAULT_BODY_BYTES
    has_route: RouteCheck = lambda *_: True
    in_flight: int = 0


class Exchange(HTTPMessageDelegate):
    """Receives one request and runs its handler."""

    def __init__(
        self, state: ListenerState, connection: HTTP1Connection
    ) -> None:
        self._state = state
        self._connection = connection
        assert isinstance(connection.stream, CallerStream)
        self._stream = connection.stream
        self._limits = self._stream.limits
        # A body in one piece is kept as it was received.
        self._body: bytes | bytearray = b''
        self._keeps_body = True
        self._request_line: RequestStartLine | None = None
        self._raw_headers: RawHeaders = []
        self._arrived_at_s = 0.0
        self._body_bytes = 0
        self._is_refused = False
        self._is_in_flight = False
        self._has_started = False
        self._task: asyncio.Task[None] | None = None
        self._stream.begin_request(self)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the request's head and count the request as in flight."""
        assert isinstance(start_line, RequestStartLine)
        self._request_line = start_line
        self._raw_headers = list(headers.get_all())
        if self._connection.params.no_keep_alive:
            # Without the header, Tornado does not promise a caller of
            # HTTP/1.0 to keep the connection open.
            headers.pop('Connection', None)
        self._arrived_at_s = time.monotonic()
        self._state.in_flight += 1
        self._is_in_flight = True
        self._stream.charge(len(self._raw_headers) * FIELD_BYTES)
        self._check_body(start_line, headers)

    def _check_body(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Refuse or drop a body that is too large by what is announced."""
        is_chunked = 'Transfer-Encoding' in headers
        if not is_chunked and 'Content-Length' not in headers:
            return
        # A longer number is too large by its first digits.
        digits = headers.get('Content-Length', '')[:MAX_COUNT_DIGITS]
        length = parse_count(digits)
        if length is not None and length > self._state.max_body_bytes:
            self._refuse_counted(STATUS_TOO_LARGE, 'body too large')
        elif is_chunked or length is None or length > UNROUTED_BODY_BYTES:
            self._keeps_body = self._state.has_route(
                self._raw_headers, start_line.path
            )

    def data_received(self, chunk: bytes) -> None:
        """Store a piece of the body, or refuse a body that is too large."""
        if self._is_refused:
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > self._state.max_body_bytes:
            self._refuse_counted(STATUS_TOO_LARGE, 'body too large')
            return
        if not self._keeps_body:
            self._stream.charge(-len(chunk))
        elif not self._body:
            self._body = chunk
        elif isinstance(self._body, bytearray):
            self._body += chunk
        else:
            self._body = bytearray(self._body) + chunk

    def _refuse_body(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        """Answer before the whole body was read, and close the connection."""
        self._is_refused = True
        self._body = b''
        Reply(self._connection).send(status, text, retry_after_s)
        self._end()

    def _refuse_counted(self, status: int, reason: str) -> None:
        """Refuse a body, and count and log why."""
        self._refuse_body(status, reason)
        self._limits.refusals.add(
            reason,
            status,
            address=self._stream.address,
            read_bytes=self._body_bytes,
        )

    def _end(self) -> None:
        """Count the request as no longer in flight, once."""
        if self._is_in_flight:
            self._is_in_flight = False
            self._state.in_flight -= 1

    def finish(self) -> None:
        """Start the handler; Tornado calls this once a request is complete."""
        if self._is_refused:
            return
        copies = self._limits.admit_body(self._stream, len(self._body))
        if copies is None:
            status = self.refuse_unfinished('memory')
            self._limits.refusals.add(
                'memory',
                status,
                address=self._stream.address,
                read_bytes=self._body_bytes,
            )
            return
        # Tornado turns TCP_NODELAY off after each response.
        self._connection.stream.set_nodelay(True)
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(lambda _: self._end_handled(copies))
        self._connection.set_close_callback(self.cancel_handler)

    def _end_handled(self, copies: int) -> None:
        self._end()
        if copies:
            self._limits.end_body(self._stream, copies)

    @property
    def is_handled(self) -> bool:
        """Return whether the request is whole or refused."""
        return self._task is not None or self._is_refused

    def refuse_unfinished(self, reason: str) -> int:
        """Refuse a request that is not handled yet, if its head is known.

        Return the status of the refusal, 0 without one.
        """
        if self.is_handled or self._request_line is None:
            return NO_STATUS
        self._refuse_body(
            STATUS_UNAVAILABLE, f'callers exceed limits: {reason}', RETRY_S
        )
        return STATUS_UNAVAILABLE

    def on_connection_close(self) -> None:
        """Handle a connection that closed before its request was complete.

        Without a handler's task, a request in flight ends here. A connection
        that closes later cancels the task, which then ends the request.
        """
        if self._task is None:
            self._end()

    def _log_unanswered(self) -> None:
        """Log a whole request whose connection closed before its answer."""
        now_s = time.monotonic()
        first_read_at_s = self._stream.first_read_at_s or now_s
        line = self._request_line
        log_event(
            LOG,
            'request_on_closed_connection',
            logging.WARNING,
            target=line.path if line else '',
            closed_by=self._stream.close_reason.value,
            first_read_ms=round((now_s - first_read_at_s) * 1000),
            head_parsed_ms=round((now_s - self._arrived_at_s) * 1000),
        )

    @property
    def is_idle(self) -> bool:
        """Return whether nothing of the request has arrived."""
        return self._stream.awaits_request

    def close_expired(self, now_s: float) -> None:
        """End what makes no progress, or an idle connection."""
        stream = self._stream
        stalled_s = now_s - stream.progress_at_s
        if stream.unread_bytes and stalled_s > READ_STALL_S:
            self._limits.refusals.add(
                'response not read', NO_STATUS, address=stream.address
            )
            self.close(CloseReason.NOT_READ)
            return
        first_read_at_s = stream.first_read_at_s
        if self._request_line is not None:
            self._refuse_slow_body(now_s)
            return
        if first_read_at_s is not None:
            if now_s - first_read_at_s > HEAD_TIMEOUT_S and stream.reading():
                self.close(CloseReason.HEAD_TIMEOUT)
        elif now_s - stream.idle_since_s > IDLE_LIMIT_S and self.is_idle:
            self.close(CloseReason.IDLE_LIMIT)

    def _refuse_slow_body(self, now_s: float) -> None:
        """Refuse a body that is incomplete at its limit.

        The stream awaits more only once what it has read is parsed.
        """
        is_receiving = self._task is None and not self._is_refused
        is_late = (
            now_s - self._arrived_at_s > BODY_TIMEOUT_S
            or now_s - self._stream.progress_at_s > BODY_STALL_S
        )
        if is_receiving and is_late and self._stream.reading():
            self._refuse_counted(STATUS_TIMEOUT, 'body incomplete')

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return not self._stream.closed()

    def close(self, reason: CloseReason) -> None:
        """Close the connection."""
        self._stream.close_for(reason)

    def cancel_handler(self) -> None:
        """Cancel the handler of a request in flight, once it has started.

        A task that is cancelled before its first step could not respond.
        """
        if self._task is not None and self._has_started:
            self._task.cancel()

    def _take_body(self) -> bytes:
        """Return the body, which is then kept by the request only."""
        body, self._body = self._body, b''
        return bytes(body)

    async def _run(self) -> None:
        self._has_started = True
        if self._stream.closed():
            # Nobody can receive the answer, and no close ends the handler.
            self._log_unanswered()
            return
        line = self._request_line
        assert line is not None
        reply = Reply(
            self._connection,
            has_body=line.method != 'HEAD',
            accepts_chunks=line.version != 'HTTP/1.0',
        )
        request = IncomingRequest(
            line.method,
            line.path,
            self._raw_headers,
            self._take_body(),
            self._arrived_at_s,
            is_body_dropped=not self._keeps_body and self._body_bytes > 0,
        )
        try:
            await self._state.handler(request, reply)
        except asyncio.CancelledError:
            reply.abort()
        except Exception:
            LOG.exception('event=handler_failed')
            if reply.has_written:
                reply.abort()
            else:
                reply.send(500, 'internal error')
        finally:
            if not reply.has_ended:
                reply.abort()
