"""Test the schedules of the soak."""

import unittest

from soak.schedule import CUT_KNOWN_S
from soak.schedule import draw_schedule
from soak.schedule import FAULT_FREE_S
from soak.schedule import FaultKind
from soak.schedule import FIRST_FAULT_S

LENGTH_S = 20.0


class ScheduleTest(unittest.TestCase):
    """Draws schedules from seeds and checks their faults."""

    def test_same_seed_draws_same_schedule(self) -> None:
        first = draw_schedule(7, LENGTH_S)
        self.assertEqual(first, draw_schedule(7, LENGTH_S))
        self.assertNotEqual(first, draw_schedule(8, LENGTH_S))

    def test_no_fault_at_the_start_or_in_the_fault_free_period(self) -> None:
        for seed in range(50):
            for fault in draw_schedule(seed, LENGTH_S, True):
                self.assertGreaterEqual(fault.at_s, FIRST_FAULT_S)
                # Callers of a cut instance are served through others, so the
                # fault-free period shows that, too.
                latest_s = LENGTH_S - FAULT_FREE_S
                if fault.kind is FaultKind.SERVER_PATHS_CUT:
                    self.assertLessEqual(fault.at_s, latest_s - CUT_KNOWN_S)
                    latest_s = LENGTH_S
                self.assertLessEqual(fault.end_s, latest_s)

    def test_fifty_seeds_draw_every_kind(self) -> None:
        drawn = {
            fault.kind
            for seed in range(1, 51)
            for fault in draw_schedule(seed, LENGTH_S, True)
        }
        self.assertEqual(drawn, set(FaultKind))


if __name__ == '__main__':
    unittest.main()
