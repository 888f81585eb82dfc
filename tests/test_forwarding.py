import unittest

from jackdawfield.decisions.forwarding import decide_retry
from jackdawfield.decisions.forwarding import GiveUp
from jackdawfield.decisions.forwarding import MAX_ATTEMPTS
from jackdawfield.decisions.forwarding import MAX_BACKOFF_S
from jackdawfield.decisions.forwarding import RetryForward


class AfterFailureTest(unittest.TestCase):
    def test_call_with_a_begun_answer_is_never_forwarded_again(self) -> None:
        for attempt in range(1, MAX_ATTEMPTS + 1):
            found = decide_retry(attempt, 100.0, True, attempt)
            self.assertEqual(GiveUp(), found)

    def test_waits_stay_within_bounds(self) -> None:
        for seed in range(100):
            for attempt in range(1, MAX_ATTEMPTS):
                found = decide_retry(attempt, 100.0, False, seed)
                assert isinstance(found, RetryForward)
                self.assertLessEqual(found.wait_s, MAX_BACKOFF_S)
                self.assertGreater(found.wait_s, 0.0)

    def test_gives_up_at_deadline_and_after_all_attempts(self) -> None:
        self.assertEqual(GiveUp(), decide_retry(1, 0.0, False, 1))
        self.assertEqual(GiveUp(), decide_retry(MAX_ATTEMPTS, 100.0, False, 1))
