"""Serve as a backend server that records its executions."""

import asyncio
from collections.abc import Callable
from enum import Enum
from hashlib import sha256
import time

from tornado.http1connection import HTTP1Connection
import tornado.iostream
import tornado.web

from jackdawfield.standins.base import FreePortServer
from soak.record import CallClass
from soak.record import Run
from soak.record import STREAM_CLASSES
from soak.scenario import ENDING_BODY
from soak.scenario import ENDLESS_FILL
from soak.scenario import HEADER_PREFIX
from soak.scenario import plain_body
from soak.scenario import SERVER_LIMIT_PER_S
from soak.scenario import turn_events

EVENT_INTERVAL_S = 0.015
PLAIN_DURATION_S = 0.02
# Time that a request which ends its server runs.
ENDING_DURATION_S = 0.05
# One in this many calls gets bytes without end, in chunks of one byte.
ENDLESS_DIVISOR = 5
ENDLESS_BLOCK = b'1\r\n%s\r\n' % ENDLESS_FILL * 4096
ENDLESS_INTERVAL_S = 0.01


def short_digest(body: bytes) -> str:
    """Return a shortened digest of a request body."""
    return sha256(body).hexdigest()[:16]


class Misbehaviour(Enum):
    """Defines the ways in which a backend server can fail."""

    REFUSING = 'refuses every call'
    TRUNCATING = 'cuts its answers'
    EXTRA_RESPONSES = 'sends answers that nobody asked for'
    LIMITED = 'names a limit in its answers'
    UNFRAMED = 'ends its answers with the connection, some early'
    ENDLESS = 'sends bytes without end in answer to some calls'
    LEAVING = 'says in its answers that it leaves'


class Backend(FreePortServer):
    """Holds one backend server, its active misbehaviours and executions."""

    def __init__(self, server_id: str, runs: list[Run]) -> None:
        self.server_id = server_id
        self.runs = runs
        self.misbehaviours: set[Misbehaviour] = set()
        # Called for a request that ends its server; None while none does.
        self.end: Callable[[], None] | None = None
        super().__init__(r'/([a-z]+)/.*', _Handler, backend=self)


class _Handler(tornado.web.RequestHandler):
    """Executes one request."""

    def initialize(self, backend: Backend) -> None:
        """Store the backend server that received this request."""
        self.backend = backend

    def _is_active(self, misbehaviour: Misbehaviour) -> bool:
        return misbehaviour in self.backend.misbehaviours

    def _header(self, name: str) -> str:
        return self.request.headers.get(HEADER_PREFIX + name, '')

    def _set_own_headers(self) -> None:
        """Set the headers that tell of the request and of this server."""
        request_id = self._header('Request-Id')
        self.set_header(HEADER_PREFIX + 'Request-Id', request_id)
        self.set_header(HEADER_PREFIX + 'Server-Stamp', self.backend.server_id)
        if self._is_active(Misbehaviour.LIMITED):
            self.set_header('Server-Limit', f'{SERVER_LIMIT_PER_S}')
        if self._is_active(Misbehaviour.LEAVING):
            self.set_header('Server-Leaving', '1')

    async def post(self, class_name: str) -> None:
        """Execute a request unless it is misdirected or refused."""
        request_id = self._header('Request-Id')
        self._set_own_headers()
        if self._header('Expect-Instance') != self.backend.server_id:
            self.set_status(421)
            return
        if self._is_active(Misbehaviour.REFUSING):
            self.set_header(HEADER_PREFIX + 'Not-Executed', '1')
            self.set_status(503)
            return
        run = Run(
            request_id,
            self._header('Effect'),
            CallClass(class_name),
            self._header('Tenant'),
            self._header('Program-Id'),
            time.monotonic(),
            short_digest(self.request.body),
            server_id=self.backend.server_id,
        )
        self.backend.runs.append(run)
        if self.request.body.endswith(ENDING_BODY) and self.backend.end:
            await self._end_server(run)
            return
        is_endless = sum(request_id.encode()) % ENDLESS_DIVISOR == 0
        if is_endless and self._is_active(Misbehaviour.ENDLESS):
            run.is_endless = True
            await self._answer_without_end()
            return
        if self._is_active(Misbehaviour.UNFRAMED):
            await self._answer_unframed(run)
            return
        if run.call_class in STREAM_CLASSES:
            await self._stream_events(run)
        else:
            await asyncio.sleep(PLAIN_DURATION_S)
            if self._is_active(Misbehaviour.TRUNCATING):
                self._close_connection()
                return
            self.write(plain_body(request_id))
        if self._is_active(Misbehaviour.EXTRA_RESPONSES):
            try:
                await self.finish()
            except tornado.iostream.StreamClosedError:
                return
            self._send_extra_response()

    async def _answer_unframed(self, run: Run) -> None:
        """Answer without a length; by its id it ends whole, early or cut."""
        is_stream = run.call_class in STREAM_CLASSES
        parts = [plain_body(run.request_id)]
        if is_stream:
            parts = [
                f'id: {index}\ndata: {event}\n\n'.encode()
                for index, event in enumerate(turn_events(run.request_id))
            ]
            last_id = self.request.headers.get('Last-Event-Id')
            parts = parts[int(last_id) + 1 if last_id else 0 :]
        match sum(run.request_id.encode()) % 3:
            case 0:
                parts = parts[:-1]
            case 1:
                parts[-1:] = [part[: len(part) // 2] for part in parts[-1:]]
        content_type = 'text/event-stream' if is_stream else 'text/plain'
        limit = self._headers.get('Server-Limit')
        named = f'Server-Limit: {limit}\r\n' if limit else ''
        head = (
            f'HTTP/1.1 200 OK\r\n{named}{HEADER_PREFIX}Request-Id:'
            f' {run.request_id}\r\n{HEADER_PREFIX}Server-Stamp:'
            f' {self.backend.server_id}\r\nContent-Type:'
            f' {content_type}\r\n\r\n'
        )
        for part in [head.encode(), *parts]:
            try:
                await self._io_stream.write(part)
            except tornado.iostream.StreamClosedError:
                return
            run.events += is_stream and part.endswith(b'\n\n')
            await asyncio.sleep(EVENT_INTERVAL_S)
        self._close_connection()

    async def _answer_without_end(self) -> None:
        """Send bytes until the connection is closed."""
        head = (
            f'HTTP/1.1 200 OK\r\n{HEADER_PREFIX}Request-Id:'
            f' {self._header("Request-Id")}\r\n{HEADER_PREFIX}Server-Stamp:'
            f' {self.backend.server_id}\r\nContent-Type: text/event-stream'
            '\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        block = head.encode()
        try:
            while True:
                await self._io_stream.write(block)
                block = ENDLESS_BLOCK
                await asyncio.sleep(ENDLESS_INTERVAL_S)
        except tornado.iostream.StreamClosedError:
            return

    async def _end_server(self, run: Run) -> None:
        """Begin to answer a stream, then end the server."""
        if run.call_class in STREAM_CLASSES:
            self.set_header('Content-Type', 'text/event-stream')
            if not self.request.headers.get('Last-Event-Id'):
                event = turn_events(run.request_id)[0]
                self.write(f'id: 0\ndata: {event}\n\n')
                run.events += 1
            try:
                await self.flush()
            except tornado.iostream.StreamClosedError:
                return
        await asyncio.sleep(ENDING_DURATION_S)
        if self.backend.end:
            self.backend.end()
        self._close_connection()

    async def _stream_events(self, run: Run) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        last_id = self.request.headers.get('Last-Event-Id')
        first = int(last_id) + 1 if last_id else 0
        events = [
            f'id: {index}\ndata: {event}\n\n'
            for index, event in enumerate(turn_events(run.request_id))
        ]
        if sum(run.request_id.encode()) % 2:
            length = sum(len(event) for event in events[first:])
            self.set_header('Content-Length', str(length))
        for index, event in enumerate(events):
            if index < first:
                continue
            if index > first and self._is_active(Misbehaviour.TRUNCATING):
                await self._cut_event(event)
                return
            await asyncio.sleep(EVENT_INTERVAL_S)
            self.write(event)
            run.events += 1
            try:
                await self.flush()
            except tornado.iostream.StreamClosedError:
                return

    async def _cut_event(self, event: str) -> None:
        """Send the first half of an event and close the connection."""
        self.write(event[: len(event) // 2])
        try:
            await self.flush()
        except tornado.iostream.StreamClosedError:
            return
        self._close_connection()

    @property
    def _io_stream(self) -> tornado.iostream.IOStream:
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        return connection.stream

    def _close_connection(self) -> None:
        self._io_stream.close()

    def _send_extra_response(self) -> None:
        """Send an unsolicited response on an open connection."""
        body = b'done another'
        head = (
            f'HTTP/1.1 200 OK\r\n{HEADER_PREFIX}Request-Id: another\r\n'
            f'{HEADER_PREFIX}Server-Stamp: {self.backend.server_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        if not self._io_stream.closed():
            self._io_stream.write(head.encode() + body)
