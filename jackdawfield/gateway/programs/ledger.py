"""Divide a program's token budget between the instances that serve it.

A row of the store holds the tokens granted to all instances so far. An
instance raises it before a call generates tokens. What the call left unused
is kept for the program's next call there, or returned to the row. Tokens that
an instance holds when it ends count as spent, so that none are granted twice.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import TransactionLimits

PROGRAMS_TABLE = 'programs'
# What a ledger's row takes of a transaction that expects and writes it.
LEDGER_ENTRIES = 2
LEDGER_BYTES = 4096
# An instance holds tokens for a program's next call, and so saves a write,
# only if the budget has room for this many calls more.
CALLS_LEFT_TO_PREPAY = 3
WRITERS_KEPT = 6


class LedgerRow(msgspec.Struct, frozen=True):
    """Holds the granted tokens and each writer's last write number.

    The marks map writers to these numbers. They show after a lost answer
    whether a write was applied.
    """

    granted: int = 0
    # Wall-clock time of the last write of a turn of the program.
    active_s: float = 0.0
    marks: dict[str, int] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reserve:
    """Requests the largest number of tokens that a call may generate.

    With `prepays`, a write of the row also grants the next call's tokens.
    """

    tokens: int
    budget: int
    prepays: bool = False


@dataclass(frozen=True, slots=True)
class Settle:
    """Reports how many of a call's reserved tokens were generated."""

    reserved: int
    used: int
    budget: int


@dataclass(frozen=True, slots=True)
class Spend:
    """Records tokens that were handed over without a reservation."""

    tokens: int


@dataclass(frozen=True, slots=True)
class Return:
    """Returns the tokens that this instance holds for no call."""


LedgerEvent = Reserve | Settle | Spend | Return


@dataclass(frozen=True, slots=True)
class LedgerPlan:
    """Holds the result of some events, which counts once its row is written.

    The verdicts hold for each reservation, in order, whether it fits.
    """

    row: LedgerRow
    available_change: int
    verdicts: tuple[bool, ...]
    must_write: bool


class Ledger:
    """Holds one program's budget on one instance.

    Available tokens are granted to this instance, but to no call yet. The
    number identifies this writer's latest plan, so that a write whose answer
    was lost is recognised in the row, also if it arrives late.
    """

    __slots__ = (
        'available',
        'is_loaded',
        'number',
        'row',
        'version',
        'writer',
    )

    def __init__(self, writer: str) -> None:
        self.writer = writer
        self.row = LedgerRow()
        self.version = 0
        self.is_loaded = False
        self.available = 0
        self.number = 0

    def load_row(self, data: bytes | None, version: int) -> None:
        """Replace the row by the one in the store."""
        self.row = decode_row(data)
        self.version = version if data is not None else 0
        self.is_loaded = True

    def is_likely_to_fit(self, tokens: int, queued: int, budget: int) -> bool:
        """Return whether a reservation fits beside the queued ones.

        Another instance's turn may have raised the row since it was read, so
        that the tokens are counted twice.
        """
        margin = tokens if self.is_loaded else 0
        in_use = self.row.granted - self.available
        return in_use + queued + margin + tokens <= budget

    def is_granted(self, tokens: int, queued: int) -> bool:
        """Return whether a reservation needs no write of the row."""
        return self.available - queued >= tokens

    def plan(self, events: Iterable[LedgerEvent]) -> LedgerPlan:
        """Return the row and the verdicts that follow from some events."""
        granted = self.row.granted
        unreserved = self.available
        verdicts = []
        last_settled: Settle | None = None
        last_raised: Reserve | None = None
        for event in events:
            match event:
                case Settle(reserved, used):
                    unreserved += max(0, reserved - used)
                    last_settled = event
                case Spend(tokens):
                    granted += tokens
                case Return():
                    granted -= unreserved
                    unreserved = 0
                case Reserve(tokens, budget):
                    missing = max(0, tokens - unreserved)
                    fits = granted + missing <= budget
                    if fits:
                        granted += missing
                        unreserved += missing - tokens
                    if fits and missing:
                        last_raised = event
                    verdicts.append(fits)
        if last_settled is not None:
            prepaid = _tokens_to_prepay(
                granted - unreserved,
                last_settled.reserved,
                last_settled.budget,
            )
            granted += prepaid - unreserved
            unreserved = prepaid
        elif last_raised is not None and last_raised.prepays:
            prepaid = _tokens_to_prepay(
                granted, last_raised.tokens, last_raised.budget
            )
            granted += prepaid
            unreserved += prepaid
        return LedgerPlan(
            LedgerRow(granted, self.row.active_s, self._next_marks()),
            unreserved - self.available,
            tuple(verdicts),
            granted != self.row.granted,
        )

    def _next_marks(self) -> dict[str, int]:
        marks = dict(list(self.row.marks.items())[-WRITERS_KEPT:])
        marks.pop(self.writer, None)
        self.number += 1
        marks[self.writer] = self.number
        return marks

    def keep(self, settled: Settle) -> None:
        """Keep a call's unused tokens without a write of the row."""
        self.available += max(0, settled.reserved - settled.used)

    def record_unwritten(self, plan: LedgerPlan) -> None:
        """Apply a plan that needs no write."""
        self.available += plan.available_change

    def record_written(self, plan: LedgerPlan, version: int) -> None:
        """Apply a plan whose row was written to the store."""
        self.row = plan.row
        self.version = version
        self.is_loaded = True
        self.available += plan.available_change

    def record_found(self, plan: LedgerPlan) -> None:
        """Apply a plan that the row which was read includes already."""
        self.available += plan.available_change

    def has_written(self, plan: LedgerPlan) -> bool:
        """Return whether the row that was read includes a plan's write."""
        number = plan.row.marks.get(self.writer)
        return self.row.marks.get(self.writer) == number


def _tokens_to_prepay(granted: int, tokens: int, budget: int) -> int:
    """Return the tokens to grant ahead for a program's next call."""
    needed = (1 + CALLS_LEFT_TO_PREPAY) * tokens
    return tokens if granted + needed <= budget else 0


def limits_beside_ledger(limits: TransactionLimits) -> TransactionLimits:
    """Return the limits of the rows that are written with a ledger's row."""
    return TransactionLimits(
        limits.entries - LEDGER_ENTRIES, limits.body_bytes - LEDGER_BYTES
    )


def decode_row(data: bytes | None) -> LedgerRow:
    """Decode a ledger's row, empty if there is none."""
    if data is None:
        return LedgerRow()
    return msgspec.msgpack.decode(data, type=LedgerRow)


def encode_row(row: LedgerRow) -> bytes:
    """Encode a ledger's row."""
    return msgspec.msgpack.encode(row)


def ledger_key(program: ProgramKey) -> RowKey:
    """Return the key of a program's ledger row."""
    return RowKey(PROGRAMS_TABLE, program.part, program.text)
