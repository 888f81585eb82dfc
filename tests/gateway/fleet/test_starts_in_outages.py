"""Test instances that start while the store gives no answer.

Load pattern: many instances are stopped and started in turn while the store
accepts calls and stays silent, so that each read takes its whole time limit.
"""

import asyncio
from typing import Any
import unittest
from unittest import mock

from result import Err
from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.peer_copies import freshest_copy
from jackdawfield.gateway.fleet.peer_copies import MAX_START_AGE_S
from jackdawfield.gateway.fleet.peer_copies import PeerCopy
from jackdawfield.gateway.fleet.seat_holder import SeatHolder
from jackdawfield.gateway.fleet.shared_tables import SharedTables
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.held_rows import HeldRowLog
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import HeldRow
from jackdawfield.messages.fleet_tables import HeldRows
from jackdawfield.messages.fleet_tables import ReadHeldRows
from jackdawfield.messages.fleet_tables import SharedRow
from jackdawfield.messages.fleet_tables import TableNotFollowed
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.platform.__main__ import ADAPTER
from jackdawfield.standins.row_store import MemoryRowStore
from tests.gateway.fleet.test_seat_holder import Instance
from tests.gateway.harness import Fleet
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST
from tests.gateway.harness import settings_of

TABLE = 'table'


class SilentStore(MemoryRowStore):
    """Answers no read until it is back."""

    def __init__(self) -> None:
        super().__init__()
        self.is_back = asyncio.Event()

    async def read(
        self, table: str, part: str, start_key: str = '', end_key: str = ''
    ) -> Result[RowsRead, StoreError]:
        await self.is_back.wait()
        return await super().read(table, part, start_key, end_key)

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowsChanged, StoreError]:
        await self.is_back.wait()
        return await super().changes(table, after_version, wait_s)


class Peers:
    """Answers with copies by address; without one, the peer is silent."""

    def __init__(self) -> None:
        self.copies_by_address: dict[str, TableRows | TableNotFollowed] = {}
        self.silent: list[str] = []
        self.held_by_address: dict[str, HeldRows] = {}

    async def request(
        self,
        address: str,
        message: FollowTable | ReadHeldRows,
        timeout_s: float,
    ) -> Result[Any, PeerError]:
        if address in self.silent:
            await asyncio.sleep(timeout_s)
            return Err(PeerError(PeerFault.LOST, 'timeout'))
        if isinstance(message, ReadHeldRows):
            return Ok(self.held_by_address.get(address, HeldRows(())))
        return Ok(self.copies_by_address[address])


def table(name: str, version: int, age_s: float) -> TableRows:
    """Return a copy with one row."""
    row = SharedRow(name, name.encode(), version)
    return TableRows((row,), version, age_s, False)


class FreshestCopyTest(unittest.TestCase):
    # Guards against a start with a copy that a peer has not confirmed for
    # longer than another one's.
    def test_copy_that_was_confirmed_last_is_taken(self) -> None:
        stale = PeerCopy('a', table('x', 3, 20.0), 100.0)
        fresh = PeerCopy('b', table('x', 5, 2.0), 100.1)
        ancient = PeerCopy('c', table('x', 9, MAX_START_AGE_S + 1), 200.0)
        self.assertIs(freshest_copy([stale, fresh, ancient]), fresh)
        self.assertIsNone(freshest_copy([ancient]))


class StartInOutageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = SilentStore()
        self.peers = Peers()
        self.held: list[bool] = []
        self.listed: set[str] = set()

    def start(self, *addresses: str) -> TableFollower:
        members = mock.Mock(own_seat=None, own_address='own:1')
        members.seats_in_own_domain.return_value = []
        members.relay_addresses.return_value = list(addresses)
        source = SharedTables(
            self.store,
            members,
            self.peers,  # type: ignore[arg-type]
        )
        follower = TableFollower(
            source,
            TABLE,
            lambda rows, _: self.listed.update(r.key.key for r in rows),
            self.apply_changes,
            5.0,
            read_held=source.copies.read_held,
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        return follower

    def apply_changes(
        self, rows: tuple[StoredRow, ...], after_outage: bool
    ) -> None:
        for row in rows:
            if row.value is not None:
                self.listed.add(row.key.key)
                continue
            self.held.append(after_outage)
            if not after_outage:
                self.listed.discard(row.key.key)

    async def until_listed(self, *names: str) -> None:
        async with asyncio.timeout(4.0):
            while self.listed != set(names):
                await asyncio.sleep(0.01)

    async def until(self, follower: TableFollower, *names: str) -> None:
        async with asyncio.timeout(4.0):
            while set(follower.log.rows_by_key) != set(names):
                await asyncio.sleep(0.01)

    # Guards against a start that waits for the store's time limits before it
    # asks another instance.
    async def test_copy_is_taken_while_the_store_is_silent(self) -> None:
        self.peers.copies_by_address = {'a': table('x', 3, 20.0)}
        follower = self.start('a')
        await self.until(follower, 'x')
        self.assertGreater(follower.age_s(), 19)
        self.assertFalse(self.store.is_back.is_set())

    # Guards against peers that are asked one after the other, while most of
    # them have just ended.
    async def test_silent_peers_do_not_hide_one_that_answers(self) -> None:
        self.peers.silent = ['a', 'b', 'c', 'd', 'e']
        self.peers.copies_by_address = {'f': table('x', 3, 20.0)}
        await self.until(self.start(*'abcdef'), 'x')

    async def test_all_that_start_at_once_wait_for_the_store(self) -> None:
        unread = TableNotFollowed('not read yet')
        self.peers.copies_by_address = dict.fromkeys('abc', unread)
        follower = self.start(*'abc')
        await asyncio.sleep(0.4)
        self.assertFalse(follower.log.is_loaded)
        self.store.put(RowKey(TABLE, '', 'y'), b'y')
        self.store.is_back.set()
        await self.until(follower, 'y')

    # Guards against a peer's stale copy in place of the rows of a store that
    # is back before the peers have answered.
    async def test_store_that_is_back_goes_before_copies(self) -> None:
        self.peers.silent = ['a', 'b', 'c', 'd', 'e']
        follower = self.start(*'abcde')
        self.store.put(RowKey(TABLE, '', 'y'), b'y')
        await asyncio.sleep(0.4)
        self.store.is_back.set()
        await self.until(follower, 'y')
        self.assertLess(follower.age_s(), 1.0)

    # Guards against servers that are dropped at once, whose entries the store
    # forgot before this instance has had one read fail.
    async def test_rows_forgotten_meanwhile_are_held(self) -> None:
        self.store.put(RowKey(TABLE, '', 'x'), b'x')
        self.peers.copies_by_address = {'a': table('x', 1, 2.0)}
        follower = self.start('a')
        await self.until(follower, 'x')
        self.store.remove(RowKey(TABLE, '', 'x'))
        self.store.is_back.set()
        await self.until(follower)
        self.assertEqual(self.held, [True])

    # Guards against an instance that starts just after the outage and knows
    # only the servers whose entries are back.
    async def test_rows_that_others_hold_are_used_until_they_are_gone(
        self,
    ) -> None:
        self.store.put(RowKey(TABLE, '', 'y'), b'y')
        self.store.is_back.set()
        self.peers.silent = ['a']
        self.peers.held_by_address = {
            'b': HeldRows((HeldRow('x', b'x', 1, 1.5),))
        }
        self.start('a', 'b')
        await self.until_listed('x', 'y')
        # They are treated as gone when their grace is over at the peer.
        await self.until_listed('y')

    async def test_held_row_that_is_back_is_not_dropped(self) -> None:
        self.store.is_back.set()
        self.peers.held_by_address = {
            'a': HeldRows((HeldRow('x', b'x', 1, 1.0),))
        }
        follower = self.start('a')
        await self.until_listed('x')
        self.store.put(RowKey(TABLE, '', 'x'), b'x')
        await self.until(follower, 'x')
        await asyncio.sleep(1.1)
        self.assertEqual(self.listed, {'x'})
        self.assertEqual(self.held, [])


class ForgottenServerTest(unittest.IsolatedAsyncioTestCase):
    # Guards against `no backend server` at an instance that starts while the
    # others hold a server whose entry the store forgot.
    async def test_started_instance_uses_a_forgotten_server(self) -> None:
        grace = mock.patch('jackdawfield.gateway.daemon.MISSING_GRACE_S', 4.0)
        grace.start()
        self.addCleanup(grace.stop)
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(1)
        (known,) = fleet.gateways
        table = known.followers[1]
        fleet.store.is_refusing = True
        await fleet.wait_until(lambda: table.is_recovering)
        fleet.rows.remove(RowKey('servers', '', 'i-1'))
        fleet.store.is_refusing = False
        await fleet.wait_until(lambda: table.held.present(boot_time_s()))
        seed = f'{HOST}:{known.settings.peer_port}'
        settings = settings_of('new', free_port(), fleet.store.port, seed)
        started = Gateway(settings, ADAPTER, metrics_port=free_port())
        fleet.gateways.append(started)
        await started.start()
        await fleet.wait_until(lambda: started.servers.by_id)
        answer = await fleet.call(started, 'r1', '/tool/x')
        self.assertEqual(answer.status, 200)
        # It is gone where it has not returned in its grace.
        await fleet.wait_until(lambda: not started.servers.by_id)


class HeldRowsTest(unittest.TestCase):
    def row(self, name: str) -> StoredRow:
        return StoredRow(RowKey(TABLE, '', name), name.encode(), 1)

    # Guards against rows that are passed on for longer than their grace.
    def test_rows_are_held_until_they_are_back_or_gone(self) -> None:
        held = HeldRowLog(grace_s=2.0)
        rows = {name: self.row(name) for name in 'xyz'}
        held.note_removed(rows, ['x', 'y', 'unknown'], 10.0)
        held.note_present(['y'])
        self.assertEqual([h.row for h in held.present(11.9)], [rows['x']])
        self.assertEqual(held.present(12.0), ())

    def test_table_without_grace_holds_nothing(self) -> None:
        held = HeldRowLog(grace_s=0.0)
        held.note_removed({'x': self.row('x')}, ['x'], 10.0)
        self.assertEqual(held.present(10.0), ())


class ReclaimTest(unittest.IsolatedAsyncioTestCase):
    # Guards against members that are followed only after the store has let
    # two reads time out.
    async def test_members_are_followed_while_the_store_is_silent(
        self,
    ) -> None:
        store = SilentStore()
        members = Members(settings_of('a', 1, 2), '1')
        holder = SeatHolder(members, store)
        tasks = BackgroundTasks()
        self.addCleanup(tasks.cancel)
        async with asyncio.timeout(4.0):
            await holder.begin_reclaim(tasks)
        self.assertTrue(members.adopts_earlier)
        self.assertTrue(tasks)

    async def test_prompt_store_is_awaited(self) -> None:
        store = SilentStore()
        store.is_back.set()
        members = Members(settings_of('a', 1, 2), '1')
        tasks = BackgroundTasks()
        await SeatHolder(members, store).begin_reclaim(tasks)
        self.assertFalse(members.adopts_earlier)
        self.assertFalse(tasks)

    # Guards against rates that an instance inherits by a late reclaim, after
    # it has adopted a seat whose ownerships may have been handed over.
    async def test_late_reclaim_inherits_nothing(self) -> None:
        store = SilentStore()
        store.is_back.set()
        links = PeerLinks()
        self.addAsyncCleanup(links.close)
        earlier = Instance(store, links, 'a', '1')
        await earlier.join()
        await earlier.establish()
        known = (await store.read(MEMBERS_TABLE, '')).unwrap().rows
        store.is_back.clear()
        restarted = Instance(store, links, 'a', '2')
        tasks = BackgroundTasks()
        self.addCleanup(tasks.cancel)
        await restarted.holder.begin_reclaim(tasks)
        restarted.members.apply_snapshot(known, True)
        self.assertIsNotNone(restarted.members.own_seat)
        store.is_back.set()
        async with asyncio.timeout(4.0):
            while tasks:
                await asyncio.sleep(0.01)
        await restarted.read()
        self.assertFalse(restarted.holder.inherited)
