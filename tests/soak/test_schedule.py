"""Tests the schedules of the soak."""

import unittest

from soak.schedule import CALM_S
from soak.schedule import draw_schedule
from soak.schedule import FaultKind
from soak.schedule import FIRST_S

LENGTH_S = 20.0


class ScheduleTest(unittest.TestCase):
    """Draws schedules."""

    def test_same_seed_same_schedule(self) -> None:
        first = draw_schedule(7, LENGTH_S)
        self.assertEqual(first, draw_schedule(7, LENGTH_S))
        self.assertNotEqual(first, draw_schedule(8, LENGTH_S))

    def test_faults_leave_the_start_and_the_calm(self) -> None:
        for seed in range(50):
            for fault in draw_schedule(seed, LENGTH_S):
                self.assertGreaterEqual(fault.at_s, FIRST_S)
                self.assertLessEqual(fault.ends_s, LENGTH_S - CALM_S)

    def test_fifty_seeds_bring_every_kind(self) -> None:
        seen = {
            fault.kind
            for seed in range(1, 51)
            for fault in draw_schedule(seed, LENGTH_S)
        }
        self.assertEqual(seen, set(FaultKind))


if __name__ == '__main__':
    unittest.main()
