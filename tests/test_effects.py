"""Test that effects run at most once."""

import unittest

from jackdawfield.decisions.effect_events import Answer
from jackdawfield.decisions.effect_events import Dispatch
from jackdawfield.decisions.effect_events import EffectContext
from jackdawfield.decisions.effect_events import NotRun
from jackdawfield.decisions.effect_events import ReadFailed
from jackdawfield.decisions.effect_events import Reject
from jackdawfield.decisions.effect_events import RequestDiffers
from jackdawfield.decisions.effect_events import Requested
from jackdawfield.decisions.effect_events import RowRead
from jackdawfield.decisions.effect_events import Undecided
from jackdawfield.decisions.effect_events import WriteAnswered
from jackdawfield.decisions.effect_rows import EffectRow
from jackdawfield.decisions.effect_rows import encode_effect
from jackdawfield.decisions.effect_rows import NotSettleable
from jackdawfield.decisions.effect_rows import RowState
from jackdawfield.decisions.effect_rows import settle_transaction
from jackdawfield.decisions.effect_rows import settleable_rows
from jackdawfield.decisions.effects import Effect
from jackdawfield.decisions.effects import RETRY_MAX_S
from jackdawfield.decisions.effects import Trigger
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row
from tests.effect_search import Budget
from tests.effect_search import KEY
from tests.effect_search import Search

MAX_STATES = 30_000
BUDGETS = (
    Budget(requests=1, faults=2),
    Budget(lapses=0),
    Budget(crashes=0, settlements=0),
    Budget(requests=3, crashes=0, lapses=0, settlements=0),
)


class DispatchesBeforeAnswer(Effect):
    __slots__ = ()

    def _claim(self, revision, context):
        self._fire(Trigger.CLAIMED)
        write = super()._claim(revision, context)
        return (*write, Dispatch(self._current_attempt_id()))


class TreatsLostAsCommitted(Effect):
    __slots__ = ()

    def _on_claim_answered(self, outcome, context):
        if isinstance(outcome, OutcomeUnknown):
            return self._dispatch_or_release(Trigger.CLAIMED, context)
        return super()._on_claim_answered(outcome, context)


class TreatsLostAsNotRun(Effect):
    __slots__ = ()

    def _on_claim_answered(self, outcome, context):
        if isinstance(outcome, OutcomeUnknown):
            self._fire(Trigger.REFUSE)
            return (Answer(NotRun('lost')),)
        return super()._on_claim_answered(outcome, context)


class RetriesAfterTimeout(Effect):
    __slots__ = ()

    def _end_dispatch(self, state, outcome, reason):
        if state is RowState.UNKNOWN:
            return (Dispatch(self._current_attempt_id()),)
        return super()._end_dispatch(state, outcome, reason)


class ReportsUnknownAsNotRun(Effect):
    __slots__ = ()

    def _end_dispatch(self, state, outcome, reason):
        if state is RowState.UNKNOWN:
            state = RowState.NOT_RUN
        return super()._end_dispatch(state, outcome, reason)


class IgnoresClaimAge(Effect):
    __slots__ = ()

    def _dispatch_or_release(self, trigger, context):
        self._claim_sent_s = context.now_s
        return super()._dispatch_or_release(trigger, context)


class IgnoresLeaseExpiry(Effect):
    __slots__ = ()

    def _dispatch_or_release(self, trigger, context):
        context = EffectContext(context.now_s, True)
        self._claim_sent_s = context.now_s
        return super()._dispatch_or_release(trigger, context)


class RerunsOrphans(Effect):
    __slots__ = ()

    def _resolve_open_row(self, effect, event, context):
        if event.is_dispatcher_gone:
            return self._claim_again(event.row.revision, context)
        return super()._resolve_open_row(effect, event, context)


class RecordsNotSentAsFinal(Effect):
    __slots__ = ()

    def _on_not_sent(self, reason):
        return self._end_dispatch(RowState.NOT_RUN, b'', reason)


class SearchTest(unittest.TestCase):
    def test_every_order_of_steps_runs_at_most_once(self):
        for budget in BUDGETS:
            for has_sole_owner in (True, False):
                with self.subTest(
                    budget=budget, has_sole_owner=has_sole_owner
                ):
                    search = Search(Effect, budget, has_sole_owner)
                    self.assertEqual([], search.run(MAX_STATES))
                    self.assertGreater(search.states, 1000)

    def test_search_detects_faulty_variants(self):
        one_request, crash, lapse, three_requests = BUDGETS
        for variant, budget in (
            (DispatchesBeforeAnswer, crash),
            (TreatsLostAsCommitted, crash),
            (TreatsLostAsNotRun, lapse),
            (RetriesAfterTimeout, one_request),
            (ReportsUnknownAsNotRun, one_request),
            (IgnoresClaimAge, one_request),
            (IgnoresLeaseExpiry, one_request),
            (RerunsOrphans, crash),
            (RecordsNotSentAsFinal, three_requests),
        ):
            with self.subTest(variant=variant.__name__):
                search = Search(variant, budget, has_sole_owner=False)
                self.assertTrue(search.run(MAX_STATES))


class EffectTest(unittest.TestCase):
    def setUp(self):
        self.effect = Effect(
            KEY, 'i1', 'a', guards=(Condition('program/p', 7),)
        )
        self.context = EffectContext(0.0, True, True)

    def test_claim_includes_the_guards(self):
        (write,) = self.effect.on(Requested('x'), self.context)
        self.assertIn(Condition('program/p', 7), write.transaction.conditions)

    def test_claim_conflict_is_not_answered_as_not_run(self):
        self.effect.on(Requested('x'), self.context)
        (read,) = self.effect.on(WriteAnswered(1, Conflict()), self.context)
        event = RowRead(read.operation, None, False)
        (answer,) = self.effect.on(event, self.context)
        self.assertIsInstance(answer.answer, Undecided)

    def test_other_request_with_the_same_number_is_rejected(self):
        self.effect.on(Requested('x'), self.context)
        (action,) = self.effect.on(Requested('y'), self.context)
        self.assertEqual(Reject(RequestDiffers()), action)

    def test_malformed_row_is_answered_as_undecided(self):
        self.effect.on(Requested('x'), self.context)
        self.effect.on(WriteAnswered(1, Conflict()), self.context)
        event = RowRead(2, Row(KEY.row_key, b'?', 3), False)
        (answer,) = self.effect.on(event, self.context)
        self.assertIsInstance(answer.answer, Undecided)

    def test_no_claim_is_made_after_the_lease_expired(self):
        (action,) = self.effect.on(
            Requested('x'), EffectContext(0.0, False, True)
        )
        self.assertIsInstance(action.answer, Undecided)

    def test_delays_of_reads_grow_up_to_the_maximum(self):
        self.effect.on(Requested('x'), self.context)
        lost = WriteAnswered(1, OutcomeUnknown('lost'))
        self.effect.on(lost, self.context)
        delays_s = []
        for operation in range(2, 12):
            (read,) = self.effect.on(ReadFailed(operation), self.context)
            delays_s.append(read.delay_s)
        self.assertEqual(sorted(delays_s), delays_s)
        self.assertEqual(RETRY_MAX_S, delays_s[-1])


class SettleTest(unittest.TestCase):
    def _row(self, state):
        value = EffectRow('a.1', 'i1', 'x', state=state)
        return Row(KEY.row_key, encode_effect(value), 4)

    def test_only_unknown_rows_are_listed_and_settled(self):
        rows = tuple(self._row(state) for state in RowState)
        unknown = self._row(RowState.UNKNOWN)
        self.assertEqual((unknown,), settleable_rows(rows, frozenset()))
        orphan = self._row(RowState.OPEN)
        self.assertEqual(
            (orphan, unknown), settleable_rows(rows, frozenset({'i1'}))
        )
        refused = settle_transaction(orphan, RowState.RAN, 'ops', frozenset())
        self.assertEqual(NotSettleable(RowState.OPEN), refused.err_value)

    def test_settlement_is_conditional_on_the_revision_read(self):
        row = self._row(RowState.UNKNOWN)
        write = settle_transaction(
            row, RowState.NOT_RUN, 'ops', frozenset()
        ).ok_value
        self.assertEqual((Condition(row.key, 4),), write.conditions)
