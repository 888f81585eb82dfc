import unittest

from jackdawfield.decisions.attestations import AttestationAge
from jackdawfield.decisions.attestations import compress_ages
from jackdawfield.decisions.attestations import expand_group_ages
from jackdawfield.decisions.attestations import GroupAge
from jackdawfield.decisions.roster import assign_groups
from jackdawfield.decisions.roster import GroupId
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry

ROSTER = Roster(
    4,
    assign_groups(
        RosterEntry(name, number, domain_id=domain)
        for number, (name, domain) in enumerate(
            (('a', 'leon'), ('b', 'leon'), ('c', 'bole'), ('d', 'bole'))
        )
    ),
)


class AttestationsTest(unittest.TestCase):
    def test_complete_group_is_encoded_as_its_oldest_age(self):
        found = compress_ages(
            {'a': 0.0, 'b': 2.0, 'c': 1.0}, ROSTER, frozenset()
        )
        self.assertEqual((GroupAge(GroupId('leon', 0), 2.0),), found[0])
        self.assertEqual((AttestationAge('c', 1.0),), found[1])
        ages = expand_group_ages(found[0], ROSTER, frozenset())
        self.assertEqual(
            [('a', 2.0), ('b', 2.0)], [(a.incarnation, a.age_s) for a in ages]
        )

    def test_dead_members_are_neither_required_nor_attested(self):
        found, _ = compress_ages({'c': 1.0}, ROSTER, frozenset('d'))
        self.assertEqual((GroupAge(GroupId('bole', 0), 1.0),), found)
        ages = expand_group_ages(found, ROSTER, frozenset('d'))
        self.assertEqual(['c'], [age.incarnation for age in ages])

    def test_newcomer_that_the_sender_does_not_list_is_not_attested(self):
        found, _ = compress_ages({'a': 0.0, 'b': 0.0}, ROSTER, frozenset())
        names = [
            a.incarnation
            for a in expand_group_ages(found, ROSTER, frozenset())
        ]
        self.assertNotIn('j', names)
