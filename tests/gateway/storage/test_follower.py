import asyncio
import unittest

from result import Result

from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault

TABLE = 'table'


class StoreSource:
    """Reads tables from a store with short polls."""

    def __init__(self, store: MemoryRowStore) -> None:
        self.store = store

    async def read_table(self, table: str) -> Result[RowsRead, StoreError]:
        return await self.store.read(table, '')

    async def await_changes(
        self, table: str, after_version: int, confirmed_at_s: float
    ) -> Result[RowsChanged, StoreError]:
        return await self.store.changes(table, after_version, 0.2)


class TableFollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MemoryRowStore()
        self.rows: dict[str, bytes] = {}
        self.whole_reads = 0
        self.recovering_flags: list[bool] = []
        follower = TableFollower(
            StoreSource(self.store),
            TABLE,
            self.apply_snapshot,
            self.apply_changes,
            5.0,
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)

    def apply_snapshot(
        self, rows: tuple[StoredRow, ...], is_recovering: bool
    ) -> None:
        self.whole_reads += 1
        self.rows.clear()
        self.apply_changes(rows, is_recovering)

    def apply_changes(
        self, rows: tuple[StoredRow, ...], is_recovering: bool
    ) -> None:
        self.recovering_flags.append(is_recovering)
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key.key, None)
            else:
                self.rows[row.key.key] = row.value

    def put(self, name: str) -> None:
        self.store.put(RowKey(TABLE, '', name), name.encode())

    async def until(self, names: set[str]) -> None:
        async with asyncio.timeout(2.0):
            while set(self.rows) != names:
                await asyncio.sleep(0.01)

    async def test_follows_changes_and_removals(self) -> None:
        self.put('a')
        await self.until({'a'})
        self.put('b')
        await self.until({'a', 'b'})
        self.store.remove(RowKey(TABLE, '', 'a'))
        await self.until({'b'})
        self.assertEqual(self.whole_reads, 1)

    async def test_rereads_the_table_if_the_history_is_gone(self) -> None:
        self.put('a')
        await self.until({'a'})
        self.store.injected_faults.append(StoreFault.HISTORY_GONE)
        self.put('b')
        await self.until({'a', 'b'})
        async with asyncio.timeout(2.0):
            while self.whole_reads < 2:
                await asyncio.sleep(0.01)

    async def test_resumes_after_an_outage_and_flags_recovery(self) -> None:
        self.put('a')
        await self.until({'a'})
        self.store.injected_faults.extend([StoreFault.UNAVAILABLE] * 2)
        self.put('b')
        await self.until({'a', 'b'})
        self.store.remove(RowKey(TABLE, '', 'a'))
        await self.until({'b'})
        self.assertTrue(self.recovering_flags[-1])
        self.assertFalse(self.recovering_flags[0])
