"""Tells committed changes to every instance and waits for acceptance."""

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
from jackdawfield.drivers.leases import LeaseKeeper
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
ACCEPTANCE_SLACK_S = 4.0
ROWS_BEFORE = 8


class ChangeState(Enum):
    """Names how far a change has come."""

    COMMITTED = 'committed'
    ACCEPTED = 'accepted'


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Says how far a change is, and which instances are still to be told."""

    change_id: str
    state: ChangeState
    version: Version
    waiting: tuple[InstanceId, ...]


class Announcer:
    """Tells changes through one relay a group, then one by one."""

    def __init__(
        self, keeper: LeaseKeeper, store: ConfigurationStore, links: PeerLinks
    ) -> None:
        self._keeper = keeper
        self._store = store
        self._links = links

    def register(self, server: PeerServer) -> None:
        """Answer what other instances tell."""
        server.handle(PushChanges, self._take)

    async def announce(
        self, change_id: str, version: Version
    ) -> ChangeOutcome:
        """Tell a committed version until it is accepted or the time is up."""
        committed_at_s = time.monotonic()
        lease_s = self._keeper.lease.settings.lease_s
        end_s = committed_at_s + lease_s + ACCEPTANCE_SLACK_S
        acceptance = Acceptance(version, committed_at_s)
        through_relays = True
        while True:
            acceptance = await self._tell(acceptance, through_relays)
            through_relays = False
            now_s = time.monotonic()
            if self._accepted(acceptance, now_s):
                state = ChangeState.ACCEPTED
                break
            if now_s >= end_s:
                state = ChangeState.COMMITTED
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        outcome = ChangeOutcome(
            change_id, state, version, self._waiting(acceptance)
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

    def _accepted(self, acceptance: Acceptance, now_s: float) -> bool:
        standing = self._keeper.standing
        if standing is None:
            return False
        return acceptance.is_accepted(self._keeper.lease, standing, now_s)

    def _waiting(self, acceptance: Acceptance) -> tuple[InstanceId, ...]:
        lease = self._keeper.lease
        roster = acceptance.roster or lease.roster
        names = set(acceptance.pending_members(lease))
        return tuple(
            entry.instance_id
            for entry in roster.entries
            if entry.incarnation in names
        )

    async def _tell(
        self, acceptance: Acceptance, through_relays: bool
    ) -> Acceptance:
        if acceptance.roster is None:
            roster = await self._keeper.read_roster()
            if roster is not None:
                acceptance = acceptance.on_roster(roster)
        names = set(acceptance.pending_members(self._keeper.lease))
        roster = acceptance.roster or self._keeper.lease.roster
        entries = [e for e in roster.entries if e.incarnation in names]
        if through_relays:
            entries = self._relays_of(entries)
        message = self._message(acceptance.version, through_relays)
        for found in await asyncio.gather(
            *(self._push(entry, message) for entry in entries)
        ):
            for incarnation in found:
                acceptance = acceptance.on_applied(incarnation)
        return acceptance

    def _relays_of(self, entries: list[RosterEntry]) -> list[RosterEntry]:
        lease = self._keeper.lease
        groups = {entry.group_id for entry in entries}
        return [
            entry
            for entry in group_relays(lease)
            if entry.group_id in groups
            and entry.incarnation != lease.incarnation
        ]

    def _message(self, version: Version, forward: bool) -> PushChanges:
        rows = self._store.rows_since(max(0, version - ROWS_BEFORE))
        rows = rows or self._store.rows_since(version - 1)
        return PushChanges(version, rows, forward)

    async def _push(
        self, entry: RosterEntry, message: PushChanges
    ) -> tuple[Incarnation, ...]:
        found = await self._links.request(
            entry.peer_address, message, 2 * self._keeper.ask_timeout_s
        )
        match found:
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

    async def _take(self, message: PushChanges) -> ChangesApplied:
        self._store.take_rows(message.change_rows)
        if self._store.version < message.version:
            await self._read_behind()
        told: list[Incarnation] = []
        if self._store.version >= message.version:
            told.append(self._keeper.lease.incarnation)
        if message.forward:
            told.extend(await self._forward(message))
        return ChangesApplied(tuple(told))

    async def _read_behind(self) -> None:
        match await self._store.read_head():
            case Ok(row):
                await self._store.catch_up(decode_head(row))

    async def _forward(self, message: PushChanges) -> list[Incarnation]:
        lease = self._keeper.lease
        own = lease.roster.entry(lease.incarnation)
        if own is None:
            return []
        inner = PushChanges(message.version, message.change_rows, False)
        found = await asyncio.gather(
            *(
                self._push(entry, inner)
                for entry in relay_candidates(lease, own.group_id)
                if entry.incarnation != lease.incarnation
            )
        )
        return [name for names in found for name in names]
