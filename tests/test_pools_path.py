"""Test slots, stewards and failures of servers on real daemons."""

from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
import signal
from typing import Any
import unittest

from jackdawfield.decisions.placement import rendezvous_score
from tests.fleet import DaemonProcess
from tests.fleet import Fleet
from tests.fleet import HttpResponse
from tests.fleet import Program
from tests.fleet import StandIn
from tests.fleet import wait_for

LOCATION = {'domain': 'leon', 'region': 'centro'}
SLOW_ENGINE = {'step_s': 0.02}
DRAIN_LIMIT_S = 20.0


class PoolsTest(unittest.TestCase):
    def start_fleet(self, slots: int, **arguments: Any) -> Fleet:
        fleet = Fleet(daemons_per_domain=3, slots=slots, **arguments)
        self.addCleanup(fleet.close)
        return fleet

    def register_engine(
        self, fleet: Fleet, number: int, engine: StandIn, **fields: Any
    ) -> None:
        fleet.register_server(
            f'server-{number}', engine, 'mesh-model', LOCATION, **fields
        )

    def find_owner(self, fleet: Fleet, key: str) -> DaemonProcess:
        name = max(
            fleet.daemons_by_name, key=lambda name: rendezvous_score(key, name)
        )
        return fleet.daemons_by_name[name]

    def start_executor(self, count: int) -> ThreadPoolExecutor:
        executor = ThreadPoolExecutor(count)
        self.addCleanup(executor.shutdown)
        return executor

    def create_programs_with_other_home(
        self, fleet: Fleet, daemon: DaemonProcess, count: int
    ) -> list[Program]:
        """Create programs whose home is another daemon than the given one."""
        entry = next(
            d for d in fleet.daemons_by_name.values() if d is not daemon
        )
        programs: list[Program] = []
        while len(programs) < count:
            program = Program(entry)
            key = f'program:{program.program_id}'
            if self.find_owner(fleet, key) is not daemon:
                programs.append(program)
        return programs

    def count_requests(self, engine: StandIn) -> int:
        return len(engine.get('/seen')['requests'])

    def test_queued_requests_complete_after_steward_is_killed(self) -> None:
        fleet = self.start_fleet(1, engine_state=SLOW_ENGINE)
        steward = self.find_owner(fleet, 'pool:leon:mesh-model')
        programs = self.create_programs_with_other_home(fleet, steward, 5)
        entry = next(
            d for d in fleet.daemons_by_name.values() if d is not steward
        )
        executor = self.start_executor(len(programs))
        calls = [
            executor.submit(program.chat, entry, max_tokens=30)
            for program in programs
        ]
        wait_for(lambda: self.count_requests(fleet.engines[0]) >= 1)
        steward.signal(signal.SIGKILL)
        self.assertLess(self.count_requests(fleet.engines[0]), 5)
        answers = [call.result() for call in calls]
        self.assertEqual([200] * 5, [a.status for a in answers], answers)

    def test_calls_complete_while_their_steward_is_paused(self) -> None:
        fleet = self.start_fleet(4)
        steward = self.find_owner(fleet, 'pool:leon:mesh-model')
        programs = self.create_programs_with_other_home(fleet, steward, 3)
        entry = next(
            d for d in fleet.daemons_by_name.values() if d is not steward
        )
        steward.signal(signal.SIGSTOP)
        for program in programs:
            answer = program.chat(entry)
            self.assertEqual(200, answer.status, answer.text)
        steward.signal(signal.SIGCONT)

    def test_answer_is_complete_although_its_server_is_killed(self) -> None:
        fleet = self.start_fleet(
            4, engines_per_domain=2, engine_state=SLOW_ENGINE
        )
        daemon = fleet.first_daemon()
        call = self.start_executor(1).submit(
            Program(daemon).chat, daemon, max_tokens=60
        )
        busy_engine = wait_for(lambda: self.find_busy_engine(fleet))
        busy_engine.process.signal(signal.SIGKILL)
        answer = call.result()
        self.assertEqual(200, answer.status, answer.text)
        content = answer.json()['choices'][0]['message']['content']
        self.assertEqual(60, len(content.split()))

    def find_busy_engine(self, fleet: Fleet) -> StandIn | None:
        busy_engines = [e for e in fleet.engines if e.get('/load')['running']]
        return busy_engines[0] if busy_engines else None

    def test_broken_stream_ends_with_an_error_and_no_end_marker(self) -> None:
        fleet = self.start_fleet(4, engine_state=SLOW_ENGINE)
        daemon = fleet.first_daemon()
        program = Program(daemon)
        call = self.start_executor(1).submit(
            program.chat, daemon, stream=True, max_tokens=200
        )
        busy_engine = wait_for(lambda: self.find_busy_engine(fleet))
        busy_engine.process.signal(signal.SIGKILL)
        text = call.result().text
        self.assertIn('error', text)
        self.assertNotIn('[DONE]', text)

    def test_draining_server_ends_its_streams_and_gets_no_more(self) -> None:
        fleet = self.start_fleet(
            4, engines_per_domain=2, engine_state=SLOW_ENGINE
        )
        daemon = fleet.first_daemon()
        call: Future[HttpResponse] = self.start_executor(1).submit(
            Program(daemon).chat, daemon, stream=True, max_tokens=300
        )
        busy_engine = wait_for(lambda: self.find_busy_engine(fleet))
        number = fleet.engines.index(busy_engine)
        self.register_engine(fleet, number, busy_engine, state='leaving')
        self.register_engine(
            fleet, 1 - number, fleet.engines[1 - number], slots=1
        )
        wait_for(
            lambda: self.gets_no_requests(fleet, daemon, busy_engine),
            DRAIN_LIMIT_S,
        )
        before = self.count_requests(busy_engine)
        self.assertTrue(self.gets_no_requests(fleet, daemon, busy_engine))
        self.assertEqual(before, self.count_requests(busy_engine))
        self.assertTrue(call.result().text.endswith('data: [DONE]\n\n'))

    def gets_no_requests(
        self, fleet: Fleet, daemon: DaemonProcess, engine: StandIn
    ) -> bool:
        before = self.count_requests(engine)
        programs = [Program(daemon) for _ in range(5)]
        executor = self.start_executor(len(programs))
        answers = executor.map(lambda p: p.chat(daemon), programs)
        self.assertEqual({200}, {answer.status for answer in answers})
        return self.count_requests(engine) == before

    def test_flood_of_one_organisation_does_not_starve_another(self) -> None:
        fleet = self.start_fleet(4, engine_state=SLOW_ENGINE)
        daemon = fleet.first_daemon()
        flood = [Program(daemon, 'shakers') for _ in range(30)]
        other = Program(daemon, 'sieves')
        executor = self.start_executor(len(flood))
        calls = [
            executor.submit(program.chat, daemon, max_tokens=20)
            for program in flood
        ]
        wait_for(lambda: self.count_requests(fleet.engines[0]) >= 4)
        for _ in range(3):
            self.assertEqual(200, other.chat(daemon).status)
        waiting_count = sum(not call.done() for call in calls)
        self.assertGreaterEqual(waiting_count, 8)
        self.assertEqual({200}, {call.result().status for call in calls})
