"""Divides a program's token budget between the instances that serve it.

A row of the store holds the tokens that were ever granted. An instance
raises it before tokens go out and lowers it by what a turn left unused, so
that tokens held by an instance that ends are spent and never given twice.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.turns import ProgramKey

PROGRAMS_TABLE = 'programs'
# Tokens for this many more turns must be left before one is prepaid.
TURNS_LEFT_TO_PREPAY = 3
MARKS_KEPT = 6


class LedgerRow(msgspec.Struct, frozen=True):
    """Holds the granted tokens and each writer's last write number."""

    granted: int = 0
    # When a turn of the program was last written, by the wall clock.
    active_s: float = 0.0
    marks: dict[str, int] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reserve:
    """Asks for the most tokens that a turn may generate."""

    tokens: int
    budget: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Reports how many of a turn's reserved tokens went out."""

    reserved: int
    used: int
    budget: int


LedgerEvent = Reserve | Settle


@dataclass(frozen=True, slots=True)
class LedgerPlan:
    """Holds what a step changes once its row is written.

    The verdicts say for each reservation, in order, whether it fits.
    """

    row: LedgerRow
    free: int
    verdicts: tuple[bool, ...]
    must_write: bool


class Ledger:
    """Tracks one program's budget on one instance."""

    __slots__ = ('free', 'known', 'number', 'row', 'version', 'writer')

    def __init__(self, writer: str) -> None:
        self.writer = writer
        self.row = LedgerRow()
        self.version = 0
        self.known = False
        self.free = 0
        self.number = 0

    def take_row(self, data: bytes | None, version: int) -> None:
        """Go on from the row as it stands in the store."""
        self.row = decode_row(data)
        self.version = version if data is not None else 0
        self.known = True

    def surely_fits(self, tokens: int, waiting: int, budget: int) -> bool:
        """Return whether a reservation fits beside those that wait.

        A row that was read earlier may have grown by another's turn.
        """
        unseen = tokens if self.known else 0
        held = self.row.granted - self.free
        return held + waiting + unseen + tokens <= budget

    def plan(self, events: Iterable[LedgerEvent]) -> LedgerPlan:
        """Return what some events change."""
        granted = self.row.granted
        free = self.free
        verdicts = []
        last_settled: Settle | None = None
        for event in events:
            match event:
                case Settle(reserved, used):
                    free += max(0, reserved - used)
                    last_settled = event
                case Reserve(tokens, budget):
                    missing = max(0, tokens - free)
                    fits = granted + missing <= budget
                    if fits:
                        granted += missing
                        free += missing - tokens
                    verdicts.append(fits)
        if last_settled is not None:
            kept = _prepaid(granted - free, last_settled)
            granted += kept - free
            free = kept
        marks = dict(list(self.row.marks.items())[-MARKS_KEPT:])
        marks.pop(self.writer, None)
        marks[self.writer] = self.number + 1
        changed = granted != self.row.granted
        row = LedgerRow(granted, self.row.active_s, marks)
        return LedgerPlan(row, free, tuple(verdicts), changed)

    def wrote(self, plan: LedgerPlan, version: int) -> None:
        """Take over a plan whose row is in the store."""
        self.row = plan.row
        self.version = version
        self.known = True
        self.free = plan.free
        self.number += 1

    def has_written(self, plan: LedgerPlan) -> bool:
        """Return whether the row as read holds a plan's write."""
        number = plan.row.marks.get(self.writer)
        return self.row.marks.get(self.writer) == number


def _prepaid(granted: int, settled: Settle) -> int:
    """Return the tokens to keep for the next turn of a settled one."""
    needed = (1 + TURNS_LEFT_TO_PREPAY) * settled.reserved
    return settled.reserved if granted + needed <= settled.budget else 0


def decode_row(data: bytes | None) -> LedgerRow:
    """Return a ledger's row, empty if there is none."""
    if data is None:
        return LedgerRow()
    return msgspec.msgpack.decode(data, type=LedgerRow)


def encode_row(row: LedgerRow) -> bytes:
    """Return the bytes of a ledger's row."""
    return msgspec.msgpack.encode(row)


def ledger_key(program: ProgramKey) -> RowKey:
    """Return the key of a program's ledger row."""
    return RowKey(PROGRAMS_TABLE, program.part, program.text)
