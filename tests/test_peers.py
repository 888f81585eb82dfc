"""Test that links to peers are reopened once they carry no data."""

import asyncio
import unittest

from result import Err
from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.peers import TIMEOUTS_TO_REOPEN
from jackdawfield.messages.fleet_rates import Ping
from jackdawfield.messages.fleet_rates import Pong
from jackdawfield.messages.fleet_rates import RolesDigest
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST


class SilencingProxy:
    """Relays bytes, except on the connections that it has silenced.

    Silenced connections stay open; these are the first silenced_up_to.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self.connections = 0
        self.silenced_up_to = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        upstream_reader, upstream_writer = await asyncio.open_connection(
            HOST, self._port
        )
        await asyncio.gather(
            self.copy(number, reader, upstream_writer),
            self.copy(number, upstream_reader, writer),
        )

    async def copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(65536):
            if number > self.silenced_up_to:
                writer.write(data)
        writer.close()


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_link_is_reopened(self) -> None:
        async def answer(_: Ping) -> Pong:
            return Pong('incarnation', 1, RolesDigest(b''))

        server = PeerServer()
        server.handle(Ping, answer)
        port = free_port()
        await server.start(f'{HOST}:{port}', None)
        self.addAsyncCleanup(server.stop, 0)
        proxy = SilencingProxy(port)
        listener = await asyncio.start_server(proxy.serve, HOST, 0)
        self.addCleanup(listener.close)
        address = f'{HOST}:{listener.sockets[0].getsockname()[1]}'
        links = PeerLinks()
        self.addAsyncCleanup(links.close)
        result = await links.request(address, Ping(), 2.0)
        self.assertIsInstance(result, Ok)
        proxy.silenced_up_to = proxy.connections
        for _ in range(TIMEOUTS_TO_REOPEN):
            result = await links.request(address, Ping(), 0.1)
            self.assertIsInstance(result, Err)
        result = await links.request(address, Ping(), 2.0)
        self.assertIsInstance(result, Ok)
