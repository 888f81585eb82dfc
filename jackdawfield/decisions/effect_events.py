"""Define the events, actions and answers of an effect."""

from dataclasses import dataclass

from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.model import Incarnation


@dataclass(frozen=True, slots=True)
class EffectContext:
    """Holds the time, and which rights the instance has at that time.

    The sole owner is an instance that has owned the program without a lapse
    since before the call's first request.
    """

    now_s: float
    is_lease_valid: bool
    is_sole_owner: bool = False


@dataclass(frozen=True, slots=True)
class Requested:
    """Reports a request to run the effect; a repeat awaits its answer too."""

    request_sha256: str


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """Reports the outcome of a write."""

    operation: int
    outcome: TransactionOutcome


@dataclass(frozen=True, slots=True)
class RowRead:
    """Reports the effect's row and whether its dispatcher is gone.

    A dispatcher is gone when it can dispatch no more: once its lease has been
    expired for as long as a claim is valid, or once its process is proven to
    have ended.
    """

    operation: int
    row: Row | None
    is_dispatcher_gone: bool


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Reports that a read of the table failed."""

    operation: int


@dataclass(frozen=True, slots=True)
class Responded:
    """Reports the complete answer of the backend server."""

    outcome: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """Reports that no byte of the request left this instance."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """Reports that the request was sent without a complete answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class LimitReached:
    """Reports that the time limit of the waiting callers has passed."""


Event = (
    Requested
    | WriteAnswered
    | RowRead
    | ReadFailed
    | Responded
    | NotSent
    | ResponseLost
    | LimitReached
)


@dataclass(frozen=True, slots=True)
class Ran:
    """Answers that the effect ran once, with its outcome."""

    outcome: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """Answers that the effect has not run and never will for this request."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Answers that the effect may have run; it is never run again."""

    attempt_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """Answers that the outcome is unknown until the table is read."""

    reason: str


@dataclass(frozen=True, slots=True)
class InProgress:
    """Answers that another live instance runs the effect."""

    dispatcher: Incarnation


@dataclass(frozen=True, slots=True)
class RequestDiffers:
    """Answers that the call number belongs to a different request."""


EffectAnswer = Ran | NotRun | Unknown | Undecided | InProgress | RequestDiffers


@dataclass(frozen=True, slots=True)
class Write:
    """Requests that a transaction be sent once, after a delay."""

    operation: int
    transaction: Transaction
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Read:
    """Requests a read of the effect's row, after a delay."""

    operation: int
    key: str
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Requests that the call be sent to its backend server now, once."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Provides the answer to all waiting requests."""

    answer: EffectAnswer


@dataclass(frozen=True, slots=True)
class Reject:
    """Provides the answer to only the request of the current event."""

    answer: EffectAnswer


Action = Write | Read | Dispatch | Answer | Reject
