"""Move turns of a long history from the table to the object store."""

from dataclasses import dataclass
from dataclasses import replace

from jackdawfield.decisions.commit_events import RowChange
from jackdawfield.decisions.history import encode_records
from jackdawfield.decisions.history import History
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import Segment
from jackdawfield.decisions.programs import turn_key
from jackdawfield.decisions.table import Delete


@dataclass(frozen=True, slots=True)
class NewSegment:
    """Holds a segment and the bytes of its object."""

    segment: Segment
    value: bytes


def cut_segment(
    row: ProgramRow, history: History, last_turn: int, min_bytes: int
) -> NewSegment | None:
    """Return a segment up to a turn, None below the least size."""
    first_turn = row.segment_turns + 1
    turns = history.turns[first_turn - 1 : last_turn]
    size = sum(len(turn.request) + len(turn.answer) for turn in turns)
    if not turns or size < min_bytes:
        return None
    chain = turns[-1].chain
    name = f'{first_turn:06d}-{last_turn:06d}-{chain.hex()}'
    object_key = f'history/{row.program_id}/{name}'
    segment = Segment(object_key, first_turn, last_turn, chain)
    return NewSegment(segment, encode_records(turns))


def index_segment(row: ProgramRow, segment: Segment) -> RowChange:
    """Return the change that lists a segment and deletes its turn rows."""
    changed = replace(row, segments=(*row.segments, segment))
    deletes = tuple(
        Delete(turn_key(row.program_id, number))
        for number in range(segment.first_turn, segment.last_turn + 1)
    )
    return RowChange(row.program_id, changed, deletes)
