"""Test how instances take, keep and leave seats.

Load pattern: many instances of a failure domain start at once, or are
restarted in turn, and compete for its few seats.
"""

import asyncio
from typing import Any
import unittest
from unittest import mock

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.failure_detector import FailureDetector
from jackdawfield.gateway.fleet.failure_detector import SUSPEND_ALONE_AFTER_S
from jackdawfield.gateway.fleet.member_rows import decode_member
from jackdawfield.gateway.fleet.member_rows import encode_member
from jackdawfield.gateway.fleet.member_rows import mark_left
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.seat_holder import SeatHolder
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST
from tests.gateway.harness import settings_of

HOLDER_MODULE = 'jackdawfield.gateway.fleet.seat_holder'
SEATS = [SeatId(f'a/{number}') for number in range(3)]


class Instance:
    """Holds the parts of one instance that deal with seats."""

    def __init__(
        self, store: MemoryRowStore, links: PeerLinks, name: str, number: str
    ) -> None:
        port = free_port()
        seeds = (f'{HOST}:{port}', f'{HOST}:9')
        settings = settings_of(name, port, 3, *seeds)
        self.store = store
        self.members = Members(settings, f'{name}.{number}')
        self.holder = SeatHolder(self.members, store)
        self.detector = FailureDetector(self.members, store, links)

    async def read(self) -> None:
        read = await self.store.read(MEMBERS_TABLE, '')
        self.members.apply_snapshot(read.unwrap().rows, False)

    async def join(self) -> None:
        """Take the seat of an earlier incarnation or a vacant one."""
        await self.holder.reclaim()
        await self.read()
        await self.settle()

    async def settle(self) -> None:
        """Wait for the timer and the write that a change has started."""
        while self.holder._claim_timer is not None:
            await asyncio.sleep(0.002)
        task = self.holder._write_task
        if task is not None:
            await task
        await self.read()

    async def establish(self) -> None:
        self.holder._next_write_s = 0.0
        await self.holder.write_established()
        await self.read()


class SeatHolderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryRowStore()
        self.links = PeerLinks()
        self.addAsyncCleanup(self.links.close)
        for name, value in (
            ('CLAIM_SPREAD_S', 0.02),
            ('WRITE_INTERVAL_S', 0.01),
        ):
            patch = mock.patch(f'{HOLDER_MODULE}.{name}', value)
            patch.start()
            self.addCleanup(patch.stop)

    def instance(self, name: str, number: str = '1') -> Instance:
        return Instance(self.store, self.links, name, number)

    async def joined(self, name: str, number: str = '1') -> Instance:
        instance = self.instance(name, number)
        await instance.join()
        return instance

    async def established(self, name: str) -> Instance:
        instance = await self.joined(name)
        await instance.establish()
        return instance

    def rows(self) -> dict[SeatId, MemberRow]:
        return {
            SeatId(key.key): decode_member(row.value or b'')
            for key, row in self.store.rows_by_key.items()
        }

    async def test_seats_are_taken_once_by_many_instances(self) -> None:
        instances = [self.instance(f'i{number}') for number in range(30)]
        await asyncio.gather(*(i.holder.reclaim() for i in instances))
        for _ in range(6):
            await asyncio.gather(*(i.read() for i in instances))
            await asyncio.sleep(0.03)
        await asyncio.gather(*(i.read() for i in instances))
        holders = [i for i in instances if i.members.own_seat is not None]
        self.assertEqual(len(holders), len(SEATS))
        self.assertEqual(sorted(self.rows()), SEATS)
        # Far fewer writes than instances times seats.
        self.assertLess(len(self.store.transactions), 60)

    async def test_instances_without_a_seat_write_nothing(self) -> None:
        for number in range(3):
            await self.joined(f'i{number}')
        before = len(self.store.transactions)
        other = await self.joined('other')
        self.assertIsNone(other.members.own_seat)
        self.assertEqual(len(self.store.transactions), before)

    async def test_restart_takes_its_own_seat_and_what_it_owned(self) -> None:
        first = await self.established('a')
        seat = first.members.own_seat
        restarted = await self.joined('a', '2')
        self.assertEqual(restarted.members.own_seat, seat)
        self.assertTrue(restarted.holder.inherited)
        again = await self.joined('b')
        self.assertFalse(again.holder.inherited)

    async def test_restart_before_it_was_established_inherits_nothing(
        self,
    ) -> None:
        await self.joined('a')
        restarted = await self.joined('a', '2')
        self.assertFalse(restarted.holder.inherited)

    async def test_nothing_is_inherited_during_a_takeover(self) -> None:
        first = await self.established('a')
        observer = await self.established('b')
        await observer.read()
        assert first.members.own_seat is not None
        await observer.detector.suspend_if_unreachable(first.members.own_seat)
        self.assertTrue(self.rows()[first.members.own_seat].proven_dead)
        restarted = await self.joined('b', '2')
        self.assertFalse(restarted.holder.inherited)

    async def test_left_seat_goes_to_another_instance(self) -> None:
        holders = [await self.established(f'i{n}') for n in range(3)]
        waiting = await self.joined('waiting')
        left = holders[0].members.own_seat
        await holders[0].holder.leave()
        await waiting.read()
        await waiting.settle()
        self.assertEqual(waiting.members.own_seat, left)
        self.assertFalse(waiting.holder.inherited)
        self.assertFalse(waiting.holder.is_first_start)
        # The instance that left finds its seat taken.
        restarted = await self.joined('i0', '2')
        self.assertIsNone(restarted.members.own_seat)

    async def test_suspended_seat_is_not_taken_before_it_was_cleared(
        self,
    ) -> None:
        holders = [await self.established(f'i{n}') for n in range(3)]
        waiting = await self.joined('waiting')
        seat = holders[0].members.own_seat
        assert seat is not None
        await waiting.detector.suspend_if_unreachable(seat)
        await waiting.read()
        await asyncio.sleep(0.05)
        self.assertIsNone(waiting.members.own_seat)
        for holder in holders[1:]:
            await holder.read()
            holder.holder._next_write_s = 0.0
            await holder.holder.clear_suspended()
        self.assertTrue(self.rows()[seat].left)
        await waiting.read()
        await waiting.settle()
        self.assertEqual(waiting.members.own_seat, seat)

    async def test_restart_in_an_outage_goes_on_with_its_seat(self) -> None:
        first = await self.established('a')
        seat = first.members.own_seat
        known = (await self.store.read(MEMBERS_TABLE, '')).unwrap().rows
        self.store.injected_faults.extend([StoreFault.UNAVAILABLE] * 2)
        restarted = self.instance('a', '2')
        self.assertFalse(await restarted.holder.try_reclaim())
        reclaiming = asyncio.create_task(restarted.holder.reclaim())
        await asyncio.sleep(0.01)
        # Another instance has told it the rows.
        restarted.members.apply_snapshot(known, True)
        self.assertEqual(restarted.members.own_seat, seat)
        # The earlier incarnation may have handed over what it owned, which
        # only the other members know: test_restarts_in_outages.
        self.assertFalse(restarted.holder.inherited)
        self.assertEqual(restarted.members.other_rows_by_seat, {})
        await reclaiming
        await restarted.read()
        self.assertEqual(restarted.members.own_seat, seat)
        assert seat is not None
        self.assertEqual(self.rows()[seat].incarnation, 'a.2')

    async def test_restart_in_an_outage_takes_no_seat_of_others(self) -> None:
        first = await self.established('a')
        seat = first.members.own_seat
        await first.holder.leave()
        await self.joined('b')
        known = (await self.store.read(MEMBERS_TABLE, '')).unwrap().rows
        restarted = self.instance('a', '2')
        restarted.members.adopts_earlier = True
        restarted.members.apply_snapshot(known, True)
        self.assertNotEqual(restarted.members.own_seat, seat)

    async def test_live_instance_is_not_suspended(self) -> None:
        live = await self.established('a')
        server = PeerServer()
        live.detector.register(server)
        await server.start(live.members.own_address, None)
        self.addAsyncCleanup(server.stop, 0)
        observer = await self.established('b')
        seat = live.members.own_seat
        assert seat is not None
        await observer.detector.suspend_if_unreachable(seat)
        self.assertTrue(self.rows()[seat].is_serving)

    async def test_suspended_instance_rejoins_its_seat(self) -> None:
        suspended = await self.established('a')
        observer = await self.established('b')
        seat = suspended.members.own_seat
        assert seat is not None
        await observer.detector.suspend_if_unreachable(seat)
        await suspended.read()
        await suspended.settle()
        row = self.rows()[seat]
        self.assertTrue(row.is_serving)
        self.assertFalse(row.established)

    async def test_claim_whose_answer_was_lost_is_recognised(self) -> None:
        instance = self.instance('a')
        await instance.holder.reclaim()
        self.store.injected_faults.extend(
            [StoreFault.NONE, StoreFault.ANSWER_LOST]
        )
        await instance.read()
        await instance.settle()
        self.assertEqual(len(instance.members.own_seats), 1)
        self.assertEqual(len(self.store.transactions), 1)

    async def test_second_seat_of_a_late_write_is_left(self) -> None:
        instance = await self.joined('a')
        own = instance.members.own_seat
        assert own is not None
        extra = next(seat for seat in SEATS if seat > own or seat != own)
        row = instance.members.rows_by_seat[own]
        key = RowKey(MEMBERS_TABLE, '', extra)
        self.store.put(key, encode_member(row))
        await instance.read()
        await instance.settle()
        held = [seat for seat, found in self.rows().items() if not found.left]
        self.assertEqual(len(held), 1)
        self.assertEqual(instance.members.own_seats, held)

    # Guards against a planned stop that fails, and so drains nothing, as a
    # second seat is lost while the first one is left.
    async def test_seat_that_is_lost_while_another_is_left(self) -> None:
        instance = await self.joined('a')
        members = instance.members
        own = members.own_seat
        assert own is not None
        extra = max(seat for seat in SEATS if seat != own)
        members.rows_by_seat[extra] = members.rows_by_seat[own]
        first, second = members.own_seats
        transact = self.store.transact

        async def transact_as_a_seat_is_lost(*args: Any) -> Any:
            members.rows_by_seat.pop(second, None)
            return await transact(*args)

        with mock.patch.object(
            self.store, 'transact', transact_as_a_seat_is_lost
        ):
            await instance.holder.leave()
        self.assertTrue(self.rows()[first].left)

    async def test_lost_seat_is_noticed(self) -> None:
        instance = await self.joined('a')
        seat = instance.members.own_seat
        assert seat is not None
        row = mark_left(instance.members.rows_by_seat[seat])
        self.store.put(RowKey(MEMBERS_TABLE, '', seat), encode_member(row))
        other = await self.joined('b')
        self.assertIsNotNone(other.members.own_seat)
        await instance.read()
        self.assertNotEqual(instance.members.own_seat, seat)

    async def test_isolated_instance_suspends_nobody_at_first(self) -> None:
        holders = [await self.established(f'i{n}') for n in range(3)]
        observer = await self.joined('observer')
        seat = holders[0].members.own_seat
        assert seat is not None
        with mock.patch.object(
            observer.detector, '_refuses_connections', return_value=False
        ):
            await observer.detector.suspend_if_unreachable(seat)
            self.assertTrue(self.rows()[seat].is_serving)
            # Most members may be gone for good.
            await observer.detector.suspend_if_unreachable(
                seat, SUSPEND_ALONE_AFTER_S
            )
        self.assertFalse(self.rows()[seat].is_serving)

    async def test_seeds_are_relays_while_no_member_is_known(self) -> None:
        members = self.instance('a').members
        self.assertEqual(members.relay_addresses(), [f'{HOST}:9'])
