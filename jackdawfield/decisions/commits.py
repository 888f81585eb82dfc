"""Commit the turns of many programs, one transaction at a time."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from jackdawfield.decisions.commit_events import Action
from jackdawfield.decisions.commit_events import Answered
from jackdawfield.decisions.commit_events import Commit
from jackdawfield.decisions.commit_events import Durable
from jackdawfield.decisions.commit_events import Event
from jackdawfield.decisions.commit_events import Fenced
from jackdawfield.decisions.commit_events import Item
from jackdawfield.decisions.commit_events import item_bytes
from jackdawfield.decisions.commit_events import item_put
from jackdawfield.decisions.commit_events import Overdue
from jackdawfield.decisions.commit_events import ReadFailed
from jackdawfield.decisions.commit_events import ReadRows
from jackdawfield.decisions.commit_events import RowChange
from jackdawfield.decisions.commit_events import RowOwned
from jackdawfield.decisions.commit_events import RowsRead
from jackdawfield.decisions.commit_events import Submitted
from jackdawfield.decisions.commit_events import TimePassed
from jackdawfield.decisions.commit_events import Turn
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.decisions.table import Write
from jackdawfield.model import ProgramId


@dataclass(frozen=True, slots=True)
class CommitLimits:
    """Bounds the delay, the rate and the size of transactions.

    A transaction starts window_s after its oldest item was submitted, but
    not within interval_s of the last start or retry_delay_s of a failure.
    """

    window_s: float = 0.03
    interval_s: float = 0.06
    retry_delay_s: float = 0.5
    overdue_after_s: float = 1.0
    max_items: int = 64
    max_batch_bytes: int = 1 << 20


@dataclass(slots=True)
class PendingItem:
    """Holds an uncommitted item and the time of its submission."""

    item: Item
    submitted_s: float
    is_overdue_reported: bool = False


class Phase(Enum):
    """Represents the answer that the committer awaits."""

    IDLE = 'idle'
    COMMITTING = 'committing'
    READING = 'reading'


@dataclass(slots=True)
class Committer:
    """Holds the uncommitted items and the batch in flight.

    The revisions are those of the rows of the programs that this instance
    owns; every transaction is conditional on them.
    """

    limits: CommitLimits = field(default_factory=CommitLimits)
    revisions_by_program: dict[ProgramId, int] = field(default_factory=dict)
    queues_by_program: dict[ProgramId, collections.deque[PendingItem]] = field(
        default_factory=dict
    )
    batch: tuple[Item, ...] = ()
    phase: Phase = Phase.IDLE
    not_before_s: float = 0.0

    def on(self, event: Event) -> tuple[Action, ...]:
        """Apply an event and return the actions that follow."""
        match event:
            case RowOwned(program_id, revision):
                self.revisions_by_program[program_id] = revision
                return ()
            case Submitted(item, now_s):
                return self._submitted(item, now_s)
            case TimePassed(now_s):
                return (*self._report_overdue(now_s), *self._advance(now_s))
            case Answered(outcome, now_s):
                return self._answered(outcome, now_s)
            case RowsRead(rows, now_s):
                return self._resolve_batch(rows, now_s)
            case ReadFailed(now_s):
                return self._retry_later(now_s)

    def close(self, program_id: ProgramId) -> None:
        """Drop the state of a program that this instance no longer owns."""
        self.revisions_by_program.pop(program_id, None)
        self.queues_by_program.pop(program_id, None)

    def is_idle(self, program_id: ProgramId) -> bool:
        """Return whether a program has no uncommitted items."""
        return not self.queues_by_program.get(program_id)

    @property
    def next_due_s(self) -> float | None:
        """Return when TimePassed is due, None if it is not."""
        pending = [p for q in self.queues_by_program.values() for p in q]
        if not pending:
            return None
        times = [
            p.submitted_s + self.limits.overdue_after_s
            for p in pending
            if not p.is_overdue_reported
        ]
        if self.phase == Phase.IDLE:
            times.append(self._next_start_s())
        return min(times, default=None)

    def _submitted(self, item: Item, now_s: float) -> tuple[Action, ...]:
        if item.program_id not in self.revisions_by_program:
            return (Fenced(item.program_id),)
        queue = self.queues_by_program.setdefault(
            item.program_id, collections.deque()
        )
        queue.append(PendingItem(item, now_s))
        return self._advance(now_s)

    def _next_start_s(self) -> float:
        oldest_s = min(
            q[0].submitted_s for q in self.queues_by_program.values() if q
        )
        return max(oldest_s + self.limits.window_s, self.not_before_s)

    def _report_overdue(self, now_s: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for queue in self.queues_by_program.values():
            for pending in queue:
                age_s = now_s - pending.submitted_s
                if (
                    not pending.is_overdue_reported
                    and age_s >= self.limits.overdue_after_s
                ):
                    pending.is_overdue_reported = True
                    actions.append(Overdue(pending.item))
        return tuple(actions)

    def _advance(self, now_s: float) -> tuple[Action, ...]:
        if self.phase != Phase.IDLE:
            return ()
        if not any(self.queues_by_program.values()):
            return ()
        if now_s < self._next_start_s():
            return ()
        self.batch = self._next_batch()
        self.phase = Phase.COMMITTING
        self.not_before_s = now_s + self.limits.interval_s
        return (Commit(self._transaction()),)

    def _next_batch(self) -> tuple[Item, ...]:
        batch: list[Item] = []
        free_bytes = self.limits.max_batch_bytes
        for queue in self.queues_by_program.values():
            for index, pending in enumerate(queue):
                if index and must_begin_batch(pending.item):
                    break
                size = item_bytes(pending.item)
                is_full = (
                    len(batch) >= self.limits.max_items or size > free_bytes
                )
                if batch and is_full:
                    break
                batch.append(pending.item)
                free_bytes -= size
        return tuple(batch)

    def _transaction(self) -> Transaction:
        fences = {
            item.program_id: Condition(
                row_key(item.program_id),
                self.revisions_by_program[item.program_id],
            )
            for item in self.batch
        }
        conditions = list(fences.values())
        writes: list[Write] = []
        for item in self.batch:
            match item:
                case Turn():
                    put = item_put(item)
                    if not item.replaces:
                        conditions.append(Condition(put.key, 0))
                    writes.append(put)
                case RowChange():
                    writes.extend((item_put(item), *item.writes))
        return Transaction(tuple(conditions), tuple(writes))

    def _answered(
        self, outcome: TransactionOutcome, now_s: float
    ) -> tuple[Action, ...]:
        if self.phase != Phase.COMMITTING:
            return ()
        match outcome:
            case Committed(revision):
                for item in self.batch:
                    self._record_revision(item, revision)
                durable = self._remove_durable(self.batch)
                return (*durable, *self._finish_batch(now_s))
            case Conflict() | OutcomeUnknown():
                self.phase = Phase.READING
                return (ReadRows(self._keys()),)
            case NotApplied():
                return self._retry_later(now_s)

    def _keys(self) -> tuple[str, ...]:
        keys = {item_put(item).key: None for item in self.batch}
        keys.update({row_key(i.program_id): None for i in self.batch})
        return tuple(keys)

    def _resolve_batch(
        self, rows: Iterable[Row], now_s: float
    ) -> tuple[Action, ...]:
        if self.phase != Phase.READING:
            return ()
        rows_by_key = {row.key: row for row in rows}
        applied = tuple(
            item
            for item in self.batch
            if rows_by_key[item_put(item).key].value == item_put(item).value
        )
        for item in applied:
            row = rows_by_key[row_key(item.program_id)]
            self._record_revision(item, row.revision)
        actions = list(self._remove_durable(applied))
        program_ids = {item.program_id: None for item in self.batch}
        for program_id in program_ids:
            owned_revision = self.revisions_by_program.get(program_id)
            found_revision = rows_by_key[row_key(program_id)].revision
            if owned_revision is not None and owned_revision != found_revision:
                self.close(program_id)
                actions.append(Fenced(program_id))
        return (*actions, *self._finish_batch(now_s))

    def _record_revision(self, item: Item, revision: int) -> None:
        owned_revision = self.revisions_by_program.get(item.program_id)
        if isinstance(item, RowChange) and owned_revision is not None:
            self.revisions_by_program[item.program_id] = max(
                owned_revision, revision
            )

    def _remove_durable(self, items: Iterable[Item]) -> tuple[Action, ...]:
        actions: list[Action] = []
        for item in items:
            queue = self.queues_by_program.get(item.program_id)
            if not queue or queue[0].item != item:
                continue
            queue.popleft()
            if not queue:
                del self.queues_by_program[item.program_id]
            actions.append(Durable(item))
        return tuple(actions)

    def _finish_batch(self, now_s: float) -> tuple[Action, ...]:
        self.batch = ()
        self.phase = Phase.IDLE
        return self._advance(now_s)

    def _retry_later(self, now_s: float) -> tuple[Action, ...]:
        self.not_before_s = now_s + self.limits.retry_delay_s
        self.phase = Phase.IDLE
        self.batch = ()
        return ()


def must_begin_batch(item: Item) -> bool:
    """Return whether an item must be its program's first in a batch.

    Such an item may write a key that an earlier item of its program writes,
    and a transaction writes each key at most once.
    """
    match item:
        case RowChange():
            return True
        case Turn():
            return item.replaces
