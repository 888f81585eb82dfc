"""Start daemons and stand-ins as separate processes for tests."""

from base64 import b64encode
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from hashlib import sha256
import itertools
import json
import os
from pathlib import Path
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
import urllib.error
import urllib.request

from msgspec.json import encode

from jackdawfield.decisions.configuration import Head
from jackdawfield.decisions.configuration import HEAD_KEY
from jackdawfield.decisions.configuration import snapshot_prefix
from jackdawfield.decisions.credentials import secret_digest
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Transaction
from jackdawfield.drivers.platform import encode_transaction
from jackdawfield.model import ChangeId
from jackdawfield.model import Configuration
from jackdawfield.model import KeyId
from jackdawfield.model import KeyRecord
from jackdawfield.model import Organisation
from jackdawfield.model import OrganisationId
from jackdawfield.model import Route
from jackdawfield.model import RouteKind
from jackdawfield.model import RouteName
from jackdawfield.model import Template
from jackdawfield.model import TemplateName
from jackdawfield.model import TemplateParameters
from jackdawfield.model import Version

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT = 10_000
PORT_COUNT = 22_000
# The start differs by process, so that parallel tests use different ports.
_PORT_OFFSETS = itertools.count(os.getpid() * 331 % PORT_COUNT)
START_LIMIT_S = 60.0
STOP_LIMIT_S = 40.0
OPERATOR_TOKEN = 'operator-token-of-tests'
MODEL = RouteName('mesh-model')
BOOKING = RouteName('booking')
QUOTE = RouteName('quote')
OPEN = RouteName('opening-hours')
TEMPLATE = TemplateName('mesh-advisor')


def free_port() -> int:
    """Return a free port below the range of ephemeral ports."""
    while True:
        port = FIRST_PORT + next(_PORT_OFFSETS) % PORT_COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def wait_for(condition: Any, limit_s: float = START_LIMIT_S) -> Any:
    """Return the first true value of a condition, polled until a limit.

    An OSError counts as false; raise AssertionError at the limit.
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        with suppress(OSError):
            value = condition()
            if value:
                return value
        time.sleep(0.02)
    raise AssertionError(f'not true within {limit_s} s: {condition}')


@dataclass(frozen=True)
class HttpResponse:
    """Holds an HTTP response."""

    status: int
    text: str
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.text)


def http(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> HttpResponse:
    """Send one request; a body that is not bytes is encoded as JSON."""
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            text = response.read().decode()
            return HttpResponse(response.status, text, dict(response.headers))
    except urllib.error.HTTPError as error:
        text = error.read().decode()
        return HttpResponse(error.code, text, dict(error.headers))


def configuration() -> Configuration:
    """Return a configuration of two organisations, each with a key."""
    organisations = {}
    keys = {}
    for name in ('sieves', 'shakers'):
        organisation_id = OrganisationId(name)
        organisations[organisation_id] = Organisation(
            organisation_id,
            rate_per_s=500.0,
            burst=500,
            parameters_by_template={
                TEMPLATE: TemplateParameters(
                    100_000, frozenset({MODEL, BOOKING, QUOTE})
                )
            },
        )
        digest = secret_digest(secret(name))
        key_id = KeyId(f'key{name}')
        keys[key_id] = KeyRecord(key_id, organisation_id, digest)
    routes = [
        Route(MODEL, RouteKind.CHAT, 'mesh-model'),
        Route(BOOKING, RouteKind.SERVICE, 'orders', repeatable=False),
        Route(QUOTE, RouteKind.SERVICE, 'orders'),
        Route(OPEN, RouteKind.SERVICE, 'orders', open=True),
    ]
    template = Template(TEMPLATE, 100_000, 52, 600.0)
    return Configuration(
        Version(1),
        organisations,
        {TEMPLATE: template},
        {route.name: route for route in routes},
        keys,
    )


def secret(organisation: str) -> str:
    """Return the secret of an organisation's key."""
    return sha256(organisation.encode()).hexdigest()


def key(organisation: str) -> str:
    """Return an organisation's key as a caller sends it."""
    return f'jf_key{organisation}_{secret(organisation)}'


class Process:
    """Runs one Python module as a child process that logs to a file."""

    def __init__(self, arguments: list[str], log: Path) -> None:
        self.log = log
        environment = {**os.environ, 'PYTHONPATH': str(ROOT)}
        with log.open('ab') as output:
            self.child = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.child.send_signal(number)

    def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        return self.child.wait(STOP_LIMIT_S)

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


class StandIn:
    """Runs one stand-in in a process of its own."""

    def __init__(self, kind: str, directory: Path, **state: Any) -> None:
        self.address = f'127.0.0.1:{free_port()}'
        self.url = f'http://{self.address}'
        self.process = Process(
            [
                'jackdawfield.standins',
                kind,
                self.address.rpartition(':')[2],
                '--set',
                json.dumps(state),
            ],
            directory / f'{kind}-{self.address.rpartition(":")[2]}.log',
        )

    def wait_ready(self) -> None:
        """Wait until the stand-in answers."""
        wait_for(lambda: http('POST', f'{self.url}/faults', {}).status == 200)

    def set_faults(self, **values: Any) -> None:
        """Set the named faults of the stand-in."""
        http('POST', f'{self.url}/faults', values)

    def get(self, path: str) -> Any:
        """Return the decoded JSON of a path."""
        return http('GET', f'{self.url}{path}').json()


class DaemonProcess:
    """Runs one daemon in a process of its own."""

    def __init__(self, name: str, domain: str, region: str) -> None:
        self.name = name
        self.domain = domain
        self.region = region
        self.caller_url = f'http://127.0.0.1:{free_port()}'
        self.peer_address = f'127.0.0.1:{free_port()}'
        self.operator_url = f'http://127.0.0.1:{free_port()}'
        self.process: Process | None = None
        self.settings_path = Path()

    def settings(self, fleet: 'Fleet') -> dict[str, Any]:
        """Return the daemon's settings for a fleet."""
        return {
            'instance_id': self.name,
            'domain_id': self.domain,
            'region_id': self.region,
            'caller_address': self.caller_url.removeprefix('http://'),
            'peer_address': self.peer_address,
            'operator_address': self.operator_url.removeprefix('http://'),
            'operator_token': OPERATOR_TOKEN,
            'tail_key': '11' * 32,
            'platform': {
                'table_url': fleet.table.url,
                'object_url': fleet.objects.url,
                'instances_url': fleet.instances.url,
                'list_interval_s': fleet.list_interval_s,
            },
            **fleet.settings,
        }

    def start(self, fleet: 'Fleet') -> None:
        """Write the settings and start the process."""
        self.settings_path = fleet.directory / f'{self.name}.json'
        self.settings_path.write_text(json.dumps(self.settings(fleet)))
        self.process = Process(
            ['jackdawfield.daemon', str(self.settings_path)],
            fleet.directory / f'{self.name}.log',
        )

    def status(self) -> Any:
        """Return the daemon's status as operators read it."""
        answer = self.operator_request('GET', '/admin/v1/status')
        return answer.json()

    def operator_request(
        self, method: str, path: str, body: Any = None
    ) -> HttpResponse:
        """Send a request with the operators' token."""
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        return http(method, f'{self.operator_url}{path}', body, headers)

    def signal(self, number: signal.Signals) -> None:
        """Send the daemon a signal."""
        assert self.process is not None
        self.process.signal(number)

    def log_text(self) -> str:
        """Return what the daemon has logged."""
        assert self.process is not None
        return self.process.log.read_text()


class Fleet:
    """Runs the stand-ins and daemons of a test."""

    def __init__(
        self,
        domains: tuple[tuple[str, str], ...] = (('leon', 'centro'),),
        daemons_per_domain: int = 2,
        engines_per_domain: int = 1,
        engine_state: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
        configuration_value: Configuration | None = None,
        tls: Callable[[Path], dict[str, str]] | None = None,
        list_interval_s: float = 0.2,
        slots: int = 8,
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.directory = Path(self._temporary.name)
        self.settings = dict(settings or {})
        self.list_interval_s = list_interval_s
        self.slots = slots
        if tls is not None:
            tls_settings = tls(self.directory)
            self.settings.update(
                caller_tls=tls_settings, peer_tls=tls_settings
            )
        self.table = StandIn('table', self.directory)
        self.objects = StandIn('objects', self.directory)
        self.instances = StandIn('instances', self.directory)
        self.engines: list[StandIn] = []
        self.services: list[StandIn] = []
        self._servers: list[tuple[StandIn, str, dict[str, Any]]] = []
        self.daemons_by_name: dict[str, DaemonProcess] = {}
        for domain, region in domains:
            self._add_servers(
                domain, region, engines_per_domain, engine_state or {}
            )
            for number in range(daemons_per_domain):
                name = f'{domain}-{number}'
                daemon = DaemonProcess(name, domain, region)
                self.daemons_by_name[name] = daemon
        self._start(configuration_value or configuration())

    def _add_servers(
        self, domain: str, region: str, count: int, state: dict[str, Any]
    ) -> None:
        location = {'domain': domain, 'region': region}
        for _ in range(count):
            engine = StandIn('engine', self.directory, **state)
            self.engines.append(engine)
            self._servers.append((engine, 'mesh-model', location))
        service = StandIn('service', self.directory)
        self.services.append(service)
        self._servers.append((service, 'orders', location))

    def _start(self, value: Configuration) -> None:
        stand_ins = [self.table, self.objects, self.instances]
        for stand_in in [*stand_ins, *self.engines, *self.services]:
            stand_in.wait_ready()
        self.write_configuration(value)
        for number, (server, pool, location) in enumerate(self._servers):
            self.register_server(f'server-{number}', server, pool, location)
        for daemon in self.daemons_by_name.values():
            self.register_daemon(daemon)
            daemon.start(self)
        for daemon in self.daemons_by_name.values():
            self.wait_ready(daemon)

    def wait_ready(self, daemon: DaemonProcess) -> None:
        """Wait until a daemon has read the fleet's lists and configuration."""
        count = len(self.daemons_by_name)
        wait_for(lambda: daemon.status()['members'] >= count)
        wait_for(lambda: daemon.status()['servers'] >= len(self._servers))
        wait_for(lambda: daemon.status()['version'] > 0)

    def register_server(
        self,
        name: str,
        server: StandIn,
        pool: str,
        location: dict[str, Any],
        state: str = 'live',
        **fields: Any,
    ) -> None:
        """Add a backend server to the platform's list, or replace it."""
        entry = {
            'id': name,
            'kind': 'server',
            'address': server.address,
            'pool': pool,
            'slots': self.slots,
            'cache_tokens': 100_000,
            'state': state,
            **location,
            **fields,
        }
        http('PUT', f'{self.instances.url}/v1/instances/{name}', entry)

    def register_daemon(
        self, daemon: DaemonProcess, state: str = 'live'
    ) -> None:
        """Add a daemon to the platform's list, or replace it."""
        entry = {
            'id': daemon.name,
            'kind': 'entry',
            'domain': daemon.domain,
            'region': daemon.region,
            'address': daemon.peer_address,
            'state': state,
        }
        url = f'{self.instances.url}/v1/instances/{daemon.name}'
        http('PUT', url, entry)

    def unregister(self, name: str) -> None:
        """Remove an instance or backend server from the platform's list."""
        http('DELETE', f'{self.instances.url}/v1/instances/{name}')

    def write_configuration(self, value: Configuration) -> None:
        """Write the configuration into the table."""
        head = Head(value.version, ChangeId('first'), value.version, 1)
        rows = (
            Put(f'{snapshot_prefix(value.version)}0', encode(value)),
            Put(HEAD_KEY, encode(head)),
        )
        body = encode_transaction(Transaction((), rows))
        http('POST', f'{self.table.url}/v3/kv/txn', body)

    def count_rows(self, prefix: str) -> int:
        """Return the number of rows in the table with a prefix."""
        first = b64encode(prefix.encode()).decode()
        last = b64encode(prefix.encode() + b'\xff').decode()
        body = {'key': first, 'range_end': last}
        answer = http('POST', f'{self.table.url}/v3/kv/range', body)
        return int(answer.json()['count'])

    def first_daemon(self) -> DaemonProcess:
        """Return the first daemon of the fleet."""
        return next(iter(self.daemons_by_name.values()))

    def close(self) -> None:
        """Kill all processes and remove their files."""
        for daemon in self.daemons_by_name.values():
            if daemon.process is not None:
                daemon.process.kill()
        stand_ins = [self.table, self.objects, self.instances]
        for stand_in in [*stand_ins, *self.engines, *self.services]:
            stand_in.process.kill()
        self._temporary.cleanup()


class Program:
    """Represents one program of an organisation and makes its calls."""

    def __init__(
        self,
        daemon: DaemonProcess,
        organisation: str = 'sieves',
        parent: str = '',
    ) -> None:
        self.headers = {'Authorization': f'Bearer {key(organisation)}'}
        answer = http(
            'POST',
            f'{daemon.caller_url}/v1/programs',
            {'template': TEMPLATE, 'parent': parent},
            self.headers,
        )
        if answer.status != 200:
            raise AssertionError(f'no program was created: {answer}')
        self.program_id: str = answer.json()['program']
        self.next_call = 1

    def call(
        self,
        daemon: DaemonProcess,
        path: str,
        body: Any,
        number: int | None = None,
        **headers: str,
    ) -> HttpResponse:
        """Send a call, under the next call number if none is given."""
        if number is None:
            number = self.next_call
            self.next_call += 1
        return http(
            'POST',
            f'{daemon.caller_url}{path}',
            body,
            {
                **self.headers,
                'X-Jackdawfield-Program': self.program_id,
                'X-Jackdawfield-Call': str(number),
                **headers,
            },
        )

    def chat(
        self,
        daemon: DaemonProcess,
        text: str = 'Which mesh?',
        number: int | None = None,
        stream: bool = False,
        max_tokens: int = 8,
        **headers: str,
    ) -> HttpResponse:
        """Send a chat call."""
        body = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': stream,
        }
        return self.call(
            daemon, '/v1/chat/completions', body, number, **headers
        )

    def service(
        self,
        daemon: DaemonProcess,
        name: str = BOOKING,
        body: Any = None,
        number: int | None = None,
    ) -> HttpResponse:
        """Send a service call."""
        return self.call(daemon, f'/v1/services/{name}', body or {}, number)

    def end(self, daemon: DaemonProcess) -> HttpResponse:
        """End the program."""
        url = f'{daemon.caller_url}/v1/programs/{self.program_id}'
        return http('DELETE', url, None, self.headers)
