"""Small stand-ins for the platform, its store, workers and requesters.

Standard library only. Everything listens on loopback addresses.
"""

import asyncio
from base64 import b64decode
from base64 import b64encode
import json
import os
from pathlib import Path
import random
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[2]
PREFIX = 'X-Jackdawfield-'
STABLE_S = 4.0
DRAIN_S = 2.5
HOST = 'h.example'
CONTRACTS = [
    'base',
    'drain',
    'config',
    'cost',
    'recover',
    'agent',
    'stream',
    'engine',
    'tenants',
    'quota',
    'platform',
]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder, name):
        self._file = open(Path(folder) / name, 'w')
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def add(self, event, **fields):
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{self.now_s():8.3f} {event} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            body += piece[:-2]
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


class Store:
    """Serves the platform's store of rows, by its published protocol.

    A feed returns each row that has changed, once, as it is now.
    """

    def __init__(self):
        # Reading calls a second of all machines; None is no limit.
        self.reads_per_s = None
        self.refused_reads = 0
        self._second = 0
        self._reads = 0
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._connections = set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%s' % self._server.sockets[0].getsockname()[:2]

    def stop(self):
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    def put(self, table, key, value):
        """Write a row as the operator or the platform does; value is JSON."""
        data = b64encode(json.dumps(value).encode()).decode()
        self._apply({(table, '', key): data})

    def remove(self, table, key):
        self._apply({(table, '', key): None})

    def _apply(self, values):
        self._version += 1
        for key, value in values.items():
            self._rows[key] = (value, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _wire(self, key):
        value, version = self._rows[key]
        row = {'table': key[0], 'part': key[1], 'key': key[2], 'ver': version}
        if value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': value}

    def _answer(self, rows, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {'rows': rows, 'ver': self._version, 'nowMs': now_ms, **fields}

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                _, target, _ = line.split(' ')
                status, answer = await self._call(urlsplit(target), body)
                data = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _call(self, url, body):
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = url.path.removeprefix('/-/')
        if name in ('rows-get', 'rows-feed') and self._is_over_limit():
            self.refused_reads += 1
            return 429, {}
        if name == 'rows-get':
            return 200, self._get(query)
        if name == 'rows-feed':
            return 200, await self._feed(query)
        if name == 'rows-tx':
            await asyncio.sleep(0.005)
            return self._transact(json.loads(body))
        return 404, {}

    def _is_over_limit(self):
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._reads = second, 0
        self._reads += 1
        return self.reads_per_s is not None and self._reads > self.reads_per_s

    def _get(self, query):
        first, last = query.get('from', ''), query.get('to', '')
        keys = sorted(
            key
            for key, (value, _) in self._rows.items()
            if key[:2] == (query['table'], query.get('part', ''))
            and value is not None
            and key[2] >= first
            and (not last or key[2] < last)
        )
        return self._answer([self._wire(key) for key in keys], hasMore=False)

    async def _feed(self, query):
        until_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            changed = sorted(
                (version, key)
                for key, (_, version) in self._rows.items()
                if key[0] == query['table'] and version > int(query['after'])
            )
            left_s = until_s - time.monotonic()
            if changed or left_s <= 0:
                return self._answer([self._wire(key) for _, key in changed])
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, wire):
        def key_of(entry):
            return entry['table'], entry.get('part', ''), entry['key']

        expected = wire.get('precondition', [])
        puts, removes = wire.get('puts', []), wire.get('remove', [])
        if any(entry['table'] in ('op', 'servers') for entry in puts):
            return 403, {}
        for entry in expected:
            value, version = self._rows.get(key_of(entry), (None, 0))
            if (version if value is not None else 0) != entry['ver']:
                keys = [key_of(e) for e in expected if key_of(e) in self._rows]
                rows = [self._wire(key) for key in keys]
                rows = [row for row in rows if 'value' in row]
                return 412, self._answer(rows)
        for entry in puts:
            assert len(b64decode(entry['value'])) <= 65536
        values = {key_of(entry): entry['value'] for entry in puts}
        values.update((key_of(entry), None) for entry in removes)
        if values:
            self._apply(values)
        return 200, self._answer([])


class Worker:
    """Serves requests as one worker; `on_run` is called for each that runs."""

    def __init__(self, record, worker_id, zone, service, work_s=0.02):
        self._record = record
        self.id = worker_id
        self.zone = zone
        self.service = service
        self._work_s = work_s
        self.runs = []
        self._writers = set()
        self._server = None
        self.born_ms = 0

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]
        self.born_ms = int(time.time() * 1000)

    def entry(self, **changes):
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': '1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'callSeq': 0,
            'born': self.born_ms,
            **changes,
        }

    def end(self):
        """End as a process does that crashes: all of its channels reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await self.read(reader)
                await self._answer(writer, line, headers, body)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            TimeoutError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read(self, reader):
        return await read_message(reader)

    async def _answer(self, writer, line, headers, body):
        request_id = headers.get(f'{PREFIX}request-id'.lower(), '')
        expected = headers.get(f'{PREFIX}expect-instance'.lower(), self.id)
        echo = f'{PREFIX}Request-Id: {request_id}\r\n'
        if expected != self.id:
            writer.write(
                f'HTTP/1.1 421 X\r\n{echo}{PREFIX}Not-Executed: 1\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        self._record.add('run', worker=self.id, request=request_id)
        self.runs.append((self._record.now_s(), request_id))
        head = f'{echo}{PREFIX}Server-Stamp: {self.id}.{request_id}\r\n'
        await self.run(writer, head, headers, body)

    async def run(self, writer, head, headers, body):
        """Do the work of a request and write its answer."""
        await asyncio.sleep(self._work_s)
        writer.write(
            f'HTTP/1.1 200 OK\r\n{head}Content-Length: 2\r\n\r\nok'.encode()
        )


class Answer:
    """Holds the status of an answer, 0 for none, and its whole body."""

    def __init__(self, status=0, headers=None, body=b''):
        self.status = status
        self.headers = headers or {}
        self.body = body


async def call(record, address, request_id, method, path, body=b'', **headers):
    """Send a request on a new channel and return its answer."""
    fields = {
        'Host': HOST,
        f'{PREFIX}Request-Id': request_id,
        f'{PREFIX}Credential': 'key-1',
        f'{PREFIX}Deadline-Ms': '3000',
        **{PREFIX + k.replace('_', '-'): v for k, v in headers.items()},
    }
    if body or method == 'POST':
        fields['Content-Length'] = str(len(body))
    text = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    host, _, port = address.rpartition(':')
    answer = Answer()
    record.add('sent', request=request_id, to=address)
    writer = None
    try:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f'{method} {path} HTTP/1.1\r\n{text}\r\n'
            writer.write(head.encode())
            writer.write(body)
            line, found, data = await read_message(reader)
            answer = Answer(int(line.split(' ')[1]), found, data)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.add('no_answer', request=request_id, why=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()
    record.add('answered', request=request_id, status=answer.status)
    return answer


class Machine:
    """Runs one process of the system, with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, deployment):
        self.record = record
        self.name = name
        self.zone = zone
        self._deployment = deployment
        # The port of the metrics is fixed, so each machine has an address.
        self.host = '127.%d.%d.%d' % tuple(random.randint(2, 250) for _ in '123')
        base = random.randint(20000, 29000)
        self.front = f'{self.host}:{base}'
        self.ready = f'{self.host}:{base + 1}'
        self.control = f'{self.host}:{base + 2}'
        self._internal = [base + 10, base + 25]
        self._folder = Path(folder) / name
        self._folder.mkdir()
        self.process = None

    def write_settings(self, bootstrap):
        deployment = self._deployment
        settings = {
            'node': self.name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': self.host,
            'zone': self.zone,
            'region': deployment.zones[self.zone],
            'zones': deployment.zones,
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'control': self.control,
            },
            'internalPorts': self._internal,
            'seeds': deployment.seeds,
            'bootstrap': bootstrap,
            'countsTowardLoss': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': deployment.memory_mb,
                'maxFds': deployment.max_fds,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeatMs': 1200,
            'contracts': CONTRACTS,
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {
                'stableMs': 4000,
                'drainMs': 2500,
                'graceS': 8,
                'configApplyMs': 2500,
                'quotaWindowS': 5,
                'quotaOvershoot': 0.1,
                'quotaSlack': 20,
            },
            'platform': {
                'address': deployment.store.address,
                'form': 'table',
                'rowBytes': 65536,
            },
        }
        path = self._folder / 'boot.json'
        path.write_text(json.dumps(settings))
        return path

    async def start(self, bootstrap=False):
        path = self.write_settings(bootstrap)
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self._folder),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'JACKDAWFIELD_CONFIG': str(path),
        }
        with open(self._folder / 'log.txt', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'jackdawfield.platform',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add('started', machine=self.name)

    def signal(self, number):
        self.record.add('signal', machine=self.name, number=number.name)
        self.process.send_signal(number)

    async def is_ready(self):
        host, _, port = self.ready.rpartition(':')
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n')
                line, _, _ = await read_message(reader)
                writer.close()
                return ' 200 ' in line
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, limit_s=20.0):
        until_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)

    async def kill(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class CannotRun(Exception):
    """Raised if a case could not be played."""


class Deployment:
    """Holds the machines, the store and the folder of one play."""

    def __init__(self, record, zones):
        self.record = record
        self.zones = zones
        self.store = Store()
        self.seeds = []
        self.machines = []
        self.memory_mb = 320
        self.max_fds = 8200
        self._folder = tempfile.mkdtemp()

    def add_machine(self, name, zone):
        machine = Machine(self.record, self._folder, name, zone, self)
        self.machines.append(machine)
        return machine

    def logs(self):
        return {
            m.name: (Path(self._folder) / m.name / 'log.txt').read_text()
            for m in self.machines
        }

    async def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
            await machine.kill()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def configuration(services, routes):
    """Return a desired state; routes are (name, service, changes)."""
    common = {
        'host': HOST,
        'kind': 'safe',
        'timeoutMs': 3000,
        'targetLatencyMs': 300,
        'maxAttempts': 2,
        'priority': 1,
    }
    return {
        'version': 3,
        'routes': [
            {
                **common,
                'name': name,
                'prefix': f'/{name}/',
                'service': service,
                **changes,
            }
            for name, service, changes in routes
        ],
        'services': services,
        'limits': {
            'maxHeaderBytes': 65536,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 10000,
            'idleTimeoutMs': 30000,
        },
        'tenants': [{'name': 'tenant-1', 'apiKeys': ['key-1']}],
    }


def has_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(play, folder, limit_s=110.0, record_name='record.txt'):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2."""
    record = Record(folder, record_name)

    async def limited():
        # What the case has started is ended, also if it is broken off.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.add('cannot_run', why=repr(error))
        print('could not run:', repr(error))
        sys.exit(2)
    record.add('verdict', broken=broken)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
