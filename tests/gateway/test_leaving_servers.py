"""Test that instances leave alone a server that says that it leaves."""

import json
import time
import unittest

from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.notices import LEAVING_MARGIN_S
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.platform.headers import decode_leaving
from tests.gateway.harness import Answer
from tests.gateway.harness import Fleet
from tests.gateway.harness import HOST
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script
from tests.gateway.scripted_server import ScriptedServer

LEAVING = 'Server-Leaving: 1\r\n'
CALLS = 12
LONG_S = 60.0


def answering(extra: str, status: str = '200 OK') -> Script:
    """Return a script that answers with a further header."""

    async def script(received: ReceivedRequest) -> None:
        request_id = received.header('x-jackdawfield-request-id')
        received.writer.write(
            f'HTTP/1.1 {status}\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: stamp\r\n{extra}'
            'Content-Length: 2\r\n\r\nok'.encode()
        )

    return script


async def leaving_stream(received: ReceivedRequest) -> None:
    """Send the head of a stream and half of it, then break off."""
    request_id = received.header('x-jackdawfield-request-id')
    received.writer.write(
        (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: stamp\r\n{LEAVING}'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
            '13\r\nid: 0\ndata: first\n\n\r\n'
        ).encode()
    )
    await received.writer.drain()
    received.writer.close()


def entry_of(server: ScriptedServer, started_ms: int = 0) -> bytes:
    return json.dumps(
        {
            'service': 'model',
            'address': f'{HOST}:{server.port}',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
            'born': started_ms,
        }
    ).encode()


class LeavingServersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]
        self.gateway.notices.drain_s = LONG_S
        self.leaving = self.fleet.server
        self.leaving.script = answering(LEAVING)

    async def add_server(self) -> ScriptedServer:
        server = await ScriptedServer(answering('')).start()
        self.addAsyncCleanup(server.stop)
        self.list_server('i-2', entry_of(server))
        servers = self.gateway.servers
        await self.fleet.wait_until(lambda: len(servers.by_id) == 2)
        return server

    def list_server(self, server_id: str, entry: bytes) -> None:
        self.fleet.rows.put(RowKey('servers', '', server_id), entry)

    @property
    def state(self) -> ServerState:
        """Return the state of the server that leaves."""
        states = self.gateway.servers.by_id.items()
        return next(state for name, state in states if name == 'i-1')

    async def call(self, name: str, path: str = '/tool/x') -> Answer:
        return await self.fleet.call(self.gateway, name, path)

    async def call_until_told(self, path: str = '/tool/x') -> None:
        """Send calls until one was answered by the leaving server."""
        number = 0
        while not self.leaving.requests:
            await self.call(f'{path}{number}', path)
            number += 1

    async def test_new_calls_go_to_a_server_with_room(self) -> None:
        await self.add_server()
        await self.call_until_told()
        before = len(self.leaving.requests)
        for number in range(CALLS):
            answer = await self.call(f'late{number}')
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.leaving.requests), before)

    # Guards against calls that reach a server for long after its answers say
    # that it leaves, since its row still lists it as ready.
    async def test_last_server_is_used_while_it_may_be(self) -> None:
        self.gateway.notices.drain_s = LEAVING_MARGIN_S + 0.5
        await self.call_until_told()
        self.assertEqual((await self.call('soon')).status, 200)
        self.list_server('i-1', entry_of(self.leaving))
        await self.fleet.wait_until(
            lambda: not self.state.takes_calls(time.monotonic())
        )
        before = len(self.leaving.requests)
        for number in range(CALLS):
            answer = await self.call(f'late{number}')
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers['retry-after']), 0)
        self.assertEqual(len(self.leaving.requests), before)

    # Guards against a successor at the same address that is left alone.
    async def test_a_later_start_is_used_at_once(self) -> None:
        self.gateway.notices.drain_s = 0.0
        await self.call_until_told()
        self.assertEqual((await self.call('late')).status, 503)
        self.leaving.script = answering('')
        self.list_server('i-1', entry_of(self.leaving, started_ms=1))
        await self.fleet.wait_until(lambda: not self.state.is_leaving)
        self.assertEqual((await self.call('next')).status, 200)

    async def test_answers_of_each_kind_count(self) -> None:
        self.gateway.notices.drain_s = 0.0
        not_run = f'{PREFIX}Not-Executed: 1\r\n'
        scripts = (
            answering(LEAVING, '500 Internal Server Error'),
            answering(LEAVING, '404 Not Found'),
            answering(LEAVING + not_run, '503 Service Unavailable'),
            answering(LEAVING, '421 Misdirected Request'),
            leaving_stream,
        )
        for number, self.leaving.script in enumerate(scripts):
            with self.subTest(number=number):
                await self.call(f'first{number}', '/resumable/x')
                self.assertTrue(self.state.has_announced_leaving)
                before = len(self.leaving.requests)
                answer = await self.call(f'late{number}')
                self.assertEqual(answer.status, 503)
                self.assertEqual(len(self.leaving.requests), before)
                # A new start takes calls again, for the next script.
                later = entry_of(self.leaving, started_ms=number + 1)
                self.list_server('i-1', later)
                await self.fleet.wait_until(lambda: not self.state.is_leaving)

    async def test_broken_stream_is_resumed_elsewhere(self) -> None:
        other = await self.add_server()
        self.leaving.script = leaving_stream
        await self.call_until_told('/resumable/x')
        self.assertEqual(len(self.leaving.requests), 1)
        self.assertEqual(other.requests[-1].header('last-event-id'), '0')

    async def test_store_that_is_away_changes_nothing(self) -> None:
        self.gateway.notices.drain_s = 0.0
        self.fleet.store.is_refusing = True
        await self.call_until_told()
        self.assertEqual((await self.call('late')).status, 503)


class DecodeLeavingTest(unittest.TestCase):
    def decode(self, *values: str) -> bool:
        headers = tuple(('Server-Leaving', value) for value in values)
        return decode_leaving(ResponseHead(200, 'OK', headers))

    def test_only_one_value_says_that_a_server_leaves(self) -> None:
        self.assertTrue(self.decode('1'))
        self.assertTrue(self.decode('1', '1'))
        self.assertFalse(self.decode())

    def test_other_values_say_nothing_and_are_logged(self) -> None:
        for value in ('', '0', 'true', '01', '1, 1', '-1', 'x' * 200):
            with self.assertLogs('jackdawfield.platform.headers') as logs:
                self.assertFalse(self.decode(value))
            self.assertIn('server_leaving_unreadable', logs.output[0])

    def test_one_of_several_values_is_enough(self) -> None:
        self.assertTrue(self.decode('0', '1'))
