"""Test when links to peers are closed, and what becomes of exchanges then."""

import asyncio
from collections.abc import AsyncIterator
import unittest

from result import Err
from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.peers import TIMEOUTS_TO_REOPEN
from jackdawfield.messages.fleet_rates import AskFallback
from jackdawfield.messages.fleet_rates import FallbackGranted
from jackdawfield.messages.fleet_rates import Ping
from jackdawfield.messages.fleet_rates import Pong
from jackdawfield.messages.fleet_rates import RolesDigest
from jackdawfield.model import OrganisationId
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST

ASK = AskFallback(OrganisationId('o'), 1)


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

    # Guards against answers under way that are lost as requests of another
    # kind, which their handler can't answer in time, pass for a silent link.
    async def test_link_that_brings_answers_is_not_closed(self) -> None:
        pinged: asyncio.Queue[None] = asyncio.Queue()

        async def never_answer(_: Ping) -> Pong:
            pinged.put_nowait(None)
            await asyncio.Event().wait()
            raise AssertionError

        async def answer_each_ping(
            _: AskFallback,
        ) -> AsyncIterator[FallbackGranted]:
            for number in range(TIMEOUTS_TO_REOPEN + 1):
                await pinged.get()
                yield FallbackGranted(number)

        server = PeerServer()
        server.handle(Ping, never_answer)
        server.handle_stream(AskFallback, answer_each_ping)
        address = f'{HOST}:{free_port()}'
        await server.start(address, None)
        self.addAsyncCleanup(server.stop, 0)
        links = PeerLinks()
        self.addAsyncCleanup(links.close)

        async def read() -> list[object]:
            return [answer async for answer in links.stream(address, ASK)]

        reading = asyncio.create_task(read())
        for _ in range(TIMEOUTS_TO_REOPEN + 1):
            result = await links.request(address, Ping(), 0.3)
            self.assertIsInstance(result, Err)
        async with asyncio.timeout(2.0):
            answers = await reading
        self.assertEqual(
            answers,
            [Ok(FallbackGranted(n)) for n in range(TIMEOUTS_TO_REOPEN + 1)],
        )
