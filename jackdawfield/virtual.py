"""Run programs and their committer on an in-memory table, for replays."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import jackdawfield.decisions.commit_events as commits
from jackdawfield.decisions.commits import Committer
from jackdawfield.decisions.history import History
from jackdawfield.decisions.home_base import HomeLimits
from jackdawfield.decisions.home_base import no_writes
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import rows_prefix
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import Delete
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.decisions.table import Write
from jackdawfield.decisions.takeover import find_program
from jackdawfield.decisions.takeover import rebuild_history
from jackdawfield.model import CallNumber
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import Template


@dataclass(slots=True)
class VirtualTable:
    """Holds rows and objects in memory and the faults to inject."""

    rows_by_key: dict[str, Row] = field(default_factory=dict)
    objects_by_key: dict[str, bytes] = field(default_factory=dict)
    revision: int = 0
    down: bool = False
    lose_answers: int = 0

    def row(self, key: str) -> Row:
        """Return a row, at revision 0 if it is absent."""
        return self.rows_by_key.get(key, Row(key, b'', 0))

    def rows(self, program_id: ProgramId) -> tuple[Row, ...]:
        """Return all rows of a program."""
        start = rows_prefix(program_id)
        return tuple(
            row
            for key, row in sorted(self.rows_by_key.items())
            if key.startswith(start)
        )

    def transact(self, transaction: Transaction) -> TransactionOutcome:
        """Apply a transaction, subject to the injected faults."""
        if self.down:
            return NotApplied('down')
        outcome = self.apply(transaction)
        if self.lose_answers:
            self.lose_answers -= 1
            return OutcomeUnknown('lost')
        return outcome

    def apply(self, transaction: Transaction) -> TransactionOutcome:
        """Apply all writes if every condition holds."""
        for condition in transaction.conditions:
            if self.row(condition.key).revision != condition.revision:
                return Conflict()
        self.revision += 1
        for write in transaction.writes:
            match write:
                case Put(key, value):
                    self.rows_by_key[key] = Row(key, value, self.revision)
                case Delete(key):
                    self.rows_by_key.pop(key, None)
        return Committed(self.revision)

    def history(
        self, organisation_id: OrganisationId, program_id: ProgramId
    ) -> History:
        """Return the verified history; raise if it does not verify."""
        stored = find_program(program_id, self.rows(program_id)).unwrap()
        if stored is None:
            return History(organisation_id, program_id)
        return rebuild_history(stored, self.objects_by_key).unwrap()


class VirtualInstance:
    """Runs one program on a virtual table and performs its actions at once."""

    def __init__(
        self,
        program_id: ProgramId,
        incarnation: Incarnation,
        table: VirtualTable,
        template: Template | None = None,
        limits: HomeLimits | None = None,
        writes_at_end: Callable[[ProgramRow], tuple[Write, ...]] = no_writes,
    ) -> None:
        self._program_id = program_id
        self._incarnation = incarnation
        self._table = table
        self._template = template
        self._limits = limits or HomeLimits()
        self._writes_at_end = writes_at_end
        self._home = self._new_home()
        self._committer = Committer()
        self._outputs: list[ev.Action] = []
        self._now_s = 0.0
        self._requests_by_number: dict[int, bytes] = {}

    def _new_home(self) -> ProgramHome:
        return ProgramHome(
            self._program_id,
            self._incarnation,
            self._template,
            self._limits,
            self._writes_at_end,
        )

    def on(self, event: ev.Event) -> None:
        """Apply an event to the program and perform all resulting actions."""
        if isinstance(event, ev.CallReceived):
            self._requests_by_number[event.number] = event.digest
        for action in self._home.on(event):
            self._perform(action)

    def finish(self, number: int, answer: bytes, now_s: float) -> None:
        """Finish the running call with an answer."""
        request = self._requests_by_number.get(number, b'')
        self.on(ev.TurnFinished(CallNumber(number), request, answer, 1, now_s))

    def advance(self, now_s: float) -> None:
        """Advance the time and fire due timers in order."""
        while True:
            due_s = self._committer.next_due_s
            if due_s is None or due_s > now_s:
                break
            self._now_s = max(due_s, self._now_s)
            self._feed_committer(commits.TimePassed(self._now_s))
        self._now_s = now_s
        self.on(ev.TimePassed(now_s, now_s))

    def take_outputs(self) -> list[ev.Action]:
        """Return the answers and refusals since the last call."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def _feed_committer(self, event: commits.Event) -> None:
        for action in self._committer.on(event):
            self._perform_commit_action(action)

    def _perform(self, action: ev.Action) -> None:
        now_s = self._now_s
        match action:
            case ev.RegisterRow(revision):
                opened = commits.RowOwned(self._program_id, revision)
                self._feed_committer(opened)
            case ev.Submit(item):
                self._feed_committer(commits.Submitted(item, now_s))
            case ev.ReadProgram():
                self.on(self._read())
            case ev.ReadObjects(keys):
                objects = self._table.objects_by_key
                found = {key: objects[key] for key in keys if key in objects}
                self.on(ev.ObjectsRead(found, now_s))
            case ev.StoreSegment(key, value):
                self._table.objects_by_key[key] = value
                self.on(ev.SegmentStored(now_s))
            case ev.Claim(transaction, _):
                outcome = self._table.transact(transaction)
                self.on(ev.ClaimAnswered(outcome, now_s))
            case ev.Drop():
                self._home = self._new_home()
            case _:
                self._outputs.append(action)

    def _read(self) -> ev.ProgramRead | ev.ReadFailed:
        if self._table.down:
            return ev.ReadFailed(self._now_s)
        rows = self._table.rows(self._program_id)
        return ev.ProgramRead(rows, self._now_s)

    def _perform_commit_action(self, action: commits.Action) -> None:
        now_s = self._now_s
        match action:
            case commits.Commit(transaction):
                outcome = self._table.transact(transaction)
                self._feed_committer(commits.Answered(outcome, now_s))
            case commits.ReadRows(keys):
                if self._table.down:
                    self._feed_committer(commits.ReadFailed(now_s))
                    return
                rows = tuple(self._table.row(key) for key in keys)
                self._feed_committer(commits.RowsRead(rows, now_s))
            case commits.Durable(item):
                self.on(ev.ItemDurable(item, now_s))
            case commits.Overdue(item):
                self.on(ev.ItemOverdue(item, now_s))
            case commits.Fenced():
                self.on(ev.FencedOff(now_s))
