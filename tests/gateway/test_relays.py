"""Test instances that lost their paths to the servers.

The pattern: some instances, also most of them, reach no server, while their
callers, the store and the other instances still reach them.
"""

import asyncio
from functools import partial
import json
import time
import unittest
from unittest.mock import patch

from result import Err
from result import Result

from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.servers.reachability import Path
from jackdawfield.gateway.servers.relay_server import MAX_RELAYED
from jackdawfield.gateway.storage.rows import RowKey
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import HOST
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script
from tests.gateway.scripted_server import ScriptedServer
from tests.gateway.test_answer_statuses import answer_with
from tests.gateway.test_answer_statuses import PATHS
from tests.gateway.test_answer_statuses import STATUSES

MODEL_SERVERS = 2
STOP_WITHOUT_CALLS_S = 1.0


class RelaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(3)
        self.first, self.second, self.third = self.fleet.gateways
        other = await ScriptedServer(engine).start()
        self.addAsyncCleanup(other.stop)
        self.servers = [self.fleet.server, other]
        entry = {
            'service': 'model',
            'address': f'{HOST}:{other.port}',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
        }
        key = RowKey('servers', '', 'i-2')
        self.fleet.rows.put(key, json.dumps(entry).encode())
        for gateway in self.fleet.gateways:
            await self.fleet.wait_until(
                lambda g=gateway: (
                    len(g.servers.by_id) == MODEL_SERVERS
                    and len(g.members.peer_addresses()) == 2
                )
            )

    def script_all(self, script: Script) -> None:
        for server in self.servers:
            server.script = script

    @property
    def request_count(self) -> int:
        return sum(len(server.requests) for server in self.servers)

    def cut(self, gateway: Gateway, is_refused: bool) -> None:
        """Let an instance's new connections to servers hang or be refused."""

        async def fail(
            _: str, __: int, timeout_s: float
        ) -> Result[Connection, ExchangeError]:
            if not is_refused:
                await asyncio.sleep(timeout_s)
            return Err(ExchangeError(Fault.NOT_SENT, 'cut', is_refused))

        gateway.server_pool.open = fail
        if not is_refused:
            # Kept connections hang, too; here they are not used.
            gateway.server_pool.take_idle = lambda *_: None

    def heal(self, gateway: Gateway) -> None:
        del gateway.server_pool.open
        vars(gateway.server_pool).pop('take_idle', None)

    async def lose_all_paths(self, *gateways: Gateway) -> None:
        """Cut instances and let them know it."""
        for number, gateway in enumerate(gateways):
            self.cut(gateway, is_refused=False)
            for turn in range(4):
                await self.fleet.call(
                    gateway, f'lost-{number}-{turn}', '/open/x', key=None
                )
            await self.fleet.wait_until(
                lambda g=gateway: g.reachability.cut_since_s is not None
            )

    # Guards against a status that HTTP does not have, relayed as an answer.
    async def test_no_such_status_is_relayed(self) -> None:
        await self.lose_all_paths(self.first)
        for status in STATUSES:
            self.script_all(answer_with(status))
            for path in PATHS:
                with self.subTest((status, path)):
                    answer = await self.fleet.call(
                        self.first, f'{status}{path}', path
                    )
                    self.assertEqual(answer.status, 502)

    # Guards against callers of a cut instance who are served far worse than
    # those of the others: each call tried server after server in vain.
    async def test_calls_of_a_cut_instance_are_served_through_a_peer(
        self,
    ) -> None:
        for is_refused in (False, True):
            with self.subTest(is_refused=is_refused):
                self.cut(self.first, is_refused)
                for number in range(4):
                    name = f'r-{is_refused}-{number}'
                    answer = await self.fleet.turn(self.first, name, b'in')
                    self.assertEqual(
                        (answer.status, answer.whole), (200, True)
                    )
                    answer = await self.fleet.call(
                        self.first, f't{name}', '/tool/x'
                    )
                    self.assertEqual(
                        (answer.status, answer.body), (200, b'ok')
                    )
                self.heal(self.first)
                await self.fleet.wait_until(
                    lambda: (
                        self.first.reachability.cut_since_s is None
                        and not self.first.reachability.lost_path_count
                    )
                )
        self.assertEqual(self.request_count, 16)

    async def test_cut_instance_is_served_at_once_when_most_are_cut(
        self,
    ) -> None:
        await self.lose_all_paths(self.first, self.second)
        relayed_before = self.second.relay_server.relayed_count
        started_s = time.monotonic()
        for number in range(5):
            answer = await self.fleet.call(self.first, f'r{number}', '/tool/x')
            self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - started_s, 1.0)
        self.assertGreater(self.third.relay_server.relayed_count, 0)
        # Never two relays in a row.
        self.assertEqual(
            self.second.relay_server.relayed_count, relayed_before
        )

    async def test_nobody_reaches_a_server_so_calls_are_refused_at_once(
        self,
    ) -> None:
        await self.lose_all_paths(*self.fleet.gateways)
        before = self.request_count
        started_s = time.monotonic()
        answer = await self.fleet.call(self.first, 'r', '/tool/x')
        self.assertLess(time.monotonic() - started_s, 0.3)
        self.assertEqual(answer.status, 503)
        self.assertIn('retry-after', answer.headers)
        self.assertEqual(self.request_count, before)

    async def test_events_are_relayed_as_they_arrive(self) -> None:
        await self.lose_all_paths(self.first)
        may_go_on = asyncio.Event()

        async def paused(received: ReceivedRequest) -> None:
            self.send_head(received)
            received.writer.write(b'f\r\nid: 0\ndata: a\n\n\r\n')
            await may_go_on.wait()
            received.writer.write(b'f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n')

        self.script_all(paused)
        connection = await self.send_turn('r1')
        await connection.next_part()
        self.assertEqual(await connection.next_part(), b'id: 0\ndata: a\n\n')
        may_go_on.set()
        self.assertEqual(await connection.next_part(), b'id: 1\ndata: b\n\n')
        connection.abort(LossReason.DONE)

    async def test_caller_who_leaves_cancels_the_relayed_call(self) -> None:
        await self.lose_all_paths(self.first)
        lost_before = sum(server.lost for server in self.servers)

        async def endless(received: ReceivedRequest) -> None:
            self.send_head(received)
            while True:
                received.writer.write(b'f\r\nid: 0\ndata: a\n\n\r\n')
                await received.writer.drain()
                await asyncio.sleep(0.01)

        self.script_all(endless)
        connection = await self.send_turn('r1')
        await connection.next_part()
        connection.abort(LossReason.CALLER_LEFT)
        await self.fleet.wait_until(
            lambda: sum(s.lost for s in self.servers) > lost_before
        )
        for gateway in self.fleet.gateways:
            await self.fleet.wait_until(
                lambda g=gateway: not g.relay_server.open_count
            )

    # Guards against streams of other instances' callers that a planned stop
    # cuts, as only the own callers are waited for.
    async def test_planned_stop_waits_for_relayed_calls(self) -> None:
        await self.lose_all_paths(self.first, self.third)
        may_go_on = asyncio.Event()

        async def paused(received: ReceivedRequest) -> None:
            self.send_head(received)
            received.writer.write(b'f\r\nid: 0\ndata: a\n\n\r\n')
            await may_go_on.wait()
            received.writer.write(b'f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n')

        self.script_all(paused)
        connection = await self.send_turn('r1')
        await connection.next_part()
        await connection.next_part()
        with patch('jackdawfield.gateway.http.drain.LISTEN_AFTER_STOP_S', 0.1):
            stop = asyncio.create_task(self.second.stop())
            # Longer than this stop takes that has nobody to wait for.
            await asyncio.sleep(STOP_WITHOUT_CALLS_S)
        may_go_on.set()
        self.assertEqual(await connection.next_part(), b'id: 1\ndata: b\n\n')
        self.assertIs(await connection.next_part(), BodyEnd.WHOLE)
        await stop
        self.fleet.gateways.remove(self.second)

    # Guards against a call that runs twice because a relay was lost.
    async def test_call_is_not_repeated_when_its_relay_is_lost(self) -> None:
        await self.lose_all_paths(self.first)
        self.fleet.server.requests.clear()
        before = self.request_count

        async def lose_relays(_: ReceivedRequest) -> None:
            for gateway in (self.second, self.third):
                await gateway.peers.stop(0)
            await asyncio.sleep(5.0)

        self.script_all(lose_relays)
        answer = await self.fleet.call(self.first, 'r', '/tool/x')
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.request_count, before + 1)

    async def test_relayed_calls_are_limited(self) -> None:
        await self.lose_all_paths(self.first)
        for gateway in (self.second, self.third):
            relays = gateway.relay_server._relays_by_id
            relays.update({-n: None for n in range(1, MAX_RELAYED + 1)})
        answer = await self.fleet.call(self.first, 'r', '/tool/x')
        self.assertEqual(answer.status, 503)

    # Guards against a limit that calls pass through a peer, from an instance
    # that has not heard of it.
    async def test_relayed_calls_keep_to_a_servers_limit(self) -> None:
        await self.lose_all_paths(self.first)
        now_s = time.monotonic()
        for gateway in (self.second, self.third):
            for state in gateway.servers.by_id.values():
                state.rate_limit.record_named(1.0, now_s)
        before = self.request_count
        answers = await asyncio.gather(
            *(
                self.fleet.call(self.first, f'r{number}', '/tool/x')
                for number in range(8)
            )
        )
        self.assertLessEqual(self.request_count - before, MODEL_SERVERS)
        self.assertEqual(
            sum(answer.status == 200 for answer in answers),
            self.request_count - before,
        )
        self.assertLessEqual({a.status for a in answers}, {200, 503})

    async def test_slots_of_relayed_calls_count_where_they_are_taken(
        self,
    ) -> None:
        await self.lose_all_paths(self.first)
        in_flight: list[int] = []

        async def count(received: ReceivedRequest) -> None:
            in_flight.append(
                sum(
                    state.in_flight
                    for gateway in (self.second, self.third)
                    for state in gateway.servers.by_id.values()
                )
            )
            await engine(received)

        self.script_all(count)
        await self.fleet.call(self.first, 'r', '/tool/x')
        self.assertEqual(in_flight, [1])
        states = [
            state
            for gateway in self.fleet.gateways
            for state in gateway.servers.by_id.values()
        ]
        # The relaying instance releases its slot after it has sent the end.
        await self.fleet.wait_until(
            lambda: all(state.in_flight == 0 for state in states)
        )

    # Guards against an instance that passes on that a server leaves, and goes
    # on sending to it, be it for itself or for others.
    async def test_relayed_answer_tells_both_that_a_server_leaves(
        self,
    ) -> None:
        async def leave(received: ReceivedRequest) -> None:
            request_id = received.header('x-jackdawfield-request-id')
            received.writer.write(
                f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
                f'{PREFIX}Server-Stamp: stamp\r\nServer-Leaving: 1\r\n'
                'Content-Length: 2\r\n\r\nok'.encode()
            )

        for gateway in self.fleet.gateways:
            gateway.notices.drain_s = 0.0
        await self.lose_all_paths(self.first)
        self.script_all(leave)
        for number in range(3 * MODEL_SERVERS):
            await self.fleet.call(self.first, f'r{number}', '/tool/x')
        self.assertEqual(self.first.servers.leaving_count, MODEL_SERVERS)
        relaying = [
            gateway.servers.leaving_count
            for gateway in (self.second, self.third)
        ]
        self.assertEqual(sum(relaying), MODEL_SERVERS)
        before = self.request_count
        for gateway in self.fleet.gateways:
            await self.fleet.call(gateway, f'late{id(gateway)}', '/tool/x')
        self.assertLessEqual(self.request_count - before, 2)

    # Guards against sound servers that are ejected by reports of an instance
    # which does not reach them.
    async def test_cut_instance_ejects_no_server(self) -> None:
        await self.lose_all_paths(self.first)
        for number in range(6):
            await self.fleet.call(self.first, f'r{number}', '/tool/x')
        now_s = time.monotonic()
        for gateway in self.fleet.gateways:
            for state in gateway.servers.by_id.values():
                self.assertFalse(state.ejection.is_ejected(now_s))

    # Guards against failures of a lost path that are told as the server's.
    async def test_failure_is_reported_only_if_its_path_is_sound(
        self,
    ) -> None:
        self.cut(self.first, is_refused=False)
        reported: list[Gateway] = []
        for gateway in (self.first, self.second):
            entry = next(iter(gateway.servers.by_id.values())).entry
            gateway.server_paths.run_if_path_is_sound(
                entry, partial(reported.append, gateway)
            )
        await self.fleet.wait_until(
            lambda: self.first.reachability.lost_path_count
        )
        self.assertEqual(reported, [self.second])

    # Guards against innocent requests that are quarantined, as the servers
    # that refuse a cut instance look ended to it.
    async def test_reset_and_refused_connections_are_no_end_of_a_server(
        self,
    ) -> None:
        self.cut(self.first, is_refused=True)

        async def broken(received: ReceivedRequest) -> None:
            received.writer.close()

        self.script_all(broken)
        for number in range(6):
            await self.fleet.call(self.first, f'r{number}', '/tool/x')
        await asyncio.sleep(0.3)
        for gateway in self.fleet.gateways:
            self.assertEqual(gateway.ended_servers.ended_count, 0)
            self.assertTrue(gateway.quarantine.is_empty)
            for state in gateway.servers.by_id.values():
                self.assertEqual(state.absent_until_s, 0.0)

    async def test_cut_instance_lets_peers_look_at_an_unframed_end(
        self,
    ) -> None:
        await self.lose_all_paths(self.first)

        async def unframed(received: ReceivedRequest) -> None:
            request_id = received.header('x-jackdawfield-request-id')
            received.writer.write(
                (
                    f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
                    f'{PREFIX}Server-Stamp: stamp\r\n\r\nha'
                ).encode()
            )
            await received.writer.drain()
            received.writer.close()

        async def crash(received: ReceivedRequest) -> None:
            for server in self.servers:
                await server.stop()
            await unframed(received)

        for script, end in (
            (unframed, BodyEnd.UNCONFIRMED),
            (crash, BodyEnd.CUT),
        ):
            self.script_all(script)
            answer = await self.fleet.call(
                self.first, script.__name__, '/tool/x'
            )
            self.assertEqual((answer.body, answer.end), (b'ha', end))

    async def test_path_that_comes_back_is_used(self) -> None:
        await self.lose_all_paths(self.first)
        self.heal(self.first)
        await self.fleet.wait_until(
            lambda: self.first.reachability.cut_since_s is None
        )
        for state in self.first.servers.by_id.values():
            address = (state.entry.host, state.entry.port)
            self.assertIs(self.first.reachability.path(address), Path.DIRECT)
        opened = self.first.relay_client.opened_count
        await self.fleet.call(self.first, 'r', '/tool/x')
        self.assertEqual(self.first.relay_client.opened_count, opened)

    def send_head(self, received: ReceivedRequest) -> None:
        request_id = received.header('x-jackdawfield-request-id')
        received.writer.write(
            (
                f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
                f'{PREFIX}Server-Stamp: stamp\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )

    async def send_turn(self, request_id: str) -> Connection:
        """Send a turn to the first instance without reading its answer."""
        found = await self.fleet.pool.open(
            HOST, self.first.settings.caller_port, 1.0
        )
        connection = found.unwrap()
        headers = (
            ('Host', 'h.example'),
            (f'{PREFIX}Request-Id', request_id),
            (f'{PREFIX}Credential', 'key'),
        )
        connection.send(OutgoingRequest('POST', '/turns/x', headers)).unwrap()
        return connection
