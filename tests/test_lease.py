import unittest

from jackdawfield.decisions.acceptance import Acceptance
from jackdawfield.decisions.acceptance import MemberStatus
from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import PeerDead
from jackdawfield.decisions.lease import PeerReported
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.lease import TimePassed
from jackdawfield.decisions.lease import VersionApplied
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry

SETTINGS = LeaseSettings(lease_s=6.0, outage_limit_s=60.0)
ROSTER = Roster(2, (RosterEntry('a', 1), RosterEntry('b', 2)))


def lease(own='a', read_at_s=0.0, settings=SETTINGS, roster=ROSTER):
    return Lease(own, settings).on(TableRead(read_at_s, 0, roster), read_at_s)


def ask(asker, peer, asked_at_s, now_s):
    report = peer.report(now_s)
    return asker.on(PeerReported(asked_at_s, report), now_s)


class LeaseTest(unittest.TestCase):
    def test_lease_counts_from_when_the_read_was_sent(self):
        state = Lease('a', SETTINGS).on(TableRead(1.0, 0, ROSTER), 5.0)
        self.assertTrue(state.is_valid(6.9))
        self.assertFalse(state.is_valid(7.0))

    def test_lease_is_invalid_after_a_pause_until_it_is_renewed(self):
        state = lease()
        self.assertFalse(state.is_valid(100.0))
        self.assertTrue(
            state.on(TableRead(100.0, 0, ROSTER), 100.1).is_valid(101)
        )

    def test_relayed_age_is_added(self):
        relayed = ask(lease('b', 90.0), lease('a', 100.0), 103.0, 104.0)
        self.assertEqual(99.0, relayed.renewing_read_at_s)

    def test_renewal_waits_for_the_version_to_be_in_force(self):
        state = lease().on(TableRead(5.0, 1, ROSTER), 5.0)
        self.assertFalse(state.is_valid(6.0))
        self.assertTrue(state.on(VersionApplied(1), 6.0).is_valid(10.9))

    def test_full_contact_extends_up_to_the_outage_limit(self):
        a, b = lease(), lease('b')
        for now_s in range(1, 70):
            a = ask(a, b, float(now_s), float(now_s))
            b = ask(b, a, float(now_s), float(now_s))
        self.assertTrue(a.is_valid(59.9))
        self.assertFalse(a.is_valid(60.0))

    def test_full_contact_needs_every_member_but_the_proven_dead(self):
        wide_roster = Roster(3, (*ROSTER.entries, RosterEntry('c', 3)))
        a = ask(
            lease(roster=wide_roster), lease('b', roster=wide_roster), 4.0, 4.0
        )
        self.assertFalse(a.is_valid(6.0))
        self.assertEqual(
            ['c'], [e.incarnation for e in a.unattested_peers(4.0)]
        )
        self.assertTrue(a.on(PeerDead('c'), 5.0).is_valid(9.9))

    def test_full_contact_can_be_disabled(self):
        settings = LeaseSettings(6.0, 60.0, full_contact=False)
        a = ask(lease(settings=settings), lease('b'), 4.0, 4.0)
        self.assertFalse(a.is_valid(6.0))

    def test_full_contact_does_not_extend_an_expired_lease(self):
        a = ask(lease(), lease('b'), 7.0, 7.0)
        self.assertFalse(a.on(TimePassed(), 7.0).is_valid(7.0))

    def test_evicted_or_unlisted_instance_has_no_valid_lease(self):
        evicted = Roster(3, (RosterEntry('a', 1, True), ROSTER.entries[1]))
        for roster in (evicted, Roster(4, ROSTER.entries[1:])):
            state = lease().on(TableRead(1.0, 0, roster), 1.0)
            self.assertFalse(state.is_valid(1.0))


class AcceptanceTest(unittest.TestCase):
    def setUp(self):
        self.status = MemberStatus(0.0, confirmed=True)
        self.acceptance = Acceptance(1, 10.0)

    def test_accepted_one_lease_after_the_commit(self):
        state = lease(read_at_s=10.0)
        for now_s, expected in ((15.9, False), (16.0, True)):
            found = self.acceptance.is_accepted(state, self.status, now_s)
            self.assertIs(expected, found)

    def test_accepted_once_all_in_the_later_roster_have_applied_it(self):
        state = lease(read_at_s=10.0)
        applied = self.acceptance.on_applied('b')
        self.assertFalse(applied.is_accepted(state, self.status, 10.1))
        applied = applied.on_roster(ROSTER)
        self.assertTrue(applied.is_accepted(state, self.status, 10.1))

    def test_newcomer_waits_for_its_confirmation(self):
        newcomer = MemberStatus(10.0)
        state = lease('b', 10.0)
        self.assertFalse(self.acceptance.is_accepted(state, newcomer, 20.0))
        self.assertEqual(('a',), self.acceptance.pending_members(state))
        newcomer = newcomer.on_confirmed()
        self.assertTrue(self.acceptance.is_accepted(state, newcomer, 20.0))

    def test_confirms_only_after_a_lease_with_the_newcomer_listed(self):
        member = self.status.on_roster(ROSTER, 10.0)
        member = member.on_roster(ROSTER, 15.0)
        for now_s, expected in ((15.9, False), (16.0, True)):
            self.assertIs(expected, member.may_confirm('b', lease(), now_s))
        self.assertFalse(member.may_confirm('c', lease(), 99.0))

    def test_first_or_only_live_member_needs_no_confirmation(self):
        self.assertTrue(MemberStatus(0.0).is_established(lease(), 1.0))
        later = MemberStatus(0.0)
        self.assertFalse(later.is_established(lease('b'), 1.0))
        only_live = lease('b').on(PeerDead('a'), 1.0)
        self.assertTrue(later.is_established(only_live, 1.0))
        self.assertTrue(later.is_established(lease('b'), 60.0))
