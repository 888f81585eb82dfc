"""Test the path of calls through real daemons."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from http.client import HTTPConnection
import json
import signal
import time
import unittest

from tests.fleet import BOOKING
from tests.fleet import configuration
from tests.fleet import DaemonProcess
from tests.fleet import Fleet
from tests.fleet import http
from tests.fleet import Program
from tests.fleet import QUOTE
from tests.fleet import wait_for

# An instance without anything to do has ended by then.
STOP_WAIT_S = 1.0


class PathTest(unittest.TestCase):
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(daemons_per_domain=3)
        cls.addClassCleanup(cls.fleet.close)

    def test_turns_through_all_instances_share_one_history(self) -> None:
        daemons = list(self.fleet.daemons_by_name.values())
        program = Program(daemons[0])
        for daemon in [*daemons, *daemons]:
            answer = program.chat(daemon)
            self.assertEqual(200, answer.status, answer.text)
        seen = self.fleet.engines[0].get('/seen')['requests']
        last = [r for r in seen if r['program'] == program.program_id][-1]
        self.assertEqual(6, last['body'].count('Which mesh?'))
        self.assertEqual(5, last['body'].count('assistant'))

    def test_streamed_answer_ends_with_its_marker(self) -> None:
        daemon = self.fleet.first_daemon()
        answer = Program(daemon).chat(daemon, stream=True)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.text.endswith('data: [DONE]\n\n'))
        self.assertEqual(8 + 3, answer.text.count('data: '))

    def test_service_runs_once_for_its_program(self) -> None:
        daemon = self.fleet.first_daemon()
        before = len(self.fleet.services[0].get('/runs'))
        answer = Program(daemon).service(daemon, body={'pickup': 7})
        self.assertEqual(200, answer.status, answer.text)
        runs = self.fleet.services[0].get('/runs')
        self.assertEqual(before + 1, len(runs))

    def test_service_error_is_never_returned_as_a_result(self) -> None:
        daemon = self.fleet.first_daemon()
        for status, execution in ((418, 'ran'), (500, 'unknown')):
            answer = Program(daemon).service(daemon, QUOTE, {'status': status})
            self.assertEqual(502, answer.status)
            error = answer.json()['error']
            self.assertEqual(execution, error['execution'])

    def test_bad_requests_get_a_typed_error(self) -> None:
        daemon = self.fleet.first_daemon()
        program = Program(daemon)
        url = f'{daemon.caller_url}/v1/chat/completions'
        for body in (b'', b'[]', b'{', b'\xff', b'{"model": 1}'):
            answer = http('POST', url, body, program.headers)
            self.assertEqual(400, answer.status, body)
            self.assertEqual('not run', answer.json()['error']['execution'])
        answer = program.chat(daemon, number=99)
        self.assertIn(answer.status, (400, 409))
        self.assertEqual('not run', answer.json()['error']['execution'])
        self.assertEqual(200, program.chat(daemon).status)

    def test_missing_and_wrong_keys_are_refused(self) -> None:
        daemon = self.fleet.first_daemon()
        url = f'{daemon.caller_url}/v1/programs'
        for header in ('', 'Bearer x', 'Bearer jf_keysieves_wrong'):
            headers = {'Authorization': header}
            answer = http('POST', url, {'template': 'x'}, headers)
            self.assertEqual(401, answer.status)

    def test_other_organisations_program_is_unknown(self) -> None:
        daemon = self.fleet.first_daemon()
        program = Program(daemon)
        program.headers = Program(daemon, 'shakers').headers
        self.assertEqual(404, program.chat(daemon).status)


class BadInputTest(unittest.TestCase):
    def test_bad_requests_do_not_count_against_the_rate(self) -> None:
        base = configuration()
        organisations = {
            name: replace(organisation, rate_per_s=0.01, burst=2)
            for name, organisation in base.organisations_by_id.items()
        }
        fleet = Fleet(
            daemons_per_domain=1,
            configuration_value=replace(
                base, organisations_by_id=organisations
            ),
        )
        self.addCleanup(fleet.close)
        daemon = fleet.first_daemon()
        program = Program(daemon)
        url = f'{daemon.caller_url}/v1/services/{BOOKING}'
        valid_headers = {
            **program.headers,
            'X-Jackdawfield-Program': program.program_id,
            'X-Jackdawfield-Call': '1',
        }
        for number in ('', '0', 'x'):
            headers = {**valid_headers, 'X-Jackdawfield-Call': number}
            self.assertEqual(400, http('POST', url, {}, headers).status)
            self.assertEqual(
                400, http('POST', url, b'{', valid_headers).status
            )
        self.assertEqual(200, program.service(daemon).status)


class StopTest(unittest.TestCase):
    def connect(self, daemon: DaemonProcess) -> HTTPConnection:
        """Return a connection to the callers' interface, kept open."""
        address = daemon.caller_url.removeprefix('http://')
        connection = HTTPConnection(address, timeout=20.0)
        self.addCleanup(connection.close)
        return connection

    def stop(self, daemon: DaemonProcess) -> None:
        """Begin a planned stop."""
        daemon.signal(signal.SIGTERM)
        wait_for(lambda: 'event=draining' in daemon.log_text())

    # Guards against requests that are cut, as they count from their last
    # byte on.
    def test_sigterm_answers_a_request_whose_body_is_arriving(self) -> None:
        fleet = Fleet(daemons_per_domain=1)
        self.addCleanup(fleet.close)
        daemon = fleet.first_daemon()
        program = Program(daemon)
        body = json.dumps({'pickup': 7}).encode()
        connection = self.connect(daemon)
        connection.putrequest('POST', f'/v1/services/{BOOKING}')
        headers = {
            **program.headers,
            'X-Jackdawfield-Program': program.program_id,
            'X-Jackdawfield-Call': '1',
            'Content-Length': str(len(body)),
        }
        for name, value in headers.items():
            connection.putheader(name, value)
        connection.endheaders(body[:4])
        # The head is read before the signal is.
        time.sleep(0.2)
        self.stop(daemon)
        time.sleep(STOP_WAIT_S)
        connection.send(body[4:])
        answer = connection.getresponse()
        self.assertEqual(200, answer.status, answer.read())
        process = daemon.process
        assert process is not None
        self.assertEqual(0, process.wait())

    # Guards against requests on kept connections, which are cut when the
    # process ends.
    def test_answers_during_a_stop_end_their_connections(self) -> None:
        fleet = Fleet(daemons_per_domain=1, engine_state={'step_s': 0.02})
        self.addCleanup(fleet.close)
        daemon = fleet.first_daemon()
        program = Program(daemon)
        kept = self.connect(daemon)
        kept.request('POST', '/v1/services/none')
        kept.getresponse().read()
        with ThreadPoolExecutor(1) as pool:
            streamed = pool.submit(
                program.chat, daemon, stream=True, max_tokens=60
            )
            engine = fleet.engines[0]
            wait_for(lambda: engine.get('/seen')['requests'])
            self.stop(daemon)
            kept.request('POST', '/v1/services/none')
            answer = kept.getresponse()
            self.assertEqual(404, answer.status)
            self.assertEqual('close', answer.headers['Connection'])
            text = streamed.result().text
        self.assertTrue(text.endswith('data: [DONE]\n\n'), text[-200:])

    def test_sigterm_breaks_no_stream_in_progress(self) -> None:
        fleet = Fleet(daemons_per_domain=2, engine_state={'step_s': 0.02})
        self.addCleanup(fleet.close)
        daemons = list(fleet.daemons_by_name.values())
        programs = [Program(daemons[0]) for _ in range(8)]
        with ThreadPoolExecutor(16) as pool:
            answers = [
                pool.submit(p.chat, daemons[1], stream=True, max_tokens=60)
                for p in programs
            ]
            engine = fleet.engines[0]
            wait_for(lambda: len(engine.get('/seen')['requests']) >= 8)
            daemons[0].signal(signal.SIGTERM)
            process = daemons[0].process
            assert process is not None
            self.assertEqual(0, process.wait())
        for answer in answers:
            text = answer.result().text
            self.assertTrue(text.endswith('data: [DONE]\n\n'), text[-200:])
