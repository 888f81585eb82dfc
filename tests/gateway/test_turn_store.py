import dataclasses
import time
import unittest
from unittest import mock

from jackdawfield.gateway.chains import Chain
from jackdawfield.gateway.chains import ChainReader
from jackdawfield.gateway.chains import Missing
from jackdawfield.gateway.chains import Uncertain
from jackdawfield.gateway.ledger import Settle
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.turn_cache import TurnCache
from jackdawfield.gateway.turn_store import TurnStore
from jackdawfield.gateway.turn_store import Verdict
from jackdawfield.model import OrganisationId
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import Trouble
from tests.gateway.test_turns import ORGANISATION
from tests.gateway.test_turns import PROGRAM
from tests.gateway.test_turns import record

ROW_BYTES = 65536
CACHE_BYTES = 1_000_000
MOST = 100


def soon() -> float:
    return time.monotonic() + 2.0


class TurnStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.rows = MemoryRowStore()
        self.store = self.instance('a')

    def instance(self, writer: str) -> TurnStore:
        return TurnStore(self.rows, writer, ROW_BYTES, TurnCache(CACHE_BYTES))

    def reader(self) -> ChainReader:
        """Return the chains as an instance that kept nothing reads them."""
        return ChainReader(self.rows, TurnCache(CACHE_BYTES))

    async def keep(
        self, store: TurnStore, turn: str, parent: str | None
    ) -> bool:
        kept = record(turn, parent, turn.encode())
        return await store.commit(PROGRAM, kept, None, soon())

    async def chain(self, turn: str) -> object:
        return await self.reader().chain(ORGANISATION, PROGRAM, TurnId(turn))

    async def test_any_instance_finds_a_chain_in_one_read(self) -> None:
        await self.keep(self.store, '1', None)
        await self.keep(self.store, '2', '1')
        found = await self.chain('2')
        assert isinstance(found, Chain)
        ids = [item.turn_id for item in found.records]
        self.assertEqual(ids, ['1', '2'])
        self.assertEqual(self.rows.reads, 1)

    async def test_turn_of_another_program_is_found(self) -> None:
        await self.keep(self.store, '1', None)
        guess = record('x', None, b'').program[::-1]
        found = await self.reader().chain(
            ORGANISATION, type(PROGRAM)(guess), TurnId('1')
        )
        self.assertIsInstance(found, Chain)

    async def test_missing_only_if_every_part_was_read(self) -> None:
        self.assertIsInstance(await self.chain('no'), Missing)
        for reads in range(17):
            self.rows.troubles.extend([Trouble.NONE] * reads)
            self.rows.troubles.append(Trouble.AWAY)
            found = await self.chain('no')
            self.assertIsInstance(found, Uncertain)
            self.rows.troubles.clear()

    async def test_turn_of_another_organisation_is_missing(self) -> None:
        await self.keep(self.store, '1', None)
        found = await self.reader().chain(
            OrganisationId('other'), PROGRAM, TurnId('1')
        )
        self.assertIsInstance(found, Missing)

    async def test_commit_waits_out_an_outage(self) -> None:
        self.rows.troubles.extend([Trouble.AWAY] * 2)
        self.assertTrue(await self.keep(self.store, '1', None))

    async def test_commit_fails_if_the_store_stays_away(self) -> None:
        self.rows.troubles.extend([Trouble.AWAY] * 100)
        kept = record('1', None, b'')
        stored = await self.store.commit(
            PROGRAM, kept, None, time.monotonic() + 0.3
        )
        self.assertFalse(stored)

    async def test_lost_answer_is_not_granted_twice(self) -> None:
        self.rows.troubles.append(Trouble.ANSWER_LOST)
        verdict = await self.store.reserve(PROGRAM, MOST, 1000, soon())
        self.assertIs(verdict, Verdict.FITS)
        self.assertEqual(self.store.granted(PROGRAM), MOST)

    async def test_spent_budget_is_refused_at_every_instance(self) -> None:
        await self.store.reserve(PROGRAM, MOST, 150, soon())
        other = self.instance('b')
        verdict = await other.reserve(PROGRAM, MOST, 150, soon())
        self.assertIs(verdict, Verdict.SPENT)

    async def test_refusal_reads_the_row_first(self) -> None:
        await self.store.reserve(PROGRAM, MOST, 150, soon())
        other = self.instance('b')
        await other.reserve(PROGRAM, MOST, 150, soon())
        await self.store.settle(PROGRAM, Settle(MOST, 10, 150), soon())
        verdict = await other.reserve(PROGRAM, MOST, 150, soon())
        self.assertIs(verdict, Verdict.FITS)

    async def test_turn_and_settlement_take_one_write(self) -> None:
        await self.store.reserve(PROGRAM, MOST, 1000, soon())
        before = len(self.rows.transactions)
        kept = record('1', None, b'')
        event = Settle(MOST, 40, 1000)
        self.assertTrue(await self.store.commit(PROGRAM, kept, event, soon()))
        verdict = await self.store.reserve(PROGRAM, MOST, 1000, soon())
        self.assertIs(verdict, Verdict.FITS)
        self.assertEqual(len(self.rows.transactions), before + 1)

    async def test_rows_go_once_the_whole_program_is_over(self) -> None:
        event = Settle(0, 0, 1000)
        with mock.patch('jackdawfield.gateway.turn_store.time.time') as now:
            now.return_value = 1000.0
            for number, turn in enumerate(('1', '2')):
                now.return_value = 1000.0 + 50 * number
                kept = dataclasses.replace(
                    record(turn, None, b''),
                    kept_until_s=now.return_value + 60,
                )
                await self.store.commit(PROGRAM, kept, event, soon())
            # The first turn is an ancestor of the second.
            now.return_value = 1080.0
            await self.store.remove_expired()
            self.assertEqual(len(self.rows.rows_by_key), 5)
            now.return_value = 1130.0
            await self.store.remove_expired()
            self.assertEqual(self.rows.rows_by_key, {})

    async def test_rows_stay_while_the_store_is_away(self) -> None:
        kept = dataclasses.replace(record('1', None, b''), kept_until_s=0.0)
        committed_s = time.time()
        await self.store.commit(PROGRAM, kept, None, soon())
        with mock.patch('jackdawfield.gateway.turn_store.time.time') as now:
            now.return_value = committed_s + 60
            self.rows.troubles.append(Trouble.AWAY)
            await self.store.remove_expired()
            self.assertEqual(len(self.rows.rows_by_key), 2)
            now.return_value += 60
            await self.store.remove_expired()
            self.assertEqual(self.rows.rows_by_key, {})

    async def test_store_away_leaves_a_reservation_unknown(self) -> None:
        self.rows.troubles.extend([Trouble.AWAY] * 100)
        verdict = await self.store.reserve(
            PROGRAM, MOST, 1000, time.monotonic() + 0.2
        )
        self.assertIs(verdict, Verdict.UNKNOWN)
