"""Test the queue and the concurrency limit.

For a while more turns arrive than the servers have slots.
"""

from dataclasses import replace
import unittest

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.servers.call_queue import CallQueue
from jackdawfield.gateway.servers.call_queue import ConcurrencyLimit
from jackdawfield.gateway.servers.call_queue import MAX_QUEUE_WAIT_S
from jackdawfield.gateway.servers.call_queue import MAX_SERVER_WAIT_S
from tests.gateway.servers.test_dispatch import make_call


def make_turn(priority: int, finish_left_s: float | None) -> Call:
    base_call = make_call(CallKind.STREAM)
    return replace(
        base_call,
        route=replace(base_call.route, priority=priority),
        headers=replace(base_call.headers, finish_left_s=finish_left_s),
    )


class CallQueueTest(unittest.TestCase):
    def order(self, *calls: Call) -> list[Call]:
        queue: CallQueue[Call] = CallQueue()
        for item in calls:
            queue.put(queue.rank(item, None), item)
        return [queue.pop() for _ in calls]

    def test_routes_are_ordered_by_priority(self) -> None:
        low, high = make_turn(1, 0.5), make_turn(0, 9.0)
        self.assertEqual(self.order(low, high), [high, low])

    def test_earlier_finish_goes_first_and_late_calls_last(self) -> None:
        soon, later, late = (
            make_turn(0, 1.0),
            make_turn(0, 5.0),
            make_turn(0, 0.0),
        )
        ordered = self.order(late, later, soon)
        self.assertEqual(ordered, [soon, later, late])

    def test_calls_of_equal_rank_are_served_in_order_of_arrival(self) -> None:
        calls = [make_turn(0, None) for _ in range(5)]
        same = [replace(c, deadline_s=calls[0].deadline_s) for c in calls]
        ordered = self.order(*same)
        self.assertEqual([id(c) for c in ordered], [id(c) for c in same])

    def test_expected_wait_follows_the_interval_between_ends(self) -> None:
        queue: CallQueue[Call] = CallQueue()
        for step in range(100):
            queue.record_end(step * 0.05)
        for _ in range(30):
            item = make_turn(1, None)
            queue.put(queue.rank(item, None), item)
        low = queue.expected_wait_s(queue.rank(make_turn(1, None), None))
        high = queue.expected_wait_s(queue.rank(make_turn(0, None), None))
        self.assertGreater(low, MAX_QUEUE_WAIT_S)
        self.assertAlmostEqual(high, 0.05, delta=0.01)


class ConcurrencyLimitTest(unittest.TestCase):
    def test_decreases_while_the_server_queues_requests(self) -> None:
        limit = ConcurrencyLimit.with_all_slots(16)
        for step in range(40):
            limit.record_wait(2 * MAX_SERVER_WAIT_S, 16, step * 0.1)
        self.assertLess(limit.limit, 4)
        self.assertTrue(limit.has_room(0))

    def test_increases_up_to_the_slots_when_used(self) -> None:
        limit = ConcurrencyLimit.with_all_slots(16)
        limit.limit = 1.0
        for step in range(2000):
            limit.record_wait(0.0, int(limit.limit), step * 0.01)
        self.assertEqual(limit.limit, 16)

    def test_unused_limit_does_not_increase(self) -> None:
        limit = ConcurrencyLimit.with_all_slots(16)
        limit.limit = 4.0
        for step in range(100):
            limit.record_wait(0.0, 1, step * 0.01)
        self.assertEqual(limit.limit, 4.0)
