"""Test that connections which fall silent keep no change away.

A kept connection may carry nothing from some moment on, without a reset,
while new ones work. Nothing but the missing answer tells it.
"""

import asyncio
import unittest

from result import Err
from result import Ok

from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.shared_tables import SharedTables
from jackdawfield.gateway.fleet.table_sharing import TableSharing
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.path import StorePath
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.platform.store import PlatformStore
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import MemoryRowStore
from soak.proxy import FaultProxy
from soak.proxy import LinkFault
from tests.gateway.fleet.test_table_sharing import Members
from tests.gateway.harness import HOST

TABLE = 'table'
# Promised time from a change's acknowledgement until it is in force.
APPLY_LIMIT_S = 2.5
KEPT_CONNECTIONS = 5


class HoldersLinks:
    """Connects followers to holders; a silent link answers nothing."""

    def __init__(self) -> None:
        self.sharing_by_address: dict[str, TableSharing] = {}
        self.is_silent = False
        self.timeout_count = 0

    async def request(
        self, address: str, message: FollowTable, timeout_s: float
    ) -> object:
        try:
            async with asyncio.timeout(timeout_s):
                if self.is_silent:
                    await asyncio.sleep(timeout_s * 2)
                sharing = self.sharing_by_address[address]
                return Ok(await sharing._answer(message))
        except TimeoutError:
            self.timeout_count += 1
            return Err(PeerError(PeerFault.LOST, 'timeout'))


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rows = MemoryRowStore()
        self.stand_in = PlatformStoreStandIn(self.rows)
        self.stand_in.start(HOST)
        self.addCleanup(self.stand_in.stop)
        self.links = HoldersLinks()
        self.holders: list[TableFollower] = []

    async def open_store(self) -> tuple[PlatformStore, FaultProxy]:
        """Return a store over its own proxy, with several connections."""
        proxy = FaultProxy(HOST, (HOST, self.stand_in.port))
        await proxy.start()
        self.addCleanup(proxy.stop)
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        links = PeerLinks()
        self.addAsyncCleanup(links.close)
        path = StorePath(pool, HOST, proxy.port, links, lambda: [])
        store = PlatformStore(path)
        await asyncio.gather(
            *(store.read(TABLE, '') for _ in range(KEPT_CONNECTIONS))
        )
        return store, proxy

    def follow(
        self, store: PlatformStore, members: Members, sharing: TableSharing
    ) -> TableFollower:
        source = SharedTables(
            store,
            members,  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )
        follower = TableFollower(
            source, TABLE, lambda *_: None, lambda *_: None
        )
        sharing.add(follower)
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        return follower

    def put(self, name: str) -> None:
        self.rows.put(RowKey(TABLE, '', name), name.encode())

    async def until(self, follower: TableFollower, name: str) -> None:
        async with asyncio.timeout(APPLY_LIMIT_S):
            while name not in follower.log.rows_by_key:
                await asyncio.sleep(0.01)

    # Guards against a change that is missed while a long poll hangs.
    async def test_reader_of_the_store_learns_a_change_in_time(self) -> None:
        store, proxy = await self.open_store()
        follower = self.follow(store, Members('h1'), TableSharing())
        self.put('a')
        await self.until(follower, 'a')
        await asyncio.sleep(0.1)
        proxy.silence_connections()
        self.put('b')
        await self.until(follower, 'b')

    async def start_followed(self) -> tuple[TableFollower, list[FaultProxy]]:
        """Start two holders and an instance that follows one of them."""
        proxies = []
        for address in ('h1', 'h2'):
            store, proxy = await self.open_store()
            sharing = TableSharing()
            self.links.sharing_by_address[address] = sharing
            holder = self.follow(store, Members(address), sharing)
            self.holders.append(holder)
            proxies.append(proxy)
        store, proxy = await self.open_store()
        follower = self.follow(store, Members(), TableSharing())
        self.put('a')
        await self.until(follower, 'a')
        await asyncio.sleep(0.1)
        return follower, [*proxies, proxy]

    # Guards against a holder's old rows and a follower's own wait that add up.
    async def test_follower_of_holders_without_store_learns_in_time(
        self,
    ) -> None:
        _, proxies = await self.start_followed()
        for proxy in proxies[:2]:
            proxy.set_fault(LinkFault.STALLED)
        changed_at_s = boot_time_s()
        for holder in self.holders:
            holder._confirmed_at_s = changed_at_s
        self.put('b')
        # The holders' rows are still fresh, and are not after the next wait.
        await asyncio.sleep(0.7)
        store, _ = await self.open_store()
        follower = self.follow(store, Members(), TableSharing())
        until_s = changed_at_s + APPLY_LIMIT_S
        async with asyncio.timeout(until_s - boot_time_s()):
            while 'b' not in follower.log.rows_by_key:
                await asyncio.sleep(0.01)

    # Guards against the sum of all waits: silent links to the holders, then
    # silent connections to the store.
    async def test_follower_with_silent_links_and_connections_learns_in_time(
        self,
    ) -> None:
        follower, proxies = await self.start_followed()
        self.links.is_silent = True
        for proxy in proxies:
            proxy.silence_connections()
        self.put('b')
        await self.until(follower, 'b')
        # The link is told that it was silent, so that it is opened again.
        self.assertEqual(self.links.timeout_count, 1)
