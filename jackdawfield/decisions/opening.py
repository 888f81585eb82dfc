"""Open a stored program: read its rows, and claim it from another home."""

from dataclasses import dataclass
from enum import Enum

from result import Err

from jackdawfield.decisions.history import History
from jackdawfield.decisions.home_events import Claim
from jackdawfield.decisions.home_events import ClaimAnswered
from jackdawfield.decisions.home_events import ObjectsRead
from jackdawfield.decisions.home_events import ProgramRead
from jackdawfield.decisions.home_events import ReadFailed
from jackdawfield.decisions.home_events import ReadObjects
from jackdawfield.decisions.home_events import ReadProgram
from jackdawfield.decisions.programs import claim_row
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.decisions.takeover import claim
from jackdawfield.decisions.takeover import find_program
from jackdawfield.decisions.takeover import LoadError
from jackdawfield.decisions.takeover import rebuild_history
from jackdawfield.decisions.takeover import StoredProgram
from jackdawfield.model import Incarnation
from jackdawfield.model import ProgramId

MAX_CLAIM_ATTEMPTS = 4

Event = ProgramRead | ObjectsRead | ReadFailed | ClaimAnswered


class Phase(Enum):
    """Represents the answer that an opening awaits."""

    READING = 'reading'
    CLAIMING = 'claiming'


@dataclass(frozen=True, slots=True)
class Opened:
    """Reports that this instance owns the program."""

    row: ProgramRow
    revision: int
    history: History


@dataclass(frozen=True, slots=True)
class Absent:
    """Reports that the table has no row of the program."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Reports that the platform does not answer."""


@dataclass(frozen=True, slots=True)
class Contended:
    """Reports that no claim was confirmed within the allowed attempts."""


@dataclass(frozen=True, slots=True)
class Damaged:
    """Reports that the stored history does not verify."""

    error: LoadError


Step = (
    ReadProgram
    | ReadObjects
    | Claim
    | Opened
    | Absent
    | Unreachable
    | Contended
    | Damaged
)


@dataclass(slots=True)
class Opening:
    """Holds the state of opening one program."""

    program_id: ProgramId
    incarnation: Incarnation
    phase: Phase = Phase.READING
    attempts: int = 0
    stored: StoredProgram | None = None
    history: History | None = None

    def start(self) -> Step:
        """Return the first step."""
        return ReadProgram()

    def on(self, event: Event) -> Step | None:
        """Apply an event and return the next step."""
        match event:
            case ProgramRead(rows, _):
                return self._rows_read(rows)
            case ObjectsRead(values_by_key, _):
                return self._load_history(dict(values_by_key))
            case ReadFailed():
                return Unreachable()
            case ClaimAnswered(outcome, _):
                return self._claim_answered(outcome)

    def _rows_read(self, rows: tuple[Row, ...]) -> Step | None:
        found = find_program(self.program_id, rows)
        if isinstance(found, Err):
            return Damaged(found.err_value)
        self.stored = found.ok_value
        if self.stored is None:
            return Absent()
        keys = tuple(s.object_key for s in self.stored.row.segments)
        if keys:
            return ReadObjects(keys)
        return self._load_history({})

    def _load_history(self, values_by_key: dict[str, bytes]) -> Step | None:
        if self.stored is None:
            return None
        found = rebuild_history(self.stored, values_by_key)
        if isinstance(found, Err):
            return Damaged(found.err_value)
        self.history = found.ok_value
        row = self.stored.row
        if row.home == self.incarnation:
            return Opened(row, self.stored.revision, self.history)
        self.phase = Phase.CLAIMING
        transaction = claim(self.stored, self.history, self.incarnation)
        return Claim(transaction, row.home)

    def _claim_answered(self, outcome: TransactionOutcome) -> Step | None:
        if self.stored is None or self.history is None:
            return None
        match outcome:
            case Committed(revision):
                row = claim_row(self.stored.row, self.incarnation)
                return Opened(row, revision, self.history)
            case Conflict() | OutcomeUnknown():
                return self._read_again()
            case NotApplied():
                return Unreachable()

    def _read_again(self) -> Step:
        self.attempts += 1
        if self.attempts >= MAX_CLAIM_ATTEMPTS:
            return Contended()
        self.phase = Phase.READING
        return ReadProgram()
