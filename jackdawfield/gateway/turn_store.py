"""Writes turns and budgets to the store, and removes what is over."""

import asyncio
from collections import OrderedDict
import dataclasses
from dataclasses import dataclass
from enum import Enum
import logging
import time

from msgspec.structs import replace
from result import Err

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.gateway.ledger import encode_row
from jackdawfield.gateway.ledger import Ledger
from jackdawfield.gateway.ledger import ledger_key
from jackdawfield.gateway.ledger import LedgerEvent
from jackdawfield.gateway.ledger import LedgerPlan
from jackdawfield.gateway.ledger import Reserve
from jackdawfield.gateway.pauses import growing_pauses_s
from jackdawfield.gateway.retention import Expired
from jackdawfield.gateway.retention import is_over
from jackdawfield.gateway.retention import KEYS_PER_WRITE
from jackdawfield.gateway.retention import Retention
from jackdawfield.gateway.rows import read_row
from jackdawfield.gateway.rows import RowConflict
from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.rows import RowOutcome
from jackdawfield.gateway.rows import RowStore
from jackdawfield.gateway.rows import RowTransaction
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.gateway.turn_cache import TurnCache
from jackdawfield.gateway.turns import encode_turn
from jackdawfield.gateway.turns import ProgramKey
from jackdawfield.gateway.turns import TurnRecord
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
WRITE_TIMEOUT_S = 0.8
RETRY_S = 0.1
MAX_RETRY_S = 0.4
# Programs whose ledgers stay in memory.
LEDGERS_KEPT = 4000


class Verdict(Enum):
    """Answers a reservation."""

    FITS = 'fits'
    SPENT = 'spent'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class _Work:
    event: LedgerEvent | None
    puts: tuple[tuple[RowKey, bytes], ...]
    deadline_s: float
    done: asyncio.Future[Verdict]


class _Account:
    """Holds a program's ledger and the work that waits for its row."""

    def __init__(self, writer: str) -> None:
        self.ledger = Ledger(writer)
        self.works: list[_Work] = []
        self.task: asyncio.Task[None] | None = None


class TurnStore:
    """Writes turns with their budget, one transaction a program at a time."""

    def __init__(
        self, store: RowStore, writer: str, row_bytes: int, cache: TurnCache
    ) -> None:
        self._store = store
        self._writer = writer
        # Base64 on the wire takes four bytes for three.
        self._row_bytes = row_bytes * 3 // 4
        self._cache = cache
        self._accounts: OrderedDict[ProgramKey, _Account] = OrderedDict()
        self._retention = Retention()

    def surely_fits(
        self, program: ProgramKey, tokens: int, budget: int, begins: bool
    ) -> bool:
        """Return whether a reservation is unlikely to be refused.

        Nothing is known to be spent of a program that begins.
        """
        account = self._account(program)
        if not account.ledger.known and not begins:
            return False
        waiting = sum(
            work.event.tokens
            for work in account.works
            if isinstance(work.event, Reserve)
        )
        return account.ledger.surely_fits(tokens, waiting, budget)

    async def refresh(self, program: ProgramKey) -> None:
        """Read a program's ledger, which another instance may have raised."""
        account = self._account(program)
        if account.task is None:
            await self._reread(program, account.ledger)

    def granted(self, program: ProgramKey) -> int:
        """Return the tokens that a program was granted, as known here."""
        return self._account(program).ledger.row.granted

    async def reserve(
        self, program: ProgramKey, tokens: int, budget: int, deadline_s: float
    ) -> Verdict:
        """Reserve a turn's tokens durably and return the verdict."""
        event = Reserve(tokens, budget)
        return await self._do(program, event, (), deadline_s)

    async def settle(
        self, program: ProgramKey, event: LedgerEvent, deadline_s: float
    ) -> None:
        """Give back what a turn left unused, without waiting long."""
        await self._do(program, event, (), deadline_s)

    async def commit(
        self,
        program: ProgramKey,
        record: TurnRecord,
        event: LedgerEvent | None,
        deadline_s: float,
    ) -> bool:
        """Write a turn and settle its tokens; False if not durable."""
        puts = encode_turn(record, self._row_bytes)
        now_s = time.time()
        keys = tuple(key for key, _ in puts)
        retention_s = max(0.0, record.kept_until_s - now_s)
        self._retention.add(Expired(program, keys, retention_s), now_s)
        if event is None:
            stored = await self._put(puts, deadline_s)
        else:
            verdict = await self._do(program, event, puts, deadline_s)
            stored = verdict == Verdict.FITS
        if stored:
            self._cache.add(record)
        return stored

    async def _put(
        self, puts: tuple[tuple[RowKey, bytes], ...], deadline_s: float
    ) -> bool:
        pauses_s = growing_pauses_s(RETRY_S, MAX_RETRY_S)
        while (left_s := deadline_s - time.monotonic()) > 0:
            transaction = RowTransaction((), puts)
            outcome = await self._store.transact(
                transaction, min(left_s, WRITE_TIMEOUT_S)
            )
            if isinstance(outcome, Committed):
                return True
            await asyncio.sleep(next(pauses_s))
        return False

    def _account(self, program: ProgramKey) -> _Account:
        account = self._accounts.get(program)
        if account is None:
            account = _Account(self._writer)
            self._accounts[program] = account
            self._forget_idle()
        self._accounts.move_to_end(program)
        return account

    def _forget_idle(self) -> None:
        while len(self._accounts) > LEDGERS_KEPT:
            oldest, account = next(iter(self._accounts.items()))
            if account.task is not None:
                return
            del self._accounts[oldest]

    async def _do(
        self,
        program: ProgramKey,
        event: LedgerEvent | None,
        puts: tuple[tuple[RowKey, bytes], ...],
        deadline_s: float,
    ) -> Verdict:
        account = self._account(program)
        done: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        account.works.append(_Work(event, puts, deadline_s, done))
        if account.task is None:
            account.task = asyncio.create_task(self._run(program, account))
        return await asyncio.shield(done)

    async def _run(self, program: ProgramKey, account: _Account) -> None:
        try:
            pauses_s = growing_pauses_s(RETRY_S, MAX_RETRY_S)
            while account.works:
                if await self._step(program, account):
                    pauses_s = growing_pauses_s(RETRY_S, MAX_RETRY_S)
                    continue
                await asyncio.sleep(next(pauses_s))
        finally:
            account.task = None
            for work in account.works:
                _resolve(work, Verdict.UNKNOWN)

    async def _step(self, program: ProgramKey, account: _Account) -> bool:
        """Try to do the waiting work; False if the store did not answer."""
        self._expire(account)
        works = list(account.works)
        if not works:
            return True
        ledger = account.ledger
        plan = _plan(ledger, works)
        refused = not all(plan.verdicts)
        if refused and not ledger.known:
            return await self._reread(program, ledger)
        puts = [put for work in works for put in work.puts]
        if puts:
            active = replace(plan.row, active_s=time.time())
            plan = dataclasses.replace(plan, row=active)
        if refused and not plan.must_write and not puts:
            # Others may have given tokens back since the row was read.
            if not await self._reread(program, ledger):
                return False
            plan = _plan(ledger, works)
        if not plan.must_write and not puts:
            ledger.free = plan.free
            self._finish(account, works, plan)
            return True
        outcome = await self._write(program, ledger, plan, puts, works)
        return await self._take(program, account, works, plan, outcome)

    async def _write(
        self,
        program: ProgramKey,
        ledger: Ledger,
        plan: LedgerPlan,
        puts: list[tuple[RowKey, bytes]],
        works: list[_Work],
    ) -> RowOutcome:
        key = ledger_key(program)
        transaction = RowTransaction(
            ((key, ledger.version),), (*puts, (key, encode_row(plan.row)))
        )
        left_s = max(w.deadline_s for w in works) - time.monotonic()
        timeout_s = max(RETRY_S, min(left_s, WRITE_TIMEOUT_S))
        return await self._store.transact(transaction, timeout_s)

    async def _take(
        self,
        program: ProgramKey,
        account: _Account,
        works: list[_Work],
        plan: LedgerPlan,
        outcome: RowOutcome,
    ) -> bool:
        ledger = account.ledger
        match outcome:
            case Committed(revision):
                ledger.wrote(plan, revision)
                self._finish(account, works, plan)
                return True
            case RowConflict(rows):
                key = ledger_key(program)
                _adopt(ledger, next((r for r in rows if r.key == key), None))
            case NotApplied(reason):
                log_event(LOG, 'ledger_unwritten', reason=reason)
                return False
            case OutcomeUnknown(reason):
                log_event(LOG, 'ledger_in_doubt', reason=reason)
                if not await self._reread(program, ledger):
                    return False
        if ledger.has_written(plan):
            ledger.wrote(plan, ledger.version)
            self._finish(account, works, plan)
        return True

    async def remove_expired(self) -> None:
        """Remove rows of programs that nobody may continue any more."""
        now_s = time.time()
        for rows in self._retention.due(now_s):
            key = ledger_key(rows.program)
            read = await read_row(self._store, key)
            if isinstance(read, Err):
                self._retention.add(rows, now_s)
                continue
            ledger = Ledger(self._writer)
            _adopt(ledger, read.ok_value)
            active_s = ledger.row.active_s
            if ledger.version and not is_over(
                active_s, rows.retention_s, now_s
            ):
                self._retention.add(rows, active_s)
                continue
            await self._remove(rows, key, ledger.version)

    async def _remove(self, rows: Expired, key: RowKey, version: int) -> None:
        removes = rows.keys[:KEYS_PER_WRITE]
        if version:
            removes += (key,)
        transaction = RowTransaction(((key, version),), (), removes)
        outcome = await self._store.transact(transaction, WRITE_TIMEOUT_S)
        log_event(
            LOG,
            'turns_removed',
            program=rows.program.text,
            rows=len(removes),
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Committed):
            self._retention.add(rows, time.time())

    async def _reread(self, program: ProgramKey, ledger: Ledger) -> bool:
        read = await read_row(self._store, ledger_key(program))
        if isinstance(read, Err):
            log_event(LOG, 'ledger_unread', reason=read.err_value.reason)
            return False
        _adopt(ledger, read.ok_value)
        return True

    def _finish(
        self, account: _Account, works: list[_Work], plan: LedgerPlan
    ) -> None:
        verdicts = iter(plan.verdicts)
        for work in works:
            fits = True
            if isinstance(work.event, Reserve):
                fits = next(verdicts)
            _resolve(work, Verdict.FITS if fits else Verdict.SPENT)
        done = set(map(id, works))
        account.works = [w for w in account.works if id(w) not in done]

    def _expire(self, account: _Account) -> None:
        now_s = time.monotonic()
        for work in account.works:
            if work.deadline_s <= now_s:
                _resolve(work, Verdict.UNKNOWN)
        account.works = [w for w in account.works if not w.done.done()]


def _plan(ledger: Ledger, works: list[_Work]) -> LedgerPlan:
    return ledger.plan(w.event for w in works if w.event is not None)


def _resolve(work: _Work, verdict: Verdict) -> None:
    if not work.done.done():
        work.done.set_result(verdict)


def _adopt(ledger: Ledger, row: StoredRow | None) -> None:
    if row is None:
        ledger.take_row(None, 0)
        return
    # A read may be older than what was written meanwhile.
    if row.version >= ledger.version:
        ledger.take_row(row.value, row.version)
