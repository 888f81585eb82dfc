"""Answer the instances that follow tables through this one."""

from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import HeldRow
from jackdawfield.messages.fleet_tables import HeldRows
from jackdawfield.messages.fleet_tables import ReadHeldRows
from jackdawfield.messages.fleet_tables import SharedRow
from jackdawfield.messages.fleet_tables import TableNotFollowed
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.messages.fleet_tables import WHOLE_TABLE

# Rows that have not been confirmed for longer are not shared or used.
MAX_SHARED_AGE_S = 1.6
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
        server.handle(ReadHeldRows, self._answer_held)

    def follower_addresses(self) -> list[str]:
        """Return the addresses that follow tables through this instance."""
        now_s = boot_time_s()
        self._asked_at_s_by_address = {
            address: at_s
            for address, at_s in self._asked_at_s_by_address.items()
            if now_s - at_s < FOLLOWER_KEPT_S
        }
        return list(self._asked_at_s_by_address)

    async def _answer_held(self, message: ReadHeldRows) -> HeldRows:
        follower = self._followers_by_table.get(message.table)
        if follower is None:
            return HeldRows(())
        now_s = boot_time_s()
        return HeldRows(
            tuple(
                HeldRow(
                    held.row.key.key,
                    held.row.value or b'',
                    held.row.version,
                    held.until_s - now_s,
                )
                for held in follower.held.present(now_s)
            )
        )

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
        arrived_at_s = boot_time_s()
        await follower.wait_for_news(message.after_version, message.wait_s)
        changes = log.changes_after(message.after_version)
        if changes is None:
            return TableNotFollowed('changes not known', history_gone=True)
        held_s = boot_time_s() - arrived_at_s
        return _encode_rows(changes, follower, held_s)


def _encode_rows(
    rows: tuple[StoredRow, ...], follower: TableFollower, held_s: float = 0.0
) -> TableRows:
    shared = tuple(
        SharedRow(row.key.key, row.value, row.version) for row in rows
    )
    return TableRows(
        shared,
        follower.log.version,
        follower.age_s(),
        follower.is_recovering,
        held_s,
    )


def decode_rows(
    table: str, rows: tuple[SharedRow, ...]
) -> tuple[StoredRow, ...]:
    """Return the rows of a table that another instance has sent."""
    return tuple(
        StoredRow(RowKey(table, '', row.key), row.value, row.version)
        for row in rows
    )
