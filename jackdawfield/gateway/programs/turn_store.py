"""Write turns and token budgets to the store, and remove expired rows."""

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
from jackdawfield.gateway.programs.ledger import encode_row
from jackdawfield.gateway.programs.ledger import Ledger
from jackdawfield.gateway.programs.ledger import ledger_key
from jackdawfield.gateway.programs.ledger import LedgerEvent
from jackdawfield.gateway.programs.ledger import LedgerPlan
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.retention import ExpiringRows
from jackdawfield.gateway.programs.retention import is_expired
from jackdawfield.gateway.programs.retention import MAX_KEYS_PER_WRITE
from jackdawfield.gateway.programs.retention import RetentionQueue
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turns import encode_turn
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.storage.backoff import backoff_delays_s
from jackdawfield.gateway.storage.rows import read_row
from jackdawfield.gateway.storage.rows import RowConflict
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
WRITE_TIMEOUT_S = 0.8
RETRY_S = 0.1
MAX_RETRY_S = 0.4
# Ledgers beyond this many are evicted from memory, least recently used first.
LEDGERS_KEPT = 4000


class Verdict(Enum):
    """Names the result of a reservation or of a write.

    FITS also stands for a write that was applied, and UNKNOWN for an update
    whose deadline passed first.
    """

    FITS = 'fits'
    SPENT = 'spent'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class _PendingUpdate:
    event: LedgerEvent | None
    puts: tuple[tuple[RowKey, bytes], ...]
    deadline_s: float
    done: asyncio.Future[Verdict]


class _Account:
    """Holds a program's ledger and the updates that await its next write."""

    def __init__(self, writer: str) -> None:
        self.ledger = Ledger(writer)
        self.pending: list[_PendingUpdate] = []
        self.task: asyncio.Task[None] | None = None


class TurnStore:
    """Writes turns and budgets, with one transaction per program at a time."""

    def __init__(
        self, store: RowStore, writer: str, row_bytes: int, cache: TurnCache
    ) -> None:
        self._store = store
        self._writer = writer
        # On the wire, base64 encodes three bytes as four.
        self._row_bytes = row_bytes * 3 // 4
        self._cache = cache
        self._accounts_by_program: OrderedDict[ProgramKey, _Account] = (
            OrderedDict()
        )
        self._retention = RetentionQueue()

    def is_likely_to_fit(
        self, program: ProgramKey, tokens: int, budget: int, begins: bool
    ) -> bool:
        """Return whether a reservation is unlikely to be refused.

        False if the ledger has not been loaded, except for the first turn of
        a program, whose budget is unspent.
        """
        account = self._account_of(program)
        if not account.ledger.is_loaded and not begins:
            return False
        queued = sum(
            update.event.tokens
            for update in account.pending
            if isinstance(update.event, Reserve)
        )
        return account.ledger.is_likely_to_fit(tokens, queued, budget)

    async def refresh(self, program: ProgramKey) -> None:
        """Reload a program's ledger; another instance may have raised it."""
        account = self._account_of(program)
        if account.task is None:
            await self._reload(program, account.ledger)

    def granted_tokens(self, program: ProgramKey) -> int:
        """Return the tokens granted to a program, as of the row last read."""
        return self._account_of(program).ledger.row.granted

    async def reserve(
        self, program: ProgramKey, tokens: int, budget: int, deadline_s: float
    ) -> Verdict:
        """Reserve a turn's tokens durably; UNKNOWN after the deadline."""
        event = Reserve(tokens, budget)
        return await self._submit(program, event, (), deadline_s)

    async def settle(
        self, program: ProgramKey, event: LedgerEvent, deadline_s: float
    ) -> None:
        """Return a turn's unused tokens, giving up at the deadline."""
        await self._submit(program, event, (), deadline_s)

    async def commit(
        self,
        program: ProgramKey,
        record: TurnRecord,
        event: LedgerEvent | None,
        deadline_s: float,
    ) -> bool:
        """Write a turn and settle its tokens; return whether it is durable."""
        puts = encode_turn(record, self._row_bytes)
        now_s = time.time()
        keys = tuple(key for key, _ in puts)
        retention_s = max(0.0, record.kept_until_s - now_s)
        self._retention.add(ExpiringRows(program, keys, retention_s), now_s)
        if event is None:
            stored = await self._put_rows(puts, deadline_s)
        else:
            verdict = await self._submit(program, event, puts, deadline_s)
            stored = verdict == Verdict.FITS
        if stored:
            self._cache.add(record)
        return stored

    async def _put_rows(
        self, puts: tuple[tuple[RowKey, bytes], ...], deadline_s: float
    ) -> bool:
        delays_s = backoff_delays_s(RETRY_S, MAX_RETRY_S)
        while (left_s := deadline_s - time.monotonic()) > 0:
            transaction = RowTransaction((), puts)
            outcome = await self._store.transact(
                transaction, min(left_s, WRITE_TIMEOUT_S)
            )
            if isinstance(outcome, Committed):
                return True
            await asyncio.sleep(next(delays_s))
        return False

    def _account_of(self, program: ProgramKey) -> _Account:
        account = self._accounts_by_program.get(program)
        if account is None:
            account = _Account(self._writer)
            self._accounts_by_program[program] = account
            self._evict_idle()
        self._accounts_by_program.move_to_end(program)
        return account

    def _evict_idle(self) -> None:
        while len(self._accounts_by_program) > LEDGERS_KEPT:
            oldest, account = next(iter(self._accounts_by_program.items()))
            if account.task is not None:
                return
            del self._accounts_by_program[oldest]

    async def _submit(
        self,
        program: ProgramKey,
        event: LedgerEvent | None,
        puts: tuple[tuple[RowKey, bytes], ...],
        deadline_s: float,
    ) -> Verdict:
        account = self._account_of(program)
        done: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        account.pending.append(_PendingUpdate(event, puts, deadline_s, done))
        if account.task is None:
            account.task = asyncio.create_task(
                self._process_updates(program, account)
            )
        return await asyncio.shield(done)

    async def _process_updates(
        self, program: ProgramKey, account: _Account
    ) -> None:
        try:
            delays_s = backoff_delays_s(RETRY_S, MAX_RETRY_S)
            while account.pending:
                if await self._try_updates(program, account):
                    delays_s = backoff_delays_s(RETRY_S, MAX_RETRY_S)
                    continue
                await asyncio.sleep(next(delays_s))
        finally:
            account.task = None
            for update in account.pending:
                _resolve(update, Verdict.UNKNOWN)

    async def _try_updates(
        self, program: ProgramKey, account: _Account
    ) -> bool:
        """Try to write the pending updates; False if the store failed."""
        self._expire_updates(account)
        updates = list(account.pending)
        if not updates:
            return True
        ledger = account.ledger
        plan = _plan(ledger, updates)
        has_refusals = not all(plan.verdicts)
        if has_refusals and not ledger.is_loaded:
            return await self._reload(program, ledger)
        puts = [put for update in updates for put in update.puts]
        if puts:
            active_row = replace(plan.row, active_s=time.time())
            plan = dataclasses.replace(plan, row=active_row)
        if has_refusals and not plan.must_write and not puts:
            # Another instance may have returned tokens since the last read.
            if not await self._reload(program, ledger):
                return False
            plan = _plan(ledger, updates)
        if not plan.must_write and not puts:
            ledger.available = plan.available
            self._resolve_all(account, updates, plan)
            return True
        outcome = await self._write(program, ledger, plan, puts, updates)
        return await self._handle_outcome(
            program, account, updates, plan, outcome
        )

    async def _write(
        self,
        program: ProgramKey,
        ledger: Ledger,
        plan: LedgerPlan,
        puts: list[tuple[RowKey, bytes]],
        updates: list[_PendingUpdate],
    ) -> RowOutcome:
        key = ledger_key(program)
        transaction = RowTransaction(
            ((key, ledger.version),), (*puts, (key, encode_row(plan.row)))
        )
        left_s = (
            max(update.deadline_s for update in updates) - time.monotonic()
        )
        timeout_s = max(RETRY_S, min(left_s, WRITE_TIMEOUT_S))
        return await self._store.transact(transaction, timeout_s)

    async def _handle_outcome(
        self,
        program: ProgramKey,
        account: _Account,
        updates: list[_PendingUpdate],
        plan: LedgerPlan,
        outcome: RowOutcome,
    ) -> bool:
        ledger = account.ledger
        match outcome:
            case Committed(revision):
                ledger.record_written(plan, revision)
                self._resolve_all(account, updates, plan)
                return True
            case RowConflict(rows):
                key = ledger_key(program)
                _load_row(
                    ledger, next((r for r in rows if r.key == key), None)
                )
            case NotApplied(reason):
                log_event(LOG, 'ledger_unwritten', reason=reason)
                return False
            case OutcomeUnknown(reason):
                log_event(LOG, 'ledger_in_doubt', reason=reason)
                if not await self._reload(program, ledger):
                    return False
        if ledger.has_written(plan):
            ledger.record_written(plan, ledger.version)
            self._resolve_all(account, updates, plan)
        return True

    async def remove_expired(self) -> None:
        """Remove the rows of programs that are past their retention."""
        now_s = time.time()
        for rows in self._retention.pop_due(now_s):
            key = ledger_key(rows.program)
            read = await read_row(self._store, key)
            if isinstance(read, Err):
                self._retention.add(rows, now_s)
                continue
            ledger = Ledger(self._writer)
            _load_row(ledger, read.ok_value)
            active_s = ledger.row.active_s
            if ledger.version and not is_expired(
                active_s, rows.retention_s, now_s
            ):
                self._retention.add(rows, active_s)
                continue
            await self._remove(rows, key, ledger.version)

    async def _remove(
        self, rows: ExpiringRows, key: RowKey, version: int
    ) -> None:
        removes = rows.keys[:MAX_KEYS_PER_WRITE]
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

    async def _reload(self, program: ProgramKey, ledger: Ledger) -> bool:
        read = await read_row(self._store, ledger_key(program))
        if isinstance(read, Err):
            log_event(LOG, 'ledger_unread', reason=read.err_value.reason)
            return False
        _load_row(ledger, read.ok_value)
        return True

    def _resolve_all(
        self,
        account: _Account,
        updates: list[_PendingUpdate],
        plan: LedgerPlan,
    ) -> None:
        verdicts = iter(plan.verdicts)
        for update in updates:
            fits = True
            if isinstance(update.event, Reserve):
                fits = next(verdicts)
            _resolve(update, Verdict.FITS if fits else Verdict.SPENT)
        done = set(map(id, updates))
        account.pending = [
            update for update in account.pending if id(update) not in done
        ]

    def _expire_updates(self, account: _Account) -> None:
        now_s = time.monotonic()
        for update in account.pending:
            if update.deadline_s <= now_s:
                _resolve(update, Verdict.UNKNOWN)
        account.pending = [
            update for update in account.pending if not update.done.done()
        ]


def _plan(ledger: Ledger, updates: list[_PendingUpdate]) -> LedgerPlan:
    return ledger.plan(
        update.event for update in updates if update.event is not None
    )


def _resolve(update: _PendingUpdate, verdict: Verdict) -> None:
    if not update.done.done():
        update.done.set_result(verdict)


def _load_row(ledger: Ledger, row: StoredRow | None) -> None:
    if row is None:
        ledger.load_row(None, 0)
        return
    # A read that overlapped with a write may return an older row.
    if row.version >= ledger.version:
        ledger.load_row(row.value, row.version)
