"""Test when links to peers are closed, and what becomes of exchanges then."""

import asyncio
from collections.abc import AsyncIterator
import unittest

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
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
PONG = Pong('incarnation', 1, RolesDigest(b''))
LONG_GRACE_S = 60.0


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
            return PONG

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


class PeerServerStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.taken: list[Ping] = []
        self.may_answer = asyncio.Event()
        self.address = f'{HOST}:{free_port()}'
        self.server = await self.start_server()
        self.links = PeerLinks()
        self.addAsyncCleanup(self.links.close)

    async def start_server(self) -> PeerServer:
        server = PeerServer()
        server.handle(Ping, self.answer)
        await server.start(self.address, None)
        self.addAsyncCleanup(server.stop, 0)
        return server

    async def answer(self, ping: Ping) -> Pong:
        self.taken.append(ping)
        await self.may_answer.wait()
        return PONG

    def ask(self) -> asyncio.Task[Result[Pong, PeerError]]:
        request = self.links.request(self.address, Ping(), 5.0)
        return asyncio.create_task(request)

    async def take(self) -> asyncio.Task[Result[Pong, PeerError]]:
        """Ask and return once the server has begun to answer."""
        asked = self.ask()
        async with asyncio.timeout(5.0):
            while not self.taken:
                await asyncio.sleep(0.01)
        return asked

    # Guards against requests of other instances whose answers are lost at a
    # planned stop.
    async def test_what_was_taken_is_answered_and_then_the_stop_ends(
        self,
    ) -> None:
        asked = await self.take()
        stopping = asyncio.create_task(self.server.stop(LONG_GRACE_S))
        await asyncio.sleep(0)
        self.may_answer.set()
        self.assertEqual(await asked, Ok(PONG))
        async with asyncio.timeout(5.0):
            await stopping

    # Guards against requests that are taken during a planned stop and cut.
    async def test_what_comes_during_a_stop_is_refused_as_not_sent(
        self,
    ) -> None:
        asked = await self.take()
        stopping = asyncio.create_task(self.server.stop(LONG_GRACE_S))
        await asyncio.sleep(0)
        result = await self.ask()
        assert isinstance(result, Err)
        self.assertIs(result.err_value.fault, PeerFault.NOT_SENT)
        self.assertEqual(len(self.taken), 1)
        self.may_answer.set()
        self.assertEqual(await asked, Ok(PONG))
        async with asyncio.timeout(5.0):
            await stopping

    async def test_link_is_used_again_once_the_peer_is_back(self) -> None:
        self.may_answer.set()
        self.assertEqual(await self.ask(), Ok(PONG))
        async with asyncio.timeout(5.0):
            await self.server.stop(LONG_GRACE_S)
        await self.start_server()
        async with asyncio.timeout(5.0):
            while await self.ask() != Ok(PONG):
                await asyncio.sleep(0.05)
        self.assertEqual(len(self.taken), 2)

    async def test_stop_cuts_what_is_not_answered_within_the_grace(
        self,
    ) -> None:
        asked = await self.take()
        await self.server.stop(0.1)
        result = await asked
        assert isinstance(result, Err)
        self.assertIs(result.err_value.fault, PeerFault.LOST)
