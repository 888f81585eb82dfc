"""Write turns to the store, together with their programs' budgets."""

import asyncio
from dataclasses import replace
import logging
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
from jackdawfield.gateway.programs.retention import CHAIN_MARGIN_S
from jackdawfield.gateway.programs.retention import ExpiringRows
from jackdawfield.gateway.programs.retention import MAX_KEYS_PER_WRITE
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turns import encode_turn
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.storage.backoff import backoff_delays_s
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)


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
        puts = encode_turn(record, self._row_bytes)
        self._expire(program, puts, record)
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
        rows: list[tuple[RowKey, bytes]] = []
        for copy in copies:
            # Without an index row: the turn that needs a copy names it.
            rows += encode_turn(copy, self._row_bytes)[:-1]
        for start in range(0, len(rows), MAX_KEYS_PER_WRITE):
            puts = tuple(rows[start : start + MAX_KEYS_PER_WRITE])
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
            if isinstance(outcome, Committed):
                return True
            await asyncio.sleep(next(delays_s))
        return False
