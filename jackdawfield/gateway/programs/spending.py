"""Spend a program's token budget on one call."""

import asyncio
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.turns import ProgramKey

# Retry-After of a refusal while the store does not answer.
STORE_RETRY_S = 0.4
# Limit for writing back the unused tokens of a turn that failed.
SETTLE_TIMEOUT_S = 10.0
# A reservation ends this long before the call's deadline, so that the call is
# still refused as not run.
REFUSAL_MARGIN_S = 0.05


class Spending:
    """Holds the tokens that one call reserves and uses.

    A call without a token budget reserves none and is never refused.
    """

    def __init__(
        self,
        accounts: ProgramAccounts,
        tasks: BackgroundTasks,
        program: ProgramKey,
        call: Call,
        tokens_per_event: int,
    ) -> None:
        self._accounts = accounts
        self._tasks = tasks
        self._program = program
        self._call = call
        self._tokens_per_event = tokens_per_event
        self._reservation: asyncio.Task[Verdict] | None = None
        self._is_settled = False
        # Events that were handed to the caller, or may have been.
        self.events_used = 0
        self.has_handed_over = False

    async def begin(self) -> Refusal | None:
        """Start to reserve; refuse a call that the budget does not hold.

        The server reads the prompt while the reservation is written. One that
        may be refused is awaited first, since a 402 answer promises that the
        call has not run.
        """
        headers = self._call.headers
        budget = headers.budget_tokens
        if budget is None:
            return None
        tokens = headers.max_tokens
        keeps_turns = self._call.route.keeps_turns
        begins = keeps_turns and headers.previous_turn is None
        is_likely = self._accounts.is_likely_to_fit(
            self._program, tokens, budget, begins
        )
        event = Reserve(tokens, budget, prepays=not keeps_turns)
        self._reservation = asyncio.create_task(
            self._accounts.reserve(
                self._program, event, self._call.deadline_s - REFUSAL_MARGIN_S
            )
        )
        if is_likely:
            return None
        match await asyncio.shield(self._reservation):
            case Verdict.SPENT:
                return Refusal(402, 'token budget spent')
            case Verdict.UNKNOWN:
                return Refusal(503, 'budget not readable now', STORE_RETRY_S)
        return None

    async def wait_until_reserved(self) -> bool:
        """Wait for the reservation; return whether events may be passed."""
        if self._reservation is None:
            return True
        return await asyncio.shield(self._reservation) is Verdict.FITS

    def hand_over(self, event_count: int) -> None:
        """Record events before they are written to the caller."""
        self.events_used += event_count
        self.has_handed_over = True

    def settle(self) -> Settle | None:
        """Return the settlement, once; the caller writes or keeps it."""
        budget = self._call.headers.budget_tokens
        if self._is_settled or self._reservation is None or budget is None:
            return None
        self._is_settled = True
        reserved = self._call.headers.max_tokens
        return Settle(reserved, min(self._tokens_used(), reserved), budget)

    def _tokens_used(self) -> int:
        if not self.has_handed_over:
            return 0
        if not self._tokens_per_event:
            return self._call.headers.max_tokens
        return self.events_used * self._tokens_per_event

    def end(self) -> None:
        """Settle in the background what has not been settled yet."""
        settled = self.settle()
        if settled is not None:
            self._tasks.spawn(self._settle_later(settled))

    async def _settle_later(self, settled: Settle) -> None:
        assert self._reservation is not None
        if await self._reservation is not Verdict.FITS:
            return
        if not self._call.route.keeps_turns:
            self._accounts.keep_unused(self._program, settled)
            return
        await self._accounts.submit(
            self._program, settled, (), time.monotonic() + SETTLE_TIMEOUT_S
        )
