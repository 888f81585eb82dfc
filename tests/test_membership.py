from dataclasses import replace
import unittest

from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import PeerDead
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.membership import Evict
from jackdawfield.decisions.membership import FailureDetector
from jackdawfield.decisions.membership import join_transaction
from jackdawfield.decisions.membership import member_key
from jackdawfield.decisions.membership import merge_members
from jackdawfield.decisions.membership import merge_servers
from jackdawfield.decisions.membership import read_roster
from jackdawfield.decisions.membership import Remove
from jackdawfield.decisions.membership import ROSTER_REVISION_KEY
from jackdawfield.decisions.renewal import AskPeer
from jackdawfield.decisions.renewal import is_relay
from jackdawfield.decisions.renewal import plan_renewal
from jackdawfield.decisions.renewal import ReadTable
from jackdawfield.decisions.renewal import relay_candidates
from jackdawfield.decisions.roster import assign_groups
from jackdawfield.decisions.roster import GroupId
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.decisions.table import Delete
from jackdawfield.decisions.table import Row
from jackdawfield.model import BackendServer
from jackdawfield.model import Member
from jackdawfield.model import ServerState


def entry(name, number, domain='leon'):
    return RosterEntry(
        name, number, False, f'id-{name}', domain, 'centro', f'ip-{name}:1'
    )


ROSTER = Roster(
    9, assign_groups(entry(name, i + 1) for i, name in enumerate('abc'))
)


def lease(own='a', roster=ROSTER, read_at_s=0.0):
    read = TableRead(read_at_s, 0, roster)
    return Lease(own, LeaseSettings()).on(read, read_at_s)


class RosterTest(unittest.TestCase):
    def test_join_removes_earlier_incarnations_at_the_same_address(self):
        again = replace(entry('d', 0), peer_address='ip-a:1')
        transaction = join_transaction(again, ROSTER)
        self.assertIn(Delete(member_key('a')), transaction.writes)
        self.assertNotIn(Delete(member_key('b')), transaction.writes)

    def test_order_of_joining_comes_from_the_revisions(self):
        rows = [Row(ROSTER_REVISION_KEY, b'x', 9)]
        for name, revision in (('b', 9), ('a', 4)):
            value = join_transaction(entry(name, 0), Roster()).writes[0].value
            rows.append(Row(member_key(name), value, revision))
        found = read_roster(tuple(rows))
        self.assertEqual(9, found.revision)
        self.assertEqual(['a', 'b'], [e.incarnation for e in found.entries])


class RenewalTest(unittest.TestCase):
    def test_one_relay_of_each_domain_reads_the_table(self):
        far = tuple(entry(n, i + 4, 'celaya') for i, n in enumerate('xyz'))
        roster = Roster(9, assign_groups((*ROSTER.entries, *far)))
        readers, backups = [], 0
        for item in roster.entries:
            state = lease(item.incarnation, roster)
            plan = plan_renewal(state, 0.0)
            if plan.order[0] == ReadTable():
                readers.append(item.domain_id)
                self.assertTrue(is_relay(state))
            else:
                backup = plan.order[-1] == ReadTable()
                self.assertTrue(backup or plan.fallback == ReadTable())
                backups += backup
            if is_relay(state):
                far = [ask.entry.domain_id for ask in plan.contact_asks]
                self.assertNotIn(item.domain_id, far)
                self.assertEqual(1, len(far))
        self.assertEqual(['celaya', 'leon'], sorted(readers))
        self.assertEqual(2, backups)

    def test_dead_relay_is_replaced(self):
        state = lease('a')
        first = plan_renewal(state, 0.0).order[0]
        while isinstance(first, AskPeer):
            dead = PeerDead(first.entry.incarnation)
            state = state.on(dead, 0.0)
            first = plan_renewal(state, 0.0).order[0]
        self.assertEqual(ReadTable(), first)

    def test_unlisted_instance_reads_the_table(self):
        plan = plan_renewal(Lease('z'), 0.0)
        self.assertEqual((ReadTable(),), plan.order)


class ContactsTest(unittest.TestCase):
    def setUp(self):
        order = relay_candidates(lease(), GroupId('leon', 0))
        self.relay, self.second, self.third = (e.incarnation for e in order)
        self.contacts = FailureDetector(6.0)
        self.contacts.on_roster(ROSTER, 0.0)

    def changes(self, now_s, own=None, established=True, roster=ROSTER):
        state = lease(own or self.relay, roster, now_s)
        return self.contacts.decide_changes(state, established, now_s)

    def run_until(self, end_s, contacted, own=None, **kwargs):
        actions = ()
        for now_s in range(int(end_s) + 1):
            if contacted:
                self.contacts.record_contact(contacted, float(now_s))
            actions = self.changes(float(now_s), own, **kwargs)
        return actions

    def test_relay_evicts_a_silent_member_and_removes_it_a_lease_later(self):
        self.assertEqual((), self.run_until(11, self.second))
        self.assertEqual((Evict(self.third),), self.changes(12.0))
        entries = tuple(
            replace(e, evicted=e.incarnation == self.third)
            for e in ROSTER.entries
        )
        roster = Roster(10, entries)
        self.contacts.on_roster(roster, 13.0)
        for now_s, expected in ((17.0, ()), (19.0, (Remove(self.third),))):
            self.contacts.record_contact(self.second, now_s)
            self.assertEqual(expected, self.changes(now_s, roster=roster))

    def test_second_evicts_only_a_silent_relay(self):
        actions = self.run_until(12, None, self.second)
        self.assertEqual((Evict(self.relay),), actions)
        self.assertEqual((), self.run_until(12, None, self.third))

    def test_relay_evicts_no_member_after_its_own_pause(self):
        self.run_until(3, self.second)
        self.assertEqual((), self.changes(60.0))

    def test_dead_member_is_removed_at_once(self):
        state = lease(self.relay).on(PeerDead(self.second), 1.0)
        actions = self.contacts.decide_changes(state, True, 1.0)
        self.assertEqual((Remove(self.second),), actions)

    def test_only_an_established_member_with_a_lease_changes_the_roster(self):
        actions = self.run_until(12, None, established=False)
        self.assertEqual((), actions)
        expired = lease(self.relay)
        self.assertEqual((), self.contacts.decide_changes(expired, True, 12.5))


class MergeTest(unittest.TestCase):
    def test_roster_takes_precedence_and_the_list_marks_leaving(self):
        listed = {
            f'id-{name}': Member(f'id-{name}', '', 'leon', 'centro', '', True)
            for name in 'az'
        }
        state = lease().on(PeerDead('b'), 0.0)
        members = merge_members(state, listed)
        self.assertEqual({'id-a', 'id-c'}, set(members))
        self.assertTrue(members['id-a'].leaving)
        self.assertEqual(listed, merge_members(Lease('a'), listed))
        members = merge_members(lease(), {}, frozenset({'id-a'}))
        self.assertEqual({'id-b', 'id-c'}, set(members))

    def test_leaving_server_stays_leaving_after_an_outdated_list(self):
        live = BackendServer('s', 'leon', 'centro', 'ip:1', 'pool', 4)
        leaving = replace(live, state=ServerState.DRAINING)
        known = merge_servers({}, (leaving,))
        again = merge_servers(known, (live,))
        self.assertIs(ServerState.DRAINING, again['s'].state)
        fresh = merge_servers(known, (replace(live, address='ip:2'),))
        self.assertIs(ServerState.LIVE, fresh['s'].state)
        drained = merge_servers({}, (live,), frozenset({'s'}))
        self.assertIs(ServerState.DRAINING, drained['s'].state)
