import unittest

from jackdawfield.decisions import ordering
from jackdawfield.decisions.ordering import AnswerFromRecord
from jackdawfield.decisions.ordering import CallArrived
from jackdawfield.decisions.ordering import CallFailed
from jackdawfield.decisions.ordering import CallFinished
from jackdawfield.decisions.ordering import CallOrder
from jackdawfield.decisions.ordering import Refuse
from jackdawfield.decisions.ordering import Run
from jackdawfield.decisions.ordering import TimePassed


def call(
    name: str, number: int, now_s: float = 0.0, body: str = ''
) -> CallArrived:
    return CallArrived(name, number, (body or f'b{number}').encode(), now_s)


class CallOrderTest(unittest.TestCase):
    def test_runs_calls_that_arrive_out_of_order_in_order(self) -> None:
        order = CallOrder()
        self.assertEqual((), order.on(call('b', 2)))
        self.assertEqual((), order.on(call('c', 3)))
        self.assertEqual((Run('a', 1, b'b1'),), order.on(call('a', 1)))
        after_one = order.on(CallFinished(1, 5.0))
        self.assertEqual((Run('b', 2, b'b2'),), after_one)
        self.assertEqual((), order.on(CallFinished(3, 5.0)))
        after_two = order.on(CallFinished(2, 6.0))
        self.assertEqual((Run('c', 3, b'b3'),), after_two)

    def test_repeats_wait_for_the_record_or_run_after_a_failure(self) -> None:
        order = CallOrder()
        order.on(call('a', 1))
        self.assertEqual((), order.on(call('again', 1)))
        failed = order.on(CallFailed(1, 1.0))
        self.assertEqual((Run('again', 1, b'b1'),), failed)
        self.assertEqual((), order.on(call('third', 1)))
        finished = order.on(CallFinished(1, 2.0))
        self.assertEqual((AnswerFromRecord('third', 1),), finished)
        repeat = order.on(call('late', 1))
        self.assertEqual((AnswerFromRecord('late', 1),), repeat)

    def test_refuses_another_body_under_the_same_number(self) -> None:
        order = CallOrder()
        error = ordering.DigestMismatch(1)
        order.on(call('a', 1))
        self.assertEqual(
            (Refuse('x', error),), order.on(call('x', 1, body='other'))
        )
        order.on(CallFinished(1, 1.0))
        self.assertEqual(
            (Refuse('y', error),), order.on(call('y', 1, body='other'))
        )
        order.on(call('w', 3))
        self.assertEqual(
            (Refuse('z', ordering.DigestMismatch(3)),),
            order.on(call('z', 3, body='other')),
        )

    def test_refuses_a_gap_only_after_its_time_limit(self) -> None:
        order = CallOrder(ordering.OrderLimits(wait_s=2.0, waiting=3))
        order.on(call('c', 3))
        self.assertEqual(2.0, order.next_timeout_s)
        self.assertEqual((), order.on(TimePassed(1.9)))
        gap = Refuse('c', ordering.CallGap(3, 1))
        self.assertEqual((gap,), order.on(TimePassed(2.0)))
        order.on(call('a', 1, 3.0))
        order.on(call('b', 2, 3.0))
        order.on(call('c', 3, 3.0))
        self.assertEqual((), order.on(TimePassed(99.0)))
        order.on(call('e', 5, 99.0))
        full = order.on(call('f', 6, 99.0))
        self.assertEqual((Refuse('f', ordering.TooManyWaiting(3)),), full)
        invalid = order.on(call('g', 0, 99.0))
        self.assertEqual((Refuse('g', ordering.InvalidNumber(0)),), invalid)
