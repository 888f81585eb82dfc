"""Define rows of the store, their transactions and outcomes."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown

# Names the store as the source of rows, in place of another instance.
STORE_SOURCE = 'store'


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row.

    A part is a partition of a table. The store applies the writes within one
    part in sequence.
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Holds a row as read; its value is None if it was removed."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Writes rows of one part if some rows have the expected versions.

    An expected version of 0 requires that the row does not exist.
    """

    expected: tuple[tuple[RowKey, int], ...]
    puts: tuple[tuple[RowKey, bytes], ...]
    removes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, slots=True)
class TransactionLimits:
    """Holds how much one transaction may contain.

    The entries are its expected, written and removed rows. The bytes are
    those of its request body, in which values are encoded in base64.
    """

    entries: int
    body_bytes: int


@dataclass(frozen=True, slots=True)
class RowConflict:
    """Reports that nothing was written, with the present rows."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class RowsRejected:
    """Reports that nothing was written, and never will be if sent again."""

    reason: str


RowOutcome = (
    Committed | RowConflict | RowsRejected | NotApplied | OutcomeUnknown
)


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Holds the rows of a range, all as of one version of the store.

    After an outage, rows may be missing only because the store was
    unavailable.
    """

    rows: tuple[StoredRow, ...]
    version: int
    after_outage: bool = False
    # When the read of the store was sent, if not when it was asked for.
    read_at_s: float | None = None
    # Who was asked, for the logs.
    source: str = STORE_SOURCE
    # Another instance remembers the rows; the store gave no answer.
    is_copy: bool = False


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Holds the rows that changed up to a version.

    After an outage, rows may have been removed only because the store was
    unavailable.
    """

    rows: tuple[StoredRow, ...]
    version: int
    after_outage: bool = False
    # When the read of the store was sent, if not when it was asked for.
    read_at_s: float | None = None
    # Who was asked, for the logs.
    source: str = STORE_SOURCE


@dataclass(frozen=True, slots=True)
class StoreError:
    """Reports that the store gave no usable answer.

    With `history_gone`, the store no longer has the changes after the given
    version, so that the whole table has to be read again.
    """

    reason: str
    history_gone: bool = False


class RowStore(Protocol):
    """Reads and writes rows; its methods may be called concurrently."""

    @property
    def limits(self) -> TransactionLimits:
        """Return the limits of one transaction."""
        ...

    async def read(
        self, table: str, part: str, start_key: str = '', end_key: str = ''
    ) -> Result[RowsRead, StoreError]:
        """Return the rows of a part with start_key <= key < end_key.

        An empty end_key means that the range has no end.
        """
        ...

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Send a transaction once, without retries; return its outcome."""
        ...

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows of a table that changed after a version.

        Without any, wait for a change, and return no rows after wait_s.
        """
        ...


async def read_row(
    store: RowStore, key: RowKey
) -> Result[StoredRow | None, StoreError]:
    """Return a row, None if it does not exist."""
    read = await store.read(key.table, key.part, key.key, key.key + '\0')
    return read.map(lambda found: found.rows[0] if found.rows else None)
