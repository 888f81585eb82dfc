"""Show who is refused when many new programs come at once.

Load: a burst of many times what can be begun in time.
"""

from dataclasses import replace
import unittest

from jackdawfield.decisions.early_refusal import late_reason
from jackdawfield.decisions.early_refusal import latest_start_s
from jackdawfield.decisions.early_refusal import RefusalSettings
from jackdawfield.decisions.early_refusal import ReturnSchedule
from jackdawfield.decisions.gateway_pool import gateway_pool_settings
from jackdawfield.decisions.pool_events import RefusalReason
from jackdawfield.decisions.pool_events import RequestSubmitted
from tests.pool_load import pool_run
from tests.pool_load import PoolRun
from tests.pool_load import Program

GATEWAY = gateway_pool_settings()
BURST_AT_S = 2.0
USUAL = [Program(f'usual{n}', 0.15 * n, 4) for n in range(14)]
BURST = [Program(f'p{n}', BURST_AT_S + 0.001 * n, 4) for n in range(60)]


def played_burst(refusal: RefusalSettings) -> PoolRun:
    run = pool_run(replace(GATEWAY, refusal=refusal), 4)
    run.play(USUAL, until_s=BURST_AT_S)
    run.play(BURST, until_s=BURST_AT_S + 0.3)
    return run


class BurstTest(unittest.TestCase):
    def test_new_programs_that_cannot_end_are_refused_at_once(self) -> None:
        run = pool_run(GATEWAY, 4)
        run.play(USUAL, until_s=BURST_AT_S)
        run.play(BURST, until_s=BURST[-1].arrives_s)
        refused = run.refusals_by_name
        self.assertGreater(len(refused), len(BURST) / 2)
        reasons = {refusal.reason for refusal in refused.values()}
        self.assertEqual({RefusalReason.PROGRAM_LATE}, reasons)
        run.play([], until_s=9.0)
        self.assertEqual(len(BURST), len(refused) + self.begun(run))
        self.assertEqual(self.begun(run), run.in_time(BURST))

    def begun(self, run: PoolRun) -> int:
        return sum(program.name in run.waits_s_by_name for program in BURST)

    def test_queue_without_early_refusal_is_detected(self) -> None:
        run = played_burst(RefusalSettings())
        run.play([], until_s=9.0)
        self.assertGreater(self.begun(run), 2 * run.in_time(BURST))

    def test_refused_callers_that_return_as_told_are_served(self) -> None:
        self.assertGreater(self.served_on_return(GATEWAY.refusal), 0.8)

    def test_returns_at_the_same_time_are_detected(self) -> None:
        together = replace(GATEWAY.refusal, spaces_returns=False)
        self.assertLess(self.served_on_return(together), 0.2)

    def served_on_return(self, refusal: RefusalSettings) -> float:
        """Return the part in time of those who return once, as told."""
        run = played_burst(refusal)
        first = dict(run.refusals_by_name)
        returning = [
            replace(
                program,
                name=f'again {program.name}',
                arrives_s=program.arrives_s
                + first[program.name].retry_after_s,
            )
            for program in BURST
            if program.name in first
        ]
        run.play(returning, until_s=20.0)
        return run.in_time(returning) / len(returning)

    def test_returns_are_soon_again_after_a_burst(self) -> None:
        schedule = ReturnSchedule(GATEWAY.refusal)
        for _ in range(1000):
            schedule.retry_after_s(True, 1.0, 0.2, 0.05, now_s=0.0)
        self.assertAlmostEqual(
            0.8, schedule.retry_after_s(True, 1.0, 0.2, 0.05, now_s=6.0)
        )

    def test_calls_of_begun_programs_return_by_single_calls(self) -> None:
        schedule = ReturnSchedule(GATEWAY.refusal)
        for _ in range(100_000):
            schedule.record_grant(begins_program=False)
        returns_s = [
            schedule.retry_after_s(False, 1.0, 0.2, 0.05, now_s=0.0)
            for _ in range(2)
        ]
        self.assertAlmostEqual(0.05, returns_s[1] - returns_s[0])


class LatestStartTest(unittest.TestCase):
    settings = RefusalSettings(first_wait_fraction=0.25, counts_call=True)

    def test_first_wait_of_a_program_is_limited(self) -> None:
        demand = Program('p', 0.0, time_s=1.0).demand(0, 0.0)
        latest_s = latest_start_s(demand, 0.0, 0.1, self.settings)
        self.assertEqual(0.25, latest_s)

    def test_begun_program_may_wait_until_its_call_has_to_start(self) -> None:
        demand = Program('p', 0.0, time_s=1.0).demand(1, 0.0)
        latest_s = latest_start_s(demand, 0.0, 0.5, self.settings)
        self.assertEqual(2.5, latest_s)

    def test_reason_tells_a_deadline_from_a_late_program(self) -> None:
        demand = Program('p', 0.0).demand(0, 0.0)
        self.assertEqual(
            RefusalReason.PROGRAM_LATE,
            late_reason(demand, 1.0, 0.5, self.settings),
        )
        self.assertEqual(
            RefusalReason.DEADLINE,
            late_reason(demand, 2.6, 0.5, self.settings),
        )

    def test_call_with_a_free_slot_is_not_refused(self) -> None:
        run = pool_run(GATEWAY, 1)
        late = replace(Program('p', 0.0).demand(0, 0.0), finish_s=0.01)
        (action,) = run.pool.on(RequestSubmitted(0.0, late))
        self.assertEqual('p.0', action.request_id)
        self.assertNotIn('p', run.refusals_by_name)
