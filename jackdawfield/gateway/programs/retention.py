"""Track which rows this instance wrote and when they may be removed."""

from collections import deque
from dataclasses import dataclass

from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.storage.rows import RowKey

# Wall clocks of instances may differ by a few seconds.
CLOCK_SKEW_MARGIN_S = 10.0
# The turns of a program are stored for so much longer than promised. Turns of
# other programs that continue from them within this time need no copies.
CHAIN_MARGIN_S = 30.0
STORED_LONGER_S = CLOCK_SKEW_MARGIN_S + CHAIN_MARGIN_S


@dataclass(frozen=True, slots=True)
class ExpiringRows:
    """Holds rows of a program that are removed once they have expired."""

    program: ProgramKey
    keys: tuple[RowKey, ...]
    retention_s: float


class RetentionQueue:
    """Holds the rows of turns with the times at which they expire."""

    def __init__(self) -> None:
        self._rows: deque[tuple[float, ExpiringRows]] = deque()

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, rows: ExpiringRows, now_s: float) -> None:
        """Schedule rows that were written or last used at this time."""
        due_s = now_s + rows.retention_s + STORED_LONGER_S
        self._rows.append((due_s, rows))

    def pop_due(self, now_s: float) -> list[ExpiringRows]:
        """Remove and return rows past their own retention, oldest first."""
        expired = []
        while self._rows and self._rows[0][0] <= now_s:
            expired.append(self._rows.popleft()[1])
        return expired


def is_expired(active_s: float, retention_s: float, now_s: float) -> bool:
    """Return whether a program's rows are past their retention.

    The retention begins at the program's last turn, so that the ancestors of
    a turn are stored for as long as the turn itself.
    """
    return active_s + retention_s + STORED_LONGER_S <= now_s
