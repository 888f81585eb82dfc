import unittest

from jackdawfield.decisions.commit_events import Answered
from jackdawfield.decisions.commit_events import Commit
from jackdawfield.decisions.commit_events import Durable
from jackdawfield.decisions.commit_events import Fenced
from jackdawfield.decisions.commit_events import item_put
from jackdawfield.decisions.commit_events import Overdue
from jackdawfield.decisions.commit_events import ReadFailed
from jackdawfield.decisions.commit_events import ReadRows
from jackdawfield.decisions.commit_events import RowOwned
from jackdawfield.decisions.commit_events import RowsRead
from jackdawfield.decisions.commit_events import Submitted
from jackdawfield.decisions.commit_events import TimePassed
from jackdawfield.decisions.commit_events import Turn
from jackdawfield.decisions.commits import CommitLimits
from jackdawfield.decisions.commits import Committer
from jackdawfield.decisions.history import History
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row

LIMITS = CommitLimits(0.03, 0.1, 0.5, 1.0, max_items=3)


def turn(program: str, number: int = 1) -> Turn:
    record = History('org', program).make_record(
        b'd', b'q%d' % number, b'a', 1
    )
    return Turn(program, record)


class CommitterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.committer = Committer(LIMITS)
        for number in range(5):
            self.committer.on(RowOwned(f'd.{number}', number + 10))

    def submit(self, *names: str, now_s: float = 0.0) -> list[Turn]:
        items = [turn(name) for name in names]
        for item in items:
            self.assertEqual((), self.committer.on(Submitted(item, now_s)))
        return items

    def commit(self, now_s: float) -> Commit:
        actions = self.committer.on(TimePassed(now_s))
        self.assertEqual([Commit], [type(action) for action in actions])
        return actions[-1]

    def test_one_transaction_holds_the_turns_of_a_window(self) -> None:
        items = self.submit('d.0', 'd.1')
        self.assertEqual(0.03, self.committer.next_due_s)
        self.assertEqual((), self.committer.on(TimePassed(0.02)))
        made = self.commit(0.03).transaction
        self.assertEqual([item_put(i) for i in items], list(made.writes))
        fences = {c.key: c.revision for c in made.conditions}
        self.assertEqual(10, fences[row_key('d.0')])
        self.assertEqual(0, fences[item_put(items[0]).key])
        done = self.committer.on(Answered(Committed(99), 0.04))
        self.assertEqual(tuple(Durable(i) for i in items), done)
        self.assertIsNone(self.committer.next_due_s)

    def test_obeys_its_rate_and_size_limits(self) -> None:
        items = self.submit('d.0', 'd.1', 'd.2', 'd.3')
        self.assertEqual(3, len(self.commit(0.03).transaction.writes))
        self.committer.on(Answered(Committed(99), 0.04))
        self.assertAlmostEqual(0.13, self.committer.next_due_s)
        made = self.commit(0.13).transaction
        self.assertEqual((item_put(items[3]),), made.writes)

    def test_reads_back_a_lost_answer(self) -> None:
        items = self.submit('d.0', 'd.1')
        self.commit(0.03)
        actions = self.committer.on(Answered(OutcomeUnknown(''), 0.1))
        self.assertIsInstance(actions[0], ReadRows)
        rows = (
            Row(row_key('d.0'), b'', 10),
            Row(row_key('d.1'), b'', 11),
            *(Row(item_put(i).key, item_put(i).value, 50) for i in items),
        )
        done = self.committer.on(RowsRead(rows, 0.2))
        self.assertEqual(tuple(Durable(i) for i in items), done)

    def test_a_conflict_fences_only_the_program_that_moved(self) -> None:
        items = self.submit('d.0', 'd.1')
        self.commit(0.03)
        self.committer.on(Answered(Conflict(), 0.1))
        rows = (
            Row(row_key('d.0'), b'', 77),
            Row(row_key('d.1'), b'', 11),
            *(Row(item_put(i).key, b'', 0) for i in items),
        )
        actions = self.committer.on(RowsRead(rows, 0.2))
        self.assertEqual(Fenced('d.0'), actions[0])
        self.assertEqual((item_put(items[1]),), actions[1].transaction.writes)
        late = self.committer.on(Submitted(turn('d.0'), 0.3))
        self.assertEqual((Fenced('d.0'),), late)

    def test_keeps_turns_during_an_outage_and_reports_overdue_once(
        self,
    ) -> None:
        items = self.submit('d.0')
        self.commit(0.03)
        self.assertEqual((), self.committer.on(Answered(NotApplied(''), 0.1)))
        self.assertEqual(0.6, self.committer.next_due_s)
        self.commit(0.6)
        self.committer.on(Answered(OutcomeUnknown(''), 0.7))
        self.assertEqual((), self.committer.on(ReadFailed(0.8)))
        self.assertEqual(1.0, self.committer.next_due_s)
        overdue = self.committer.on(TimePassed(1.0))
        self.assertEqual((Overdue(items[0]),), overdue)
        self.commit(1.3)
        done = self.committer.on(Answered(Committed(99), 1.4))
        self.assertEqual((Durable(items[0]),), done)
