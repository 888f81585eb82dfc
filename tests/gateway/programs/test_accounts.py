"""Test budgets of programs over instances, without a network.

Load pattern: programs of a few calls that each use a fraction of what they
may, some of which change their instance, and programs that loop until their
budget ends.
"""

import asyncio
from collections.abc import Iterable
import time
import unittest

from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.programs.test_turns import PROGRAM

MOST = 286
USED = 77


class LateStore(MemoryRowStore):
    """Applies a transaction only after its caller has read the row again."""

    def __init__(self) -> None:
        super().__init__()
        self.holds_next = False
        self._held: RowTransaction | None = None

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Apply the held transaction first, or hold this one."""
        if self.holds_next:
            self.holds_next = False
            self._held = transaction
            return OutcomeUnknown('no answer')
        held, self._held = self._held, None
        if held is not None:
            await super().transact(held, timeout_s)
        return await super().transact(transaction, timeout_s)


class AccountsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.rows = MemoryRowStore()
        self.accounts_by_writer: dict[str, ProgramAccounts] = {}
        self.ended_writers: set[str] = set()

    def instance(self, writer: str) -> ProgramAccounts:
        accounts = ProgramAccounts(self.rows, writer, self.collect)
        self.accounts_by_writer[writer] = accounts
        return accounts

    async def collect(
        self, program: ProgramKey, writers: Iterable[str]
    ) -> bool:
        returned = [
            await self.accounts_by_writer[writer].return_unused(program)
            for writer in writers
            if writer not in self.ended_writers
        ]
        return any(returned)

    async def call(
        self, accounts: ProgramAccounts, budget: int, used: int = USED
    ) -> Verdict:
        """Serve one call of the program."""
        verdict = await accounts.reserve(
            PROGRAM,
            Reserve(MOST, budget, prepays=True),
            time.monotonic() + 1.0,
        )
        if verdict is Verdict.FITS:
            accounts.keep_unused(PROGRAM, Settle(MOST, used, budget))
        return verdict

    async def test_program_of_small_calls_takes_few_writes(self) -> None:
        accounts = self.instance('a')
        for _ in range(9):
            verdict = await self.call(accounts, 9 * MOST)
            self.assertIs(verdict, Verdict.FITS)
        self.assertLessEqual(len(self.rows.transactions), 3)
        self.assertEqual(self.rows.read_count, 0)

    async def test_whole_budget_is_usable_over_several_instances(self) -> None:
        instances = [self.instance(name) for name in 'abc']
        budget = 3 * MOST
        served = 0
        while await self.call(instances[served % 3], budget) is Verdict.FITS:
            served += 1
        # The budget holds one more call only while MOST tokens are left.
        self.assertEqual(served, (budget - MOST) // USED + 1)

    async def test_looping_program_is_refused_at_every_instance(self) -> None:
        instances = [self.instance(name) for name in 'ab']
        budget = 3 * MOST
        used = 0
        for number in range(60):
            verdict = await self.call(instances[number % 2], budget)
            used += USED if verdict is Verdict.FITS else 0
        self.assertLessEqual(used, budget)
        self.assertGreater(used, budget - MOST)

    async def test_budget_holds_after_every_instance_ended(self) -> None:
        used = 0
        budget = 6 * MOST
        for number in range(40):
            # Each instance ends after two calls, and with it what it holds.
            accounts = self.instance(f'i{number // 2}')
            self.ended_writers.update(self.accounts_by_writer)
            self.ended_writers.discard(f'i{number // 2}')
            if await self.call(accounts, budget) is Verdict.FITS:
                used += USED
        self.assertLessEqual(used, budget)

    async def test_parallel_calls_share_a_write(self) -> None:
        accounts = self.instance('a')
        await self.call(accounts, 100 * MOST)
        before = len(self.rows.transactions)
        verdicts = await asyncio.gather(
            *(self.call(accounts, 100 * MOST) for _ in range(5))
        )
        self.assertEqual(set(verdicts), {Verdict.FITS})
        self.assertLessEqual(len(self.rows.transactions), before + 2)

    # Guards against a write that is applied seconds after its answer was lost
    # and then made once more.
    async def test_late_write_settles_a_call_once(self) -> None:
        self.rows = LateStore()
        accounts = self.instance('a')
        budget = 4 * MOST
        deadline_s = time.monotonic() + 1.0
        reserve = Reserve(MOST, budget, prepays=False)
        await accounts.reserve(PROGRAM, reserve, deadline_s)
        await accounts.reserve(PROGRAM, reserve, deadline_s)
        self.rows.holds_next = True
        settled = Settle(MOST, USED, 0)
        await accounts.submit(PROGRAM, settled, (), deadline_s)
        self.assertEqual(accounts.granted_tokens(PROGRAM), MOST + USED)

    async def test_late_write_reserves_tokens_once(self) -> None:
        self.rows = LateStore()
        accounts = self.instance('a')
        self.rows.holds_next = True
        reserve = Reserve(MOST, 4 * MOST, prepays=False)
        deadline_s = time.monotonic() + 1.0
        await accounts.reserve(PROGRAM, reserve, deadline_s)
        self.assertEqual(accounts.granted_tokens(PROGRAM), MOST)

    # Guards against a lost answer that hides what another instance wrote.
    async def test_write_of_another_after_a_lost_answer_is_kept(self) -> None:
        first, second = self.instance('a'), self.instance('b')
        deadline_s = time.monotonic() + 1.0
        reserve = Reserve(MOST, 9 * MOST, prepays=False)
        await first.reserve(PROGRAM, reserve, deadline_s)
        read = self.rows.read

        async def read_later(*arguments: str) -> object:
            self.rows.read = read
            await second.reserve(PROGRAM, reserve, deadline_s)
            return await read(*arguments)

        self.rows.read = read_later
        self.rows.injected_faults.append(StoreFault.ANSWER_LOST)
        await first.reserve(PROGRAM, reserve, deadline_s)
        await first.reserve(PROGRAM, reserve, deadline_s)
        await second.refresh(PROGRAM)
        self.assertEqual(second.granted_tokens(PROGRAM), 4 * MOST)

    async def test_lost_answers_grant_no_token_twice(self) -> None:
        budget = 4 * MOST
        accounts = self.instance('a')
        granted = 0
        for _ in range(12):
            self.rows.injected_faults.append(StoreFault.ANSWER_LOST)
            verdict = await self.call(accounts, budget, MOST)
            granted += MOST if verdict is Verdict.FITS else 0
            self.rows.injected_faults.clear()
        self.assertEqual(granted, budget)
        self.assertEqual(accounts.granted_tokens(PROGRAM), budget)
