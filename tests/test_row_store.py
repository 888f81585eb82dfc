"""Test the stand-in of the store of rows."""

import unittest
from unittest import mock

from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.standins.row_store import MemoryRowStore

KEY = RowKey('table', '', 'key')


class MemoryRowStoreTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a change that is skipped, as the newest version is
    # returned without its row.
    async def test_change_at_the_end_of_a_wait_is_returned(self) -> None:
        store = MemoryRowStore()

        async def change_and_time_out() -> None:
            store.put(KEY, b'value')
            raise TimeoutError

        with mock.patch.object(store._changed, 'wait', change_and_time_out):
            changed = (await store.changes('table', 0, 1.0)).unwrap()
        self.assertEqual([row.key for row in changed.rows], [KEY])
        self.assertEqual(changed.version, store.version)

    async def test_wait_without_a_change_returns_no_rows(self) -> None:
        changed = (await MemoryRowStore().changes('table', 0, 0.0)).unwrap()
        self.assertEqual(changed.rows, ())
