import unittest

from jackdawfield.decisions.buckets import Contract
from jackdawfield.gateway.calls import BEGINNING_WAIT_S
from jackdawfield.gateway.calls import CONTINUING_WAIT_S
from jackdawfield.gateway.model import PromisedLimits
from jackdawfield.gateway.rates.tokens import fallback_rate
from jackdawfield.gateway.rates.tokens import FallbackTokens
from jackdawfield.gateway.rates.tokens import LocalTokens
from jackdawfield.gateway.rates.tokens import RateBucket
from jackdawfield.gateway.rates.tokens import SPARE_TTL_S
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.model import OrganisationId

ORGANISATION = OrganisationId('org')
CONTRACT = Contract(20.0, 20)
BOUNDS = PromisedLimits(8.0, 2.5, 5.0, 0.1, 20.0)


def ask(continuing: int = 0, beginning: int = 0, spare: int = 0) -> AskTokens:
    return AskTokens(ORGANISATION, continuing, beginning, spare)


class RateBucketTest(unittest.TestCase):
    def test_rate_is_not_exceeded_under_overload(self) -> None:
        bucket = RateBucket(CONTRACT, 20.0, 0.0)
        usable_s: list[float] = []
        for step in range(400):
            now_s = step * 0.05
            granted = bucket.grant(ask(4, 2, 1), now_s)
            delays = granted.continuing_delays_s + granted.beginning_delays_s
            usable_s += [now_s + delay_s for delay_s in delays]
            usable_s += [now_s] * granted.spare
        usable_s.sort()
        for start_s in usable_s:
            window = [t for t in usable_s if start_s <= t < start_s + 5.0]
            self.assertLessEqual(len(window), 5 * 20 + 20 + 1)

    def test_running_programs_wait_longer_than_new_ones(self) -> None:
        bucket = RateBucket(CONTRACT, 0.0, 0.0)
        granted = bucket.grant(ask(beginning=50), 0.0)
        self.assertLess(len(granted.beginning_delays_s), 4)
        self.assertLessEqual(granted.beginning_delays_s[-1], BEGINNING_WAIT_S)
        granted = bucket.grant(ask(continuing=50), 0.0)
        self.assertGreater(len(granted.continuing_delays_s), 10)
        last_s = granted.continuing_delays_s[-1]
        self.assertLessEqual(last_s, CONTINUING_WAIT_S)

    def test_retry_after_a_refusal_finds_a_token(self) -> None:
        bucket = RateBucket(CONTRACT, 0.0, 0.0)
        bucket.grant(ask(continuing=50), 0.0)
        granted = bucket.grant(ask(beginning=1), 0.0)
        self.assertEqual(granted.beginning_delays_s, ())
        later_s = granted.retry_after_s
        again = bucket.grant(ask(beginning=1), later_s)
        self.assertEqual(len(again.beginning_delays_s), 1)

    def test_spare_tokens_leave_part_of_the_burst(self) -> None:
        bucket = RateBucket(CONTRACT, 20.0, 0.0)
        self.assertEqual(bucket.grant(ask(spare=50), 0.0).spare, 10)
        self.assertEqual(bucket.grant(ask(spare=50), 0.0).spare, 0)

    def test_lower_contract_applies_at_once(self) -> None:
        bucket = RateBucket(CONTRACT, 20.0, 0.0)
        bucket.change_contract(Contract(5.0, 5), 0.0)
        granted = bucket.grant(ask(continuing=50), 0.0)
        at_once = [d for d in granted.continuing_delays_s if d == 0]
        self.assertEqual(len(at_once), 5)


class LocalTokensTest(unittest.TestCase):
    def test_spare_tokens_expire(self) -> None:
        tokens = LocalTokens(0.0)
        tokens.add_spare(2, 0.0, 0.0)
        self.assertTrue(tokens.take_spare(SPARE_TTL_S / 2))
        self.assertFalse(tokens.take_spare(SPARE_TTL_S + 0.1))

    # Guards against returned tokens that keep each other from expiring, and
    # add up beside a bucket that fills again.
    def test_spare_tokens_of_many_returns_do_not_add_up(self) -> None:
        tokens = LocalTokens(0.0)
        step_s = SPARE_TTL_S / 4
        for number in range(40):
            now_s = number * step_s
            tokens.add_spare(1, now_s, now_s)
        taken = 0
        while tokens.take_spare(40 * step_s):
            taken += 1
        self.assertLessEqual(taken, SPARE_TTL_S / step_s)
        self.assertGreater(taken, 0)

    def test_token_that_is_returned_late_has_expired(self) -> None:
        tokens = LocalTokens(0.0)
        tokens.add_spare(1, 0.0, SPARE_TTL_S)
        self.assertFalse(tokens.take_spare(SPARE_TTL_S))

    def test_tokens_that_expire_first_are_spent_first(self) -> None:
        tokens = LocalTokens(0.0)
        half_s = SPARE_TTL_S / 2
        tokens.add_spare(1, half_s, half_s)
        tokens.add_spare(1, 0.0, half_s)
        self.assertTrue(tokens.take_spare(half_s))
        self.assertTrue(tokens.take_spare(SPARE_TTL_S + half_s / 2))

    def test_fallback_stays_within_the_tolerated_overshoot(self) -> None:
        for seats in (1, 9, 12):
            for count in (1, 7):
                fallback = fallback_rate(CONTRACT, BOUNDS, seats)
                tokens = FallbackTokens(0.0)
                admitted_s = [
                    step * 0.01
                    for step in range(3000)
                    for _ in range(tokens.take(count, fallback, step * 0.01))
                ]
                slack = 0.1 * (5 * 20 + 20) + 20
                for start_s in admitted_s or [0.0]:
                    window = [
                        t for t in admitted_s if start_s <= t < start_s + 5.0
                    ]
                    self.assertLessEqual(len(window) * seats, slack)
