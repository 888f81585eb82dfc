"""Count and time the calls to the store, by kind and answer."""

import time

from result import Err
from result import Result

from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.gateway.storage.rows import TransactionLimits

ANSWERED = 'answered'
HISTORY_GONE = 'history gone'
NOT_ANSWERED = 'not answered'


class MeasuredStore:
    """Wraps a store of rows and records metrics of its calls."""

    def __init__(self, store: RowStore, metrics: GatewayMetrics) -> None:
        self._store = store
        self._metrics = metrics

    @property
    def limits(self) -> TransactionLimits:
        """Return the limits of one transaction."""
        return self._store.limits

    async def read(
        self, table: str, part: str, start_key: str = '', end_key: str = ''
    ) -> Result[RowsRead, StoreError]:
        """Return the rows of a part with start_key <= key < end_key."""
        started_s = time.monotonic()
        found = await self._store.read(table, part, start_key, end_key)
        self._record('read', _answer_label(found), started_s)
        return found

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Send a transaction once, without retries; return its outcome."""
        started_s = time.monotonic()
        outcome = await self._store.transact(transaction, timeout_s)
        self._record('write', type(outcome).__name__, started_s)
        return outcome

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, or wait for a change."""
        started_s = time.monotonic()
        found = await self._store.changes(table, after_version, wait_s)
        self._record('changes', _answer_label(found), started_s)
        return found

    def _record(self, kind: str, answer: str, started_s: float) -> None:
        elapsed_s = time.monotonic() - started_s
        self._metrics.record_store_call(kind, answer, elapsed_s)


def _answer_label(found: Result[object, StoreError]) -> str:
    if not isinstance(found, Err):
        return ANSWERED
    return HISTORY_GONE if found.err_value.history_gone else NOT_ANSWERED
