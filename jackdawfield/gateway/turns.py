"""Defines the record of a turn, its rows and the chain that it ends."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
import zlib

import msgspec

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

TURNS_TABLE = 'turns'
TURN_IDS_TABLE = 'turn_ids'
# Parts are written in parallel; this many carry the store's write rate.
PARTS = 16
KEY_BYTES = 10
COMPRESSION_LEVEL = 1
# The longest text that stands in a row's key as it is.
PLAIN_KEY_LENGTH = 40


class TurnError(Exception):
    """Reports rows that do not hold a turn."""


@dataclass(frozen=True, slots=True)
class ProgramKey:
    """Names a program of an organisation in the store."""

    text: str

    @property
    def part(self) -> str:
        """Return the part of the store that holds the program's rows."""
        return f'p{int(self.text[:8], 16) % PARTS:02d}'


def program_key(
    organisation_id: OrganisationId | None, program_id: ProgramId | str
) -> ProgramKey:
    """Return the key of an organisation's program."""
    text = f'{organisation_id or ""}\0{program_id}'.encode()
    return ProgramKey(blake2b(text, digest_size=KEY_BYTES).hexdigest())


def all_parts() -> list[str]:
    """Return every part that may hold a turn."""
    return [f'p{number:02d}' for number in range(PARTS)]


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """Holds what a turn was given and what it answered."""

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
    def size(self) -> int:
        """Return the bytes that the record takes in memory, roughly."""
        return len(self.given) + len(self.answered) + 512


def short(text: str) -> str:
    """Return a text that fits into a row's key."""
    if len(text) <= PLAIN_KEY_LENGTH and text.isascii() and '/' not in text:
        return text
    return '~' + blake2b(text.encode(), digest_size=16).hexdigest()


def index_key(
    organisation_id: OrganisationId | None, turn_id: TurnId, part: str
) -> RowKey:
    """Return the row that tells which program a turn belongs to."""
    name = f'{short(organisation_id or "")}/{short(turn_id)}'
    return RowKey(TURN_IDS_TABLE, part, name)


def encode_turn(
    record: TurnRecord, row_bytes: int
) -> tuple[tuple[RowKey, bytes], ...]:
    """Return the rows that hold a turn, its index row last."""
    plain = msgspec.msgpack.encode(record)
    data = zlib.compress(plain, COMPRESSION_LEVEL)
    part = ProgramKey(record.program).part
    pieces = [
        data[start : start + row_bytes]
        for start in range(0, len(data), row_bytes)
    ]
    rows = []
    for number, piece in enumerate(pieces):
        name = f'{record.program}/{short(record.turn_id)}/{number:03d}'
        rows.append((RowKey(TURNS_TABLE, part, name), piece))
    index = index_key(record.organisation_id, record.turn_id, part)
    return (*rows, (index, record.program.encode()))


def decode_turns(rows: Iterable[StoredRow]) -> Mapping[TurnId, TurnRecord]:
    """Return the turns that rows hold; raise TurnError if one is bad."""
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
    except (zlib.error, msgspec.MsgspecError) as error:
        raise TurnError(str(error)) from error


def prompt_of(chain: Iterable[TurnRecord], given: bytes) -> bytes:
    """Return what a server is to read: a chain, oldest first, and more."""
    pieces = []
    for record in chain:
        pieces.append(record.given)
        pieces.append(record.answered)
    pieces.append(given)
    return b''.join(pieces)
