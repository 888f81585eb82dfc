"""Track which turns, rows, segments and ends are durable."""

from dataclasses import dataclass

from result import Err

from jackdawfield.decisions.commit_events import Item
from jackdawfield.decisions.commit_events import RowChange
from jackdawfield.decisions.commit_events import Turn
from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.home_base import Actions
from jackdawfield.decisions.home_base import EndProgress
from jackdawfield.decisions.home_base import OwnershipState
from jackdawfield.decisions.home_calls import HomeCalls
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.programs import check_access
from jackdawfield.decisions.programs import end_row
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import UnknownProgram
from jackdawfield.decisions.segments import cut_segment
from jackdawfield.decisions.segments import index_segment
from jackdawfield.decisions.tails import Tail


@dataclass(slots=True)
class HomeDurability(HomeCalls):
    """Adds which turns, rows, segments and ends have been committed."""

    def _item_durable(self, item: Item, now_s: float) -> Actions:
        match item:
            case Turn(_, record, _):
                return self._turn_durable(record, now_s)
            case RowChange(_, row, _):
                return self._row_durable(row)

    def _turn_durable(self, record: TurnRecord, now_s: float) -> Actions:
        if self.history is None or record not in self.history.turns:
            return ()
        self.durable_turn = max(self.durable_turn, record.number)
        return (*self._answer_if_awaited(record, now_s), *self._cut_segment())

    def _answer_if_awaited(self, record: TurnRecord, now_s: float) -> Actions:
        if record != self.unanswered_turn:
            return ()
        return self._answer_running_call(now_s)

    def _row_durable(self, row: ProgramRow) -> Actions:
        actions: list[ev.Action] = []
        if self.begin_arrival_id is not None:
            actions.append(ev.ConfirmBegin(self.begin_arrival_id, None))
            self.begin_arrival_id = None
        if row.end_reason is not None:
            self.end_progress = EndProgress.DURABLE
            actions.extend(ev.ConfirmEnd(a) for a in self.end_arrival_ids)
            self.end_arrival_ids = []
        return tuple(actions)

    def _item_overdue(self, item: Item, now_s: float) -> Actions:
        match item:
            case Turn(_, record, _):
                return self._answer_if_awaited(record, now_s)
            case RowChange(_, row, _):
                return self._row_overdue(row)

    def _row_overdue(self, row: ProgramRow) -> Actions:
        actions: list[ev.Action] = []
        if self.begin_arrival_id is not None and self.history is not None:
            tail = Tail(0, self.history.chain_at(0), (), row)
            actions.append(ev.ConfirmBegin(self.begin_arrival_id, tail))
            self.begin_arrival_id = None
        if row.end_reason is not None:
            self.end_progress = EndProgress.OVERDUE
            error = ev.EndNotDurable()
            actions.extend(ev.Refuse(a, error) for a in self.end_arrival_ids)
            self.end_arrival_ids = []
        return tuple(actions)

    def _cut_segment(self) -> Actions:
        if self.pending_segment or self.history is None or self.row is None:
            return ()
        # Until the caller has confirmed a turn, a tail may replace the turn.
        last_turn = min(self.durable_turn, self.confirmed_turn)
        min_bytes = self.limits.segment_bytes
        self.pending_segment = cut_segment(
            self.row, self.history, last_turn, min_bytes
        )
        if self.pending_segment is None:
            return ()
        key = self.pending_segment.segment.object_key
        return (ev.StoreSegment(key, self.pending_segment.value),)

    def _segment_stored(self) -> Actions:
        segment, self.pending_segment = self.pending_segment, None
        if segment is None or self.row is None:
            return ()
        if self.ownership is not OwnershipState.HELD:
            return ()
        change = index_segment(self.row, segment.segment)
        self.row = change.row
        return (ev.Submit(change),)

    def _receive_end_request(self, event: ev.EndRequested) -> Actions:
        if self.row is None:
            return (ev.Refuse(event.arrival_id, UnknownProgram()),)
        access = check_access(self.row, event.organisation_id)
        if isinstance(access, Err):
            return (ev.Refuse(event.arrival_id, access.err_value),)
        if self.end_progress is EndProgress.DURABLE:
            return (ev.ConfirmEnd(event.arrival_id),)
        if self.end_progress is EndProgress.OVERDUE:
            return (ev.Refuse(event.arrival_id, ev.EndNotDurable()),)
        if self.ownership is not OwnershipState.HELD:
            # Written once the program is held.
            self.row = end_row(self.row, event.reason)
            return (ev.Refuse(event.arrival_id, ev.EndNotDurable()),)
        self.end_arrival_ids.append(event.arrival_id)
        return self._end_program(event.reason)
