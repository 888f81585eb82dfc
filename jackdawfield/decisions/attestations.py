"""Encode attestations by their age, complete groups as one age.

An attestation is the statement of an incarnation that it has no newer
version than the receiver, with the time at which it was asked.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
from dataclasses import dataclass

from jackdawfield.decisions.roster import GroupId
from jackdawfield.decisions.roster import Roster
from jackdawfield.model import Incarnation


@dataclass(frozen=True, slots=True)
class Attestation:
    """Holds when an incarnation was last asked that had no newer version."""

    incarnation: Incarnation
    asked_at_s: float


@dataclass(frozen=True, slots=True)
class AttestationAge:
    """Holds an attestation as its age, to pass it between clocks."""

    incarnation: Incarnation
    age_s: float


@dataclass(frozen=True, slots=True)
class GroupAge:
    """Holds the age of the oldest attestation of a complete group.

    A group is complete if each member in the sender's roster that is not
    proven dead has an attestation.
    """

    group_id: GroupId
    age_s: float


def compress_ages(
    age_s_by_incarnation: Mapping[Incarnation, float],
    roster: Roster,
    dead: Set[Incarnation],
) -> tuple[tuple[GroupAge, ...], tuple[AttestationAge, ...]]:
    """Return one age for each complete group, and the other single ages."""
    oldest_s_by_group: dict[GroupId, float] = {}
    for entry in roster.entries:
        if entry.incarnation in dead:
            continue
        age_s = age_s_by_incarnation.get(entry.incarnation, float('inf'))
        oldest_s = oldest_s_by_group.get(entry.group_id, 0.0)
        oldest_s_by_group[entry.group_id] = max(oldest_s, age_s)
    complete_groups = {
        group_id: age_s
        for group_id, age_s in oldest_s_by_group.items()
        if age_s < float('inf')
    }
    covered = {
        entry.incarnation
        for entry in roster.entries
        if entry.group_id in complete_groups
    }
    singles = tuple(
        AttestationAge(incarnation, age_s)
        for incarnation, age_s in age_s_by_incarnation.items()
        if incarnation not in covered
    )
    return (
        tuple(GroupAge(*item) for item in complete_groups.items()),
        singles,
    )


def expand_group_ages(
    group_ages: Iterable[GroupAge], roster: Roster, dead: Set[Incarnation]
) -> tuple[AttestationAge, ...]:
    """Return the single ages that group ages stand for.

    `roster` and `dead` are those of the sender.
    """
    age_s_by_group = {item.group_id: item.age_s for item in group_ages}
    return tuple(
        AttestationAge(entry.incarnation, age_s_by_group[entry.group_id])
        for entry in roster.entries
        if entry.group_id in age_s_by_group and entry.incarnation not in dead
    )
