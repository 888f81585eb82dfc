"""The pattern: for a while more turns come than the servers have places."""

from dataclasses import replace
import unittest

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.waiting import LONG_WAIT_S
from jackdawfield.gateway.waiting import LONGEST_WAIT_S
from jackdawfield.gateway.waiting import Waiting
from jackdawfield.gateway.waiting import Window
from tests.gateway.test_dispatch import call


def turn(priority: int, finish_left_s: float | None) -> Call:
    made = call(CallKind.STREAM)
    return replace(
        made,
        route=replace(made.route, priority=priority),
        headers=replace(made.headers, finish_left_s=finish_left_s),
    )


class WaitingTest(unittest.TestCase):
    def order(self, *calls: Call) -> list[Call]:
        waiting: Waiting[Call] = Waiting()
        for item in calls:
            waiting.put(waiting.rank(item, None), item)
        return [waiting.pop() for _ in calls]

    def test_urgent_routes_go_first(self) -> None:
        low, high = turn(1, 0.5), turn(0, 9.0)
        self.assertEqual(self.order(low, high), [high, low])

    def test_programs_that_end_soon_go_first(self) -> None:
        soon, later, hopeless = turn(0, 1.0), turn(0, 5.0), turn(0, 0.0)
        ordered = self.order(hopeless, later, soon)
        self.assertEqual(ordered, [soon, later, hopeless])

    def test_equal_calls_keep_their_order(self) -> None:
        calls = [turn(0, None) for _ in range(5)]
        same = [replace(c, deadline_s=calls[0].deadline_s) for c in calls]
        ordered = self.order(*same)
        self.assertEqual([id(c) for c in ordered], [id(c) for c in same])

    def test_expected_wait_follows_the_pace(self) -> None:
        waiting: Waiting[Call] = Waiting()
        for step in range(100):
            waiting.count_end(step * 0.05)
        for _ in range(30):
            item = turn(1, None)
            waiting.put(waiting.rank(item, None), item)
        low = waiting.expected_wait_s(waiting.rank(turn(1, None), None))
        high = waiting.expected_wait_s(waiting.rank(turn(0, None), None))
        self.assertGreater(low, LONGEST_WAIT_S)
        self.assertAlmostEqual(high, 0.05, delta=0.01)


class WindowTest(unittest.TestCase):
    def test_shrinks_while_requests_wait_at_the_server(self) -> None:
        window = Window.of(16)
        for step in range(40):
            window.note_first(2 * LONG_WAIT_S, 16, step * 0.1)
        self.assertLess(window.limit, 4)
        self.assertTrue(window.has_room(0))

    def test_grows_back_up_to_the_slots_when_it_is_used(self) -> None:
        window = Window.of(16)
        window.limit = 1.0
        for step in range(2000):
            window.note_first(0.0, int(window.limit), step * 0.01)
        self.assertEqual(window.limit, 16)

    def test_unused_window_does_not_grow(self) -> None:
        window = Window.of(16)
        window.limit = 4.0
        for step in range(100):
            window.note_first(0.0, 1, step * 0.01)
        self.assertEqual(window.limit, 4.0)
