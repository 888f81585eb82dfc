"""Share followed tables within a failure domain.

The holders of seats read the store's tables themselves. The other instances
of a failure domain follow them through one of its holders, so that the calls
to the store and the bytes between regions do not grow with the fleet. An
instance whose holder does not answer, or has itself not read the store for a
while, reads the store on its own.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
import logging

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import SharedRow
from jackdawfield.messages.fleet_tables import TableNotFollowed
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.messages.fleet_tables import WHOLE_TABLE

LOG = logging.getLogger(__name__)
# Limit of one long poll. The answer comes earlier if there are changes; the
# limit bounds how long a dead connection stays undetected.
POLL_WAIT_S = 2.0
# Shorter polls of tables that others follow here: each answer confirms them.
SHARED_POLL_WAIT_S = 0.8
# Interval at which holders of seats read the members.
MEMBERS_INTERVAL_S = 0.6
FOLLOW_WAIT_S = 1.2
FOLLOW_MARGIN_S = 0.5
# Rows of a holder that has not read the store for longer are not used.
MAX_SHARED_AGE_S = 2.0
# A holder that gave no usable answer is avoided for this long.
AVOID_S = 2.0
# Rows up to this age serve an instance that starts during an outage of the
# store, and the time in which another instance has to answer it.
MAX_START_AGE_S = 60.0
START_TIMEOUT_S = 0.5
MAX_ASKED_AT_START = 4
# A follower that has not asked for this long is forgotten.
FOLLOWER_KEPT_S = 5.0


class TableSharing:
    """Answers the instances that follow tables through this one."""

    def __init__(self) -> None:
        self._followers_by_table: dict[str, TableFollower] = {}
        self._asked_at_s_by_address: dict[str, float] = {}

    def add(self, follower: TableFollower) -> None:
        """Share the table of a follower."""
        self._followers_by_table[follower.table] = follower

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(FollowTable, self._answer)

    def follower_addresses(self) -> list[str]:
        """Return the addresses that follow tables through this instance."""
        now_s = boot_time_s()
        self._asked_at_s_by_address = {
            address: at_s
            for address, at_s in self._asked_at_s_by_address.items()
            if now_s - at_s < FOLLOWER_KEPT_S
        }
        return list(self._asked_at_s_by_address)

    async def _answer(
        self, message: FollowTable
    ) -> TableRows | TableNotFollowed:
        self._asked_at_s_by_address[message.address] = boot_time_s()
        follower = self._followers_by_table.get(message.table)
        if follower is None or not follower.log.is_loaded:
            return TableNotFollowed('not read yet')
        if follower.age_s() > MAX_SHARED_AGE_S and not message.any_age:
            return TableNotFollowed('not read for a while')
        log = follower.log
        if message.after_version == WHOLE_TABLE:
            rows: tuple[StoredRow, ...] = tuple(log.rows_by_key.values())
            return _encode_rows(rows, follower)
        await log.wait_for_change(message.after_version, message.wait_s)
        changes = log.changes_after(message.after_version)
        if changes is None:
            return TableNotFollowed('changes not known', history_gone=True)
        return _encode_rows(changes, follower)


def _encode_rows(
    rows: tuple[StoredRow, ...], follower: TableFollower
) -> TableRows:
    shared = tuple(
        SharedRow(row.key.key, row.value, row.version) for row in rows
    )
    return TableRows(
        shared, follower.log.version, follower.age_s(), follower.is_recovering
    )


class SharedTables:
    """Reads tables through a holder of the failure domain, or the store."""

    def __init__(
        self,
        store: RowStore,
        members: Members,
        links: PeerLinks,
        is_followed: Callable[[], bool],
    ) -> None:
        self._store = store
        self._members = members
        self._links = links
        # Whether other instances follow tables through this one.
        self._is_followed = is_followed
        self._avoided_until_s_by_seat: dict[SeatId, float] = {}
        # The holder that was asked last.
        self._last_holder = ''
        # The tables that were read from the store or a holder.
        self._read_tables: set[str] = set()

    async def read_table(self, table: str) -> Result[RowsRead, StoreError]:
        """Return all rows of a table."""
        asked_at_s = boot_time_s()
        found = await self._ask_holder(table, WHOLE_TABLE)
        match found:
            case TableRows() as shared:
                self._read_tables.add(table)
                rows = _decode_rows(table, shared.rows)
                return Ok(
                    RowsRead(
                        rows,
                        shared.version,
                        shared.after_outage,
                        asked_at_s - shared.age_s,
                        self._last_holder,
                    )
                )
        read = await self._store.read(table, '')
        if isinstance(read, Err) and table not in self._read_tables:
            known = await self._ask_any(table)
            if known is not None:
                return Ok(known)
        if isinstance(read, Ok):
            self._read_tables.add(table)
        return read

    async def _ask_any(self, table: str) -> RowsRead | None:
        """Return a table as another instance knows it, None if none does.

        An instance that starts during an outage has no rows of its own.
        """
        message = FollowTable(
            table, WHOLE_TABLE, 0.0, self._members.own_address, True
        )
        addresses = self._members.relay_addresses()
        for address in addresses[:MAX_ASKED_AT_START]:
            asked_at_s = boot_time_s()
            found = await self._links.request(
                address, message, START_TIMEOUT_S
            )
            match found:
                case Ok(TableRows() as shared):
                    pass
                case _:
                    continue
            if shared.age_s <= MAX_START_AGE_S:
                log_event(
                    LOG,
                    'table_from_peer',
                    table=table,
                    peer=address,
                    age_s=round(shared.age_s, 2),
                )
                rows = _decode_rows(table, shared.rows)
                read_at_s = asked_at_s - shared.age_s
                return RowsRead(rows, shared.version, True, read_at_s, address)
        return None

    async def await_changes(
        self, table: str, after_version: int
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, or none after a while."""
        asked_at_s = boot_time_s()
        found = await self._ask_holder(table, after_version)
        match found:
            case TableRows() as shared:
                rows = _decode_rows(table, shared.rows)
                return Ok(
                    RowsChanged(
                        rows,
                        shared.version,
                        shared.after_outage,
                        asked_at_s - shared.age_s,
                        self._last_holder,
                    )
                )
            case TableNotFollowed(history_gone=True):
                return Err(StoreError('changes not known', history_gone=True))
        is_holder = self._members.own_seat is not None
        if is_holder and table == MEMBERS_TABLE:
            return await self._read_members_again(after_version)
        is_shared = is_holder and self._is_followed()
        wait_s = SHARED_POLL_WAIT_S if is_shared else POLL_WAIT_S
        return await self._store.changes(table, after_version, wait_s)

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
        self, table: str, after_version: int
    ) -> TableRows | TableNotFollowed | None:
        """Return a holder's answer, None if there is none to use."""
        seat_id = self._choose_holder()
        if seat_id is None:
            return None
        self._last_holder = seat_id
        wait_s = 0.0 if after_version == WHOLE_TABLE else FOLLOW_WAIT_S
        found = await self._links.request(
            self._members.rows_by_seat[seat_id].address,
            FollowTable(
                table, after_version, wait_s, self._members.own_address
            ),
            wait_s + FOLLOW_MARGIN_S,
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


def _decode_rows(
    table: str, rows: tuple[SharedRow, ...]
) -> tuple[StoredRow, ...]:
    return tuple(
        StoredRow(RowKey(table, '', row.key), row.value, row.version)
        for row in rows
    )
