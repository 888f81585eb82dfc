"""Seal turns that are not durable yet, for the caller to present later.

A tail holds a program's turns from some turn on. It is encrypted and
authenticated; the caller stores it and sends it with the next call.
"""

from dataclasses import dataclass
from dataclasses import replace
import zlib

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.history import History
from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId

NONCE_BYTES = 12
MAX_UNSEALED_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class Tail:
    """Holds turns and the chain hash of the turn before them.

    A tail that starts at the first turn also holds the program's row.
    """

    base_turn: int
    base_chain: bytes
    turns: tuple[TurnRecord, ...]
    row: ProgramRow | None = None

    @property
    def last_turn(self) -> int:
        """Return the number of the last turn."""
        return self.base_turn + len(self.turns)

    @property
    def chain(self) -> bytes:
        """Return the chain hash of the last turn."""
        return self.turns[-1].chain if self.turns else self.base_chain


@dataclass(frozen=True, slots=True)
class TailInvalid:
    """Refuses a tail that was changed, cut or sealed for another program."""


@dataclass(frozen=True, slots=True)
class TailGap:
    """Refuses a tail that starts after the end of the history."""

    base_turn: int
    known_turn: int


@dataclass(frozen=True, slots=True)
class TailOld:
    """Refuses a tail that diverges from the history."""

    last_turn: int
    known_turn: int


TailError = TailInvalid | TailGap | TailOld


@dataclass(frozen=True, slots=True)
class MergedHistory:
    """Holds a history with a tail applied and the first turn it changed."""

    history: History
    first_changed_turn: int | None


def seal(
    key: bytes,
    nonce: bytes,
    organisation_id: OrganisationId,
    program_id: ProgramId,
    tail: Tail,
) -> bytes:
    """Compress and encrypt a tail; a nonce must never repeat."""
    body = zlib.compress(msgspec.msgpack.encode(tail))
    associated_data = _associated_data(organisation_id, program_id)
    return nonce + AESGCM(key).encrypt(nonce, body, associated_data)


def unseal(
    key: bytes,
    organisation_id: OrganisationId,
    program_id: ProgramId,
    sealed: bytes,
) -> Result[Tail, TailError]:
    """Return a sealed tail if it is this program's and unchanged."""
    nonce = sealed[:NONCE_BYTES]
    associated_data = _associated_data(organisation_id, program_id)
    try:
        body = AESGCM(key).decrypt(
            nonce, sealed[NONCE_BYTES:], associated_data
        )
        packed = zlib.decompressobj().decompress(body, MAX_UNSEALED_BYTES)
        return Ok(msgspec.msgpack.decode(packed, type=Tail))
    except (InvalidTag, ValueError, zlib.error, msgspec.MsgspecError):
        return Err(TailInvalid())


def join_tails(tails: tuple[Tail, ...]) -> Result[Tail | None, TailError]:
    """Join the tails that a caller presents into one, None for none."""
    ordered = sorted(tails, key=lambda item: (item.base_turn, item.last_turn))
    if not ordered:
        return Ok(None)
    joined = ordered[0]
    for tail in ordered[1:]:
        if tail.base_turn > joined.last_turn:
            return Err(TailGap(tail.base_turn, joined.last_turn))
        shared_turns = joined.last_turn - tail.base_turn
        turns = joined.turns + tail.turns[shared_turns:]
        joined = replace(joined, turns=turns, row=joined.row or tail.row)
    return Ok(joined)


def merge_tail(
    history: History, tail: Tail
) -> Result[MergedHistory, TailError]:
    """Merge the tail that a caller presents into the history.

    A presented tail holds the answers that the caller received. It therefore
    replaces a last turn whose answer the caller has not received. The first
    changed turn is None if the history already holds the whole tail.
    """
    recorded_turns = len(history.turns)
    if tail.base_turn > recorded_turns:
        return Err(TailGap(tail.base_turn, recorded_turns))
    if tail.base_chain != history.chain_at(tail.base_turn):
        return Err(TailOld(tail.last_turn, recorded_turns))
    if tail.last_turn <= recorded_turns:
        if tail.chain == history.chain_at(tail.last_turn):
            return Ok(MergedHistory(history, None))
    if tail.last_turn < recorded_turns:
        return Err(TailOld(tail.last_turn, recorded_turns))
    first_turn = _first_difference(history, tail)
    new_turns = tail.turns[first_turn - 1 - tail.base_turn :]
    extended = history.up_to(first_turn - 1).extend(new_turns)
    if extended.is_err():
        return Err(TailInvalid())
    return Ok(MergedHistory(extended.unwrap(), first_turn))


def _first_difference(history: History, tail: Tail) -> int:
    for record in tail.turns:
        if record.number > len(history.turns):
            return record.number
        if record.chain != history.chain_at(record.number):
            return record.number
    return tail.last_turn + 1


def _associated_data(
    organisation_id: OrganisationId, program_id: ProgramId
) -> bytes:
    return msgspec.msgpack.encode((organisation_id, program_id))


def make_tail(
    history: History, row: ProgramRow, base_turn: int, max_whole_bytes: int
) -> Tail:
    """Return the turns after base_turn as a tail, or all turns if few bytes.

    All turns are those of a history of at most max_whole_bytes.
    """
    size = sum(len(t.request) + len(t.answer) for t in history.turns)
    if size <= max_whole_bytes:
        base_turn = 0
    return Tail(
        base_turn,
        history.chain_at(base_turn),
        history.turns[base_turn:],
        row if base_turn == 0 else None,
    )
