"""Test turns that take several transactions, without a network."""

import asyncio
import dataclasses
import os
import time
import unittest
from unittest import mock

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.chains import TurnNotFound
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.ledger import PROGRAMS_TABLE
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.retention import STORED_LONGER_S
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.gateway.programs.turns import decode_turns
from jackdawfield.gateway.programs.turns import encode_turn
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.programs.turns import TURNS_TABLE
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import TransactionLimits
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.programs.test_turns import ORGANISATION
from tests.gateway.programs.test_turns import PROGRAM
from tests.gateway.programs.test_turns import record

ROW_BYTES = 65536
LONG_BYTES = 3_000_000
CACHE_BYTES = 1_000_000


class SlowStore(MemoryRowStore):
    """Applies each transaction only after other tasks have run."""

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Apply a transaction after a pause."""
        await asyncio.sleep(0.01)
        return await super().transact(transaction, timeout_s)


class LongTurnRowsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.rows = SlowStore()
        self.accounts = ProgramAccounts(self.rows, 'a')
        self.expiry = RowExpiry(self.rows)
        self.store = TurnStore(
            self.rows,
            self.accounts,
            self.expiry,
            ROW_BYTES,
            TurnCache(CACHE_BYTES),
        )

    async def commit(
        self, kept: TurnRecord, settled: Settle | None = None
    ) -> bool:
        return await self.store.commit(
            PROGRAM, kept, settled, time.monotonic() + 2.0
        )

    def is_settled(self) -> bool:
        return any(
            key.table == PROGRAMS_TABLE for key in self.rows.rows_by_key
        )

    async def read(self, turn: str) -> object:
        """Read a chain with a cache that has no room for long turns."""
        reader = ChainReader(self.rows, TurnCache(CACHE_BYTES))
        return await reader.read_chain(ORGANISATION, PROGRAM, TurnId(turn))

    # Guards against a reader that sees a part of a turn, or a 503 for the
    # other turns of its program, before the turn is written as a whole.
    async def test_a_turn_is_read_once_its_last_row_is_written(self) -> None:
        await self.commit(record('1', None, b'short'))
        long = record('2', '1', os.urandom(LONG_BYTES))
        writing = asyncio.create_task(self.commit(long, Settle(0, 0, 1000)))
        seen = []
        while not writing.done():
            await asyncio.sleep(0.005)
            self.assertIsInstance(await self.read('1'), Chain)
            was_settled = self.is_settled()
            found = await self.read('2')
            seen.append(type(found))
            if was_settled:
                self.assertIsInstance(found, Chain)
            if not self.is_settled():
                self.assertIsInstance(found, TurnNotFound)
        self.assertTrue(await writing)
        self.assertEqual(seen[0], TurnNotFound)
        found = await self.read('2')
        assert isinstance(found, Chain)
        self.assertEqual(found.records[-1], long)

    async def test_turns_that_end_together_share_no_large_write(self) -> None:
        turns = [
            record(f'{number}', None, os.urandom(300_000))
            for number in range(4)
        ]
        done = await asyncio.gather(
            *(self.commit(turn, Settle(0, 0, 1000)) for turn in turns)
        )
        self.assertEqual(done, [True] * 4)
        for turn in turns:
            self.assertIsInstance(await self.read(turn.turn_id), Chain)

    async def test_parts_of_a_failed_turn_are_removed(self) -> None:
        long = record('1', None, os.urandom(LONG_BYTES))
        long = dataclasses.replace(long, kept_until_s=time.time() + 60)
        faults = [StoreFault.NONE] * 3 + [StoreFault.UNAVAILABLE] * 100
        self.rows.injected_faults.extend(faults)
        self.assertFalse(
            await self.store.commit(
                PROGRAM, long, None, time.monotonic() + 0.3
            )
        )
        self.rows.injected_faults.clear()
        self.assertNotEqual(self.rows.rows_by_key, {})
        self.assertIsInstance(await self.read('1'), TurnNotFound)
        with mock.patch('time.time') as now:
            now.return_value = long.kept_until_s + STORED_LONGER_S + 1
            await self.expiry.remove_expired()
        self.assertEqual(self.rows.rows_by_key, {})

    async def test_all_rows_of_the_longest_turns_are_removed(self) -> None:
        long = record('1', None, os.urandom(6_000_000))
        long = dataclasses.replace(long, kept_until_s=time.time() + 60)
        self.assertTrue(await self.commit(long, Settle(0, 0, 1000)))
        self.assertGreater(len(self.rows.rows_by_key), 100)
        with mock.patch('time.time') as now:
            now.return_value = long.kept_until_s + STORED_LONGER_S + 1
            await self.expiry.remove_expired()
        self.assertEqual(self.rows.rows_by_key, {})

    async def test_long_ancestors_of_other_programs_are_copied(self) -> None:
        ancestor = record('1', None, os.urandom(LONG_BYTES))
        ancestor = dataclasses.replace(
            ancestor, program='0' * 20, kept_until_s=60.0
        )
        turn = dataclasses.replace(
            record('2', '1', b'next'), kept_until_s=600.0
        )
        self.assertTrue(
            await self.store.commit(
                PROGRAM, turn, None, time.monotonic() + 2.0, (ancestor,)
            )
        )
        found = await self.read('2')
        assert isinstance(found, Chain)
        self.assertEqual(found.records[0].given, ancestor.given)

    # Guards against a turn that the store can't take being tried again until
    # its deadline, with its caller waiting.
    async def test_a_rejected_turn_ends_at_once(self) -> None:
        self.rows.limits = TransactionLimits(10, 20_000)
        for settled in (None, Settle(0, 0, 1000)):
            self.rows.transactions.clear()
            long = record('1', None, os.urandom(LONG_BYTES))
            self.assertFalse(await self.commit(long, settled))
            self.assertEqual(len(self.rows.transactions), 1)


class PieceTest(unittest.TestCase):
    def rows_of(self, kept: TurnRecord) -> list[StoredRow]:
        return [
            StoredRow(key, value, 1)
            for key, value in encode_turn(kept, 1000)
            if key.table == TURNS_TABLE
        ]

    def sorted_rows(self, rows: list[StoredRow]) -> list[StoredRow]:
        rows_by_key = {row.key.key: row for row in rows}
        return [rows_by_key[key] for key in sorted(rows_by_key)]

    def test_a_turn_without_its_first_piece_is_ignored(self) -> None:
        whole = self.rows_of(record('1', None, os.urandom(5000)))
        part = self.rows_of(record('2', None, os.urandom(5000)))[:-1]
        found = decode_turns(self.sorted_rows(whole + part))
        self.assertEqual(list(found), ['1'])

    def test_pieces_of_two_copies_are_not_joined(self) -> None:
        first = record('1', None, os.urandom(5000))
        second = dataclasses.replace(first, kept_until_s=99.0)
        rows = self.rows_of(first) + self.rows_of(second)
        found = decode_turns(self.sorted_rows(rows))
        # Their first pieces may be the same; either copy is whole.
        self.assertIn(found[first.turn_id], (first, second))

    def test_pieces_of_earlier_versions_are_joined(self) -> None:
        kept = record('1', None, os.urandom(5000))
        rows = self.sorted_rows(self.rows_of(kept))
        name = rows[0].key.key.rpartition('/')[0]
        earlier = [
            dataclasses.replace(
                row,
                key=dataclasses.replace(row.key, key=f'{name}/{number:03d}'),
            )
            for number, row in enumerate(rows)
        ]
        self.assertEqual(decode_turns(earlier), {kept.turn_id: kept})
