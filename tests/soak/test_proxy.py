"""Test the link faults of the soak's proxy."""

import asyncio
import unittest

from soak.proxy import FaultProxy
from soak.proxy import LinkFault
from soak.proxy import SLOW_DELAY_S

HOST = '127.0.0.1'
TIMEOUT_S = 0.1


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Sends bytes through a proxy to a server that echoes them."""

    async def asyncSetUp(self) -> None:
        self.received = b''
        self.echo = await asyncio.start_server(self._echo, HOST, 0)
        port = self.echo.sockets[0].getsockname()[1]
        self.proxy = FaultProxy(HOST, (HOST, port))
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.proxy.port
        )
        self.assertEqual(await self._exchange(b'a'), b'a')

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.proxy.stop()
        self.echo.close()

    async def _echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(100):
            self.received += data
            writer.write(data)
        writer.close()

    async def _exchange(self, data: bytes) -> bytes:
        self.writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read(100)

    async def test_stalled_link_holds_bytes_until_the_fault_ends(self) -> None:
        self.proxy.set_fault(LinkFault.STALLED)
        with self.assertRaises(TimeoutError):
            await self._exchange(b'b')
        self.assertEqual(self.received, b'a')
        self.proxy.set_fault(LinkFault.NONE)
        self.assertEqual(await self.reader.read(100), b'b')

    async def test_requests_arrive_while_responses_are_stalled(self) -> None:
        self.proxy.set_fault(LinkFault.RESPONSES_STALLED)
        with self.assertRaises(TimeoutError):
            await self._exchange(b'b')
        self.assertEqual(self.received, b'ab')

    async def test_slow_link_delays_both_directions(self) -> None:
        self.proxy.set_fault(LinkFault.SLOW)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.writer.write(b'b')
        self.assertEqual(await self.reader.read(100), b'b')
        self.assertGreaterEqual(loop.time() - started_s, 2 * SLOW_DELAY_S)

    async def test_reset_connections_resets_open_connections(self) -> None:
        self.proxy.reset_connections()
        with self.assertRaises(ConnectionResetError):
            await self._exchange(b'b')


if __name__ == '__main__':
    unittest.main()
