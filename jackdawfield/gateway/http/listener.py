"""Serve callers over HTTP/1.1: read requests and write responses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket
import time

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPOutputError
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler
from tornado.netutil import bind_sockets

from jackdawfield.gateway.calls import CONNECTION_HEADERS
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Stage
from jackdawfield.gateway.http.caller_stream import CallerStream
from jackdawfield.gateway.http.caller_stream import CloseReason
from jackdawfield.gateway.http.connection import BodyEnd
from jackdawfield.gateway.http.connection import ResponseHead
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# Limit of a body until the configuration sets one.
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
# Tornado closes a connection whose body is larger or arrives for longer. The
# listener keeps and accepts less.
MAX_BODY_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
STATUS_TOO_LARGE = 413
ACCEPT_BACKLOG = 1024
# 256 KiB for the request line and all headers.
MAX_HEADER_BYTES = 262144
# A connection that waits longer for a request is closed. The limit is above
# the configured one for idle connections.
IDLE_LIMIT_S = 120.0
# Limit from the first byte of a request until its head is complete.
HEAD_TIMEOUT_S = 30.0
EXPIRY_INTERVAL_S = 5.0
PHRASES_BY_STATUS = responses


class IncomingRequest:
    """Holds a caller's request as received.

    `arrived_at_s` is when its head arrived, by the monotonic clock.
    """

    __slots__ = ('arrived_at_s', 'body', 'method', 'raw_headers', 'target')

    def __init__(
        self,
        method: str,
        target: str,
        raw_headers: list[tuple[str, str]],
        body: bytes,
        arrived_at_s: float,
    ) -> None:
        self.method = method
        self.target = target
        self.raw_headers = raw_headers
        self.body = body
        self.arrived_at_s = arrived_at_s


class Reply:
    """Represents one response to a caller and writes it.

    The head is written together with the first piece of the body. A response
    has ended once it was finished or aborted.
    """

    def __init__(
        self, connection: HTTP1Connection, has_body: bool = True
    ) -> None:
        self._connection = connection
        # Whether a response to the request's method has a body.
        self._has_body = has_body
        assert isinstance(connection.stream, CallerStream)
        self._stream = connection.stream
        # The head that was set and is not yet written.
        self._head: tuple[ResponseStartLine, HTTPHeaders] | None = None
        # What the call waits for, logged if its caller leaves or it times out.
        self.stage = Stage.RATE
        self.has_written = False
        self.has_ended = False
        self.status = 0

    @property
    def closed_by(self) -> CloseReason | None:
        """Return what closed the connection, None while it is open."""
        return self._stream.close_reason if self._stream.closed() else None

    def send(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        """Write a complete plain-text response made by this instance."""
        body = text.encode() + b'\n'
        headers = HTTPHeaders(
            {'Content-Type': 'text/plain', 'Content-Length': str(len(body))}
        )
        if retry_after_s is not None:
            headers['Retry-After'] = f'{retry_after_s:.3f}'
        self._head = _start_line(status), headers
        self.status = status
        ignore_write_error(self._write(body if self._has_body else b''))
        self.finish()

    def set_head(self, head: ResponseHead) -> None:
        """Set the head from that of a backend server's response.

        Headers of the connection to the server are left out.
        """
        headers = HTTPHeaders()
        for name, value in head.headers:
            if name.lower() not in CONNECTION_HEADERS:
                headers.add(name, value)
        self._head = _start_line(head.status), headers
        self.status = head.status

    def _write(self, piece: bytes) -> Awaitable[None]:
        head, self._head = self._head, None
        self.has_written = True
        if head is None:
            return self._connection.write(piece)
        line, headers = head
        if self._connection.params.no_keep_alive:
            headers['Connection'] = 'close'
        return self._connection.write_headers(line, headers, piece)

    async def write(self, piece: bytes) -> bool:
        """Write a piece of the body; False if the caller disconnected."""
        try:
            await self._write(piece)
        except StreamClosedError:
            return False
        return True

    def finish(self) -> None:
        """Complete the response."""
        self.has_ended = True
        if self._connection.params.no_keep_alive:
            # Tornado closes the connection once the response is written.
            self._stream.close_reason = CloseReason.LAST_RESPONSE
        if self._head is not None:
            ignore_write_error(self._write(b''))
        try:
            self._connection.finish()
        except HTTPOutputError:
            LOG.warning('event=answer_shorter_than_announced')

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self.has_ended = True
        self._connection.close()

    def end_incomplete(self, end: BodyEnd | None) -> Failure | None:
        """End a response whose body is incomplete.

        The end is None if the caller has disconnected. If the caller is
        connected and nothing was written, return a failure to send in place
        of the head that was set; otherwise abort the response.
        """
        if end is not None and not self.has_written:
            return Failure(502, 'answer cut')
        self.abort()
        return None


def _start_line(status: int) -> ResponseStartLine:
    phrase = PHRASES_BY_STATUS.get(status, 'Unknown')
    return ResponseStartLine('HTTP/1.1', status, phrase)


def ignore_write_error(written: Awaitable[None]) -> None:
    """Start a write and ignore its error if the caller has disconnected.

    In that case the connection's close callback cancels the handler.
    """
    future = asyncio.ensure_future(written)
    future.add_done_callback(lambda f: f.cancelled() or f.exception())


Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class _Exchange(HTTPMessageDelegate):
    """Receives one request and runs its handler."""

    def __init__(
        self, listener: 'HttpListener', connection: HTTP1Connection
    ) -> None:
        self._listener = listener
        self._connection = connection
        assert isinstance(connection.stream, CallerStream)
        self._stream = connection.stream
        self._stream.begin_request()
        self._pieces: list[bytes] = []
        self._request_line: RequestStartLine | None = None
        self._raw_headers: list[tuple[str, str]] = []
        self._arrived_at_s = 0.0
        self._body_bytes = 0
        self._is_refused = False
        self._is_in_flight = False
        self._has_started = False
        self._task: asyncio.Task[None] | None = None

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
            # Tornado would promise a caller of HTTP/1.0 to keep it open.
            headers.pop('Connection', None)
        self._arrived_at_s = time.monotonic()
        self._listener.in_flight += 1
        self._is_in_flight = True
        length = headers.get('Content-Length', '')
        if length.isdecimal() and int(length) > self._listener.max_body_bytes:
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """Store a piece of the body, or refuse a body that is too large."""
        if self._is_refused:
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > self._listener.max_body_bytes:
            self._refuse_body()
            return
        self._pieces.append(chunk)

    def _refuse_body(self) -> None:
        """Answer before the whole body was read, and close the connection."""
        self._is_refused = True
        self._pieces.clear()
        self._connection.no_keep_alive = True
        Reply(self._connection).send(STATUS_TOO_LARGE, 'body too large')
        self._end()
        log_event(LOG, 'body_refused', logging.WARNING, read=self._body_bytes)

    def _end(self) -> None:
        """Count the request as no longer in flight, once."""
        if self._is_in_flight:
            self._is_in_flight = False
            self._listener.in_flight -= 1

    def finish(self) -> None:
        """Start the handler; Tornado calls this once a request is complete."""
        if self._is_refused:
            return
        # Tornado turns TCP_NODELAY off after each response.
        self._connection.stream.set_nodelay(True)
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(lambda _: self._end())
        self._connection.set_close_callback(self.cancel_handler)

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
        """Close a connection that waits too long for a request's head."""
        stream = self._stream
        first_read_at_s = stream.first_read_at_s
        if self._request_line is not None:
            return
        if first_read_at_s is not None:
            if now_s - first_read_at_s > HEAD_TIMEOUT_S and stream.reading():
                self.close(CloseReason.HEAD_TIMEOUT)
        elif now_s - stream.idle_since_s > IDLE_LIMIT_S and self.is_idle:
            self.close(CloseReason.IDLE_LIMIT)

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return not self._stream.closed()

    def close(self, reason: CloseReason) -> None:
        """Close an idle connection."""
        self._stream.close_for(reason)

    def cancel_handler(self) -> None:
        """Cancel the handler of a request in flight.

        A task that is cancelled before its first step could not respond.
        """
        if self._task is not None and self._has_started:
            self._task.cancel()

    async def _run(self) -> None:
        self._has_started = True
        if self._stream.closed():
            # Nobody can receive the answer, and no close ends the handler.
            self._log_unanswered()
            return
        line = self._request_line
        assert line is not None
        reply = Reply(self._connection, has_body=line.method != 'HEAD')
        request = IncomingRequest(
            line.method,
            line.path,
            self._raw_headers,
            b''.join(self._pieces),
            self._arrived_at_s,
        )
        try:
            await self._listener.handler(request, reply)
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


class HttpListener(HTTPServerConnectionDelegate):
    """Represents an HTTP server that passes each request to a handler."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.in_flight = 0
        self.max_body_bytes = DEFAULT_BODY_BYTES
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self._connections: set[HTTP1ServerConnection] = set()
        # The present or next exchange of each connection that is served.
        self._exchanges_by_connection: dict[
            HTTP1ServerConnection, _Exchange
        ] = {}
        self._params = HTTP1ConnectionParameters(
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._expiry_timer: asyncio.TimerHandle | None = None

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(request_conn, HTTP1Connection)
        exchange = _Exchange(self, request_conn)
        self._exchanges_by_connection[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._connections.discard(server_conn)
        self._exchanges_by_connection.pop(server_conn, None)

    def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._schedule_expiry()
        for sock in bind_sockets(port, host, backlog=ACCEPT_BACKLOG):
            self._sockets.append(sock)
            self._stop_accepting.append(
                add_accept_handler(sock, self._serve_connection)
            )

    def _serve_connection(
        self, connection: socket.socket, address: tuple[str, int]
    ) -> None:
        stream = CallerStream(connection)
        served = HTTP1ServerConnection(stream, self._params, address)
        # Its first exchange begins in the next turn of the event loop.
        self._connections.add(served)
        served.start_serving(self)

    def _schedule_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(
            EXPIRY_INTERVAL_S, self._close_expired
        )

    def _close_expired(self) -> None:
        now_s = time.monotonic()
        for exchange in self._exchanges_by_connection.values():
            exchange.close_expired(now_s)
        self._schedule_expiry()

    def disable_keep_alive(self) -> None:
        """Close each connection after its current or next response."""
        self._params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Stop accepting, after the connections that were established.

        Closing the socket would reset those that wait to be accepted.
        """
        for stop_accepting in self._stop_accepting:
            stop_accepting()
        for sock in self._sockets:
            self._accept_waiting(sock)
            sock.close()
        self._stop_accepting.clear()
        self._sockets.clear()

    def _accept_waiting(self, sock: socket.socket) -> None:
        while True:
            try:
                connection, address = sock.accept()
            except OSError as error:
                if not isinstance(error, BlockingIOError):
                    log_event(LOG, 'accept_failed', reason=error)
                return
            self._serve_connection(connection, address)

    def close_idle(self) -> None:
        """Close the connections on which nothing of a request has arrived.

        What has arrived is answered, also if it is not read or parsed yet.
        """
        exchanges = self._exchanges_by_connection.values()
        idle = [exchange for exchange in exchanges if exchange.is_idle]
        for exchange in idle:
            exchange.close(CloseReason.IDLE_AT_STOP)
        if idle:
            log_event(
                LOG,
                'idle_connections_closed',
                count=len(idle),
                in_flight=self.in_flight,
            )

    @property
    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return bool(self._sockets)

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def is_busy(self) -> bool:
        """Return whether requests are arriving or in flight."""
        return self.in_flight > 0 or any(
            exchange.is_open and not exchange.is_idle
            for exchange in self._exchanges_by_connection.values()
        )

    def cancel_requests(self) -> None:
        """Cancel the handlers of the requests in flight.

        Their connections are open, so that a handler can still respond.
        """
        for exchange in self._exchanges_by_connection.values():
            exchange.cancel_handler()

    async def close(self) -> None:
        """Close every connection, also those with requests in flight."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        for connection in self._connections:
            assert isinstance(connection.stream, CallerStream)
            connection.stream.close_for(CloseReason.PROCESS_END)
        for connection in list(self._connections):
            await connection.close()
