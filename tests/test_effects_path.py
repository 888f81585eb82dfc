"""Tests on real daemons that effects run at most once."""

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
# What the keys of claims begin with, as the table's interface has them.
CLAIM_KEY = b64encode(b'effect').decode()


def home_of(fleet, program):
    """Return the daemon that is a program's home."""
    names = fleet.daemons_by_name
    return names[choose_owner(f'program:{program.program_id}', names)]


def entry_for(fleet, program):
    """Return a daemon that is not a program's home."""
    home = home_of(fleet, program)
    daemons = fleet.daemons_by_name.values()
    return next(daemon for daemon in daemons if daemon is not home)


def execution(answer):
    """Return what an answer says of its run."""
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
        self.program = Program(self.fleet.any_daemon())
        self.home = home_of(self.fleet, self.program)
        self.entry = entry_for(self.fleet, self.program)
        other = Program(self.entry)
        wait_for(lambda: ran(other.service(self.entry, QUOTE, number=1)))

    def runs(self):
        """Return how often the service has run the booking."""
        runs = self.service.get('/runs')
        return sum(run['action'] == BOOKING for run in runs)

    def book(self, daemon, wait_s=0.0):
        """Send the call until its organisation's rate lets it in."""
        return wait_for(lambda: admitted(self.send(daemon, wait_s)))

    def send(self, daemon, wait_s):
        return self.program.service(daemon, body={'wait_s': wait_s}, number=1)

    def check(self, answers):
        """Check that answers and count agree, and return the count."""
        runs = self.runs()
        said = {execution(answer) for answer in answers}
        detail = [answer.text for answer in answers]
        self.assertLessEqual(runs, 1)
        if runs:
            self.assertNotIn('not run', said, detail)
        else:
            self.assertNotIn('ran', said, detail)
        return runs

    def test_same_call_to_every_daemon_at_once_runs_once(self):
        daemons = list(self.fleet.daemons_by_name.values()) * 3
        with ThreadPoolExecutor(9) as pool:
            answers = list(pool.map(lambda d: self.book(d, 0.2), daemons))
        self.assertEqual(1, self.check(answers))

    def test_connection_closed_by_the_service_is_not_sent_again(self):
        self.service.faults(lose_answers=1)
        first = self.book(self.entry)
        self.assertEqual('unknown', execution(first))
        again = self.book(self.home)
        self.assertEqual('unknown', execution(again))
        self.assertEqual(1, self.runs())

    def test_lost_answers_of_the_table_are_settled(self):
        self.fleet.table.faults(lose_answers=3)
        answers = [self.book(self.entry) for _ in range(3)]
        self.assertEqual(1, self.check(answers))

    def test_outage_of_the_table_refuses_and_the_refusal_is_true(self):
        self.fleet.table.faults(down=True)
        refused = self.book(self.entry)
        self.assertEqual(('not run', 0), (execution(refused), self.runs()))
        self.fleet.table.faults(down=False)
        again = wait_for(lambda: ran(self.book(self.entry)))
        self.assertEqual(1, self.runs())
        self.assertEqual(200, again.status)

    def test_killed_after_the_dispatch_is_unknown_and_never_repeated(self):
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(self.book, self.entry, 30.0)
            wait_for(lambda: self.runs() == 1)
            self.home.process.kill()
            answers = [first.result()]
        answers += [self.book(self.entry, 30.0) for _ in range(3)]
        self.check(answers)

    def test_operator_lists_and_settles_an_unknown_effect(self):
        self.service.faults(lose_answers=1)
        self.assertEqual('unknown', execution(self.book(self.entry)))
        (listed,) = wait_for(lambda: self.unresolved())
        self.assertEqual(BOOKING, listed['route'])
        path = f'/admin/v1/effects/{listed["effect_id"]}/settle'
        body = {'outcome': 'ran', 'operator': 'ops'}
        settled = self.entry.operate('POST', path, body)
        self.assertEqual(200, settled.status, settled.text)
        self.assertEqual([], self.unresolved())
        again = self.entry.operate('POST', path, body)
        self.assertEqual(409, again.status)
        self.assertEqual('ran', execution(self.book(self.entry)))
        self.assertEqual(1, self.runs())

    def unresolved(self):
        return self.entry.operate('GET', '/admin/v1/effects').json()

    def request_in_flight(self, pool):
        """Send a call and return it while its claim is under way."""
        self.fleet.table.faults(delay_s=1.0)
        first = pool.submit(self.book, self.entry)
        wait_for(lambda: 'event=effect_requested' in self.home.log_text())
        # The line is written before the claim leaves the home.
        wait_for(self.claim_is_held)
        return first

    def claim_is_held(self):
        """Return whether the table holds up the claim of an effect."""
        held = self.fleet.table.get('/faults')['held']
        return any(CLAIM_KEY in body for body in held)

    def test_killed_with_its_claim_in_flight_runs_at_most_once(self):
        with ThreadPoolExecutor(1) as pool:
            first = self.request_in_flight(pool)
            self.home.process.kill()
            self.fleet.table.faults(delay_s=0.0)
            answers = [first.result()]
        wait_for(lambda: self.fleet.count_rows('effect/'))
        answers += [self.book(self.entry) for _ in range(2)]
        self.check(answers)

    def test_paused_home_dispatches_nothing_when_it_wakes(self):
        with ThreadPoolExecutor(1) as pool:
            first = self.request_in_flight(pool)
            self.home.signal(signal.SIGSTOP)
            self.fleet.table.faults(delay_s=0.0)
            wait_for(lambda: self.fleet.count_rows('effect/'))
            time.sleep(2 * LEASE_S)
            self.home.signal(signal.SIGCONT)
            answers = [first.result()]
        runs = self.runs()
        refused = [
            line
            for line in self.entry.log_text().splitlines()
            if 'event=forward_again' in line
        ]
        self.assertEqual(runs, int(answers[0].status == 200))
        self.assertLessEqual(runs, len(refused))
        answers.append(self.book(self.entry))
        self.assertLessEqual(self.runs(), 1)


def admitted(answer):
    """Return an answer unless the rate refused its request."""
    refused = answer.status == 429 or 'rate_unknown' in answer.text
    return None if refused else answer


def ran(answer):
    """Return an answer if its call ran."""
    return answer if answer.status == 200 else None
