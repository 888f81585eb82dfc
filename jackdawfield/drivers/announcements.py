"""Distribute committed changes to all instances and await acceptance.

The relay of a group is its live member that has been listed longest. It
forwards a pushed change to the other members of its group.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
import logging
import time

from result import Err
from result import Ok

from jackdawfield.decisions.acceptance import Acceptance
from jackdawfield.decisions.configuration import decode_head
from jackdawfield.decisions.renewal import group_relays
from jackdawfield.decisions.renewal import relay_candidates
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.drivers.configuration import ConfigurationStore
from jackdawfield.drivers.leases import LeaseManager
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.logs import log_event
from jackdawfield.messages.contracts import ChangesApplied
from jackdawfield.messages.contracts import PushChanges
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import Version

LOG = logging.getLogger(__name__)
CHECK_INTERVAL_S = 0.1
ACCEPTANCE_MARGIN_S = 4.0
VERSIONS_PER_PUSH = 8


class ChangeState(Enum):
    """Lists the states of a committed change.

    A change is accepted once no instance can act on an older version.
    """

    COMMITTED = 'committed'
    ACCEPTED = 'accepted'


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Holds a change's state and the instances that may not have it yet."""

    change_id: str
    state: ChangeState
    version: Version
    waiting: tuple[InstanceId, ...]


class ChangeDistributor:
    """Pushes changes through the relay of each group, then directly."""

    def __init__(
        self,
        lease_manager: LeaseManager,
        store: ConfigurationStore,
        links: PeerLinks,
    ) -> None:
        self._lease_manager = lease_manager
        self._store = store
        self._links = links

    def register(self, server: PeerServer) -> None:
        """Register the handler of other instances' pushes."""
        server.handle(PushChanges, self._apply_pushed)

    async def distribute(
        self, change_id: str, version: Version
    ) -> ChangeOutcome:
        """Push a committed version until it is accepted or time runs out.

        The time limit is the length of a lease plus ACCEPTANCE_MARGIN_S. The
        first push goes through the relays, the later ones to each instance
        that has not reported the version.
        """
        committed_at_s = time.monotonic()
        lease_s = self._lease_manager.lease.settings.lease_s
        end_s = committed_at_s + lease_s + ACCEPTANCE_MARGIN_S
        acceptance = Acceptance(version, committed_at_s)
        through_relays = True
        while True:
            acceptance = await self._push_to_pending(
                acceptance, through_relays
            )
            through_relays = False
            now_s = time.monotonic()
            if self._is_accepted(acceptance, now_s):
                state = ChangeState.ACCEPTED
                break
            if now_s >= end_s:
                state = ChangeState.COMMITTED
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        outcome = ChangeOutcome(
            change_id, state, version, self._pending_instances(acceptance)
        )
        log_event(
            LOG,
            'change',
            change=change_id,
            state=state.value,
            version=version,
            waiting=len(outcome.waiting),
        )
        return outcome

    def _is_accepted(self, acceptance: Acceptance, now_s: float) -> bool:
        status = self._lease_manager.member_status
        if status is None:
            return False
        return acceptance.is_accepted(self._lease_manager.lease, status, now_s)

    def _pending_instances(
        self, acceptance: Acceptance
    ) -> tuple[InstanceId, ...]:
        lease = self._lease_manager.lease
        roster = acceptance.roster or lease.roster
        pending = set(acceptance.pending_members(lease))
        return tuple(
            entry.instance_id
            for entry in roster.entries
            if entry.incarnation in pending
        )

    async def _push_to_pending(
        self, acceptance: Acceptance, through_relays: bool
    ) -> Acceptance:
        if acceptance.roster is None:
            roster = await self._lease_manager.read_roster()
            if roster is not None:
                acceptance = acceptance.on_roster(roster)
        pending = set(acceptance.pending_members(self._lease_manager.lease))
        roster = acceptance.roster or self._lease_manager.lease.roster
        entries = [e for e in roster.entries if e.incarnation in pending]
        if through_relays:
            entries = self._relays_of(entries)
        message = self._make_message(acceptance.version, through_relays)
        for incarnations in await asyncio.gather(
            *(self._push(entry, message) for entry in entries)
        ):
            for incarnation in incarnations:
                acceptance = acceptance.on_applied(incarnation)
        return acceptance

    def _relays_of(self, entries: list[RosterEntry]) -> list[RosterEntry]:
        lease = self._lease_manager.lease
        groups = {entry.group_id for entry in entries}
        return [
            entry
            for entry in group_relays(lease)
            if entry.group_id in groups
            and entry.incarnation != lease.incarnation
        ]

    def _make_message(self, version: Version, forward: bool) -> PushChanges:
        rows = self._store.rows_since(max(0, version - VERSIONS_PER_PUSH))
        rows = rows or self._store.rows_since(version - 1)
        return PushChanges(version, rows, forward)

    async def _push(
        self, entry: RosterEntry, message: PushChanges
    ) -> tuple[Incarnation, ...]:
        result = await self._links.request(
            entry.peer_address, message, 2 * self._lease_manager.ask_timeout_s
        )
        match result:
            case Ok(ChangesApplied(incarnations)):
                return incarnations
            case Err(error):
                log_event(
                    LOG,
                    'push_failed',
                    peer=entry.instance_id,
                    reason=error.reason,
                )
        return ()

    async def _apply_pushed(self, message: PushChanges) -> ChangesApplied:
        self._store.apply_rows(message.change_rows)
        if self._store.version < message.version:
            await self._catch_up()
        applied: list[Incarnation] = []
        if self._store.version >= message.version:
            applied.append(self._lease_manager.lease.incarnation)
        if message.forward:
            applied.extend(await self._forward(message))
        return ChangesApplied(tuple(applied))

    async def _catch_up(self) -> None:
        match await self._store.read_head():
            case Ok(row):
                await self._store.catch_up(decode_head(row))

    async def _forward(self, message: PushChanges) -> list[Incarnation]:
        lease = self._lease_manager.lease
        own_entry = lease.roster.entry(lease.incarnation)
        if own_entry is None:
            return []
        forwarded = PushChanges(message.version, message.change_rows, False)
        applied_by_push = await asyncio.gather(
            *(
                self._push(entry, forwarded)
                for entry in relay_candidates(lease, own_entry.group_id)
                if entry.incarnation != lease.incarnation
            )
        )
        return [
            incarnation for group in applied_by_push for incarnation in group
        ]
