"""Decide when a commit is accepted, and which members may decide that.

A commit is accepted once no instance can act on an older version. A member
that has waited for a lease since the commit may conclude that only if it is
established: if the leases of all other members depend on its attestation.
"""

from dataclasses import dataclass
from dataclasses import replace
from typing import Self

from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.roster import Roster
from jackdawfield.model import Incarnation
from jackdawfield.model import Version


@dataclass(frozen=True, slots=True)
class Listing:
    """Holds since when an entry has been in this instance's roster."""

    incarnation: Incarnation
    listed_at_s: float


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Holds whether an incarnation may accept commits and take over.

    `joined_at_s` is the time at which the write of its own entry into the
    roster was answered.
    """

    joined_at_s: float
    confirmed: bool = False
    listings: tuple[Listing, ...] = ()

    def is_established(self, lease: Lease, now_s: float) -> bool:
        """Return whether the leases of all others depend on this member.

        They do in any of three cases: an established member has confirmed
        this one, the outage limit has passed since it joined, or every
        member that joined before it is proven dead.
        """
        if self.confirmed:
            return True
        entry = lease.roster.entry(lease.incarnation)
        if entry is None:
            return False
        if now_s - self.joined_at_s >= lease.settings.outage_limit_s:
            return True
        return not any(
            other.joined_revision < entry.joined_revision
            and other.incarnation not in lease.dead
            for other in lease.roster.entries
        )

    def on_roster(self, roster: Roster, now_s: float) -> Self:
        """Return the status with the listing times of a roster's entries."""
        since_by_incarnation = {
            item.incarnation: item.listed_at_s for item in self.listings
        }
        listings = tuple(
            Listing(
                entry.incarnation,
                since_by_incarnation.get(entry.incarnation, now_s),
            )
            for entry in roster.entries
        )
        return replace(self, listings=listings)

    def on_confirmed(self) -> Self:
        """Return the status after an established member's confirmation."""
        return replace(self, confirmed=True)

    def may_confirm(
        self, newcomer: Incarnation, lease: Lease, now_s: float
    ) -> bool:
        """Return whether to confirm to a newcomer that it is established."""
        if not self.is_established(lease, now_s):
            return False
        return any(
            item.incarnation == newcomer
            and self._is_listed_for_lease(item, lease, now_s)
            for item in self.listings
        )

    def _is_listed_for_lease(
        self, item: Listing, lease: Lease, now_s: float
    ) -> bool:
        return now_s - item.listed_at_s >= lease.settings.lease_s


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Holds which members have applied a committed version.

    `committed_at_s` is the time at which this instance learned of the
    commit. `roster` must be read from the table after that.
    """

    version: Version
    committed_at_s: float
    roster: Roster | None = None
    applied_by: frozenset[Incarnation] = frozenset()

    def on_roster(self, roster: Roster) -> Self:
        """Return the acceptance with a roster read after the commit."""
        if self.roster is not None:
            return self
        return replace(self, roster=roster)

    def on_applied(self, incarnation: Incarnation) -> Self:
        """Return the acceptance after a member has applied the version."""
        return replace(self, applied_by=self.applied_by | {incarnation})

    def is_accepted(
        self, lease: Lease, status: MemberStatus, now_s: float
    ) -> bool:
        """Return whether no instance can act on an older version."""
        if self._is_applied_by_all(lease):
            return True
        if now_s - self.committed_at_s < lease.settings.lease_s:
            return False
        return status.is_established(lease, now_s)

    def pending_members(self, lease: Lease) -> tuple[Incarnation, ...]:
        """Return the members that have not applied the version yet."""
        roster = self.roster or lease.roster
        return tuple(
            entry.incarnation
            for entry in roster.entries
            if entry.incarnation != lease.incarnation
            and entry.incarnation not in self.applied_by
            and entry.incarnation not in lease.dead
        )

    def _is_applied_by_all(self, lease: Lease) -> bool:
        return self.roster is not None and not self.pending_members(lease)
