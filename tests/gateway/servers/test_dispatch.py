import asyncio
from collections.abc import Iterable
from dataclasses import replace
import time
import unittest

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import CallHeaders
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import ForwardedHeaders
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.model import WeightedService
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.dispatch import SentCall
from jackdawfield.gateway.servers.endings import EndedServers
from jackdawfield.gateway.servers.exchange import HeaderFormat
from jackdawfield.gateway.servers.exchange import ServerExchange
from jackdawfield.gateway.servers.guard import CallGuard
from jackdawfield.gateway.servers.notices import NoticeRecorder
from jackdawfield.gateway.servers.notices import ServerNotices
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.stop_rule import StopRule
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId
from jackdawfield.model import RouteName
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script
from tests.gateway.scripted_server import ScriptedServer
from tests.gateway.servers.limits import lone_limits
from tests.gateway.servers.paths import lone_paths

SERVICE = ServiceName('service')
DOMAIN = DomainId('domain')


def encode(forwarded: ForwardedHeaders) -> list[tuple[str, str]]:
    left_ms = str(int(forwarded.time_left_s * 1000))
    return [
        *forwarded.end_to_end_headers,
        ('X-Server', forwarded.server_id),
    ] + [('X-Left', left_ms)]


def decode_notices(head: ResponseHead) -> ServerNotices:
    value = head.get('x-limit')
    limit_per_s = float(value) if value is not None else None
    return ServerNotices(limit_per_s, head.get('x-leaving') is not None)


HEADER_FORMAT = HeaderFormat(
    'x-id', 'x-not-run', 'x-sign', encode, decode_notices
)


def make_call(
    kind: CallKind, attempts: int = 2, timeout_s: float = 2.0
) -> Call:
    route = CallRoute(
        RouteName('route'),
        'host',
        '/',
        kind,
        (WeightedService(SERVICE, 1.0),),
        timeout_s,
        0.1,
        0,
        attempts,
        False,
        0.0,
        False,
    )
    end_to_end_headers = (('Host', 'host'), ('X-Id', 'a'))
    headers = CallHeaders(
        'a',
        'host',
        None,
        None,
        None,
        None,
        '',
        None,
        0,
        0,
        None,
        end_to_end_headers,
    )
    now_s = time.monotonic()
    return Call(
        'a', 'POST', '/p', headers, b'', route, None, now_s, now_s + timeout_s
    )


async def complete(received: ReceivedRequest) -> None:
    received.writer.write(received.answer(b'ok'))


async def full(received: ReceivedRequest) -> None:
    extra = 'X-Not-Run: 1\r\n'
    received.writer.write(
        received.answer(b'', '503 Service Unavailable', extra)
    )


async def misdirected(received: ReceivedRequest) -> None:
    received.writer.write(received.answer(b'', '421 Misdirected Request'))


async def cut(received: ReceivedRequest) -> None:
    received.writer.write(received.answer(b'whole')[:-2])
    await received.writer.drain()
    received.writer.close()


async def close_connection(received: ReceivedRequest) -> None:
    received.writer.close()


async def end_unframed(received: ReceivedRequest, sent: bytes) -> None:
    """Send a part of an unframed response and close the connection."""
    head = f'HTTP/1.1 200 OK\r\nX-Id: {received.header("x-id")}\r\n'
    received.writer.write(f'{head}X-Sign: s\r\n\r\n'.encode() + sent)
    await received.writer.drain()
    received.writer.close()


async def unsigned(received: ReceivedRequest) -> None:
    head = f'HTTP/1.1 200 OK\r\nX-Id: {received.header("x-id")}\r\n'
    received.writer.write(f'{head}Content-Length: 2\r\n\r\nno'.encode())


async def failing(received: ReceivedRequest) -> None:
    head = f'HTTP/1.1 500 No\r\nX-Id: {received.header("x-id")}\r\n'
    received.writer.write(f'{head}Content-Length: 2\r\n\r\nno'.encode())


async def silent(received: ReceivedRequest) -> None:
    await asyncio.sleep(1.5)


def ignore_sent() -> None:
    pass


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    async def dispatch(
        self, call: Call, scripts: Iterable[Script]
    ) -> SentCall | Refusal | Failure:
        servers = Servers(DOMAIN, {DOMAIN: RegionId('region')})
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)
        self.servers = []
        for number, script in enumerate(scripts):
            server = await ScriptedServer(script).start()
            self.addAsyncCleanup(server.stop)
            self.servers.append(server)
            # Increasing loads fix the order in which servers are chosen.
            entry = ServerEntry(
                ServerId(f's{number}'),
                SERVICE,
                '127.0.0.1',
                server.port,
                DOMAIN,
                100,
                False,
                0,
            )
            servers.put(entry)
            servers.by_id[entry.server_id].in_flight = number
        self.reported: list[ServerState] = []
        slot_queue = SlotQueue(servers, GatewayMetrics('i'))
        paths = lone_paths(servers, self.pool)
        self.addCleanup(paths.close)
        limits = lone_limits(servers)
        exchange = ServerExchange(
            servers,
            self.pool,
            paths,
            HEADER_FORMAT,
            NoticeRecorder(limits, decode_notices, 2.5),
            self.reported.append,
        )
        quarantine = Quarantine()
        ended = EndedServers(servers, paths, quarantine, lambda: None)
        self.addCleanup(ended.close)
        guard = CallGuard(quarantine, ended)
        self.stop_rule = StopRule()
        self.dispatcher = Dispatcher(
            slot_queue, exchange, guard, limits, self.stop_rule
        )
        return await self.dispatcher.start(
            call, SERVICE, b'body', None, ignore_sent
        )

    @property
    def request_counts(self) -> list[int]:
        """Return how many requests reached each server."""
        return [len(server.requests) for server in self.servers]

    # Guards against a call that is refused for the limit of one server while
    # another is only busy.
    async def test_call_waits_for_a_slot_beside_a_server_at_its_limit(
        self,
    ) -> None:
        call = make_call(CallKind.STREAM)
        outcome = await self.dispatch(call, [complete, complete])
        assert isinstance(outcome, SentCall)
        self.dispatcher.release(outcome.response, BodyEnd.WHOLE)
        limited, busy = self.dispatcher._slot_queue.servers.by_id.values()
        limited.rate_limit.record_named(2.0, time.monotonic())
        # Its expected wait is longer than that for the other's next token.
        for _ in range(20):
            busy.record_wait(2.0, time.monotonic())
        busy.concurrency_limit.limit = 1.0
        busy.in_flight = 1
        waiting = asyncio.create_task(
            self.dispatcher.start(call, SERVICE, b'body', None, ignore_sent)
        )
        await asyncio.sleep(0.3)
        self.assertFalse(waiting.done())
        self.dispatcher._slot_queue.release(busy)
        found = await waiting
        assert isinstance(found, SentCall), found
        self.assertIs(found.response.server, busy)

    async def test_does_not_retry_a_call_that_may_have_run(self) -> None:
        for kind in (CallKind.AT_MOST_ONCE, CallKind.STREAM):
            for script in (close_connection, unsigned):
                with self.subTest(kind=kind, script=script.__name__):
                    outcome = await self.dispatch(
                        make_call(kind), [script, complete]
                    )
                    assert isinstance(outcome, Failure)
                    self.assertEqual(outcome.status, 502)
                    self.assertEqual(self.request_counts, [1, 0])

    async def test_retries_a_call_that_was_not_run(self) -> None:
        for script in (full, misdirected):
            with self.subTest(script=script.__name__):
                call = make_call(CallKind.AT_MOST_ONCE)
                outcome = await self.dispatch(call, [script, complete])
                self.assertIsInstance(outcome, SentCall)
                self.assertEqual(self.request_counts, [1, 1])

    async def test_refuses_a_call_that_no_server_ran(self) -> None:
        call = make_call(CallKind.AT_MOST_ONCE)
        outcome = await self.dispatch(call, [full, full, complete])
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.status, 503)
        self.assertIsNotNone(outcome.retry_after_s)
        self.assertEqual(self.request_counts, [1, 1, 0])

    async def test_idempotent_call_is_retried_at_another_server(self) -> None:
        for script in (close_connection, cut, unsigned, silent):
            with self.subTest(script=script.__name__):
                call = make_call(CallKind.IDEMPOTENT)
                outcome = await self.dispatch(call, [script, complete])
                assert isinstance(outcome, SentCall)
                self.assertEqual(await outcome.response.next_part(), b'ok')
                self.assertIs(
                    await outcome.response.next_part(), BodyEnd.WHOLE
                )
                self.assertEqual(self.request_counts, [1, 1])

    # Guards against half a body of a server that crashed, served as whole
    # though the call may be repeated.
    async def test_idempotent_call_is_retried_after_its_server_ended(
        self,
    ) -> None:
        async def crash(received: ReceivedRequest) -> None:
            await self.servers[0].stop()
            await end_unframed(received, b'ha')

        call = make_call(CallKind.IDEMPOTENT)
        outcome = await self.dispatch(call, [crash, complete])
        assert isinstance(outcome, SentCall)
        self.assertEqual(await outcome.response.next_part(), b'ok')
        self.assertEqual(self.request_counts, [1, 1])

    async def test_unframed_response_of_a_server_that_lives_is_used(
        self,
    ) -> None:
        connections: list[int] = []

        async def unframed(received: ReceivedRequest) -> None:
            connections.append(self.servers[0].connections)
            await end_unframed(received, b'whole')

        for kind in CallKind:
            with self.subTest(kind=kind):
                outcome = await self.dispatch(make_call(kind), [unframed])
                assert isinstance(outcome, SentCall)
                response = outcome.response
                self.assertEqual(await response.next_part(), b'whole')
                self.assertIs(await response.next_part(), BodyEnd.UNCONFIRMED)
                # The look at the server has left a connection for later.
                await self.dispatcher.start(
                    make_call(kind), SERVICE, b'', None, ignore_sent
                )
                self.assertEqual(connections[-2:], [1, 2])

    async def test_unframed_response_is_cut_if_its_server_ended(self) -> None:
        async def crash(received: ReceivedRequest) -> None:
            await self.servers[0].stop()
            await end_unframed(received, b'ha')

        call = make_call(CallKind.AT_MOST_ONCE)
        outcome = await self.dispatch(call, [crash, complete])
        assert isinstance(outcome, SentCall)
        self.assertEqual(await outcome.response.next_part(), b'ha')
        self.assertIs(await outcome.response.next_part(), BodyEnd.CUT)
        self.assertEqual(self.request_counts, [1, 0])

    async def test_lost_stream_is_not_refused_for_want_of_a_slot(self) -> None:
        call = make_call(CallKind.STREAM)
        route = replace(call.route, is_resumable=True)
        call = replace(call, route=route)

        async def fill_and_close(received: ReceivedRequest) -> None:
            for state in self.dispatcher._slot_queue.servers.by_id.values():
                state.in_flight = state.entry.slots
            received.writer.close()

        outcome = await self.dispatch(call, [fill_and_close, complete])
        assert isinstance(outcome, Failure)
        self.assertEqual(outcome.status, 502)
        self.assertEqual(self.request_counts, [1, 0])

    # Guards against a sound server that the instances report to each other as
    # failing, since it ends as it has announced.
    async def test_end_of_a_leaving_server_is_no_failure(self) -> None:
        async def leave(received: ReceivedRequest) -> None:
            if len(self.servers[0].requests) > 1:
                received.writer.close()
                return
            received.writer.write(
                received.answer(b'ok', extra='X-Leaving: 1\r\n')
            )

        call = make_call(CallKind.AT_MOST_ONCE)
        await self.dispatch(call, [leave])
        outcome = await self.dispatcher.start(
            call, SERVICE, b'', None, ignore_sent
        )
        assert isinstance(outcome, Failure)
        self.assertEqual(self.request_counts, [2])
        await asyncio.sleep(0.05)
        self.assertEqual(self.reported, [])

    # Guards against a second try late in a planned stop, which may not end
    # before the instance does.
    async def test_stopping_instance_does_not_send_a_call_again(self) -> None:
        async def close_at_stop(received: ReceivedRequest) -> None:
            self.stop_rule.refuse_calls_due_after(time.monotonic())
            received.writer.close()

        call = make_call(CallKind.IDEMPOTENT)
        outcome = await self.dispatch(call, [close_at_stop, complete])
        assert isinstance(outcome, Failure)
        self.assertEqual(outcome.status, 502)
        self.assertEqual(self.request_counts, [1, 0])

    async def test_attempts_stay_within_the_limit(self) -> None:
        call = make_call(CallKind.IDEMPOTENT, attempts=2)
        outcome = await self.dispatch(
            call, [close_connection, close_connection, complete]
        )
        assert isinstance(outcome, Failure)
        self.assertEqual(self.request_counts, [1, 1, 0])

    async def test_unreached_server_counts_as_no_attempt(self) -> None:
        call = make_call(CallKind.AT_MOST_ONCE, attempts=1)
        await self.dispatch(call, [complete, complete])
        await self.servers[0].stop()
        self.pool.close()
        await asyncio.sleep(0.05)
        outcome = await self.dispatcher.start(
            call, SERVICE, b'', None, ignore_sent
        )
        self.assertIsInstance(outcome, SentCall)

    async def test_failures_are_reported(self) -> None:
        for script in (close_connection, unsigned, failing):
            with self.subTest(script=script.__name__):
                call = make_call(CallKind.AT_MOST_ONCE)
                outcome = await self.dispatch(call, [script])
                if isinstance(outcome, SentCall):
                    self.dispatcher.release(outcome.response, BodyEnd.WHOLE)
                # Its path is looked at first, as no server was heard yet.
                async with asyncio.timeout(1.0):
                    while not self.reported:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                ids = [state.entry.server_id for state in self.reported]
                self.assertEqual(ids, ['s0'])

    async def test_cancelled_call_closes_the_server_connection(self) -> None:
        call = make_call(CallKind.STREAM)
        task = asyncio.create_task(self.dispatch(call, [silent]))
        await asyncio.sleep(0.2)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.05)
        server = self.servers[0]
        self.assertTrue(server.requests[0].reader.at_eof())

    async def test_request_carries_the_remaining_time(self) -> None:
        call = make_call(CallKind.IDEMPOTENT, timeout_s=1.0)
        await self.dispatch(call, [silent, complete])
        left_ms = [int(s.requests[0].header('x-left')) for s in self.servers]
        self.assertLessEqual(left_ms[0], 1000)
        self.assertLess(left_ms[1], left_ms[0] - 200)
