"""Define the items that a committer writes, its events and actions."""

from dataclasses import dataclass

from jackdawfield.decisions.history import encode_record
from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.programs import encode_row
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.programs import turn_key
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.decisions.table import Write
from jackdawfield.model import ProgramId


@dataclass(frozen=True, slots=True)
class Turn:
    """Writes a turn as a new row, or over the row of the same number."""

    program_id: ProgramId
    record: TurnRecord
    replaces: bool = False


@dataclass(frozen=True, slots=True)
class RowChange:
    """Writes a program's row together with further writes."""

    program_id: ProgramId
    row: ProgramRow
    writes: tuple[Write, ...] = ()


Item = Turn | RowChange


@dataclass(frozen=True, slots=True)
class RowOwned:
    """Reports the revision of an owned program row, 0 if it is absent."""

    program_id: ProgramId
    revision: int


@dataclass(frozen=True, slots=True)
class Submitted:
    """Requests that an item be committed."""

    item: Item
    now_s: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time."""

    now_s: float


@dataclass(frozen=True, slots=True)
class Answered:
    """Reports the outcome of the transaction in flight."""

    outcome: TransactionOutcome
    now_s: float


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Reports the rows that were read back, absent ones at revision 0."""

    rows: tuple[Row, ...]
    now_s: float


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Reports that the rows could not be read back."""

    now_s: float


Event = RowOwned | Submitted | TimePassed | Answered | RowsRead | ReadFailed


@dataclass(frozen=True, slots=True)
class Commit:
    """Starts a transaction; Answered reports its outcome."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Reads rows by key; RowsRead or ReadFailed follows."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Durable:
    """Reports an item that has been committed."""

    item: Item


@dataclass(frozen=True, slots=True)
class Fenced:
    """Reports that another instance has claimed a program."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class Overdue:
    """Reports an item whose commit has exceeded its time limit."""

    item: Item


Action = Commit | ReadRows | Durable | Fenced | Overdue


def item_put(item: Item) -> Put:
    """Return an item's own write; reading it back shows it was applied."""
    match item:
        case Turn(program_id, record, _):
            key = turn_key(program_id, record.number)
            return Put(key, encode_record(record))
        case RowChange(program_id, row):
            return Put(row_key(program_id), encode_row(row))


def item_bytes(item: Item) -> int:
    """Return the number of bytes that an item writes."""
    match item:
        case Turn():
            return len(item_put(item).value)
        case RowChange(_, _, writes):
            puts = (item_put(item), *writes)
            return sum(len(p.value) for p in puts if isinstance(p, Put))
