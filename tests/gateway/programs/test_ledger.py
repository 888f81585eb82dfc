import random
import unittest

from jackdawfield.gateway.programs.ledger import encode_row
from jackdawfield.gateway.programs.ledger import Ledger
from jackdawfield.gateway.programs.ledger import LedgerPlan
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Settle

BUDGET = 1000
MOST = 100


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.version = 0
        self.stored: bytes | None = None

    def write(self, ledger: Ledger, plan: LedgerPlan) -> bool:
        """Write a plan if the ledger has the current version, else reload."""
        if ledger.version != self.version:
            ledger.load_row(self.stored, self.version)
            return False
        self.version += 1
        self.stored = encode_row(plan.row)
        ledger.record_written(plan, self.version)
        return True

    def test_prepaid_turn_needs_no_write(self) -> None:
        ledger = Ledger('a')
        plan = ledger.plan([Reserve(MOST, BUDGET)])
        self.assertTrue(plan.must_write)
        self.write(ledger, plan)
        self.write(ledger, ledger.plan([Settle(MOST, 40, BUDGET)]))
        plan = ledger.plan([Reserve(MOST, BUDGET)])
        self.assertEqual(plan.verdicts, (True,))
        self.assertFalse(plan.must_write)

    def test_reservation_over_the_budget_is_refused(self) -> None:
        ledger = Ledger('a')
        events = [Reserve(MOST, BUDGET)] * 11
        plan = ledger.plan(events)
        self.assertEqual(plan.verdicts, (True,) * 10 + (False,))

    def test_no_turn_is_prepaid_near_the_budget(self) -> None:
        ledger = Ledger('a')
        self.write(ledger, ledger.plan([Reserve(MOST, 250)]))
        plan = ledger.plan([Settle(MOST, 60, 250)])
        self.assertEqual(plan.row.granted, 60)
        self.assertEqual(plan.available, 0)

    def test_write_is_recognised_after_its_answer_was_lost(self) -> None:
        ledger = Ledger('a')
        plan = ledger.plan([Reserve(MOST, BUDGET)])
        self.assertFalse(ledger.has_written(plan))
        ledger.load_row(encode_row(plan.row), 1)
        self.assertTrue(ledger.has_written(plan))

    def test_budget_holds_across_instances_and_restarts(self) -> None:
        for seed in range(200):
            with self.subTest(seed=seed):
                self.version = 0
                self.stored = None
                self.assertLessEqual(self.run_program(seed), BUDGET)

    def run_program(self, seed: int) -> int:
        """Return the tokens generated in a random run."""
        rng = random.Random(seed)
        ledgers = [Ledger(name) for name in 'abc']
        unsettled: list[tuple[int, int]] = []
        generated = 0
        for _ in range(120):
            index = rng.randrange(3)
            ledger = ledgers[index]
            action = rng.random()
            if action < 0.05:
                ledgers[index] = Ledger(f'{index}.{rng.random()}')
                unsettled = [item for item in unsettled if item[0] != index]
            elif action < 0.6 or not unsettled:
                reserved = self.reserve(ledger)
                if reserved:
                    unsettled.append((index, MOST))
            else:
                owner, most = unsettled.pop(rng.randrange(len(unsettled)))
                used = rng.randint(0, most)
                generated += used
                self.settle(ledgers[owner], most, used)
        return generated

    def reserve(self, ledger: Ledger) -> bool:
        while True:
            plan = ledger.plan([Reserve(MOST, BUDGET)])
            if not plan.verdicts[0]:
                if ledger.version == self.version:
                    return False
                ledger.load_row(self.stored, self.version)
                continue
            if not plan.must_write:
                ledger.available = plan.available
                return True
            if self.write(ledger, plan):
                return True

    def settle(self, ledger: Ledger, most: int, used: int) -> None:
        while not self.write(
            ledger, ledger.plan([Settle(most, used, BUDGET)])
        ):
            pass
