"""Keep rows that the store may have forgotten in an outage.

Each is kept until it is back, or until its grace has passed.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.gateway.storage.rows import StoredRow


@dataclass(frozen=True, slots=True)
class HeldStoredRow:
    """Holds a row, and when it counts as gone, by the boot clock."""

    row: StoredRow
    until_s: float


class HeldRowLog:
    """Holds rows by key that have been missing since an outage."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._held_by_key: dict[str, HeldStoredRow] = {}

    def note_removed(
        self,
        rows_by_key: Mapping[str, StoredRow],
        removed: Iterable[str],
        now_s: float,
    ) -> None:
        """Keep rows that were removed after an outage."""
        for key in removed:
            row = rows_by_key.get(key)
            if row is not None and self._grace_s > 0:
                until_s = now_s + self._grace_s
                self._held_by_key[key] = HeldStoredRow(row, until_s)

    def note_present(self, keys: Iterable[str]) -> None:
        """Forget rows that are back."""
        for key in keys:
            self._held_by_key.pop(key, None)

    def present(self, now_s: float) -> tuple[HeldStoredRow, ...]:
        """Return the rows that do not count as gone yet."""
        self._held_by_key = {
            key: held
            for key, held in self._held_by_key.items()
            if held.until_s > now_s
        }
        return tuple(self._held_by_key.values())

    def hold(self, held: HeldStoredRow) -> None:
        """Keep a row that another instance holds, for as long as that."""
        self._held_by_key.setdefault(held.row.key.key, held)
