"""Test that a turn is stored together with its chain, over programs too."""

from dataclasses import replace
import time
import unittest
from unittest import mock

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.retention import CHAIN_MARGIN_S
from jackdawfield.gateway.programs.retention import STORED_LONGER_S
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.gateway.programs.turns import program_key
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.model import ProgramId
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.programs.test_turns import ORGANISATION
from tests.gateway.programs.test_turns import record

ROW_BYTES = 65536
CACHE_BYTES = 1_000_000
RETENTION_S = 60.0
START_S = 1000.0


class ChainRetentionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.rows = MemoryRowStore()
        self.expiry = RowExpiry(self.rows)
        self.store = TurnStore(
            self.rows,
            ProgramAccounts(self.rows, 'a'),
            self.expiry,
            ROW_BYTES,
            TurnCache(CACHE_BYTES),
        )
        patched = mock.patch('time.time', return_value=START_S)
        self.now = patched.start()
        self.addCleanup(patched.stop)

    def reader(self) -> ChainReader:
        """Return a reader with an empty cache, as of another instance."""
        return ChainReader(self.rows, TurnCache(CACHE_BYTES))

    async def chain(self, program: str, turn: str) -> tuple[TurnRecord, ...]:
        key = program_key(ORGANISATION, ProgramId(program))
        found = await self.reader().read_chain(ORGANISATION, key, TurnId(turn))
        assert isinstance(found, Chain), found
        return found.records

    async def keep(
        self,
        program: str,
        turn: str,
        at_s: float,
        chain: tuple[TurnRecord, ...] = (),
        settled: Settle | None = None,
    ) -> bool:
        """Commit a turn at a time after the start of the test."""
        self.now.return_value = START_S + at_s
        await self.expiry.remove_expired()
        key = program_key(ORGANISATION, ProgramId(program))
        parent = chain[-1] if chain else None
        kept = replace(
            record(turn, parent.turn_id if parent else None, turn.encode()),
            program=key.text,
            parent_program=parent.program if parent else None,
            kept_until_s=START_S + at_s + RETENTION_S,
        )
        return await self.store.commit(
            key, kept, settled, time.monotonic() + 2.0, chain
        )

    async def check_last_turn(
        self, program: str, at_s: float, *turns: str
    ) -> None:
        """Check the chain of a turn of that time at its retention's end."""
        self.now.return_value = START_S + at_s + RETENTION_S
        await self.expiry.remove_expired()
        records = await self.chain(program, turns[-1])
        self.assertEqual(tuple(r.turn_id for r in records), turns)

    # Guards against a kept turn whose older part, made by another program, is
    # removed by the last activity of that program.
    async def test_chain_over_programs_is_stored_with_its_last_turn(
        self,
    ) -> None:
        for settled in (None, Settle(0, 0, 1000)):
            for gap_s in (1.0, CHAIN_MARGIN_S + 1.0, RETENTION_S - 1.0):
                with self.subTest(settled=settled, gap_s=gap_s):
                    self.setUp()
                    await self.keep('p1', '1', 0.0, settled=settled)
                    chain = await self.chain('p1', '1')
                    await self.keep('p2', '2', gap_s, chain, settled)
                    chain = await self.chain('p2', '2')
                    await self.keep('p2', '3', 2 * gap_s, chain, settled)
                    chain = await self.chain('p2', '3')
                    await self.keep('p3', '4', 3 * gap_s, chain, settled)
                    await self.check_last_turn(
                        'p3', 3 * gap_s, '1', '2', '3', '4'
                    )

    # Guards against a program without a budget, and so without a row of its
    # own, whose first turns are removed while later ones are kept.
    async def test_chain_of_a_program_without_a_budget(self) -> None:
        await self.keep('p', '1', 0.0)
        for number in (2, 3, 4):
            chain = await self.chain('p', str(number - 1))
            at_s = (number - 1) * (RETENTION_S - 1.0)
            await self.keep('p', str(number), at_s, chain)
        await self.check_last_turn('p', at_s, '1', '2', '3', '4')

    async def test_copies_are_removed_in_the_end(self) -> None:
        await self.keep('p1', '1', 0.0)
        chain = await self.chain('p1', '1')
        await self.keep('p2', '2', CHAIN_MARGIN_S + 1.0, chain)
        self.now.return_value += RETENTION_S + STORED_LONGER_S
        await self.expiry.remove_expired()
        self.assertEqual(self.rows.rows_by_key, {})

    async def test_near_ancestors_take_no_further_write(self) -> None:
        await self.keep('p1', '1', 0.0)
        chain = await self.chain('p1', '1')
        before = len(self.rows.transactions)
        await self.keep('p2', '2', CHAIN_MARGIN_S - 1.0, chain)
        self.assertEqual(len(self.rows.transactions), before + 1)

    async def test_turn_is_not_kept_without_its_copies(self) -> None:
        await self.keep('p1', '1', 0.0)
        chain = await self.chain('p1', '1')
        self.rows.injected_faults.extend([StoreFault.UNAVAILABLE] * 100)
        kept = await self.keep('p2', '2', CHAIN_MARGIN_S + 1.0, chain)
        self.assertFalse(kept)
