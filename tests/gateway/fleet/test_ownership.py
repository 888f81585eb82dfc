from dataclasses import dataclass
from dataclasses import field
import random
import unittest

from msgspec.structs import replace

from jackdawfield.gateway.fleet.member_rows import mark_left
from jackdawfield.gateway.fleet.member_rows import mark_suspended
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.member_rows import no_takeover_pending
from jackdawfield.gateway.fleet.ownership import CHANGE_FEED_LAG_S
from jackdawfield.gateway.fleet.ownership import LostOwnership
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.ownership import TAKEOVER_WAIT_S
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

ORGANISATIONS = [OrganisationId(f'o{n}') for n in range(4)]
NAMES = [InstanceId(f'i{n}') for n in range(5)]
STEP_S = 0.1
POLL_S = 0.8
VIEW_POLL_S = 0.5


def member(
    name: str, incarnation: int = 0, established: bool = False
) -> MemberRow:
    return MemberRow(
        name, DomainId('d'), RegionId('r'), str(incarnation), established
    )


@dataclass
class Node:
    """Holds one simulated instance."""

    name: InstanceId
    ownership: Ownership
    incarnation: int = 0
    is_alive: bool = True
    isolated_until_s: float = 0.0
    frozen_until_s: float = 0.0
    polled_at_s: float = 0.0
    joined: bool = False


@dataclass
class Fleet:
    """Simulates instances that share one table, with random faults."""

    rng: random.Random
    now_s: float = 0.0
    table: dict[InstanceId, MemberRow] = field(default_factory=dict)
    version: int = 0
    history: list[tuple[float, dict[InstanceId, MemberRow]]] = field(
        default_factory=list
    )
    nodes: dict[InstanceId, Node] = field(default_factory=dict)
    hand_overs: list[tuple[float, LostOwnership]] = field(default_factory=list)
    max_owners: int = 0
    active_steps: int = 0
    outage_until_s: float = 0.0
    active_in_outage: int = 0

    def write(self, name: InstanceId, row: MemberRow) -> None:
        """Change the table."""
        self.table = {**self.table, name: row}
        self.history.append((self.now_s, self.table))
        self.version += 1

    def start(self, name: InstanceId) -> None:
        """Start a new incarnation."""
        old = self.nodes.get(name)
        number = old.incarnation + 1 if old else 0
        self.nodes[name] = Node(name, Ownership(name), number)

    def step(self) -> None:
        """Let each reachable node read and poll, then count the owners."""
        self.now_s += STEP_S
        for node in self.nodes.values():
            if node.is_alive and node.isolated_until_s <= self.now_s:
                if node.frozen_until_s <= self.now_s:
                    if self.outage_until_s <= self.now_s:
                        self.poll(node)
                    self.poll_views(node)
        self.deliver_hand_overs()
        self.count_owners()

    def poll(self, node: Node) -> None:
        """Read the table, possibly as of a moment ago."""
        if self.now_s - node.polled_at_s < POLL_S * self.rng.random():
            return
        node.polled_at_s = self.now_s
        if not node.joined:
            self.join(node)
        view_age_s = CHANGE_FEED_LAG_S * self.rng.random() ** 4
        version, view = self.table_at(self.now_s - view_age_s)
        # A view is never replaced by an older one.
        if version < node.ownership.version:
            return
        own = view.get(node.name)
        if own is None or own.incarnation != str(node.incarnation):
            return
        ownership = node.ownership
        lost = ownership.set_organisations(ORGANISATIONS, self.now_s)
        lost += ownership.set_members(view, version, self.now_s)
        ownership.confirm_view(self.now_s)
        self.send_hand_overs(lost)
        latest = self.table.get(node.name)
        if not own.is_serving and latest is not None and not latest.is_serving:
            self.write(node.name, member(node.name, node.incarnation))
        self.establish(node)

    def is_reachable(self, node: Node) -> bool:
        """Return whether a node answers the others."""
        is_connected = node.isolated_until_s <= self.now_s
        return (
            node.is_alive
            and is_connected
            and node.frozen_until_s <= self.now_s
        )

    def poll_views(self, node: Node) -> None:
        """Let a node poll the others for the versions of their views."""
        if self.rng.random() > STEP_S / VIEW_POLL_S or not node.joined:
            return
        for other in self.nodes.values():
            if other is node or not self.is_reachable(other):
                continue
            if not other.joined:
                continue
            # A poll takes time: it was sent up to 0.2 s before its answer.
            asked_at_s = self.now_s - 0.2 * self.rng.random()
            version = other.ownership.version
            node.ownership.record_view_report(
                other.name, asked_at_s, version, self.now_s
            )

    def join(self, node: Node) -> None:
        """Write the row of a new incarnation."""
        before = self.table.get(node.name)
        inherited = (
            before is not None
            and before.is_serving
            and before.established
            and no_takeover_pending(self.table.values())
        )
        node.ownership.inherited = inherited
        self.write(node.name, member(node.name, node.incarnation, inherited))
        node.joined = True

    def establish(self, node: Node) -> None:
        """Record that all ownerships older than a node's have expired."""
        if not node.ownership.older_views_expired(self.now_s):
            return
        if node.ownership.version < self.version:
            return
        row = self.table.get(node.name)
        if row is not None and row.is_serving and not row.established:
            self.write(node.name, replace(row, established=True))
            return
        for name, other in list(self.table.items()):
            if not other.is_serving and not other.left:
                self.write(name, mark_left(other))
                return

    def table_at(self, at_s: float) -> tuple[int, dict[InstanceId, MemberRow]]:
        """Return the table as of a time, with its version."""
        found = (1, self.history[0][1])
        for number, (written_s, table) in enumerate(self.history):
            if written_s <= at_s:
                found = (number + 1, table)
        return found

    def send_hand_overs(self, lost: list[LostOwnership]) -> None:
        """Send hand-overs, some of which are lost."""
        for item in lost:
            if self.rng.random() < 0.8:
                delay_s = self.rng.random()
                self.hand_overs.append((self.now_s + delay_s, item))

    def deliver_hand_overs(self) -> None:
        """Deliver the hand-overs that are due."""
        due = [item for at_s, item in self.hand_overs if at_s <= self.now_s]
        self.hand_overs = [h for h in self.hand_overs if h[0] > self.now_s]
        for item in due:
            node = self.nodes[item.new_owner]
            is_isolated = node.isolated_until_s > self.now_s
            if node.is_alive and not is_isolated and node.joined:
                node.ownership.take_over(item.organisation_id, self.now_s)

    def count_owners(self) -> None:
        """Count the instances that may grant the same organisation's rate."""
        for organisation_id in ORGANISATIONS:
            granting = sum(
                node.is_alive
                and node.frozen_until_s <= self.now_s
                and node.ownership.may_grant(organisation_id, self.now_s)
                for node in self.nodes.values()
            )
            self.max_owners = max(self.max_owners, granting)
            self.active_steps += granting > 0
            if self.outage_until_s > self.now_s:
                self.active_in_outage += granting > 0

    def inject_fault(self) -> None:
        """Inject a random fault."""
        node = self.rng.choice(list(self.nodes.values()))
        match self.rng.randrange(6):
            case 0:
                node.isolated_until_s = self.now_s + 6 * self.rng.random()
            case 1:
                node.frozen_until_s = self.now_s + 6 * self.rng.random()
            case 2:
                node.is_alive = False
                if self.rng.random() < 0.5:
                    self.suspend(node, proven=True)
                self.start(node.name)
            case 3:
                self.suspend(node, proven=False)
            case 4:
                if (
                    max(node.isolated_until_s, node.frozen_until_s)
                    <= self.now_s
                ):
                    self.send_hand_overs(
                        node.ownership.release_all(self.now_s)
                    )
                node.is_alive = False
                row = self.table.get(node.name)
                if row is not None and self.outage_until_s <= self.now_s:
                    self.write(node.name, mark_left(row))
                self.start(node.name)
            case 5:
                outage_s = 8 * self.rng.random()
                self.outage_until_s = self.now_s + outage_s

    def suspend(self, node: Node, proven: bool) -> None:
        """Write a node's row as suspended."""
        row = self.table.get(node.name)
        if self.outage_until_s > self.now_s:
            return
        if row is not None and row.is_serving:
            self.write(node.name, mark_suspended(row, proven))


def run(seed: int, with_faults: bool, outage_s: float = 0.0) -> Fleet:
    fleet = Fleet(random.Random(seed))
    for name in NAMES:
        fleet.start(name)
        fleet.join(fleet.nodes[name])
    for step in range(600):
        if step == 100 and outage_s:
            fleet.outage_until_s = fleet.now_s + outage_s
        if with_faults and step > 50 and fleet.rng.random() < 0.05:
            fleet.inject_fault()
        fleet.step()
    return fleet


def three_members() -> dict[InstanceId, MemberRow]:
    return {name: member(name, 1, True) for name in NAMES[:3]}


class OwnershipTest(unittest.TestCase):
    def test_healthy_fleet_has_one_owner_per_rate(self) -> None:
        fleet = run(1, with_faults=False)
        self.assertEqual(fleet.max_owners, 1)
        wait_steps = (TAKEOVER_WAIT_S + POLL_S) / STEP_S + 1
        least = (600 - wait_steps) * len(ORGANISATIONS)
        self.assertGreaterEqual(fleet.active_steps, least)

    def test_random_faults_never_give_two_owners(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.assertLessEqual(run(seed, with_faults=True).max_owners, 1)

    def test_restarted_instance_acts_at_once(self) -> None:
        ownership = Ownership(NAMES[0])
        ownership.inherited = True
        ownership.set_organisations(ORGANISATIONS, 10.0)
        ownership.set_members({NAMES[0]: member('i0', 1, True)}, 1, 10.0)
        ownership.confirm_view(10.0)
        self.assertTrue(ownership.may_grant(ORGANISATIONS[0], 10.1))

    def test_healthy_fleet_keeps_owners_during_a_store_outage(self) -> None:
        fleet = run(1, with_faults=False, outage_s=20.0)
        self.assertEqual(fleet.max_owners, 1)
        expected = len(ORGANISATIONS) * 20.0 / STEP_S
        self.assertGreaterEqual(fleet.active_in_outage, 0.98 * expected)

    def test_joining_instance_waits_for_a_majority(self) -> None:
        ownership = Ownership(NAMES[0])
        ownership.set_organisations(ORGANISATIONS, 10.0)
        ownership.set_members(three_members(), 5, 10.0)
        owned = next(
            o for o in ORGANISATIONS if ownership.owner_of(o) == NAMES[0]
        )
        late_s = 10.0 + TAKEOVER_WAIT_S
        ownership.confirm_view(late_s)
        self.assertFalse(ownership.may_grant(owned, late_s + 0.1))
        ownership.record_view_report(NAMES[1], late_s, 4, late_s)
        self.assertFalse(ownership.may_grant(owned, late_s + 9.0))
        ownership.record_view_report(NAMES[1], late_s, 5, late_s)
        self.assertFalse(ownership.may_grant(owned, late_s + 0.1))
        later_s = late_s + TAKEOVER_WAIT_S
        ownership.confirm_view(later_s)
        self.assertTrue(ownership.may_grant(owned, later_s))

    def test_rolling_restart_is_established_in_bounded_time(self) -> None:
        """Guard against restarts that delay each other's establishment.

        Until a member is established, its next incarnation inherits nothing,
        so that a loss of the whole fleet would leave the rates without
        owners. Members are established once a majority have the last change
        and every older view has expired. A row that is only marked as
        established must not start that wait again.
        """
        fleet = run(1, with_faults=False)
        for name in NAMES:
            fleet.send_hand_overs(
                fleet.nodes[name].ownership.release_all(fleet.now_s)
            )
            fleet.write(name, mark_left(fleet.table[name]))
            fleet.start(name)
            for _ in range(20):
                fleet.step()
        restarted_s = fleet.now_s
        while not all(row.established for row in fleet.table.values()):
            fleet.step()
            most_s = 2 * TAKEOVER_WAIT_S + 2 * VIEW_POLL_S + POLL_S
            self.assertLess(fleet.now_s - restarted_s, most_s)

    def test_stale_view_activates_no_ownership(self) -> None:
        ownership = Ownership(NAMES[0])
        ownership.inherited = True
        ownership.set_organisations(ORGANISATIONS, 10.0)
        ownership.set_members(three_members(), 1, 10.0)
        ownership.confirm_view(10.0)
        owned = next(
            o for o in ORGANISATIONS if ownership.owner_of(o) == NAMES[0]
        )
        self.assertTrue(ownership.may_grant(owned, 10.1))
        self.assertFalse(ownership.may_grant(owned, 13.0))
        ownership.record_view_report(NAMES[1], 12.9, 2, 13.0)
        self.assertFalse(ownership.may_grant(owned, 13.0))
        ownership.record_view_report(NAMES[1], 12.9, 1, 13.0)
        self.assertTrue(ownership.may_grant(owned, 13.0))
