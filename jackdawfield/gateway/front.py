"""Takes callers' requests over HTTP and writes their answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import time

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPOutputError
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from jackdawfield.gateway.calls import CONNECTION_HEADERS
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Stage
from jackdawfield.gateway.connections import BodyEnd
from jackdawfield.gateway.connections import ResponseHead

LOG = logging.getLogger(__name__)
# Above what any configuration allows; the configured limit is checked later.
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HEADER_BYTES = 262144
# Idle connections end after the configured limit; this is the last resort.
IDLE_LIMIT_S = 120.0
REASONS_BY_STATUS = responses


class Received:
    """Holds a caller's request as it came in."""

    __slots__ = ('arrived_at_s', 'body', 'method', 'pairs', 'target')

    def __init__(
        self,
        method: str,
        target: str,
        pairs: list[tuple[str, str]],
        body: bytes,
        arrived_at_s: float,
    ) -> None:
        self.method = method
        self.target = target
        self.pairs = pairs
        self.body = body
        self.arrived_at_s = arrived_at_s


class Reply:
    """Writes one answer to a caller."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        # Goes out with the first piece of the body.
        self._head: tuple[ResponseStartLine, HTTPHeaders] | None = None
        self.stage = Stage.RATE
        self.started = False
        self.ended = False
        self.status = 0

    def send(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Write a whole answer of the system's own."""
        body = reason.encode() + b'\n'
        headers = HTTPHeaders(
            {'Content-Type': 'text/plain', 'Content-Length': str(len(body))}
        )
        if retry_after_s is not None:
            headers['Retry-After'] = f'{retry_after_s:.3f}'
        self._head = _start_line(status), headers
        self.status = status
        ignore_lost(self._write(body))
        self.finish()

    def start(self, head: ResponseHead) -> None:
        """Begin a server's answer; its head goes with the first piece."""
        headers = HTTPHeaders()
        for name, value in head.headers:
            if name.lower() not in CONNECTION_HEADERS:
                headers.add(name, value)
        self._head = _start_line(head.status), headers
        self.status = head.status

    def _write(self, piece: bytes) -> Awaitable[None]:
        head, self._head = self._head, None
        self.started = True
        if head is None:
            return self._connection.write(piece)
        line, headers = head
        return self._connection.write_headers(line, headers, piece)

    async def write(self, piece: bytes) -> bool:
        """Write a piece of the body; False if the caller has left."""
        try:
            await self._write(piece)
        except StreamClosedError:
            return False
        return True

    def finish(self) -> None:
        """End the answer as complete."""
        self.ended = True
        if self._head is not None:
            ignore_lost(self._write(b''))
        try:
            self._connection.finish()
        except HTTPOutputError:
            LOG.warning('event=answer_shorter_than_announced')

    def cut(self) -> None:
        """Close the connection so that the answer is not complete."""
        self.ended = True
        self._connection.close()

    def cut_short(self, end: BodyEnd | None) -> Failure | None:
        """End an answer that is not whole, whose end is None without caller.

        Return a failure to answer with if nothing has gone out yet.
        """
        if end is not None and not self.started:
            return Failure(502, 'answer cut')
        self.cut()
        return None


def _start_line(status: int) -> ResponseStartLine:
    phrase = REASONS_BY_STATUS.get(status, 'Unknown')
    return ResponseStartLine('HTTP/1.1', status, phrase)


def ignore_lost(written: Awaitable[None]) -> None:
    """Let a write to a caller that has left fail silently.

    The connection's own close callback tells the handler.
    """
    future = asyncio.ensure_future(written)
    future.add_done_callback(lambda f: f.cancelled() or f.exception())


Handler = Callable[[Received, Reply], Awaitable[None]]


class _Exchange(HTTPMessageDelegate):
    """Collects one request and runs its handler."""

    def __init__(self, front: 'Front', connection: HTTP1Connection) -> None:
        self._front = front
        self._connection = connection
        self._pieces: list[bytes] = []
        self._line: RequestStartLine | None = None
        self._pairs: list[tuple[str, str]] = []
        self._arrived_at_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take in the request's head."""
        self._front.idle.discard(self)
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._pairs = list(headers.get_all())
        self._arrived_at_s = time.monotonic()
        self._front.in_flight += 1

    def data_received(self, chunk: bytes) -> None:
        """Take in a piece of the body."""
        self._pieces.append(chunk)

    def finish(self) -> None:
        """Run the handler of the whole request."""
        # The HTTP library turns it off after each answer.
        self._connection.stream.set_nodelay(True)
        self._task = asyncio.create_task(self._run())
        self._connection.set_close_callback(self._left)

    def on_connection_close(self) -> None:
        """Forget a request that did not come in whole."""
        self._front.idle.discard(self)
        if self._line is not None and self._task is None:
            self._front.in_flight -= 1

    def close(self) -> None:
        """Close the connection that waits for a request."""
        self._connection.stream.close()

    def _left(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        reply = Reply(self._connection)
        line = self._line
        assert line is not None
        received = Received(
            line.method,
            line.path,
            self._pairs,
            b''.join(self._pieces),
            self._arrived_at_s,
        )
        try:
            await self._front.handler(received, reply)
        except asyncio.CancelledError:
            reply.cut()
        except Exception:
            LOG.exception('event=handler_failed')
            if reply.started:
                reply.cut()
            else:
                reply.send(500, 'internal error')
        finally:
            self._front.in_flight -= 1
            if not reply.ended:
                reply.cut()


class Front(HTTPServerConnectionDelegate):
    """Listens for callers."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.in_flight = 0
        # Connections that wait for their next request.
        self.idle: set[_Exchange] = set()
        self._server = HTTPServer(
            self,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_LIMIT_S,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return what takes in the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        exchange = _Exchange(self, request_conn)
        self.idle.add(exchange)
        return exchange

    def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server.listen(port, host, backlog=1024)

    def close_after_answers(self) -> None:
        """Let each connection end after the answer under way."""
        self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Take no more connections."""
        self._server.stop()

    def close_idle(self) -> None:
        """Close the connections that wait, so that no request comes late."""
        for exchange in list(self.idle):
            exchange.close()

    async def close(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()
