import random
import unittest

from jackdawfield.gateway.programs.ledger import encode_row
from jackdawfield.gateway.programs.ledger import Ledger
from jackdawfield.gateway.programs.ledger import LedgerEvent
from jackdawfield.gateway.programs.ledger import LedgerPlan
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Return
from jackdawfield.gateway.programs.ledger import Settle

BUDGET = 1000
MOST = 100


class StoredRow:
    """Holds the row of one program, and writes that have not arrived yet."""

    def __init__(self) -> None:
        self.version = 0
        self.data: bytes | None = None
        self.delayed: list[tuple[int, bytes]] = []

    def write(self, version: int, data: bytes) -> bool:
        """Write the row under a version; return whether it was written."""
        if version != self.version:
            return False
        self.version += 1
        self.data = data
        return True


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.row = StoredRow()

    def write(self, ledger: Ledger, plan: LedgerPlan) -> bool:
        """Write a plan if the ledger has the current version, else reload."""
        if self.row.write(ledger.version, encode_row(plan.row)):
            ledger.record_written(plan, self.row.version)
            return True
        ledger.load_row(self.row.data, self.row.version)
        return False

    def apply(self, ledger: Ledger, event: LedgerEvent) -> bool:
        """Apply an event like an account does; return whether it fits."""
        while True:
            plan = ledger.plan([event])
            if not all(plan.verdicts):
                if ledger.version == self.row.version:
                    return False
                ledger.load_row(self.row.data, self.row.version)
                continue
            if not plan.must_write:
                ledger.record_unwritten(plan)
                return True
            if self.write(ledger, plan):
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

    def test_calls_that_use_little_take_few_writes(self) -> None:
        ledger = Ledger('a')
        for _ in range(8):
            self.assertTrue(
                self.apply(ledger, Reserve(MOST, BUDGET, prepays=True))
            )
            ledger.keep(Settle(MOST, 25, BUDGET))
        self.assertLessEqual(self.row.version, 3)

    def test_reservation_over_the_budget_is_refused(self) -> None:
        ledger = Ledger('a')
        events = [Reserve(MOST, BUDGET)] * 11
        plan = ledger.plan(events)
        self.assertEqual(plan.verdicts, (True,) * 10 + (False,))

    def test_no_turn_is_prepaid_near_the_budget(self) -> None:
        ledger = Ledger('a')
        self.write(ledger, ledger.plan([Reserve(MOST, 250, prepays=True)]))
        self.assertEqual(ledger.row.granted, MOST)
        plan = ledger.plan([Settle(MOST, 60, 250)])
        self.assertEqual(plan.row.granted, 60)
        self.assertEqual(ledger.available + plan.available_change, 0)

    def test_unused_tokens_are_returned(self) -> None:
        ledger = Ledger('a')
        self.apply(ledger, Reserve(MOST, BUDGET, prepays=True))
        ledger.keep(Settle(MOST, 30, BUDGET))
        self.apply(ledger, Return())
        self.assertEqual((ledger.row.granted, ledger.available), (30, 0))

    def test_write_is_recognised_after_its_answer_was_lost(self) -> None:
        ledger = Ledger('a')
        plan = ledger.plan([Reserve(MOST, BUDGET)])
        self.assertFalse(ledger.has_written(plan))
        ledger.load_row(encode_row(plan.row), 1)
        self.assertTrue(ledger.has_written(plan))

    def test_late_write_does_not_pass_for_the_one_after_it(self) -> None:
        ledger = Ledger('a')
        late = ledger.plan([Reserve(MOST, BUDGET)])
        plan = ledger.plan([Reserve(MOST, BUDGET), Reserve(MOST, BUDGET)])
        ledger.load_row(encode_row(late.row), 1)
        self.assertFalse(ledger.has_written(plan))

    def test_budget_holds_across_instances_and_restarts(self) -> None:
        for seed in range(400):
            with self.subTest(seed=seed):
                self.row = StoredRow()
                self.assertLessEqual(self.run_program(seed), BUDGET)

    def run_program(self, seed: int) -> int:
        """Return the tokens generated in a random run.

        Instances restart, answers of writes are lost, and some of these
        writes arrive late.
        """
        rng = random.Random(seed)
        ledgers = [Ledger(name) for name in 'abc']
        unsettled: list[tuple[int, int]] = []
        generated = 0
        for _ in range(160):
            index = rng.randrange(3)
            ledger = ledgers[index]
            action = rng.random()
            if action < 0.04:
                ledgers[index] = Ledger(f'{index}.{rng.random()}')
                unsettled = [item for item in unsettled if item[0] != index]
            elif action < 0.08:
                self.apply(ledger, Return())
            elif action < 0.16 and self.row.delayed:
                version, data = self.row.delayed.pop(0)
                self.row.write(version, data)
            elif action < 0.24:
                self.lose_answer(ledger, rng)
            elif action < 0.6 or not unsettled:
                prepays = rng.random() < 0.5
                if self.apply(ledger, Reserve(MOST, BUDGET, prepays)):
                    unsettled.append((index, MOST))
            else:
                owner, most = unsettled.pop(rng.randrange(len(unsettled)))
                used = rng.randint(0, most)
                generated += used
                settled = Settle(most, used, BUDGET)
                if rng.random() < 0.5:
                    ledgers[owner].keep(settled)
                else:
                    self.apply(ledgers[owner], settled)
        return generated

    def lose_answer(self, ledger: Ledger, rng: random.Random) -> None:
        """Send a reservation whose answer is lost; it may arrive late."""
        plan = ledger.plan([Reserve(MOST, BUDGET)])
        if not all(plan.verdicts):
            return
        data = encode_row(plan.row)
        if rng.random() < 0.5:
            self.row.delayed.append((ledger.version, data))
        else:
            self.row.write(ledger.version, data)
        ledger.load_row(self.row.data, self.row.version)
        if ledger.has_written(plan):
            ledger.record_written(plan, self.row.version)
            ledger.keep(Settle(MOST, 0, BUDGET))
