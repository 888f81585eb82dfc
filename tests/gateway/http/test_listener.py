"""Test the listener for callers: planned stops, and bodies without end."""

import asyncio
import socket
import unittest

from jackdawfield.gateway.http.listener import HttpListener
from jackdawfield.gateway.http.listener import IncomingRequest
from jackdawfield.gateway.http.listener import MAX_HEADER_BYTES
from jackdawfield.gateway.http.listener import Reply
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST

HEAD = b'POST /p HTTP/1.1\r\nHost: h\r\n'
REQUEST = HEAD + b'Content-Length: 2\r\n\r\nok'
LIMIT_BYTES = 100_000


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bodies: list[bytes] = []
        self.listener = HttpListener(self.handle)
        self.listener.max_body_bytes = LIMIT_BYTES
        self.port = free_port()
        self.listener.listen(HOST, self.port)
        self.addAsyncCleanup(self.listener.close)

    async def handle(self, request: IncomingRequest, reply: Reply) -> None:
        self.bodies.append(request.body)
        reply.send(200, 'done')

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(3.0):
            try:
                return await reader.read()
            except ConnectionError:
                return b''

    async def test_connection_that_waits_at_a_stop_is_answered(self) -> None:
        # The kernel has established it, and the loop has not accepted it yet.
        sock = socket.create_connection((HOST, self.port))
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        self.listener.disable_keep_alive()
        self.listener.stop_listening()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(3.0):
            answer = await loop.sock_recv(sock, 1000)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertIn(b'Connection: close', answer)
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()

    async def test_announced_body_over_the_limit_is_refused_at_once(
        self,
    ) -> None:
        reader, writer = await self.connect()
        head = (
            f'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: {10**6}\r\n\r\n'
        )
        writer.write(head.encode())
        async with asyncio.timeout(3.0):
            line = await reader.readline()
        self.assertTrue(line.startswith(b'HTTP/1.1 413'))
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.listener.in_flight, 0)

    async def test_chunked_body_without_end_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
        chunk = b'4000\r\n' + b'x' * 0x4000 + b'\r\n'
        for _ in range(LIMIT_BYTES // 0x4000 + 1):
            writer.write(chunk)
        async with asyncio.timeout(3.0):
            line = await reader.readline()
        self.assertTrue(line.startswith(b'HTTP/1.1 413'))
        self.assertEqual(self.listener.in_flight, 0)

    async def test_head_without_end_ends_the_connection(self) -> None:
        reader, writer = await self.connect()
        writer.write(b'GET /p HTTP/1.1\r\nHost: h\r\nX: ')
        for _ in range(MAX_HEADER_BYTES // 0x4000 + 2):
            writer.write(b'x' * 0x4000)
        answer = await self.read_all(reader)
        self.assertNotIn(b'200', answer)
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.listener.in_flight, 0)

    async def test_body_within_the_limit_is_handled(self) -> None:
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(REQUEST)
            async with asyncio.timeout(3.0):
                head = await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(5)
            self.assertTrue(head.startswith(b'HTTP/1.1 200'))
        self.assertEqual(self.bodies, [b'ok', b'ok'])
