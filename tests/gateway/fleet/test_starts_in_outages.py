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
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.peer_copies import freshest_copy
from jackdawfield.gateway.fleet.peer_copies import MAX_START_AGE_S
from jackdawfield.gateway.fleet.peer_copies import PeerCopy
from jackdawfield.gateway.fleet.seat_holder import SeatHolder
from jackdawfield.gateway.fleet.shared_tables import SharedTables
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import SharedRow
from jackdawfield.messages.fleet_tables import TableNotFollowed
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.standins.row_store import MemoryRowStore
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

    async def request(
        self, address: str, message: FollowTable, timeout_s: float
    ) -> Result[Any, PeerError]:
        if address in self.silent:
            await asyncio.sleep(timeout_s)
            return Err(PeerError(PeerFault.LOST, 'timeout'))
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
            lambda *_: None,
            lambda _, after_outage: self.held.append(after_outage),
            5.0,
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        return follower

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
