"""Test which idle connections the pool hands out for the next request."""

import asyncio
import os
import socket
import unittest

from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from tests.gateway.scripted_server import answer
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import ScriptedServer

HOST = '127.0.0.1'
TIMEOUT_S = 2.0
# Like calls of the store, it carries no id that its response repeats.
REQUEST = OutgoingRequest('POST', '/p', (('Host', 'h'),))


async def answer_plainly(received: ReceivedRequest) -> None:
    """Answer a request without repeating an id."""
    received.writer.write(answer('', b'ok'))


class PoolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)
        self.server = await ScriptedServer(answer_plainly).start()
        self.addAsyncCleanup(self.server.stop)

    async def acquire(self) -> Connection:
        found = await self.pool.acquire(HOST, self.server.port, TIMEOUT_S)
        return found.unwrap()

    async def exchange(self) -> tuple[bytes, BodyEnd]:
        """Return the body of a response and how it ended."""
        connection = await self.acquire()
        connection.send(REQUEST).unwrap()
        body = b''
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                match await connection.next_part():
                    case ResponseHead():
                        pass
                    case bytes(piece):
                        body += piece
                    case BodyEnd() as end:
                        break
        self.pool.release(HOST, self.server.port, connection)
        return body, end

    def server_socket(self) -> socket.socket:
        """Return the server's socket of its last request.

        What is done to it reaches the client's socket at once, and the
        client's protocol in a later turn of the event loop.
        """
        writer = self.server.requests[-1].writer
        sock: socket.socket = writer.get_extra_info('socket')
        return sock

    async def test_idle_connection_stays_in_use(self) -> None:
        for _ in range(3):
            self.assertEqual(await self.exchange(), (b'ok', BodyEnd.WHOLE))
        self.assertEqual(self.server.connections, 1)

    # Guards against requests that may have run, as their connection's close
    # had arrived before they were sent.
    async def test_connection_closed_before_the_send_is_not_used(self) -> None:
        await self.exchange()
        self.server_socket().shutdown(socket.SHUT_RDWR)
        self.assertEqual(await self.exchange(), (b'ok', BodyEnd.WHOLE))
        self.assertEqual(len(self.server.requests), 2)

    # Guards against a late answer that the next request takes for its own.
    async def test_connection_with_late_bytes_is_not_used(self) -> None:
        await self.exchange()
        os.write(self.server_socket().fileno(), answer('', b'late'))
        self.assertEqual(await self.exchange(), (b'ok', BodyEnd.WHOLE))
        self.assertEqual(self.server.connections, 2)

    async def test_all_closed_connections_are_passed_over(self) -> None:
        connections = [await self.acquire() for _ in range(3)]
        for connection in connections:
            connection.send(REQUEST).unwrap()
            while await connection.next_part() is not BodyEnd.WHOLE:
                pass
            self.pool.release(HOST, self.server.port, connection)
        for received in self.server.requests:
            sock = received.writer.get_extra_info('socket')
            sock.shutdown(socket.SHUT_RDWR)
        self.assertEqual(await self.exchange(), (b'ok', BodyEnd.WHOLE))
