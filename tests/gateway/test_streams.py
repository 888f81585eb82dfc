"""Test streams between callers and backend servers in trouble."""

import asyncio
import json
import time
import unittest

from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.storage.rows import RowKey
from tests.gateway.harness import Answer
from tests.gateway.harness import Fleet
from tests.gateway.harness import HOST
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import ScriptedServer

EVENT_COUNT = 6
WHOLE = b''.join(
    b'id: %d\ndata: text %d\n\n' % (n, n) for n in range(EVENT_COUNT)
)
TOKENS_PER_EVENT = 11
MOST = EVENT_COUNT * TOKENS_PER_EVENT


def event(number: int) -> bytes:
    return b'id: %d\ndata: text %d\n\n' % (number, number)


def send_head(received: ReceivedRequest, stamp: str = 'stamp') -> None:
    request_id = received.header('x-jackdawfield-request-id')
    received.writer.write(
        (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: {stamp}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()
    )


def send_chunk(received: ReceivedRequest, data: bytes) -> None:
    received.writer.write(b'%x\r\n%s\r\n' % (len(data), data))


def first_event(received: ReceivedRequest) -> int:
    """Return the number of the first event to send."""
    last = received.header('last-event-id')
    return int(last) + 1 if last else 0


async def whole_stream(received: ReceivedRequest) -> None:
    send_head(received)
    for number in range(first_event(received), EVENT_COUNT):
        send_chunk(received, event(number))
    received.writer.write(b'0\r\n\r\n')


async def half_an_event(received: ReceivedRequest) -> None:
    """Break off in the middle of the third event, once resumed go on."""
    if received.header('last-event-id'):
        await whole_stream(received)
        return
    send_head(received, 'first stamp')
    send_chunk(received, event(0) + event(1) + event(2)[:9])
    await received.writer.drain()
    received.writer.close()


def send_unframed_head(received: ReceivedRequest) -> None:
    """Begin a response that only the end of its connection ends."""
    request_id = received.header('x-jackdawfield-request-id')
    received.writer.write(
        (
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: unframed\r\n'
            'Content-Type: text/event-stream\r\n\r\n'
        ).encode()
    )


async def crash_inside_an_event(received: ReceivedRequest) -> None:
    """Close an unframed response in an event, once resumed go on."""
    if received.header('last-event-id'):
        await whole_stream(received)
        return
    send_unframed_head(received)
    received.writer.write(event(0) + event(1) + event(2)[:9])
    await received.writer.drain()
    received.writer.close()


async def unframed_stream(received: ReceivedRequest) -> None:
    send_unframed_head(received)
    received.writer.write(WHOLE)
    await received.writer.drain()
    received.writer.close()


async def reset_between_events(received: ReceivedRequest) -> None:
    send_unframed_head(received)
    received.writer.write(event(0) + event(1))
    await received.writer.drain()
    await asyncio.sleep(0.05)
    received.reset()


async def trickle(received: ReceivedRequest) -> None:
    """Send an event, then a byte now and then without end."""
    send_head(received)
    send_chunk(received, event(0))
    while True:
        send_chunk(received, b':')
        await received.writer.drain()
        await asyncio.sleep(0.05)


async def endless_line(received: ReceivedRequest) -> None:
    send_head(received)
    send_chunk(received, event(0))
    while True:
        send_chunk(received, b'x' * 65536)
        await received.writer.drain()


async def endless_head(received: ReceivedRequest) -> None:
    received.writer.write(b'HTTP/1.1 200 OK\r\nX-Long: ')
    while True:
        received.writer.write(b'x' * 65536)
        await received.writer.drain()


async def endless_informational_heads(received: ReceivedRequest) -> None:
    while True:
        received.writer.write(b'HTTP/1.1 102 Processing\r\n\r\n' * 100)
        await received.writer.drain()
        await asyncio.sleep(0.01)


async def endless_late_answers(received: ReceivedRequest) -> None:
    while True:
        received.writer.write(
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: other\r\n'
            f'{PREFIX}Server-Stamp: s\r\nContent-Length: 1\r\n\r\nx'.encode()
        )
        await received.writer.drain()
        await asyncio.sleep(0.01)


async def refusing(received: ReceivedRequest) -> None:
    request_id = received.header('x-jackdawfield-request-id')
    received.writer.write(
        (
            'HTTP/1.1 503 Service Unavailable\r\n'
            f'{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
        ).encode()
    )


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(2)
        self.first, self.second = self.fleet.gateways
        self.server = self.fleet.server

    async def stream(self, path: str = '/resumable/x', **more: str) -> Answer:
        more.setdefault('Program_Id', 'program')
        more.setdefault('Token_Usage', f'10,{MOST}')
        more.setdefault('Token_Budget', '1000')
        return await self.fleet.call(self.first, 'r1', path, **more)

    async def add_server(self, script: object) -> ScriptedServer:
        server = await ScriptedServer(script).start()
        self.addAsyncCleanup(server.stop)
        entry = {
            'service': 'model',
            'address': f'{HOST}:{server.port}',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
        }
        key = RowKey('servers', '', 'i-2')
        self.fleet.rows.put(key, json.dumps(entry).encode())
        await self.fleet.wait_until(lambda: len(self.first.servers.by_id) == 2)
        return server

    async def test_broken_stream_is_resumed_in_one_response(self) -> None:
        self.server.script = half_an_event
        answer = await self.stream()
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body, WHOLE)
        self.assertEqual(
            answer.headers[f'{PREFIX}server-stamp'.lower()], 'first stamp'
        )
        resumed = self.server.requests[-1]
        self.assertEqual(resumed.header('last-event-id'), '1')

    async def test_resumed_elsewhere_once_its_server_is_gone(self) -> None:
        async def end_for_good(received: ReceivedRequest) -> None:
            await self.server.stop()
            await half_an_event(received)

        self.server.script = end_for_good
        other = await self.add_server(whole_stream)
        state = self.first.servers.by_id['i-2']
        state.in_flight = 3
        answer = await self.stream()
        self.assertEqual((answer.body, answer.whole), (WHOLE, True))
        self.assertEqual(len(other.requests), 1)

    async def test_not_resumed_where_the_route_does_not_allow_it(self) -> None:
        self.server.script = half_an_event
        answer = await self.stream('/turns/x')
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(0) + event(1))
        self.assertEqual(len(self.server.requests), 1)

    # Guards against an unframed stream that broke off with its server and
    # reached the caller as complete, half an event at its end.
    async def test_unframed_stream_that_ends_inside_an_event_is_incomplete(
        self,
    ) -> None:
        self.server.script = crash_inside_an_event
        answer = await self.fleet.turn(self.first, 't1', b'input')
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(0) + event(1))
        self.assertEqual(len(self.server.requests), 1)

    async def test_turn_that_broke_off_inside_an_event_is_not_kept(
        self,
    ) -> None:
        self.server.script = crash_inside_an_event
        await self.fleet.turn(self.first, 't1', b'input')
        self.server.script = whole_stream
        answer = await self.fleet.turn(self.first, 't2', b'next', 't1')
        self.assertEqual(answer.status, 404)

    async def test_tokens_of_a_turn_that_broke_off_in_an_event_count(
        self,
    ) -> None:
        self.server.script = crash_inside_an_event
        given = 0
        for number in range(12):
            answer = await self.fleet.turn(
                self.fleet.gateways[number % 2],
                f't{number}',
                b'input',
                Token_Usage=f'10,{MOST}',
                Token_Budget=str(2 * MOST),
            )
            given += answer.body.count(b'data:') * TOKENS_PER_EVENT
        self.assertGreater(given, 0)
        self.assertLessEqual(given, 2 * MOST)
        self.assertEqual(answer.status, 402)

    async def test_unframed_stream_is_resumed_where_the_route_allows_it(
        self,
    ) -> None:
        self.server.script = crash_inside_an_event
        answer = await self.stream()
        self.assertEqual(answer.body, WHOLE)
        resumed = self.server.requests[-1]
        self.assertEqual(resumed.header('last-event-id'), '1')

    # Guards against an answer that states more about its end than its server
    # did: a last chunk after the close of a server that may have crashed.
    async def test_end_of_an_unframed_stream_is_not_confirmed(self) -> None:
        self.server.script = unframed_stream
        answer = await self.fleet.turn(
            self.first, 't1', b'input', Token_Usage=f'10,{MOST}'
        )
        self.assertEqual(answer.body, WHOLE)
        self.assertIs(answer.end, BodyEnd.UNCONFIRMED)
        self.assertEqual(answer.headers['connection'], 'close')
        self.assertNotIn('transfer-encoding', answer.headers)

    # Guards against a crash between two events that looks like an end.
    async def test_unframed_stream_is_cut_if_its_server_ended(self) -> None:
        async def crash(received: ReceivedRequest) -> None:
            await self.server.stop()
            send_unframed_head(received)
            received.writer.write(event(0) + event(1))
            await received.writer.drain()
            received.writer.close()

        self.server.script = crash
        answer = await self.fleet.turn(self.first, 't1', b'input')
        self.assertEqual(answer.body, event(0) + event(1))
        self.assertIs(answer.end, BodyEnd.CUT)

    async def test_turn_whose_end_is_not_confirmed_is_kept(self) -> None:
        self.server.script = unframed_stream
        await self.fleet.turn(
            self.first, 't1', b'input', Token_Usage=f'10,{MOST}'
        )
        answer = await self.fleet.turn(self.second, 't2', b'next', 't1')
        self.assertEqual(answer.status, 200)
        texts = b''.join(b'text %d\n' % n for n in range(EVENT_COUNT))
        self.assertEqual(
            self.server.requests[-1].body, b'input' + texts + b'next'
        )

    # Guards against a close that makes a broken unframed answer look whole.
    async def test_broken_unframed_answer_is_reset(self) -> None:
        self.server.script = reset_between_events
        answer = await self.fleet.turn(
            self.first, 't1', b'input', Token_Usage=f'10,{MOST}'
        )
        self.assertEqual(answer.body, event(0) + event(1))
        self.assertIs(answer.end, BodyEnd.CUT)

    # Guards against a close that makes a broken answer look whole to a caller
    # that knows no chunks.
    async def test_broken_answer_to_a_caller_of_http_1_0_is_reset(
        self,
    ) -> None:
        self.server.script = half_an_event
        with self.assertRaises(ConnectionResetError):
            await self.read_as_http_1_0()

    async def test_whole_answer_to_a_caller_of_http_1_0_is_closed(
        self,
    ) -> None:
        self.server.script = whole_stream
        answer = await self.read_as_http_1_0()
        self.assertTrue(answer.endswith(b'\r\n\r\n' + WHOLE))

    async def read_as_http_1_0(self) -> bytes:
        """Send a turn in HTTP/1.0 and read until its connection ends."""
        reader, writer = await asyncio.open_connection(
            HOST, self.first.settings.caller_port
        )
        writer.write(
            (
                'POST /turns/x HTTP/1.0\r\nHost: h.example\r\n'
                'Connection: keep-alive\r\nContent-Length: 0\r\n'
                f'{PREFIX}Request-Id: r1\r\n{PREFIX}Credential: key\r\n\r\n'
            ).encode()
        )
        try:
            async with asyncio.timeout(2.0):
                return await reader.read()
        finally:
            writer.close()

    async def test_refused_resumption_ends_as_incomplete(self) -> None:
        async def refuse_to_resume(received: ReceivedRequest) -> None:
            if received.header('last-event-id'):
                await refusing(received)
                return
            await half_an_event(received)

        self.server.script = refuse_to_resume
        answer = await self.stream()
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(0) + event(1))

    async def test_caller_resumes_after_its_last_event(self) -> None:
        self.server.script = whole_stream
        found = await self.fleet.pool.open(
            HOST, self.first.settings.caller_port, 1.0
        )
        connection = found.unwrap()
        headers = (
            ('Host', 'h.example'),
            (f'{PREFIX}Request-Id', 'r2'),
            (f'{PREFIX}Credential', 'key'),
            ('Last-Event-Id', '3'),
        )
        connection.send(
            OutgoingRequest('POST', '/resumable/x', headers)
        ).unwrap()
        body = b''
        while not isinstance(part := await connection.next_part(), BodyEnd):
            body += part if isinstance(part, bytes) else b''
        self.assertEqual(body, event(4) + event(5))
        connection.abort(LossReason.DONE)

    async def test_trickling_stream_ends_by_its_last_event(self) -> None:
        self.server.script = trickle
        started_s = time.monotonic()
        answer = await self.stream('/turns/x')
        self.assertLess(time.monotonic() - started_s, 2.9)
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(0))

    async def test_endless_line_ends_within_bounded_memory(self) -> None:
        self.server.script = endless_line
        answer = await self.stream('/turns/x')
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(0))
        self.assertEqual(self.first.caller_listener.in_flight, 0)

    async def test_endless_heads_fail_truly(self) -> None:
        for script in (
            endless_head,
            endless_informational_heads,
            endless_late_answers,
        ):
            with self.subTest(script=script.__name__):
                self.server.script = script
                started_s = time.monotonic()
                answer = await self.stream('/tool/x')
                # Well before the deadline of the call.
                self.assertLess(time.monotonic() - started_s, 2.0)
                self.assertEqual(answer.status, 502)

    async def test_budget_holds_on_routes_without_turns(self) -> None:
        self.server.script = whole_stream
        budget = str(3 * MOST)
        statuses = []
        for number in range(6):
            answer = await self.fleet.call(
                self.fleet.gateways[number % 2],
                f'r{number}',
                '/resumable/x',
                Program_Id='program',
                Token_Usage=f'10,{MOST}',
                Token_Budget=budget,
            )
            statuses.append(answer.status)
        self.assertEqual(statuses, [200, 200, 200, 402, 402, 402])
        self.assertEqual(len(self.server.requests), 3)

    async def test_spent_budget_is_known_before_the_call_runs(self) -> None:
        self.server.script = whole_stream
        order = (0, 1, 1, 1, 0)
        statuses = []
        for number, gateway in enumerate(order):
            answer = await self.fleet.call(
                self.fleet.gateways[gateway],
                f'r{number}',
                '/resumable/x',
                Program_Id='program',
                Token_Usage=f'10,{MOST}',
                Token_Budget=str(4 * MOST),
            )
            statuses.append(answer.status)
        # The first instance has read the row when one call was served.
        self.assertEqual(statuses, [200, 200, 200, 200, 402])
        self.assertEqual(len(self.server.requests), 4)

    async def test_tokens_of_broken_attempts_count(self) -> None:
        async def always_half(received: ReceivedRequest) -> None:
            send_head(received)
            send_chunk(received, event(0) + event(1))
            await received.writer.drain()
            received.writer.close()

        self.server.script = always_half
        given = 0
        for number in range(12):
            answer = await self.fleet.call(
                self.fleet.gateways[number % 2],
                f'r{number}',
                '/turns/x',
                Program_Id='program',
                Token_Usage=f'10,{MOST}',
                Token_Budget=str(2 * MOST),
            )
            given += answer.body.count(b'data:') * TOKENS_PER_EVENT
        self.assertLessEqual(given, 2 * MOST)
        self.assertEqual(answer.status, 402)

    async def test_stream_waits_for_the_store_before_its_events(self) -> None:
        self.server.script = whole_stream
        self.fleet.store.is_refusing = True
        answer = await self.stream(Deadline_Ms='500')
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers['retry-after']), 0)
        self.assertEqual(len(self.server.requests), 0)

    async def test_head_of_each_response_is_a_response_head(self) -> None:
        self.server.script = whole_stream
        answer = await self.stream()
        self.assertEqual(answer.headers['content-type'], 'text/event-stream')
        self.assertIsNone(ResponseHead(200, '', ()).get('none'))
