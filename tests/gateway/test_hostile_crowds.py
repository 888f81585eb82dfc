"""Test an instance against crowds of callers that do not behave.

An instance runs as a process with lowered limits. Whatever a crowd sends, to
whichever listener and path: the process lives, its memory and its sockets stay
within the limits of its settings, and ordinary requests are answered.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
import unittest

from tests.gateway.instance_process import ANSWER_TIMEOUT_S
from tests.gateway.instance_process import InstanceProcess
from tests.gateway.scripted_server import ReceivedRequest

MEMORY_MB = 128
MEMORY_BYTES = MEMORY_MB * 1024 * 1024
MAX_FDS = 400
# Descriptors that the platform reserves for files.
FILE_FDS = 200
BODY_BYTES = 4 * 1024 * 1024
# How long a crowd sends, and then keeps its connections open.
CROWD_S = 4.0
SENDERS = 40
FIELD_SENDERS = 24
CONNECTIONS = 300
READERS = 60
BIG_BYTES = 16 * 1024 * 1024
PIECE = b'x' * 65536

Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def serve(received: ReceivedRequest) -> None:
    """Answer a request; with 16 MiB if its path says so."""
    request_id = received.header('x-jackdawfield-request-id')
    is_big = b'/big ' in received.head[:100]
    length = BIG_BYTES if is_big else 2
    received.writer.write(
        f'HTTP/1.1 200 OK\r\nX-Jackdawfield-Request-Id: {request_id}\r\n'
        'X-Jackdawfield-Server-Stamp: stamp\r\n'
        f'Content-Length: {length}\r\n\r\n'.encode()
    )
    if not is_big:
        received.writer.write(b'ok')
        return
    for _ in range(BIG_BYTES // len(PIECE)):
        received.writer.write(PIECE)
        await received.writer.drain()


async def send_all(
    writer: asyncio.StreamWriter, pieces: AsyncIterator[bytes]
) -> None:
    """Send pieces, each when the one before was taken."""
    async for piece in pieces:
        writer.write(piece)
        await writer.drain()


async def repeat(piece: bytes, count: int) -> AsyncIterator[bytes]:
    """Yield a piece some times."""
    for _ in range(count):
        yield piece


class HostileCrowds:
    """Holds the crowds; its subclasses say where they send."""

    path = '/open/x'
    port_name = 'caller_port'

    async def asyncSetUp(self) -> None:
        self.instance = InstanceProcess(
            serve, memoryMb=MEMORY_MB, maxFds=MAX_FDS
        )
        self.addAsyncCleanup(self.instance.stop)
        await self.instance.start()
        self.writers: list[asyncio.StreamWriter] = []

    def head(self, *fields: str, method: str = 'POST') -> bytes:
        lines = [
            f'{method} {self.path} HTTP/1.1',
            'Host: h.example',
            'X-Jackdawfield-Request-Id: crowd',
            *fields,
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    async def send(self, send: Send) -> None:
        """Send on a new connection, which stays open and is not read."""
        port = getattr(self.instance, self.port_name)
        with suppress(OSError):
            _, writer = await asyncio.open_connection(
                self.instance.host, port, limit=1024
            )
            self.writers.append(writer)
            await send(writer)

    async def check(self, count: int, send: Send) -> None:
        """Let a crowd send, and check the process while it is there."""
        tasks = [asyncio.create_task(self.send(send)) for _ in range(count)]
        for _ in range(int(CROWD_S / 0.1)):
            await asyncio.sleep(0.1)
            if self.instance.lives:
                self.instance.count_sockets()
        self.assertTrue(self.instance.lives)
        answered = [
            await self.instance.answers_within(port, ANSWER_TIMEOUT_S)
            for port in (
                self.instance.caller_port,
                self.instance.health_port,
                self.instance.metrics_port,
            )
        ]
        self.instance.count_sockets()
        for task in tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(answered, [True, True, True])
        self.assertLess(self.instance.peak_bytes(), MEMORY_BYTES)
        self.assertLessEqual(self.instance.most_sockets, MAX_FDS - FILE_FDS)

    async def test_bodies_in_one_piece(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head(f'Content-Length: {BODY_BYTES}'))
            writer.write(b'x' * (BODY_BYTES - 1))
            await writer.drain()

        await self.check(SENDERS, send)

    async def test_bodies_in_small_pieces(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head(f'Content-Length: {BODY_BYTES}'))
            await send_all(writer, repeat(b'x' * 1000, BODY_BYTES // 1000))

        await self.check(SENDERS, send)

    async def test_bodies_in_chunks(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head('Transfer-Encoding: chunked'))
            chunk = b'10000\r\n%s\r\n' % PIECE
            await send_all(writer, repeat(chunk, BODY_BYTES // len(PIECE)))

        await self.check(SENDERS, send)

    async def test_bodies_in_tiny_chunks(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head('Transfer-Encoding: chunked'))
            await send_all(writer, repeat(b'1\r\nx\r\n' * 1000, 100))

        await self.check(SENDERS, send)

    async def test_whole_bodies(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head(f'Content-Length: {BODY_BYTES}'))
            writer.write(b'x' * BODY_BYTES)
            await writer.drain()

        await self.check(SENDERS, send)

    async def test_bodies_far_over_the_limit(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head('Transfer-Encoding: chunked'))
            chunk = b'10000\r\n%s\r\n' % PIECE
            await send_all(writer, repeat(chunk, 10_000))

        await self.check(SENDERS, send)

    async def test_heads_of_many_short_fields(self) -> None:
        fields = [f'{number:x}:1' for number in range(4096, 4096 + 30_000)]

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head(*fields, 'Content-Length: 10'))
            writer.write(b'x' * 9)
            await writer.drain()

        await self.check(FIELD_SENDERS, send)

    async def test_heads_without_end(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            writer.write(self.head()[:-2])
            await send_all(writer, repeat(b'y: ' + b'x' * 1000, 250))

        await self.check(CONNECTIONS, send)

    async def test_requests_sent_ahead(self) -> None:
        async def send(writer: asyncio.StreamWriter) -> None:
            request = self.head(method='GET')
            await send_all(writer, repeat(request * 100, 200))

        await self.check(SENDERS, send)

    async def test_slow_senders(self) -> None:
        head = self.head(f'Content-Length: {BODY_BYTES}')
        beginnings = (b'', head[:1], head[:-2], head, head + PIECE)
        numbers = iter(range(CONNECTIONS))

        async def send(writer: asyncio.StreamWriter) -> None:
            number = next(numbers)
            writer.write(beginnings[number % len(beginnings)])
            while number % 2:
                await asyncio.sleep(0.2)
                writer.write(b'x')
                await writer.drain()

        await self.check(CONNECTIONS, send)

    async def test_slow_readers(self) -> None:
        self.path = self.path.replace('/x', '/big')

        async def send(writer: asyncio.StreamWriter) -> None:
            writer.transport.pause_reading()
            writer.write(self.head('Content-Length: 0'))
            await writer.drain()

        await self.check(READERS, send)


class RouteTest(HostileCrowds, unittest.IsolatedAsyncioTestCase):
    """Crowds at a path with a route."""

    async def test_largest_body_in_calm(self) -> None:
        reader, writer = await asyncio.open_connection(
            self.instance.host, self.instance.caller_port
        )
        self.addCleanup(writer.close)
        writer.write(self.head(f'Content-Length: {BODY_BYTES}'))
        writer.write(b'x' * BODY_BYTES)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            line = await reader.readline()
        self.assertIn(b' 200 ', line)
        self.assertLess(self.instance.peak_bytes(), MEMORY_BYTES)


class NoRouteTest(HostileCrowds, unittest.IsolatedAsyncioTestCase):
    """Crowds at a path without a route."""

    path = '/nowhere/x'


class HealthTest(HostileCrowds, unittest.IsolatedAsyncioTestCase):
    """Crowds at the listener for health checks."""

    path = '/-/ready'
    port_name = 'health_port'


class MetricsTest(HostileCrowds, unittest.IsolatedAsyncioTestCase):
    """Crowds at the listener for metrics."""

    path = '/metrics'
    port_name = 'metrics_port'
