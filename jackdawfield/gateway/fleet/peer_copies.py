"""Read tables from the memory of other instances.

Their rows are copies, each with the time since which nothing has confirmed
it. An instance that starts while the store gives no answer begins with one.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
import logging

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.table_sharing import decode_rows
from jackdawfield.gateway.fleet.table_sharing import MAX_SHARED_AGE_S
from jackdawfield.gateway.storage.held_rows import HeldStoredRow
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_tables import FollowTable
from jackdawfield.messages.fleet_tables import HeldRows
from jackdawfield.messages.fleet_tables import ReadHeldRows
from jackdawfield.messages.fleet_tables import TableRows
from jackdawfield.messages.fleet_tables import WHOLE_TABLE

LOG = logging.getLogger(__name__)
# Rows up to this age serve an instance that starts during an outage of the
# store.
MAX_START_AGE_S = 60.0
# Limits for another instance to answer with a table, and with held rows.
START_TIMEOUT_S = 0.5
HELD_TIMEOUT_S = 0.2
# Instances that are asked at the same time, and in all.
ASKED_AT_ONCE = 4
MAX_ASKED = 8


@dataclass(frozen=True, slots=True)
class PeerCopy:
    """Holds a table as another instance knows it.

    `asked_at_s` is when this instance asked for it, by the boot clock.
    """

    address: str
    shared: TableRows
    asked_at_s: float

    @property
    def read_at_s(self) -> float:
        """Return since when changes may be missing, by the boot clock."""
        return self.asked_at_s - self.shared.age_s


def freshest_copy(copies: Iterable[PeerCopy]) -> PeerCopy | None:
    """Return the usable copy that was confirmed last, None without any."""
    usable = (c for c in copies if c.shared.age_s <= MAX_START_AGE_S)
    return max(usable, key=lambda copy: copy.read_at_s, default=None)


def is_followed(copy: PeerCopy) -> bool:
    """Return whether a copy is as new as one that instances follow."""
    return copy.shared.age_s <= MAX_SHARED_AGE_S


class PeerCopies:
    """Asks other instances for tables as they know them."""

    def __init__(self, members: Members, links: PeerLinks) -> None:
        self._members = members
        self._links = links

    async def read(self, table: str) -> Result[RowsRead, StoreError]:
        """Return the freshest copy of a table."""
        addresses = self._members.relay_addresses()[:MAX_ASKED]
        copy = None
        while addresses and copy is None:
            asked = addresses[:ASKED_AT_ONCE]
            addresses = addresses[ASKED_AT_ONCE:]
            copy = freshest_copy(await self._ask_all(asked, table))
        if copy is None:
            return Err(StoreError('no instance knows the table'))
        log_event(
            LOG,
            'table_from_peer',
            table=table,
            peer=copy.address,
            version=copy.shared.version,
            age_s=round(copy.shared.age_s, 2),
        )
        return Ok(
            RowsRead(
                decode_rows(table, copy.shared.rows),
                copy.shared.version,
                True,
                copy.read_at_s,
                copy.address,
                is_copy=True,
            )
        )

    async def read_held(self, table: str) -> tuple[HeldStoredRow, ...]:
        """Return the rows that others hold, as the store may forget them."""
        asked_at_s = boot_time_s()
        answers = await asyncio.gather(
            *(
                self._links.request(
                    address, ReadHeldRows(table), HELD_TIMEOUT_S
                )
                for address in self._members.relay_addresses()[:ASKED_AT_ONCE]
            )
        )
        held_by_key: dict[str, HeldStoredRow] = {}
        for answer in answers:
            match answer:
                case Ok(HeldRows(rows)):
                    for row in rows:
                        key = RowKey(table, '', row.key)
                        held_by_key[row.key] = HeldStoredRow(
                            StoredRow(key, row.value, row.version),
                            asked_at_s + row.left_s,
                        )
        return tuple(held_by_key.values())

    async def _ask_all(
        self, addresses: list[str], table: str
    ) -> list[PeerCopy]:
        """Return the copies of some instances, only one if that is new."""
        tasks = [
            asyncio.ensure_future(self._ask(address, table))
            for address in addresses
        ]
        copies = []
        try:
            for answered in asyncio.as_completed(tasks):
                copy = await answered
                if copy is None:
                    continue
                copies.append(copy)
                if is_followed(copy):
                    return [copy]
        finally:
            for task in tasks:
                task.cancel()
        return copies

    async def _ask(self, address: str, table: str) -> PeerCopy | None:
        message = FollowTable(
            table, WHOLE_TABLE, 0.0, self._members.own_address, True
        )
        asked_at_s = boot_time_s()
        found = await self._links.request(address, message, START_TIMEOUT_S)
        match found:
            case Ok(TableRows() as shared):
                return PeerCopy(address, shared, asked_at_s)
        return None
