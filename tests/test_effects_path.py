"""Test on real daemons that effects run at most once."""

from base64 import b64encode
from concurrent.futures import ThreadPoolExecutor
import signal
import time
import unittest

from jackdawfield.decisions.placement import choose_owner
from tests.fleet import BOOKING
from tests.fleet import Fleet
from tests.fleet import Program
from tests.fleet import QUOTE
from tests.fleet import wait_for

LEASE_S = 1.5
# The prefix of the keys of claims, as encoded in the table's requests.
CLAIM_KEY = b64encode(b'effect').decode()


def find_home(fleet, program):
    """Return the daemon that is a program's home."""
    names = fleet.daemons_by_name
    return names[choose_owner(f'program:{program.program_id}', names)]


def find_other_daemon(fleet, program):
    """Return a daemon that is not a program's home."""
    home = find_home(fleet, program)
    daemons = fleet.daemons_by_name.values()
    return next(daemon for daemon in daemons if daemon is not home)


def read_execution(answer):
    """Return 'ran', 'not run' or 'unknown', as an answer states it."""
    if answer.status == 200:
        return 'ran'
    return answer.json()['error']['execution']


class EffectsPathTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(
            daemons_per_domain=3,
            settings={
                'lease': {'lease_s': LEASE_S},
                'limits': {'default_deadline_s': 20.0},
            },
        )
        self.addCleanup(self.fleet.close)
        self.service = self.fleet.services[0]
        self.program = Program(self.fleet.first_daemon())
        self.home = find_home(self.fleet, self.program)
        self.entry = find_other_daemon(self.fleet, self.program)
        other = Program(self.entry)
        wait_for(lambda: succeeded(other.service(self.entry, QUOTE, number=1)))

    def count_runs(self):
        """Return the number of times that the service has run the booking."""
        runs = self.service.get('/runs')
        return sum(run['action'] == BOOKING for run in runs)

    def book(self, daemon, wait_s=0.0):
        """Send the call, with retries until its rate admits it."""
        return wait_for(lambda: admitted(self.send(daemon, wait_s)))

    def send(self, daemon, wait_s):
        return self.program.service(daemon, body={'wait_s': wait_s}, number=1)

    def check_consistency(self, answers):
        """Check that the answers match the number of runs; return it."""
        runs = self.count_runs()
        executions = {read_execution(answer) for answer in answers}
        detail = [answer.text for answer in answers]
        self.assertLessEqual(runs, 1)
        if runs:
            self.assertNotIn('not run', executions, detail)
        else:
            self.assertNotIn('ran', executions, detail)
        return runs

    def test_concurrent_repeats_to_all_daemons_run_once(self):
        daemons = list(self.fleet.daemons_by_name.values()) * 3
        with ThreadPoolExecutor(9) as pool:
            answers = list(pool.map(lambda d: self.book(d, 0.2), daemons))
        self.assertEqual(1, self.check_consistency(answers))

    def test_call_is_not_repeated_after_service_closes_connection(self):
        self.service.set_faults(lose_answers=1)
        first = self.book(self.entry)
        self.assertEqual('unknown', read_execution(first))
        repeated = self.book(self.home)
        self.assertEqual('unknown', read_execution(repeated))
        self.assertEqual(1, self.count_runs())

    def test_lost_table_answers_are_resolved(self):
        self.fleet.table.set_faults(lose_answers=3)
        answers = [self.book(self.entry) for _ in range(3)]
        self.assertEqual(1, self.check_consistency(answers))

    def test_call_refused_in_a_table_outage_has_not_run(self):
        self.fleet.table.set_faults(down=True)
        refused = self.book(self.entry)
        self.assertEqual(
            ('not run', 0), (read_execution(refused), self.count_runs())
        )
        self.fleet.table.set_faults(down=False)
        repeated = wait_for(lambda: succeeded(self.book(self.entry)))
        self.assertEqual(1, self.count_runs())
        self.assertEqual(200, repeated.status)

    def test_call_is_not_repeated_if_its_home_dies_after_dispatch(self):
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(self.book, self.entry, 30.0)
            wait_for(lambda: self.count_runs() == 1)
            self.home.process.kill()
            answers = [first.result()]
        answers += [self.book(self.entry, 30.0) for _ in range(3)]
        self.check_consistency(answers)

    def test_operator_lists_and_settles_an_unknown_effect(self):
        self.service.set_faults(lose_answers=1)
        self.assertEqual('unknown', read_execution(self.book(self.entry)))
        (listed,) = wait_for(lambda: self.list_unresolved())
        self.assertEqual(BOOKING, listed['route'])
        path = f'/admin/v1/effects/{listed["effect_id"]}/settle'
        body = {'outcome': 'ran', 'operator': 'ops'}
        settled = self.entry.operator_request('POST', path, body)
        self.assertEqual(200, settled.status, settled.text)
        self.assertEqual([], self.list_unresolved())
        repeated = self.entry.operator_request('POST', path, body)
        self.assertEqual(409, repeated.status)
        self.assertEqual('ran', read_execution(self.book(self.entry)))
        self.assertEqual(1, self.count_runs())

    def list_unresolved(self):
        return self.entry.operator_request('GET', '/admin/v1/effects').json()

    def request_in_flight(self, pool):
        """Send a call and return its future while its claim is in flight."""
        self.fleet.table.set_faults(delay_s=1.0)
        first = pool.submit(self.book, self.entry)
        wait_for(lambda: 'event=effect_requested' in self.home.log_text())
        # The home logs the event before it sends the claim.
        wait_for(self.is_claim_held)
        return first

    def is_claim_held(self):
        """Return whether the table is delaying the claim of an effect."""
        held = self.fleet.table.get('/faults')['held']
        return any(CLAIM_KEY in body for body in held)

    def test_call_runs_at_most_once_if_its_home_dies_while_claiming(self):
        with ThreadPoolExecutor(1) as pool:
            first = self.request_in_flight(pool)
            self.home.process.kill()
            self.fleet.table.set_faults(delay_s=0.0)
            answers = [first.result()]
        wait_for(lambda: self.fleet.count_rows('effect/'))
        answers += [self.book(self.entry) for _ in range(2)]
        self.check_consistency(answers)

    def test_resumed_home_does_not_dispatch(self):
        with ThreadPoolExecutor(1) as pool:
            first = self.request_in_flight(pool)
            self.home.signal(signal.SIGSTOP)
            self.fleet.table.set_faults(delay_s=0.0)
            wait_for(lambda: self.fleet.count_rows('effect/'))
            time.sleep(2 * LEASE_S)
            self.home.signal(signal.SIGCONT)
            answers = [first.result()]
        runs = self.count_runs()
        refused = [
            line
            for line in self.entry.log_text().splitlines()
            if 'event=forward_again' in line
        ]
        self.assertEqual(runs, int(answers[0].status == 200))
        self.assertLessEqual(runs, len(refused))
        answers.append(self.book(self.entry))
        self.assertLessEqual(self.count_runs(), 1)


def admitted(answer):
    """Return an answer, or None if its rate refused the request."""
    refused = answer.status == 429 or 'rate_unknown' in answer.text
    return None if refused else answer


def succeeded(answer):
    """Return an answer, or None unless its call succeeded."""
    return answer if answer.status == 200 else None
