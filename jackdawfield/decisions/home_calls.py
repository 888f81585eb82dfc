"""Check, order and answer the calls of one program."""

from dataclasses import dataclass
from dataclasses import replace

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.commit_events import Turn
from jackdawfield.decisions.home_base import Actions
from jackdawfield.decisions.home_base import HomeBase
from jackdawfield.decisions.home_base import OwnershipState
import jackdawfield.decisions.home_events as ev
import jackdawfield.decisions.ordering as ordering
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.programs import check_access
from jackdawfield.decisions.programs import check_open
from jackdawfield.decisions.programs import ProgramEnded
from jackdawfield.decisions.programs import ProgramEvent
from jackdawfield.decisions.programs import UnknownProgram
from jackdawfield.decisions.tails import join_tails
from jackdawfield.decisions.tails import make_tail
from jackdawfield.decisions.tails import merge_tail
from jackdawfield.model import CallNumber


@dataclass(slots=True)
class HomeCalls(HomeBase):
    """Adds the calls of a program: their checks, order and answers."""

    def _prepare_call(
        self, call: ev.CallReceived
    ) -> Result[Actions, ev.HomeError]:
        """Check a call and merge its tails; return the writes of new turns."""
        if self.row is None or self.history is None:
            return Err(UnknownProgram())
        access = check_access(self.row, call.organisation_id)
        if isinstance(access, Err):
            return access
        merged = self._merge_tails(call)
        if isinstance(merged, Err):
            return merged
        position = self._confirm_position(call)
        if isinstance(position, Err):
            return position
        # A repeat is answered from its record, also after the end.
        if call.number <= len(self.history.turns):
            return merged
        open_check = check_open(self.row)
        if isinstance(open_check, Err):
            return open_check
        reason = self._find_end_reason(call.now_unix_s)
        if reason is not None:
            return Err(ProgramEnded(reason))
        return merged

    def _merge_tails(
        self, call: ev.CallReceived
    ) -> Result[Actions, ev.HomeError]:
        joined = join_tails(call.tails)
        if isinstance(joined, Err):
            return joined
        tail = joined.ok_value
        if tail is None or self.history is None:
            return Ok(())
        found = merge_tail(self.history, tail)
        if isinstance(found, Err):
            return found
        first_changed_turn = found.ok_value.first_changed_turn
        if first_changed_turn is None:
            return Ok(())
        if self.call_order.running is not None:
            return Err(ev.CallRunning())
        turns_before = len(self.history.turns)
        kept_durable_turn = min(self.durable_turn, first_changed_turn - 1)
        self._set_history(found.ok_value.history, kept_durable_turn)
        if self.ownership is not OwnershipState.HELD:
            return Ok(())
        return Ok(tuple(self._submit_from(first_changed_turn, turns_before)))

    def _confirm_position(
        self, call: ev.CallReceived
    ) -> Result[None, ev.HomeError]:
        """Check a call's position and raise confirmed_turn up to it."""
        if self.history is None:
            return Ok(None)
        previous_turn = call.number - 1
        # CallOrder queues or refuses a call whose predecessor has no record.
        if previous_turn > len(self.history.turns):
            return Ok(None)
        position = call.position
        if position is None and call.tails:
            position = max(call.tails, key=lambda t: t.last_turn).chain
        if position is None:
            # An adopted history is one caller's, not confirmed by the table,
            # so that a call must prove that it continues this history.
            if self.ownership is OwnershipState.ADOPTED and previous_turn > 0:
                return Err(ev.PositionMismatch())
        # A repeat may state the position of a later turn than the one before.
        elif position not in self._chain_hashes_from(previous_turn):
            return Err(ev.PositionMismatch())
        self.confirmed_turn = max(self.confirmed_turn, previous_turn)
        return Ok(None)

    def _chain_hashes_from(self, number: int) -> list[bytes]:
        if self.history is None:
            return []
        last = len(self.history.turns)
        return [self.history.chain_at(n) for n in range(number, last + 1)]

    def _apply_order_actions(
        self, actions: tuple[ordering.Action, ...]
    ) -> Actions:
        return tuple(
            a for item in actions for a in self._apply_order_action(item)
        )

    def _apply_order_action(self, action: ordering.Action) -> Actions:
        match action:
            case ordering.Run(arrival_id, number, _):
                return self._run_call(arrival_id, number)
            case ordering.AnswerFromRecord(arrival_id, number):
                call = self.calls_by_arrival[arrival_id]
                # Checked again for the reason given in _run_call.
                position = self._confirm_position(call)
                if isinstance(position, Err):
                    return (
                        self._refuse_tracked(arrival_id, position.err_value),
                    )
                return (self._answer(arrival_id, number),)
            case ordering.Refuse(arrival_id, error):
                return (self._refuse_tracked(arrival_id, error),)

    def _run_call(self, arrival_id: ArrivalId, number: CallNumber) -> Actions:
        call = self.calls_by_arrival[arrival_id]
        # The position is checked again: while the call was queued, its
        # predecessor may have been recorded with another answer.
        position = self._confirm_position(call)
        if isinstance(position, Err):
            refused = self._refuse_tracked(arrival_id, position.err_value)
            failed = ordering.CallFailed(number, call.now_s)
            return (
                refused,
                *self._apply_order_actions(self.call_order.on(failed)),
            )
        self._change_state(ProgramEvent.CALL)
        return (ev.RunCall(arrival_id, number),)

    # Refuses a call of calls_by_arrival. A plain ev.Refuse is for requests
    # that were never added there, or when the program is dropped.
    def _refuse_tracked(
        self, arrival_id: ArrivalId, error: ev.HomeError
    ) -> ev.Refuse:
        self.calls_by_arrival.pop(arrival_id, None)
        return ev.Refuse(arrival_id, error)

    def _turn_finished(self, event: ev.TurnFinished) -> Actions:
        running = self.call_order.running
        if running is None or running.number != event.number:
            return ()
        if self.ownership is OwnershipState.LOST or self.history is None:
            self.call_order.running = None
            return (ev.Refuse(running.arrival_id, ev.TurnNotKept()),)
        record = self.history.make_record(
            running.digest, event.request, event.answer, event.tokens
        )
        turns = (*self.history.turns, record)
        self.history = replace(self.history, turns=turns)
        self.unanswered_turn = record
        if self.ownership is OwnershipState.ADOPTED:
            return self._answer_running_call(event.now_s)
        return (ev.Submit(Turn(self.program_id, record)),)

    def _answer_running_call(self, now_s: float) -> Actions:
        running = self.call_order.running
        if self.unanswered_turn is None or running is None:
            return ()
        number = running.number
        self.unanswered_turn = None
        # Also fired for a turn that is overdue or of an adopted program.
        self._change_state(ProgramEvent.TURN_DURABLE)
        answer = self._answer(running.arrival_id, number)
        finished = ordering.CallFinished(number, now_s)
        return (
            answer,
            *self._apply_order_actions(self.call_order.on(finished)),
        )

    def _answer(self, arrival_id: ArrivalId, number: CallNumber) -> ev.Action:
        call = self.calls_by_arrival.pop(arrival_id)
        if self.history is None or self.row is None:
            return ev.Refuse(arrival_id, ev.HistoryUnavailable())
        record = self.history.turns[number - 1]
        if number <= self.durable_turn:
            return ev.Answer(arrival_id, record, None)
        # A caller that presented tails has the turns before, and gets those
        # after its last tail. Any other caller gets the whole history if that
        # is small, else the turns that are not durable.
        presented_turn = max(
            (tail.last_turn for tail in call.tails), default=None
        )
        tail = make_tail(
            self.history.up_to(number),
            self.row,
            self.durable_turn if presented_turn is None else presented_turn,
            self.limits.max_whole_tail_bytes if presented_turn is None else 0,
        )
        return ev.Answer(arrival_id, record, tail)

    def _receive_call(self, call: ev.CallReceived) -> Actions:
        checked = self._prepare_call(call)
        if isinstance(checked, Err):
            return (ev.Refuse(call.arrival_id, checked.err_value),)
        self.calls_by_arrival[call.arrival_id] = call
        self.last_active_unix_s = call.now_unix_s
        arrived = ordering.CallArrived(
            call.arrival_id, call.number, call.digest, call.now_s
        )
        return (
            *checked.ok_value,
            *self._apply_order_actions(self.call_order.on(arrived)),
        )
