"""Explores the lease rules breadth first over the decision modules."""

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
from jackdawfield.decisions.lease import ClockAdvanced
from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseReport
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import NEVER_S
from jackdawfield.decisions.lease import PeerDead
from jackdawfield.decisions.lease import PeerReported
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.lease import VersionApplied
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.model import Incarnation
from jackdawfield.model import Version

NAMES = (Incarnation('a'), Incarnation('b'), Incarnation('j'))
EVICTED = 1
NEWCOMER = 2
FAR_S = 1e9


class Subject(Enum):
    """Names what is committed and then accepted."""

    VERSION = 'version'
    EVICTION = 'eviction'


@dataclass(frozen=True, slots=True)
class Rules:
    """Holds the decision classes to explore, and the bounds."""

    lease_class: type[Lease] = Lease
    standing_class: type[MemberStatus] = MemberStatus
    acceptance_class: type[Acceptance] = Acceptance
    subject: Subject = Subject.VERSION
    lease_ticks: int = 2
    outage_limit_ticks: float = FAR_S
    committers: frozenset[int] = frozenset({0, 1, 2})
    mortals: frozenset[int] = frozenset({0, 1, 2})
    deaths: int = 1
    newcomer: bool = True
    late_answers: bool = False
    state_limit: int = 150_000


@dataclass(frozen=True, slots=True)
class Node:
    """Holds one member's decisions."""

    alive: bool
    lease: int
    standing: int
    acceptance: int


DEAD = Node(False, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class Late:
    """Holds an answer that is still under way."""

    reader: int
    asked_at_s: float
    report: int


class World(NamedTuple):
    """Holds the table, the members and what was accepted, at time 0."""

    version: int
    roster: int
    nodes: tuple[int, ...]
    accepted: bool = False
    deaths: int = 0
    late: int = 0


@dataclass(frozen=True, slots=True)
class Exploration:
    """Reports a search: its size and the first violation's path."""

    states: int
    depth: int
    complete: bool
    violation: tuple[str, ...] | None


class Explorer:
    """Searches all orders of events up to a number of states."""

    def __init__(self, rules: Rules) -> None:
        """Hold the rules; objects are numbered so that states stay small."""
        self.rules = rules
        self._objects: list[Any] = [None]
        self._numbers: dict[Any, int] = {None: 0}
        settings = LeaseSettings(
            lease_s=float(rules.lease_ticks),
            outage_limit_s=rules.outage_limit_ticks,
        )
        self._settings = settings
        self._oldest_s = -float(
            min(rules.outage_limit_ticks, rules.lease_ticks)
            if rules.outage_limit_ticks == FAR_S
            else rules.outage_limit_ticks
        )
        for name in (
            '_read',
            '_commit',
            '_contact',
            '_learn',
            '_proof',
            '_confirm',
            '_age',
            '_accepts',
            '_stale',
            '_report',
            '_deliver',
        ):
            setattr(self, name, cache(getattr(self, name)))

    def run(self) -> Exploration:
        """Return what a breadth-first search found."""
        first = self._first()
        parents: dict[World, tuple[World, str] | None] = {first: None}
        level = [first]
        depth = 0
        while level:
            following = []
            for world in level:
                for label, after in self._successors(world):
                    if after in parents:
                        continue
                    parents[after] = (world, label)
                    if self._violates(after):
                        path = _path(parents, after)
                        return Exploration(len(parents), depth, False, path)
                    if not self._settled(after):
                        following.append(after)
                if len(parents) >= self.rules.state_limit:
                    return Exploration(len(parents), depth, False, None)
            level = following
            depth += 1
        return Exploration(len(parents), depth, True, None)

    def walk(self, walks: int, steps: int, seed: int) -> Exploration:
        """Return what random walks found, deeper than a search can go."""
        generator = Random(seed)
        states = 0
        for _ in range(walks):
            world, labels = self._first(), []
            for _ in range(steps):
                moves = [
                    move
                    for move in self._successors(world)
                    if move[1] != world
                ]
                label, world = generator.choice(moves)
                labels.append(label)
                states += 1
                if self._violates(world):
                    return Exploration(states, steps, False, tuple(labels))
        return Exploration(states, steps, False, None)

    def _number(self, value: Any) -> int:
        number = self._numbers.get(value)
        if number is None:
            number = len(self._objects)
            self._numbers[value] = number
            self._objects.append(value)
        return number

    def _first(self) -> World:
        entries = (RosterEntry(NAMES[0], 1), RosterEntry(NAMES[1], 2))
        roster = Roster(2, entries)
        nodes = []
        for name in NAMES[:2]:
            lease = self.rules.lease_class(
                incarnation=name, settings=self._settings, roster=roster
            ).on(TableRead(0.0, Version(0), roster), 0.0)
            standing = self.rules.standing_class(
                joined_at_s=-FAR_S, confirmed=True
            )
            nodes.append(self._node(True, lease, standing, None))
        return World(0, self._number(roster), (*nodes, 0))

    def _node(
        self,
        alive: bool,
        lease: Lease,
        standing: MemberStatus,
        acceptance: Acceptance | None,
    ) -> int:
        return self._number(
            Node(
                alive,
                self._number(lease),
                self._number(standing),
                self._number(acceptance),
            )
        )

    def _parts(
        self, number: int
    ) -> tuple[Lease, MemberStatus, Acceptance | None]:
        node = self._objects[number]
        return (
            self._objects[node.lease],
            self._objects[node.standing],
            self._objects[node.acceptance],
        )

    def _keep(
        self,
        lease: Lease,
        standing: MemberStatus,
        acceptance: Acceptance | None,
    ) -> int:
        if lease.applied < lease.highest_version:
            lease = lease.on(VersionApplied(lease.highest_version), 0.0)
        standing = standing.on_roster(lease.roster, 0.0)
        standing = self._only_newcomer(standing)
        return self._node(True, lease, standing, acceptance)

    def _only_newcomer(self, standing: MemberStatus) -> MemberStatus:
        kept = tuple(
            item
            for item in standing.listings
            if item.incarnation == NAMES[NEWCOMER]
        )
        return replace(standing, listings=kept)

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
            yield from self._own_steps(world, index)
            for other, number in enumerate(world.nodes):
                if other != index and number:
                    yield from self._pair_steps(world, index, other)
        yield from self._late_steps(world)

    def _own_steps(
        self, world: World, index: int
    ) -> Iterator[tuple[str, World]]:
        name, number = NAMES[index], world.nodes[index]
        after = self._read(number, world.version, world.roster)
        yield f'{name} reads', self._with(world, index, after)
        yield (
            f'{name} refreshes',
            self._with(world, index, self._proof(number, '')),
        )
        yield from self._commit_steps(world, index)
        if index in self.rules.mortals and world.deaths < self.rules.deaths:
            dead = self._with(world, index, self._number(DEAD))
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
            after = world._replace(roster=self._number(_evict(roster)))
        number = self._commit(world.nodes[index], after.version, after.roster)
        yield f'{NAMES[index]} commits', self._with(after, index, number)

    def _pair_steps(
        self, world: World, index: int, other: int
    ) -> Iterator[tuple[str, World]]:
        number, peer = world.nodes[index], world.nodes[other]
        names = f'{NAMES[index]} {NAMES[other]}'
        if not self._objects[peer].alive:
            after = self._proof(number, NAMES[other])
            yield f'{names} proof of death', self._with(world, index, after)
            return
        after = self._contact(number, peer)
        yield f'{names} asks', self._with(world, index, after)
        if index == NEWCOMER:
            after = self._confirm(number, peer)
            yield f'{names} asks to confirm', self._with(world, index, after)
        if self._objects[peer].acceptance:
            told = self._with(world, index, self._learn(number, peer))
            acked = self._told(peer, NAMES[index])
            yield f'{names} is told', self._with(told, other, acked)
        if self.rules.late_answers and not world.late:
            late = Late(index, 0.0, self._report(peer))
            yield (
                f'{names} asks, answer late',
                world._replace(late=self._number(late)),
            )

    def _late_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if not world.late:
            return
        late = self._objects[world.late]
        yield 'answer lost', world._replace(late=0)
        number = world.nodes[late.reader]
        if not self._objects[number].alive:
            return
        after = self._deliver(number, world.late)
        delivered = self._with(world, late.reader, after)
        yield 'late answer arrives', delivered._replace(late=0)

    def _with(self, world: World, index: int, number: int) -> World:
        if world.nodes[index] == number:
            return world
        nodes = list(world.nodes)
        nodes[index] = number
        accepted = world.accepted or any(
            item and self._accepts(item) for item in nodes
        )
        return world._replace(nodes=tuple(nodes), accepted=accepted)

    def _join(self, world: World) -> World:
        roster = self._objects[world.roster]
        entry = RosterEntry(NAMES[NEWCOMER], roster.revision + 1)
        after = Roster(roster.revision + 1, (*roster.entries, entry))
        lease = self.rules.lease_class(
            incarnation=NAMES[NEWCOMER], settings=self._settings
        )
        standing = self.rules.standing_class(joined_at_s=0.0)
        node = self._node(True, lease, standing, None)
        joined = world._replace(roster=self._number(after))
        return self._with(joined, NEWCOMER, node)

    def _tick(self, world: World) -> World:
        aged = world._replace(
            nodes=tuple(item and self._age(item) for item in world.nodes),
            late=world.late and self._age(world.late),
        )
        accepted = any(item and self._accepts(item) for item in aged.nodes)
        return aged._replace(accepted=world.accepted or accepted)

    def _read(self, number: int, version: int, roster: int) -> int:
        lease, standing, acceptance = self._parts(number)
        found = self._objects[roster]
        lease = lease.on(TableRead(0.0, Version(version), found), 0.0)
        if acceptance is not None:
            acceptance = acceptance.on_roster(found)
        return self._keep(lease, standing, acceptance)

    def _commit(self, number: int, version: int, roster: int) -> int:
        lease, standing, _ = self._parts(number)
        acceptance = self.rules.acceptance_class(
            version=Version(version), committed_at_s=0.0
        )
        lease = lease.on(VersionApplied(Version(version)), 0.0)
        if self.rules.subject is Subject.EVICTION:
            heard = LeaseReport(
                Version(version), self._objects[roster], None, (), frozenset()
            )
            lease = lease.on(PeerReported(0.0, heard), 0.0)
        return self._keep(lease, standing, acceptance)

    def _contact(self, number: int, peer: int) -> int:
        report = self._objects[self._report(peer)]
        return self._hear(number, 0.0, report)

    def _deliver(self, number: int, late: int) -> int:
        answer = self._objects[late]
        report = self._objects[answer.report]
        return self._hear(number, answer.asked_at_s, report)

    def _hear(
        self, number: int, asked_at_s: float, report: LeaseReport
    ) -> int:
        lease, standing, acceptance = self._parts(number)
        lease = lease.on(PeerReported(asked_at_s, report), 0.0)
        return self._keep(lease, standing, acceptance)

    def _report(self, peer: int) -> int:
        return self._number(self._parts(peer)[0].report(0.0))

    def _learn(self, number: int, peer: int) -> int:
        known = self._parts(peer)[0]
        report = LeaseReport(
            known.highest_version, known.roster, None, (), frozenset()
        )
        return self._hear(number, 0.0, report)

    def _told(self, number: int, incarnation: Incarnation) -> int:
        lease, standing, acceptance = self._parts(number)
        assert acceptance is not None
        return self._keep(lease, standing, acceptance.on_applied(incarnation))

    def _proof(self, number: int, incarnation: str) -> int:
        lease, standing, acceptance = self._parts(number)
        event = PeerDead(Incarnation(incarnation)) if incarnation else None
        lease = lease.on(event or ClockAdvanced(), 0.0)
        return self._keep(lease, standing, acceptance)

    def _confirm(self, number: int, peer: int) -> int:
        lease, standing, acceptance = self._parts(number)
        other_lease, other_standing, _ = self._parts(peer)
        if other_standing.may_confirm(lease.incarnation, other_lease, 0.0):
            standing = standing.on_confirmed()
        return self._keep(lease, standing, acceptance)

    def _age(self, number: int) -> int:
        value = self._objects[number]
        if isinstance(value, Late):
            at_s = max(value.asked_at_s - 1.0, self._oldest_s)
            return self._number(replace(value, asked_at_s=at_s))
        if value == DEAD:
            return number
        lease, standing, acceptance = self._parts(number)
        if acceptance is not None:
            at_s = max(acceptance.committed_at_s - 1.0, self._oldest_s)
            acceptance = replace(acceptance, committed_at_s=at_s)
        return self._node(
            value.alive,
            self._older_lease(lease),
            self._older_standing(standing),
            acceptance,
        )

    def _older_lease(self, lease: Lease) -> Lease:
        lease_s = self._settings.lease_s
        contact_at_s = lease.contact_at_s - 1.0
        return replace(
            lease,
            newest_read_at_s=self._older(lease.newest_read_at_s),
            renewing_read_at_s=self._older(lease.renewing_read_at_s),
            contact_at_s=contact_at_s if contact_at_s > -lease_s else NEVER_S,
            attestations=tuple(
                replace(item, asked_at_s=item.asked_at_s - 1.0)
                for item in lease.attestations
                if item.asked_at_s - 1.0 > -lease_s
            ),
        )

    def _older_standing(self, standing: MemberStatus) -> MemberStatus:
        return replace(
            standing,
            joined_at_s=self._older(standing.joined_at_s),
            listings=tuple(
                replace(item, listed_at_s=self._older(item.listed_at_s))
                for item in standing.listings
            ),
        )

    def _older(self, at_s: float) -> float:
        return at_s if at_s == NEVER_S else max(at_s - 1.0, self._oldest_s)

    def _accepts(self, number: int) -> bool:
        lease, standing, acceptance = self._parts(number)
        if acceptance is None:
            return False
        return acceptance.is_accepted(lease, standing, 0.0)

    def _stale(self, number: int) -> bool:
        lease = self._parts(number)[0]
        if lease is None or not lease.is_valid(0.0):
            return False
        if self.rules.subject is Subject.EVICTION:
            return lease.incarnation == NAMES[EVICTED]
        return lease.applied < 1

    def _settled(self, world: World) -> bool:
        """Return whether no instance can act on the old state any more."""
        if self.rules.subject is Subject.EVICTION:
            return self._knows(world.nodes[EVICTED], world)
        return world.version == 1 and all(
            self._knows(number, world) for number in world.nodes if number
        )

    def _knows(self, number: int, world: World) -> bool:
        lease = self._parts(number)[0]
        if lease is None:
            return True
        if self.rules.subject is Subject.VERSION:
            return lease.applied == 1
        entry = lease.roster.entry(lease.incarnation)
        return entry is not None and entry.evicted

    def _violates(self, world: World) -> bool:
        return world.accepted and any(
            item and self._stale(item) for item in world.nodes
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


def _path(
    parents: dict[World, tuple[World, str] | None], world: World
) -> tuple[str, ...]:
    labels = []
    step = parents[world]
    while step is not None:
        world, label = step
        labels.append(label)
        step = parents[world]
    return tuple(reversed(labels))
