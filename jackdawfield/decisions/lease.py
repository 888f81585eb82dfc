"""Decide how long an instance may act on the state that it last read."""

from dataclasses import dataclass
from dataclasses import replace
from typing import Self

from jackdawfield.decisions.attestations import Attestation
from jackdawfield.decisions.attestations import AttestationAge
from jackdawfield.decisions.attestations import compress_ages
from jackdawfield.decisions.attestations import expand_group_ages
from jackdawfield.decisions.attestations import GroupAge
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.model import Incarnation
from jackdawfield.model import Version

NEVER_S = float('-inf')
REFRESH_AFTER_LEASES = 0.65


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Holds the length of a lease and the limits of work without the table.

    With `full_contact`, attestations of all live members extend a lease
    while the table is unreachable, up to `outage_limit_s` after the last
    read.
    """

    lease_s: float = 6.0
    outage_limit_s: float = 3600.0
    full_contact: bool = True


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """Holds the state that an instance returns to a peer that asks.

    `read_age_s` counts from when the last read of the table was sent, None
    without one.
    """

    version: Version
    roster: Roster
    read_age_s: float | None
    attestations: tuple[AttestationAge, ...]
    dead: frozenset[Incarnation]
    group_ages: tuple[GroupAge, ...] = ()


@dataclass(frozen=True, slots=True)
class TableRead:
    """Reports the heads of configuration and roster, read from the table.

    `asked_at_s` is the time at which the read was sent.
    """

    asked_at_s: float
    version: Version
    roster: Roster


@dataclass(frozen=True, slots=True)
class PeerReported:
    """Reports a peer's answer; its ages count back from `asked_at_s`."""

    asked_at_s: float
    report: LeaseReport


@dataclass(frozen=True, slots=True)
class VersionApplied:
    """Reports that a configuration version is in force in this instance."""

    version: Version


@dataclass(frozen=True, slots=True)
class PeerDead:
    """Reports proof that an incarnation has ended; a timeout is no proof.

    Proof is a refused connection at the incarnation's address, or a newer
    incarnation that answers there.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time, to evaluate the lease again."""


Event = TableRead | PeerReported | VersionApplied | PeerDead | TimePassed


@dataclass(frozen=True, slots=True)
class Lease:
    """Holds the state that one incarnation has, and its lease on it.

    A read of the table renews the lease once the highest version known here
    (`highest_version`) is in force here (`applied`). `newest_read_at_s` is
    the time of the newest read, `renewing_read_at_s` that of the newest read
    that renewed the lease. `contact_at_s` is the time of the oldest
    attestation when all live members last had one.
    """

    incarnation: Incarnation
    settings: LeaseSettings = LeaseSettings()
    applied: Version = Version(0)
    highest_version: Version = Version(0)
    roster: Roster = Roster()
    newest_read_at_s: float = NEVER_S
    renewing_read_at_s: float = NEVER_S
    contact_at_s: float = NEVER_S
    attestations: tuple[Attestation, ...] = ()
    dead: frozenset[Incarnation] = frozenset()

    def on(self, event: Event, now_s: float) -> Self:
        """Return the lease after an event."""
        match event:
            case TableRead(asked_at_s, version, roster):
                after = self._merge_heads(version, roster)
                after = after._record_read(asked_at_s)
            case PeerReported(asked_at_s, report):
                after = self._merge_heads(report.version, report.roster)
                after = after._merge_report(asked_at_s, report)
            case VersionApplied(version):
                applied = max(self.applied, version)
                highest_version = max(self.highest_version, version)
                after = replace(
                    self, applied=applied, highest_version=highest_version
                )
            case PeerDead(incarnation):
                after = replace(self, dead=self.dead | {incarnation})
            case TimePassed():
                after = self
        return after._renew(now_s)

    def expires_at_s(self) -> float:
        """Return the time at which the lease expires."""
        by_contact_s = min(
            self.contact_at_s + self.settings.lease_s,
            self.renewing_read_at_s + self.settings.outage_limit_s,
        )
        return max(
            self.renewing_read_at_s + self.settings.lease_s, by_contact_s
        )

    def is_valid(self, now_s: float) -> bool:
        """Return whether work under organisation keys may be dispatched."""
        entry = self.roster.entry(self.incarnation)
        if entry is None or entry.evicted:
            return False
        return now_s < self.expires_at_s()

    def report(
        self,
        now_s: float,
        contact: bool = True,
        asker: Incarnation | None = None,
    ) -> LeaseReport:
        """Return the answer to a peer, with all attestations if `contact`.

        An asker of another group gets only the age of this instance's group.
        """
        has_read = NEVER_S < self.newest_read_at_s
        group_ages, ages = (
            self._attestation_ages(now_s) if contact else ((), ())
        )
        own_entry = self.roster.entry(self.incarnation)
        asker_entry = self.roster.entry(asker) if asker else None
        if (
            own_entry
            and asker_entry
            and own_entry.group_id != asker_entry.group_id
        ):
            group_ages = tuple(
                item
                for item in group_ages
                if item.group_id == own_entry.group_id
            )
        return LeaseReport(
            version=self.highest_version,
            roster=self.roster,
            read_age_s=now_s - self.newest_read_at_s if has_read else None,
            attestations=(AttestationAge(self.incarnation, 0.0), *ages),
            dead=self.dead,
            group_ages=group_ages,
        )

    def _attestation_ages(
        self, now_s: float
    ) -> tuple[tuple[GroupAge, ...], tuple[AttestationAge, ...]]:
        age_s_by_incarnation = {self.incarnation: 0.0}
        for item in self.attestations:
            age_s_by_incarnation[item.incarnation] = now_s - item.asked_at_s
        return compress_ages(age_s_by_incarnation, self.roster, self.dead)

    def unattested_peers(self, now_s: float) -> tuple[RosterEntry, ...]:
        """Return the live peers with no attestation or one near expiry."""
        fresh = {
            item.incarnation
            for item in self.attestations
            if now_s
            < item.asked_at_s + self.settings.lease_s * REFRESH_AFTER_LEASES
        }
        return tuple(
            entry
            for entry in self._live_peers()
            if entry.incarnation not in fresh
        )

    def _merge_heads(self, version: Version, roster: Roster) -> Self:
        is_newer = roster.revision > self.roster.revision
        return replace(
            self,
            highest_version=max(self.highest_version, version),
            roster=roster if is_newer else self.roster,
        )

    def _record_read(self, asked_at_s: float) -> Self:
        return replace(
            self, newest_read_at_s=max(self.newest_read_at_s, asked_at_s)
        )

    def _merge_report(self, asked_at_s: float, report: LeaseReport) -> Self:
        newest_by_incarnation = {
            item.incarnation: item for item in self.attestations
        }
        expanded = expand_group_ages(
            report.group_ages, report.roster, report.dead
        )
        for age in (*report.attestations, *expanded):
            at_s = asked_at_s - age.age_s
            previous = newest_by_incarnation.get(age.incarnation)
            if age.incarnation == self.incarnation:
                continue
            if previous is None or previous.asked_at_s < at_s:
                item = Attestation(age.incarnation, at_s)
                newest_by_incarnation[age.incarnation] = item
        after = replace(
            self,
            attestations=tuple(
                newest_by_incarnation[name]
                for name in sorted(newest_by_incarnation)
            ),
            dead=self.dead | report.dead,
        )
        if report.read_age_s is None:
            return after
        return after._record_read(asked_at_s - report.read_age_s)

    def _renew(self, now_s: float) -> Self:
        if self.applied < self.highest_version:
            return self
        after = replace(
            self,
            renewing_read_at_s=max(
                self.renewing_read_at_s, self.newest_read_at_s
            ),
        )
        after = after._prune(now_s)
        contact_at_s = after._full_contact_at_s(now_s)
        if not after._may_extend(now_s) or contact_at_s <= after.contact_at_s:
            return after
        return replace(after, contact_at_s=contact_at_s)

    def _may_extend(self, now_s: float) -> bool:
        return self.settings.full_contact and self.is_valid(now_s)

    def _prune(self, now_s: float) -> Self:
        kept = tuple(
            item
            for item in self.attestations
            if now_s < item.asked_at_s + self.settings.lease_s
        )
        listed = {entry.incarnation for entry in self.roster.entries}
        return replace(self, attestations=kept, dead=self.dead & listed)

    def _full_contact_at_s(self, now_s: float) -> float:
        at_s_by_incarnation = {
            item.incarnation: item.asked_at_s for item in self.attestations
        }
        return min(
            (
                at_s_by_incarnation.get(entry.incarnation, NEVER_S)
                for entry in self._live_peers()
            ),
            default=now_s,
        )

    def _live_peers(self) -> tuple[RosterEntry, ...]:
        return tuple(
            entry
            for entry in self.roster.entries
            if entry.incarnation != self.incarnation
            and entry.incarnation not in self.dead
        )
