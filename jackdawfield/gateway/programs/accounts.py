"""Keep programs' token budgets in the store, over all instances.

Each program has one row. An instance writes it in one transaction at a time,
which carries all updates that wait, and the rows of turns with them.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from dataclasses import dataclass
from enum import Enum
from itertools import islice
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
from jackdawfield.gateway.programs.ledger import limits_beside_ledger
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Return
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.storage.backoff import backoff_delays_s
from jackdawfield.gateway.storage.rows import read_row
from jackdawfield.gateway.storage.rows import RowConflict
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowsRejected
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.transactions import count_fitting
from jackdawfield.gateway.storage.transactions import Puts
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
WRITE_TIMEOUT_S = 0.8
RETRY_S = 0.1
MAX_RETRY_S = 0.4
RETURN_TIMEOUT_S = 0.5
# Ledgers beyond this many are evicted from memory, least recently used first.
LEDGERS_KEPT = 4000

# Asks the writers of a program's row to return the tokens they do not use;
# returns whether any of them did.
CollectUnused = Callable[[ProgramKey, Iterable[str]], Awaitable[bool]]


class Verdict(Enum):
    """Names the result of a reservation or of a write.

    FITS also stands for a write that was applied, and UNKNOWN for an update
    whose deadline passed first, or that the store never applies.
    """

    FITS = 'fits'
    SPENT = 'spent'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class _PendingUpdate:
    event: LedgerEvent
    puts: Puts
    deadline_s: float
    done: asyncio.Future[Verdict]
    # Whether the other writers were asked for the tokens they do not use.
    has_collected: bool = False


@dataclass(frozen=True, slots=True)
class _UnknownWrite:
    """Holds a write that may have been applied, or may be later.

    The version is that of the row which it replaces.
    """

    plan: LedgerPlan
    updates: list[_PendingUpdate]
    version: int


class _Account:
    """Holds a program's ledger and the updates that await its next write."""

    def __init__(self, writer: str) -> None:
        self.ledger = Ledger(writer)
        self.pending: list[_PendingUpdate] = []
        self.unknown_writes: list[_UnknownWrite] = []
        self.task: asyncio.Task[None] | None = None

    @property
    def queued_tokens(self) -> int:
        """Return the tokens of the reservations that are not written yet."""
        return sum(
            update.event.tokens
            for update in self.pending
            if isinstance(update.event, Reserve)
        )

    @property
    def is_in_use(self) -> bool:
        """Return whether a write is due, or may still be applied.

        Its plan counts on the available tokens.
        """
        return self.task is not None or bool(self.unknown_writes)


async def collect_nothing(program: ProgramKey, writers: Iterable[str]) -> bool:
    """Stand for a fleet in which no other instance holds tokens."""
    return False


class ProgramAccounts:
    """Reserves and settles the tokens of programs."""

    def __init__(
        self,
        store: RowStore,
        writer: str,
        collect_unused: CollectUnused = collect_nothing,
    ) -> None:
        self._store = store
        self._writer = writer
        self._collect_unused = collect_unused
        # The least recently used first.
        self._accounts_by_program: dict[ProgramKey, _Account] = {}

    def is_new(self, program: ProgramKey) -> bool:
        """Return whether this instance has no account of a program yet."""
        return program not in self._accounts_by_program

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
        queued = account.queued_tokens
        return account.ledger.is_likely_to_fit(tokens, queued, budget)

    def is_granted(self, program: ProgramKey, tokens: int) -> bool:
        """Return whether a reservation fits whatever other instances did."""
        account = self._account_of(program)
        return account.ledger.is_granted(tokens, account.queued_tokens)

    async def refresh(self, program: ProgramKey) -> None:
        """Reload a program's ledger; another instance may have raised it."""
        account = self._account_of(program)
        if account.task is None:
            await self._reload(program, account.ledger)

    def granted_tokens(self, program: ProgramKey) -> int:
        """Return the tokens granted to a program, as of the row last read."""
        return self._account_of(program).ledger.row.granted

    async def reserve(
        self, program: ProgramKey, event: Reserve, deadline_s: float
    ) -> Verdict:
        """Reserve a call's tokens durably; UNKNOWN after the deadline."""
        return await self.submit(program, event, (), deadline_s)

    def keep_unused(self, program: ProgramKey, settled: Settle) -> None:
        """Keep a call's unused tokens for the program's next call here."""
        self._account_of(program).ledger.keep(settled)

    async def return_unused(self, program: ProgramKey) -> bool:
        """Write back the tokens that no call here uses; return if any."""
        account = self._accounts_by_program.get(program)
        if account is None or not account.ledger.available:
            return False
        deadline_s = time.monotonic() + RETURN_TIMEOUT_S
        verdict = await self.submit(program, Return(), (), deadline_s)
        return verdict is Verdict.FITS

    def writers_of(self, program: ProgramKey) -> list[str]:
        """Return the other instances that wrote the row, the last one first.

        That is as of the row that was read last.
        """
        account = self._accounts_by_program.get(program)
        if account is None:
            return []
        marks = account.ledger.row.marks
        return [w for w in reversed(marks) if w != self._writer]

    def known_row(self, program: ProgramKey) -> tuple[bytes | None, int]:
        """Return a program's row as it was read last, and its version."""
        account = self._accounts_by_program.get(program)
        if account is None or not account.ledger.version:
            return None, 0
        return encode_row(account.ledger.row), account.ledger.version

    def note_row(
        self, program: ProgramKey, data: bytes | None, version: int
    ) -> None:
        """Take a row that another instance has read, unless it is older.

        It tells whether a call is likely to fit. Whether it does is decided
        by the store, under the row's version.
        """
        account = self._account_of(program)
        if data is None or account.is_in_use:
            return
        if version > account.ledger.version:
            account.ledger.load_row(data, version)

    def recent_programs(self, most: int) -> tuple[str, ...]:
        """Return programs with an account here, the last used first."""
        programs = islice(reversed(self._accounts_by_program), most)
        return tuple(program.text for program in programs)

    def give_away(self, program: ProgramKey, most: int) -> int:
        """Take tokens out of an account that no call and no write uses.

        They stay granted in the row, so that whoever gets them may use them.
        """
        account = self._accounts_by_program.get(program)
        if account is None or account.is_in_use:
            return 0
        given = max(0, min(most, account.ledger.available))
        account.ledger.available -= given
        return given

    def give_all_away(self) -> dict[str, int]:
        """Take the unused tokens out of every account, by program.

        The most recently used program comes first.
        """
        given_by_program = {}
        for program, account in reversed(self._accounts_by_program.items()):
            given = self.give_away(program, account.ledger.available)
            if given:
                given_by_program[program.text] = given
        return given_by_program

    def receive(self, program: ProgramKey, tokens: int) -> None:
        """Add tokens to an account that another instance gave away."""
        self._account_of(program).ledger.available += tokens

    async def return_given(self, program: ProgramKey, tokens: int) -> bool:
        """Write tokens back that others gave away; return if any."""
        await self.refresh(program)
        ledger = self._account_of(program).ledger
        if not ledger.is_loaded or ledger.row.granted < tokens:
            return False
        ledger.available += tokens
        return await self.return_unused(program)

    def _account_of(self, program: ProgramKey) -> _Account:
        account = self._accounts_by_program.pop(program, None)
        if account is None:
            account = _Account(self._writer)
            self._evict_idle()
        self._accounts_by_program[program] = account
        return account

    def _evict_idle(self) -> None:
        while len(self._accounts_by_program) >= LEDGERS_KEPT:
            oldest, account = next(iter(self._accounts_by_program.items()))
            if account.task is not None:
                return
            del self._accounts_by_program[oldest]

    async def submit(
        self,
        program: ProgramKey,
        event: LedgerEvent,
        puts: Puts,
        deadline_s: float,
    ) -> Verdict:
        """Apply an event, and write rows with it; UNKNOWN if not in time."""
        account = self._account_of(program)
        done: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        update = _PendingUpdate(event, puts, deadline_s, done)
        account.pending.append(update)
        if account.task is None:
            account.task = asyncio.create_task(
                self._process_updates(program, account)
            )
        try:
            async with asyncio.timeout(deadline_s - time.monotonic()):
                return await asyncio.shield(done)
        except TimeoutError:
            _resolve(update, Verdict.UNKNOWN)
            return done.result()

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
        self._resolve_unknown_writes(account)
        self._expire_updates(account)
        limits = limits_beside_ledger(self._store.limits)
        count = count_fitting((u.puts for u in account.pending), limits)
        updates = account.pending[:count]
        if not updates:
            return True
        ledger = account.ledger
        plan = _plan(ledger, updates)
        has_refusals = not all(plan.verdicts)
        if has_refusals and not ledger.is_loaded:
            return await self._reload(program, ledger)
        puts = [put for update in updates for put in update.puts]
        if has_refusals and not plan.must_write and not puts:
            # Other instances may have returned tokens since the last read.
            await self._collect(program, ledger, updates)
            if not await self._reload(program, ledger):
                return False
            plan = _plan(ledger, updates)
        if not plan.must_write and not puts:
            ledger.record_unwritten(plan)
            self._resolve_all(account, updates, plan)
            return True
        active_row = replace(plan.row, active_s=time.time())
        plan = dataclasses.replace(plan, row=active_row)
        outcome = await self._write(program, ledger, plan, puts, updates)
        return await self._handle_outcome(
            program, account, updates, plan, outcome
        )

    async def _collect(
        self,
        program: ProgramKey,
        ledger: Ledger,
        updates: list[_PendingUpdate],
    ) -> None:
        """Have the other writers return unused tokens, once an update."""
        if all(update.has_collected for update in updates):
            return
        for update in updates:
            update.has_collected = True
        others = [w for w in ledger.row.marks if w != self._writer]
        await self._collect_unused(program, others)

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
        write = _UnknownWrite(plan, updates, ledger.version)
        match outcome:
            case Committed(revision):
                ledger.record_written(plan, revision)
                self._resolve_all(account, updates, plan)
                return True
            case RowConflict(rows):
                account.unknown_writes.append(write)
                key = ledger_key(program)
                load_row(ledger, next((r for r in rows if r.key == key), None))
            case RowsRejected(reason):
                log_event(LOG, 'ledger_rejected', logging.ERROR, reason=reason)
                for update in updates:
                    _resolve(update, Verdict.UNKNOWN)
            case NotApplied(reason):
                log_event(LOG, 'ledger_unwritten', reason=reason)
                return False
            case OutcomeUnknown(reason):
                account.unknown_writes.append(write)
                log_event(LOG, 'ledger_in_doubt', reason=reason)
                return await self._reload(program, ledger)
        return True

    def _resolve_unknown_writes(self, account: _Account) -> None:
        """Resolve the updates of a write that the row read last includes.

        Another write that replaces the same row can still be applied only
        while that row is the newest.
        """
        ledger = account.ledger
        for write in account.unknown_writes:
            if ledger.has_written(write.plan):
                ledger.record_found(write.plan)
                self._resolve_all(account, write.updates, write.plan)
        account.unknown_writes = [
            write
            for write in account.unknown_writes
            if write.version == ledger.version
        ]

    async def _reload(self, program: ProgramKey, ledger: Ledger) -> bool:
        read = await read_row(self._store, ledger_key(program))
        if isinstance(read, Err):
            log_event(LOG, 'ledger_unread', reason=read.err_value.reason)
            return False
        load_row(ledger, read.ok_value)
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
    return ledger.plan(update.event for update in updates)


def _resolve(update: _PendingUpdate, verdict: Verdict) -> None:
    if not update.done.done():
        update.done.set_result(verdict)


def load_row(ledger: Ledger, row: StoredRow | None) -> None:
    """Load a row into a ledger unless it is older than the ledger's own."""
    if row is None:
        ledger.load_row(None, 0)
        return
    # A read that overlapped with a write may return an older row.
    if row.version >= ledger.version:
        ledger.load_row(row.value, row.version)
