"""Run a stand-in as an HTTP server with injectable faults."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import signal
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

from jackdawfield.sockets import reset_at_close

CLIENT_HEADER = 'User-Agent'


@dataclass
class Faults:
    """Holds the injected faults.

    `lose_answers` is the number of next JSON responses to drop; `cut` holds
    the user agents whose connections are closed.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    cut: frozenset[str] = field(default_factory=frozenset)
    # Bodies of the requests that are delayed at present.
    delayed_bodies: list[str] = field(default_factory=list)


class StandInHandler(tornado.web.RequestHandler):
    """Applies the injected faults to requests and responses."""

    def initialize(self, state: Any) -> None:
        """Store the stand-in's state."""
        self.state = state

    @property
    def faults(self) -> Faults:
        """Return the faults of this stand-in."""
        faults: Faults = self.state.faults
        return faults

    async def prepare(self) -> None:
        """Close, refuse or delay the request according to the faults."""
        client = self.request.headers.get(CLIENT_HEADER, '')
        if client in self.faults.cut:
            self.close_connection()
            return
        if self.faults.down:
            self.set_status(503)
            self.finish('{"error": "down"}')
            return
        if self.faults.delay_s:
            await self.delay(self.faults.delay_s)

    async def delay(self, delay_s: float) -> None:
        """Wait, and list the request's body among the delayed ones."""
        text = self.request.body.decode(errors='replace')
        self.faults.delayed_bodies.append(text)
        await asyncio.sleep(delay_s)
        self.faults.delayed_bodies.remove(text)

    def close_connection(self) -> None:
        """Close the connection without a response."""
        close_unanswered(self)

    def send_json(self, value: object) -> None:
        """Send a JSON response, or drop it while lose_answers is above 0."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.close_connection()
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value))

    def json_body(self) -> Any:
        """Return the decoded JSON body of the request."""
        return json.loads(self.request.body or b'{}')


def close_unanswered(handler: tornado.web.RequestHandler) -> None:
    """Close a request's connection without a response."""
    handler.request.connection.stream.close()  # type: ignore[union-attr]
    # Keeps Tornado from sending a response of its own.
    handler._finished = True


class FaultsHandler(tornado.web.RequestHandler):
    """Serves and sets the faults."""

    def initialize(self, state: Any) -> None:
        """Store the stand-in's state."""
        self.state = state

    def get(self) -> None:
        """Return the bodies of the requests that are delayed at present."""
        self.finish(json.dumps({'held': self.state.faults.delayed_bodies}))

    def post(self) -> None:
        """Set the faults that the JSON body names."""
        for name, value in json.loads(self.request.body).items():
            if name == 'cut':
                value = frozenset(value)
            setattr(self.state.faults, name, value)
        self.finish('{}')


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        reset_at_close(sock, True)
    writer.transport.abort()


class FreePortServer:
    """Serves a stand-in in the caller's process, on a free port."""

    def __init__(self, path: str, handler: type, **arguments: Any) -> None:
        application = tornado.web.Application([(path, handler, arguments)])
        self._server = tornado.httpserver.HTTPServer(application)
        self.port = 0

    def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        sockets = tornado.netutil.bind_sockets(0, host)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()


async def serve(state: Any, routes: list[Any], port: int) -> None:
    """Serve a stand-in on a port of loopback until SIGTERM or SIGINT."""
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
