"""Tests that each check of the soak finds what breaks its promise."""

from dataclasses import replace
import unittest

from soak.checks import check
from soak.record import CallClass
from soak.record import Outcome
from soak.record import Record
from soak.record import Run
from soak.record import Trouble
from soak.record import VersionSeen
from soak.schedule import FaultKind
from soak.world import APPLY_S
from soak.world import BUDGET_TOKENS
from soak.world import FREE
from soak.world import LIMITED
from soak.world import plain_body
from soak.world import PROBES
from soak.world import TOKENS_PER_EVENT

ORDER = CallClass.ORDER
CALM_FROM_S = 100.0


def outcome(request_id: str, at_s: float = 10.0, **changes: object) -> Outcome:
    """Return a call that was answered well."""
    body = plain_body(request_id)
    good = Outcome(
        request_id,
        ORDER,
        FREE,
        'program',
        'i0',
        at_s,
        at_s + 0.1,
        200,
        True,
        body,
        body,
        'digest',
    )
    return replace(good, **changes)


def run(request_id: str, at_s: float = 10.0, **changes: object) -> Run:
    """Return an execution of a call."""
    plain = Run(
        request_id, f'e-{request_id}', ORDER, FREE, 'program', at_s, 'digest'
    )
    return replace(plain, **changes)


def record(
    outcomes: tuple[Outcome, ...] = (), runs: tuple[Run, ...] = ()
) -> Record:
    """Return a record with a good calm and some calls."""
    calm = [outcome(f'c{n}', CALM_FROM_S + 3 + n) for n in range(9)]
    return Record([*runs], [*outcomes, *calm], calm_from_s=CALM_FROM_S)


class ChecksTest(unittest.TestCase):
    """Feeds records with one broken promise each."""

    def assert_broken(self, seen: Record, promise: str) -> None:
        """Expect that exactly one promise is broken."""
        promises = {violation.promise for violation in check(seen)}
        self.assertEqual(promises, {promise})

    def test_good_record_breaks_nothing(self) -> None:
        self.assertEqual(check(record((outcome('r'),), (run('r'),))), [])

    def test_effect_that_ran_twice(self) -> None:
        runs = (run('r'), run('s', effect_id='e-r'))
        self.assert_broken(record(runs=runs), 'at most once')

    def test_lookup_may_run_twice(self) -> None:
        lookup = run('r', call_class=CallClass.LOOKUP)
        self.assertEqual(check(record(runs=(lookup, lookup))), [])

    def test_refused_call_that_ran(self) -> None:
        for status in (402, 408, 421, 429, 503):
            refused = outcome('r', status=status)
            with self.subTest(status=status):
                seen = record((refused,), (run('r'),))
                self.assert_broken(seen, 'true refusals')

    def test_answer_of_another(self) -> None:
        foreign = outcome('r', body=b'done another')
        self.assert_broken(record((foreign,)), 'whole and own answers')

    def test_whole_answer_with_a_part_missing(self) -> None:
        short = outcome('r', body=b'done')
        self.assert_broken(record((short,)), 'whole and own answers')

    def test_cut_answer_may_lack_its_end(self) -> None:
        cut = outcome('r', body=b'done', whole=False)
        self.assertEqual(check(record((cut,))), [])

    def test_turn_not_found(self) -> None:
        missing = outcome('r', status=404)
        self.assert_broken(record((missing,)), 'kept turns')

    def test_other_prompt(self) -> None:
        seen = record((outcome('r'),), (run('r', body_digest='other'),))
        self.assert_broken(seen, 'kept turns')

    def test_budget_exceeded(self) -> None:
        events = BUDGET_TOKENS // TOKENS_PER_EVENT + 1
        body = b'data: x\n\n' * events
        turn = outcome(
            'r', call_class=CallClass.TURN, body=body, expected_body=body
        )
        self.assert_broken(record((turn,)), 'budgets')

    def test_rate_exceeded_in_a_window(self) -> None:
        runs = tuple(
            run(f'r{n}', 10 + n * 0.05, organisation=LIMITED)
            for n in range(60)
        )
        self.assert_broken(record(runs=runs), 'rates')

    def test_key_used_after_its_withdrawal(self) -> None:
        late = outcome('r', 10 + APPLY_S + 1, key='k', organisation=PROBES)
        seen = record((late,))
        seen.withdrawn_at_s_by_key['k'] = 10.0
        self.assert_broken(seen, 'withdrawn keys')

    def test_key_used_by_an_instance_out_of_touch(self) -> None:
        late = outcome('r', 10 + APPLY_S + 1, key='k', organisation=PROBES)
        seen = record((late,))
        seen.withdrawn_at_s_by_key['k'] = 10.0
        kind = FaultKind.STORE_CUT.value
        seen.troubles.append(Trouble(kind, 'i0', 9.0, 20.0))
        self.assertEqual(check(seen), [])

    def test_version_that_goes_back(self) -> None:
        seen = record()
        seen.versions = [VersionSeen('i0', 1.0, 3), VersionSeen('i0', 2.0, 2)]
        self.assert_broken(seen, 'configuration never back')

    def test_key_taken_again(self) -> None:
        refused = outcome('r', 11, key='k', status=401, organisation=PROBES)
        taken = outcome('s', 12, key='k', organisation=PROBES)
        seen = record((refused, taken))
        seen.withdrawn_at_s_by_key['k'] = 10.0
        self.assert_broken(seen, 'configuration never back')

    def test_call_cut_by_a_planned_stop(self) -> None:
        cut = outcome('r', 10, status=0, whole=False, body=b'')
        seen = record((cut,))
        seen.planned_stops = [('i0', 10.05)]
        self.assert_broken(seen, 'planned stops cut nothing')

    def test_late_call_that_was_passed_on_and_cut(self) -> None:
        cut = outcome('r', 11, status=0, whole=False, body=b'')
        for runs, found in (((), []), ((run('r', 11),), [1])):
            seen = record((cut,), runs)
            seen.planned_stops = [('i0', 10.05)]
            self.assertEqual(len(check(seen)), len(found))

    def test_failure_in_the_calm(self) -> None:
        failed = outcome('r', CALM_FROM_S + 3, status=503)
        self.assert_broken(record((failed,)), 'served again in the calm')


if __name__ == '__main__':
    unittest.main()
