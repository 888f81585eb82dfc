"""Keep a program's turns as records linked by a hash chain.

The chain hash of a turn covers it and all turns before it. It is unrelated
to the history of configuration changes that operators read.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from hashlib import sha256

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """Holds one finished call and the chain hash after it."""

    number: int
    digest: bytes
    request: bytes
    answer: bytes
    tokens: int
    chain: bytes


@dataclass(frozen=True, slots=True)
class ChainBroken:
    """Reports a turn whose chain hash does not match its content."""

    number: int


@dataclass(frozen=True, slots=True)
class TurnMissing:
    """Reports a missing turn."""

    number: int


@dataclass(frozen=True, slots=True)
class InvalidRecord:
    """Reports a record that cannot be decoded."""

    reason: str


HistoryError = ChainBroken | TurnMissing | InvalidRecord


@dataclass(frozen=True, slots=True)
class History:
    """Holds the verified turns of an organisation's program."""

    organisation_id: OrganisationId
    program_id: ProgramId
    turns: tuple[TurnRecord, ...] = ()

    @property
    def chain(self) -> bytes:
        """Return the chain hash of the last turn."""
        return self.chain_at(len(self.turns))

    def chain_at(self, number: int) -> bytes:
        """Return the chain hash after a turn; 0 gives the initial one."""
        if number == 0:
            return initial_chain(self.organisation_id, self.program_id)
        return self.turns[number - 1].chain

    def make_record(
        self, digest: bytes, request: bytes, answer: bytes, tokens: int
    ) -> TurnRecord:
        """Return the record of a new turn; it is not added to the history."""
        number = len(self.turns) + 1
        record = TurnRecord(number, digest, request, answer, tokens, b'')
        return replace(record, chain=next_chain(self.chain, record))

    def extend(
        self, records: Iterable[TurnRecord]
    ) -> Result['History', HistoryError]:
        """Return the history with further turns, each one verified."""
        turns = list(self.turns)
        chain = self.chain
        for record in records:
            if record.number != len(turns) + 1:
                return Err(TurnMissing(len(turns) + 1))
            if record.chain != next_chain(chain, record):
                return Err(ChainBroken(record.number))
            turns.append(record)
            chain = record.chain
        return Ok(replace(self, turns=tuple(turns)))

    def up_to(self, number: int) -> 'History':
        """Return the history up to and including a turn."""
        return replace(self, turns=self.turns[:number])


def initial_chain(
    organisation_id: OrganisationId, program_id: ProgramId
) -> bytes:
    """Return the chain hash before the first turn."""
    return _digest((organisation_id.encode(), program_id.encode()))


def next_chain(previous: bytes, record: TurnRecord) -> bytes:
    """Return the chain hash of a turn from its predecessor's."""
    numbers = f'{record.number}:{record.tokens}'.encode()
    return _digest(
        (previous, numbers, record.digest, record.request, record.answer)
    )


def _digest(parts: tuple[bytes, ...]) -> bytes:
    digest = sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


def encode_record(record: TurnRecord) -> bytes:
    """Encode a record for the table."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> Result[TurnRecord, HistoryError]:
    """Decode a record from its table value."""
    try:
        return Ok(msgspec.msgpack.decode(value, type=TurnRecord))
    except msgspec.MsgspecError as error:
        return Err(InvalidRecord(str(error)))


def encode_records(records: tuple[TurnRecord, ...]) -> bytes:
    """Encode records as one object of the object store."""
    return msgspec.msgpack.encode(records)


def decode_records(
    value: bytes,
) -> Result[tuple[TurnRecord, ...], HistoryError]:
    """Decode records from an object of the object store."""
    try:
        return Ok(msgspec.msgpack.decode(value, type=tuple[TurnRecord, ...]))
    except msgspec.MsgspecError as error:
        return Err(InvalidRecord(str(error)))
