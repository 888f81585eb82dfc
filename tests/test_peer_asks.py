"""Test requests with several answers, and messages without any."""

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
from jackdawfield.messages.fleet_slots import SlotOwnerStops
from jackdawfield.messages.fleet_slots import SlotQueued
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST

QUEUED = SlotQueued(0.0)
LAST = SlotQueued(1.0)
NOTICE = SlotOwnerStops('address', 'incarnation')
LONG_S = 10.0
SHORT_S = 0.05


class PeerAsksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.has_ended = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.server = PeerServer()
        self.server.handle_stream(
            SlotQueued, self.answer, lambda answer: answer == LAST
        )
        port = free_port()
        self.address = f'{HOST}:{port}'
        await self.server.start(self.address, None)
        self.addAsyncCleanup(self.server.stop, 0)
        self.links = PeerLinks()
        self.addAsyncCleanup(self.links.close)

    async def answer(self, _: SlotQueued) -> AsyncIterator[object]:
        try:
            yield QUEUED
            await self.may_answer.wait()
            yield LAST
            raise AssertionError('asked for more than the last answer')
        finally:
            self.has_ended.set()

    async def ask(self, later_s: float) -> Result[SlotQueued, PeerError]:
        def wait_s(answer: SlotQueued) -> float | None:
            return None if answer == LAST else later_s

        return await self.links.ask(self.address, QUEUED, wait_s, LONG_S)

    async def test_returns_the_last_answer(self) -> None:
        self.may_answer.set()
        self.assertEqual(await self.ask(LONG_S), Ok(LAST))
        async with asyncio.timeout(LONG_S):
            await self.has_ended.wait()

    async def test_an_overdue_answer_ends_the_request(self) -> None:
        found = await self.ask(SHORT_S)
        assert isinstance(found, Err)
        self.assertIs(found.err_value.fault, PeerFault.SILENT)
        # The peer is told that nobody waits any more.
        async with asyncio.timeout(LONG_S):
            await self.has_ended.wait()

    async def test_a_broken_link_ends_the_request_at_once(self) -> None:
        asking = asyncio.create_task(self.ask(LONG_S))
        async with asyncio.timeout(LONG_S):
            while not self.server.open_exchange_count:
                await asyncio.sleep(0)
        await self.server.stop(0)
        found = await asking
        assert isinstance(found, Err)
        self.assertIsNot(found.err_value.fault, PeerFault.SILENT)

    async def test_a_failed_notice_leaves_the_link_open(self) -> None:
        def fail(_: SlotOwnerStops) -> None:
            raise ValueError('not handled')

        self.server.handle_notice(SlotOwnerStops, fail)
        self.may_answer.set()
        with self.assertLogs('jackdawfield.drivers.peers', 'ERROR'):
            self.links.notify(self.address, NOTICE)
            self.assertEqual(await self.ask(LONG_S), Ok(LAST))

    async def test_a_notice_arrives_without_an_answer(self) -> None:
        taken = asyncio.get_running_loop().create_future()
        self.server.handle_notice(SlotOwnerStops, taken.set_result)
        self.assertEqual(self.links.notify(self.address, NOTICE), Ok(None))
        async with asyncio.timeout(LONG_S):
            self.assertEqual(await taken, NOTICE)
        self.assertEqual(self.server.open_exchange_count, 0)
