"""Keep a followed table and its latest changes for other instances."""

import asyncio
from collections import deque

from jackdawfield.gateway.storage.rows import StoredRow

# Changes kept for followers that were away for a moment; one that misses more
# reads the whole table.
CHANGES_KEPT = 400


class TableLog:
    """Holds the rows of a table by key, and its latest changes in order."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, StoredRow] = {}
        self.version = -1
        # Changes after this version are complete.
        self._start_version = 0
        self._changes: deque[StoredRow] = deque()
        self._changed = asyncio.Event()

    @property
    def is_loaded(self) -> bool:
        """Return whether the table was read."""
        return self.version >= 0

    def replace(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Replace the whole table."""
        self.rows_by_key = {row.key.key: row for row in rows}
        self.version = version
        self._start_version = version
        self._changes.clear()
        self._wake()

    def extend(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Apply changed rows in their order."""
        for row in rows:
            if row.value is None:
                self.rows_by_key.pop(row.key.key, None)
            else:
                self.rows_by_key[row.key.key] = row
            self._changes.append(row)
        while len(self._changes) > CHANGES_KEPT:
            self._start_version = self._changes.popleft().version
        self.version = max(self.version, version)
        if rows:
            self._wake()

    def _wake(self) -> None:
        """Wake the present waiters; later ones wait on the new event."""
        self._changed.set()
        self._changed = asyncio.Event()

    def changes_after(self, version: int) -> tuple[StoredRow, ...] | None:
        """Return the rows changed after a version, None if not known."""
        if version < self._start_version:
            return None
        return tuple(row for row in self._changes if row.version > version)

    async def wait_for_change(self, after_version: int, wait_s: float) -> None:
        """Wait until a row changed after a version, at most for wait_s."""
        try:
            async with asyncio.timeout(wait_s):
                while self.changes_after(after_version) == ():
                    await self._changed.wait()
        except TimeoutError:
            return
