"""Test that a server's limit holds over all instances together.

Load pattern: a fleet that sends a server far more than the limit it names,
from 9, 60 or 195 instances.
"""

from collections import deque
import random
import unittest

from jackdawfield.gateway.calls import CONTINUING_WAIT_S
from jackdawfield.gateway.servers.limit_buckets import FALLBACK_SHARE
from jackdawfield.gateway.servers.limit_buckets import LimitBuckets
from jackdawfield.messages.fleet_limits import AskServerToken
from jackdawfield.model import ServerId

SERVER = ServerId('s')
SEATS = 9
LENGTH_S = 60.0
# What servers tolerate: half as much again over 4 s, and 5 requests.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_SLACK = 5


def most_in_a_window(sent_at_s: list[float]) -> int:
    """Return the most requests in any window."""
    window: deque[float] = deque()
    most = 0
    for at_s in sorted(sent_at_s):
        window.append(at_s)
        while window[0] <= at_s - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def draw_requests(
    instances: int, per_s: float, seed: int
) -> list[tuple[float, int]]:
    """Return times and instances of requests, one instance far busier."""
    rng = random.Random(seed)
    weights = [10.0] + [1.0] * (instances - 1)
    at_s = 0.0
    requests = []
    while at_s < LENGTH_S:
        at_s += rng.expovariate(per_s)
        requests.append((at_s, rng.choices(range(instances), weights)[0]))
    return requests


class LimitBucketsTest(unittest.TestCase):
    def ask(
        self, per_s: float, max_delay_s: float = 0.0, is_fallback: bool = False
    ) -> AskServerToken:
        return AskServerToken(SERVER, 1, per_s, max_delay_s, is_fallback)

    def assert_tolerated(self, sent_at_s: list[float], per_s: float) -> None:
        allowed = TOLERATED_FACTOR * WINDOW_S * per_s + TOLERATED_SLACK
        self.assertLessEqual(most_in_a_window(sent_at_s), allowed)

    def test_limit_is_kept_and_used_at_every_size(self) -> None:
        for instances in (9, 60, 195):
            for per_s in (0.5, 3.2, 6.0, 40.0):
                owner = LimitBuckets()
                sent_at_s = []
                for at_s, _ in draw_requests(instances, 3 * per_s, 1):
                    answer = owner.grant(
                        self.ask(per_s, CONTINUING_WAIT_S), SEATS, at_s
                    )
                    if answer.is_granted:
                        sent_at_s.append(at_s + answer.delay_s)
                self.assert_tolerated(sent_at_s, per_s)
                used = len(sent_at_s) / (per_s * LENGTH_S)
                self.assertGreater(used, 0.95)

    def test_equal_part_of_each_instance_leaves_the_limit_unused(self) -> None:
        """Show why one owner grants: of 195 parts most lie idle."""
        per_s = 6.0
        used_by_size = {}
        for instances in (9, 195):
            parts = [LimitBuckets() for _ in range(instances)]
            granted = sum(
                parts[instance]
                .grant(self.ask(per_s / instances), SEATS, at_s)
                .is_granted
                for at_s, instance in draw_requests(instances, per_s, 1)
            )
            used_by_size[instances] = granted / (per_s * LENGTH_S)
        self.assertLess(used_by_size[195], 0.6)

    # Guards against two owners, as views of the members differ for a while,
    # and a part of the instances that reaches none.
    def test_limit_is_tolerated_beside_a_second_owner(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            per_s = rng.uniform(2.0, 10.0)
            owners = [LimitBuckets(), LimitBuckets()]
            members = [LimitBuckets() for _ in range(SEATS)]
            changed_at_s = rng.uniform(5.0, 15.0)
            sent_at_s = []
            for at_s, instance in draw_requests(SEATS, 3 * per_s, seed):
                learns_at_s = changed_at_s + instance * 0.15
                is_cut = instance >= SEATS - 3
                if is_cut:
                    ask = self.ask(per_s, is_fallback=True)
                    answer = members[instance].grant(ask, SEATS, at_s)
                else:
                    owner = owners[at_s > learns_at_s]
                    ask = self.ask(per_s, CONTINUING_WAIT_S)
                    answer = owner.grant(ask, SEATS, at_s)
                if answer.is_granted:
                    sent_at_s.append(at_s + answer.delay_s)
            self.assert_tolerated(sent_at_s, per_s)

    def test_members_parts_together_are_below_the_limit(self) -> None:
        per_s = 6.0
        members = [LimitBuckets() for _ in range(SEATS)]
        granted = sum(
            members[instance]
            .grant(self.ask(per_s, is_fallback=True), SEATS, at_s)
            .is_granted
            for at_s, instance in draw_requests(SEATS, 10 * per_s, 1)
        )
        share = granted / (per_s * LENGTH_S)
        self.assertLess(share, FALLBACK_SHARE * 1.2)

    def test_refusal_tells_when_there_is_a_token(self) -> None:
        owner = LimitBuckets()
        refused = owner.grant(self.ask(2.0), SEATS, 10.0)
        self.assertFalse(refused.is_granted)
        self.assertAlmostEqual(refused.delay_s, 0.5)
        later_s = 10.0 + refused.delay_s
        granted = owner.grant(self.ask(2.0), SEATS, later_s)
        self.assertTrue(granted.is_granted)

    def test_restarted_server_has_a_bucket_of_its_own(self) -> None:
        owner = LimitBuckets()
        for started_ms in (1, 2):
            ask = AskServerToken(SERVER, started_ms, 2.0, 1.0)
            self.assertEqual(owner.grant(ask, SEATS, 10.0).delay_s, 0.5)
        owner.grant(AskServerToken(ServerId('t'), 1, 2.0, 1.0), SEATS, 99.0)
        self.assertEqual(len(owner), 1)
