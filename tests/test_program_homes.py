"""Test takeovers, sealed tails and call order on real daemons."""

from concurrent.futures import ThreadPoolExecutor
import signal
import time
from typing import Any
import unittest

from tests.fleet import DaemonProcess
from tests.fleet import Fleet
from tests.fleet import HttpResponse
from tests.fleet import Program
from tests.fleet import wait_for
from tests.test_rates_path import read_ledger_parts

TAIL = 'X-Jackdawfield-Tail'
POSITION = 'X-Jackdawfield-Position'
RATE_LIMIT_S = 30.0
LONG_LEASE = {'lease': {'lease_s': 120.0}}


class RetryingProgram(Program):
    """Represents a program that retries calls refused with status 429."""

    def call(
        self,
        daemon: DaemonProcess,
        path: str,
        body: Any,
        number: int | None = None,
        **headers: str,
    ) -> HttpResponse:
        if number is None:
            number = self.next_call
            self.next_call += 1
        end_s = time.monotonic() + RATE_LIMIT_S
        while True:
            answer = super().call(daemon, path, body, number, **headers)
            if answer.status != 429 or time.monotonic() > end_s:
                return answer
            time.sleep(0.05)


class HomesTestCase(unittest.TestCase):
    def start_fleet(self, **arguments: object) -> Fleet:
        fleet = Fleet(**arguments)
        self.addCleanup(fleet.close)
        return fleet

    def find_home(self, fleet: Fleet, program: Program) -> DaemonProcess:
        log_line = f'event=home_held program={program.program_id} '
        homes = [
            daemon
            for daemon in fleet.daemons_by_name.values()
            if log_line in daemon.log_text()
        ]
        self.assertEqual(1, len(homes))
        return homes[0]

    def other_daemon(
        self, fleet: Fleet, daemon: DaemonProcess
    ) -> DaemonProcess:
        daemons = fleet.daemons_by_name.values()
        return next(d for d in daemons if d is not daemon)

    def program_with_expendable_home(
        self, fleet: Fleet
    ) -> tuple[RetryingProgram, DaemonProcess, DaemonProcess]:
        """Return a program, its home and the other daemon.

        The other daemon holds tokens of the organisation's rate, so that it
        can admit calls after the home is lost.
        """
        self.assert_succeeded(
            RetryingProgram(fleet.first_daemon()).chat(fleet.first_daemon())
        )
        tokens_by_holder = read_ledger_parts(fleet, 'sieves')
        token_holders = {
            name.partition('/')[0] for name, n in tokens_by_holder.items() if n
        }
        while True:
            program = RetryingProgram(fleet.first_daemon())
            home = self.find_home(fleet, program)
            remaining = self.other_daemon(fleet, home)
            if remaining.name in token_holders:
                return program, home, remaining

    def list_as_leaving(self, fleet: Fleet, leaving: DaemonProcess) -> None:
        """List a daemon as leaving and wait until the others exclude it."""
        fleet.register_daemon(leaving, state='leaving')
        for daemon in fleet.daemons_by_name.values():
            if daemon is not leaving:
                wait_for(lambda d=daemon: not self.may_own(d, leaving))

    def may_own(self, daemon: DaemonProcess, other: DaemonProcess) -> bool:
        members = daemon.operator_request('GET', '/admin/v1/instances').json()
        return any(
            member['instance_id'] == other.name and not member['leaving']
            for member in members
        )

    def read_prompts(self, fleet: Fleet, program: Program) -> list[str]:
        return [
            request['body']
            for engine in fleet.engines
            for request in engine.get('/seen')['requests']
            if request['program'] == program.program_id
        ]

    def assert_succeeded(self, answer: HttpResponse) -> None:
        self.assertEqual(200, answer.status, answer.text)

    def assert_refused(
        self, answer: HttpResponse, status: int, code: str
    ) -> None:
        self.assertEqual(status, answer.status, answer.text)
        error = answer.json()['error']
        self.assertEqual(
            (code, 'not run'), (error['code'], error['execution'])
        )


class TakeoverTest(HomesTestCase):
    def test_history_survives_the_loss_of_the_home(self) -> None:
        fleet = self.start_fleet(daemons_per_domain=2)
        program, home, remaining = self.program_with_expendable_home(fleet)
        first = program.chat(remaining, 'first?')
        self.assert_succeeded(first)
        home.process.kill()
        self.list_as_leaving(fleet, home)
        repeated = program.chat(remaining, 'first?', number=1)
        self.assertEqual(
            first.json()['choices'], repeated.json()['choices'], repeated.text
        )
        headers = {POSITION: first.headers[POSITION]}
        self.assert_succeeded(program.chat(remaining, 'second?', **headers))
        prompts = self.read_prompts(fleet, program)
        self.assertEqual(2, len(prompts))
        self.assertIn('first?', prompts[1])
        self.assertIn('assistant', prompts[1])
        self.assert_refused(
            program.chat(remaining, 'third?', **headers),
            409,
            'position_mismatch',
        )

    def test_resumed_home_cannot_append_after_a_takeover(self) -> None:
        state = {'step_s': 0.05}
        fleet = self.start_fleet(daemons_per_domain=2, engine_state=state)
        program, home, remaining = self.program_with_expendable_home(fleet)
        self.assert_succeeded(program.chat(remaining, max_tokens=1))
        log_line = f'event=home_held program={program.program_id} '
        with ThreadPoolExecutor(2) as pool:
            paused_call = pool.submit(
                program.chat, remaining, 'slow?', number=2, max_tokens=40
            )
            wait_for(lambda: len(self.read_prompts(fleet, program)) == 2)
            home.signal(signal.SIGSTOP)
            self.list_as_leaving(fleet, home)
            repeated_call = pool.submit(
                program.chat, remaining, 'slow?', number=2, max_tokens=40
            )
            wait_for(lambda: log_line in remaining.log_text())
            home.signal(signal.SIGCONT)
            late_answer, takeover_answer = (
                paused_call.result(),
                repeated_call.result(),
            )
        self.assert_succeeded(takeover_answer)
        wait_for(lambda: 'event=home_lost' in home.log_text())
        self.assertEqual(503, late_answer.status, late_answer.text)
        error = late_answer.json()['error']
        self.assertEqual('turn_not_kept', error['code'])
        self.assertEqual('ran', error['execution'])
        headers = {POSITION: takeover_answer.headers[POSITION]}
        self.assert_succeeded(
            program.chat(remaining, 'next?', number=3, **headers)
        )
        self.assertEqual(
            1, self.read_prompts(fleet, program)[-1].count('slow?')
        )


class OutageTest(HomesTestCase):
    def test_sealed_tails_preserve_the_history_in_an_outage(self) -> None:
        fleet = self.start_fleet(daemons_per_domain=2, settings=LONG_LEASE)
        program, home, remaining = self.program_with_expendable_home(fleet)
        other = RetryingProgram(remaining)
        first = program.chat(remaining, 'first?')
        self.assertNotIn(TAIL, first.headers)
        fleet.table.set_faults(down=True)
        second = program.chat(
            remaining, 'second?', **{POSITION: first.headers[POSITION]}
        )
        self.assert_succeeded(second)
        tail = second.headers[TAIL]
        headers = {POSITION: second.headers[POSITION], TAIL: tail}
        home.process.kill()
        self.list_as_leaving(fleet, home)
        self.check_refusals(program, other, remaining, headers)
        third = program.chat(remaining, 'third?', number=3, **headers)
        self.assert_succeeded(third)
        self.assertIn(TAIL, third.headers)
        prompt = self.read_prompts(fleet, program)[-1]
        for text in ('first?', 'second?', 'third?'):
            self.assertEqual(1, prompt.count(text))
        fleet.table.set_faults(down=False)
        headers = {
            POSITION: third.headers[POSITION],
            TAIL: f'{tail},{third.headers[TAIL]}',
        }
        fourth = program.chat(remaining, 'fourth?', number=4, **headers)
        self.assert_succeeded(fourth)
        wait_for(lambda: self.count_turn_rows(fleet, program) == 4)

    def check_refusals(
        self,
        program: Program,
        other: Program,
        daemon: DaemonProcess,
        headers: dict[str, str],
    ) -> None:
        tail = headers[TAIL]
        middle = len(tail) // 2
        letter = 'A' if tail[middle] != 'A' else 'B'
        changed = tail[:middle] + letter + tail[middle + 1 :]
        self.assert_refused(
            program.chat(daemon, 'x', number=3, **{**headers, TAIL: changed}),
            400,
            'tail_invalid',
        )
        self.assert_refused(
            other.chat(daemon, 'x', number=3, **headers), 400, 'tail_invalid'
        )
        self.assert_refused(
            program.chat(daemon, 'x', number=3), 503, 'history_unavailable'
        )

    def count_turn_rows(self, fleet: Fleet, program: Program) -> int:
        return fleet.count_rows(f'program/{program.program_id}/turn/')


class EndTest(HomesTestCase):
    def test_lost_table_answers_and_the_end_of_a_program(self) -> None:
        fleet = self.start_fleet(daemons_per_domain=2, settings=LONG_LEASE)
        daemons = list(fleet.daemons_by_name.values())
        program = RetryingProgram(daemons[0])
        self.assert_succeeded(program.chat(daemons[0], 'first?'))
        fleet.table.set_faults(lose_answers=2)
        second = program.chat(daemons[1], 'second?')
        self.assert_succeeded(second)
        self.assertNotIn(TAIL, second.headers)
        rows = f'program/{program.program_id}/turn/'
        self.assertEqual(2, fleet.count_rows(rows))
        self.assertEqual(200, program.end(daemons[1]).status)
        self.assertEqual(200, program.end(daemons[0]).status)
        for daemon in daemons:
            refused = program.chat(daemon, 'third?', number=3)
            self.assert_refused(refused, 410, 'program_ended')
            repeated = program.chat(daemon, 'second?', number=2)
            self.assertEqual(
                second.json()['choices'], repeated.json()['choices']
            )
        self.assertEqual(2, len(self.read_prompts(fleet, program)))


class OrderTest(HomesTestCase):
    def test_concurrent_calls_out_of_order_get_their_own_answers(self) -> None:
        fleet = self.start_fleet(daemons_per_domain=2)
        daemons = list(fleet.daemons_by_name.values())
        program = RetryingProgram(daemons[0])
        numbers = (3, 1, 4, 2)
        with ThreadPoolExecutor(8) as pool:
            calls = [
                (n, pool.submit(program.chat, daemon, f'ask{n}?', n))
                for n in numbers
                for daemon in daemons
            ]
            texts: dict[int, set[str]] = {n: set() for n in numbers}
            for number, call in calls:
                self.assert_succeeded(call.result())
                choices = call.result().json()['choices']
                texts[number].add(choices[0]['message']['content'])
        self.assertEqual([1, 1, 1, 1], [len(texts[n]) for n in numbers])
        prompts = self.read_prompts(fleet, program)
        self.assertEqual(4, len(prompts))
        for number, prompt in enumerate(prompts, 1):
            asked = [f'ask{n}?' in prompt for n in range(1, 5)]
            self.assertEqual([n <= number for n in range(1, 5)], asked)

    def test_broken_stream_resumes_at_the_right_token(self) -> None:
        state = {'break_after_tokens': 5}
        fleet = self.start_fleet(daemons_per_domain=1, engine_state=state)
        daemon = fleet.first_daemon()
        answers = []
        for _ in range(2):
            answer = RetryingProgram(daemon).chat(
                daemon, 'same?', max_tokens=12
            )
            self.assert_succeeded(answer)
            answers.append(answer.json()['choices'])
        self.assertEqual(answers[1], answers[0])
        self.assertIn('event=stream_resumed', daemon.log_text())


if __name__ == '__main__':
    unittest.main()
