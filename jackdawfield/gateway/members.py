"""Keeps this instance's row in the table of members, and reads the others.

A row is written under its version, so that an instance that was suspended
while it was away learns of it before it acts again.
"""

import asyncio
from collections.abc import Callable
import logging
import random

import msgspec
from result import Err

from jackdawfield.decisions.placement import owner
from jackdawfield.decisions.table import Committed
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.member_rows import decode_member
from jackdawfield.gateway.member_rows import leaving
from jackdawfield.gateway.member_rows import MemberRow
from jackdawfield.gateway.member_rows import none_suspended
from jackdawfield.gateway.member_rows import suspended
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.rows import RowOutcome
from jackdawfield.gateway.rows import RowStore
from jackdawfield.gateway.rows import RowTransaction
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_rates import Ping
from jackdawfield.messages.fleet_rates import Pong
from jackdawfield.model import InstanceId

LOG = logging.getLogger(__name__)
MEMBERS_TABLE = 'members'
WRITE_TIMEOUT_S = 1.0
RETRY_S = 0.3
# Between two writes about members by one instance.
WRITE_PAUSE_S = 1.0
# An instance that has not answered for this long is checked.
SUSPECT_S = 0.8
PROBE_TIMEOUT_S = 0.4
# Others asked before one is suspended; half of them must answer.
WITNESSES = 4


class Members:
    """Holds the instances by id, with this one."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: RowStore,
        links: PeerLinks,
        incarnation: str,
    ) -> None:
        self._own_id = settings.instance_id
        self._settings = settings
        self._store = store
        self._links = links
        self.own = MemberRow(
            f'{settings.host}:{settings.peer_port}',
            settings.domain_id,
            settings.region_id,
            incarnation,
        )
        self.by_id: dict[InstanceId, MemberRow] = {}
        # The newest version of a row of the table.
        self.version = 0
        self._versions_by_id: dict[InstanceId, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._silent_since_by_id: dict[InstanceId, float] = {}
        self._checks: dict[InstanceId, asyncio.Task[None]] = {}
        self._rejoining: asyncio.Task[None] | None = None
        self._next_write_s = 0.0
        self.inherited = False
        self.first_start = False
        self.joined = False
        self.leaving = False

    def register(self, server: PeerServer) -> None:
        """Answer the pings of other instances."""
        server.handle(Ping, self._answer)

    async def _answer(self, _: Ping) -> Pong:
        return Pong(self.own.incarnation, self.version)

    async def ping(self, instance_id: InstanceId) -> Pong | None:
        """Ask an instance, and return its answer if it is the one known."""
        row = self.by_id.get(instance_id)
        if row is None:
            return None
        found = await self._links.request(row.address, Ping(), PROBE_TIMEOUT_S)
        if isinstance(found, Err):
            return None
        pong: Pong = found.ok_value
        return pong if pong.incarnation == row.incarnation else None

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the members."""
        self._listeners.append(listener)

    @property
    def others_by_id(self) -> dict[InstanceId, MemberRow]:
        """Return the other instances that serve."""
        return {
            instance_id: row
            for instance_id, row in self.by_id.items()
            if instance_id != self._own_id and row.serving
        }

    # The own row

    async def join(self) -> None:
        """Write the own row, however long the store takes."""
        while not self.leaving and not await self._try_join():
            await asyncio.sleep(RETRY_S)

    async def _try_join(self) -> bool:
        read = await self._store.read(MEMBERS_TABLE, '')
        if isinstance(read, Err):
            return False
        rows_by_id = {
            InstanceId(row.key.key): (decode_member(row.value), row.version)
            for row in read.ok_value.rows
            if row.value is not None
        }
        before, version = rows_by_id.get(self._own_id, (None, 0))
        if before is not None and before.serving:
            if before.incarnation == self.own.incarnation:
                # An earlier write whose answer was lost.
                self.joined = True
                return True
        inherited = (
            before is not None
            and before.serving
            and before.established
            and none_suspended(row for row, _ in rows_by_id.values())
        )
        first = self._settings.first_start and before is None
        self.own = msgspec.structs.replace(
            self.own, established=inherited or first
        )
        if not await self._write_own(version):
            return False
        self.inherited = inherited
        self.first_start = first
        self.joined = True
        log_event(
            LOG,
            'joined',
            incarnation=self.own.incarnation,
            inherited=self.inherited,
        )
        return True

    async def _write_own(self, version: int) -> bool:
        outcome = await self._write(self._own_id, self.own, version)
        return isinstance(outcome, Committed)

    async def _write(
        self, instance_id: InstanceId, row: MemberRow, version: int | None
    ) -> RowOutcome:
        """Write a member's row, under its version if one is given."""
        key = RowKey(MEMBERS_TABLE, '', instance_id)
        conditions = () if version is None else ((key, version),)
        put = (key, msgspec.msgpack.encode(row))
        return await self._store.transact(
            RowTransaction(conditions, (put,)), WRITE_TIMEOUT_S
        )

    async def establish(self) -> None:
        """Write that this instance's rights have outlasted older ones."""
        row = self.by_id.get(self._own_id)
        version = self._versions_by_id.get(self._own_id)
        if row is None or version is None or self.leaving:
            return
        if not row.serving or row.established:
            return
        if row.incarnation != self.own.incarnation or not self._may_write():
            return
        self.own = msgspec.structs.replace(self.own, established=True)
        established = await self._write_own(version)
        log_event(LOG, 'established', written=established)

    async def clear_suspended(self) -> None:
        """Write that the rights of suspended members are over."""
        if not self._may_write():
            return
        for instance_id in self.to_clear():
            row = self.by_id[instance_id]
            version = self._versions_by_id[instance_id]
            outcome = await self._write(instance_id, leaving(row), version)
            log_event(
                LOG,
                'member_cleared',
                instance=instance_id,
                outcome=type(outcome).__name__,
            )

    def to_clear(self) -> list[InstanceId]:
        """Return the suspended members that this instance has to clear."""
        serving = [i for i, row in self.by_id.items() if row.serving]
        return [
            instance_id
            for instance_id, row in self.by_id.items()
            if not row.serving
            and not row.left
            and owner(instance_id, serving) == self._own_id
        ]

    @property
    def unsettled(self) -> bool:
        """Return whether this instance has to write that rights settled."""
        row = self.by_id.get(self._own_id)
        if row is None or not row.serving:
            return False
        return not row.established or bool(self.to_clear())

    def _may_write(self) -> bool:
        """Return whether the last write had time to be seen here."""
        now_s = boot_time_s()
        if now_s < self._next_write_s:
            return False
        self._next_write_s = now_s + WRITE_PAUSE_S
        return True

    async def leave(self) -> None:
        """Write that this instance holds no rights, so that others do."""
        self.leaving = True
        await self._write(self._own_id, leaving(self.own), None)

    def _rejoin_if_suspended(self) -> None:
        own = self.by_id.get(self._own_id)
        if own is None or own.serving or self.leaving or not self.joined:
            return
        if own.incarnation != self.own.incarnation:
            return
        if self._rejoining is not None and not self._rejoining.done():
            return
        log_event(LOG, 'suspended', incarnation=own.incarnation)
        self._rejoining = asyncio.create_task(self.join())

    # The others' rows

    def take_all(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Take over the whole table."""
        listed = {InstanceId(row.key.key) for row in rows}
        for instance_id in self.by_id.keys() - listed:
            del self.by_id[instance_id]
        self._take(rows)

    def take_changes(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Take over rows that changed."""
        self._take(rows)

    def _take(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            self._take_row(row)
        self._rejoin_if_suspended()
        for listener in self._listeners:
            listener()

    def _take_row(self, row: StoredRow) -> None:
        instance_id = InstanceId(row.key.key)
        if row.value is None:
            self.by_id.pop(instance_id, None)
            self._versions_by_id.pop(instance_id, None)
            self.version = max(self.version, row.version)
            log_event(LOG, 'member_left', instance=instance_id)
            return
        try:
            member = decode_member(row.value)
        except msgspec.MsgspecError as error:
            log_event(LOG, 'member_unreadable', reason=error)
            return
        self.by_id[instance_id] = member
        self._versions_by_id[instance_id] = row.version
        self.version = max(self.version, row.version)
        log_event(
            LOG,
            'member_known',
            instance=instance_id,
            incarnation=member.incarnation,
            suspended=member.suspended,
            proven_dead=member.proven_dead,
            version=row.version,
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
        known = [member.address for member in ranked]
        seeds = settings.seed_addresses
        own = self.own.address
        return known + [s for s in seeds if s not in (own, *known)]

    # Instances that do not answer

    def note_answer(self, instance_id: InstanceId) -> None:
        """Note that an instance has answered."""
        self._silent_since_by_id.pop(instance_id, None)

    def note_silence(self, instance_id: InstanceId, now_s: float) -> None:
        """Note that an instance did not answer, and check it after a while."""
        since_s = self._silent_since_by_id.setdefault(instance_id, now_s)
        if now_s - since_s < SUSPECT_S or instance_id in self._checks:
            return
        task = asyncio.create_task(self._check(instance_id))
        self._checks[instance_id] = task
        task.add_done_callback(lambda _: self._checks.pop(instance_id, None))

    async def _check(self, instance_id: InstanceId) -> None:
        row = self.by_id.get(instance_id)
        version = self._versions_by_id.get(instance_id)
        if row is None or version is None or not row.serving:
            return
        proven = await self._refuses(row)
        if not proven and await self.ping(instance_id) is not None:
            self.note_answer(instance_id)
            return
        if not proven and not await self._has_witnesses(instance_id):
            log_event(LOG, 'isolated', silent=instance_id)
            return
        gone = suspended(row, proven)
        outcome = await self._write(instance_id, gone, version)
        log_event(
            LOG,
            'member_suspended',
            instance=instance_id,
            incarnation=row.incarnation,
            proven_dead=proven,
            outcome=type(outcome).__name__,
        )

    async def _refuses(self, row: MemberRow) -> bool:
        host, _, port = row.address.rpartition(':')
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def _has_witnesses(self, instance_id: InstanceId) -> bool:
        others = [
            other_id
            for other_id in self.others_by_id
            if other_id != instance_id
        ]
        asked = random.sample(others, min(WITNESSES, len(others)))
        answers = await asyncio.gather(*(self.ping(o) for o in asked))
        return 2 * (len(asked) - answers.count(None)) >= len(asked)
