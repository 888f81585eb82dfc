"""Provide this instance's lease and the unexpired incarnations."""

from collections.abc import Mapping
import time
from typing import Protocol

from jackdawfield.decisions.lease import NEVER_S
from jackdawfield.decisions.lease import Roster
from jackdawfield.drivers.leases import LeaseManager
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


class ManagedLeaseView:
    """Derives the view from the manager of the instance's lease."""

    def __init__(self, lease_manager: LeaseManager) -> None:
        self._lease_manager = lease_manager
        self._unexpired: Mapping[Incarnation, InstanceId] = {}
        lease_manager.add_listener(self._on_roster)

    def _on_roster(self) -> None:
        lease = self._lease_manager.lease
        self._unexpired = unexpired_in_roster(lease.roster, lease.dead)

    def own_incarnation(self) -> Incarnation:
        """Return the own incarnation; an eviction changes it."""
        return self._lease_manager.lease.incarnation

    def lease_expires_at_s(self) -> float:
        """Return when the own lease expires, in monotonic seconds."""
        if not self._lease_manager.is_valid(time.monotonic()):
            return NEVER_S
        return self._lease_manager.lease.expires_at_s()

    def unexpired_incarnations(self) -> Mapping[Incarnation, InstanceId]:
        """Return the unexpired incarnations, as last read."""
        return self._unexpired

    async def read_unexpired_incarnations(
        self,
    ) -> Mapping[Incarnation, InstanceId] | None:
        """Read the unexpired incarnations; None if the read failed."""
        roster = await self._lease_manager.read_roster()
        if roster is None:
            return None
        return unexpired_in_roster(roster, self._lease_manager.lease.dead)


def unexpired_in_roster(
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
