"""Follow a table of the store: read all rows, then each change."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace
import logging
from typing import Protocol

from result import Err
from result import Result

from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.storage.held_rows import HeldRowLog
from jackdawfield.gateway.storage.held_rows import HeldStoredRow
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.gateway.storage.table_log import TableLog
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5

SnapshotCallback = Callable[[tuple[StoredRow, ...], bool], None]
ChangesCallback = Callable[[tuple[StoredRow, ...], bool], None]
# Returns the rows of a table that other instances hold after an outage.
ReadHeld = Callable[[str], Awaitable[tuple[HeldStoredRow, ...]]]


class TableSource(Protocol):
    """Reads whole tables without parts, and waits for their changes."""

    async def read_table(self, table: str) -> Result[RowsRead, StoreError]:
        """Return all rows of a table."""
        ...

    async def await_changes(
        self, table: str, after_version: int, confirmed_at_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, or none after a while.

        It is known since confirmed_at_s that no row has changed before.
        """
        ...


class TableFollower:
    """Passes a table's rows, and then their changes, to callbacks.

    The second argument of apply_snapshot and apply_changes is true for
    recovery_s after a read failed: a row may then be missing only because the
    store was unavailable. on_confirmed gets the time at which each successful
    read of the store was sent. read_held is asked after the first read, since
    an instance that has just started knows of no outage.
    """

    def __init__(
        self,
        source: TableSource,
        table: str,
        apply_snapshot: SnapshotCallback,
        apply_changes: ChangesCallback,
        recovery_s: float = 0.0,
        on_confirmed: Callable[[float], None] | None = None,
        read_held: ReadHeld | None = None,
    ) -> None:
        self._source = source
        self.table = table
        self._apply_snapshot = apply_snapshot
        self._apply_changes = apply_changes
        self._recovery_s = recovery_s
        self._on_confirmed = on_confirmed
        self._read_held = read_held
        self.held = HeldRowLog(recovery_s)
        self._failed_at_s = float('-inf')
        self._backoff_s = MIN_BACKOFF_S
        self._confirmed_at_s = boot_time_s()
        self.version: int | None = None
        # Who answered the last read.
        self.read_from = ''
        self.log = TableLog()
        self._confirmed = asyncio.Event()

    def age_s(self) -> float:
        """Return the time since which changes may have been missed."""
        return boot_time_s() - self._confirmed_at_s

    async def wait_for_confirmation(self, since_s: float) -> None:
        """Wait until the rows are known as of a time, by the boot clock."""
        while self._confirmed_at_s < since_s:
            await self._confirmed.wait()

    async def wait_for_news(self, after_version: int, wait_s: float) -> None:
        """Wait until a row changed after a version, or none has until now.

        Return after wait_s in any case.
        """
        changed = asyncio.ensure_future(
            self.log.wait_for_change(after_version, wait_s)
        )
        confirmed = asyncio.ensure_future(
            self.wait_for_confirmation(boot_time_s())
        )
        tasks = (changed, confirmed)
        try:
            await asyncio.wait(
                tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in tasks:
                task.cancel()

    async def run(self) -> None:
        """Follow the table until cancelled; begin with all of its rows."""
        self.version = None
        while True:
            if self.version is None:
                done = await self._read_all()
            else:
                done = await self._read_changes(self.version)
            if done:
                self._backoff_s = MIN_BACKOFF_S
                continue
            self._failed_at_s = boot_time_s()
            await asyncio.sleep(self._backoff_s)
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    @property
    def is_recovering(self) -> bool:
        """Return whether a read failed within the recovery time."""
        return boot_time_s() - self._failed_at_s < self._recovery_s

    async def _read_all(self) -> bool:
        asked_at_s = boot_time_s()
        found = await self._source.read_table(self.table)
        if isinstance(found, Err):
            self._log_failure(found.err_value.reason)
            return False
        read = found.ok_value
        if read.is_copy:
            # The store may forget rows until it answers again.
            self._failed_at_s = asked_at_s
        self._record_source(read.source)
        self.version = read.version
        is_first = not self.log.is_loaded
        after_outage = self.is_recovering or read.after_outage
        listed = {row.key.key for row in read.rows}
        if after_outage:
            self._hold(self.log.rows_by_key.keys() - listed)
        self.held.note_present(listed)
        self.log.replace(read.rows, read.version)
        self._apply_snapshot(read.rows, after_outage)
        self._record_confirmation(read.read_at_s or asked_at_s)
        if is_first and self._read_held is not None:
            self._take_held(await self._read_held(self.table))
        return True

    def _hold(self, removed: Iterable[str]) -> None:
        """Keep rows that are missing since an outage, for other instances."""
        self.held.note_removed(self.log.rows_by_key, removed, boot_time_s())

    def _take_held(self, held_rows: tuple[HeldStoredRow, ...]) -> None:
        """Use rows that others hold until they return or count as gone."""
        taken = tuple(
            held
            for held in held_rows
            if held.row.key.key not in self.log.rows_by_key
        )
        if not taken:
            return
        log_event(LOG, 'rows_held_by_peers', table=self.table, rows=len(taken))
        self._apply_changes(tuple(held.row for held in taken), True)
        loop = asyncio.get_running_loop()
        for held in taken:
            self.held.hold(held)
            left_s = held.until_s - boot_time_s()
            loop.call_later(max(0.0, left_s), self._drop_if_missing, held.row)

    def _drop_if_missing(self, row: StoredRow) -> None:
        if row.key.key not in self.log.rows_by_key:
            self._apply_changes((replace(row, value=None),), False)

    async def _read_changes(self, after_version: int) -> bool:
        asked_at_s = boot_time_s()
        found = await self._source.await_changes(
            self.table, after_version, self._confirmed_at_s
        )
        if isinstance(found, Err):
            self._log_failure(found.err_value.reason)
            # Without the history, the whole table is read at once.
            if found.err_value.history_gone:
                self.version = None
            return found.err_value.history_gone
        changed = found.ok_value
        self._record_source(changed.source)
        self.version = max(after_version, changed.version)
        after_outage = self.is_recovering or changed.after_outage
        if after_outage:
            self._hold(row.key.key for row in changed.rows if not row.value)
        self.held.note_present(r.key.key for r in changed.rows if r.value)
        self.log.extend(changed.rows, self.version)
        if changed.rows:
            self._apply_changes(changed.rows, after_outage)
        self._record_confirmation(changed.read_at_s or asked_at_s)
        return True

    def _record_source(self, source: str) -> None:
        if source == self.read_from:
            return
        log_event(
            LOG,
            'table_source',
            table=self.table,
            source=source,
            before=self.read_from,
            unconfirmed_s=round(self.age_s(), 2),
        )
        self.read_from = source

    def _record_confirmation(self, read_at_s: float) -> None:
        self._confirmed_at_s = read_at_s
        self._confirmed.set()
        self._confirmed = asyncio.Event()
        if self._on_confirmed is not None:
            self._on_confirmed(read_at_s)

    def _log_failure(self, reason: str) -> None:
        log_event(
            LOG,
            'table_unread',
            table=self.table,
            reason=reason,
            unconfirmed_s=round(self.age_s(), 2),
        )
