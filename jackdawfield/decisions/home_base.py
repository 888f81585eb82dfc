"""Hold the state of one program at an instance.

HomeBase is the first of four classes that each add to the one before:
HomeCalls the calls, HomeDurability what has been committed, and ProgramHome,
in homes, the ownership and the choice of the handler for each event.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from jackdawfield import charts
from jackdawfield.decisions.commit_events import RowChange
from jackdawfield.decisions.commit_events import Turn
from jackdawfield.decisions.history import History
from jackdawfield.decisions.history import TurnRecord
import jackdawfield.decisions.home_events as ev
import jackdawfield.decisions.opening as opening
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.ordering import CallOrder
from jackdawfield.decisions.ordering import OrderLimits
from jackdawfield.decisions.programs import end_row
from jackdawfield.decisions.programs import EndReason
from jackdawfield.decisions.programs import find_end_reason
from jackdawfield.decisions.programs import PROGRAM_CHART
from jackdawfield.decisions.programs import ProgramEvent
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import ProgramState
from jackdawfield.decisions.segments import NewSegment
from jackdawfield.decisions.table import Write
from jackdawfield.model import Incarnation
from jackdawfield.model import ProgramId
from jackdawfield.model import Template

Actions = tuple[ev.Action, ...]
CallerRequest = ev.CallReceived | ev.EndRequested


class OwnershipState(Enum):
    """Represents an instance's ownership of a program.

    While OPENING, the instance reads the program's rows and claims the
    program. While HELD, it owns the program's row and may write. While
    ADOPTED, it runs calls on the history from a caller's tail without
    writing, because it could not read or claim the rows. LOST means that
    another instance has claimed the program. The ownership of a rate, in
    gateway.ownership, is unrelated.
    """

    CLOSED = 'closed'
    OPENING = 'opening'
    HELD = 'held'
    ADOPTED = 'adopted'
    LOST = 'lost'


class OwnershipEvent(Enum):
    """Represents an event of the ownership chart.

    FENCED follows a commit that failed because another instance has claimed
    the program: a claim changes the revision of the program's row, on which
    all commits of the earlier home are conditional.
    """

    BEGIN = 'begin'
    OPEN = 'open'
    OPENED = 'opened'
    FAIL = 'fail'
    ADOPT = 'adopt'
    FENCED = 'fenced'


class EndProgress(Enum):
    """Represents how far the end of a program has been committed."""

    NONE = 'none'
    SUBMITTED = 'submitted'
    OVERDUE = 'overdue'
    DURABLE = 'durable'


OWNERSHIP_CHART = charts.load('hold', OwnershipState, OwnershipEvent)


def no_writes(row: ProgramRow) -> tuple[Write, ...]:
    """Return no writes besides the row for the end of a program."""
    return ()


@dataclass(frozen=True, slots=True)
class HomeLimits:
    """Holds the limits that an instance applies to each of its programs.

    A tail holds the whole history up to max_whole_tail_bytes. A segment is
    written once its turns have segment_bytes. An adopted program is opened
    again every reopen_interval_s seconds.
    """

    order: OrderLimits = field(default_factory=OrderLimits)
    max_whole_tail_bytes: int = 256 << 10
    segment_bytes: int = 256 << 10
    reopen_interval_s: float = 1.0


@dataclass(slots=True)
class HomeBase:
    """Holds the state of one program at one instance.

    Turns up to durable_turn are in the table. Turns up to confirmed_turn are
    those that the caller has presented by a position or a tail. The
    calls_by_arrival are those not answered or refused yet. The
    unanswered_turn has been recorded, but its call has not been answered,
    usually because its commit is awaited. The failed_tokens are those of
    calls that failed after a part of the answer.
    """

    program_id: ProgramId
    incarnation: Incarnation
    template: Template | None = None
    limits: HomeLimits = field(default_factory=HomeLimits)
    writes_at_end: Callable[[ProgramRow], tuple[Write, ...]] = no_writes
    ownership: OwnershipState = OWNERSHIP_CHART.initial
    state: ProgramState = PROGRAM_CHART.initial
    row: ProgramRow | None = None
    history: History | None = None
    durable_turn: int = 0
    confirmed_turn: int = 0
    call_order: CallOrder = field(default_factory=CallOrder)
    open_attempt: opening.Opening | None = None
    pending_requests: list[CallerRequest] = field(default_factory=list)
    calls_by_arrival: dict[ArrivalId, ev.CallReceived] = field(
        default_factory=dict
    )
    unanswered_turn: TurnRecord | None = None
    begin_arrival_id: ArrivalId | None = None
    end_arrival_ids: list[ArrivalId] = field(default_factory=list)
    end_progress: EndProgress = EndProgress.NONE
    pending_segment: NewSegment | None = None
    last_active_unix_s: float = 0.0
    reopen_at_s: float = 0.0
    failed_tokens: int = 0

    def __post_init__(self) -> None:
        """Apply the limits to the call order."""
        self.call_order.limits = self.limits.order

    def _change_ownership(self, event: OwnershipEvent) -> None:
        self.ownership = OWNERSHIP_CHART.fire(self.ownership, event).unwrap()

    def _change_state(self, event: ProgramEvent) -> None:
        self.state = PROGRAM_CHART.fire(self.state, event).unwrap_or(
            self.state
        )

    def _set_history(self, history: History, durable_turn: int) -> None:
        self.history = history
        self.durable_turn = durable_turn
        self.call_order.digests = [turn.digest for turn in history.turns]

    def _submit_from(
        self, first_turn: int, written_turns: int
    ) -> list[ev.Submit]:
        if self.history is None:
            return []
        return [
            ev.Submit(
                Turn(self.program_id, turn, turn.number <= written_turns)
            )
            for turn in self.history.turns[first_turn - 1 :]
        ]

    def _end_program(self, reason: EndReason) -> Actions:
        if self.row is None or self.row.end_reason is not None:
            return ()
        self._change_state(ProgramEvent.END)
        self.row = end_row(self.row, reason)
        self.end_progress = EndProgress.SUBMITTED
        writes = self.writes_at_end(self.row)
        return (ev.Submit(RowChange(self.program_id, self.row, writes)),)

    def _find_end_reason(self, now_unix_s: float) -> EndReason | None:
        if self.row is None or self.template is None or self.history is None:
            return None
        return find_end_reason(
            self.row,
            self.template,
            len(self.history.turns),
            self.last_active_unix_s,
            now_unix_s,
        )
