"""Maintain this instance's row in the table of members and read the others.

A row is written only under the version that was read, so that an instance
that was suspended while unreachable detects it before it acts again. Only an
instance that leaves writes its row under any version.
"""

import asyncio
from collections.abc import Callable
import logging
import random

import msgspec
from result import Err

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.table import Committed
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_rows import decode_member
from jackdawfield.gateway.fleet.member_rows import mark_left
from jackdawfield.gateway.fleet.member_rows import mark_suspended
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.member_rows import no_takeover_pending
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_rates import Ping
from jackdawfield.messages.fleet_rates import Pong
from jackdawfield.model import InstanceId

LOG = logging.getLogger(__name__)
MEMBERS_TABLE = 'members'
WRITE_TIMEOUT_S = 1.0
JOIN_RETRY_S = 0.3
# Minimum time between two writes to the table by one instance.
WRITE_INTERVAL_S = 1.0
# An instance is probed after it has not answered for this long.
SUSPECT_AFTER_S = 0.8
PROBE_TIMEOUT_S = 0.4
# Number of other members probed before one is suspended. If fewer than half of
# them answer, this instance is probably isolated itself and suspends nobody.
ISOLATION_PROBES = 4


class Members:
    """Holds the members of the fleet by id, this instance included."""

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
        self.own_row = MemberRow(
            f'{settings.host}:{settings.peer_port}',
            settings.domain_id,
            settings.region_id,
            incarnation,
        )
        self.rows_by_id: dict[InstanceId, MemberRow] = {}
        # The newest version of any row of the table.
        self.version = 0
        self._versions_by_id: dict[InstanceId, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._unanswered_since_by_id: dict[InstanceId, float] = {}
        self._probe_tasks_by_id: dict[InstanceId, asyncio.Task[None]] = {}
        self._rejoin_task: asyncio.Task[None] | None = None
        self._next_write_s = 0.0
        # Determined when this instance joins; Ownership explains them.
        self.inherited = False
        self.first_start = False
        self.has_joined = False
        self.is_leaving = False

    def register(self, server: PeerServer) -> None:
        """Answer the pings of other instances."""
        server.handle(Ping, self._answer_ping)

    async def _answer_ping(self, _: Ping) -> Pong:
        return Pong(self.own_row.incarnation, self.version)

    async def ping(self, instance_id: InstanceId) -> Pong | None:
        """Ping a member; None if it does not answer or has restarted."""
        row = self.rows_by_id.get(instance_id)
        if row is None:
            return None
        found = await self._links.request(row.address, Ping(), PROBE_TIMEOUT_S)
        if isinstance(found, Err):
            return None
        pong: Pong = found.ok_value
        return pong if pong.incarnation == row.incarnation else None

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each change of the members."""
        self._listeners.append(listener)

    @property
    def other_rows_by_id(self) -> dict[InstanceId, MemberRow]:
        """Return the other members that are not suspended."""
        return {
            instance_id: row
            for instance_id, row in self.rows_by_id.items()
            if instance_id != self._own_id and row.is_serving
        }

    # This instance's row

    async def join(self) -> None:
        """Write this instance's row, with retries until it succeeds."""
        while not self.is_leaving and not await self._try_join():
            await asyncio.sleep(JOIN_RETRY_S)

    async def _try_join(self) -> bool:
        read = await self._store.read(MEMBERS_TABLE, '')
        if isinstance(read, Err):
            return False
        rows_by_id = {
            InstanceId(row.key.key): (decode_member(row.value), row.version)
            for row in read.ok_value.rows
            if row.value is not None
        }
        previous, version = rows_by_id.get(self._own_id, (None, 0))
        if previous is not None and previous.is_serving:
            if previous.incarnation == self.own_row.incarnation:
                # An earlier write succeeded, and only its answer was lost.
                self.has_joined = True
                return True
        inherited = (
            previous is not None
            and previous.is_serving
            and previous.established
            and no_takeover_pending(row for row, _ in rows_by_id.values())
        )
        is_first_start = self._settings.first_start and previous is None
        self.own_row = msgspec.structs.replace(
            self.own_row, established=inherited or is_first_start
        )
        if not await self._write_own(version):
            return False
        self.inherited = inherited
        self.first_start = is_first_start
        self.has_joined = True
        log_event(
            LOG,
            'joined',
            incarnation=self.own_row.incarnation,
            inherited=self.inherited,
        )
        return True

    async def _write_own(self, version: int) -> bool:
        outcome = await self._write(self._own_id, self.own_row, version)
        return isinstance(outcome, Committed)

    async def _write(
        self, instance_id: InstanceId, row: MemberRow, version: int | None
    ) -> RowOutcome:
        """Write a member's row, under the given version if there is one."""
        key = RowKey(MEMBERS_TABLE, '', instance_id)
        conditions = () if version is None else ((key, version),)
        put = (key, msgspec.msgpack.encode(row))
        return await self._store.transact(
            RowTransaction(conditions, (put,)), WRITE_TIMEOUT_S
        )

    async def write_established(self) -> None:
        """Record that every ownership older than this instance's expired."""
        row = self.rows_by_id.get(self._own_id)
        version = self._versions_by_id.get(self._own_id)
        if row is None or version is None or self.is_leaving:
            return
        if not row.is_serving or row.established:
            return
        if (
            row.incarnation != self.own_row.incarnation
            or not self._try_start_write()
        ):
            return
        self.own_row = msgspec.structs.replace(self.own_row, established=True)
        established = await self._write_own(version)
        log_event(LOG, 'established', written=established)

    async def clear_suspended(self) -> None:
        """Record that every ownership of suspended members has expired."""
        if not self._try_start_write():
            return
        for instance_id in self.ids_to_clear():
            member = self.rows_by_id[instance_id]
            version = self._versions_by_id[instance_id]
            outcome = await self._write(
                instance_id, mark_left(member), version
            )
            log_event(
                LOG,
                'member_cleared',
                instance=instance_id,
                outcome=type(outcome).__name__,
            )

    def ids_to_clear(self) -> list[InstanceId]:
        """Return the suspended members that this instance must clear."""
        serving = [i for i, row in self.rows_by_id.items() if row.is_serving]
        return [
            instance_id
            for instance_id, row in self.rows_by_id.items()
            if not row.is_serving
            and not row.left
            and choose_owner(instance_id, serving) == self._own_id
        ]

    @property
    def has_pending_writes(self) -> bool:
        """Return whether this instance has yet to record expirations."""
        row = self.rows_by_id.get(self._own_id)
        if row is None or not row.is_serving:
            return False
        return not row.established or bool(self.ids_to_clear())

    def _try_start_write(self) -> bool:
        """Start the next write interval; False before the last one ended.

        The interval leaves time to read the last write back.
        """
        now_s = boot_time_s()
        if now_s < self._next_write_s:
            return False
        self._next_write_s = now_s + WRITE_INTERVAL_S
        return True

    async def leave(self) -> None:
        """Record that this instance has ended all its ownerships."""
        self.is_leaving = True
        await self._write(self._own_id, mark_left(self.own_row), None)

    def _rejoin_if_suspended(self) -> None:
        own_row = self.rows_by_id.get(self._own_id)
        if (
            own_row is None
            or own_row.is_serving
            or self.is_leaving
            or not self.has_joined
        ):
            return
        if own_row.incarnation != self.own_row.incarnation:
            return
        if self._rejoin_task is not None and not self._rejoin_task.done():
            return
        log_event(LOG, 'suspended', incarnation=own_row.incarnation)
        self._rejoin_task = asyncio.create_task(self.join())

    # The rows of all members

    def apply_snapshot(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Replace the members by those of the whole table."""
        listed_ids = {InstanceId(row.key.key) for row in rows}
        for instance_id in self.rows_by_id.keys() - listed_ids:
            del self.rows_by_id[instance_id]
        self._apply_rows(rows)

    def apply_changes(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Apply the rows that changed."""
        self._apply_rows(rows)

    def _apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            self._apply_row(row)
        self._rejoin_if_suspended()
        for listener in self._listeners:
            listener()

    def _apply_row(self, row: StoredRow) -> None:
        instance_id = InstanceId(row.key.key)
        if row.value is None:
            self.rows_by_id.pop(instance_id, None)
            self._versions_by_id.pop(instance_id, None)
            self.version = max(self.version, row.version)
            log_event(LOG, 'member_left', instance=instance_id)
            return
        try:
            member = decode_member(row.value)
        except msgspec.MsgspecError as error:
            log_event(LOG, 'member_unreadable', reason=error)
            return
        self.rows_by_id[instance_id] = member
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
        """Return addresses that may relay to the store, nearest first."""
        settings = self._settings
        ranked = sorted(
            self.other_rows_by_id.values(),
            key=lambda member: (
                member.region_id != settings.region_id,
                member.domain_id != settings.domain_id,
                member.address,
            ),
        )
        member_addresses = [member.address for member in ranked]
        seeds = settings.seed_addresses
        own_address = self.own_row.address
        return member_addresses + [
            s for s in seeds if s not in (own_address, *member_addresses)
        ]

    # Failure detection

    def record_answer(self, instance_id: InstanceId) -> None:
        """Record that an instance has answered."""
        self._unanswered_since_by_id.pop(instance_id, None)

    def record_no_answer(self, instance_id: InstanceId, now_s: float) -> None:
        """Record a missing answer; probe after SUSPECT_AFTER_S without any."""
        since_s = self._unanswered_since_by_id.setdefault(instance_id, now_s)
        if (
            now_s - since_s < SUSPECT_AFTER_S
            or instance_id in self._probe_tasks_by_id
        ):
            return
        task = asyncio.create_task(self._suspend_if_unreachable(instance_id))
        self._probe_tasks_by_id[instance_id] = task
        task.add_done_callback(
            lambda _: self._probe_tasks_by_id.pop(instance_id, None)
        )

    async def _suspend_if_unreachable(self, instance_id: InstanceId) -> None:
        row = self.rows_by_id.get(instance_id)
        version = self._versions_by_id.get(instance_id)
        if row is None or version is None or not row.is_serving:
            return
        is_proven_dead = await self._refuses_connections(row)
        if not is_proven_dead and await self.ping(instance_id) is not None:
            self.record_answer(instance_id)
            return
        if not is_proven_dead and not await self._reaches_others(instance_id):
            log_event(LOG, 'isolated', silent=instance_id)
            return
        suspended_row = mark_suspended(row, is_proven_dead)
        outcome = await self._write(instance_id, suspended_row, version)
        log_event(
            LOG,
            'member_suspended',
            instance=instance_id,
            incarnation=row.incarnation,
            proven_dead=is_proven_dead,
            outcome=type(outcome).__name__,
        )

    async def _refuses_connections(self, row: MemberRow) -> bool:
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

    async def _reaches_others(self, instance_id: InstanceId) -> bool:
        others = [
            other_id
            for other_id in self.other_rows_by_id
            if other_id != instance_id
        ]
        probed = random.sample(others, min(ISOLATION_PROBES, len(others)))
        answers = await asyncio.gather(*(self.ping(o) for o in probed))
        return 2 * (len(probed) - answers.count(None)) >= len(probed)
