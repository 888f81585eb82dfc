"""Run the leases and changes of many instances in virtual time."""

from collections.abc import Generator
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import heapq
from random import Random

from jackdawfield.decisions.acceptance import Acceptance
from jackdawfield.decisions.acceptance import MemberStatus
from jackdawfield.decisions.attestations import AttestationAge
from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseReport
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import PeerReported
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.lease import TimePassed
from jackdawfield.decisions.lease import VersionApplied
from jackdawfield.decisions.renewal import AskPeer
from jackdawfield.decisions.renewal import asks_of_unattested_peers
from jackdawfield.decisions.renewal import group_relays
from jackdawfield.decisions.renewal import is_fresh
from jackdawfield.decisions.renewal import plan_renewal
from jackdawfield.decisions.renewal import ReadTable
from jackdawfield.decisions.renewal import relay_candidates
from jackdawfield.decisions.renewal import renewal_interval_s
from jackdawfield.decisions.renewal import RENEWALS_PER_LEASE
from jackdawfield.decisions.renewal import requires_echo
from jackdawfield.decisions.roster import assign_groups
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.messages.base import encode
from jackdawfield.messages.contracts import AskReport
from jackdawfield.messages.contracts import ChangesApplied
from jackdawfield.messages.contracts import PeerReport
from jackdawfield.messages.contracts import PushChanges
from jackdawfield.model import DomainId
from jackdawfield.model import Incarnation
from jackdawfield.model import RegionId
from jackdawfield.model import Version

LEASE_S = 6.0
ASK_TIMEOUT_S = 1.0
TABLE_TIMEOUT_S = 2.0
TABLE_ROUND_TRIP_S = 0.004
REGION_DELAY_S = 0.0005
CROSS_REGION_DELAY_S = 0.012
FRAME_BYTES = 24
TABLE_REQUEST_BYTES = 800
CHANGE_ROW = b'x' * 300
JOIN_POLL_S = 0.002

Process = Generator[float, None, bool]


class Clock:
    """Runs processes that yield the seconds until they are resumed."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._queue: list[tuple[float, int, Process]] = []
        self._count = 0
        self.running: set[int] = set()

    def spawn(self, process: Process, at_s: float | None = None) -> int:
        """Start a process and return its id."""
        self._count += 1
        self.running.add(id(process))
        start_s = self.now_s if at_s is None else at_s
        heapq.heappush(self._queue, (start_s, self._count, process))
        return id(process)

    def join(self, processes: Iterable[Process]) -> Process:
        """Run processes concurrently and wait for all."""
        started = list(processes)
        process_ids = {self.spawn(process) for process in started}
        while process_ids & self.running:
            yield JOIN_POLL_S
        return True

    def run_until(self, end_s: float) -> None:
        """Run the processes that are due up to a time."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, process = heapq.heappop(self._queue)
            wait_s = next(process, None)
            if wait_s is None:
                self.running.discard(id(process))
                continue
            self._count += 1
            due = (self.now_s + wait_s, self._count, process)
            heapq.heappush(self._queue, due)
        self.now_s = end_s


@dataclass
class Table:
    """Holds the roster, the version and the state of the table service."""

    roster: Roster
    version: Version = Version(0)
    is_up: bool = True
    round_trip_s: float = TABLE_ROUND_TRIP_S
    reads: int = 0
    writes: int = 0


@dataclass
class Counts:
    """Counts the messages and bytes of one instance."""

    messages: int = 0
    message_bytes: int = 0


@dataclass
class Change:
    """Records the times of one change from the operator's request on."""

    version: Version
    requested_at_s: float
    committed_at_s: float = 0.0
    accepted_at_s: float | None = None
    in_force_at_s_by_id: dict[Incarnation, float] = field(default_factory=dict)


class Instance:
    """Renews one lease as the driver does, over a simulated network."""

    def __init__(self, fleet: 'VirtualFleet', entry: RosterEntry) -> None:
        self.fleet = fleet
        self.entry = entry
        self.counts = Counts()
        self.last_sent_s_by_peer: dict[Incarnation, float] = {}
        self.lease = Lease(entry.incarnation, LeaseSettings(LEASE_S)).on(
            TableRead(0.0, Version(0), fleet.table.roster), 0.0
        )
        self.status = MemberStatus(0.0, confirmed=True)

    def process_event(self, event: object) -> None:
        """Process an event and apply any newer version at once."""
        now_s = self.fleet.clock.now_s
        lease = self.lease.on(event, now_s)  # type: ignore[arg-type]
        if lease.applied < lease.highest_version:
            self._record_in_force(lease.highest_version, now_s)
            lease = lease.on(VersionApplied(lease.highest_version), now_s)
        self.lease = lease

    def _record_in_force(self, version: Version, now_s: float) -> None:
        change = self.fleet.change
        if change is None or version < change.version:
            return
        outdated_until_s = max(
            self.lease.expires_at_s(), change.committed_at_s
        )
        in_force_at_s = min(now_s, outdated_until_s)
        change.in_force_at_s_by_id.setdefault(
            self.entry.incarnation, in_force_at_s
        )

    def run(self) -> Process:
        """Renew the lease forever."""
        while True:
            started_s = self.fleet.clock.now_s
            yield from self.renew()
            interval_s = renewal_interval_s(self.lease, self.fleet.clock.now_s)
            elapsed_s = self.fleet.clock.now_s - started_s
            yield max(0.1, interval_s - elapsed_s)

    def renew(self) -> Process:
        """Try the sources of a renewal in order until the lease is fresh."""
        clock = self.fleet.clock
        plan = plan_renewal(self.lease, clock.now_s)
        answered = False
        for source in plan.order:
            match source:
                case ReadTable():
                    yield from self._read()
                case AskPeer():
                    answered = (yield from self._ask(source)) or answered
            if is_fresh(self.lease, clock.now_s):
                return True
        if not answered and plan.fallback is not None:
            yield from self._read()
        if is_fresh(self.lease, clock.now_s):
            return True
        yield from clock.join(self._ask(ask) for ask in plan.contact_asks)
        asks = asks_of_unattested_peers(self.lease, clock.now_s)
        yield from clock.join(self._ask(ask) for ask in asks)
        self.process_event(TimePassed())
        return False

    def _read(self) -> Process:
        sent_at_s = self.fleet.clock.now_s
        has_read = yield from self.fleet.read_table(self)
        if has_read:
            table = self.fleet.table
            self.process_event(
                TableRead(sent_at_s, table.version, table.roster)
            )
        return has_read

    def _ask(self, ask: AskPeer) -> Process:
        sent_at_s = self.fleet.clock.now_s
        peer = self.fleet.instances[ask.entry.incarnation]
        message = AskReport(
            self.lease.incarnation,
            self.lease.highest_version,
            self.lease.applied,
            self.lease.roster.revision,
            ask.contact,
            False,
            ask.entry.incarnation,
            self.last_sent_s_by_peer.get(ask.entry.incarnation, 0.0),
        )
        if not (yield from self.fleet.send(self, peer, message)):
            return False
        report = peer.answer(message)
        yield from self.fleet.send(peer, self, report)
        self.last_sent_s_by_peer[report.incarnation] = report.sent_s
        lease_report = LeaseReport(
            report.version,
            self.lease.roster,
            report.read_age_s,
            report.attestations,
            frozenset(report.dead),
            report.group_ages,
        )
        self.process_event(PeerReported(sent_at_s, lease_report))
        if requires_echo(self.lease, ask):
            yield from self._ask(AskPeer(ask.entry))
        return True

    def answer(self, message: AskReport) -> PeerReport:
        """Answer a peer as the driver does."""
        now_s = self.fleet.clock.now_s
        if message.echo_s:
            own = (AttestationAge(message.incarnation, 0.0),)
            report = LeaseReport(
                message.version, self.lease.roster, None, own, frozenset()
            )
            self.process_event(PeerReported(message.echo_s, report))
        report = self.lease.report(now_s, message.contact, message.incarnation)
        rows = (CHANGE_ROW,) if message.applied < self.lease.applied else ()
        return PeerReport(
            self.lease.incarnation,
            now_s,
            report.version,
            report.roster.revision,
            report.read_age_s,
            None,
            report.attestations,
            report.group_ages,
            tuple(report.dead),
            False,
            rows,
        )

    def commit(self, change: Change) -> Process:
        """Commit a change, push it and wait until it is accepted."""
        for _ in range(2):
            yield from self.fleet.read_table(self)
        yield self.fleet.table.round_trip_s
        self.fleet.table.version = change.version
        self.fleet.table.writes += 1
        change.committed_at_s = self.fleet.clock.now_s
        self.fleet.on_committed()
        self.process_event(VersionApplied(change.version))
        self._record_in_force(change.version, self.fleet.clock.now_s)
        acceptance = Acceptance(change.version, self.fleet.clock.now_s)
        if (yield from self.fleet.read_table(self)):
            acceptance = acceptance.on_roster(self.fleet.table.roster)
        applied_ids: set[Incarnation] = set()
        yield from self.fleet.clock.join(
            self._push_changes(entry, change.version, applied_ids)
            for entry in self._first_targets()
        )
        while change.accepted_at_s is None:
            for incarnation in sorted(applied_ids):
                acceptance = acceptance.on_applied(incarnation)
            now_s = self.fleet.clock.now_s
            if acceptance.is_accepted(self.lease, self.status, now_s):
                change.accepted_at_s = now_s
            else:
                yield 0.1
        return True

    def _first_targets(self) -> list[RosterEntry]:
        relays = group_relays(self.lease)
        others = [entry for entry in relays if entry != self.entry]
        if len(others) == len(relays):
            return others
        candidates = relay_candidates(self.lease, self.entry.group_id)
        return [*others, *(e for e in candidates if e != self.entry)]

    def _push_changes(
        self,
        entry: RosterEntry,
        version: Version,
        applied_ids: set[Incarnation],
    ) -> Process:
        peer = self.fleet.instances[entry.incarnation]
        forward = entry in group_relays(self.lease)
        message = PushChanges(version, (CHANGE_ROW,), forward)
        if not (yield from self.fleet.send(self, peer, message)):
            return False
        peer.process_event(VersionApplied(version))
        peer.record_in_force(version)
        applied = {entry.incarnation}
        if forward:
            yield from self.fleet.clock.join(
                peer.forward_to(other, version, applied)
                for other in relay_candidates(peer.lease, entry.group_id)
                if other.incarnation
                not in (entry.incarnation, self.lease.incarnation)
            )
        answer = ChangesApplied(tuple(sorted(applied)))
        yield from self.fleet.send(peer, self, answer)
        applied_ids |= applied
        return True

    def forward_to(
        self, entry: RosterEntry, version: Version, applied: set[Incarnation]
    ) -> Process:
        """Forward a version to a member of the relay's domain."""
        peer = self.fleet.instances[entry.incarnation]
        message = PushChanges(version, (CHANGE_ROW,), False)
        if not (yield from self.fleet.send(self, peer, message)):
            return False
        peer.process_event(VersionApplied(version))
        peer.record_in_force(version)
        answer = ChangesApplied((entry.incarnation,))
        yield from self.fleet.send(peer, self, answer)
        applied.add(entry.incarnation)
        return True

    def record_in_force(self, version: Version) -> None:
        """Record that a pushed version is in force now."""
        self._record_in_force(version, self.fleet.clock.now_s)


class VirtualFleet:
    """Simulates the instances, the network between them and the table."""

    def __init__(self, instances: int, domains: int, seed: int) -> None:
        entries = assign_groups(
            RosterEntry(
                Incarnation(f'{number:016x}'),
                number + 1,
                domain_id=DomainId(f'd{number % domains}'),
                region_id=RegionId(f'r{number % domains * 3 // domains}'),
            )
            for number in range(instances)
        )
        self.clock = Clock()
        self.table = Table(Roster(instances, entries))
        self.random = Random(seed)
        self.change: Change | None = None
        self.partitioned_domain: DomainId | None = None
        self.paused_incarnation: Incarnation | None = None
        self.fault_at_commit = ''
        self.instances = {
            entry.incarnation: Instance(self, entry) for entry in entries
        }
        for instance in self.instances.values():
            phase_s = self.random.random() * LEASE_S / RENEWALS_PER_LEASE
            self.clock.spawn(instance.run(), phase_s)

    def is_partitioned(self, instance: Instance) -> bool:
        """Return whether an instance is partitioned from the other domains."""
        return instance.entry.domain_id == self.partitioned_domain

    def is_paused(self, instance: Instance) -> bool:
        """Return whether an instance's process is paused."""
        return instance.entry.incarnation == self.paused_incarnation

    def read_table(self, instance: Instance) -> Process:
        """Read the table once; return False after a timeout or a refusal."""
        self.table.reads += 1
        instance.counts.message_bytes += TABLE_REQUEST_BYTES
        if self.is_partitioned(instance) or self.is_paused(instance):
            yield TABLE_TIMEOUT_S
            return False
        yield self.table.round_trip_s / 2
        if not self.table.is_up:
            return False
        yield self.table.round_trip_s / 2
        return True

    def send(
        self, source: Instance, target: Instance, message: object
    ) -> Process:
        """Send a message; return False if it does not arrive in time."""
        size = len(encode(message)[1]) + FRAME_BYTES
        source.counts.messages += 1
        source.counts.message_bytes += size
        is_blocked = self.is_partitioned(source) != self.is_partitioned(target)
        if is_blocked or self.is_paused(target) or self.is_paused(source):
            yield ASK_TIMEOUT_S
            return False
        target.counts.messages += 1
        target.counts.message_bytes += size
        is_same_region = source.entry.region_id == target.entry.region_id
        yield REGION_DELAY_S if is_same_region else CROSS_REGION_DELAY_S
        return True

    def on_committed(self) -> None:
        """Inject the fault that is due at the commit."""
        match self.fault_at_commit:
            case 'down':
                self.table.is_up = False
            case 'cut':
                self.partitioned_domain = self.remote_domain
            case 'paused':
                self.paused_incarnation = self.paused_target
        self.fault_at_commit = ''

    def run_change(self, number: int, fault: str, limit_s: float) -> Change:
        """Run one change with a fault that begins at its commit.

        An instance that has not applied it stops using the old version when
        its lease expires.
        """
        names = sorted(self.instances)
        source = self.instances[self.random.choice(names)]
        others = [
            name
            for name in names
            if self.instances[name].entry.domain_id != source.entry.domain_id
        ]
        self.paused_target = self.random.choice(others)
        self.remote_domain = self.instances[self.paused_target].entry.domain_id
        self.fault_at_commit = fault
        change = Change(Version(number), self.clock.now_s)
        self.change = change
        self.clock.spawn(source.commit(change))
        self.clock.run_until(self.clock.now_s + limit_s)
        for name, instance in self.instances.items():
            in_force_at_s = max(
                instance.lease.expires_at_s(), change.committed_at_s
            )
            change.in_force_at_s_by_id.setdefault(name, in_force_at_s)
        self.table.is_up = True
        self.partitioned_domain = None
        self.paused_incarnation = None
        self.clock.run_until(self.clock.now_s + 2 * LEASE_S)
        return change
