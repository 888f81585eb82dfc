from dataclasses import replace
from itertools import cycle
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from result import Ok

from jackdawfield.decisions.budgets import Budget
from jackdawfield.decisions.budgets import BudgetRefusal
from jackdawfield.decisions.budgets import Limit
from jackdawfield.decisions.budgets import Reservation
from jackdawfield.model import Configuration
from tests.fleet import configuration
from tests.fleet import Fleet
from tests.fleet import Program


class IgnoresReservations(Budget):
    @property
    def tokens_left(self) -> int:
        return self.tokens - self.spent_tokens


class IgnoresTurns(Budget):
    def reserve(self, *values: object) -> object:
        self.turns = 0
        return super().reserve(*values)


def spent(cls: type[Budget], calls: list[tuple[int, int, bool]]) -> int:
    """Run calls that use all they reserve and return the tokens used."""
    budget = cls(100, 1000, 1e9)
    used = 0
    for number, (prompt, new, answered) in enumerate(calls):
        match budget.reserve(number, prompt, new, 0.0):
            case Ok(Reservation(tokens=tokens)):
                used += tokens
                if answered:
                    budget.settle(number, tokens)
    return used


class BudgetTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 60),
                strategies.integers(-1, 60),
                strategies.booleans(),
            )
        )
    )
    def test_calls_never_use_more_than_the_budget(
        self, calls: list[tuple[int, int, bool]]
    ) -> None:
        self.assertLessEqual(spent(Budget, calls), 100)

    def test_check_detects_ignored_reservations(self) -> None:
        calls = [(10, 50, False)] * 3
        self.assertGreater(spent(IgnoresReservations, calls), 100)

    def test_a_loop_ends_at_the_turn_limit(self) -> None:
        self.assertEqual(52, self.loop(Budget))
        self.assertEqual(200, self.loop(IgnoresTurns))

    def loop(self, cls: type[Budget]) -> int:
        budget = cls(10**9, 52, 1e9)
        for number in range(200):
            if budget.reserve(number, 1, 1, 0.0).is_err():
                return number
            budget.settle(number, 2)
        return 200

    def test_a_loop_ends_at_the_deadline(self) -> None:
        budget = Budget(10**9, 52, 600.0)
        self.assertTrue(budget.reserve(1, 1, 1, 599.9).is_ok())
        refused = budget.reserve(2, 1, 1, 600.0).unwrap_err()
        self.assertEqual(
            (Limit.DEADLINE, True), (refused.limit, refused.ended)
        )

    def test_budget_reserved_by_a_running_call_does_not_end_the_program(
        self,
    ) -> None:
        budget = Budget(100, 52, 600.0)
        budget.reserve(1, 50, 50, 0.0)
        expected = BudgetRefusal(Limit.BUDGET, 0, False)
        self.assertEqual(expected, budget.reserve(2, 1, 1, 0.0).unwrap_err())
        budget.settle(1, 60)
        self.assertEqual(40, budget.tokens_left)

    def test_repeats_count_once(self) -> None:
        budget = Budget(100, 52, 600.0)
        first = budget.reserve(1, 10, 10, 0.0)
        self.assertEqual(first, budget.reserve(1, 10, 10, 0.0))
        budget.settle(1, 15)
        budget.settle(1, 15)
        self.assertEqual((85, 1), (budget.tokens_left, budget.turns))

    def test_a_released_call_counts_neither_tokens_nor_a_turn(self) -> None:
        budget = Budget(100, 52, 600.0)
        budget.reserve(1, 10, 10, 0.0)
        budget.release(1)
        self.assertEqual((100, 0), (budget.tokens_left, budget.turns))


class BudgetPathTest(unittest.TestCase):
    def test_a_looping_program_stays_ended_within_its_budget(self) -> None:
        used, statuses = self.loop(budget_tokens=400, after_end=2)
        self.assertEqual([410, 410, 410], statuses[-3:])
        self.assertLessEqual(used, 400)
        self.assertGreater(used, 200)

    def loop(
        self, budget_tokens: int, after_end: int
    ) -> tuple[int, list[int]]:
        fleet = Fleet(configuration_value=limited(budget_tokens))
        self.addCleanup(fleet.close)
        daemons = cycle(fleet.daemons_by_name.values())
        program = Program(next(daemons))
        used = 0
        statuses: list[int] = []
        while statuses.count(410) <= after_end and len(statuses) < 60:
            answer = program.chat(next(daemons))
            statuses.append(answer.status)
            if answer.status == 200:
                used += answer.json()['usage']['total_tokens']
        return used, statuses


def limited(budget_tokens: int) -> Configuration:
    value = configuration()
    organisations = {
        organisation_id: replace(
            organisation,
            parameters_by_template={
                name: replace(parameters, budget_tokens=budget_tokens)
                for name, parameters in (
                    organisation.parameters_by_template.items()
                )
            },
        )
        for organisation_id, organisation in value.organisations_by_id.items()
    }
    return replace(value, organisations_by_id=organisations)


if __name__ == '__main__':
    unittest.main()
