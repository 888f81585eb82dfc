import asyncio
import unittest

from result import Err
from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.peers import TIMEOUTS_TO_REOPEN
from jackdawfield.messages.fleet_rates import Ping
from jackdawfield.messages.fleet_rates import Pong
from tests.gateway.fleet import free_port
from tests.gateway.fleet import HOST


class SilentWay:
    """Passes bytes on until it falls silent; new connections work."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.connections = 0
        self.silent_up_to = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        there, back = await asyncio.open_connection(HOST, self._port)
        await asyncio.gather(
            self.copy(number, reader, back), self.copy(number, there, writer)
        )

    async def copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(65536):
            if number > self.silent_up_to:
                writer.write(data)
        writer.close()


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    async def test_link_that_went_silent_is_opened_anew(self) -> None:
        async def answer(_: Ping) -> Pong:
            return Pong('incarnation', 1)

        server = PeerServer()
        server.handle(Ping, answer)
        port = free_port()
        await server.start(f'{HOST}:{port}', None)
        self.addAsyncCleanup(server.stop, 0)
        way = SilentWay(port)
        proxy = await asyncio.start_server(way.serve, HOST, 0)
        self.addCleanup(proxy.close)
        address = f'{HOST}:{proxy.sockets[0].getsockname()[1]}'
        links = PeerLinks()
        self.addAsyncCleanup(links.close)
        found = await links.request(address, Ping(), 2.0)
        self.assertIsInstance(found, Ok)
        way.silent_up_to = way.connections
        for _ in range(TIMEOUTS_TO_REOPEN):
            found = await links.request(address, Ping(), 0.1)
            self.assertIsInstance(found, Err)
        found = await links.request(address, Ping(), 2.0)
        self.assertIsInstance(found, Ok)
