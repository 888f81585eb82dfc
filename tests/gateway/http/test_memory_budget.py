"""Test which connections give way when callers hold too much."""

from dataclasses import replace
import unittest

from jackdawfield.gateway.http.memory_budget import budget_bytes
from jackdawfield.gateway.http.memory_budget import choose_closed
from jackdawfield.gateway.http.memory_budget import choose_for_body
from jackdawfield.gateway.http.memory_budget import choose_refused
from jackdawfield.gateway.http.memory_budget import connection_limit
from jackdawfield.gateway.http.memory_budget import FILE_DESCRIPTORS
from jackdawfield.gateway.http.memory_budget import HANDLED_COPIES
from jackdawfield.gateway.http.memory_budget import Holder
from jackdawfield.gateway.http.memory_budget import Phase
from jackdawfield.gateway.http.memory_budget import SMALL_BYTES
from jackdawfield.gateway.http.memory_budget import STALL_S

NOW_S = 1000.0
LARGE = 10 * SMALL_BYTES
BODY = 4 * 1024 * 1024


def body(number: int, began_at_s: float, **changes: object) -> Holder:
    """Return a large body that is not whole and arrives steadily."""
    holder = Holder(
        number, 'a', Phase.ARRIVING, LARGE, 0, began_at_s, NOW_S - 0.1
    )
    return replace(holder, **changes)  # type: ignore[arg-type]


def numbers(holders: list[Holder]) -> list[int]:
    return [holder.number for holder in holders]


class ChooseRefusedTest(unittest.TestCase):
    # Load: many bodies that progress, more than the budget holds.
    def test_newest_bodies_are_refused_until_enough_is_free(self) -> None:
        holders = [body(number, NOW_S - 10 + number) for number in range(8)]
        self.assertEqual(
            numbers(choose_refused(holders, 2 * LARGE, NOW_S)), [7, 6]
        )

    # Load: bodies that stop just short of their end, beside an honest one.
    def test_stalled_bodies_are_refused_before_a_newer_one(self) -> None:
        stalled_at_s = NOW_S - STALL_S - 1
        holders = [
            body(number, NOW_S - 20, progress_at_s=stalled_at_s - number)
            for number in range(3)
        ]
        honest = body(9, NOW_S - 0.2)
        chosen = choose_refused([honest, *holders], 2 * LARGE, NOW_S)
        self.assertEqual(numbers(chosen), [2, 1])

    # Load: large bodies fill the budget while an ordinary request arrives.
    def test_small_request_is_refused_after_large_ones(self) -> None:
        small = body(1, NOW_S, held_bytes=SMALL_BYTES)
        large = body(2, NOW_S - 5)
        self.assertEqual(
            numbers(choose_refused([small, large], 1, NOW_S)), [2]
        )

    # Load: callers that do not read their responses.
    def test_handled_request_stays_unless_its_caller_stops_reading(
        self,
    ) -> None:
        handled = body(1, NOW_S - 9, phase=Phase.HANDLED)
        unread = replace(handled, number=2, unread_bytes=SMALL_BYTES)
        stalled = replace(
            unread, number=3, progress_at_s=NOW_S - STALL_S - 0.1
        )
        chosen = choose_refused([handled, unread, stalled], 9 * LARGE, NOW_S)
        self.assertEqual(numbers(chosen), [3])

    def test_idle_connections_give_way_last_the_longest_idle_first(
        self,
    ) -> None:
        idle = [
            body(n, 0.0, phase=Phase.IDLE, progress_at_s=NOW_S - n)
            for n in range(3)
        ]
        chosen = choose_refused([*idle, body(7, NOW_S)], 2 * LARGE, NOW_S)
        self.assertEqual(numbers(chosen), [7, 2])

    def test_no_body_gives_way_to_one_for_which_all_are_too_few(self) -> None:
        small = body(3, NOW_S, held_bytes=SMALL_BYTES)
        holders = [body(1, NOW_S - 2), body(2, NOW_S - 1), small]
        self.assertEqual(choose_for_body(holders, 3 * LARGE, NOW_S), [])
        self.assertEqual(numbers(choose_for_body(holders, LARGE, NOW_S)), [2])


class ChooseClosedTest(unittest.TestCase):
    # Load: one address opens far more connections than the others.
    def test_address_with_most_connections_gives_way_first(self) -> None:
        crowd = [body(n, 0.0, progress_at_s=NOW_S - 1) for n in range(8)]
        other = body(9, 0.0, address='b', progress_at_s=NOW_S - 60)
        chosen = choose_closed([other, *crowd], 8, NOW_S)
        self.assertNotIn(9, numbers(chosen))

    # Load: all callers come through one balancer.
    def test_slowest_give_way_first_if_all_share_an_address(self) -> None:
        slow = body(1, 0.0, progress_at_s=NOW_S - 5)
        idle = body(2, 0.0, phase=Phase.IDLE, progress_at_s=NOW_S - 60)
        handled = body(3, 0.0, phase=Phase.HANDLED, progress_at_s=0.0)
        stalled = replace(handled, number=4, unread_bytes=1)
        holders = [handled, body(0, 0.0), idle, slow, stalled]
        self.assertEqual(
            numbers(choose_closed(holders, 9, NOW_S)), [4, 1, 0, 2]
        )


class BoundsTest(unittest.TestCase):
    def test_largest_body_and_its_copies_fit_on_the_smallest_instance(
        self,
    ) -> None:
        self.assertGreater(
            budget_bytes(64, 10**7, BODY), BODY * (1 + HANDLED_COPIES)
        )
        self.assertLess(budget_bytes(128, 0, BODY), 64 * 1024 * 1024)

    def test_sockets_are_left_for_servers(self) -> None:
        sockets = 4100 - FILE_DESCRIPTORS
        self.assertLess(connection_limit(4100), sockets)
        self.assertGreater(connection_limit(4100), sockets // 2)
        self.assertGreater(connection_limit(0), 0)
