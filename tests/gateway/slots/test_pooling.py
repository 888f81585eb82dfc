"""Test slots that one instance grants to all, and the loss of its parts.

Load pattern: calls of several instances for one server with four slots, more
than it has in the tests of queued calls.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import unittest
from unittest import mock

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.slots.client import ANSWER_TIMEOUT_S
from jackdawfield.gateway.slots.client import Fallback
from jackdawfield.messages.fleet_slots import AskSlot
from tests.gateway.harness import Answer
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import TIMEOUT_S
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.slots.fleet import client_of
from tests.gateway.slots.fleet import owner_of
from tests.gateway.slots.fleet import pool_of
from tests.gateway.slots.fleet import PoolingFleet

SLOTS = 4
QUEUED = 2
# Well below the limit of a call, and above the delays of a busy machine.
HANDOVER_S = 0.6


class PoolingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.fleet = PoolingFleet()
        self.fleet.server.script = self.answer
        # Other work of this machine is no fault of an owner.
        self.patience = mock.patch(
            'jackdawfield.gateway.slots.client.ANSWER_TIMEOUT_S', TIMEOUT_S
        )
        self.patience.start()
        self.addCleanup(self.patience.stop)
        await self.fleet.start_members()
        self.addAsyncCleanup(self.fleet.stop)

    async def answer(self, received: ReceivedRequest) -> None:
        await self.may_answer.wait()
        await engine(received)

    async def call_all(self, gateways: list[Gateway], prefix: str) -> None:
        """Send a stream and a tool call to instances; expect service."""
        for number, gateway in enumerate(gateways):
            for kind, path in (('turn', '/turns/x'), ('tool', '/tool/x')):
                name = f'{prefix}-{kind}-{number}'
                answer = await self.fleet.call(gateway, name, path)
                self.assertEqual(answer.status, 200, name)

    def start_calls(
        self, gateway: Gateway, count: int, prefix: str
    ) -> list[asyncio.Task[Answer]]:
        """Start tool calls, which must not run twice."""
        return [
            asyncio.create_task(
                self.fleet.call(gateway, f'{prefix}-{n}', '/tool/x')
            )
            for n in range(count)
        ]

    async def hold_slots(self) -> list[asyncio.Task[Answer]]:
        """Fill the server with calls of an instance that owns no slots."""
        self.may_answer.clear()
        calls = self.start_calls(self.fleet.others()[0], SLOTS, 'held')
        server = self.fleet.server
        await self.fleet.wait_until(lambda: len(server.requests) == SLOTS)
        return calls

    async def queue_calls(self) -> list[asyncio.Task[Answer]]:
        """Queue calls of another instance at the owner."""
        calls = self.start_calls(self.fleet.others()[1], QUEUED, 'queued')
        pool = pool_of(self.fleet.owning())
        await self.fleet.wait_until(lambda: pool.queued_count == QUEUED)
        return calls

    async def assert_served(self, calls: list[asyncio.Task[Answer]]) -> None:
        """Expect calls to be served, and that none has run twice."""
        async with asyncio.timeout(TIMEOUT_S):
            answers = await asyncio.gather(*calls)
        self.assertEqual([a.status for a in answers], [200] * len(calls))
        self.assert_none_ran_twice()

    def assert_none_ran_twice(self) -> None:
        runs = collections.Counter(
            received.header('x-jackdawfield-request-id')
            for received in self.fleet.server.requests
        )
        self.assertEqual([n for n, count in runs.items() if count > 1], [])

    def fallbacks(self, gateway: Gateway, reason: Fallback) -> int:
        return client_of(gateway).fallback_counts[reason]

    async def test_grants_and_releases_slots_for_all_instances(self) -> None:
        await self.call_all(self.fleet.gateways, 'a')
        for gateway in self.fleet.gateways:
            client = client_of(gateway)
            self.assertEqual(client.granted_count, 2)
            self.assertEqual(sum(client.fallback_counts.values()), 0)
        pool = pool_of(self.fleet.owning())
        await self.fleet.wait_until(lambda: pool.is_idle)
        for gateway in self.fleet.others():
            self.assertEqual(owner_of(gateway).pools_by_service, {})
        self.assert_none_ran_twice()

    async def test_queues_calls_of_all_instances_for_a_full_server(
        self,
    ) -> None:
        held = await self.hold_slots()
        queued = await self.queue_calls()
        self.assertEqual(len(self.fleet.server.requests), SLOTS)
        text = self.fleet.owning().metrics.render_prometheus()
        line = f'slots_owned_queue{{service="model"}} {QUEUED}'
        self.assertIn(line, text)
        self.may_answer.set()
        await self.assert_served(held + queued)

    async def test_an_owner_that_is_killed_loses_no_call(self) -> None:
        await self.hold_slots()
        queued = await self.queue_calls()
        owning = self.fleet.owning()
        await owning.close()
        self.fleet.gateways.remove(owning)
        # What the owner held was on its own way to the server.
        self.may_answer.set()
        await self.assert_served(queued)
        await self.call_all(self.fleet.gateways, 'after')
        self.assert_none_ran_twice()

    async def test_an_owner_that_is_frozen_delays_no_call(self) -> None:
        async def never(_: AskSlot) -> AsyncIterator[object]:
            await asyncio.Event().wait()
            yield None

        owning = self.fleet.owning()
        other = self.fleet.others()[0]
        owning.peers.handle_stream(AskSlot, never)
        name = 'jackdawfield.gateway.slots.client.ANSWER_TIMEOUT_S'
        with mock.patch(name, ANSWER_TIMEOUT_S):
            await self.call_all([other], 'a')
        self.assertGreaterEqual(self.fallbacks(other, Fallback.SILENT), 1)
        self.assert_none_ran_twice()

    async def test_two_owners_at_once_serve_all_calls(self) -> None:
        first, second = self.fleet.others()
        members = second.members
        # It has not heard of the others' owner.
        seats = {
            seat_id: row
            for seat_id, row in members.rows_by_seat.items()
            if row.incarnation != self.fleet.owning().members.incarnation
        }
        with mock.patch.object(members, 'rows_by_seat', seats):
            calls = self.start_calls(first, SLOTS, 'first')
            calls += self.start_calls(second, SLOTS, 'second')
            await self.assert_served(calls)
        owners = [
            g for g in self.fleet.gateways if owner_of(g).pools_by_service
        ]
        self.assertEqual(len(owners), 2)

    async def test_serves_alone_while_no_owner_is_known(self) -> None:
        gateway = self.fleet.others()[0]
        with mock.patch.object(gateway.members, 'rows_by_seat', {}):
            await self.call_all([gateway], 'a')
        self.assertEqual(self.fallbacks(gateway, Fallback.NO_OWNER), 2)

    async def test_asks_owners_while_the_store_is_away(self) -> None:
        gateway = self.fleet.others()[0]
        self.fleet.store.stop()
        for number in range(3):
            answer = await self.fleet.call(gateway, f't{number}', '/tool/x')
            self.assertEqual(answer.status, 200)
        self.assertEqual(client_of(gateway).granted_count, 3)

    async def test_the_grant_of_a_lost_call_comes_back(self) -> None:
        held = await self.hold_slots()
        pool = pool_of(self.fleet.owning())
        self.assertEqual(pool.used_count, SLOTS)
        lost = self.fleet.others()[0]
        await lost.close()
        self.fleet.gateways.remove(lost)
        await self.fleet.wait_until(lambda: pool.is_idle)
        self.may_answer.set()
        for call in held:
            call.cancel()
        await self.call_all(self.fleet.gateways, 'after')
        self.assert_none_ran_twice()

    async def test_an_owner_that_stops_sends_queued_calls_away(self) -> None:
        held = await self.hold_slots()
        queued = await self.queue_calls()
        owning = self.fleet.owning()
        # Other work of this machine delays what instances tell each other.
        patience = mock.patch(
            'jackdawfield.gateway.slots.owner.HANDOVER_S', HANDOVER_S
        )
        patience.start()
        self.addCleanup(patience.stop)
        stop = asyncio.create_task(owning.stop())
        others = [g for g in self.fleet.gateways if g is not owning]
        # The slots in use are known to the next owner, so these are queued.
        await self.fleet.wait_until(
            lambda: any(
                pool.queued_count == QUEUED
                for other in others
                for pool in owner_of(other).pools_by_service.values()
            )
        )
        self.assertEqual(len(self.fleet.server.requests), SLOTS)
        self.may_answer.set()
        await self.assert_served(held + queued)
        self.fleet.gateways.remove(owning)
        await stop


class DisabledTest(unittest.IsolatedAsyncioTestCase):
    async def test_sends_nothing_unless_the_settings_say_so(self) -> None:
        fleet = Fleet()
        await fleet.start(2)
        self.addAsyncCleanup(fleet.stop)
        sent: list[str] = []

        def record(name: str) -> mock._patch:
            original = getattr(PeerLinks, name)

            def send(
                links: PeerLinks, address: str, message: object, *args: object
            ) -> object:
                sent.append(type(message).__name__)
                return original(links, address, message, *args)

            return mock.patch.object(PeerLinks, name, send)

        with record('ask'), record('notify'), record('request'):
            for number, gateway in enumerate(fleet.gateways):
                self.assertIsNone(gateway.slot_pooling)
                answer = await fleet.call(gateway, f't{number}', '/tool/x')
                self.assertEqual(answer.status, 200)
        slot_messages = [name for name in sent if 'Slot' in name]
        self.assertEqual(slot_messages, [])
