"""Run each request that may not be repeated at most once.

The instance that writes the open row of an effect owns the only attempt. It
dispatches the request within CLAIM_VALID_S after it sent that write, then
records the outcome. If the owner is gone before that, the outcome is
recorded as unknown, since the request may have run.
"""

from dataclasses import replace
from enum import Enum

from result import Err

from jackdawfield import charts
from jackdawfield.decisions.effect_events import Action
from jackdawfield.decisions.effect_events import Answer
from jackdawfield.decisions.effect_events import Dispatch
from jackdawfield.decisions.effect_events import EffectAnswer
from jackdawfield.decisions.effect_events import EffectContext
from jackdawfield.decisions.effect_events import Event
from jackdawfield.decisions.effect_events import InProgress
from jackdawfield.decisions.effect_events import LimitReached
from jackdawfield.decisions.effect_events import NotRun
from jackdawfield.decisions.effect_events import NotSent
from jackdawfield.decisions.effect_events import Ran
from jackdawfield.decisions.effect_events import Read
from jackdawfield.decisions.effect_events import ReadFailed
from jackdawfield.decisions.effect_events import Reject
from jackdawfield.decisions.effect_events import RequestDiffers
from jackdawfield.decisions.effect_events import Requested
from jackdawfield.decisions.effect_events import Responded
from jackdawfield.decisions.effect_events import ResponseLost
from jackdawfield.decisions.effect_events import RowRead
from jackdawfield.decisions.effect_events import Undecided
from jackdawfield.decisions.effect_events import Unknown
from jackdawfield.decisions.effect_events import Write
from jackdawfield.decisions.effect_events import WriteAnswered
from jackdawfield.decisions.effect_rows import decode_effect
from jackdawfield.decisions.effect_rows import EffectKey
from jackdawfield.decisions.effect_rows import EffectRow
from jackdawfield.decisions.effect_rows import overwrite_transaction
from jackdawfield.decisions.effect_rows import RowState
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.model import Incarnation

CLAIM_VALID_S = 2.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0


class EffectState(Enum):
    """Lists the states of an effect at one instance.

    CLAIMING writes the open row, READING resolves a row whose state is not
    known, RUNNING is from the dispatch to its answer, RECORDING writes the
    outcome. MARKING writes that the outcome of an attempt is unknown, since
    its dispatcher is gone.
    """

    IDLE = 'idle'
    CLAIMING = 'claiming'
    READING = 'reading'
    MARKING = 'marking'
    RUNNING = 'running'
    RECORDING = 'recording'
    DONE = 'done'


class Trigger(Enum):
    """Lists the events of the effect's state chart.

    UNSETTLED follows a write whose outcome is yet to be read from the row. A
    row that was read is claimable, owned by this object, orphaned by a
    dispatcher that is gone, or final.
    """

    REQUEST = 'request'
    CLAIMED = 'claimed'
    UNSETTLED = 'unsettled'
    READ_CLAIMABLE = 'read_claimable'
    READ_OWNED = 'read_owned'
    READ_ORPHANED = 'read_orphaned'
    READ_FINAL = 'read_final'
    REFUSE = 'refuse'
    DISPATCH_OVER = 'dispatch_over'
    RECORDED = 'recorded'


CHART = charts.load('effect', EffectState, Trigger)


class Effect:
    """Holds the state of one effect at one instance.

    An instance must have at most one such object for an effect, and keep it
    until it is done. `attempt_id` must be unique to the object. `guards` are
    conditions of each write that claims the row.
    """

    __slots__ = (
        '_attempt_id',
        '_claim_sent_s',
        '_claim_count',
        '_conflict_revision',
        '_dispatcher',
        '_expected_revision',
        '_final',
        '_guards',
        '_key',
        '_opened_at_s',
        '_operation',
        '_request_sha256',
        '_retry_count',
        '_revision',
        '_route_name',
        'state',
    )

    def __init__(
        self,
        key: EffectKey,
        dispatcher: Incarnation,
        attempt_id: str,
        guards: tuple[Condition, ...] = (),
        route_name: str = '',
        opened_at_s: float = 0.0,
    ) -> None:
        """Start without a request that waits for an answer."""
        self.state: EffectState = CHART.initial
        self._key = key.row_key
        self._dispatcher = dispatcher
        self._attempt_id = attempt_id
        self._guards = guards
        self._route_name = route_name
        self._opened_at_s = opened_at_s
        self._claim_count = 0
        self._claim_sent_s = 0.0
        self._expected_revision = 0
        self._conflict_revision: int | None = None
        self._operation = 0
        self._request_sha256 = ''
        self._retry_count = 0
        self._revision = 0
        self._final: EffectRow | None = None

    @property
    def is_unknown(self) -> bool:
        """Return whether the effect is done with an unknown outcome.

        A later read of the table may find that an operator has settled it.
        """
        if self.state is not EffectState.DONE or self._final is None:
            return False
        return self._final.state is RowState.UNKNOWN

    def on(self, event: Event, context: EffectContext) -> tuple[Action, ...]:
        """Handle an event and return the actions that follow from it."""
        match event:
            case Requested():
                return self._on_requested(event, context)
            case WriteAnswered():
                return self._on_write_answered(event, context)
            case RowRead():
                return self._on_row_read(event, context)
            case ReadFailed(operation):
                return self._on_read_failed(operation)
            case Responded(outcome):
                return self._end_dispatch(RowState.RAN, outcome, '')
            case NotSent(reason):
                return self._on_not_sent(reason)
            case ResponseLost(reason):
                return self._end_dispatch(RowState.UNKNOWN, b'', reason)
            case LimitReached():
                return self._give_up(context)

    def _fire(self, trigger: Trigger) -> None:
        self.state = CHART.fire(self.state, trigger).unwrap()

    def _on_requested(
        self, event: Requested, context: EffectContext
    ) -> tuple[Action, ...]:
        if self._request_sha256 not in ('', event.request_sha256):
            return (Reject(RequestDiffers()),)
        if self._final is not None:
            return (Reject(_final_answer(self._final)),)
        if self.state is not EffectState.IDLE:
            return ()
        if not context.is_lease_valid:
            return (Reject(_refusal('lease lapsed', context)),)
        self._request_sha256 = event.request_sha256
        self._fire(Trigger.REQUEST)
        return self._claim(0, context)

    def _claim(
        self, revision: int, context: EffectContext
    ) -> tuple[Action, ...]:
        self._claim_count += 1
        self._expected_revision = revision
        self._conflict_revision = None
        self._claim_sent_s = context.now_s
        claim = overwrite_transaction(
            self._key, revision, self._open_row_value()
        )
        conditions = (*claim.conditions, *self._guards)
        return self._write(Transaction(conditions, claim.writes))

    def _open_row_value(self) -> EffectRow:
        return EffectRow(
            attempt_id=self._current_attempt_id(),
            dispatcher=self._dispatcher,
            request_sha256=self._request_sha256,
            route_name=self._route_name,
            opened_at_s=self._opened_at_s,
        )

    def _current_attempt_id(self) -> str:
        return f'{self._attempt_id}.{self._claim_count}'

    def _write(
        self, transaction: Transaction, delay_s: float = 0.0
    ) -> tuple[Action, ...]:
        self._operation += 1
        return (Write(self._operation, transaction, delay_s),)

    def _read(self, delay_s: float = 0.0) -> tuple[Action, ...]:
        self._operation += 1
        return (Read(self._operation, self._key, delay_s),)

    def _next_delay_s(self) -> float:
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**self._retry_count)
        self._retry_count = min(self._retry_count + 1, 16)
        return delay_s

    def _on_write_answered(
        self, event: WriteAnswered, context: EffectContext
    ) -> tuple[Action, ...]:
        if event.operation != self._operation:
            return ()
        match self.state:
            case EffectState.CLAIMING:
                return self._on_claim_answered(event.outcome, context)
            case EffectState.MARKING:
                return self._on_mark_answered(event.outcome)
            case EffectState.RECORDING:
                return self._on_record_answered(event.outcome)
            case _:
                return ()

    def _on_claim_answered(
        self, outcome: TransactionOutcome, context: EffectContext
    ) -> tuple[Action, ...]:
        match outcome:
            case Committed(revision):
                self._revision = revision
                return self._dispatch_or_release(Trigger.CLAIMED, context)
            case NotApplied(reason):
                self._fire(Trigger.REFUSE)
                return (Answer(_refusal(reason, context)),)
            case Conflict():
                self._conflict_revision = self._expected_revision
                self._fire(Trigger.UNSETTLED)
                return self._read()
            case OutcomeUnknown():
                self._fire(Trigger.UNSETTLED)
                return self._read(self._next_delay_s())

    def _dispatch_or_release(
        self, trigger: Trigger, context: EffectContext
    ) -> tuple[Action, ...]:
        claim_age_s = context.now_s - self._claim_sent_s
        if context.is_lease_valid and claim_age_s <= CLAIM_VALID_S:
            self._fire(trigger)
            return (Dispatch(self._current_attempt_id()),)
        return self._release('the right to dispatch has lapsed')

    def _release(self, reason: str) -> tuple[Action, ...]:
        self._fire(Trigger.REFUSE)
        released = replace(self._open_row_value(), state=RowState.NOT_RUN)
        write = overwrite_transaction(self._key, self._revision, released)
        return (*self._write(write), Answer(NotRun(reason)))

    def _on_mark_answered(
        self, outcome: TransactionOutcome
    ) -> tuple[Action, ...]:
        if isinstance(outcome, Conflict):
            self._fire(Trigger.UNSETTLED)
            return self._read()
        # The outcome is unknown even if the write was not applied: then the
        # row is still open, and its dispatcher is still gone.
        self._fire(Trigger.READ_FINAL)
        return self._answer_final()

    def _on_record_answered(
        self, outcome: TransactionOutcome
    ) -> tuple[Action, ...]:
        match outcome:
            case Committed():
                self._fire(Trigger.RECORDED)
                return ()
            case Conflict():
                return self._read()
            case NotApplied() | OutcomeUnknown():
                return self._record(self._next_delay_s())

    def _record(self, delay_s: float = 0.0) -> tuple[Action, ...]:
        assert self._final is not None
        write = overwrite_transaction(self._key, self._revision, self._final)
        return self._write(write, delay_s)

    def _on_row_read(
        self, event: RowRead, context: EffectContext
    ) -> tuple[Action, ...]:
        if event.operation != self._operation:
            return ()
        match self.state:
            case EffectState.READING:
                return self._resolve_row(event, context)
            case EffectState.RECORDING:
                return self._verify_record(event.row)
            case _:
                return ()

    def _on_read_failed(self, operation: int) -> tuple[Action, ...]:
        if operation != self._operation:
            return ()
        if self.state not in (EffectState.READING, EffectState.RECORDING):
            return ()
        return self._read(self._next_delay_s())

    def _resolve_row(
        self, event: RowRead, context: EffectContext
    ) -> tuple[Action, ...]:
        if event.row is None:
            return self._claim_again(0, context)
        decoded = decode_effect(event.row)
        if isinstance(decoded, Err):
            self._fire(Trigger.REFUSE)
            return (Answer(Undecided('the row is malformed')),)
        effect = decoded.ok_value
        if effect.request_sha256 != self._request_sha256:
            self._fire(Trigger.REFUSE)
            self._request_sha256 = ''
            return (Answer(RequestDiffers()),)
        if effect.state is RowState.OPEN:
            return self._resolve_open_row(effect, event, context)
        if effect.state is RowState.NOT_RUN and not effect.settled_by:
            return self._claim_again(event.row.revision, context)
        self._final = effect
        self._fire(Trigger.READ_FINAL)
        return self._answer_final()

    def _resolve_open_row(
        self, effect: EffectRow, event: RowRead, context: EffectContext
    ) -> tuple[Action, ...]:
        assert event.row is not None
        self._revision = event.row.revision
        # The last claim was applied, though its answer was lost.
        if effect.attempt_id == self._current_attempt_id():
            return self._dispatch_or_release(Trigger.READ_OWNED, context)
        # An earlier claim of this object was applied late; its attempt has not
        # been dispatched.
        if effect.attempt_id.startswith(f'{self._attempt_id}.'):
            return self._claim_again(self._revision, context)
        if not event.is_dispatcher_gone:
            self._fire(Trigger.REFUSE)
            return (Answer(InProgress(effect.dispatcher)),)
        self._final = replace(effect, state=RowState.UNKNOWN)
        self._fire(Trigger.READ_ORPHANED)
        return self._record()

    def _claim_again(
        self, revision: int, context: EffectContext
    ) -> tuple[Action, ...]:
        if not context.is_lease_valid:
            self._fire(Trigger.REFUSE)
            return (Answer(_refusal('lease lapsed', context)),)
        # The row still has the revision that the claim expected, so that one
        # of the guards must have failed.
        if revision == self._conflict_revision:
            self._fire(Trigger.REFUSE)
            return (Answer(Undecided('the program has moved')),)
        self._fire(Trigger.READ_CLAIMABLE)
        return self._claim(revision, context)

    def _verify_record(self, row: Row | None) -> tuple[Action, ...]:
        effect = decode_effect(row).ok() if row is not None else None
        if row is None or effect is None or effect.settled_by:
            self._fire(Trigger.RECORDED)
            return ()
        if effect == self._final:
            self._fire(Trigger.RECORDED)
            return ()
        self._revision = row.revision
        return self._record()

    def _on_not_sent(self, reason: str) -> tuple[Action, ...]:
        if self.state is not EffectState.RUNNING:
            return ()
        return self._release(reason)

    def _end_dispatch(
        self, state: RowState, outcome: bytes, reason: str
    ) -> tuple[Action, ...]:
        if self.state is not EffectState.RUNNING:
            return ()
        self._fire(Trigger.DISPATCH_OVER)
        self._final = replace(
            self._open_row_value(), state=state, outcome=outcome
        )
        answer = _final_answer(self._final, reason)
        return (Answer(answer), *self._record())

    def _answer_final(self) -> tuple[Action, ...]:
        assert self._final is not None
        return (Answer(_final_answer(self._final)),)

    def _give_up(self, context: EffectContext) -> tuple[Action, ...]:
        if self.state not in (EffectState.CLAIMING, EffectState.READING):
            return ()
        self._fire(Trigger.REFUSE)
        return (Answer(_refusal('the table does not answer', context)),)


def _refusal(reason: str, context: EffectContext) -> EffectAnswer:
    if context.is_lease_valid and context.is_sole_owner:
        return NotRun(reason)
    return Undecided(reason)


def _final_answer(effect: EffectRow, reason: str = '') -> EffectAnswer:
    match effect.state:
        case RowState.RAN:
            return Ran(effect.outcome)
        case RowState.NOT_RUN:
            return NotRun(reason or 'not run')
        case _:
            reason = reason or 'the dispatcher is gone'
            return Unknown(effect.attempt_id, reason)
