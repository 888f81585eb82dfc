"""Follows a table of the store: all rows first, then each change."""

import asyncio
from collections.abc import Callable
import logging

from result import Err

from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.rows import RowStore
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# A change is known soon; a connection that went silent is noticed in time.
WAIT_S = 2.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5

TakeAll = Callable[[tuple[StoredRow, ...], bool], None]
TakeChanges = Callable[[tuple[StoredRow, ...], bool], None]


class TableFollower:
    """Calls back with a table's rows and their changes.

    The callbacks' second argument says whether missing rows are doubtful,
    since the store has just been away.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        take_all: TakeAll,
        take_changes: TakeChanges,
        doubt_s: float = 0.0,
        wait_s: float = WAIT_S,
        saw: Callable[[float], None] | None = None,
    ) -> None:
        self._store = store
        self.table = table
        self._take_all = take_all
        self._take_changes = take_changes
        self._doubt_s = doubt_s
        self._wait_s = wait_s
        self._saw = saw
        self._failed_at_s = float('-inf')
        self._pause_s = FIRST_PAUSE_S
        self._seen_at_s = boot_time_s()
        self.version: int | None = None

    def age_s(self) -> float:
        """Return how long ago the store was asked for what is known."""
        return boot_time_s() - self._seen_at_s

    async def run(self) -> None:
        """Follow the table for ever."""
        while True:
            if self.version is None:
                done = await self._read_all()
            else:
                done = await self._read_changes(self.version)
            if done:
                self._pause_s = FIRST_PAUSE_S
                continue
            self._failed_at_s = boot_time_s()
            await asyncio.sleep(self._pause_s)
            self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2)

    @property
    def _doubtful(self) -> bool:
        return boot_time_s() - self._failed_at_s < self._doubt_s

    async def _read_all(self) -> bool:
        asked_at_s = boot_time_s()
        found = await self._store.read(self.table, '')
        if isinstance(found, Err):
            self._log_failure(found.err_value.reason)
            return False
        self.version = found.ok_value.version
        self._take_all(found.ok_value.rows, self._doubtful)
        self._note(asked_at_s)
        return True

    async def _read_changes(self, after: int) -> bool:
        asked_at_s = boot_time_s()
        found = await self._store.changes(self.table, after, self._wait_s)
        if isinstance(found, Err):
            self._log_failure(found.err_value.reason)
            if found.err_value.history_gone:
                self.version = None
            return found.err_value.history_gone
        self.version = max(after, found.ok_value.version)
        if found.ok_value.rows:
            self._take_changes(found.ok_value.rows, self._doubtful)
        self._note(asked_at_s)
        return True

    def _note(self, asked_at_s: float) -> None:
        self._seen_at_s = asked_at_s
        if self._saw is not None:
            self._saw(asked_at_s)

    def _log_failure(self, reason: str) -> None:
        log_event(LOG, 'table_unread', table=self.table, reason=reason)
