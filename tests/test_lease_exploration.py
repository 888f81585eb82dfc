import unittest

from bench.lease_explorer import Explorer
from bench.lease_explorer import NEWCOMER
from bench.lease_explorer import Rules
from bench.lease_explorer import Subject
from jackdawfield.decisions.acceptance import Acceptance
from jackdawfield.decisions.acceptance import MemberStatus
from jackdawfield.decisions.lease import Lease


class AcceptsAtCommit(Acceptance):
    __slots__ = ()

    def is_accepted(self, lease, status, now_s):
        return True


class AcceptsByOldRoster(Acceptance):
    """Accepts by the roster known before the commit, not a later one."""

    __slots__ = ()

    def on_roster(self, roster):
        return self

    def _is_applied_by_all(self, lease):
        return not self.pending_members(lease)


class ExtendsExpiredLease(Lease):
    __slots__ = ()

    def _may_extend(self, now_s):
        return True


class ConfirmsAtOnce(MemberStatus):
    __slots__ = ()

    def _is_listed_for_lease(self, item, lease, now_s):
        return True


class NeedsNoConfirmation(MemberStatus):
    __slots__ = ()

    def is_established(self, lease, now_s):
        return True


class ExplorationTest(unittest.TestCase):
    def test_rules_hold_in_every_reachable_state_of_two_members(self):
        for subject in Subject:
            with self.subTest(subject=subject):
                rules = Rules(subject=subject, newcomer=False)
                found = Explorer(rules).run()
                self.assertIsNone(found.violation)
                self.assertTrue(found.complete)

    def test_rules_hold_with_a_newcomer_in_all_states_searched(self):
        for subject in Subject:
            with self.subTest(subject=subject):
                rules = Rules(subject=subject, state_limit=60_000)
                self.assertIsNone(Explorer(rules).run().violation)

    def test_rules_hold_with_late_answers_in_random_walks(self):
        rules = Rules(crash_limit=2, late_answers=True)
        found = Explorer(rules).walk(walks=500, steps=40, seed=1)
        self.assertIsNone(found.violation)

    def test_search_finds_violations_of_weaker_rules(self):
        for name, rules in (
            ('accepts at commit', Rules(acceptance_class=AcceptsAtCommit)),
            (
                'accepts by old roster',
                Rules(acceptance_class=AcceptsByOldRoster),
            ),
            ('extends expired lease', Rules(lease_class=ExtendsExpiredLease)),
            (
                'confirms at once',
                Rules(
                    status_class=ConfirmsAtOnce,
                    committers=frozenset({NEWCOMER}),
                    crash_limit=0,
                ),
            ),
            (
                'needs no confirmation',
                Rules(status_class=NeedsNoConfirmation),
            ),
        ):
            with self.subTest(name=name):
                self.assertIsNotNone(Explorer(rules).run().violation)
