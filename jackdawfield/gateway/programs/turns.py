"""Define the record of a turn, its rows and the prompt of its chain.

A turn is one request of a program and the response to it. A turn and its
ancestors form a chain.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
import zlib

import msgspec

from jackdawfield.decoding import DECODE_ERRORS
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

TURNS_TABLE = 'turns'
TURN_IDS_TABLE = 'turn_ids'
# A part is a partition of a table. The store writes the rows of one part in
# sequence and parts in parallel; this many reach the store's write rate.
PART_COUNT = 16
PROGRAM_KEY_BYTES = 10
COMPRESSION_LEVEL = 1
# Longer ids are hashed in a row's key.
MAX_PLAIN_ID_LENGTH = 40


class TurnError(Exception):
    """Raised for rows that hold no readable turn."""


@dataclass(frozen=True, slots=True)
class ProgramKey:
    """Identifies a program of an organisation in the store."""

    text: str

    @property
    def part(self) -> str:
        """Return the part of each table that holds the program's rows."""
        return f'p{int(self.text[:8], 16) % PART_COUNT:02d}'


def program_key(
    organisation_id: OrganisationId | None, program_id: ProgramId | str
) -> ProgramKey:
    """Return the key of an organisation's program."""
    text = f'{organisation_id or ""}\0{program_id}'.encode()
    return ProgramKey(blake2b(text, digest_size=PROGRAM_KEY_BYTES).hexdigest())


def all_parts() -> list[str]:
    """Return the names of all parts that may hold a turn."""
    return [f'p{number:02d}' for number in range(PART_COUNT)]


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """Holds the input and the response of a turn.

    `given` is the body of the caller's request, without earlier turns, and
    `answered` the text of the response. `program` and `parent_program` are
    texts of ProgramKey.
    """

    turn_id: TurnId
    organisation_id: OrganisationId | None
    program: str
    parent_program: str | None
    parent_id: TurnId | None
    given: bytes
    answered: bytes
    server_id: ServerId
    kept_until_s: float

    @property
    def memory_bytes(self) -> int:
        """Return roughly how many bytes the record takes in memory."""
        return len(self.given) + len(self.answered) + 512


def shorten_id(text: str) -> str:
    """Return an id as it is, or its hash if it does not fit into a key."""
    if len(text) <= MAX_PLAIN_ID_LENGTH and text.isascii() and '/' not in text:
        return text
    return '~' + blake2b(text.encode(), digest_size=16).hexdigest()


def index_key(
    organisation_id: OrganisationId | None, turn_id: TurnId, part: str
) -> RowKey:
    """Return the key of the index row that names the program of a turn."""
    name = f'{shorten_id(organisation_id or "")}/{shorten_id(turn_id)}'
    return RowKey(TURN_IDS_TABLE, part, name)


def encode_turn(
    record: TurnRecord, row_bytes: int
) -> tuple[tuple[RowKey, bytes], ...]:
    """Encode a turn as rows of limited size, its index row last."""
    plain = msgspec.msgpack.encode(record)
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    part = ProgramKey(record.program).part
    pieces = [
        data[start : start + row_bytes]
        for start in range(0, len(data), row_bytes)
    ]
    rows = []
    for number, piece in enumerate(pieces):
        name = f'{record.program}/{shorten_id(record.turn_id)}/{number:03d}'
        rows.append((RowKey(TURNS_TABLE, part, name), piece))
    index = index_key(record.organisation_id, record.turn_id, part)
    return (*rows, (index, record.program.encode()))


def decode_turns(rows: Iterable[StoredRow]) -> Mapping[TurnId, TurnRecord]:
    """Decode the turns in some rows; raise TurnError if one is malformed."""
    pieces_by_name: dict[str, list[bytes]] = {}
    for row in rows:
        if row.value is None:
            continue
        name = row.key.key.rpartition('/')[0]
        pieces_by_name.setdefault(name, []).append(row.value)
    records = [_decode(pieces) for pieces in pieces_by_name.values()]
    return {record.turn_id: record for record in records}


def _decode(pieces: list[bytes]) -> TurnRecord:
    try:
        plain = zlib.decompress(b''.join(pieces))
        return msgspec.msgpack.decode(plain, type=TurnRecord)
    except (zlib.error, *DECODE_ERRORS) as error:
        raise TurnError(str(error)) from error


def build_prompt(chain: Iterable[TurnRecord], given: bytes) -> bytes:
    """Return the turns of a chain, oldest first, followed by a new input."""
    pieces = []
    for record in chain:
        pieces.append(record.given)
        pieces.append(record.answered)
    pieces.append(given)
    return b''.join(pieces)
