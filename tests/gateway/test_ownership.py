from dataclasses import dataclass
from dataclasses import field
import random
import unittest

from msgspec.structs import replace

from jackdawfield.gateway.member_rows import leaving
from jackdawfield.gateway.member_rows import MemberRow
from jackdawfield.gateway.member_rows import none_suspended
from jackdawfield.gateway.member_rows import suspended
from jackdawfield.gateway.ownership import FEED_LAG_S
from jackdawfield.gateway.ownership import Lost
from jackdawfield.gateway.ownership import Ownership
from jackdawfield.gateway.ownership import TAKEOVER_WAIT_S
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

ORGANISATIONS = [OrganisationId(f'o{n}') for n in range(4)]
NAMES = [InstanceId(f'i{n}') for n in range(5)]
STEP_S = 0.1
POLL_S = 0.8
ATTEST_S = 0.5


def member(
    name: str, incarnation: int = 0, established: bool = False
) -> MemberRow:
    return MemberRow(
        name, DomainId('d'), RegionId('r'), str(incarnation), established
    )


@dataclass
class Node:
    """Holds one instance of the exploration."""

    name: InstanceId
    ownership: Ownership
    incarnation: int = 0
    alive: bool = True
    cut_until_s: float = 0.0
    frozen_until_s: float = 0.0
    polled_at_s: float = 0.0
    joined: bool = False


@dataclass
class Fleet:
    """Runs instances against one table, with random troubles."""

    choose: random.Random
    now_s: float = 0.0
    table: dict[InstanceId, MemberRow] = field(default_factory=dict)
    version: int = 0
    past: list[tuple[float, dict[InstanceId, MemberRow]]] = field(
        default_factory=list
    )
    nodes: dict[InstanceId, Node] = field(default_factory=dict)
    handed: list[tuple[float, Lost]] = field(default_factory=list)
    worst: int = 0
    active_steps: int = 0
    store_away_until_s: float = 0.0
    active_while_away: int = 0

    def write(self, name: InstanceId, row: MemberRow) -> None:
        """Change the table."""
        self.table = {**self.table, name: row}
        self.past.append((self.now_s, self.table))
        self.version += 1

    def start(self, name: InstanceId) -> None:
        """Start a new incarnation."""
        old = self.nodes.get(name)
        number = old.incarnation + 1 if old else 0
        self.nodes[name] = Node(name, Ownership(name), number)

    def step(self) -> None:
        """Let all nodes that can read the table, then check."""
        self.now_s += STEP_S
        for node in self.nodes.values():
            if node.alive and node.cut_until_s <= self.now_s:
                if node.frozen_until_s <= self.now_s:
                    if self.store_away_until_s <= self.now_s:
                        self.poll(node)
                    self.ask_views(node)
        self.deliver()
        self.check()

    def poll(self, node: Node) -> None:
        """Read the table, perhaps as it was a moment ago."""
        if self.now_s - node.polled_at_s < POLL_S * self.choose.random():
            return
        node.polled_at_s = self.now_s
        if not node.joined:
            self.join(node)
        lag_s = FEED_LAG_S * self.choose.random() ** 4
        version, seen = self.table_at(self.now_s - lag_s)
        # A view never goes back.
        if version < node.ownership.version:
            return
        own = seen.get(node.name)
        if own is None or own.incarnation != str(node.incarnation):
            return
        ownership = node.ownership
        lost = ownership.set_organisations(ORGANISATIONS, self.now_s)
        lost += ownership.set_members(seen, version, self.now_s)
        ownership.saw(self.now_s)
        self.send(lost)
        latest = self.table.get(node.name)
        if not own.serving and latest is not None and not latest.serving:
            self.write(node.name, member(node.name, node.incarnation))
        self.establish(node)

    def reached(self, node: Node) -> bool:
        """Return whether a node answers others."""
        here = node.cut_until_s <= self.now_s
        return node.alive and here and node.frozen_until_s <= self.now_s

    def ask_views(self, node: Node) -> None:
        """Let a node ask the others how new their views are."""
        if self.choose.random() > STEP_S / ATTEST_S or not node.joined:
            return
        for other in self.nodes.values():
            if other is node or not self.reached(other):
                continue
            if not other.joined:
                continue
            # The answer may be older than the question's time tells.
            asked_at_s = self.now_s - 0.2 * self.choose.random()
            version = other.ownership.version
            node.ownership.attested(
                other.name, asked_at_s, version, self.now_s
            )

    def join(self, node: Node) -> None:
        """Write the row of a new incarnation."""
        before = self.table.get(node.name)
        inherited = (
            before is not None
            and before.serving
            and before.established
            and none_suspended(self.table.values())
        )
        node.ownership.inherited = inherited
        self.write(node.name, member(node.name, node.incarnation, inherited))
        node.joined = True

    def establish(self, node: Node) -> None:
        """Write that a node's rights have outlasted older ones."""
        if not node.ownership.outlasted(self.now_s):
            return
        if node.ownership.version < self.version:
            return
        row = self.table.get(node.name)
        if row is not None and row.serving and not row.established:
            self.write(node.name, replace(row, established=True))
            return
        for name, other in list(self.table.items()):
            if not other.serving and not other.left:
                self.write(name, leaving(other))
                return

    def table_at(self, at_s: float) -> tuple[int, dict[InstanceId, MemberRow]]:
        """Return the table as it was, with its version."""
        found = (1, self.past[0][1])
        for number, (written_s, table) in enumerate(self.past):
            if written_s <= at_s:
                found = (number + 1, table)
        return found

    def send(self, lost: list[Lost]) -> None:
        """Send hand-overs, some of which are lost."""
        for item in lost:
            if self.choose.random() < 0.8:
                delay_s = self.choose.random()
                self.handed.append((self.now_s + delay_s, item))

    def deliver(self) -> None:
        """Deliver the hand-overs that are due."""
        due = [item for at_s, item in self.handed if at_s <= self.now_s]
        self.handed = [h for h in self.handed if h[0] > self.now_s]
        for item in due:
            node = self.nodes[item.new_owner]
            cut = node.cut_until_s > self.now_s
            if node.alive and not cut and node.joined:
                node.ownership.take_over(item.organisation_id, self.now_s)

    def check(self) -> None:
        """Note how many instances may grant the same organisation's rate."""
        for organisation_id in ORGANISATIONS:
            granting = sum(
                node.alive
                and node.frozen_until_s <= self.now_s
                and node.ownership.may_grant(organisation_id, self.now_s)
                for node in self.nodes.values()
            )
            self.worst = max(self.worst, granting)
            self.active_steps += granting > 0
            if self.store_away_until_s > self.now_s:
                self.active_while_away += granting > 0

    def trouble(self) -> None:
        """Do something bad to a node."""
        node = self.choose.choice(list(self.nodes.values()))
        match self.choose.randrange(6):
            case 0:
                node.cut_until_s = self.now_s + 6 * self.choose.random()
            case 1:
                node.frozen_until_s = self.now_s + 6 * self.choose.random()
            case 2:
                node.alive = False
                if self.choose.random() < 0.5:
                    self.suspend(node, proven=True)
                self.start(node.name)
            case 3:
                self.suspend(node, proven=False)
            case 4:
                if max(node.cut_until_s, node.frozen_until_s) <= self.now_s:
                    self.send(node.ownership.give_up(self.now_s))
                node.alive = False
                row = self.table.get(node.name)
                if row is not None and self.store_away_until_s <= self.now_s:
                    self.write(node.name, leaving(row))
                self.start(node.name)
            case 5:
                away_s = 8 * self.choose.random()
                self.store_away_until_s = self.now_s + away_s

    def suspend(self, node: Node, proven: bool) -> None:
        """Write a node's row as suspended."""
        row = self.table.get(node.name)
        if self.store_away_until_s > self.now_s:
            return
        if row is not None and row.serving:
            self.write(node.name, suspended(row, proven))


def run(seed: int, troubles: bool, away_s: float = 0.0) -> Fleet:
    fleet = Fleet(random.Random(seed))
    for name in NAMES:
        fleet.start(name)
        fleet.join(fleet.nodes[name])
    for step in range(600):
        if step == 100 and away_s:
            fleet.store_away_until_s = fleet.now_s + away_s
        if troubles and step > 50 and fleet.choose.random() < 0.05:
            fleet.trouble()
        fleet.step()
    return fleet


def three_members() -> dict[InstanceId, MemberRow]:
    return {name: member(name, 1, True) for name in NAMES[:3]}


class OwnershipTest(unittest.TestCase):
    def test_calm_fleet_has_one_owner_each(self) -> None:
        fleet = run(1, troubles=False)
        self.assertEqual(fleet.worst, 1)
        wait_steps = (TAKEOVER_WAIT_S + POLL_S) / STEP_S + 1
        least = (600 - wait_steps) * len(ORGANISATIONS)
        self.assertGreaterEqual(fleet.active_steps, least)

    def test_never_two_owners_whatever_happens(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.assertLessEqual(run(seed, troubles=True).worst, 1)

    def test_restarted_instance_acts_at_once(self) -> None:
        ownership = Ownership(NAMES[0])
        ownership.inherited = True
        ownership.set_organisations(ORGANISATIONS, 10.0)
        ownership.set_members({NAMES[0]: member('i0', 1, True)}, 1, 10.0)
        ownership.saw(10.0)
        self.assertTrue(ownership.may_grant(ORGANISATIONS[0], 10.1))

    def test_calm_fleet_goes_on_while_the_store_is_away(self) -> None:
        fleet = run(1, troubles=False, away_s=20.0)
        self.assertEqual(fleet.worst, 1)
        expected = len(ORGANISATIONS) * 20.0 / STEP_S
        self.assertGreaterEqual(fleet.active_while_away, 0.98 * expected)

    def test_instance_that_joins_waits(self) -> None:
        ownership = Ownership(NAMES[0])
        ownership.set_organisations(ORGANISATIONS, 10.0)
        ownership.set_members(three_members(), 5, 10.0)
        owned = next(
            o for o in ORGANISATIONS if ownership.owner_of(o) == NAMES[0]
        )
        late_s = 10.0 + TAKEOVER_WAIT_S
        ownership.saw(late_s)
        self.assertFalse(ownership.may_grant(owned, late_s + 0.1))
        ownership.attested(NAMES[1], late_s, 4, late_s)
        self.assertFalse(ownership.may_grant(owned, late_s + 9.0))
        ownership.attested(NAMES[1], late_s, 5, late_s)
        self.assertFalse(ownership.may_grant(owned, late_s + 0.1))
        later_s = late_s + TAKEOVER_WAIT_S
        ownership.saw(later_s)
        self.assertTrue(ownership.may_grant(owned, later_s))

    def test_planned_restarts_of_all_settle_together(self) -> None:
        """Bound the time in which a loss of all would find no heirs.

        Rights settle once a majority know the last change and every older
        view is stale; that some have settled already starts nothing anew.
        """
        fleet = run(1, troubles=False)
        for name in NAMES:
            fleet.send(fleet.nodes[name].ownership.give_up(fleet.now_s))
            fleet.write(name, leaving(fleet.table[name]))
            fleet.start(name)
            for _ in range(20):
                fleet.step()
        restarted_s = fleet.now_s
        while not all(row.established for row in fleet.table.values()):
            fleet.step()
            most_s = 2 * TAKEOVER_WAIT_S + 2 * ATTEST_S + POLL_S
            self.assertLess(fleet.now_s - restarted_s, most_s)

    def test_stale_view_gives_no_rights(self) -> None:
        ownership = Ownership(NAMES[0])
        ownership.inherited = True
        ownership.set_organisations(ORGANISATIONS, 10.0)
        ownership.set_members(three_members(), 1, 10.0)
        ownership.saw(10.0)
        owned = next(
            o for o in ORGANISATIONS if ownership.owner_of(o) == NAMES[0]
        )
        self.assertTrue(ownership.may_grant(owned, 10.1))
        self.assertFalse(ownership.may_grant(owned, 13.0))
        ownership.attested(NAMES[1], 12.9, 2, 13.0)
        self.assertFalse(ownership.may_grant(owned, 13.0))
        ownership.attested(NAMES[1], 12.9, 1, 13.0)
        self.assertTrue(ownership.may_grant(owned, 13.0))
