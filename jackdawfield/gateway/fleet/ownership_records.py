"""Define views of the members, and the records of lost ownerships."""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.messages.fleet_rates import RolesDigest
from jackdawfield.model import OrganisationId

ROLES_DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class LostOwnership:
    """Names an ownership that this instance lost or released.

    The new owner is the holder of another seat, by the view of a version.
    `leaving` is this instance's incarnation if it stops, so that it is never
    the owner again, and else empty.
    """

    organisation_id: OrganisationId
    new_owner: SeatId
    version: int
    leaving: str = ''


@dataclass(slots=True)
class OtherOwners:
    """Holds the newest versions at which other instances were the owner.

    `incarnation` is that of the last of them, and `version` the newest at
    which it was the owner; `earlier_version` is the newest of the others. A
    version is -1 if there was none.
    """

    incarnation: str = ''
    version: int = -1
    earlier_version: int = -1

    def record(self, incarnation: str, version: int) -> None:
        """Record the owner by a view of a version."""
        if incarnation != self.incarnation:
            self.earlier_version = self.version
            self.incarnation = incarnation
        self.version = version

    def newest_version(self, leaving_incarnation: str) -> int:
        """Return the newest version, without that of a leaving owner.

        The incarnation is empty if no owner is leaving.
        """
        if leaving_incarnation and leaving_incarnation == self.incarnation:
            return self.earlier_version
        return self.version


@dataclass(frozen=True, slots=True)
class MemberView:
    """Holds the version of a member's view, and a digest of its roles."""

    version: int
    roles: RolesDigest


def roles_digest(members_by_id: Mapping[SeatId, MemberRow]) -> RolesDigest:
    """Return a digest of which incarnations hold the seats and serve."""
    roles = [
        (seat_id, row.incarnation, row.is_serving, row.left)
        for seat_id, row in sorted(members_by_id.items())
    ]
    digest = blake2b(repr(roles).encode(), digest_size=ROLES_DIGEST_BYTES)
    return RolesDigest(digest.digest())
