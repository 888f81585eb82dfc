"""Rebuild a program from its rows and claim it under a new epoch."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.history import decode_record
from jackdawfield.decisions.history import decode_records
from jackdawfield.decisions.history import History
from jackdawfield.decisions.history import HistoryError
from jackdawfield.decisions.history import TurnMissing
from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.programs import claim_row
from jackdawfield.decisions.programs import decode_row
from jackdawfield.decisions.programs import encode_row
from jackdawfield.decisions.programs import InvalidRow
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.programs import turn_key
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.tails import merge_tail
from jackdawfield.decisions.tails import Tail
from jackdawfield.model import Incarnation
from jackdawfield.model import ProgramId

LoadError = HistoryError | InvalidRow


@dataclass(frozen=True, slots=True)
class StoredProgram:
    """Holds a program's row, its revision and the rows of its turns."""

    row: ProgramRow
    revision: int
    turn_rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Reconciled:
    """Holds the history after a takeover.

    The turns from first_unwritten_turn on must be written to the table.
    """

    history: History
    first_unwritten_turn: int


def find_program(
    program_id: ProgramId, rows: Iterable[Row]
) -> Result[StoredProgram | None, LoadError]:
    """Return the stored program, None if it has no row."""
    rows_by_key = {row.key: row for row in rows if row.revision}
    found = rows_by_key.pop(row_key(program_id), None)
    if found is None:
        return Ok(None)
    decoded = decode_row(found.value)
    if decoded.is_err():
        return Err(decoded.unwrap_err())
    row = decoded.unwrap()
    if row.program_id != program_id:
        return Err(InvalidRow('row of another program'))
    # Without the six digits of the turn's number.
    turn_prefix = turn_key(program_id, 0)[:-6]
    turn_rows = tuple(
        rows_by_key[key]
        for key in sorted(rows_by_key)
        if key.startswith(turn_prefix)
    )
    return Ok(StoredProgram(row, found.revision, turn_rows))


def rebuild_history(
    stored: StoredProgram, objects_by_key: Mapping[str, bytes]
) -> Result[History, LoadError]:
    """Return the verified history from segments and turn rows."""
    row = stored.row
    history = History(row.organisation_id, row.program_id)
    for segment in row.segments:
        value = objects_by_key.get(segment.object_key)
        if value is None:
            return Err(TurnMissing(segment.first_turn))
        extended = decode_records(value).and_then(history.extend)
        if extended.is_err():
            return extended
        history = extended.unwrap()
        if history.chain != segment.chain:
            return Err(TurnMissing(segment.last_turn))
    records: list[TurnRecord] = []
    for turn_row in stored.turn_rows:
        decoded = decode_record(turn_row.value)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        records.append(decoded.unwrap())
    return history.extend(r for r in records if r.number > row.segment_turns)


def claim(
    stored: StoredProgram, history: History, incarnation: Incarnation
) -> Transaction:
    """Return the transaction that moves a program to another home.

    It conflicts if the old home has changed the row or appended a turn since
    the rows were read.
    """
    program_id = stored.row.program_id
    next_turn_key = turn_key(program_id, len(history.turns) + 1)
    return Transaction(
        (
            Condition(row_key(program_id), stored.revision),
            Condition(next_turn_key, 0),
        ),
        (
            Put(
                row_key(program_id),
                encode_row(claim_row(stored.row, incarnation)),
            ),
        ),
    )


def reconcile(
    durable: History, cached: History, confirmed_turn: int
) -> Reconciled:
    """Merge the durable history with turns that were only sent in tails.

    The cached history, held in memory, is kept if it extends the durable one.
    Otherwise its turns up to confirmed_turn, which the caller has presented,
    are merged into the durable history, which stays as it is if that fails.
    """
    last = len(durable.turns)
    if last <= len(cached.turns) and durable.chain == cached.chain_at(last):
        return Reconciled(cached, last + 1)
    confirmed = Tail(0, cached.chain_at(0), cached.turns[:confirmed_turn])
    merged = merge_tail(durable, confirmed)
    if merged.is_err():
        return Reconciled(durable, last + 1)
    first_changed = merged.unwrap().first_changed_turn
    return Reconciled(merged.unwrap().history, first_changed or last + 1)
