"""Test on real daemons that rates hold and no request is wrongly refused."""

from base64 import b64decode
from base64 import b64encode
from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from contextlib import redirect_stdout
from dataclasses import replace
from io import StringIO
from itertools import cycle
import json
import signal
import threading
import time
import unittest

from jackdawfield.cmdline import main
from jackdawfield.decisions.ledger import ledger_key
from jackdawfield.model import Configuration
from tests.fleet import configuration
from tests.fleet import DaemonProcess
from tests.fleet import Fleet
from tests.fleet import free_port
from tests.fleet import http
from tests.fleet import key
from tests.fleet import OPERATOR_TOKEN
from tests.fleet import Program
from tests.fleet import QUOTE
from tests.fleet import wait_for

DOMAINS = (('leon', 'centro'), ('apodaca', 'monterrey'))
LEASE_S = 1.5
CALLERS = 6
RATE_PER_S = 2.0
BURST = 20
ADMITTED_CODES = ('unknown_program', 'history_unavailable')


def configuration_with_contract(
    rate_per_s: float, burst: int
) -> Configuration:
    base = configuration()
    organisations = {
        organisation_id: replace(
            organisation, rate_per_s=rate_per_s, burst=burst
        )
        for organisation_id, organisation in base.organisations_by_id.items()
    }
    return replace(base, organisations_by_id=organisations)


def send_call(daemon: DaemonProcess, organisation: str) -> str:
    """Send a call that fails just after admission; return its error code."""
    headers = {
        'Authorization': f'Bearer {key(organisation)}',
        'X-Jackdawfield-Program': f'{daemon.domain}.none',
        'X-Jackdawfield-Call': '1',
    }
    url = f'{daemon.caller_url}/v1/services/{QUOTE}'
    try:
        answer = http('POST', url, {}, headers, timeout_s=3.0)
    except OSError:
        return 'unreached'
    code: str = answer.json()['error']['code']
    return code


class Load:
    """Sends calls to all daemons at full speed until stopped."""

    def __init__(
        self,
        fleet: Fleet,
        organisation: str,
        rate_per_s: float = RATE_PER_S,
        burst: int = BURST,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.daemons = list(fleet.daemons_by_name.values())
        self.organisation = organisation
        self.stopped = threading.Event()
        self.codes: list[str] = []
        self.started_s = time.monotonic()

    def admitted_count(self) -> int:
        return sum(code in ADMITTED_CODES for code in self.codes)

    def send(self, offset: int) -> None:
        shifted = self.daemons[offset % len(self.daemons) :] + self.daemons
        for daemon in cycle(shifted):
            if self.stopped.wait(0.02):
                return
            self.codes.append(send_call(daemon, self.organisation))

    def max_admitted(self) -> float:
        elapsed_s = time.monotonic() - self.started_s
        return self.burst + self.rate_per_s * elapsed_s


@contextmanager
def run_load(
    fleet: Fleet, organisation: str, *contract: float
) -> Iterator[Load]:
    running = Load(fleet, organisation, *contract)
    with ThreadPoolExecutor(CALLERS) as pool:
        for number in range(CALLERS):
            pool.submit(running.send, number)
        try:
            yield running
        finally:
            running.stopped.set()


def admits_more(running: Load, count: int) -> Callable[[], bool]:
    before = running.admitted_count()
    return lambda: running.admitted_count() >= before + count


def read_ledger_parts(fleet: Fleet, organisation: str) -> dict[str, int]:
    """Return the parts by holder from the ledger row in the table."""
    name = b64encode(ledger_key(organisation).encode()).decode()
    url = f'{fleet.table.url}/v3/kv/range'
    rows = http('POST', url, {'key': name}).json()['kvs']
    value = json.loads(b64decode(rows[0]['value']))
    parts: dict[str, int] = value['parts_by_holder']
    return parts


def holder_ids(fleet: Fleet, daemon: DaemonProcess) -> set[str]:
    """Return a daemon's holder ids that the ledger lists."""
    listed = read_ledger_parts(fleet, 'sieves')
    return {item for item in listed if item.startswith(f'{daemon.name}/')}


def find_holder(fleet: Fleet, domain: str) -> DaemonProcess:
    """Return a daemon of a domain that holds a share."""
    daemons = fleet.daemons_by_name.values()
    return next(
        d for d in daemons if d.domain == domain and (holder_ids(fleet, d))
    )


class RatesPathTest(unittest.TestCase):
    def start_fleet(self) -> Fleet:
        fleet = Fleet(
            DOMAINS,
            settings={
                'lease': {'lease_s': LEASE_S},
                'limits': {'ask_limit_ms': 1000},
            },
            configuration_value=configuration_with_contract(RATE_PER_S, BURST),
        )
        self.addCleanup(fleet.close)
        return fleet

    def test_rate_holds_through_kill_outage_and_pause(self) -> None:
        fleet = self.start_fleet()
        with run_load(fleet, 'sieves') as running:
            wait_for(admits_more(running, BURST))
            killed = find_holder(fleet, 'leon')
            killed.signal(signal.SIGKILL)
            wait_for(lambda: not holder_ids(fleet, killed))
            fleet.table.set_faults(down=True)
            wait_for(admits_more(running, int(2 * LEASE_S * RATE_PER_S)))
            fleet.table.set_faults(down=False)
            paused = find_holder(fleet, 'apodaca')
            paused.signal(signal.SIGSTOP)
            time.sleep(2 * LEASE_S)
            paused.signal(signal.SIGCONT)
            wait_for(admits_more(running, 4))
        self.assertLessEqual(running.admitted_count(), running.max_admitted())
        self.assertIn('over_rate', running.codes)

    def test_changed_contract_applies_once_accepted(self) -> None:
        fleet = self.start_fleet()
        self.assertIn(
            send_call(fleet.first_daemon(), 'sieves'), ADMITTED_CODES
        )
        self.assertEqual(0, self.set_contract(fleet, rate_per_s=1, burst=3))
        with run_load(fleet, 'sieves', 1.0, 3) as running:
            wait_for(admits_more(running, 5))
            self.assertEqual(
                0, self.set_contract(fleet, rate_per_s=1, burst=60)
            )
            wait_for(admits_more(running, 3))
        self.assertLessEqual(running.admitted_count(), running.max_admitted())

    def set_contract(self, fleet: Fleet, rate_per_s: int, burst: int) -> int:
        token = fleet.directory / 'token'
        token.write_text(OPERATOR_TOKEN)
        command = ['--url', fleet.first_daemon().operator_url]
        command += ['--token-file', str(token), 'organisations', 'set']
        command += ['sieves', '--rate-per-s', str(rate_per_s)]
        with redirect_stdout(StringIO()):
            return main([*command, '--burst', str(burst)])

    def test_new_holder_admits_requests_without_the_table(self) -> None:
        fleet = self.start_fleet()
        leon = next(
            daemon
            for daemon in fleet.daemons_by_name.values()
            if daemon.domain == 'leon'
        )
        apodaca = fleet.daemons_by_name['apodaca-0']
        self.assertIn(send_call(leon, 'sieves'), ADMITTED_CODES)
        fleet.table.set_faults(down=True)
        self.assertIn(send_call(apodaca, 'sieves'), ADMITTED_CODES)

    def test_no_request_within_the_rate_is_refused_beside_5x_load(
        self,
    ) -> None:
        fleet = self.start_fleet()
        daemons = cycle(fleet.daemons_by_name.values())
        codes = []
        with run_load(fleet, 'shakers') as other:
            wait_for(lambda: 'over_rate' in other.codes)
            for _ in range(8):
                codes.append(send_call(next(daemons), 'sieves'))
                time.sleep(1 / RATE_PER_S)
            sent = len(other.codes)
            max_admitted = other.max_admitted()
        self.assertEqual(
            [], [code for code in codes if code not in ADMITTED_CODES]
        )
        self.assertGreater(sent, 5 * (max_admitted - BURST))
        self.assertLessEqual(other.admitted_count(), other.max_admitted())

    def test_report_burn_sums_what_the_daemons_measured(self) -> None:
        fleet = self.start_fleet()
        daemons = list(fleet.daemons_by_name.values())
        for daemon in daemons:
            program = Program(daemon)
            answer = program.chat(daemon, stream=True)
            self.assertEqual(200, answer.status, answer.text)
            self.assertEqual(200, program.end(daemon).status)
        token = fleet.directory / 'token'
        token.write_text(OPERATOR_TOKEN)
        report_path = fleet.directory / 'burn.html'
        urls = [daemon.operator_url for daemon in daemons]
        unreachable_url = f'http://127.0.0.1:{free_port()}'
        arguments = ['--url', urls[0], '--token-file', str(token), '--json']
        arguments += ['report', 'burn', '--html', str(report_path)]
        output = StringIO()
        with redirect_stdout(output):
            code = main([*arguments, '--also', *urls[1:], unreachable_url])
        self.assertEqual(0, code)
        events_by_objective = {
            line['objective']: line['events']
            for line in json.loads(output.getvalue())
        }
        for objective in (
            'availability',
            'first token',
            'program latency',
            'wrongful refusals',
        ):
            self.assertEqual(len(daemons), events_by_objective[objective])
        self.assertIn('data:image/png;base64,iVBOR', report_path.read_text())


if __name__ == '__main__':
    unittest.main()
