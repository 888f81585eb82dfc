"""Run gateway instances in this process against a stand-in platform."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any

from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.platform.__main__ import ADAPTER
from jackdawfield.platform.settings import decode_settings
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import MemoryRowStore
from tests.fleet import free_port
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import ScriptedServer

HOST = '127.0.0.1'
TIMEOUT_S = 5.0
PREFIX = 'X-Jackdawfield-'
CONFIGURATION = RowKey('op', '', 'config')
EVENTS = ('first', 'second')
MAX_TOKENS = 22


def settings_of(
    name: str, peer_port: int, store_port: int, *seeds: str
) -> GatewaySettings:
    """Return the settings of an instance on loopback."""
    wire = {
        'node': name,
        'ip': HOST,
        'zone': 'a',
        'region': 'r',
        'zones': {'a': 'r'},
        'listen': {
            'front': f'{HOST}:{free_port()}',
            'ready': f'{HOST}:{free_port()}',
            'control': f'{HOST}:{peer_port}',
        },
        'internalPorts': [0, 0],
        'limits': {'memoryMb': 200},
        'platform': {'address': f'{HOST}:{store_port}'},
        'seeds': seeds,
    }
    return decode_settings(json.dumps(wire))


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with routes for turns, a tool and open calls."""
    common = {'host': 'h.example', 'timeoutMs': 3000, 'maxAttempts': 2}
    return {
        'version': version,
        'routes': [
            {
                'name': 'turns',
                'prefix': '/turns/',
                'kind': 'streaming',
                'service': 'model',
                'retainContext': True,
                'retentionS': 60.0,
                **common,
            },
            {
                'name': 'resumable',
                'prefix': '/resumable/',
                'kind': 'streaming',
                'service': 'model',
                'retentionS': 60.0,
                'resumable': True,
                'gapAimMs': 150,
                'targetLatencyMs': 300,
                **common,
            },
            {
                'name': 'tool',
                'prefix': '/tool/',
                'kind': 'unsafe',
                'service': 'model',
                **common,
            },
            {
                'name': 'open',
                'prefix': '/open/',
                'kind': 'safe',
                'service': 'model',
                'public': True,
                **common,
            },
        ],
        'services': [
            {
                'name': 'model',
                'healthPath': '/health',
                'maxConns': 100,
                'engine': {'slots': 4, 'kvCapacity': 9, 'chunkTokens': 11},
            }
        ],
        'tenants': [
            {'name': 'org', 'apiKeys': ['key', 'spare']},
            {'name': 'other', 'apiKeys': ['other-key']},
        ],
        **changes,
    }


async def engine(received: ReceivedRequest) -> None:
    """Answer a turn with two events and any other call with a body."""
    request_id = received.header('x-jackdawfield-request-id')
    head = (
        f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
        f'{PREFIX}Server-Stamp: stamp\r\n'
    )
    if not received.head.startswith(b'POST /turns/'):
        received.writer.write(f'{head}Content-Length: 2\r\n\r\nok'.encode())
        return
    head += 'Content-Type: text/event-stream\r\n'
    head += 'Transfer-Encoding: chunked\r\n\r\n'
    received.writer.write(head.encode())
    for number, text in enumerate(EVENTS):
        event = f'id: {number}\ndata: {text}\n\n'
        received.writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
    received.writer.write(b'0\r\n\r\n')


@dataclass
class Answer:
    """Holds a caller's response; status 0 without one."""

    status: int = 0
    body: bytes = b''
    whole: bool = False
    end: BodyEnd | None = None
    headers: dict[str, str] = field(default_factory=dict)


class Fleet:
    """Runs instances, their store and one backend server."""

    def __init__(self) -> None:
        self.rows = MemoryRowStore()
        self.store = PlatformStoreStandIn(self.rows)
        self.server = ScriptedServer(engine)
        self.gateways: list[Gateway] = []
        self.pool = ConnectionPool()

    async def start(self, instances: int) -> None:
        """Start the store, the server and the instances; wait until ready."""
        self.store.start(HOST)
        await self.server.start()
        self.configure(configuration(1))
        entry = {
            'service': 'model',
            'address': f'{HOST}:{self.server.port}',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
        }
        self.rows.put(RowKey('servers', '', 'i-1'), json.dumps(entry).encode())
        for number in range(instances):
            await self.start_instance(f'g{number}')
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: g.is_ready)

    def configure(self, wire: dict[str, Any]) -> None:
        """Write a configuration as an operator."""
        self.rows.put(CONFIGURATION, json.dumps(wire).encode())

    async def start_instance(self, name: str) -> Gateway:
        """Start one instance on free ports."""
        settings = settings_of(name, free_port(), self.store.port)
        gateway = Gateway(settings, ADAPTER, metrics_port=free_port())
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def stop(self) -> None:
        """Close the instances and stop the store and the server."""
        for gateway in self.gateways:
            await gateway.close()
        self.pool.close()
        self.store.stop()
        await self.server.stop()

    async def wait_until(self, condition: Any) -> None:
        """Wait until a condition is true."""
        await self.wait_until_within(condition, TIMEOUT_S)

    async def wait_until_within(self, condition: Any, limit_s: float) -> None:
        """Wait until a condition is true, at most for the limit."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self,
        gateway: Gateway,
        request_id: str,
        path: str = '/turns/x',
        body: bytes = b'',
        key: str | None = 'key',
        **headers: str,
    ) -> Answer:
        """Send a request and return its answer."""
        pairs = [('Host', 'h.example'), (f'{PREFIX}Request-Id', request_id)]
        if key is not None:
            pairs.append((f'{PREFIX}Credential', key))
        pairs += [
            (PREFIX + name.replace('_', '-'), value)
            for name, value in headers.items()
        ]
        settings = gateway.settings
        found = await self.pool.open(HOST, settings.caller_port, TIMEOUT_S)
        connection = found.unwrap()
        self.last_connection = connection
        request = OutgoingRequest('POST', path, tuple(pairs), body)
        connection.send(request).unwrap()
        answer = Answer()
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                match await connection.next_part():
                    case ResponseHead() as head:
                        answer.status = head.status
                        answer.headers = {
                            name.lower(): value for name, value in head.headers
                        }
                    case bytes(piece):
                        answer.body += piece
                    case BodyEnd() as end:
                        answer.whole = end is BodyEnd.WHOLE
                        answer.end = end
                        break
        connection.abort(LossReason.DONE)
        return answer

    async def turn(
        self,
        gateway: Gateway,
        request_id: str,
        body: bytes,
        previous: str | None = None,
        **headers: str,
    ) -> Answer:
        """Send a turn of one program and return its answer."""
        if previous is not None:
            headers['Previous_Turn'] = previous
        headers.setdefault('Program_Id', 'program')
        headers.setdefault('Token_Usage', f'10,{MAX_TOKENS}')
        headers.setdefault('Token_Budget', '1000')
        return await self.call(gateway, request_id, body=body, **headers)
