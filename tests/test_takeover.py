from dataclasses import dataclass
from dataclasses import replace
import unittest
from unittest import mock

from result import Ok

from jackdawfield.decisions.commit_events import RowChange
from jackdawfield.decisions.commits import Committer
import jackdawfield.decisions.homes as homes
from jackdawfield.decisions.homes import ProgramHome
import jackdawfield.decisions.opening as opening
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.takeover import claim
from jackdawfield.decisions.takeover import Reconciled
from tests.crash_search import Faults
from tests.crash_search import NO_DELAYS
from tests.crash_search import PROGRAM
from tests.crash_search import Search

CRASH = Faults(crashes=1, lost=0, late=0, outages=0, repeats=1)
LOST = Faults(crashes=0, lost=1, late=0, outages=0, repeats=1)
LATE = Faults(crashes=0, lost=0, late=1, outages=0, repeats=1)
OUTAGE = Faults(crashes=0, lost=0, late=0, outages=1, repeats=1)


@dataclass
class AnswersBeforeCommit(ProgramHome):
    """Sends the end marker before the turn is durable."""

    def _turn_finished(self, event):
        actions = ProgramHome._turn_finished(self, event)
        self.durable_turn = event.number
        return (*actions, *self._answer_running_call(event.now_s))


@dataclass
class IgnoresPosition(ProgramHome):
    """Runs calls without a check of their position."""

    def _confirm_position(self, call):
        return Ok(None)


@dataclass
class AppendsWithoutRowCondition(Committer):
    """Appends turns without a condition on the revision of the row."""

    def _transaction(self):
        transaction = Committer._transaction(self)
        if any(isinstance(item, RowChange) for item in self.batch):
            return transaction
        kept = [
            c for c in transaction.conditions if not c.key.endswith('/row')
        ]
        return replace(transaction, conditions=tuple(kept))


@dataclass
class TreatsLostAnswersAsCommits(Committer):
    """Treats a lost answer as a commit."""

    def _answered(self, outcome, now_s):
        if isinstance(outcome, OutcomeUnknown):
            outcome = Committed(0)
        return Committer._answered(self, outcome, now_s)


def claim_without_turn_condition(stored, history, incarnation):
    transaction = claim(stored, history, incarnation)
    return replace(transaction, conditions=transaction.conditions[:1])


def keep_cached_history(durable, cached, confirmed_turn):
    first = min(len(durable.turns), len(cached.turns)) + 1
    while first > 1 and durable.chain_at(first - 1) != cached.chain_at(
        first - 1
    ):
        first -= 1
    return Reconciled(cached, first)


class CrashSearchTest(unittest.TestCase):
    def test_holds_under_crashes(self) -> None:
        self.assertIsNone(Search().run(2, CRASH))
        both = replace(CRASH, lost=1)
        self.assertIsNone(Search().run(1, both))

    def test_holds_under_lost_and_late_writes(self) -> None:
        self.assertIsNone(Search().run(2, LOST))
        self.assertIsNone(Search().run(2, LATE))

    def test_holds_under_an_outage(self) -> None:
        self.assertIsNone(Search().run(2, OUTAGE))
        self.assertIsNone(Search().run(1, replace(CRASH, outages=1)))


class BrokenVariantTest(unittest.TestCase):
    def search(self, home=ProgramHome, committer=Committer) -> Search:
        return Search(
            lambda name: home(PROGRAM, name), lambda: committer(NO_DELAYS)
        )

    def test_finds_an_end_marker_before_durability(self) -> None:
        found = self.search(home=AnswersBeforeCommit).run(1, CRASH)
        self.assertRegex(found or '', 'counts a turn as durable that is not')

    def test_finds_an_append_without_the_row_condition(self) -> None:
        found = self.search(committer=AppendsWithoutRowCondition).run(2, CRASH)
        self.assertRegex(found or '', 'holder lacks a durable turn')

    def test_finds_lost_answers_treated_as_commits(self) -> None:
        found = self.search(committer=TreatsLostAnswersAsCommits).run(2, LATE)
        self.assertRegex(found or '', 'counts a turn as durable that is not')

    def test_finds_calls_run_on_another_history(self) -> None:
        found = self.search(home=IgnoresPosition).run(2, OUTAGE)
        self.assertRegex(found or '', 'turn 1 replaced')

    def test_finds_a_claim_without_a_condition_on_the_next_turn(self) -> None:
        with mock.patch.object(opening, 'claim', claim_without_turn_condition):
            found = self.search().run(2, CRASH)
        self.assertRegex(found or '', 'holder lacks a durable turn')

    def test_finds_unconfirmed_turns_that_replace_durable_ones(self) -> None:
        faults = replace(CRASH, outages=1)
        with mock.patch.object(homes, 'reconcile', keep_cached_history):
            found = self.search().run(2, faults, limit=60000)
        self.assertRegex(found or '', 'replaced')
