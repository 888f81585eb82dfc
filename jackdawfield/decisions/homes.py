"""Decide for one program at its home: takeover, calls, time and end.

The home of a program is the instance that owns it, as defined in programs. A
new program begins at its home. A stored one is opened by the first request
that an instance receives for it: the instance reads the rows and, unless it is
the home already, claims the program, by a write of itself as the home and of
the next epoch into the program's row. From then on the old home is fenced: its
commits fail. An instance that cannot read or claim the rows may adopt the
program: it runs calls on the history of a caller's tail and writes nothing,
until an opening succeeds.
"""

from dataclasses import dataclass
from dataclasses import replace

from result import Err

from jackdawfield.decisions.commit_events import RowChange
from jackdawfield.decisions.history import History
from jackdawfield.decisions.home_base import Actions
from jackdawfield.decisions.home_base import CallerRequest
from jackdawfield.decisions.home_base import EndProgress
from jackdawfield.decisions.home_base import OwnershipEvent
from jackdawfield.decisions.home_base import OwnershipState
from jackdawfield.decisions.home_durability import HomeDurability
import jackdawfield.decisions.home_events as ev
import jackdawfield.decisions.opening as opening
import jackdawfield.decisions.ordering as ordering
from jackdawfield.decisions.programs import claim_row
from jackdawfield.decisions.programs import ProgramEvent
from jackdawfield.decisions.programs import ProgramState
from jackdawfield.decisions.programs import UnknownProgram
from jackdawfield.decisions.table import Write
from jackdawfield.decisions.tails import join_tails
from jackdawfield.decisions.tails import merge_tail
from jackdawfield.decisions.takeover import reconcile


@dataclass(slots=True)
class ProgramHome(HomeDurability):
    """Holds a program's state at one instance and applies events to it."""

    def on(self, event: ev.Event) -> Actions:
        """Apply an event and return the actions that follow."""
        match event:
            case ev.BeginRequested():
                return self._begin(event)
            case ev.CallReceived() | ev.EndRequested():
                return self._receive_request(event)
            case ev.ProgramRead() | ev.ObjectsRead() | ev.ReadFailed():
                return self._advance_opening(event)
            case ev.ClaimAnswered():
                return self._advance_opening(event)
            case ev.TurnFinished():
                return self._turn_finished(event)
            case ev.TurnFailed(number, now_s):
                self._change_state(ProgramEvent.CALL_FAILED)
                failed = ordering.CallFailed(number, now_s)
                return self._apply_order_actions(self.call_order.on(failed))
            case ev.ItemDurable(item, now_s):
                return self._item_durable(item, now_s)
            case ev.ItemOverdue(item, now_s):
                return self._item_overdue(item, now_s)
            case ev.FencedOff():
                return self._fenced()
            case ev.SegmentStored():
                return self._segment_stored()
            case ev.TimePassed():
                return self._time_passed(event)

    def _begin(self, event: ev.BeginRequested) -> Actions:
        # The program is held before anything is written: the first commit
        # requires, by revision 0, that the row is absent. If there is a row,
        # the commit fails and the program is fenced here.
        self._change_ownership(OwnershipEvent.BEGIN)
        row = replace(event.row, home=self.incarnation)
        self.row = row
        self.history = History(row.organisation_id, self.program_id)
        self.begin_arrival_id = event.arrival_id
        self.last_active_unix_s = row.started_unix_s
        return (ev.RegisterRow(0), ev.Submit(RowChange(self.program_id, row)))

    def _receive_request(self, event: CallerRequest) -> Actions:
        match self.ownership:
            case OwnershipState.LOST:
                return (ev.Refuse(event.arrival_id, ev.Moved()),)
            case OwnershipState.CLOSED:
                self.pending_requests.append(event)
                self._change_ownership(OwnershipEvent.OPEN)
                return self._start_opening()
            case OwnershipState.OPENING:
                self.pending_requests.append(event)
                return ()
            case OwnershipState.HELD | OwnershipState.ADOPTED:
                return self._handle_request(event)

    def _start_opening(self) -> Actions:
        self.open_attempt = opening.Opening(self.program_id, self.incarnation)
        return self._apply_step(self.open_attempt.start())

    def _advance_opening(self, event: opening.Event) -> Actions:
        if self.open_attempt is None:
            return ()
        # The opened history could differ from the one that a running call
        # continues. The attempt is dropped and started again later.
        if self.call_order.running is not None:
            self.open_attempt = None
            return ()
        return self._apply_step(self.open_attempt.on(event))

    def _apply_step(self, step: opening.Step | None) -> Actions:
        match step:
            case None:
                return ()
            case ev.ReadProgram() | ev.ReadObjects():
                return (step,)
            case ev.Claim():
                self._move_adopted_to_opening()
                return (step,)
            case opening.Opened():
                return self._opened(step)
            case opening.Absent():
                return self._handle_absent_row()
            case opening.Unreachable() | opening.Contended():
                return self._opening_failed(ev.HistoryUnavailable())
            case opening.Damaged(error):
                return self._opening_failed(ev.HistoryDamaged(error))

    def _move_adopted_to_opening(self) -> None:
        if self.ownership is OwnershipState.ADOPTED:
            self._change_ownership(OwnershipEvent.OPEN)

    def _opened(self, step: opening.Opened) -> Actions:
        self._move_adopted_to_opening()
        self._change_ownership(OwnershipEvent.OPENED)
        self.open_attempt = None
        history = step.history
        written_turns = len(history.turns)
        first_unwritten_turn = written_turns + 1
        if self.history is not None:
            reconciled = reconcile(history, self.history, self.confirmed_turn)
            history, first_unwritten_turn = (
                reconciled.history,
                reconciled.first_unwritten_turn,
            )
        # The reason of an end that was requested while the program was not
        # held, so that it has not been written.
        unwritten_end = self.row.end_reason if self.row is not None else None
        self.row = step.row
        if step.row.end_reason is not None:
            self.end_progress = EndProgress.DURABLE
        self._set_history(history, first_unwritten_turn - 1)
        if self.state is ProgramState.NEW:
            self.state = step.row.state
        actions: list[ev.Action] = [ev.RegisterRow(step.revision)]
        actions.extend(self._submit_from(first_unwritten_turn, written_turns))
        if unwritten_end is not None:
            actions.extend(self._end_program(unwritten_end))
        return (*actions, *self._handle_pending())

    def _handle_absent_row(self) -> Actions:
        """Write a row of the state held or of a tail, or refuse requests."""
        if self.row is None and not self._try_adopt_from_pending():
            return self._opening_failed(UnknownProgram())
        if self.row is None or self.history is None:
            return ()
        self._move_adopted_to_opening()
        self._change_ownership(OwnershipEvent.OPENED)
        self.open_attempt = None
        self.row = claim_row(self.row, self.incarnation)
        writes: tuple[Write, ...] = ()
        if self.row.end_reason is not None:
            writes = self.writes_at_end(self.row)
        change = ev.Submit(RowChange(self.program_id, self.row, writes))
        turn_submits = self._submit_from(1, 0)
        return (
            ev.RegisterRow(0),
            change,
            *turn_submits,
            *self._handle_pending(),
        )

    def _opening_failed(self, error: ev.HomeError) -> Actions:
        self.open_attempt = None
        if self.ownership is OwnershipState.ADOPTED:
            return ()
        if self.row is not None or self._try_adopt_if_unavailable(error):
            self._change_ownership(OwnershipEvent.ADOPT)
            return self._handle_pending()
        self._change_ownership(OwnershipEvent.FAIL)
        waiting, self.pending_requests = self.pending_requests, []
        return tuple(ev.Refuse(item.arrival_id, error) for item in waiting)

    def _try_adopt_if_unavailable(self, error: ev.HomeError) -> bool:
        return isinstance(error, ev.HistoryUnavailable) and (
            self._try_adopt_from_pending()
        )

    def _try_adopt_from_pending(self) -> bool:
        for call in self.pending_requests:
            if isinstance(call, ev.CallReceived) and self._try_adopt_tail(
                call
            ):
                return True
        return False

    def _try_adopt_tail(self, call: ev.CallReceived) -> bool:
        """Set the state from a call's tails and return whether they suffice.

        They do if they hold the row and, verified, all turns up to the one
        before the call, and if the call's organisation owns the program.
        """
        tail = join_tails(call.tails).unwrap_or(None)
        if tail is None or tail.row is None or tail.base_turn != 0:
            return False
        if tail.row.organisation_id != call.organisation_id:
            return False
        if tail.last_turn + 1 != call.number:
            return False
        empty = History(tail.row.organisation_id, self.program_id)
        merged = merge_tail(empty, tail)
        if isinstance(merged, Err):
            return False
        self.row = tail.row
        self._set_history(merged.ok_value.history, 0)
        self.confirmed_turn = tail.last_turn
        self.last_active_unix_s = call.now_unix_s
        self.reopen_at_s = call.now_s + self.limits.reopen_interval_s
        return True

    def _handle_pending(self) -> Actions:
        waiting, self.pending_requests = self.pending_requests, []
        return tuple(a for item in waiting for a in self._handle_request(item))

    def _fenced(self) -> Actions:
        if self.ownership is not OwnershipState.HELD:
            return ()
        self._change_ownership(OwnershipEvent.FENCED)
        self._change_state(ProgramEvent.FENCED)
        running = self.call_order.running
        actions: list[ev.Action] = [ev.Drop()]
        if self.unanswered_turn is not None and running is not None:
            error = ev.TurnNotKept()
            actions.append(ev.Refuse(running.arrival_id, error))
            self.call_order.running = None
        refused_ids = [call.arrival_id for call in self.call_order.waiting]
        refused_ids.extend(self.end_arrival_ids)
        if self.begin_arrival_id is not None:
            refused_ids.append(self.begin_arrival_id)
        self.call_order.waiting = []
        actions.extend(ev.Refuse(item, ev.Moved()) for item in refused_ids)
        return tuple(actions)

    def _handle_request(self, event: CallerRequest) -> Actions:
        match event:
            case ev.EndRequested():
                return self._receive_end_request(event)
            case ev.CallReceived():
                return self._receive_call(event)

    def _time_passed(self, event: ev.TimePassed) -> Actions:
        passed = ordering.TimePassed(event.now_s)
        actions = list(self._apply_order_actions(self.call_order.on(passed)))
        if self.ownership is OwnershipState.ADOPTED:
            actions.extend(self._reopen(event.now_s))
        if (
            self.ownership is OwnershipState.HELD
            and self.call_order.running is None
        ):
            reason = self._find_end_reason(event.now_unix_s)
            if reason is not None:
                actions.extend(self._end_program(reason))
        return tuple(actions)

    def _reopen(self, now_s: float) -> Actions:
        if (
            self.open_attempt
            or self.call_order.running
            or now_s < self.reopen_at_s
        ):
            return ()
        self.reopen_at_s = now_s + self.limits.reopen_interval_s
        return self._start_opening()
