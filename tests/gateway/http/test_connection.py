import asyncio
import errno
import unittest

from result import Err

from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.connection import KEEPALIVE_IDLE_S
from jackdawfield.gateway.http.connection import KEEPALIVE_INTERVAL_S
from jackdawfield.gateway.http.connection import TCP_USER_TIMEOUT_MS
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.work_slices import WorkSlices
from tests.gateway.scripted_server import answer
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script
from tests.gateway.scripted_server import ScriptedServer

HOST = '127.0.0.1'
TIMEOUT_S = 2.0
# Sound servers may be silent for about as long.
SILENCE_S = 1.0


def request(name: str, body: bytes = b'') -> OutgoingRequest:
    headers = (('Host', 'h'), ('X-Id', name))
    return OutgoingRequest('POST', '/p', headers, body, 'x-id', name)


async def read(connection: Connection) -> tuple[int, bytes, BodyEnd]:
    """Return status, body and end of a response, status 0 without one."""
    async with asyncio.timeout(TIMEOUT_S):
        status = 0
        body = b''
        while True:
            match await connection.next_part():
                case ResponseHead(status=code):
                    status = code
                case bytes(piece):
                    body += piece
                case BodyEnd() as end:
                    return status, body, end


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.pool = ConnectionPool()

    async def serve(self, script: Script) -> ScriptedServer:
        server = await ScriptedServer(script).start()
        self.addAsyncCleanup(server.stop)
        self.addCleanup(self.pool.close)
        return server

    async def connect(self, server: ScriptedServer) -> Connection:
        found = await self.pool.acquire(HOST, server.port, TIMEOUT_S)
        return found.unwrap()

    async def exchange(
        self, server: ScriptedServer, name: str
    ) -> tuple[int, bytes, BodyEnd]:
        connection = await self.connect(server)
        connection.send(request(name)).unwrap()
        outcome = await read(connection)
        self.pool.release(HOST, server.port, connection)
        return outcome

    async def test_reuses_a_clean_connection(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(received.answer(b'ok'))

        server = await self.serve(script)
        for name in 'abc':
            outcome = await self.exchange(server, name)
            self.assertEqual(outcome, (200, b'ok', BodyEnd.WHOLE))
        self.assertEqual(server.connections, 1)

    # Guards against the refusal of an earlier try that is taken as the answer
    # to a later one of the same request, which may run.
    async def test_connection_carries_a_request_once(self) -> None:
        async def refuse_twice(received: ReceivedRequest) -> None:
            refusal = received.answer(b'', '503 Service Unavailable')
            received.writer.write(refusal)
            if received is server.requests[0]:
                return
            await received.writer.drain()

        server = await self.serve(refuse_twice)
        connection = await self.connect(server)
        connection.send(request('a')).unwrap()
        self.assertEqual((await read(connection))[0], 503)
        self.pool.release(HOST, server.port, connection)
        again = await self.connect(server)
        self.assertIs(again, connection)
        sent = again.send(request('a'))
        assert isinstance(sent, Err), sent
        self.assertIs(sent.err_value.fault, Fault.NOT_SENT)
        self.assertEqual(len(server.requests), 1)
        # Another request goes over a connection of its own.
        outcome = await self.exchange(server, 'b')
        self.assertEqual(outcome[0], 503)

    # Guards against a head that stops in the middle and counts as one without
    # a body, or with a short one.
    async def test_head_that_stops_at_any_byte_is_no_answer(self) -> None:
        whole = answer('a', b'ok')
        head_size = whole.index(b'ok')
        for size in range(head_size):

            async def stop(
                received: ReceivedRequest, size: int = size
            ) -> None:
                received.writer.write(whole[:size])
                await received.writer.drain()
                received.writer.close()

            server = await ScriptedServer(stop).start()
            connection = await self.connect(server)
            connection.send(request('a')).unwrap()
            outcome = await read(connection)
            self.assertEqual(outcome, (0, b'', BodyEnd.CUT), whole[:size])
            await server.stop()

    async def test_closes_a_connection_with_surplus_bytes(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(
                received.answer(b'ok') + received.answer(b'ok')
            )

        server = await self.serve(script)
        await self.exchange(server, 'a')
        outcome = await self.exchange(server, 'b')
        self.assertEqual(outcome, (200, b'ok', BodyEnd.WHOLE))
        self.assertEqual(server.connections, 2)

    async def test_closes_an_idle_connection_that_receives_bytes(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(received.answer(b'ok'))
            await received.writer.drain()
            await asyncio.sleep(0.05)
            received.writer.write(received.answer(b'again'))

        server = await self.serve(script)
        await self.exchange(server, 'a')
        await asyncio.sleep(0.1)
        outcome = await self.exchange(server, 'b')
        self.assertEqual(outcome, (200, b'ok', BodyEnd.WHOLE))
        self.assertEqual(server.connections, 2)

    async def test_late_response_to_an_earlier_request_is_skipped(
        self,
    ) -> None:
        async def script(received: ReceivedRequest) -> None:
            if received.header('x-id') == 'b':
                received.writer.write(answer('a', b'late'))
            received.writer.write(received.answer(b'ok'))

        server = await self.serve(script)
        await self.exchange(server, 'a')
        outcome = await self.exchange(server, 'b')
        self.assertEqual(outcome, (200, b'ok', BodyEnd.WHOLE))
        self.assertEqual(len(server.requests), 2)

    async def test_unnamed_late_response_is_not_the_next_ones(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            if received.header('x-id') == 'a':
                received.writer.write(received.answer(b'first'))
                return
            late = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst'
            received.writer.write(late + received.answer(b'second'))

        server = await self.serve(script)
        self.assertEqual(
            await self.exchange(server, 'a'), (200, b'first', BodyEnd.WHOLE)
        )
        status, body, end = await self.exchange(server, 'b')
        self.assertEqual((status, body, end), (0, b'', BodyEnd.CUT))

    async def test_skipped_responses_are_limited(self) -> None:
        interim = b'HTTP/1.1 102 Processing\r\n\r\n'
        for head, limit in ((interim, 8), (answer('z', b''), 8)):
            for count, expected in ((limit, 200), (limit + 1, 0)):

                async def script(
                    received: ReceivedRequest,
                    sent: bytes = head * count,
                ) -> None:
                    received.writer.write(sent + received.answer(b'ok'))

                server = await self.serve(script)
                status, _, _ = await self.exchange(server, 'a')
                self.assertEqual(status, expected)

    async def test_response_cut_within_its_body_is_not_whole(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(received.answer(b'whole')[:-2])
            await received.writer.drain()
            received.writer.close()

        server = await self.serve(script)
        status, body, end = await self.exchange(server, 'a')
        self.assertEqual((status, body, end), (200, b'who', BodyEnd.CUT))

    # Guards against a log that names a server's bytes where it has closed.
    async def test_a_cut_answer_is_not_logged_as_malformed(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(received.answer(b'whole')[:-2])
            await received.writer.drain()
            received.writer.close()

        server = await self.serve(script)
        with self.assertNoLogs('jackdawfield.gateway.http', 'WARNING'):
            await self.exchange(server, 'a')

    async def test_response_without_length_ends_with_its_connection(
        self,
    ) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(b'HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody')
            await received.writer.drain()
            received.writer.close()

        server = await self.serve(script)
        outcome = await self.exchange(server, 'a')
        # A server that crashes closes its connections just like that.
        self.assertEqual(outcome, (200, b'body', BodyEnd.UNCONFIRMED))

    async def test_reset_response_without_length_is_not_whole(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(b'HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbody')
            await received.writer.drain()
            await asyncio.sleep(0.05)
            received.reset()

        server = await self.serve(script)
        _, _, end = await self.exchange(server, 'a')
        self.assertIs(end, BodyEnd.CUT)

    # Guards against streams that are cut because their server was silent for a
    # second while it computed: Linux ends a connection at the first probe
    # that is due TCP_USER_TIMEOUT after the last byte, whatever their number.
    def test_keep_alive_outlasts_a_second_of_silence(self) -> None:
        limit_s = TCP_USER_TIMEOUT_MS / 1000
        due_s = float(KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S)
        while due_s < limit_s:
            due_s += KEEPALIVE_INTERVAL_S
        # The first probe is lost if the silence begins just before it.
        self.assertGreaterEqual(due_s - KEEPALIVE_IDLE_S, 2 * SILENCE_S)

    # Guards against servers that seem to have ended, and requests that are
    # blamed for it, because nothing got through to them.
    async def test_timeout_of_the_kernel_is_no_close_by_the_server(
        self,
    ) -> None:
        for error, is_closed in (
            (TimeoutError(errno.ETIMEDOUT, 'timed out'), False),
            (OSError(errno.EHOSTUNREACH, 'no route'), False),
            (ConnectionResetError(errno.ECONNRESET, 'reset'), True),
            (None, True),
        ):
            connection = Connection(WorkSlices())
            connection.connection_lost(error)
            self.assertIs(connection.is_closed_by_server, is_closed)

    async def test_malformed_response_counts_as_cut(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(b'\x00\x01garbage\r\n\r\n')

        server = await self.serve(script)
        status, _, end = await self.exchange(server, 'a')
        self.assertEqual((status, end), (0, BodyEnd.CUT))

    async def test_request_is_never_sent_again(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.close()

        server = await self.serve(script)
        _, _, end = await self.exchange(server, 'a')
        self.assertIs(end, BodyEnd.CUT)
        await asyncio.sleep(0.1)
        self.assertEqual(len(server.requests), 1)

    async def test_send_on_a_lost_connection_fails_as_not_sent(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            received.writer.write(received.answer(b'ok'))
            await received.writer.drain()
            received.writer.close()

        server = await self.serve(script)
        connection = await self.connect(server)
        connection.send(request('a')).unwrap()
        await read(connection)
        await asyncio.sleep(0.05)
        sent = connection.send(request('b'))
        assert isinstance(sent, Err)
        self.assertIs(sent.err_value.fault, Fault.NOT_SENT)

    async def test_close_header_ends_the_connection(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            extra = 'Connection: close\r\n'
            received.writer.write(received.answer(b'ok', extra=extra))

        server = await self.serve(script)
        await self.exchange(server, 'a')
        await self.exchange(server, 'b')
        self.assertEqual(server.connections, 2)

    async def test_idle_timeout_of_the_server_is_respected(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            extra = 'Keep-Alive: timeout=1\r\n'
            received.writer.write(received.answer(b'ok', extra=extra))

        server = await self.serve(script)
        await self.exchange(server, 'a')
        await asyncio.sleep(0.5)
        await self.exchange(server, 'b')
        self.assertEqual(server.connections, 2)

    async def test_early_response_to_an_unread_body_ends_the_connection(
        self,
    ) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer('a', b'no', '400 Bad Request'))
            await writer.drain()
            await asyncio.sleep(1.0)
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        found = await self.pool.acquire(HOST, port, TIMEOUT_S)
        connection = found.unwrap()
        connection.send(request('a', b'x' * 20_000_000)).unwrap()
        status, _, _ = await read(connection)
        self.assertEqual(status, 400)
        self.assertFalse(connection.reset_for_reuse())

    async def test_refused_connection_fails_as_not_sent(self) -> None:
        async def script(received: ReceivedRequest) -> None:
            return

        server = await self.serve(script)
        port = server.port
        await server.stop()
        found = await self.pool.open(HOST, port, TIMEOUT_S)
        assert isinstance(found, Err)
        self.assertIs(found.err_value.fault, Fault.NOT_SENT)
