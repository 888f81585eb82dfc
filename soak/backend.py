"""Serves as a backend server that records what it runs."""

import asyncio
from hashlib import sha256
import time

import tornado.httpserver
import tornado.netutil
import tornado.web

from soak.record import CallClass
from soak.record import Run
from soak.world import events_of
from soak.world import plain_body
from soak.world import PREFIX

EVENT_S = 0.015
PLAIN_WORK_S = 0.02


def digest(body: bytes) -> str:
    """Return a short digest of a request's body."""
    return sha256(body).hexdigest()[:16]


class Backend:
    """Holds one server, its way of failing and what it has run."""

    def __init__(self, server_id: str, runs: list[Run]) -> None:
        self.server_id = server_id
        self.runs = runs
        self.refusing = False
        self.cutting = False
        self.sending_extra = False
        self.port = 0
        self._server: tornado.httpserver.HTTPServer | None = None

    def start(self, host: str) -> None:
        """Listen on a free port."""
        handlers = [(r'/([a-z]+)/.*', _Handler, {'backend': self})]
        application = tornado.web.Application(handlers)
        self._server = tornado.httpserver.HTTPServer(application)
        sockets = tornado.netutil.bind_sockets(0, host)
        self.port = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.stop()


class _Handler(tornado.web.RequestHandler):
    """Runs one request."""

    def initialize(self, backend: Backend) -> None:
        """Take the server that this request reached."""
        self.backend = backend

    def _header(self, name: str) -> str:
        return self.request.headers.get(PREFIX + name, '')

    async def post(self, name: str) -> None:
        """Run a request, unless it says another server or none is free."""
        request_id = self._header('Request-Id')
        self.set_header(PREFIX + 'Request-Id', request_id)
        self.set_header(PREFIX + 'Server-Stamp', self.backend.server_id)
        if self._header('Expect-Instance') != self.backend.server_id:
            self.set_status(421)
            return
        if self.backend.refusing:
            self.set_header(PREFIX + 'Not-Executed', '1')
            self.set_status(503)
            return
        run = Run(
            request_id,
            self._header('Effect'),
            CallClass(name),
            self._header('Tenant'),
            self._header('Program-Id'),
            time.monotonic(),
            digest(self.request.body),
        )
        self.backend.runs.append(run)
        if run.call_class is CallClass.TURN:
            await self._stream(run)
        else:
            await asyncio.sleep(PLAIN_WORK_S)
            if self.backend.cutting:
                self._cut()
                return
            self.write(plain_body(request_id))
        if self.backend.sending_extra:
            try:
                await self.finish()
            except tornado.iostream.StreamClosedError:
                return
            self._send_extra()

    async def _stream(self, run: Run) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        for number, event in enumerate(events_of(run.request_id)):
            if number and self.backend.cutting:
                self._cut()
                return
            await asyncio.sleep(EVENT_S)
            self.write(f'id: {number}\ndata: {event}\n\n')
            run.events += 1
            try:
                await self.flush()
            except tornado.iostream.StreamClosedError:
                return

    def _cut(self) -> None:
        connection = self.request.connection
        assert connection is not None
        connection.stream.close()  # type: ignore[attr-defined]

    def _send_extra(self) -> None:
        """Send an answer that belongs to no request."""
        connection = self.request.connection
        assert connection is not None
        body = b'done another'
        head = (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: another\r\n'
            f'{PREFIX}Server-Stamp: {self.backend.server_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        stream = connection.stream  # type: ignore[attr-defined]
        if not stream.closed():
            stream.write(head.encode() + body)
