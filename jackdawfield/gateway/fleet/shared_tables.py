"""Share followed tables within a failure domain.

The holders of seats read the store's tables themselves. The other instances
of a failure domain follow them through one of its holders, so that the calls
to the store and the bytes between regions do not grow with the fleet. An
instance whose holder does not answer, or has itself not read the store for a
while, reads the store on its own.
"""

import asyncio
from contextlib import suppress
from dataclasses import replace
from functools import partial
import logging

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.peer_copies import PeerCopies
from jackdawfield.gateway.fleet.peer_copies import START_TIMEOUT_S
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.fleet.table_sharing import decode_rows
from jackdawfield.gateway.fleet.table_sharing import MAX_SHARED_AGE_S
from jackdawfield.gateway.hedging import first_answer
from jackdawfield.gateway.hedging import Source
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import TableNotFollowed
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.messages.fleet_tables import WHOLE_TABLE

LOG = logging.getLogger(__name__)
# Limit of one long poll of the store, whose answer confirms a table.
POLL_WAIT_S = 1.2
# A table that nobody has confirmed for this long is read from the store; an
# answer that is still awaited is given up. Changes that the store has
# acknowledged are known after this time and that of one read.
MAX_UNCONFIRMED_S = MAX_SHARED_AGE_S
# Interval at which holders of seats read the members.
MEMBERS_INTERVAL_S = 0.6
# A holder answers once it has confirmed a table, or after this time.
FOLLOW_WAIT_S = 1.6
# Limit of the time in which a holder answers with a whole table.
WHOLE_TABLE_LIMIT_S = 0.5
# A holder that gave no usable answer is avoided for this long.
AVOID_S = 2.0
# Time left to act on a holder that is silent until a table is overdue.
ANSWER_MARGIN_S = 0.05
# An instance that starts asks others if the store has not answered within
# this time.
STORE_OVERDUE_S = 0.3


class SharedTables:
    """Reads tables through a holder of the failure domain, or the store."""

    def __init__(
        self,
        store: RowStore,
        members: Members,
        links: PeerLinks,
    ) -> None:
        self._store = store
        self._members = members
        self._links = links
        self._avoided_until_s_by_seat: dict[SeatId, float] = {}
        # The tables that were read from the store or a holder.
        self._read_tables: set[str] = set()
        self.copies = PeerCopies(members, links)
        # Reads of the store that are not waited for any more.
        self._reads: set[asyncio.Task[Result[RowsRead, StoreError]]] = set()

    async def read_table(self, table: str) -> Result[RowsRead, StoreError]:
        """Return all rows of a table."""
        asked_at_s = boot_time_s()
        seat_id = self._choose_holder()
        found = None
        if seat_id is not None:
            found = await self._ask_holder(seat_id, table, WHOLE_TABLE)
        match found:
            case TableRows() as shared:
                self._read_tables.add(table)
                rows = decode_rows(table, shared.rows)
                return Ok(
                    RowsRead(
                        rows,
                        shared.version,
                        shared.after_outage,
                        asked_at_s - shared.age_s,
                        str(seat_id),
                    )
                )
        if table in self._read_tables:
            return await self._store.read(table, '')
        read = await self._read_first(table)
        if isinstance(read, Ok) and not read.ok_value.is_copy:
            self._read_tables.add(table)
        return read

    async def _read_first(self, table: str) -> Result[RowsRead, StoreError]:
        """Return a table as the store has it, or another instance's copy.

        An instance that starts has no rows of its own. A store that does not
        answer at once is read on, since the loss of it is detected by that.
        """
        reading = asyncio.create_task(self._store.read(table, ''))
        self._reads.add(reading)
        reading.add_done_callback(self._reads.discard)
        sources = (
            Source(lambda: asyncio.shield(reading), STORE_OVERDUE_S),
            Source(partial(self.copies.read, table), START_TIMEOUT_S),
        )
        found = await first_answer(sources)
        return found.map_err(lambda errors: errors[0])

    async def await_changes(
        self, table: str, after_version: int, confirmed_at_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, or none after a while.

        If nothing confirms the table in time, the store is asked at once, and
        an answer that is still waited for is given up.
        """
        overdue_s = confirmed_at_s + MAX_UNCONFIRMED_S - boot_time_s()
        if overdue_s > ANSWER_MARGIN_S:
            with suppress(TimeoutError):
                async with asyncio.timeout(overdue_s):
                    return await self._await_next(
                        table, after_version, overdue_s - ANSWER_MARGIN_S
                    )
        if self._reads_members(table):
            return await self._read_members(after_version)
        return await self._poll_store(table, after_version)

    def _reads_members(self, table: str) -> bool:
        """Return whether a table's rows confirm ownerships here.

        Such a table is read whole: a wait for changes may miss some.
        """
        return table == MEMBERS_TABLE and self._members.own_seat is not None

    async def _await_next(
        self, table: str, after_version: int, limit_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Wait for the answer of a holder, or of the store without one."""
        seat_id = self._choose_holder()
        if seat_id is not None:
            return await self._await_holder(
                seat_id, table, after_version, limit_s
            )
        if self._reads_members(table):
            return await self._read_members_again(after_version)
        return await self._poll_store(table, after_version, POLL_WAIT_S)

    async def _await_holder(
        self,
        seat_id: SeatId,
        table: str,
        after_version: int,
        limit_s: float,
    ) -> Result[RowsChanged, StoreError]:
        """Wait for a holder's answer; ask the store if it gives none."""
        asked_at_s = boot_time_s()
        found = await self._ask_holder(seat_id, table, after_version, limit_s)
        match found:
            case TableRows() as shared:
                rows = decode_rows(table, shared.rows)
                return Ok(
                    RowsChanged(
                        rows,
                        shared.version,
                        shared.after_outage,
                        asked_at_s + shared.held_s - shared.age_s,
                        seat_id,
                    )
                )
            case TableNotFollowed(history_gone=True):
                return Err(StoreError('changes not known', history_gone=True))
        return await self._poll_store(table, after_version)

    async def _poll_store(
        self, table: str, after_version: int, wait_s: float = 0.0
    ) -> Result[RowsChanged, StoreError]:
        """Ask the store for changes, and wait for the first one for wait_s."""
        asked_at_s = boot_time_s()
        found = await self._store.changes(table, after_version, wait_s)
        if isinstance(found, Err) or found.ok_value.rows:
            return found
        # Without a change, the store answers at the end of the wait.
        answered_at_s = boot_time_s()
        read_at_s = min(asked_at_s + wait_s, answered_at_s)
        return Ok(replace(found.ok_value, read_at_s=read_at_s))

    async def _read_members_again(
        self, after_version: int
    ) -> Result[RowsChanged, StoreError]:
        """Read the members, which confirms the view.

        That is after an interval, or at once if they have been written.
        """
        read_wanted = self._members.read_wanted
        with suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_INTERVAL_S):
                await read_wanted.wait()
        read_wanted.clear()
        return await self._read_members(after_version)

    async def _read_members(
        self, after_version: int
    ) -> Result[RowsChanged, StoreError]:
        read_at_s = boot_time_s()
        read = await self._store.read(MEMBERS_TABLE, '')
        if isinstance(read, Err):
            return read
        found = read.ok_value
        # Rows of members are never removed.
        changed = tuple(
            row for row in found.rows if row.version > after_version
        )
        return Ok(RowsChanged(changed, found.version, read_at_s=read_at_s))

    async def _ask_holder(
        self,
        seat_id: SeatId,
        table: str,
        after_version: int,
        limit_s: float = WHOLE_TABLE_LIMIT_S,
    ) -> TableRows | TableNotFollowed | None:
        """Return a holder's answer, None if there is none to use in time."""
        wait_s = 0.0 if after_version == WHOLE_TABLE else FOLLOW_WAIT_S
        found = await self._links.request(
            self._members.rows_by_seat[seat_id].address,
            FollowTable(
                table, after_version, wait_s, self._members.own_address
            ),
            limit_s,
        )
        match found:
            case Ok(TableRows() as rows) if rows.age_s <= MAX_SHARED_AGE_S:
                return rows
            case Ok(TableNotFollowed(history_gone=True) as answer):
                return answer
            case Ok(TableNotFollowed(reason)):
                pass
            case Err(error):
                reason = error.reason
            case _:
                reason = 'not read for a while'
        self._avoided_until_s_by_seat[seat_id] = boot_time_s() + AVOID_S
        log_event(
            LOG, 'holder_avoided', seat=seat_id, table=table, reason=reason
        )
        return None

    def _choose_holder(self) -> SeatId | None:
        if self._members.own_seat is not None:
            return None
        now_s = boot_time_s()
        for seat_id in self._members.seats_in_own_domain():
            if self._avoided_until_s_by_seat.get(seat_id, 0.0) <= now_s:
                return seat_id
        return None
