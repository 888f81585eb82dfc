"""Write turns to the store, together with their programs' budgets."""

import asyncio
from dataclasses import replace
import logging
import time

from jackdawfield.decisions.table import Committed
from jackdawfield.gateway.programs.accounts import MAX_RETRY_S
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import RETRY_S
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.accounts import WRITE_TIMEOUT_S
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.ledger import limits_beside_ledger
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.retention import CHAIN_MARGIN_S
from jackdawfield.gateway.programs.retention import ExpiringRows
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turns import encode_turn
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.storage.backoff import backoff_delays_s
from jackdawfield.gateway.storage.rows import RowsRejected
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import TransactionLimits
from jackdawfield.gateway.storage.transactions import put_bytes
from jackdawfield.gateway.storage.transactions import Puts
from jackdawfield.gateway.storage.transactions import split_entries
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# A transaction of this size reaches the store in time over a slow link.
MAX_WRITE_BYTES = 524_288


def copies_of(
    chain: tuple[TurnRecord, ...], record: TurnRecord
) -> tuple[TurnRecord, ...]:
    """Return copies of the ancestors that may be removed before a turn.

    Those of its own program are stored for as long as that is in use.
    """
    ending = [
        ancestor
        for ancestor in chain
        if ancestor.program != record.program
        and ancestor.kept_until_s + CHAIN_MARGIN_S < record.kept_until_s
    ]
    copied_ids = {ancestor.turn_id for ancestor in ending}
    return tuple(
        replace(
            ancestor,
            program=record.program,
            parent_program=(
                record.program
                if ancestor.parent_id in copied_ids
                else ancestor.parent_program
            ),
            kept_until_s=record.kept_until_s,
        )
        for ancestor in ending
    )


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
        chain: tuple[TurnRecord, ...] = (),
    ) -> bool:
        """Write a turn and settle its tokens; return whether it is durable.

        The chain are its ancestors. They are stored for as long as the turn.
        """
        copies = copies_of(chain, record)
        if not await self._put_copies(program, copies, deadline_s):
            return False
        if copies and copies[-1].turn_id == record.parent_id:
            record = replace(record, parent_program=record.program)
        rows = encode_turn(record, self._row_bytes)
        self._expire(program, rows, record)
        *earlier, puts = self._split_turn(rows)
        for batch in earlier:
            if not await self._put_rows(batch, deadline_s):
                return False
        if settled is None:
            stored = await self._put_rows(puts, deadline_s)
        else:
            verdict = await self._accounts.submit(
                program, settled, puts, deadline_s
            )
            stored = verdict is Verdict.FITS
        if stored:
            for kept in (*copies, record):
                self._cache.add(kept)
        return stored

    def _split_turn(self, rows: Puts) -> list[Puts]:
        """Return a turn's rows in the transactions that write them, in order.

        The last one holds the rows with which the turn can be read.
        """
        batches = list(split_entries(rows, self._write_limits, put_bytes))
        if len(batches) == 1:
            return batches
        earlier = split_entries(rows[:-2], self._write_limits, put_bytes)
        return [*earlier, rows[-2:]]

    @property
    def _write_limits(self) -> TransactionLimits:
        limits = limits_beside_ledger(self._store.limits)
        body_bytes = min(limits.body_bytes, MAX_WRITE_BYTES)
        return replace(limits, body_bytes=body_bytes)

    def _expire(
        self, program: ProgramKey, puts: Puts, record: TurnRecord
    ) -> None:
        """Schedule the removal of rows that are written with a turn."""
        keys = tuple(key for key, _ in puts)
        retention_s = max(0.0, record.kept_until_s - time.time())
        self._expiry.add(ExpiringRows(program, keys, retention_s))

    async def _put_copies(
        self,
        program: ProgramKey,
        copies: tuple[TurnRecord, ...],
        deadline_s: float,
    ) -> bool:
        """Write copies of earlier turns; return whether they are durable."""
        rows: Puts = ()
        for copy in copies:
            # Without an index row: the turn that needs a copy names it.
            rows += encode_turn(copy, self._row_bytes)[:-1]
        for puts in split_entries(rows, self._write_limits, put_bytes):
            self._expire(program, puts, copies[0])
            if not await self._put_rows(puts, deadline_s):
                return False
        if copies:
            log_event(
                LOG, 'turns_copied', program=program.text, turns=len(copies)
            )
        return True

    async def _put_rows(self, puts: Puts, deadline_s: float) -> bool:
        delays_s = backoff_delays_s(RETRY_S, MAX_RETRY_S)
        while (left_s := deadline_s - time.monotonic()) > 0:
            outcome = await self._store.transact(
                RowTransaction((), puts), min(left_s, WRITE_TIMEOUT_S)
            )
            match outcome:
                case Committed():
                    return True
                case RowsRejected(reason):
                    log_event(
                        LOG, 'turn_rejected', logging.ERROR, reason=reason
                    )
                    return False
            await asyncio.sleep(next(delays_s))
        return False
