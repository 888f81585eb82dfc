"""Serve callers over HTTP/1.1: their connections, kept and closed."""

import asyncio
from collections.abc import Callable
import logging
import socket
import time

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import add_accept_handler
from tornado.netutil import bind_sockets

from jackdawfield.gateway.http.caller_exchange import Exchange
from jackdawfield.gateway.http.caller_exchange import Handler
from jackdawfield.gateway.http.caller_exchange import ListenerState
from jackdawfield.gateway.http.caller_limits import CallerLimits
from jackdawfield.gateway.http.caller_stream import CallerStream
from jackdawfield.gateway.http.caller_stream import CloseReason
from jackdawfield.logs import log_event
from jackdawfield.sockets import accept_waiting
from jackdawfield.sockets import bound_buffers

LOG = logging.getLogger(__name__)
# Tornado closes a connection whose body is larger; exchanges accept less.
MAX_BODY_BYTES = 64 * 1024 * 1024
ACCEPT_BACKLOG = 1024
# 256 KiB for the request line and all headers.
MAX_HEADER_BYTES = 262144
EXPIRY_INTERVAL_S = 5.0
# What the kernel holds of a connection counts as memory of the process.
SOCKET_BUFFER_BYTES = 64 * 1024


class HttpListener(HTTPServerConnectionDelegate):
    """Represents an HTTP server that passes each request to a handler."""

    def __init__(
        self, handler: Handler, limits: CallerLimits | None = None
    ) -> None:
        self.state = ListenerState(handler)
        self._limits = limits or CallerLimits()
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self._connections: set[HTTP1ServerConnection] = set()
        # The present or next exchange of each connection that is served.
        self._exchanges_by_connection: dict[
            HTTP1ServerConnection, Exchange
        ] = {}
        self._params = HTTP1ConnectionParameters(
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        self._expiry_timer: asyncio.TimerHandle | None = None

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(request_conn, HTTP1Connection)
        exchange = Exchange(self.state, request_conn)
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
            bound_buffers(sock, SOCKET_BUFFER_BYTES)
            self._sockets.append(sock)
            self._stop_accepting.append(
                add_accept_handler(sock, self._serve_connection)
            )

    def _serve_connection(
        self, connection: socket.socket, address: tuple[str, int]
    ) -> None:
        stream = CallerStream(connection, address[0], self._limits)
        if not self._limits.add(stream):
            stream.close()
            return
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
            for connection, address in accept_waiting(sock):
                self._serve_connection(connection, address)
            sock.close()
        self._stop_accepting.clear()
        self._sockets.clear()

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
                in_flight=self.state.in_flight,
            )

    @property
    def in_flight(self) -> int:
        """Return how many requests are received or handled."""
        return self.state.in_flight

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
        return self.state.in_flight > 0 or any(
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
