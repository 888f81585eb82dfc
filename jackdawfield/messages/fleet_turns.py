"""Define the messages that pass copies of stored turns."""

from dataclasses import dataclass

from jackdawfield.messages.base import message


@message
@dataclass(frozen=True, slots=True)
class ReadTurns:
    """Asks an instance for a turn and all of its ancestors.

    `program` is the text of the key of the program that continues from it.
    """

    organisation_id: str | None
    program: str
    turn_id: str


@message
@dataclass(frozen=True, slots=True)
class TurnsKnown:
    """Holds a turn and its ancestors, oldest first, or nothing.

    Each is an encoded TurnRecord. `row` is the program's ledger row as the
    sender read it last, under `version`.
    """

    turns: tuple[bytes, ...]
    row: bytes | None = None
    version: int = 0


@message
@dataclass(frozen=True, slots=True)
class KeepTurns:
    """Hands over copies of stored turns, each an encoded TurnRecord."""

    turns: tuple[bytes, ...]


@message
@dataclass(frozen=True, slots=True)
class TurnsKept:
    """Confirms a KeepTurns."""
