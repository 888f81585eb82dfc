"""Define the roster: the list of incarnations that may hold a lease."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from typing import NamedTuple

from jackdawfield.model import DomainId
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId

MAX_GROUP_MEMBERS = 24


class GroupId(NamedTuple):
    """Identifies a group of members of a failure domain with one relay."""

    domain_id: DomainId
    number: int


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """Describes one incarnation that may hold a lease.

    `assign_groups` sets the group, by the order of joining.
    """

    incarnation: Incarnation
    joined_revision: int
    evicted: bool = False
    instance_id: InstanceId = InstanceId('')
    domain_id: DomainId = DomainId('')
    region_id: RegionId = RegionId('')
    peer_address: str = ''
    group_id: GroupId = GroupId(DomainId(''), 0)


@dataclass(frozen=True, slots=True)
class Roster:
    """Holds every incarnation that may hold a lease, at a revision."""

    revision: int = 0
    entries: tuple[RosterEntry, ...] = ()

    def entry(self, incarnation: Incarnation) -> RosterEntry | None:
        """Return the entry of an incarnation, None if it is not listed."""
        for item in self.entries:
            if item.incarnation == incarnation:
                return item
        return None


def assign_groups(entries: Iterable[RosterEntry]) -> tuple[RosterEntry, ...]:
    """Return entries in the order of joining, each domain split in groups."""
    member_count_by_domain: dict[DomainId, int] = {}
    grouped = []
    for entry in sorted(entries, key=lambda item: item.joined_revision):
        index = member_count_by_domain.get(entry.domain_id, 0)
        member_count_by_domain[entry.domain_id] = index + 1
        group_id = GroupId(entry.domain_id, index // MAX_GROUP_MEMBERS)
        grouped.append(replace(entry, group_id=group_id))
    return tuple(grouped)
