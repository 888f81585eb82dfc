"""Tells share holders which incarnations may act, and until when."""

from collections.abc import Mapping
import time
from typing import Protocol

from jackdawfield.decisions.lease import NEVER_S
from jackdawfield.decisions.lease import Roster
from jackdawfield.drivers.leases import LeaseKeeper
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId


class Standing(Protocol):
    """Offers the own lease and the roster of incarnations."""

    def own(self) -> Incarnation:
        """Return the own incarnation; an eviction changes it."""

    def lease_until_s(self) -> float:
        """Return when the right to act ends, in monotonic seconds."""

    def listed(self) -> Mapping[Incarnation, InstanceId]:
        """Return the incarnations that may act, as last read."""

    async def read_listed(self) -> Mapping[Incarnation, InstanceId] | None:
        """Return the incarnations that may act now, None if unknown."""


class KeeperStanding:
    """Takes the standing from the keeper of the instance's lease."""

    def __init__(self, keeper: LeaseKeeper) -> None:
        self._keeper = keeper
        self._listed: Mapping[Incarnation, InstanceId] = {}
        keeper.listen(self._on_roster)

    def _on_roster(self) -> None:
        lease = self._keeper.lease
        self._listed = able_to_act(lease.roster, lease.dead)

    def own(self) -> Incarnation:
        """Return the own incarnation; an eviction changes it."""
        return self._keeper.lease.incarnation

    def lease_until_s(self) -> float:
        """Return when the right to act ends, in monotonic seconds."""
        if not self._keeper.valid(time.monotonic()):
            return NEVER_S
        return self._keeper.lease.expires_at_s()

    def listed(self) -> Mapping[Incarnation, InstanceId]:
        """Return the incarnations that may act, as last read."""
        return self._listed

    async def read_listed(self) -> Mapping[Incarnation, InstanceId] | None:
        """Return the incarnations that may act now, None if unknown."""
        roster = await self._keeper.read_roster()
        if roster is None:
            return None
        return able_to_act(roster, self._keeper.lease.dead)


def able_to_act(
    roster: Roster, dead: frozenset[Incarnation]
) -> Mapping[Incarnation, InstanceId]:
    """Return the listed incarnations without proof of their death.

    One that is evicted may act until it is removed from the roster.
    """
    return {
        entry.incarnation: entry.instance_id
        for entry in roster.entries
        if entry.incarnation not in dead
    }
