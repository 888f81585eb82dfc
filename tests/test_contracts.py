"""Test changes, withdrawals of keys and leases on real daemons."""

from concurrent.futures import ThreadPoolExecutor
import json
import signal
import time
import unittest
from urllib.parse import quote

from jackdawfield.decisions.placement import choose_owner
from tests.fleet import DaemonProcess
from tests.fleet import Fleet
from tests.fleet import http
from tests.fleet import HttpResponse
from tests.fleet import key
from tests.fleet import OPEN
from tests.fleet import Program
from tests.fleet import QUOTE
from tests.fleet import secret
from tests.fleet import wait_for

LEASE_S = 3.0
SETTINGS = {'lease': {'lease_s': LEASE_S, 'outage_limit_s': 120.0}}
MAX_WITHDRAWAL_S = 10.0


def submit_change(
    daemon, name, body, change_id, seen_version=None
) -> HttpResponse:
    if seen_version is None:
        seen_version = daemon.status()['version']
    request = {
        'change_id': change_id,
        'seen_version': seen_version,
        'operator': 'op',
        'name': name,
        'body': body,
    }
    return daemon.operator_request('POST', '/admin/v1/changes', request)


def template_body(name, **fields):
    limits = {'budget_tokens': 9, 'turn_limit': 9, 'deadline_s': 9.0}
    return {'template': {'name': name, **limits, **fields}}


def withdraw_key(daemon, organisation, change_id='withdrawal') -> HttpResponse:
    body = {'key_id': f'key{organisation}'}
    return submit_change(daemon, 'WithdrawKey', body, change_id)


def begin_program(
    daemon, organisation='sieves', timeout_s=60.0
) -> HttpResponse:
    headers = {'Authorization': f'Bearer {key(organisation)}'}
    body = {'template': 'mesh-advisor', 'parent': ''}
    url = f'{daemon.caller_url}/v1/programs'
    return http('POST', url, body, headers, timeout_s)


def call_open_route(daemon) -> HttpResponse:
    return http('POST', f'{daemon.caller_url}/v1/services/{OPEN}', {})


class ContractsTest(unittest.TestCase):
    daemon_count = 3

    def setUp(self) -> None:
        self.fleet = Fleet(
            daemons_per_domain=self.daemon_count,
            settings=SETTINGS,
            engine_state={'step_s': 0.05},
        )
        self.addCleanup(self.fleet.close)
        self.daemons = list(self.fleet.daemons_by_name.values())
        for daemon in self.daemons:
            wait_for(lambda d=daemon: self.has_joined_fleet(d))

    def has_joined_fleet(self, daemon: DaemonProcess) -> bool:
        status = daemon.status()
        return status['lease_valid'] and status['members'] == self.daemon_count

    def is_refused(self, daemon: DaemonProcess, code: str) -> bool:
        """Return whether a request fails with a code; it must not run."""
        answer = begin_program(daemon, timeout_s=1.0)
        if answer.status == 200:
            return False
        error = answer.json()['error']
        self.assertEqual('not run', error['execution'])
        return error['code'] == code

    def wait_until_withdrawn(self, since_s: float) -> None:
        for daemon in self.daemons:
            wait_for(lambda d=daemon: self.is_refused(d, 'bad_key'))
        self.assertLess(time.monotonic() - since_s, MAX_WITHDRAWAL_S)


class ChangeTest(ContractsTest):
    def test_change_is_accepted_and_in_force_everywhere(self) -> None:
        answer = submit_change(
            self.daemons[0], 'PutTemplate', template_body('t'), 'c-1'
        )
        self.assertEqual(200, answer.status, answer.text)
        self.assertEqual('accepted', answer.json()['state'])
        self.assertEqual([], answer.json()['waiting'])
        versions = {daemon.status()['version'] for daemon in self.daemons}
        self.assertEqual({2}, versions)
        repeated = submit_change(
            self.daemons[1], 'PutTemplate', template_body('t'), 'c-1', 1
        )
        self.assertEqual(2, repeated.json()['version'])
        history = (
            self.daemons[2].operator_request('GET', '/admin/v1/history').json()
        )
        self.assertEqual(['c-1'], [r['change_id'] for r in history])

    def test_one_of_two_concurrent_changes_is_committed(self) -> None:
        with ThreadPoolExecutor(2) as pool:
            answers = list(
                pool.map(
                    lambda i: submit_change(
                        self.daemons[i],
                        'PutTemplate',
                        template_body(f't{i}'),
                        f'race-{i}',
                        1,
                    ),
                    (0, 1),
                )
            )
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual([200, 409], statuses)
        wait_for(lambda: {d.status()['version'] for d in self.daemons} == {2})

    def test_lost_answers_commit_each_change_once(self) -> None:
        daemon = self.daemons[0]
        for number in range(6):
            request = (
                daemon,
                'PutTemplate',
                template_body(f't{number}'),
                f'c-{number}',
                daemon.status()['version'],
            )
            self.fleet.table.set_faults(lose_answers=number % 4 + 1)
            wait_for(
                lambda request=request: submit_change(*request).status == 200
            )
        self.fleet.table.set_faults(lose_answers=0)
        history = daemon.operator_request('GET', '/admin/v1/history').json()
        expected = [f'c-{number}' for number in range(6)]
        self.assertEqual(expected, [r['change_id'] for r in history])

    def test_nothing_is_committed_while_the_table_is_down(self) -> None:
        self.fleet.table.set_faults(down=True)
        answer = submit_change(
            self.daemons[0], 'PutTemplate', template_body('t'), 'c', 1
        )
        self.assertEqual(503, answer.status, answer.text)
        self.fleet.table.set_faults(down=False)
        self.assertEqual(1, self.daemons[0].status()['version'])


class WithdrawalTest(ContractsTest):
    def test_withdrawal_ends_streams_and_refuses_new_work(self) -> None:
        programs = [Program(daemon) for daemon in self.daemons]
        with ThreadPoolExecutor(8) as pool:
            streams = [
                pool.submit(program.chat, daemon, stream=True, max_tokens=400)
                for program, daemon in zip(programs, self.daemons, strict=True)
            ]
            engine = self.fleet.engines[0]
            wait_for(lambda: len(engine.get('/seen')['requests']) >= 3)
            started_s = time.monotonic()
            answer = withdraw_key(self.daemons[0], 'sieves')
            self.assertEqual('accepted', answer.json()['state'])
            self.wait_until_withdrawn(started_s)
            texts = [stream.result().text for stream in streams]
        self.assertLess(time.monotonic() - started_s, MAX_WITHDRAWAL_S)
        for text in texts:
            self.assertIn('key_withdrawn', text)
            self.assertNotIn('[DONE]', text)
        self.assertEqual(200, call_open_route(self.daemons[1]).status)

    def test_withdrawal_is_accepted_with_a_slow_table(self) -> None:
        self.fleet.table.set_faults(delay_s=0.6)
        started_s = time.monotonic()
        answer = withdraw_key(self.daemons[0], 'sieves')
        self.assertEqual('accepted', answer.json()['state'], answer.text)
        self.wait_until_withdrawn(started_s)

    def test_paused_instance_refuses_until_it_has_renewed(self) -> None:
        for daemon in self.daemons:
            wait_for(lambda d=daemon: d.status()['established'])
        paused = self.daemons[2]
        paused.signal(signal.SIGSTOP)
        self.addCleanup(paused.signal, signal.SIGCONT)
        started_s = time.monotonic()
        answer = withdraw_key(self.daemons[0], 'sieves')
        self.assertEqual('accepted', answer.json()['state'])
        self.assertGreaterEqual(time.monotonic() - started_s, LEASE_S)
        self.assertEqual([paused.name], answer.json()['waiting'])
        with ThreadPoolExecutor(1) as pool:
            resumed_call = pool.submit(begin_program, paused)
            # The request reaches the paused instance before it resumes.
            time.sleep(0.2)
            self.fleet.table.set_faults(cut=[f'jackdawfield/{paused.name}'])
            paused.signal(signal.SIGCONT)
            first = resumed_call.result()
        self.assertIn(first.status, (401, 503))
        self.assertEqual('not run', first.json()['error']['execution'])
        self.fleet.table.set_faults(cut=[])
        wait_for(lambda: self.is_refused(paused, 'bad_key'))
        wait_for(lambda: begin_program(paused, 'shakers').status == 200)


class OutageTest(ContractsTest):
    def has_lost_lease(self, daemon: DaemonProcess) -> bool:
        return self.is_refused(daemon, 'no_lease')

    def test_connected_instances_keep_leases_without_the_table(self) -> None:
        self.fleet.table.set_faults(down=True)
        time.sleep(2 * LEASE_S)
        for daemon in self.daemons:
            wait_for(lambda d=daemon: begin_program(d).status == 200, LEASE_S)
        killed = self.daemons[2].process
        assert killed is not None
        killed.kill()
        time.sleep(2 * LEASE_S)
        for daemon in self.daemons[:2]:
            self.assertTrue(daemon.status()['lease_valid'])

    def test_without_full_contact_only_open_routes_are_served(self) -> None:
        # The steward of the open route's pool must not be the paused one.
        steward = choose_owner('pool:leon:orders', self.fleet.daemons_by_name)
        paused, *others = sorted(
            self.daemons, key=lambda daemon: daemon.name == steward
        )
        self.fleet.table.set_faults(down=True)
        paused.signal(signal.SIGSTOP)
        self.addCleanup(paused.signal, signal.SIGCONT)
        for daemon in others:
            wait_for(lambda d=daemon: self.has_lost_lease(d))
            for _ in range(6):
                self.assertEqual(200, call_open_route(daemon).status)
        self.fleet.table.set_faults(down=False)
        for daemon in others:
            wait_for(
                lambda d=daemon: begin_program(d, timeout_s=1.0).status == 200
            )


class SecrecyTest(ContractsTest):
    daemon_count = 2

    def test_no_secret_reaches_servers_logs_or_errors(self) -> None:
        program = Program(self.daemons[0])
        exposed_key = key('sieves')
        texts = [
            exposed_key,
            secret('sieves'),
            key('shakers'),
            quote(exposed_key),
        ]
        answers = []
        for daemon in self.daemons:
            for exposed in texts:
                answers.append(program.chat(daemon, exposed, number=1))
                answers.append(
                    program.service(daemon, QUOTE, {'a': exposed}, number=1)
                )
                url = f'{daemon.caller_url}/v1/services/{QUOTE}?k={exposed}'
                answers.append(http('POST', url, {}, program.headers))
                url = f'{daemon.caller_url}/v1/{exposed}'
                answers.append(http('POST', url, {}, program.headers))
                body = {'template': exposed}
                url = f'{daemon.caller_url}/v1/programs'
                answers.append(http('POST', url, body, program.headers))
        for answer in answers:
            self.assertIn(answer.status, (400, 404), answer.text)
            self.assertNotIn(secret('sieves'), answer.text)
        headers = {
            'X-Copy': exposed_key,
            'Cookie': f'k={exposed_key}',
            'Referer': exposed_key,
        }
        for daemon in self.daemons:
            answer = program.chat(daemon, 'plain', **headers)
            self.assertEqual(200, answer.status, answer.text)
        servers = [*self.fleet.engines, *self.fleet.services]
        pages_by_number = {0: '/seen', 1: '/runs'}
        seen = ''.join(
            json.dumps(server.get(pages_by_number[number]))
            for number, server in enumerate(servers)
        )
        self.assertIn('plain', seen)
        logs = ''.join(daemon.log_text() for daemon in self.daemons)
        for organisation in ('sieves', 'shakers'):
            self.assertNotIn(secret(organisation), seen)
            self.assertNotIn(secret(organisation), logs)
