"""Search the reachable states of the lease rules for violations.

The rules are the decision modules themselves. After a commit is accepted, no
instance with a valid lease may still act on the state before it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from functools import cache
from random import Random
from typing import Any
from typing import NamedTuple

from jackdawfield.decisions.acceptance import Acceptance
from jackdawfield.decisions.acceptance import MemberStatus
from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseReport
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import NEVER_S
from jackdawfield.decisions.lease import PeerDead
from jackdawfield.decisions.lease import PeerReported
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.lease import TimePassed
from jackdawfield.decisions.lease import VersionApplied
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.model import Incarnation
from jackdawfield.model import Version

NAMES = (Incarnation('a'), Incarnation('b'), Incarnation('j'))
EVICTED = 1
NEWCOMER = 2
UNLIMITED_S = 1e9


class Subject(Enum):
    """Represents the kind of change that is committed and accepted."""

    VERSION = 'version'
    EVICTION = 'eviction'


@dataclass(frozen=True, slots=True)
class Rules:
    """Holds the decision classes to explore and the limits of the search."""

    lease_class: type[Lease] = Lease
    status_class: type[MemberStatus] = MemberStatus
    acceptance_class: type[Acceptance] = Acceptance
    subject: Subject = Subject.VERSION
    lease_ticks: int = 2
    outage_limit_ticks: float = UNLIMITED_S
    committers: frozenset[int] = frozenset({0, 1, 2})
    crashable: frozenset[int] = frozenset({0, 1, 2})
    crash_limit: int = 1
    newcomer: bool = True
    late_answers: bool = False
    state_limit: int = 150_000


@dataclass(frozen=True, slots=True)
class Node:
    """Holds the state of one member as numbers of interned objects."""

    alive: bool
    lease: int
    status: int
    acceptance: int


DEAD = Node(False, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class LateAnswer:
    """Holds an answer in transit, its report as an object number."""

    reader: int
    asked_at_s: float
    report: int


class World(NamedTuple):
    """Holds a state as numbers of interned objects; a node of 0 is absent.

    Every state is at time 0: a tick shifts all stored times into the past.
    """

    version: int
    roster: int
    nodes: tuple[int, ...]
    accepted: bool = False
    deaths: int = 0
    late_answer: int = 0


@dataclass(frozen=True, slots=True)
class Exploration:
    """Holds the size of a search and the path to the first violation."""

    states: int
    depth: int
    complete: bool
    violation: tuple[str, ...] | None


class Explorer:
    """Searches all orders of events up to the limit of states."""

    def __init__(self, rules: Rules) -> None:
        """Prepare a search; objects are interned to keep states small."""
        self.rules = rules
        self._objects: list[Any] = [None]
        self._number_by_object: dict[Any, int] = {None: 0}
        settings = LeaseSettings(
            lease_s=float(rules.lease_ticks),
            outage_limit_s=rules.outage_limit_ticks,
        )
        self._settings = settings
        self._oldest_s = -float(
            min(rules.outage_limit_ticks, rules.lease_ticks)
            if rules.outage_limit_ticks == UNLIMITED_S
            else rules.outage_limit_ticks
        )
        for name in (
            '_read_table',
            '_commit_change',
            '_ask',
            '_receive_push',
            '_advance_or_record_death',
            '_confirm_status',
            '_age_object',
            '_is_accepted',
            '_is_stale',
            '_report',
            '_deliver',
        ):
            setattr(self, name, cache(getattr(self, name)))

    def run(self) -> Exploration:
        """Return the result of a breadth-first search."""
        first = self._initial_world()
        parents: dict[World, tuple[World, str] | None] = {first: None}
        level = [first]
        depth = 0
        while level:
            next_level = []
            for world in level:
                for label, after in self._successors(world):
                    if after in parents:
                        continue
                    parents[after] = (world, label)
                    if self._violates_rule(after):
                        path = _trace_path(parents, after)
                        return Exploration(len(parents), depth, False, path)
                    if not self._is_settled(after):
                        next_level.append(after)
                if len(parents) >= self.rules.state_limit:
                    return Exploration(len(parents), depth, False, None)
            level = next_level
            depth += 1
        return Exploration(len(parents), depth, True, None)

    def walk(self, walks: int, steps: int, seed: int) -> Exploration:
        """Return the result of random walks, which go deeper than a search."""
        generator = Random(seed)
        states = 0
        for _ in range(walks):
            world, labels = self._initial_world(), []
            for _ in range(steps):
                moves = [
                    move
                    for move in self._successors(world)
                    if move[1] != world
                ]
                label, world = generator.choice(moves)
                labels.append(label)
                states += 1
                if self._violates_rule(world):
                    return Exploration(states, steps, False, tuple(labels))
        return Exploration(states, steps, False, None)

    def _intern(self, value: Any) -> int:
        number = self._number_by_object.get(value)
        if number is None:
            number = len(self._objects)
            self._number_by_object[value] = number
            self._objects.append(value)
        return number

    def _initial_world(self) -> World:
        entries = (RosterEntry(NAMES[0], 1), RosterEntry(NAMES[1], 2))
        roster = Roster(2, entries)
        nodes = []
        for name in NAMES[:2]:
            lease = self.rules.lease_class(
                incarnation=name, settings=self._settings, roster=roster
            ).on(TableRead(0.0, Version(0), roster), 0.0)
            status = self.rules.status_class(
                joined_at_s=-UNLIMITED_S, confirmed=True
            )
            nodes.append(self._node(True, lease, status, None))
        return World(0, self._intern(roster), (*nodes, 0))

    def _node(
        self,
        alive: bool,
        lease: Lease,
        status: MemberStatus,
        acceptance: Acceptance | None,
    ) -> int:
        return self._intern(
            Node(
                alive,
                self._intern(lease),
                self._intern(status),
                self._intern(acceptance),
            )
        )

    def _unpack(
        self, number: int
    ) -> tuple[Lease, MemberStatus, Acceptance | None]:
        node = self._objects[number]
        return (
            self._objects[node.lease],
            self._objects[node.status],
            self._objects[node.acceptance],
        )

    def _apply_and_intern(
        self,
        lease: Lease,
        status: MemberStatus,
        acceptance: Acceptance | None,
    ) -> int:
        if lease.applied < lease.highest_version:
            lease = lease.on(VersionApplied(lease.highest_version), 0.0)
        status = status.on_roster(lease.roster, 0.0)
        status = self._keep_newcomer_listing(status)
        return self._node(True, lease, status, acceptance)

    def _keep_newcomer_listing(self, status: MemberStatus) -> MemberStatus:
        kept = tuple(
            item
            for item in status.listings
            if item.incarnation == NAMES[NEWCOMER]
        )
        return replace(status, listings=kept)

    def _successors(self, world: World) -> Iterator[tuple[str, World]]:
        alive = [
            index
            for index, number in enumerate(world.nodes)
            if number and self._objects[number].alive
        ]
        yield 'tick', self._tick(world)
        if self.rules.newcomer and not world.nodes[NEWCOMER]:
            yield 'join', self._join(world)
        for index in alive:
            yield from self._local_steps(world, index)
            for other, number in enumerate(world.nodes):
                if other != index and number:
                    yield from self._pair_steps(world, index, other)
        yield from self._late_steps(world)

    def _local_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        name, number = NAMES[index], world.nodes[index]
        after = self._read_table(number, world.version, world.roster)
        yield f'{name} reads', self._replace_node(world, index, after)
        yield (
            f'{name} advances its clock',
            self._replace_node(
                world, index, self._advance_or_record_death(number, '')
            ),
        )
        yield from self._commit_steps(world, index)
        if (
            index in self.rules.crashable
            and world.deaths < self.rules.crash_limit
        ):
            dead = self._replace_node(world, index, self._intern(DEAD))
            yield f'{name} dies', dead._replace(deaths=world.deaths + 1)

    def _commit_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        roster = self._objects[world.roster]
        entry = roster.entry(NAMES[index])
        if entry.evicted or index not in self.rules.committers:
            return
        if self._objects[world.nodes[index]].acceptance:
            return
        if self.rules.subject is Subject.VERSION:
            after = world._replace(version=1)
        elif index == EVICTED:
            return
        else:
            after = world._replace(roster=self._intern(_evict(roster)))
        number = self._commit_change(
            world.nodes[index], after.version, after.roster
        )
        yield (
            f'{NAMES[index]} commits',
            self._replace_node(after, index, number),
        )

    def _pair_steps(
        self, world: World, index: int, other: int
    ) -> Iterator[tuple[str, World]]:
        number, peer = world.nodes[index], world.nodes[other]
        names = f'{NAMES[index]} {NAMES[other]}'
        if not self._objects[peer].alive:
            after = self._advance_or_record_death(number, NAMES[other])
            yield (
                f'{names} proof of death',
                self._replace_node(world, index, after),
            )
            return
        after = self._ask(number, peer)
        yield f'{names} asks', self._replace_node(world, index, after)
        if index == NEWCOMER:
            after = self._confirm_status(number, peer)
            yield (
                f'{names} asks to confirm',
                self._replace_node(world, index, after),
            )
        if self._objects[peer].acceptance:
            received = self._replace_node(
                world, index, self._receive_push(number, peer)
            )
            acknowledged = self._record_applied(peer, NAMES[index])
            yield (
                f'{names} receives the push',
                self._replace_node(received, other, acknowledged),
            )
        if self.rules.late_answers and not world.late_answer:
            late_answer = LateAnswer(index, 0.0, self._report(peer))
            yield (
                f'{names} asks, answer late',
                world._replace(late_answer=self._intern(late_answer)),
            )

    def _late_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if not world.late_answer:
            return
        late_answer = self._objects[world.late_answer]
        yield 'answer lost', world._replace(late_answer=0)
        number = world.nodes[late_answer.reader]
        if not self._objects[number].alive:
            return
        after = self._deliver(number, world.late_answer)
        delivered = self._replace_node(world, late_answer.reader, after)
        yield 'late answer arrives', delivered._replace(late_answer=0)

    def _replace_node(self, world: World, index: int, number: int) -> World:
        if world.nodes[index] == number:
            return world
        nodes = list(world.nodes)
        nodes[index] = number
        accepted = world.accepted or any(
            item and self._is_accepted(item) for item in nodes
        )
        return world._replace(nodes=tuple(nodes), accepted=accepted)

    def _join(self, world: World) -> World:
        roster = self._objects[world.roster]
        entry = RosterEntry(NAMES[NEWCOMER], roster.revision + 1)
        after = Roster(roster.revision + 1, (*roster.entries, entry))
        lease = self.rules.lease_class(
            incarnation=NAMES[NEWCOMER], settings=self._settings
        )
        status = self.rules.status_class(joined_at_s=0.0)
        node = self._node(True, lease, status, None)
        joined = world._replace(roster=self._intern(after))
        return self._replace_node(joined, NEWCOMER, node)

    def _tick(self, world: World) -> World:
        aged = world._replace(
            nodes=tuple(
                item and self._age_object(item) for item in world.nodes
            ),
            late_answer=world.late_answer
            and self._age_object(world.late_answer),
        )
        accepted = any(item and self._is_accepted(item) for item in aged.nodes)
        return aged._replace(accepted=world.accepted or accepted)

    def _read_table(
        self, number: int, version: int, roster_number: int
    ) -> int:
        lease, status, acceptance = self._unpack(number)
        roster = self._objects[roster_number]
        lease = lease.on(TableRead(0.0, Version(version), roster), 0.0)
        if acceptance is not None:
            acceptance = acceptance.on_roster(roster)
        return self._apply_and_intern(lease, status, acceptance)

    def _commit_change(self, number: int, version: int, roster: int) -> int:
        lease, status, _ = self._unpack(number)
        acceptance = self.rules.acceptance_class(
            version=Version(version), committed_at_s=0.0
        )
        lease = lease.on(VersionApplied(Version(version)), 0.0)
        if self.rules.subject is Subject.EVICTION:
            report = LeaseReport(
                Version(version), self._objects[roster], None, (), frozenset()
            )
            lease = lease.on(PeerReported(0.0, report), 0.0)
        return self._apply_and_intern(lease, status, acceptance)

    def _ask(self, number: int, peer: int) -> int:
        report = self._objects[self._report(peer)]
        return self._receive_report(number, 0.0, report)

    def _deliver(self, number: int, late_answer: int) -> int:
        answer = self._objects[late_answer]
        report = self._objects[answer.report]
        return self._receive_report(number, answer.asked_at_s, report)

    def _receive_report(
        self, number: int, asked_at_s: float, report: LeaseReport
    ) -> int:
        lease, status, acceptance = self._unpack(number)
        lease = lease.on(PeerReported(asked_at_s, report), 0.0)
        return self._apply_and_intern(lease, status, acceptance)

    def _report(self, peer: int) -> int:
        return self._intern(self._unpack(peer)[0].report(0.0))

    def _receive_push(self, number: int, peer: int) -> int:
        peer_lease = self._unpack(peer)[0]
        report = LeaseReport(
            peer_lease.highest_version,
            peer_lease.roster,
            None,
            (),
            frozenset(),
        )
        return self._receive_report(number, 0.0, report)

    def _record_applied(self, number: int, incarnation: Incarnation) -> int:
        lease, status, acceptance = self._unpack(number)
        assert acceptance is not None
        return self._apply_and_intern(
            lease, status, acceptance.on_applied(incarnation)
        )

    def _advance_or_record_death(self, number: int, incarnation: str) -> int:
        lease, status, acceptance = self._unpack(number)
        event = PeerDead(Incarnation(incarnation)) if incarnation else None
        lease = lease.on(event or TimePassed(), 0.0)
        return self._apply_and_intern(lease, status, acceptance)

    def _confirm_status(self, number: int, peer: int) -> int:
        lease, status, acceptance = self._unpack(number)
        other_lease, other_status, _ = self._unpack(peer)
        if other_status.may_confirm(lease.incarnation, other_lease, 0.0):
            status = status.on_confirmed()
        return self._apply_and_intern(lease, status, acceptance)

    def _age_object(self, number: int) -> int:
        value = self._objects[number]
        if isinstance(value, LateAnswer):
            at_s = max(value.asked_at_s - 1.0, self._oldest_s)
            return self._intern(replace(value, asked_at_s=at_s))
        if value == DEAD:
            return number
        lease, status, acceptance = self._unpack(number)
        if acceptance is not None:
            at_s = max(acceptance.committed_at_s - 1.0, self._oldest_s)
            acceptance = replace(acceptance, committed_at_s=at_s)
        return self._node(
            value.alive,
            self._age_lease(lease),
            self._age_status(status),
            acceptance,
        )

    def _age_lease(self, lease: Lease) -> Lease:
        lease_s = self._settings.lease_s
        contact_at_s = lease.contact_at_s - 1.0
        return replace(
            lease,
            newest_read_at_s=self._age_time(lease.newest_read_at_s),
            renewing_read_at_s=self._age_time(lease.renewing_read_at_s),
            contact_at_s=contact_at_s if contact_at_s > -lease_s else NEVER_S,
            attestations=tuple(
                replace(item, asked_at_s=item.asked_at_s - 1.0)
                for item in lease.attestations
                if item.asked_at_s - 1.0 > -lease_s
            ),
        )

    def _age_status(self, status: MemberStatus) -> MemberStatus:
        return replace(
            status,
            joined_at_s=self._age_time(status.joined_at_s),
            listings=tuple(
                replace(item, listed_at_s=self._age_time(item.listed_at_s))
                for item in status.listings
            ),
        )

    def _age_time(self, at_s: float) -> float:
        return at_s if at_s == NEVER_S else max(at_s - 1.0, self._oldest_s)

    def _is_accepted(self, number: int) -> bool:
        lease, status, acceptance = self._unpack(number)
        if acceptance is None:
            return False
        return acceptance.is_accepted(lease, status, 0.0)

    def _is_stale(self, number: int) -> bool:
        lease = self._unpack(number)[0]
        if lease is None or not lease.is_valid(0.0):
            return False
        if self.rules.subject is Subject.EVICTION:
            return lease.incarnation == NAMES[EVICTED]
        return lease.applied < 1

    def _is_settled(self, world: World) -> bool:
        """Return whether no instance can still act on the old state."""
        if self.rules.subject is Subject.EVICTION:
            return self._has_applied(world.nodes[EVICTED], world)
        return world.version == 1 and all(
            self._has_applied(number, world)
            for number in world.nodes
            if number
        )

    def _has_applied(self, number: int, world: World) -> bool:
        lease = self._unpack(number)[0]
        if lease is None:
            return True
        if self.rules.subject is Subject.VERSION:
            return lease.applied == 1
        entry = lease.roster.entry(lease.incarnation)
        return entry is not None and entry.evicted

    def _violates_rule(self, world: World) -> bool:
        return world.accepted and any(
            item and self._is_stale(item) for item in world.nodes
        )


def _evict(roster: Roster) -> Roster:
    if any(entry.evicted for entry in roster.entries):
        return roster
    return Roster(
        roster.revision + 1,
        tuple(
            replace(entry, evicted=entry.incarnation == NAMES[EVICTED])
            for entry in roster.entries
        ),
    )


def _trace_path(
    parents: dict[World, tuple[World, str] | None], world: World
) -> tuple[str, ...]:
    labels = []
    step = parents[world]
    while step is not None:
        world, label = step
        labels.append(label)
        step = parents[world]
    return tuple(reversed(labels))
