"""Serves as a backend server that records what it runs."""

import asyncio
from enum import Enum
from hashlib import sha256
import time

from tornado.http1connection import HTTP1Connection
import tornado.iostream
import tornado.web

from jackdawfield.standins.base import FreePortServer
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


class Misbehaviour(Enum):
    """Names what a server does wrong for a while."""

    REFUSING = 'refuses every call'
    CUTTING = 'cuts its answers'
    EXTRA = 'sends answers that nobody asked for'


class Backend(FreePortServer):
    """Holds one server, its way of failing and what it has run."""

    def __init__(self, server_id: str, runs: list[Run]) -> None:
        self.server_id = server_id
        self.runs = runs
        self.misbehaviours: set[Misbehaviour] = set()
        super().__init__(r'/([a-z]+)/.*', _Handler, backend=self)


class _Handler(tornado.web.RequestHandler):
    """Runs one request."""

    def initialize(self, backend: Backend) -> None:
        """Take the server that this request reached."""
        self.backend = backend

    def _does(self, misbehaviour: Misbehaviour) -> bool:
        return misbehaviour in self.backend.misbehaviours

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
        if self._does(Misbehaviour.REFUSING):
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
            if self._does(Misbehaviour.CUTTING):
                self._cut()
                return
            self.write(plain_body(request_id))
        if self._does(Misbehaviour.EXTRA):
            try:
                await self.finish()
            except tornado.iostream.StreamClosedError:
                return
            self._send_extra()

    async def _stream(self, run: Run) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        for number, event in enumerate(events_of(run.request_id)):
            if number and self._does(Misbehaviour.CUTTING):
                self._cut()
                return
            await asyncio.sleep(EVENT_S)
            self.write(f'id: {number}\ndata: {event}\n\n')
            run.events += 1
            try:
                await self.flush()
            except tornado.iostream.StreamClosedError:
                return

    @property
    def _io(self) -> tornado.iostream.IOStream:
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        return connection.stream

    def _cut(self) -> None:
        self._io.close()

    def _send_extra(self) -> None:
        """Send an answer that belongs to no request."""
        body = b'done another'
        head = (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: another\r\n'
            f'{PREFIX}Server-Stamp: {self.backend.server_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        if not self._io.closed():
            self._io.write(head.encode() + body)
