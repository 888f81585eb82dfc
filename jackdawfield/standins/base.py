"""Runs one stand-in as an HTTP server with injectable faults."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import signal
import socket
import struct
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

CLIENT_HEADER = 'User-Agent'


@dataclass
class Faults:
    """Holds the faults that a test has injected."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cut: frozenset[str] = field(default_factory=frozenset)
    # Bodies of the requests that are held up now.
    held_bodies: list[str] = field(default_factory=list)


class StandInHandler(tornado.web.RequestHandler):
    """Applies the injected faults before and after a request."""

    def initialize(self, state: Any) -> None:
        """Keep the stand-in's state."""
        self.state = state

    @property
    def faults(self) -> Faults:
        """Return the faults of this stand-in."""
        faults: Faults = self.state.faults
        return faults

    async def prepare(self) -> None:
        """Refuse, delay or cut as the faults say."""
        client = self.request.headers.get(CLIENT_HEADER, '')
        if client in self.faults.cut:
            self.drop()
            return
        if self.faults.down:
            self.set_status(503)
            self.finish('{"error": "down"}')
            return
        if self.faults.delay_s:
            await self.hold(self.faults.delay_s)

    async def hold(self, delay_s: float) -> None:
        """Hold a request up and show it meanwhile."""
        text = self.request.body.decode(errors='replace')
        self.faults.held_bodies.append(text)
        await asyncio.sleep(delay_s)
        self.faults.held_bodies.remove(text)

    def drop(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.stream.close()  # type: ignore[union-attr]
        self._finished = True

    def answer(self, value: object) -> None:
        """Send a JSON answer, or lose it if a fault says so."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.drop()
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value))

    def body(self) -> Any:
        """Return the request's JSON body."""
        return json.loads(self.request.body or b'{}')


class FaultsHandler(tornado.web.RequestHandler):
    """Sets the faults."""

    def initialize(self, state: Any) -> None:
        """Keep the stand-in's state."""
        self.state = state

    def get(self) -> None:
        """Show the requests that are held up now."""
        self.finish(json.dumps({'held': self.state.faults.held_bodies}))

    def post(self) -> None:
        """Replace the named faults."""
        for name, value in json.loads(self.request.body).items():
            if name == 'cut':
                value = frozenset(value)
            setattr(self.state.faults, name, value)
        self.finish('{}')


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class FreePortServer:
    """Listens on a free port for a stand-in that a test runs itself."""

    def __init__(self, path: str, handler: type, **arguments: Any) -> None:
        application = tornado.web.Application([(path, handler, arguments)])
        self._server = tornado.httpserver.HTTPServer(application)
        self.port = 0

    def start(self, host: str) -> None:
        """Listen on a free port."""
        sockets = tornado.netutil.bind_sockets(0, host)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop()


async def serve(state: Any, routes: list[Any], port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    routes = [(path, handler, {'state': state}) for path, handler in routes]
    routes.append(('/faults', FaultsHandler, {'state': state}))
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(routes), max_body_size=64 * 1024 * 1024
    )
    server.listen(port, '127.0.0.1')
    await stop.wait()
    server.stop()
