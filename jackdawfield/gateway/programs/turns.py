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
TURN_DIGEST_BYTES = 8
FIRST_PIECE = '000'
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
    """Encode a turn as rows of limited size, its index row last.

    Readers ignore the pieces of a turn without its first one, which comes
    after the others. So it may be written after them: with it, the turn can
    be read.
    """
    plain = msgspec.msgpack.encode(record)
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    part = ProgramKey(record.program).part
    name = f'{record.program}/{shorten_id(record.turn_id)}'
    starts = range(row_bytes, len(data), row_bytes)
    # Pieces of copies that were encoded at other times are not confused.
    digest = _digest(data)
    rows = [
        (
            RowKey(TURNS_TABLE, part, f'{name}/{digest}.{number:03d}'),
            data[start : start + row_bytes],
        )
        for number, start in enumerate(starts, 1)
    ]
    first = RowKey(TURNS_TABLE, part, f'{name}/{FIRST_PIECE}')
    rows.append((first, data[:row_bytes]))
    index = index_key(record.organisation_id, record.turn_id, part)
    return (*rows, (index, record.program.encode()))


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=TURN_DIGEST_BYTES).hexdigest()


def decode_turns(rows: Iterable[StoredRow]) -> Mapping[TurnId, TurnRecord]:
    """Decode the turns in some rows, sorted by their keys.

    Raise TurnError if one is malformed. A turn without its first piece is
    ignored: it is not written yet, or never will be.
    """
    rows_by_name: dict[str, list[StoredRow]] = {}
    for row in rows:
        name = row.key.key.rpartition('/')[0]
        rows_by_name.setdefault(name, []).append(row)
    found = (_join_pieces(rows) for rows in rows_by_name.values())
    records = [_decode(data) for data in found if data is not None]
    return {record.turn_id: record for record in records}


def _join_pieces(rows: Iterable[StoredRow]) -> bytes | None:
    """Return the encoded turn in its rows, None without its first piece."""
    first: bytes | None = None
    pieces_by_digest: dict[str, list[bytes]] = {}
    for row in rows:
        if row.value is None:
            continue
        digest, _, number = row.key.key.rpartition('/')[2].rpartition('.')
        if number == FIRST_PIECE:
            first = row.value
            continue
        pieces_by_digest.setdefault(digest, []).append(row.value)
    if first is None:
        return None
    # Earlier versions wrote all pieces at once and named no digest.
    unnamed = pieces_by_digest.pop('', [])
    for digest, pieces in pieces_by_digest.items():
        data = first + b''.join(pieces)
        if digest == _digest(data):
            return data
    return first + b''.join(unnamed)


def _decode(data: bytes) -> TurnRecord:
    try:
        plain = zlib.decompress(data)
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
