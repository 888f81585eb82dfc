"""Test what becomes of connections to the daemon at a planned stop."""

import asyncio
import socket
import time
import unittest

from tornado.web import Application
from tornado.web import RequestHandler

from jackdawfield.drivers.listening import DrainableServer
from tests.fleet import free_port

HOST = '127.0.0.1'
REQUEST = b'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok'
# More turns of the event loop than a request takes from its arrival to its
# handler.
TURNS = 20
IDLE_LIMIT_S = 0.5


class EchoHandler(RequestHandler):
    def post(self) -> None:
        self.finish(self.request.body)


class DrainableServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = DrainableServer(Application([('/p', EchoHandler)]))
        self.listen()

    def listen(self) -> None:
        self.port = free_port()
        self.server.listen_at(HOST, self.port)
        self.addAsyncCleanup(self.server.close_all_connections)
        self.addCleanup(self.server.stop_listening)

    def connect(self) -> socket.socket:
        """Return a connection that the loop has not accepted yet."""
        sock = socket.create_connection((HOST, self.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        return sock

    async def read(self, sock: socket.socket) -> bytes:
        """Return the bytes that come next, none once it is closed."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(3.0):
            return await loop.sock_recv(sock, 1000)

    async def wait_for_connections(self, count: int) -> None:
        async with asyncio.timeout(3.0):
            while self.server.connection_count != count:
                await asyncio.sleep(0.01)

    async def test_connection_that_waits_at_a_stop_is_answered(self) -> None:
        sock = self.connect()
        sock.send(REQUEST)
        self.server.disable_keep_alive()
        self.server.stop_listening()
        answer = await self.read(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)
        self.assertIn(b'Connection: close', answer)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()

    async def test_idle_connections_are_closed(self) -> None:
        new, used = self.connect(), self.connect()
        used.send(REQUEST)
        await self.read(used)
        await self.wait_for_connections(2)
        self.server.close_idle()
        self.assertEqual(await self.read(new), b'')
        self.assertEqual(await self.read(used), b'')
        await self.wait_for_connections(0)

    # Guards against requests that are lost between their arrival and the
    # parser, as their connections count as idle.
    async def test_request_that_has_arrived_is_answered(self) -> None:
        for turn in range(TURNS):
            sock = self.connect()
            await self.wait_for_connections(1)
            sock.send(REQUEST)
            for _ in range(turn):
                await asyncio.sleep(0)
            self.server.close_idle()
            answer = await self.read(sock)
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'), turn)
            sock.close()
            await self.wait_for_connections(0)

    async def test_request_whose_body_is_arriving_is_answered(self) -> None:
        sock = self.connect()
        sock.send(REQUEST[:-1])
        await self.wait_for_connections(1)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.server.close_idle()
        sock.send(REQUEST[-1:])
        answer = await self.read(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

    async def test_connection_that_is_idle_for_too_long_is_closed(
        self,
    ) -> None:
        self.limit_idle_time()
        sock = self.connect()
        self.assertEqual(await self.read(sock), b'')

    # Guards against requests that are lost, as they arrive when their
    # connection has just been idle for too long.
    async def test_request_that_arrives_at_the_idle_limit_is_answered(
        self,
    ) -> None:
        self.limit_idle_time()
        sock = self.connect()
        await self.wait_for_connections(1)
        sock.send(REQUEST)
        # The loop sees the request and the end of the limit in one turn.
        time.sleep(2 * IDLE_LIMIT_S)
        answer = await self.read(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

    def limit_idle_time(self) -> None:
        application = Application([('/p', EchoHandler)])
        self.server = DrainableServer(
            application, idle_connection_timeout=IDLE_LIMIT_S
        )
        self.listen()
