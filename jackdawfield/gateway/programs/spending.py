"""Spend a program's token budget on one call."""

import asyncio
import logging
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.advances import Advance
from jackdawfield.gateway.programs.advances import Advances
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.ledger import Spend
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# Retry-After of a refusal while the store does not answer.
STORE_RETRY_S = 0.4
# Limit for writing back the unused tokens of a turn that failed.
SETTLE_TIMEOUT_S = 10.0
# Limit for recording tokens that were borrowed in an outage of the store.
RECORD_TIMEOUT_S = 60.0
# A reservation ends this long before the call's deadline, so that the call is
# still refused as not run.
REFUSAL_MARGIN_S = 0.05
# A reservation that is not written within this time is not waited for if the
# call's tokens can be taken from others or borrowed.
BORROW_AFTER_S = 0.3
# The same where the path to the store is lost; another instance may relay.
BORROW_AFTER_LOSS_S = 0.1


class Spending:
    """Holds the tokens that one call reserves and uses.

    A call without a token budget reserves none and is never refused.
    """

    def __init__(
        self,
        accounts: ProgramAccounts,
        advances: Advances,
        tasks: BackgroundTasks,
        program: ProgramKey,
        call: Call,
        tokens_per_event: int,
    ) -> None:
        self._accounts = accounts
        self._advances = advances
        self._tasks = tasks
        self._program = program
        self._call = call
        self._tokens_per_event = tokens_per_event
        self._reservation: asyncio.Task[Verdict] | None = None
        self._advance = Advance()
        self._is_settled = False
        self._has_handed_over = False
        # Events with data that were handed to the caller, or may have been.
        self._events_used = 0

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
        may_begin = self._may_begin(tokens, budget)
        event = Reserve(tokens, budget, prepays=not keeps_turns)
        self._reservation = asyncio.create_task(
            self._accounts.reserve(
                self._program, event, self._call.deadline_s - REFUSAL_MARGIN_S
            )
        )
        if may_begin:
            return None
        match await self._reserve_or_borrow():
            case Verdict.SPENT:
                return Refusal(402, 'token budget spent')
            case Verdict.UNKNOWN:
                return Refusal(503, 'budget not readable now', STORE_RETRY_S)
        return None

    def _may_begin(self, tokens: int, budget: int) -> bool:
        """Return whether the call may run while its tokens are reserved."""
        headers = self._call.headers
        if not self._call.route.keeps_turns:
            return self._accounts.is_granted(self._program, tokens)
        # The chain of a turn tells whether another instance served the last.
        begins = headers.previous_turn is None
        return self._accounts.is_likely_to_fit(
            self._program, tokens, budget, begins
        )

    async def _reserve_or_borrow(self) -> Verdict:
        """Return the reservation's verdict, FITS with an advance."""
        assert self._reservation is not None
        done, _ = await asyncio.wait(
            {self._reservation}, timeout=self._store_wait_s
        )
        if done or self._call.route.keeps_turns:
            # A turn is written before its end, so the store is awaited.
            return await asyncio.shield(self._reservation)
        if not self._advance.tokens:
            self._advance = await self._obtain_advance()
        if self._advance.tokens >= self._tokens_per_event > 0:
            return Verdict.FITS
        return await asyncio.shield(self._reservation)

    @property
    def _store_wait_s(self) -> float:
        """Return for how long the store alone is waited for."""
        is_away = self._advances.is_store_away
        return BORROW_AFTER_LOSS_S if is_away else BORROW_AFTER_S

    async def _obtain_advance(self) -> Advance:
        """Return tokens for this call from other instances."""
        headers = self._call.headers
        most = headers.max_tokens
        known = self._accounts.granted_tokens(self._program)
        # If not, the budget is spent, as far as this instance knows.
        may_borrow = known + most <= (headers.budget_tokens or 0)
        return await self._advances.obtain(
            self._program, most, may_borrow, self._call.request_id
        )

    async def wait_until_reserved(self) -> bool:
        """Wait for the reservation; return whether events may be passed."""
        if self._reservation is None or self._advance.tokens:
            return True
        return await self._reserve_or_borrow() is Verdict.FITS

    async def hand_over(self, event_count: int) -> bool:
        """Record events before they are written to the caller.

        Return False if they must not be written, since the tokens of the
        advance are used up and none are reserved in time.
        """
        tokens = (self._events_used + event_count) * self._tokens_per_event
        if self._advance.tokens and tokens > self._advance.tokens:
            assert self._reservation is not None
            verdict = await asyncio.shield(self._reservation)
            if verdict is not Verdict.FITS:
                return False
        self._events_used += event_count
        self._has_handed_over = True
        return True

    def settle(self) -> Settle | None:
        """Return the settlement, once; the caller writes or keeps it."""
        budget = self._call.headers.budget_tokens
        if self._is_settled or self._reservation is None or budget is None:
            return None
        self._is_settled = True
        reserved = self._call.headers.max_tokens
        return Settle(reserved, min(self._tokens_used(), reserved), budget)

    def _tokens_used(self) -> int:
        if not self._has_handed_over:
            return 0
        if not self._tokens_per_event:
            return self._call.headers.max_tokens
        return self._events_used * self._tokens_per_event

    def end(self) -> None:
        """Settle in the background what has not been settled yet."""
        settled = self.settle()
        if settled is not None:
            self._tasks.spawn(self._settle_later(settled))

    async def _settle_later(self, settled: Settle) -> None:
        assert self._reservation is not None
        advance = self._advance
        used = advance.part_used(settled.used)
        self._give_back(advance.without(used))
        if await self._reservation is Verdict.FITS:
            await self._settle_reserved(settled)
            self._give_back(used)
        elif used.borrowed:
            await self._record_borrowed(used.borrowed, settled.budget)

    def _give_back(self, part: Advance) -> None:
        request_id = self._call.request_id
        self._advances.give_back(self._program, part, request_id)

    async def _record_borrowed(self, used_tokens: int, budget: int) -> None:
        """Record tokens that were lent.

        Those beyond the budget are never given back, so that they are not
        lent again.
        """
        verdict = await self._accounts.submit(
            self._program,
            Spend(used_tokens),
            (),
            time.monotonic() + RECORD_TIMEOUT_S,
        )
        log_event(
            LOG,
            'borrowed_tokens_recorded',
            program=self._program.text,
            tokens=used_tokens,
            recorded=verdict is Verdict.FITS,
        )
        if verdict is not Verdict.FITS:
            return
        if self._accounts.granted_tokens(self._program) <= budget:
            self._give_back(Advance(borrowed=used_tokens))

    async def _settle_reserved(self, settled: Settle) -> None:
        if not self._call.route.keeps_turns:
            self._accounts.keep_unused(self._program, settled)
            return
        await self._accounts.submit(
            self._program, settled, (), time.monotonic() + SETTLE_TIMEOUT_S
        )
