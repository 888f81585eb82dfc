"""Test that many instances follow tables through few readers of the store.

Load pattern: a failure domain of many instances, each of which would read
every change of configuration, servers and members from the store.
"""

import asyncio
import unittest
from unittest import mock

from result import Err
from result import Ok

from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.fleet.shared_tables import AVOID_S
from jackdawfield.gateway.fleet.shared_tables import MAX_UNCONFIRMED_S
from jackdawfield.gateway.fleet.shared_tables import SharedTables
from jackdawfield.gateway.fleet.table_sharing import MAX_SHARED_AGE_S
from jackdawfield.gateway.fleet.table_sharing import TableSharing
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.table_log import CHANGES_KEPT
from jackdawfield.gateway.storage.table_log import TableLog
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault

TABLE = 'table'
CLOCK = 'jackdawfield.gateway.fleet.shared_tables.boot_time_s'


class Members:
    """Holds two members of the domain; the instance itself has a seat or not.

    The members' addresses are their seats.
    """

    own_id = 'own'
    own_address = 'own:1'

    def __init__(self, own_seat: str | None = None) -> None:
        self.own_seat = own_seat
        self.seats = ['h1', 'h2']
        self.rows_by_seat = {
            SeatId(seat): mock.Mock(address=seat) for seat in self.seats
        }

    def seats_in_own_domain(self) -> list[SeatId]:
        return [SeatId(seat) for seat in self.seats]

    def relay_addresses(self) -> list[str]:
        return self.seats


class Links:
    """Connects instances to members; a lost member answers nothing."""

    def __init__(self) -> None:
        self.sharing_by_address: dict[str, TableSharing] = {}
        self.lost: set[str] = set()
        self.requests: list[str] = []

    async def request(
        self, address: str, message: FollowTable, timeout_s: float
    ) -> object:
        self.requests.append(address)
        if address in self.lost:
            return Err(PeerError(PeerFault.LOST, 'timeout'))
        return Ok(await self.sharing_by_address[address]._answer(message))


class TableSharingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MemoryRowStore()
        self.links = Links()
        self.followers: dict[str, TableFollower] = {}
        for address in ('h1', 'h2'):
            self.links.sharing_by_address[address] = self.start_holder(address)

    def start_holder(self, address: str) -> TableSharing:
        sharing = TableSharing()
        self.followers[address] = self.follow(Members(address))
        sharing.add(self.followers[address])
        return sharing

    def follow(self, members: Members) -> TableFollower:
        """Start to follow the table, and record its rows by key."""
        source = SharedTables(
            self.store,
            members,  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )
        follower = TableFollower(
            source, TABLE, lambda *_: None, lambda *_: None
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        return follower

    def put(self, name: str) -> None:
        self.store.put(RowKey(TABLE, '', name), name.encode())

    async def ask_next_holder(self, source: SharedTables) -> object:
        seat_id = source._choose_holder()
        assert seat_id is not None
        return await source._ask_holder(seat_id, TABLE, 0)

    async def until(self, follower: TableFollower, names: set[str]) -> None:
        async with asyncio.timeout(4.0):
            while set(follower.log.rows_by_key) != names:
                await asyncio.sleep(0.01)

    async def test_followers_read_nothing_from_the_store(self) -> None:
        self.put('a')
        for follower in self.followers.values():
            await self.until(follower, {'a'})
        reads = self.store.read_count
        observers = [self.follow(Members()) for _ in range(40)]
        for observer in observers:
            await self.until(observer, {'a'})
        self.put('b')
        self.store.remove(RowKey(TABLE, '', 'a'))
        for observer in observers:
            await self.until(observer, {'b'})
        self.assertEqual(self.store.read_count, reads)
        # A holder tells the ejection of a server to all of them.
        sharing = self.links.sharing_by_address['h1']
        self.assertEqual(sharing.follower_addresses(), ['own:1'])

    async def test_another_holder_takes_over(self) -> None:
        observer = self.follow(Members())
        self.put('a')
        await self.until(observer, {'a'})
        self.links.lost.add('h1')
        # The request in progress may still be answered with this change.
        self.put('b')
        await self.until(observer, {'a', 'b'})
        self.put('c')
        await self.until(observer, {'a', 'b', 'c'})
        self.assertIn('h2', self.links.requests)

    async def test_store_is_read_without_a_holder(self) -> None:
        self.links.lost.update(('h1', 'h2'))
        observer = self.follow(Members())
        self.put('a')
        await self.until(observer, {'a'})
        self.put('b')
        await self.until(observer, {'a', 'b'})

    async def test_holder_that_has_not_read_for_a_while_is_avoided(
        self,
    ) -> None:
        self.put('a')
        for follower in self.followers.values():
            await self.until(follower, {'a'})
        source = SharedTables(
            self.store,
            Members(),  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )
        holder = self.followers['h1']
        holder._confirmed_at_s -= MAX_SHARED_AGE_S + 1
        found = await self.ask_next_holder(source)
        self.assertIsNone(found)
        found = await self.ask_next_holder(source)
        self.assertIsInstance(found, TableRows)
        self.assertEqual(self.links.requests, ['h1', 'h2'])
        with mock.patch(CLOCK) as clock:
            later_s = source._avoided_until_s_by_seat[SeatId('h1')]
            clock.return_value = later_s + AVOID_S
            self.assertEqual(source._choose_holder(), 'h1')

    async def test_instance_that_starts_in_an_outage_asks_others(
        self,
    ) -> None:
        self.put('a')
        for follower in self.followers.values():
            await self.until(follower, {'a'})
            follower._confirmed_at_s -= 20
        members = Members()
        # It knows no holder yet, only the addresses of its settings.
        members.seats_in_own_domain = list  # type: ignore[method-assign]
        self.store.injected_faults.extend([StoreFault.UNAVAILABLE] * 50)
        observer = self.follow(members)
        await self.until(observer, {'a'})
        self.assertGreater(observer.age_s(), 19)
        self.store.injected_faults.clear()
        self.put('b')
        await self.until(observer, {'a', 'b'})

    async def test_age_of_the_holders_read_counts(self) -> None:
        self.put('a')
        for follower in self.followers.values():
            await self.until(follower, {'a'})
        self.followers['h1']._confirmed_at_s -= 1.5
        observer = self.follow(Members())
        await self.until(observer, {'a'})
        self.assertGreater(observer.age_s(), 1.4)

    # Guards against an ownership that is confirmed by a wait for changes,
    # which misses some while the store discards its history.
    async def test_overdue_members_are_read_whole_by_a_holder(self) -> None:
        self.store.put(RowKey(MEMBERS_TABLE, '', 'a'), b'a')
        source = SharedTables(
            self.store,
            Members('h1'),  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )
        self.store.injected_faults.clear()
        reads = self.store.read_count
        overdue_since_s = boot_time_s() - 2 * MAX_UNCONFIRMED_S
        found = await source.await_changes(MEMBERS_TABLE, 0, overdue_since_s)
        self.assertEqual(len(found.unwrap().rows), 1)
        self.assertEqual(self.store.read_count, reads + 1)

    async def test_outage_is_told_to_followers(self) -> None:
        self.put('a')
        for follower in self.followers.values():
            follower._recovery_s = 5.0
            await self.until(follower, {'a'})
        # Both holders' next polls fail, and a row is missing after it.
        self.store.injected_faults.extend([StoreFault.UNAVAILABLE] * 2)
        flags: list[bool] = []
        observer = self.follow(Members())
        observer._apply_changes = lambda _, after_outage: flags.append(
            after_outage
        )
        await self.until(observer, {'a'})
        await asyncio.sleep(1.2)
        self.store.remove(RowKey(TABLE, '', 'a'))
        await self.until(observer, set())
        self.assertEqual(flags, [True])


class TableLogTest(unittest.TestCase):
    def row(self, version: int) -> StoredRow:
        return StoredRow(RowKey(TABLE, '', f'k{version % 7}'), b'v', version)

    def test_changes_after_a_version(self) -> None:
        log = TableLog()
        log.replace((self.row(3),), 5)
        self.assertIsNone(log.changes_after(4))
        self.assertEqual(log.changes_after(5), ())
        log.extend((self.row(6), self.row(8)), 9)
        self.assertEqual(log.changes_after(6), (self.row(8),))
        self.assertEqual(log.version, 9)

    def test_only_the_latest_changes_are_kept(self) -> None:
        log = TableLog()
        log.replace((), 0)
        for version in range(1, CHANGES_KEPT + 11):
            log.extend((self.row(version),), version)
        self.assertIsNone(log.changes_after(9))
        changes = log.changes_after(10)
        assert changes is not None
        self.assertEqual(len(changes), CHANGES_KEPT)
        self.assertEqual(len(log.rows_by_key), 7)
