"""Define the events, actions and errors of a program's home.

The home of a program is the instance that owns it.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.decisions.commit_events import Item
from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.ordering import OrderError
from jackdawfield.decisions.programs import EndReason
from jackdawfield.decisions.programs import ProgramError
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.decisions.tails import Tail
from jackdawfield.decisions.tails import TailError
from jackdawfield.decisions.takeover import LoadError
from jackdawfield.model import CallNumber
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId


@dataclass(frozen=True, slots=True)
class BeginRequested:
    """Requests a new program, which has no rows yet."""

    arrival_id: ArrivalId
    row: ProgramRow
    now_s: float


@dataclass(frozen=True, slots=True)
class CallReceived:
    """Reports a call with the position and the tails that it presents.

    The position is the chain hash of the last turn whose answer the caller
    received, None if the caller does not state it.
    """

    arrival_id: ArrivalId
    organisation_id: OrganisationId
    number: CallNumber
    digest: bytes
    now_s: float
    now_unix_s: float
    position: bytes | None = None
    tails: tuple[Tail, ...] = ()


@dataclass(frozen=True, slots=True)
class EndRequested:
    """Reports a request to end the program."""

    arrival_id: ArrivalId
    organisation_id: OrganisationId
    reason: EndReason
    now_s: float


@dataclass(frozen=True, slots=True)
class ProgramRead:
    """Reports all table rows of the program."""

    rows: tuple[Row, ...]
    now_s: float


@dataclass(frozen=True, slots=True)
class ObjectsRead:
    """Reports the objects that were read; absent ones are left out."""

    values_by_key: Mapping[str, bytes]
    now_s: float


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Reports that the platform did not answer a read."""

    now_s: float


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Reports the outcome of a claim transaction."""

    outcome: TransactionOutcome
    now_s: float


@dataclass(frozen=True, slots=True)
class TurnFinished:
    """Reports the complete answer of the running call."""

    number: CallNumber
    request: bytes
    answer: bytes
    tokens: int
    now_s: float


@dataclass(frozen=True, slots=True)
class TurnFailed:
    """Reports that the running call ended without a complete answer."""

    number: CallNumber
    now_s: float


@dataclass(frozen=True, slots=True)
class ItemDurable:
    """Reports an item that has been committed to the table."""

    item: Item
    now_s: float


@dataclass(frozen=True, slots=True)
class ItemOverdue:
    """Reports an item whose commit has exceeded its time limit."""

    item: Item
    now_s: float


@dataclass(frozen=True, slots=True)
class FencedOff:
    """Reports a failed commit: another instance has claimed the program."""

    now_s: float


@dataclass(frozen=True, slots=True)
class SegmentStored:
    """Reports that a segment has been written to the object store."""

    now_s: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time, so that limits and timeouts apply."""

    now_s: float
    now_unix_s: float


Event = (
    BeginRequested
    | CallReceived
    | EndRequested
    | ProgramRead
    | ObjectsRead
    | ReadFailed
    | ClaimAnswered
    | TurnFinished
    | TurnFailed
    | ItemDurable
    | ItemOverdue
    | FencedOff
    | SegmentStored
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class ReadProgram:
    """Reads all table rows of the program."""


@dataclass(frozen=True, slots=True)
class ReadObjects:
    """Reads objects of the object store."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoreSegment:
    """Writes a segment to the object store; SegmentStored follows."""

    object_key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """Commits the transaction that takes a program over from its holder."""

    transaction: Transaction
    holder: Incarnation


@dataclass(frozen=True, slots=True)
class RegisterRow:
    """Registers the owned program with the committer.

    The revision is that of the program row, on which commits are
    conditional; 0 stands for a row that is still to be created.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Submit:
    """Submits an item to the committer."""

    item: Item


@dataclass(frozen=True, slots=True)
class RunCall:
    """Runs a call on the current history."""

    arrival_id: ArrivalId
    number: CallNumber


@dataclass(frozen=True, slots=True)
class Answer:
    """Sends the end marker of a call's answer.

    It carries a tail if the turn is not durable.
    """

    arrival_id: ArrivalId
    record: TurnRecord
    tail: Tail | None


@dataclass(frozen=True, slots=True)
class ConfirmBegin:
    """Confirms a new program, with a tail if its row is not durable."""

    arrival_id: ArrivalId
    tail: Tail | None


@dataclass(frozen=True, slots=True)
class ConfirmEnd:
    """Confirms that the program has ended."""

    arrival_id: ArrivalId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a request with an error."""

    arrival_id: ArrivalId
    error: 'HomeError'


@dataclass(frozen=True, slots=True)
class Drop:
    """Removes the program from this instance."""


Action = (
    ReadProgram
    | ReadObjects
    | StoreSegment
    | Claim
    | RegisterRow
    | Submit
    | RunCall
    | Answer
    | ConfirmBegin
    | ConfirmEnd
    | Refuse
    | Drop
)


@dataclass(frozen=True, slots=True)
class HistoryUnavailable:
    """Refuses a call, not run, while the history cannot be read."""


@dataclass(frozen=True, slots=True)
class PositionMismatch:
    """Refuses a call, not run, whose position is not in the history."""


@dataclass(frozen=True, slots=True)
class Moved:
    """Refuses a call, not run, because the program has another home."""


@dataclass(frozen=True, slots=True)
class CallRunning:
    """Refuses a call, not run, whose tails would change a running call."""


@dataclass(frozen=True, slots=True)
class TurnNotKept:
    """Reports a call that ran, but whose turn was not kept."""


@dataclass(frozen=True, slots=True)
class EndNotDurable:
    """Reports an end that is not durable; the caller may repeat it."""


@dataclass(frozen=True, slots=True)
class HistoryDamaged:
    """Refuses a call of a program whose stored history does not verify."""

    error: LoadError


HomeError = (
    OrderError
    | ProgramError
    | TailError
    | HistoryUnavailable
    | HistoryDamaged
    | PositionMismatch
    | Moved
    | CallRunning
    | TurnNotKept
    | EndNotDurable
)
