import unittest

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.placement import owner_in_domain
from jackdawfield.model import DomainId
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import Member
from jackdawfield.model import RegionId


def member(name: str, domain: str, leaving: bool = False) -> Member:
    return Member(
        InstanceId(name),
        Incarnation('1'),
        DomainId(domain),
        RegionId('r'),
        '127.0.0.1:1',
        leaving,
    )


class OwnerTest(unittest.TestCase):
    def test_no_candidate_gives_none(self) -> None:
        self.assertIsNone(choose_owner('k', ()))

    def test_loss_of_another_candidate_keeps_the_owner(self) -> None:
        ids = [InstanceId(f'i{n}') for n in range(9)]
        for key in (f'key{n}' for n in range(200)):
            first = choose_owner(key, ids)
            others = [i for i in ids if i == first or i != ids[0]]
            self.assertEqual(first, choose_owner(key, others))

    def test_members_leaving_or_in_other_domains_own_nothing(self) -> None:
        members = [
            member('a', 'd1', leaving=True),
            member('b', 'd1'),
            member('c', 'd2'),
        ]
        by_id = {m.instance_id: m for m in members}
        for n in range(50):
            self.assertEqual('b', owner_in_domain(f'k{n}', 'd1', by_id))
