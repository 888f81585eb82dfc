"""Write turns to the store, together with their programs' budgets."""

import asyncio
import time

from jackdawfield.decisions.table import Committed
from jackdawfield.gateway.programs.accounts import MAX_RETRY_S
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Puts
from jackdawfield.gateway.programs.accounts import RETRY_S
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.accounts import WRITE_TIMEOUT_S
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.retention import ExpiringRows
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turns import encode_turn
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.storage.backoff import backoff_delays_s
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction


class TurnStore:
    """Writes turns, in the transaction that settles their tokens."""

    def __init__(
        self,
        store: RowStore,
        accounts: ProgramAccounts,
        expiry: RowExpiry,
        row_bytes: int,
        cache: TurnCache,
    ) -> None:
        self._store = store
        self._accounts = accounts
        self._expiry = expiry
        # On the wire, base64 encodes three bytes as four.
        self._row_bytes = row_bytes * 3 // 4
        self._cache = cache

    async def commit(
        self,
        program: ProgramKey,
        record: TurnRecord,
        settled: Settle | None,
        deadline_s: float,
    ) -> bool:
        """Write a turn and settle its tokens; return whether it is durable."""
        puts = encode_turn(record, self._row_bytes)
        keys = tuple(key for key, _ in puts)
        retention_s = max(0.0, record.kept_until_s - time.time())
        self._expiry.add(ExpiringRows(program, keys, retention_s))
        if settled is None:
            stored = await self._put_rows(puts, deadline_s)
        else:
            verdict = await self._accounts.submit(
                program, settled, puts, deadline_s
            )
            stored = verdict is Verdict.FITS
        if stored:
            self._cache.add(record)
        return stored

    async def _put_rows(self, puts: Puts, deadline_s: float) -> bool:
        delays_s = backoff_delays_s(RETRY_S, MAX_RETRY_S)
        while (left_s := deadline_s - time.monotonic()) > 0:
            outcome = await self._store.transact(
                RowTransaction((), puts), min(left_s, WRITE_TIMEOUT_S)
            )
            if isinstance(outcome, Committed):
                return True
            await asyncio.sleep(next(delays_s))
        return False
