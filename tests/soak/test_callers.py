"""Test how the soak's callers tell that an instance read a request."""

import asyncio
from collections.abc import Callable
import socket
import unittest

from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.reasons import LossReason
from soak.callers import CallerConnection
from soak.callers import CallerPool

HOST = '127.0.0.1'
REQUEST = OutgoingRequest('POST', '/x', (('Host', 'h'),), b'body')


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def closed_connection(
        self, act: Callable[[CallerConnection, socket.socket], None]
    ) -> CallerConnection:
        """Return a connection with a request, closed by the other end."""
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
            found = await CallerPool().open(HOST, port, 1.0)
            connection = found.unwrap()
            assert isinstance(connection, CallerConnection)
            other, _ = listener.accept()
            act(connection, other)
            async with asyncio.timeout(2.0):
                self.assertIs(await connection.next_part(), BodyEnd.CUT)
            connection.abort(LossReason.DONE)
            return connection

    async def test_request_was_read(self) -> None:
        def act(connection: CallerConnection, other: socket.socket) -> None:
            connection.send(REQUEST)
            other.recv(65536)
            other.close()

        connection = await self.closed_connection(act)
        self.assertTrue(connection.is_closed_in_order)

    async def test_request_was_left_unread(self) -> None:
        def act(connection: CallerConnection, other: socket.socket) -> None:
            connection.send(REQUEST)
            other.close()

        connection = await self.closed_connection(act)
        self.assertFalse(connection.is_closed_in_order)

    async def test_request_crossed_the_close(self) -> None:
        def act(connection: CallerConnection, other: socket.socket) -> None:
            other.close()
            connection.send(REQUEST)

        connection = await self.closed_connection(act)
        self.assertFalse(connection.is_closed_in_order)


if __name__ == '__main__':
    unittest.main()
