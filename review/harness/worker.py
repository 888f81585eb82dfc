"""Stand in for the platform's workers: engines that stream, and services."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import time

from review.harness.http import encode
from review.harness.http import Message
from review.harness.http import Server
from review.harness.store import Store

PREFIX = 'X-Jackdawfield-'


@dataclass
class Run:
    """Holds one run of a request."""

    request_id: str
    worker_id: str
    began_s: float
    headers: list[tuple[str, str]]
    body: bytes
    events: int = 0


@dataclass
class Worker:
    """Runs requests, a stream of events for POST, a body for GET.

    `text` gives the data of a stream's events.
    """

    worker_id: str
    service: str
    zone: str
    host: str
    store: Store
    runs: list[Run]
    events: int = 5
    event_s: float = 0.015
    slots: int = 12
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        self.server = Server(self.host, self.handle)
        self.born = int(time.time() * 1000)
        self.beats: asyncio.Task[None] | None = None
        self.state = 'ready'

    async def start(self) -> None:
        """Listen, and register in the store."""
        await self.server.start()
        self.beats = asyncio.create_task(self._beat())

    def entry(self) -> dict[str, object]:
        """Return the entry in the list of workers."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.server.port}',
            'zone': self.zone,
            'version': 1,
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'callSeq': 0,
            'born': self.born,
        }

    async def _beat(self) -> None:
        while True:
            if self.store.mode.value == 'up':
                self.store.put('servers', self.worker_id, self.entry())
            await asyncio.sleep(1.2)

    def stop(self) -> None:
        """Stop the liveness reports and the server."""
        if self.beats is not None:
            self.beats.cancel()
        self.server.stop()

    def text(self, run: Run, number: int) -> str:
        """Return the data of one event."""
        return f'{run.request_id}.{number}'

    async def handle(
        self,
        message: Message,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; return whether the connection is kept."""
        request_id = message.get(PREFIX + 'Request-Id')
        named = [(PREFIX + 'Request-Id', request_id)]
        expected = message.get(PREFIX + 'Expect-Instance')
        if expected and expected != self.worker_id:
            head = [*named, ('Content-Length', '0')]
            writer.write(encode('HTTP/1.1 421 Misdirected', head, b''))
            return True
        run = Run(
            request_id,
            self.worker_id,
            time.monotonic(),
            message.headers,
            message.body,
        )
        self.runs.append(run)
        head = [
            *named,
            (PREFIX + 'Server-Stamp', f'stamp.{self.worker_id}'),
        ]
        if message.first[0] == 'GET':
            await asyncio.sleep(0.02)
            body = f'done {request_id}'.encode()
            head.append(('Content-Length', str(len(body))))
            writer.write(encode('HTTP/1.1 200 OK', head, body))
            return True
        return await self.stream(run, head, writer)

    async def stream(
        self,
        run: Run,
        head: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer with a stream of events."""
        head = [
            *head,
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        writer.write(encode('HTTP/1.1 200 OK', head, b''))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f'id: {number}\ndata: {self.text(run, number)}\n\n'
            data = event.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            run.events = number
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        return True
