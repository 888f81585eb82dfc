"""Keeps turns and budgets in the store, with recent turns in memory."""

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
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.retention import Expired
from jackdawfield.gateway.retention import is_over
from jackdawfield.gateway.retention import KEYS_PER_WRITE
from jackdawfield.gateway.retention import Retention
from jackdawfield.gateway.rows import RowConflict
from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.rows import RowOutcome
from jackdawfield.gateway.rows import RowStore
from jackdawfield.gateway.rows import RowTransaction
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.gateway.turns import all_parts
from jackdawfield.gateway.turns import decode_turns
from jackdawfield.gateway.turns import encode_turn
from jackdawfield.gateway.turns import index_key
from jackdawfield.gateway.turns import ProgramKey
from jackdawfield.gateway.turns import TurnError
from jackdawfield.gateway.turns import TurnRecord
from jackdawfield.gateway.turns import TURNS_TABLE
from jackdawfield.logs import log_event
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
WRITE_TIMEOUT_S = 0.8
RETRY_S = 0.1
MAX_RETRY_S = 0.4
# The key after every key that begins with a program's key and a slash.
AFTER_SLASH = '0'
# Programs whose ledgers stay in memory.
LEDGERS_KEPT = 4000
MAX_CHAIN = 500


@dataclass(frozen=True, slots=True)
class Missing:
    """Says that no such turn of the organisation exists."""


@dataclass(frozen=True, slots=True)
class Uncertain:
    """Says that a turn may exist but cannot be read now."""

    reason: str


@dataclass(frozen=True, slots=True)
class Chain:
    """Holds a turn and all before it, the oldest first."""

    records: tuple[TurnRecord, ...]


ChainResult = Chain | Missing | Uncertain


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


class TurnCache:
    """Keeps recent turns in memory, within a limit of bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._by_id: OrderedDict[
            tuple[OrganisationId | None, TurnId], TurnRecord
        ] = OrderedDict()

    def get(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> TurnRecord | None:
        """Return a turn that is kept here."""
        key = (organisation_id, turn_id)
        record = self._by_id.get(key)
        if record is not None:
            self._by_id.move_to_end(key)
        return record

    def add(self, record: TurnRecord) -> None:
        """Keep a turn and drop the least recently used over the limit."""
        key = (record.organisation_id, record.turn_id)
        if key in self._by_id:
            return
        self._by_id[key] = record
        self._bytes += record.size
        while self._bytes > self._limit_bytes:
            _, dropped = self._by_id.popitem(last=False)
            self._bytes -= dropped.size


class TurnStore:
    """Reads chains of turns and writes turns with their budget."""

    def __init__(
        self, store: RowStore, writer: str, row_bytes: int, cache_bytes: int
    ) -> None:
        self._store = store
        self._writer = writer
        # Base64 on the wire takes four bytes for three.
        self._row_bytes = row_bytes * 3 // 4
        self._cache = TurnCache(cache_bytes)
        self._accounts: OrderedDict[ProgramKey, _Account] = OrderedDict()
        self._retention = Retention()

    # Chains

    async def chain(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> ChainResult:
        """Return a turn's chain; Missing only if the store says so."""
        records: list[TurnRecord] = []
        next_program, next_id = program, turn_id
        while len(records) < MAX_CHAIN:
            found = await self._turn(organisation_id, next_program, next_id)
            if not isinstance(found, TurnRecord):
                # An ancestor that cannot be read does not deny its heir.
                if records and isinstance(found, Missing):
                    return Uncertain('an earlier turn is gone')
                return found
            records.append(found)
            if found.parent_id is None:
                return Chain(tuple(reversed(records)))
            next_program = ProgramKey(found.parent_program or program.text)
            next_id = found.parent_id
        return Uncertain('the chain is too long')

    async def _turn(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> TurnRecord | Missing | Uncertain:
        record = self._cache.get(organisation_id, turn_id)
        if record is not None:
            return record
        found = await self._load(program)
        if isinstance(found, Uncertain):
            return found
        record = self._cache.get(organisation_id, turn_id)
        if record is not None:
            return record
        return await self._search(organisation_id, turn_id)

    async def _load(self, program: ProgramKey) -> Uncertain | None:
        prefix = program.text + '/'
        read = await self._store.read(
            TURNS_TABLE, program.part, prefix, program.text + AFTER_SLASH
        )
        if isinstance(read, Err):
            return Uncertain(read.err_value.reason)
        try:
            records = decode_turns(read.ok_value.rows)
        except TurnError as error:
            log_event(LOG, 'turn_unreadable', program=program.text)
            return Uncertain(f'unreadable turn: {error}')
        for record in records.values():
            self._cache.add(record)
        log_event(
            LOG, 'turns_loaded', program=program.text, turns=len(records)
        )
        return None

    async def _search(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> TurnRecord | Missing | Uncertain:
        results = await asyncio.gather(
            *(
                self._indexed(organisation_id, turn_id, part)
                for part in all_parts()
            )
        )
        programs = [found for found in results if isinstance(found, str)]
        for text in programs:
            loaded = await self._load(ProgramKey(text))
            if loaded is not None:
                return loaded
            record = self._cache.get(organisation_id, turn_id)
            if record is not None:
                return record
        uncertain = [r for r in results if isinstance(r, Uncertain)]
        if uncertain:
            return uncertain[0]
        if programs:
            return Uncertain('the turn is listed but its rows are gone')
        return Missing()

    async def _indexed(
        self,
        organisation_id: OrganisationId | None,
        turn_id: TurnId,
        part: str,
    ) -> str | Uncertain | None:
        key = index_key(organisation_id, turn_id, part)
        read = await self._store.read(key.table, part, key.key, key.key + '\0')
        if isinstance(read, Err):
            return Uncertain(read.err_value.reason)
        for row in read.ok_value.rows:
            if row.value is not None:
                return row.value.decode()
        return None

    # Budgets and new turns

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
        pause_s = RETRY_S
        while (left_s := deadline_s - time.monotonic()) > 0:
            transaction = RowTransaction((), puts)
            outcome = await self._store.transact(
                transaction, min(left_s, WRITE_TIMEOUT_S)
            )
            if isinstance(outcome, Committed):
                return True
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * 2)
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
            pause_s = RETRY_S
            while account.works:
                if await self._step(program, account):
                    pause_s = RETRY_S
                    continue
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_RETRY_S, pause_s * 2)
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
        plan = ledger.plan(w.event for w in works if w.event is not None)
        refused = not all(plan.verdicts)
        if refused and not ledger.known:
            return await self._reread(program, ledger)
        puts = [put for work in works for put in work.puts]
        if puts:
            active = replace(plan.row, active_s=time.time())
            plan = dataclasses.replace(plan, row=active)
        if not plan.must_write and not puts:
            if refused and not await self._reread(program, ledger):
                return False
            plan = ledger.plan(w.event for w in works if w.event is not None)
            if not plan.must_write:
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
                _adopt(program, ledger, rows)
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
            read = await self._store.read(
                key.table, key.part, key.key, key.key + '\0'
            )
            if isinstance(read, Err):
                self._retention.add(rows, now_s)
                continue
            ledger = Ledger(self._writer)
            _adopt(rows.program, ledger, read.ok_value.rows)
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
        key = ledger_key(program)
        read = await self._store.read(
            key.table, key.part, key.key, key.key + '\0'
        )
        if isinstance(read, Err):
            log_event(LOG, 'ledger_unread', reason=read.err_value.reason)
            return False
        _adopt(program, ledger, read.ok_value.rows)
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


def _resolve(work: _Work, verdict: Verdict) -> None:
    if not work.done.done():
        work.done.set_result(verdict)


def _adopt(
    program: ProgramKey, ledger: Ledger, rows: tuple[StoredRow, ...]
) -> None:
    key = ledger_key(program)
    for row in rows:
        if row.key == key:
            ledger.take_row(row.value, row.version)
            return
    ledger.take_row(None, 0)
