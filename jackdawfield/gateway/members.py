"""Tells the instances of each other through a table of the store."""

import logging
import time

import msgspec

from jackdawfield.decisions.table import Committed
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.rows import RowStore
from jackdawfield.gateway.rows import RowTransaction
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.logs import log_event
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId

LOG = logging.getLogger(__name__)
MEMBERS_TABLE = 'members'
WRITE_TIMEOUT_S = 1.0


class MemberRow(msgspec.Struct, frozen=True):
    """Describes an instance to the others."""

    address: str
    domain_id: DomainId
    region_id: RegionId
    incarnation: str


class Members:
    """Holds the other instances by id."""

    def __init__(
        self, settings: GatewaySettings, store: RowStore, incarnation: str
    ) -> None:
        self._settings = settings
        self._store = store
        self.own = MemberRow(
            f'{settings.host}:{settings.peer_port}',
            settings.domain_id,
            settings.region_id,
            incarnation,
        )
        self.others_by_id: dict[InstanceId, MemberRow] = {}

    @property
    def _own_key(self) -> RowKey:
        return RowKey(MEMBERS_TABLE, '', self._settings.instance_id)

    async def join(self) -> bool:
        """Write the own row; False if the store did not take it."""
        put = (self._own_key, msgspec.msgpack.encode(self.own))
        outcome = await self._store.transact(
            RowTransaction((), (put,)), WRITE_TIMEOUT_S
        )
        return isinstance(outcome, Committed)

    async def leave(self) -> None:
        """Remove the own row."""
        transaction = RowTransaction((), (), (self._own_key,))
        await self._store.transact(transaction, WRITE_TIMEOUT_S)

    def take_all(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Take over the whole table."""
        self.others_by_id.clear()
        self.take_changes(rows, False)

    def take_changes(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Take over rows that changed."""
        for row in rows:
            instance_id = InstanceId(row.key.key)
            if instance_id == self._settings.instance_id:
                continue
            if row.value is None:
                self.others_by_id.pop(instance_id, None)
                log_event(LOG, 'member_left', instance=instance_id)
                continue
            member = msgspec.msgpack.decode(row.value, type=MemberRow)
            self.others_by_id[instance_id] = member
            log_event(
                LOG,
                'member_known',
                instance=instance_id,
                incarnation=member.incarnation,
                at_s=round(time.monotonic(), 3),
            )

    def relay_addresses(self) -> list[str]:
        """Return addresses to reach the store by, the nearest first."""
        settings = self._settings
        ranked = sorted(
            self.others_by_id.values(),
            key=lambda member: (
                member.region_id != settings.region_id,
                member.domain_id != settings.domain_id,
                member.address,
            ),
        )
        return [member.address for member in ranked]
