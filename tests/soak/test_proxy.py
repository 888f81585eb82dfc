"""Tests the troubles that the soak's proxy makes."""

import asyncio
import unittest

from soak.proxy import Proxy
from soak.proxy import SLOW_S
from soak.proxy import Trouble

HOST = '127.0.0.1'
SOON_S = 0.1


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Sends bytes through a proxy to a server that echoes them."""

    async def asyncSetUp(self) -> None:
        self.received = b''
        self.echo = await asyncio.start_server(self._echo, HOST, 0)
        port = self.echo.sockets[0].getsockname()[1]
        self.proxy = Proxy(HOST, (HOST, port))
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.proxy.port
        )
        self.assertEqual(await self._ask(b'a'), b'a')

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

    async def _ask(self, data: bytes) -> bytes:
        self.writer.write(data)
        async with asyncio.timeout(SOON_S):
            return await self.reader.read(100)

    async def test_silence_holds_bytes_until_it_ends(self) -> None:
        self.proxy.set(Trouble.SILENT)
        with self.assertRaises(TimeoutError):
            await self._ask(b'b')
        self.assertEqual(self.received, b'a')
        self.proxy.set(Trouble.NONE)
        self.assertEqual(await self.reader.read(100), b'b')

    async def test_one_way_cut_lets_calls_arrive(self) -> None:
        self.proxy.set(Trouble.ANSWERS_HELD)
        with self.assertRaises(TimeoutError):
            await self._ask(b'b')
        self.assertEqual(self.received, b'ab')

    async def test_slow_link_is_slow(self) -> None:
        self.proxy.set(Trouble.SLOW)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.writer.write(b'b')
        self.assertEqual(await self.reader.read(100), b'b')
        self.assertGreaterEqual(loop.time() - started_s, 2 * SLOW_S)

    async def test_reset_ends_connections(self) -> None:
        self.proxy.reset()
        with self.assertRaises(ConnectionResetError):
            await self._ask(b'b')


if __name__ == '__main__':
    unittest.main()
