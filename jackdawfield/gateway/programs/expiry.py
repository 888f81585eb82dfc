"""Remove the rows of programs that are past their retention."""

from dataclasses import replace
import logging
import time

from result import Err

from jackdawfield.decisions.table import Committed
from jackdawfield.gateway.programs.ledger import decode_row
from jackdawfield.gateway.programs.ledger import ledger_key
from jackdawfield.gateway.programs.ledger import limits_beside_ledger
from jackdawfield.gateway.programs.retention import ExpiringRows
from jackdawfield.gateway.programs.retention import is_expired
from jackdawfield.gateway.programs.retention import RetentionQueue
from jackdawfield.gateway.programs.turn_rows import read_program
from jackdawfield.gateway.storage.rows import read_row
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.transactions import key_bytes
from jackdawfield.gateway.storage.transactions import split_entries
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
REMOVE_TIMEOUT_S = 0.8


class RowExpiry:
    """Removes the rows that this instance wrote once they have expired."""

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._queue = RetentionQueue()

    def add(self, rows: ExpiringRows) -> None:
        """Schedule the removal of rows that were written now."""
        self._queue.add(rows, time.time())

    async def remove_expired(self) -> None:
        """Remove the rows of programs that are past their retention."""
        now_s = time.time()
        for rows in self._queue.pop_due(now_s):
            key = ledger_key(rows.program)
            read = await read_row(self._store, key)
            if isinstance(read, Err):
                self._queue.add(rows, now_s)
                continue
            found = read.ok_value
            version = found.version if found else 0
            active_s: float | None = decode_row(
                found.value if found else None
            ).active_s
            if not version:
                active_s = await self._last_turn_s(rows)
            if active_s is None:
                self._queue.add(rows, now_s)
                continue
            if not is_expired(active_s, rows.retention_s, now_s):
                self._queue.add(rows, active_s)
                continue
            await self._remove(rows, key, version)

    async def _last_turn_s(self, rows: ExpiringRows) -> float | None:
        """Return when a program without a budget made its last turn.

        The result is None if the store was not read, 0 without a turn.
        """
        if not rows.keys:
            return 0.0
        read = await read_program(self._store, rows.program)
        if isinstance(read, Err):
            return None
        kept_until_s = [
            record.kept_until_s for record in read.ok_value.values()
        ]
        return max(kept_until_s, default=0.0) - rows.retention_s

    async def _remove(
        self, rows: ExpiringRows, key: RowKey, version: int
    ) -> None:
        """Remove a program's rows, those with which turns are read first.

        The ledger is removed with the last ones. Each removal requires that
        it has not changed.
        """
        limits = limits_beside_ledger(self._store.limits)
        ordered = tuple(reversed(rows.keys))
        batches = list(split_entries(ordered, limits, key_bytes)) or [()]
        if version:
            batches[-1] += (key,)
        for number, removes in enumerate(batches):
            if not removes:
                return
            transaction = RowTransaction(((key, version),), (), removes)
            outcome = await self._store.transact(transaction, REMOVE_TIMEOUT_S)
            log_event(
                LOG,
                'turns_removed',
                program=rows.program.text,
                rows=len(removes),
                outcome=type(outcome).__name__,
            )
            if not isinstance(outcome, Committed):
                done = sum(map(len, batches[:number]))
                left = rows.keys[: len(rows.keys) - done]
                self.add(replace(rows, keys=left))
                return
