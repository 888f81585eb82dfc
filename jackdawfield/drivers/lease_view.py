"""Provide the own lease and the incarnations whose leases may be valid."""

from collections.abc import Mapping
import time
from typing import Protocol

from jackdawfield.decisions.lease import NEVER_S
from jackdawfield.decisions.lease import Roster
from jackdawfield.drivers.leases import LeaseKeeper
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId


class LeaseView(Protocol):
    """Provides the own lease and the unexpired incarnations.

    An incarnation is unexpired while its lease may still be valid.
    """

    def own_incarnation(self) -> Incarnation:
        """Return the own incarnation; an eviction changes it."""

    def lease_expires_at_s(self) -> float:
        """Return when the own lease expires, in monotonic seconds."""

    def unexpired_incarnations(self) -> Mapping[Incarnation, InstanceId]:
        """Return the unexpired incarnations, as last read."""

    async def read_unexpired_incarnations(
        self,
    ) -> Mapping[Incarnation, InstanceId] | None:
        """Read the unexpired incarnations; None if the read failed."""


class KeeperStanding:
    """Derives the view from the keeper of the instance's lease."""

    def __init__(self, keeper: LeaseKeeper) -> None:
        self._keeper = keeper
        self._unexpired: Mapping[Incarnation, InstanceId] = {}
        keeper.add_listener(self._on_roster)

    def _on_roster(self) -> None:
        lease = self._keeper.lease
        self._unexpired = able_to_act(lease.roster, lease.dead)

    def own_incarnation(self) -> Incarnation:
        """Return the own incarnation; an eviction changes it."""
        return self._keeper.lease.incarnation

    def lease_expires_at_s(self) -> float:
        """Return when the own lease expires, in monotonic seconds."""
        if not self._keeper.valid(time.monotonic()):
            return NEVER_S
        return self._keeper.lease.expires_at_s()

    def unexpired_incarnations(self) -> Mapping[Incarnation, InstanceId]:
        """Return the unexpired incarnations, as last read."""
        return self._unexpired

    async def read_unexpired_incarnations(
        self,
    ) -> Mapping[Incarnation, InstanceId] | None:
        """Read the unexpired incarnations; None if the read failed."""
        roster = await self._keeper.read_roster()
        if roster is None:
            return None
        return able_to_act(roster, self._keeper.lease.dead)


def able_to_act(
    roster: Roster, dead: frozenset[Incarnation]
) -> Mapping[Incarnation, InstanceId]:
    """Return the incarnations in a roster that are not proven dead.

    An evicted incarnation may act until it is removed from the roster.
    """
    return {
        entry.incarnation: entry.instance_id
        for entry in roster.entries
        if entry.incarnation not in dead
    }
