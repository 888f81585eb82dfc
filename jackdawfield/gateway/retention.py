"""Remembers which rows this instance wrote and when they may go."""

from collections import deque
from dataclasses import dataclass

from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.turns import ProgramKey

# Wall clocks of instances may differ by a few seconds.
CLOCK_MARGIN_S = 10.0
# A transaction of the store takes at most 100 entries.
KEYS_PER_WRITE = 90


@dataclass(frozen=True, slots=True)
class Expired:
    """Holds rows of a program that nobody may continue any more."""

    program: ProgramKey
    keys: tuple[RowKey, ...]
    retention_s: float


class Retention:
    """Holds the rows of turns by the time at which they may go."""

    def __init__(self) -> None:
        self._rows: deque[tuple[float, Expired]] = deque()

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, rows: Expired, now_s: float) -> None:
        """Remember rows that were written now, or that live on."""
        due_s = now_s + rows.retention_s + CLOCK_MARGIN_S
        self._rows.append((due_s, rows))

    def due(self, now_s: float) -> list[Expired]:
        """Return rows whose own retention is over, the oldest first."""
        found = []
        while self._rows and self._rows[0][0] <= now_s:
            found.append(self._rows.popleft()[1])
        return found


def is_over(active_s: float, retention_s: float, now_s: float) -> bool:
    """Return whether a program was last active long enough ago.

    The chain of a turn is kept as long as the turn itself.
    """
    return active_s + retention_s + CLOCK_MARGIN_S <= now_s
