"""Show when a group of new programs counts as served too seldom."""

import unittest

from jackdawfield.decisions.served_fractions import ServedFractions


class ServedFractionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.served: ServedFractions[str] = ServedFractions()

    def count(self, group: str, submitted: int, begun: int) -> None:
        for _ in range(submitted):
            self.served.record_submitted(group, 0.0)
        for _ in range(begun):
            self.served.record_begun(group)

    def test_group_begun_a_quarter_as_often_is_neglected(self) -> None:
        self.count('often', submitted=20, begun=20)
        self.count('seldom', submitted=20, begun=5)
        self.assertTrue(self.served.is_neglected('seldom'))
        self.assertFalse(self.served.is_neglected('often'))

    def test_groups_served_about_alike_are_not_neglected(self) -> None:
        self.count('first', submitted=20, begun=4)
        self.count('second', submitted=40, begun=6)
        self.assertFalse(self.served.is_neglected('first'))
        self.assertFalse(self.served.is_neglected('second'))

    def test_unknown_group_is_not_neglected(self) -> None:
        self.count('often', submitted=20, begun=20)
        self.assertFalse(self.served.is_neglected('unknown'))

    def test_old_counts_fade(self) -> None:
        self.count('often', submitted=20, begun=20)
        self.count('seldom', submitted=20, begun=0)
        for second in range(1, 30):
            self.served.record_submitted('seldom', float(second))
            self.served.record_begun('seldom')
        self.assertFalse(self.served.is_neglected('seldom'))
