"""Define transactions of the platform's table service and their outcomes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """Holds a row as read; revision 0 stands for an absent row."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires a row's revision; 0 requires that the row is absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a row."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Delete:
    """Removes a row."""

    key: str


Write = Put | Delete


@dataclass(frozen=True, slots=True)
class Transaction:
    """Applies all writes if every condition holds, else none."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Reports that a transaction was applied at a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Reports that a condition failed and nothing was applied."""


@dataclass(frozen=True, slots=True)
class NotApplied:
    """Reports that the service rejected a transaction without applying it."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Reports that the answer was lost; the writes may have been applied."""

    reason: str


TransactionOutcome = Committed | Conflict | NotApplied | OutcomeUnknown
