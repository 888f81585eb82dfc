import unittest

from jackdawfield.decisions.distances import Lateness
from jackdawfield.decisions.distances import MAX_SENDERS
from jackdawfield.decisions.distances import RoundTrips
from jackdawfield.model import DomainId

NEAR = DomainId('near')


class RoundTripsTest(unittest.TestCase):
    def test_queueing_does_not_raise_the_estimate(self) -> None:
        trips = RoundTrips()
        for sample_s in (0.011, 0.2, 0.5, 0.012, 0.3):
            trips.record(NEAR, sample_s)
        self.assertAlmostEqual(0.011, trips.estimate_s(NEAR))

    def test_longer_path_is_learnt(self) -> None:
        trips = RoundTrips()
        for sample_s in (0.002, *[0.03] * 60):
            trips.record(NEAR, sample_s)
        self.assertAlmostEqual(0.03, trips.estimate_s(NEAR), places=4)

    def test_domain_without_samples_is_at_no_distance(self) -> None:
        self.assertEqual(0.0, RoundTrips().estimate_s(NEAR))


class LatenessTest(unittest.TestCase):
    def test_only_the_additional_time_counts_as_lateness(self) -> None:
        lateness = Lateness()
        lateness.record('a', 100.0, 5.0)
        self.assertAlmostEqual(0.4, lateness.record('a', 101.0, 6.4))
        self.assertAlmostEqual(0.0, lateness.record('b', 101.0, 900.0))

    def test_sender_silent_for_longest_is_forgotten(self) -> None:
        lateness = Lateness()
        lateness.record('a', 100.0, 5.0)
        for number in range(MAX_SENDERS):
            lateness.record(str(number), 1.0, 2.0)
        self.assertAlmostEqual(0.0, lateness.record('a', 100.0, 8.0))
