"""Defines rows of the store, their transactions and their outcomes."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown


@dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row; the rows of one part are written one after another."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Holds a row as read, value None if it was removed."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Writes rows of one part if others have the expected versions.

    Version 0 expects that a row does not exist.
    """

    expected: tuple[tuple[RowKey, int], ...]
    puts: tuple[tuple[RowKey, bytes], ...]
    removes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, slots=True)
class RowConflict:
    """Reports that nothing was written and the rows as they are."""

    rows: tuple[StoredRow, ...]


RowOutcome = Committed | RowConflict | NotApplied | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Holds the rows of a range as of one version of the store."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Holds the rows that changed up to a version."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """Reports that the store gave no usable answer."""

    reason: str
    history_gone: bool = False


class RowStore(Protocol):
    """Reads and writes rows; every method may be called at any time."""

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Result[RowsRead, StoreError]:
        """Return the rows with keys from the first to before the last."""
        ...

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Write rows, sent once, and return what is known of it."""
        ...

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, waiting for some."""
        ...


async def read_row(
    store: RowStore, key: RowKey
) -> Result[StoredRow | None, StoreError]:
    """Return a row, None if it does not exist."""
    read = await store.read(key.table, key.part, key.key, key.key + '\0')
    return read.map(lambda found: found.rows[0] if found.rows else None)
