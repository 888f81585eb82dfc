"""Test the instance that asks for slots, with owners that fail it.

Load pattern: one call at a time, so that nothing but the owner's fault
decides how it is served.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import IsolatedAsyncioTestCase
from unittest import mock

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.slots.call_slots import CallSlots
from jackdawfield.gateway.slots.client import ANSWER_TIMEOUT_S
from jackdawfield.gateway.slots.client import Fallback
from jackdawfield.gateway.slots.client import SlotClient
from jackdawfield.gateway.slots.demands import Home
from jackdawfield.gateway.slots.owner import SlotOwner
from jackdawfield.gateway.slots.owner_choice import OwnerChoice
from jackdawfield.gateway.slots.owner_choice import SILENCES_TO_AVOID
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import SlotChanges
from jackdawfield.messages.fleet_slots import SlotDenied
from jackdawfield.messages.fleet_slots import SlotElsewhere
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.messages.fleet_slots import SlotGranted
from jackdawfield.messages.fleet_slots import SlotNotOwned
from jackdawfield.messages.fleet_slots import SlotQueued
from jackdawfield.model import ServerId
from tests.gateway.servers.test_dispatch import make_call
from tests.gateway.slots.builders import DOMAIN
from tests.gateway.slots.builders import HOME
from tests.gateway.slots.builders import make_entry
from tests.gateway.slots.builders import make_row
from tests.gateway.slots.builders import make_rows
from tests.gateway.slots.builders import make_servers
from tests.gateway.slots.builders import OTHER_DOMAIN
from tests.gateway.slots.builders import REGION
from tests.gateway.slots.builders import SERVICE

GRANTED = SlotGranted(ServerId('s1'), 1)
UNREACHED = Err(PeerError(PeerFault.NOT_SENT, 'broken'))
SILENT = Err(PeerError(PeerFault.SILENT, 'timeout'))
# Time within which the changes of slots are sent.
SETTLE_S = 0.05

Script = Callable[[str, Any], Result[Any, PeerError]]


class FakeLinks:
    """Answers as a script says, and records what is sent to whom."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.asks: list[tuple[str, AskSlot]] = []
        self.changes: list[tuple[str, SlotChanges]] = []
        self.notified: Result[None, PeerError] = Ok(None)

    async def ask(
        self, address: str, message: AskSlot, _: object, __: float
    ) -> Result[Any, PeerError]:
        self.asks.append((address, message))
        await asyncio.sleep(0)
        return self.script(address, message)

    def notify(
        self, address: str, message: SlotChanges
    ) -> Result[None, PeerError]:
        self.changes.append((address, message))
        return self.notified

    def addresses(self) -> list[str]:
        return [address for address, _ in self.asks]

    def ends(self) -> list[tuple[str, SlotEnd]]:
        return [
            (ended.grant_id, ended.end)
            for _, changes in self.changes
            for ended in changes.ended
        ]


class ClientTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.links = FakeLinks(lambda *_: Ok(GRANTED))
        self.servers = make_servers(make_entry('s1', slots=2))
        self.members = mock.Mock(
            rows_by_seat=make_rows('x', 'y'), incarnation='own', version=1
        )
        metrics = GatewayMetrics('own')
        self.queue = SlotQueue(self.servers, metrics)
        settings = mock.Mock(domain_id=DOMAIN, region_id=REGION)
        self.owner = SlotOwner(settings, HOME, self.servers)
        self.client = SlotClient(
            Home(HOME, 'home:1', DOMAIN),
            self.owner,
            OwnerChoice(self.members),
            self.links,
            self.queue,
            mock.Mock(has_idle=lambda *_: True),
            metrics,
        )
        self.slots = CallSlots(self.queue, self.client)
        self.call = make_call(CallKind.STREAM)

    async def acquire(
        self, *excluded: str, call: Call | None = None
    ) -> ServerState | Refusal | None:
        excluded_ids = frozenset(ServerId(name) for name in excluded)
        criteria = ServerCriteria(
            SERVICE, 'key', needs_slot=True, excluded_ids=excluded_ids
        )
        return await self.slots.acquire(call or self.call, criteria)

    async def acquire_server(self, call: Call | None = None) -> ServerState:
        server = await self.acquire(call=call)
        assert isinstance(server, ServerState)
        return server

    async def assert_served_alone(self, fallback: Fallback) -> None:
        server = await self.acquire_server()
        self.assertEqual(server.entry.server_id, 's1')
        self.assertEqual(server.in_flight, 1)
        self.assertEqual(self.client.fallback_counts[fallback], 1)
        self.assertEqual(sum(self.client.fallback_counts.values()), 1)

    async def settle(self) -> None:
        await asyncio.sleep(SETTLE_S)

    async def test_uses_a_granted_slot_and_tells_its_end(self) -> None:
        server = await self.acquire_server()
        self.assertEqual(server.in_flight, 1)
        ((address, ask),) = self.links.asks
        self.assertEqual(ask.connected_ids, (ServerId('s1'),))
        self.slots.begin(self.call, server)
        self.slots.release(self.call, server, SlotEnd.SUCCEEDED)
        self.assertEqual(server.in_flight, 0)
        await self.settle()
        ((told, changes),) = self.links.changes
        self.assertEqual(told, address)
        grant_id = ask.demand.grant_id
        self.assertEqual(changes.begun[0].grant_id, grant_id)
        self.assertEqual(changes.ended[0].grant_id, grant_id)
        self.assertEqual(changes.ended[0].end, SlotEnd.SUCCEEDED)

    async def test_each_request_has_a_grant_of_its_own(self) -> None:
        first = await self.acquire_server()
        self.slots.release(self.call, first, SlotEnd.UNREACHED)
        self.servers.put(make_entry('s2'))
        self.links.script = lambda *_: Ok(SlotGranted(ServerId('s2'), 1))
        second = await self.acquire('s1')
        assert isinstance(second, ServerState)
        self.assertEqual(second.entry.server_id, 's2')
        asks = [ask for _, ask in self.links.asks]
        self.assertEqual(asks[1].excluded_ids, (ServerId('s1'),))
        grants = {ask.demand.grant_id for ask in asks}
        self.assertEqual(len(grants), 2)

    async def test_decides_alone_if_no_owner_is_known(self) -> None:
        self.members.rows_by_seat = {}
        await self.assert_served_alone(Fallback.NO_OWNER)
        self.assertEqual(self.links.asks, [])

    async def test_decides_alone_if_the_owner_is_not_reached(self) -> None:
        self.links.script = lambda *_: UNREACHED
        await self.assert_served_alone(Fallback.UNREACHED)
        self.assertEqual(len(self.links.asks), 1)

    async def test_decides_alone_if_the_owner_does_not_answer(self) -> None:
        self.links.script = lambda *_: SILENT
        await self.assert_served_alone(Fallback.SILENT)
        self.assertEqual(len(self.links.asks), 1)

    async def test_one_silence_does_not_make_another_owner(self) -> None:
        faults = [SILENT, Ok(GRANTED)] * SILENCES_TO_AVOID
        self.links.script = lambda *_: faults.pop(0)
        while faults:
            server = await self.acquire_server()
            self.slots.release(self.call, server, SlotEnd.SUCCEEDED)
        self.assertEqual(len(set(self.links.addresses())), 1)

    async def test_asks_the_next_member_while_one_is_avoided(self) -> None:
        self.links.script = lambda *_: UNREACHED
        await self.acquire_server()
        self.links.script = lambda *_: Ok(GRANTED)
        other = replace(self.call, request_id='b')
        await self.acquire_server(call=other)
        first, second = self.links.addresses()
        self.assertNotEqual(first, second)
        await self.settle()
        # The first may have granted a slot; the next learns what is in use.
        withdrawn = self.links.asks[0][1].demand.grant_id
        self.assertIn((withdrawn, SlotEnd.UNUSED), self.links.ends())
        used = [
            (address, used.demand.request_id)
            for address, changes in self.links.changes
            for used in changes.used
        ]
        self.assertEqual(used, [(second, 'a')])

    async def test_asks_the_next_member_if_the_owner_stops(self) -> None:
        def script(address: str, _: Any) -> Result[Any, PeerError]:
            if address == self.links.addresses()[0]:
                return Ok(SlotNotOwned('stopping', is_stopping=True))
            return Ok(GRANTED)

        self.links.script = script
        await self.acquire_server()
        self.assertEqual(len(set(self.links.addresses())), 2)
        self.assertEqual(sum(self.client.fallback_counts.values()), 0)

    async def test_asks_elsewhere_once_as_told(self) -> None:
        rows = self.members.rows_by_seat
        rows['b/0'] = make_row('z', OTHER_DOMAIN)
        self.servers.put(make_entry('s2', 1, OTHER_DOMAIN))

        def script(_: str, ask: AskSlot) -> Result[Any, PeerError]:
            if ask.may_spill:
                return Ok(SlotElsewhere(OTHER_DOMAIN))
            return Ok(SlotGranted(ServerId('s2'), 1))

        self.links.script = script
        server = await self.acquire_server()
        self.assertEqual(server.entry.server_id, 's2')
        self.assertEqual(self.links.addresses()[1], 'z:1')

    async def test_a_refusal_is_passed_on(self) -> None:
        self.links.script = lambda *_: Ok(SlotDenied('queue is full', 0.7))
        refusal = await self.acquire()
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.status, refusal.retry_after_s), (503, 0.7))

    async def test_gives_back_a_server_that_it_cannot_use(self) -> None:
        for granted in (
            SlotGranted(ServerId('unknown'), 1),
            SlotGranted(ServerId('s1'), 2),
        ):
            with self.subTest(granted=granted):
                self.setUp()
                self.links.script = lambda *_, granted=granted: Ok(granted)
                await self.assert_served_alone(Fallback.SERVER_UNKNOWN)
                await self.settle()
                grant_id = self.links.asks[0][1].demand.grant_id
                self.assertIn((grant_id, SlotEnd.UNUSED), self.links.ends())

    async def test_a_call_that_is_given_up_withdraws_its_request(self) -> None:
        started = asyncio.Event()

        async def hang(
            address: str, ask: AskSlot, *_: object
        ) -> Result[Any, PeerError]:
            self.links.asks.append((address, ask))
            started.set()
            await asyncio.Event().wait()
            raise AssertionError('not reached')

        with mock.patch.object(self.links, 'ask', hang):
            task = asyncio.create_task(self.acquire())
            await started.wait()
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
        await self.settle()
        grant_id = self.links.asks[0][1].demand.grant_id
        self.assertEqual(self.links.ends(), [(grant_id, SlotEnd.UNUSED)])

    async def test_ends_that_did_not_arrive_are_told_again(self) -> None:
        server = await self.acquire_server()
        self.links.notified = UNREACHED
        self.slots.release(self.call, server, SlotEnd.SUCCEEDED)
        await self.settle()
        self.links.notified = Ok(None)
        self.client._owners._avoid_until_s_by_incarnation.clear()
        self.client.changes.retry()
        await self.settle()
        grant_id = self.links.asks[0][1].demand.grant_id
        succeeded = (grant_id, SlotEnd.SUCCEEDED)
        self.assertEqual(self.links.ends(), [succeeded, succeeded])

    async def test_a_new_owner_is_told_the_slots_in_use(self) -> None:
        await self.acquire_server()
        self.members.rows_by_seat = make_rows('new')
        await self.acquire_server(call=replace(self.call, request_id='b'))
        await self.settle()
        told = {
            used.demand.request_id
            for address, changes in self.links.changes
            for used in changes.used
            if address == 'new:1'
        }
        self.assertEqual(told, {'a'})

    async def test_owns_slots_itself_without_a_message(self) -> None:
        self.members.rows_by_seat = make_rows('own')
        self.members.incarnation = 'own-start'
        server = await self.acquire_server()
        pool = self.owner.pools_by_service[SERVICE]
        self.assertEqual(pool.used_count, 1)
        self.slots.release(self.call, server, SlotEnd.SUCCEEDED)
        await self.settle()
        self.assertTrue(pool.is_idle)
        self.assertEqual(self.links.asks, [])
        self.assertEqual(self.links.changes, [])

    async def test_a_stopping_owner_decides_alone_for_its_calls(self) -> None:
        self.members.rows_by_seat = make_rows('own')
        self.members.incarnation = 'own-start'
        self.owner.is_stopping = True
        await self.assert_served_alone(Fallback.NO_OWNER)

    async def test_a_resumed_call_tells_the_slot_that_it_takes(self) -> None:
        state = self.servers.by_id[ServerId('s1')]
        self.slots.take(self.call, state)
        self.slots.release(self.call, state, SlotEnd.SUCCEEDED)
        await self.settle()
        ((_, changes),) = self.links.changes
        self.assertEqual(changes.used[0].server_id, 's1')
        used_id = changes.used[0].demand.grant_id
        self.assertEqual(changes.ended[0].grant_id, used_id)

    async def test_waits_for_as_long_as_the_owner_announced(self) -> None:
        waits: list[float | None] = []

        async def ask(
            _: str, __: AskSlot, wait_s: Any, timeout_s: float
        ) -> Result[Any, PeerError]:
            waits.extend([timeout_s, wait_s(SlotQueued(0.2))])
            waits.append(wait_s(GRANTED))
            return Ok(GRANTED)

        with mock.patch.object(self.links, 'ask', ask):
            await self.acquire_server()
        expected = [ANSWER_TIMEOUT_S, 0.2 + ANSWER_TIMEOUT_S, None]
        self.assertEqual(waits, expected)
        self.assertEqual(self.client.queued_count, 1)
