"""Fake the platform's row store in memory."""

import asyncio
from bisect import bisect_right
from collections import deque
from enum import Enum

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.gateway.storage.rows import RowConflict
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import RowsRejected
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.gateway.storage.rows import TransactionLimits
from jackdawfield.gateway.storage.transactions import is_within

MAX_ENTRIES = 100
MAX_BODY_BYTES = 1_000_000


class StoreFault(Enum):
    """Lists the faults that can be injected into one call.

    A read fails on any fault. A transaction is not applied under UNAVAILABLE;
    under ANSWER_LOST it is applied without a known outcome, unless it
    conflicts; HISTORY_GONE has no effect on it. A wait for changes fails on
    any fault, under HISTORY_GONE with a request to read the table again.
    """

    NONE = 'none'
    UNAVAILABLE = 'away'
    ANSWER_LOST = 'answer lost'
    HISTORY_GONE = 'history gone'


class MemoryRowStore:
    """Holds rows under one version counter, and a queue of injected faults.

    Each call takes the next fault of the queue, where NONE lets it succeed.
    Timeouts of transactions are ignored.
    """

    def __init__(self) -> None:
        self.limits = TransactionLimits(MAX_ENTRIES, MAX_BODY_BYTES)
        self.rows_by_key: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.injected_faults: deque[StoreFault] = deque()
        self.transactions: list[RowTransaction] = []
        self.read_count = 0
        # One entry for each row written or removed, by ascending version.
        self._history: list[StoredRow] = []
        self._changed = asyncio.Event()

    def _take_fault(self) -> StoreFault:
        return (
            self.injected_faults.popleft()
            if self.injected_faults
            else StoreFault.NONE
        )

    def put(self, key: RowKey, value: bytes) -> None:
        """Write a row unconditionally, as operators and the platform do."""
        self._apply(RowTransaction((), ((key, value),)))

    def remove(self, key: RowKey) -> None:
        """Remove a row unconditionally, as the platform does."""
        self._apply(RowTransaction((), (), (key,)))

    async def read(
        self, table: str, part: str, start_key: str = '', end_key: str = ''
    ) -> Result[RowsRead, StoreError]:
        """Return the rows with start_key <= key < end_key, sorted by key.

        An empty end_key means that the range has no end.
        """
        self.read_count += 1
        if self._take_fault() is not StoreFault.NONE:
            return Err(StoreError('the store is away'))
        rows = [
            row
            for key, row in self.rows_by_key.items()
            if key.table == table
            and key.part == part
            and key.key >= start_key
            and (not end_key or key.key < end_key)
        ]
        rows.sort(key=lambda row: row.key.key)
        return Ok(RowsRead(tuple(rows), self.version))

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Apply a transaction if all rows have the expected versions."""
        self.transactions.append(transaction)
        if not is_within(self.limits, transaction):
            return RowsRejected('the transaction is too large')
        fault = self._take_fault()
        if fault is StoreFault.UNAVAILABLE:
            return NotApplied('the store is away')
        if not self._has_expected_versions(transaction):
            return self._conflict(transaction)
        self._apply(transaction)
        if fault is StoreFault.ANSWER_LOST:
            return OutcomeUnknown('answer lost')
        return Committed(self.version)

    def _has_expected_versions(self, transaction: RowTransaction) -> bool:
        return all(
            self._version_of(key) == version
            for key, version in transaction.expected
        )

    def _version_of(self, key: RowKey) -> int:
        row = self.rows_by_key.get(key)
        return row.version if row is not None else 0

    def _conflict(self, transaction: RowTransaction) -> RowConflict:
        rows = (self.rows_by_key.get(key) for key, _ in transaction.expected)
        return RowConflict(tuple(row for row in rows if row is not None))

    def _apply(self, transaction: RowTransaction) -> None:
        self.version += 1
        for key, value in transaction.puts:
            row = StoredRow(key, value, self.version)
            self.rows_by_key[key] = row
            self._history.append(row)
        for key in transaction.removes:
            self.rows_by_key.pop(key, None)
            self._history.append(StoredRow(key, None, self.version))
        # Wakes the present waiters; later ones wait on the new event.
        self._changed.set()
        self._changed = asyncio.Event()

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, or wait for a change.

        After wait_s without any, return no rows. A row that changed several
        times is returned once for each change.
        """
        fault = self._take_fault()
        if fault is StoreFault.HISTORY_GONE:
            return Err(StoreError('history is gone', history_gone=True))
        if fault is not StoreFault.NONE:
            return Err(StoreError('the store is away'))
        try:
            async with asyncio.timeout(wait_s):
                while not (rows := self._changed_since(table, after_version)):
                    await self._changed.wait()
        except TimeoutError:
            # A change may have come with the end of the wait.
            rows = self._changed_since(table, after_version)
        return Ok(RowsChanged(rows, self.version))

    def _changed_since(
        self, table: str, after_version: int
    ) -> tuple[StoredRow, ...]:
        first = bisect_right(
            self._history, after_version, key=lambda row: row.version
        )
        return tuple(
            row for row in self._history[first:] if row.key.table == table
        )
