import dataclasses
import time
import unittest
from unittest import mock

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.chains import TurnNotFound
from jackdawfield.gateway.programs.chains import TurnUnavailable
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.retention import STORED_LONGER_S
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.model import OrganisationId
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.programs.test_turns import ORGANISATION
from tests.gateway.programs.test_turns import PROGRAM
from tests.gateway.programs.test_turns import record

ROW_BYTES = 65536
CACHE_BYTES = 1_000_000
MOST = 100


def deadline_s() -> float:
    return time.monotonic() + 2.0


class TurnStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.rows = MemoryRowStore()
        self.accounts = ProgramAccounts(self.rows, 'a')
        self.expiry = RowExpiry(self.rows)
        self.store = TurnStore(
            self.rows,
            self.accounts,
            self.expiry,
            ROW_BYTES,
            TurnCache(CACHE_BYTES),
        )

    async def reserve(
        self, accounts: ProgramAccounts, budget: int, wait_s: float = 2.0
    ) -> Verdict:
        return await accounts.reserve(
            PROGRAM, Reserve(MOST, budget), time.monotonic() + wait_s
        )

    def reader(self) -> ChainReader:
        """Return a reader with an empty cache, as of another instance."""
        return ChainReader(self.rows, TurnCache(CACHE_BYTES))

    async def keep(
        self, store: TurnStore, turn: str, parent: str | None
    ) -> bool:
        kept = record(turn, parent, turn.encode())
        return await store.commit(PROGRAM, kept, None, deadline_s())

    async def chain(self, turn: str) -> object:
        return await self.reader().read_chain(
            ORGANISATION, PROGRAM, TurnId(turn)
        )

    async def test_uncached_chain_takes_one_read(self) -> None:
        await self.keep(self.store, '1', None)
        await self.keep(self.store, '2', '1')
        found = await self.chain('2')
        assert isinstance(found, Chain)
        ids = [item.turn_id for item in found.records]
        self.assertEqual(ids, ['1', '2'])
        self.assertEqual(self.rows.read_count, 1)

    async def test_turn_of_another_program_is_found_by_the_index(self) -> None:
        await self.keep(self.store, '1', None)
        guess = record('x', None, b'').program[::-1]
        found = await self.reader().read_chain(
            ORGANISATION, type(PROGRAM)(guess), TurnId('1')
        )
        self.assertIsInstance(found, Chain)

    async def test_not_found_only_if_every_part_was_read(self) -> None:
        self.assertIsInstance(await self.chain('no'), TurnNotFound)
        for reads in range(17):
            self.rows.injected_faults.extend([StoreFault.NONE] * reads)
            self.rows.injected_faults.append(StoreFault.UNAVAILABLE)
            found = await self.chain('no')
            self.assertIsInstance(found, TurnUnavailable)
            self.rows.injected_faults.clear()

    async def test_turn_of_another_organisation_is_not_found(self) -> None:
        await self.keep(self.store, '1', None)
        found = await self.reader().read_chain(
            OrganisationId('other'), PROGRAM, TurnId('1')
        )
        self.assertIsInstance(found, TurnNotFound)

    async def test_commit_is_retried_during_an_outage(self) -> None:
        self.rows.injected_faults.extend([StoreFault.UNAVAILABLE] * 2)
        self.assertTrue(await self.keep(self.store, '1', None))

    async def test_commit_fails_if_the_outage_lasts(self) -> None:
        self.rows.injected_faults.extend([StoreFault.UNAVAILABLE] * 100)
        kept = record('1', None, b'')
        stored = await self.store.commit(
            PROGRAM, kept, None, time.monotonic() + 0.3
        )
        self.assertFalse(stored)

    async def test_tokens_are_granted_once_after_a_lost_answer(self) -> None:
        self.rows.injected_faults.append(StoreFault.ANSWER_LOST)
        verdict = await self.reserve(self.accounts, 1000)
        self.assertIs(verdict, Verdict.FITS)
        self.assertEqual(self.accounts.granted_tokens(PROGRAM), MOST)

    async def test_spent_budget_is_refused_at_every_instance(self) -> None:
        await self.reserve(self.accounts, 150)
        other = ProgramAccounts(self.rows, 'b')
        verdict = await self.reserve(other, 150)
        self.assertIs(verdict, Verdict.SPENT)

    async def test_row_is_reloaded_before_a_refusal(self) -> None:
        await self.reserve(self.accounts, 150)
        other = ProgramAccounts(self.rows, 'b')
        await self.reserve(other, 150)
        await self.accounts.submit(
            PROGRAM, Settle(MOST, 10, 150), (), deadline_s()
        )
        verdict = await self.reserve(other, 150)
        self.assertIs(verdict, Verdict.FITS)

    async def test_turn_and_settlement_take_one_write(self) -> None:
        await self.reserve(self.accounts, 1000)
        before = len(self.rows.transactions)
        kept = record('1', None, b'')
        event = Settle(MOST, 40, 1000)
        self.assertTrue(
            await self.store.commit(PROGRAM, kept, event, deadline_s())
        )
        verdict = await self.reserve(self.accounts, 1000)
        self.assertIs(verdict, Verdict.FITS)
        self.assertEqual(len(self.rows.transactions), before + 1)

    async def test_rows_are_removed_once_the_program_expired(self) -> None:
        event = Settle(0, 0, 1000)
        with mock.patch('time.time') as now:
            now.return_value = 1000.0
            for number, turn in enumerate(('1', '2')):
                now.return_value = 1000.0 + 50 * number
                kept = dataclasses.replace(
                    record(turn, None, b''),
                    kept_until_s=now.return_value + 60,
                )
                await self.store.commit(PROGRAM, kept, event, deadline_s())
            # The first turn is an ancestor of the second.
            now.return_value = 1080.0
            await self.expiry.remove_expired()
            self.assertEqual(len(self.rows.rows_by_key), 5)
            now.return_value = 1050.0 + 60.0 + STORED_LONGER_S
            await self.expiry.remove_expired()
            self.assertEqual(self.rows.rows_by_key, {})

    async def test_removal_is_retried_after_an_outage(self) -> None:
        kept = dataclasses.replace(record('1', None, b''), kept_until_s=0.0)
        committed_s = time.time()
        await self.store.commit(PROGRAM, kept, None, deadline_s())
        with mock.patch('time.time') as now:
            now.return_value = committed_s + 60
            self.rows.injected_faults.append(StoreFault.UNAVAILABLE)
            await self.expiry.remove_expired()
            self.assertEqual(len(self.rows.rows_by_key), 2)
            now.return_value += 60
            await self.expiry.remove_expired()
            self.assertEqual(self.rows.rows_by_key, {})

    async def test_reservation_is_unknown_during_an_outage(self) -> None:
        self.rows.injected_faults.extend([StoreFault.UNAVAILABLE] * 100)
        verdict = await self.reserve(self.accounts, 1000, 0.2)
        self.assertIs(verdict, Verdict.UNKNOWN)
