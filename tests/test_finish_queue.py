"""Show who is served when programs ask for twice the slots there are.

Loads: programs of several calls at up to four times the capacity, of two
sizes and priorities, and one organisation at seven times its usual rate.
"""

from dataclasses import replace
from statistics import mean
import unittest

from jackdawfield.decisions.early_refusal import RefusalSettings
from jackdawfield.decisions.finish_queue import FinishOrder
from jackdawfield.decisions.finish_queue import FinishQueue
from jackdawfield.decisions.gateway_pool import gateway_pool_settings
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.queueing import QueueSettings
from jackdawfield.decisions.queueing import SlotSupply
from jackdawfield.decisions.slot_shares import ShareSettings
from jackdawfield.decisions.slot_shares import SlotShares
from jackdawfield.model import OrganisationId
from tests.pool_load import pool_run
from tests.pool_load import PoolRun
from tests.pool_load import Program

GATEWAY = gateway_pool_settings()
ARRIVAL = replace(
    GATEWAY,
    queue=QueueSettings(
        is_fair=False, attained_factor=0, cached_factor=0, burst_tokens=1e9
    ),
    refusal=RefusalSettings(),
)
SLOTS = 4
CALLS_PER_S = SLOTS / 0.1


def two_sizes(
    load: float, short_priority: int = 0, long_priority: int = 0
) -> list[Program]:
    """Return programs of 2 and 8 calls, a load of one fills the slots."""
    programs_per_s = CALLS_PER_S * load / 10
    short = Program('', 0.0, 2, time_s=0.6, priority=short_priority)
    long = Program('', 0.0, 8, time_s=1.6, priority=long_priority)
    programs = []
    for n in range(int(programs_per_s * 6)):
        at_s = n / programs_per_s
        programs.append(replace(short, name=f's{n}', arrives_s=at_s))
        programs.append(replace(long, name=f'l{n}', arrives_s=at_s + 0.013))
    return programs


def played(
    settings: PoolSettings, programs: list[Program], slots: int = SLOTS
) -> PoolRun:
    run = pool_run(settings, slots)
    run.play(programs, until_s=9.0)
    return run


def in_time(run: PoolRun, programs: list[Program], initial: str) -> float:
    """Return the fraction in time of the programs with an initial."""
    some = [program for program in programs if program.name[0] == initial]
    return run.in_time(some) / len(some)


class OverloadTest(unittest.TestCase):
    def test_begun_programs_end_in_time_at_twice_the_capacity(self) -> None:
        programs = two_sizes(load=2.0)
        by_arrival = played(ARRIVAL, programs)
        ordered = played(GATEWAY, programs)
        self.assertGreater(
            ordered.in_time(programs), 4 * by_arrival.in_time(programs)
        )
        begun = [p for p in programs if p.name in ordered.waits_s_by_name]
        self.assertEqual(len(begun), ordered.in_time(begun))

    def test_order_without_refusals_is_worse(self) -> None:
        programs = two_sizes(load=2.0)
        unlimited = replace(GATEWAY, refusal=RefusalSettings())
        self.assertGreater(
            played(GATEWAY, programs).in_time(programs),
            played(unlimited, programs).in_time(programs),
        )

    def test_all_programs_are_served_below_the_capacity(self) -> None:
        programs = two_sizes(load=0.9)
        run = played(GATEWAY, programs)
        self.assertEqual(len(programs), run.in_time(programs))

    def test_no_size_or_priority_is_served_a_quarter_as_often(self) -> None:
        for load in (1.2, 2.0, 4.0):
            for priorities in ((0, 0), (0, 1), (1, 0)):
                with self.subTest(load=load, priorities=priorities):
                    programs = two_sizes(load, *priorities)
                    run = played(GATEWAY, programs)
                    short = in_time(run, programs, 's')
                    long = in_time(run, programs, 'l')
                    self.assertGreaterEqual(short, long / 4)
                    self.assertGreaterEqual(long, short / 4)

    def test_the_urgent_are_served_most_of_equal_programs(self) -> None:
        urgent = [Program(f'u{n}', n * 0.04, 2) for n in range(100)]
        others = [
            Program(f'o{n}', n * 0.04 + 0.01, 2, priority=1)
            for n in range(100)
        ]
        run = played(GATEWAY, urgent + others)
        self.assertGreater(run.in_time(urgent), 2 * run.in_time(others))


class FloodTest(unittest.TestCase):
    def programs(self, rate_factor: int, calls: int) -> list[Program]:
        """Return programs of 12 organisations for 0.8 of 24 slots."""
        usual_per_s = 240 * 0.8 / 12 / calls
        return [
            Program(
                f'{name}{n}',
                (n + n * 7 % 5 / 4) / per_s + 0.011 * number,
                calls,
                organisation=name,
            )
            for number, name in enumerate('abcdefghijkl')
            for per_s in [usual_per_s * (rate_factor if name == 'a' else 1)]
            for n in range(int(per_s * 4))
        ]

    def others_duration_s(
        self, settings: PoolSettings, rate_factor: int, calls: int
    ) -> float:
        programs = self.programs(rate_factor, calls)
        run = played(settings, programs, slots=24)
        others = [p for p in programs if p.organisation != 'a']
        return mean(
            run.ended_s_by_name[p.name] - p.arrives_s
            for p in others
            if p.name in run.ended_s_by_name
        )

    def test_flood_lengthens_others_programs_by_less_than_a_tenth(
        self,
    ) -> None:
        for calls in (1, 4):
            with self.subTest(calls=calls):
                usual_s = self.others_duration_s(GATEWAY, 1, calls)
                flood_s = self.others_duration_s(GATEWAY, 7, calls)
                self.assertLess(flood_s, 1.1 * usual_s)

    def test_order_of_arrival_is_detected(self) -> None:
        usual_s = self.others_duration_s(ARRIVAL, 1, calls=4)
        flood_s = self.others_duration_s(ARRIVAL, 7, calls=4)
        self.assertGreater(flood_s, 2 * usual_s)

    def test_others_are_all_served_beside_the_flood(self) -> None:
        programs = self.programs(7, calls=4)
        run = played(GATEWAY, programs, slots=24)
        others = [p for p in programs if p.organisation != 'a']
        self.assertEqual(len(others), run.in_time(others))

    def test_scarce_slots_are_shared_by_weight(self) -> None:
        heavy = Program('', 0.0, organisation='a', weight=3.0)
        light = Program('', 0.0, organisation='b', weight=1.0)
        programs = [
            replace(one, name=f'{one.organisation}{n}', arrives_s=n * 0.01)
            for n in range(400)
            for one in (heavy, light)
        ]
        run = played(GATEWAY, programs, slots=8)
        served = [p for p in programs if p.name in run.ended_s_by_name]
        light_count = sum(p.organisation == 'b' for p in served)
        self.assertAlmostEqual(len(served) / 4, light_count, delta=20)

    def test_flood_takes_the_slots_that_nobody_else_needs(self) -> None:
        flood = [
            Program(f'a{n}', 0.0, organisation='a', time_s=3.0)
            for n in range(SLOTS)
        ]
        run = pool_run(GATEWAY, SLOTS)
        run.play([Program('b', 0.0, organisation='b')], until_s=0.2)
        run.play([replace(p, arrives_s=0.3) for p in flood], until_s=0.5)
        waits_s = [run.waits_s_by_name[p.name] for p in flood]
        self.assertEqual([[0.0]] * SLOTS, waits_s)


class RankTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = SlotShares(ShareSettings(headroom=0.0))
        self.queue = FinishQueue(FinishOrder(), self.shares)

    def push(self, program: Program, number: int, now_s: float = 0.0) -> None:
        demand = program.demand(number, now_s)
        self.shares.record_request(demand.organisation_id, 1.0, now_s)
        self.queue.push(demand, now_s, latest_start_s=demand.deadline_s)

    def order(self, now_s: float = 0.0) -> list[str]:
        supply = SlotSupply(now_s, slots=4, call_s=0.1)
        names = []
        while (queued := self.queue.pop(frozenset(), supply)) is not None:
            names.append(queued.demand.request_id.split('.')[0])
        return names

    def test_begun_programs_go_before_new_and_late_ones(self) -> None:
        self.push(Program('late', 0.0, time_s=0.05), 1)
        self.push(Program('new', 0.0, time_s=0.5), 0)
        self.push(Program('begun', 0.0, time_s=1.0), 1)
        self.assertEqual(['begun', 'new', 'late'], self.order())

    def test_least_time_left_goes_first(self) -> None:
        self.push(Program('long', 0.0, time_s=1.4), 1)
        self.push(Program('short', 0.0, time_s=0.3), 1)
        self.assertEqual(['short', 'long'], self.order())

    def test_program_with_much_time_left_is_due_within_its_limit(
        self,
    ) -> None:
        self.push(Program('long', 0.0, time_s=30.0), 1)
        self.push(Program('short', 1.4, time_s=0.3), 1, now_s=1.4)
        self.assertEqual(['long', 'short'], self.order(now_s=1.4))

    def test_late_program_goes_on_after_half_of_its_wait(self) -> None:
        self.push(Program('late', 0.0, time_s=0.05), 1)
        self.push(Program('begun', 2.0, time_s=1.0), 1, now_s=2.0)
        self.assertEqual(['late', 'begun'], self.order(now_s=2.0))

    def test_organisation_over_its_share_goes_last(self) -> None:
        flooding, other = OrganisationId('a'), OrganisationId('b')
        for _ in range(2):
            self.shares.record_grant(flooding, 1.0, 0.0)
        self.shares.record_grant(other, 1.0, 0.0)
        urgent = Program('a', 0.0, priority=0, organisation='a')
        self.push(urgent, 0)
        self.push(Program('b', 0.0, priority=1, organisation='b'), 0)
        self.assertEqual(['b', 'a'], self.order())

    def test_queued_flood_of_an_organisation_takes_few_turns(self) -> None:
        for n in range(20):
            self.push(Program(f'a{n}', 0.0, organisation='a'), 0)
        self.shares.record_grant(OrganisationId('b'), 1.0, 0.0)
        demand = Program('b', 0.0, organisation='b').demand(0, 0.0)
        supply = SlotSupply(0.0, slots=4, call_s=0.1)
        turns = self.queue.count_turns_before(demand, supply)
        self.assertLessEqual(turns, 4)

    def test_most_queued_organisation_is_evicted_from_first(self) -> None:
        for n in range(3):
            self.push(Program(f'a{n}', 0.1 * n, organisation='a'), 0)
        self.push(Program('b', 0.3, organisation='b'), 0)
        supply = SlotSupply(0.3, slots=4, call_s=0.1)
        evicted = self.queue.first_to_evict(supply)
        self.assertEqual('a2.0', evicted.demand.request_id)
