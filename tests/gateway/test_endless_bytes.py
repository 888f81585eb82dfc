"""Test servers that send bytes without end, in many small pieces.

What they send stands in the tables below; other calls are answered at the same
time, and each such answer ends as a true failure.
"""

import asyncio
import unittest

from jackdawfield.gateway.http.messages import BodyEnd
from tests.gateway.harness import Answer
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest

CHUNK_SIZES = (1, 16, 200, 4000)
FILLS = (b'x', b'\n', b':\n\n', b'id: 1\n\n', b'data: x\n\n')
BLOCK_BYTES = 65536
ENDLESS = b'endless'
ENDLESS_AT_ONCE = 6
SOUND_CALLS = 10


class EndlessBytesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]
        self.fleet.server.script = self.serve
        self.chunk_bytes = 1
        self.fill = b'x'
        self.open_count = 0

    async def serve(self, received: ReceivedRequest) -> None:
        """Send bytes without end where the request asks for them."""
        if received.body != ENDLESS:
            await engine(received)
            return
        request_id = received.header('x-jackdawfield-request-id')
        head = (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n'
            'Content-Type: text/event-stream\r\n\r\n'
        )
        received.writer.write(head.encode())
        content = self.fill * (self.chunk_bytes // len(self.fill) + 1)
        content = content[: self.chunk_bytes]
        if self.chunk_bytes < len(self.fill):
            chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in self.fill)
        else:
            chunks = b'%x\r\n%s\r\n' % (len(content), content)
        block = chunks * (BLOCK_BYTES // len(chunks))
        self.open_count += 1
        try:
            while True:
                received.writer.write(block)
                await received.writer.drain()
                # Lets the instance run, which shares this event loop.
                await asyncio.sleep(0)
        finally:
            self.open_count -= 1

    async def call_endless(self, number: int, path: str) -> Answer:
        return await self.fleet.call(
            self.gateway,
            f'endless{number}',
            path,
            ENDLESS,
            Deadline_Ms='2900',
        )

    async def check(self, path: str) -> None:
        """Check that others are served while some get bytes without end."""
        endless = [
            asyncio.create_task(self.call_endless(number, path))
            for number in range(ENDLESS_AT_ONCE)
        ]
        async with asyncio.timeout(2.0):
            while not self.open_count:
                await asyncio.sleep(0.01)
        for number in range(SOUND_CALLS):
            answer = await self.fleet.call(
                self.gateway, f'sound{number}', '/tool/x', Deadline_Ms='1000'
            )
            self.assertEqual(answer.status, 200)
        for answer in await asyncio.gather(*endless):
            self.assertIsNot(answer.end, BodyEnd.UNCONFIRMED)
            self.assertFalse(answer.status == 200 and answer.whole)
        # The connections to the server are closed.
        await self.fleet.wait_until(lambda: not self.open_count)

    # Guards against one loop that is taken by the pieces of a few answers, so
    # that no other call, timer or close of a connection is handled.
    async def test_streams_without_end_leave_others_served(self) -> None:
        for self.chunk_bytes in CHUNK_SIZES:
            for self.fill in FILLS:
                with self.subTest(size=self.chunk_bytes, fill=self.fill):
                    await self.check('/turns/x')

    async def test_calls_without_end_leave_others_served(self) -> None:
        for self.chunk_bytes in CHUNK_SIZES:
            for path in ('/tool/x', '/open/x'):
                with self.subTest(size=self.chunk_bytes, path=path):
                    await self.check(path)
