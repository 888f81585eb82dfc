"""Serve an application over HTTP, and end its connections at a stop."""

import socket
import time
from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.ioloop import PeriodicCallback
from tornado.netutil import bind_sockets

from jackdawfield.sockets import accept_waiting
from jackdawfield.sockets import has_unread_input

IDLE_LIMIT_S = 3600.0
# Longer than any instance runs: Tornado's own timer never ends.
UNLIMITED_S = 1e9
# Checks for idle connections in the time of the limit.
SWEEPS_PER_LIMIT = 4
MS_PER_S = 1000


class TrackedRequest(HTTPMessageDelegate):
    """Passes a connection's next request on, and tells if it has begun."""

    def __init__(
        self, connection: HTTP1ServerConnection, delegate: HTTPMessageDelegate
    ) -> None:
        self._stream = connection.stream
        self._delegate = delegate
        self._has_begun = False
        self._awaited_since_s = time.monotonic()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Any:
        """Pass the head on; the request then is in flight."""
        self._has_begun = True
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        """Pass a piece of the body on."""
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        """Pass on that the request is complete."""
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection was closed within the request."""
        self._delegate.on_connection_close()

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits and nothing has arrived.

        A head that has arrived may be unread in the socket, or be read and
        not parsed yet; the stream then has no read in progress.
        """
        if self._has_begun or self._stream.closed():
            return False
        if not self._stream.reading():
            return False
        sock: socket.socket = self._stream.socket
        return not has_unread_input(sock.fileno())

    @property
    def idle_s(self) -> float:
        """Return the seconds since the wait for the request began."""
        return time.monotonic() - self._awaited_since_s

    def close_connection(self) -> None:
        """Close the connection."""
        self._stream.close()


class DrainableServer(HTTPServer):
    """Represents an HTTP server that answers all it received at a stop."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; Tornado calls this from its constructor.

        The argument idle_connection_timeout is how long, in seconds, a
        connection may be idle.
        """
        limit_s = kwargs.get('idle_connection_timeout', IDLE_LIMIT_S)
        # Tornado's timer would also close one on which bytes have arrived.
        kwargs['idle_connection_timeout'] = UNLIMITED_S
        super().initialize(*args, **kwargs)
        self._idle_limit_s: float = limit_s
        self._sweep = PeriodicCallback(
            self._close_long_idle,
            limit_s / SWEEPS_PER_LIMIT * MS_PER_S,
        )
        self._listening: list[socket.socket] = []
        # The present or next request of each open connection.
        self._requests_by_connection: dict[object, TrackedRequest] = {}

    def listen_at(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._listening = bind_sockets(port, host)
        self.add_sockets(self._listening)
        self._sweep.start()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        delegate = super().start_request(server_conn, request_conn)
        request = TrackedRequest(server_conn, delegate)
        self._requests_by_connection[server_conn] = request
        return request

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that is closed."""
        self._requests_by_connection.pop(server_conn, None)
        super().on_close(server_conn)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._requests_by_connection)

    def disable_keep_alive(self) -> None:
        """Close each connection after the answer to its next request."""
        self.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Stop accepting, after the connections that were established.

        Closing the socket would reset those that wait to be accepted.
        """
        for sock in self._listening:
            for connection, address in accept_waiting(sock):
                connection.setblocking(False)
                self._handle_connection(connection, address)
        self._listening = []
        self._sweep.stop()
        self.stop()

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connections on which no request has arrived.

        Those that were idle for less than the minimum are left open.
        """
        for request in list(self._requests_by_connection.values()):
            if request.idle_s >= min_idle_s and request.is_idle:
                request.close_connection()

    def _close_long_idle(self) -> None:
        self.close_idle(self._idle_limit_s)
