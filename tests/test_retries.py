from dataclasses import replace
import unittest

from jackdawfield.decisions.retries import Failure
from jackdawfield.decisions.retries import GiveUp
from jackdawfield.decisions.retries import RetryAt
from jackdawfield.decisions.retries import RetryBudget
from jackdawfield.decisions.retries import RetrySettings
from jackdawfield.model import Execution

FAILURE = Failure('r', 1, Execution.UNKNOWN, True, 60.0)


class RetryBudgetTest(unittest.TestCase):
    def budget(self, seed: int = 1) -> RetryBudget:
        return RetryBudget(RetrySettings(retry_capacity=2.0), seed)

    def test_call_that_may_have_run_is_not_retried_unless_repeatable(
        self,
    ) -> None:
        effect = replace(FAILURE, repeatable=False)
        self.assertIsInstance(self.budget().decide(effect, 0.0), GiveUp)
        not_run = replace(effect, execution=Execution.NOT_RUN)
        self.assertIsInstance(self.budget().decide(not_run, 0.0), RetryAt)

    def test_retries_are_a_share_of_successes(self) -> None:
        budget = self.budget()
        allowed = 0
        for _ in range(100):
            budget.record_success()
            allowed += isinstance(budget.decide(FAILURE, 0.0), RetryAt)
        self.assertLessEqual(allowed, 12)
        self.assertGreaterEqual(allowed, 10)

    def test_delay_grows_and_its_jitter_follows_the_seed(self) -> None:
        first = self.budget().decide(FAILURE, 0.0)
        self.assertEqual(first, self.budget().decide(FAILURE, 0.0))
        self.assertNotEqual(first, self.budget(2).decide(FAILURE, 0.0))
        later = self.budget().decide(replace(FAILURE, attempt=3), 0.0)
        assert isinstance(first, RetryAt)
        assert isinstance(later, RetryAt)
        self.assertLess(first.at_s, later.at_s)

    def test_attempt_limit_and_deadline_end_retries(self) -> None:
        last = replace(FAILURE, attempt=4)
        self.assertIsInstance(self.budget().decide(last, 0.0), GiveUp)
        late = replace(FAILURE, deadline_s=0.01)
        self.assertIsInstance(self.budget().decide(late, 0.0), GiveUp)
