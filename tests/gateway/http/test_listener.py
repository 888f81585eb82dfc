"""Test the listener for callers: closed connections, bodies without end."""

import asyncio
import socket
import time
import unittest
from unittest.mock import patch

from jackdawfield.gateway.http.caller_exchange import Exchange
from jackdawfield.gateway.http.caller_exchange import IncomingRequest
from jackdawfield.gateway.http.caller_stream import CloseReason
from jackdawfield.gateway.http.listener import HttpListener
from jackdawfield.gateway.http.listener import MAX_HEADER_BYTES
from jackdawfield.gateway.http.reply import Reply
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST

HEAD = b'POST /p HTTP/1.1\r\nHost: h\r\n'
REQUEST = HEAD + b'Content-Length: 2\r\n\r\nok'
LIMIT_BYTES = 100_000
# More turns of the event loop than a request takes until its answer.
MAX_TURNS = 12


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bodies: list[bytes] = []
        self.listener = HttpListener(self.handle)
        self.listener.state.max_body_bytes = LIMIT_BYTES
        self.port = free_port()
        self.listener.listen(HOST, self.port)
        self.addAsyncCleanup(self.listener.close)

    async def handle(self, request: IncomingRequest, reply: Reply) -> None:
        self.bodies.append(request.body)
        reply.send(200, 'done')

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(3.0):
            try:
                return await reader.read()
            except ConnectionError:
                return b''

    async def test_connection_that_waits_at_a_stop_is_answered(self) -> None:
        # The kernel has established it, and the loop has not accepted it yet.
        sock = socket.create_connection((HOST, self.port))
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        self.listener.disable_keep_alive()
        self.listener.stop_listening()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(3.0):
            answer = await loop.sock_recv(sock, 1000)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertIn(b'Connection: close', answer)
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()

    async def kept_connection(self) -> socket.socket:
        """Return a connection that has carried a request and is idle."""
        sock = socket.create_connection((HOST, self.port))
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        sock.setblocking(False)
        await self.read_answer(sock)
        # The listener waits for the next request a turn after its answer.
        await asyncio.sleep(0.01)
        return sock

    async def read_answer(self, sock: socket.socket) -> bytes:
        """Return what the caller has received once its answer is whole."""
        received = b''
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(3.0):
            while not received.endswith(b'done\n'):
                try:
                    piece = await loop.sock_recv(sock, 1000)
                except ConnectionError:
                    return received
                if not piece:
                    return received
                received += piece
        return received

    # Guards against a request that is lost because its connection is closed
    # as idle while the request's bytes are not read or not parsed yet.
    async def test_request_that_arrived_before_an_idle_close_is_answered(
        self,
    ) -> None:
        unanswered_after_turns = []
        for turns in range(MAX_TURNS):
            sock = await self.kept_connection()
            sock.send(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            self.listener.close_idle()
            answer = await self.read_answer(sock)
            if not answer.startswith(b'HTTP/1.1 200'):
                unanswered_after_turns.append(turns)
        self.assertEqual(unanswered_after_turns, [])

    # Guards against a request that runs for a caller that cannot receive its
    # answer, since its connection was closed before the request was parsed.
    async def test_request_on_a_closed_connection_is_not_handled(self) -> None:
        closed_by: list[CloseReason | None] = []

        async def handle(_: IncomingRequest, reply: Reply) -> None:
            closed_by.append(reply.closed_by)
            reply.send(200, 'done')

        for turns in range(MAX_TURNS):
            sock = await self.kept_connection()
            self.listener.state.handler = handle
            sock.send(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            await self.listener.close()
            await asyncio.sleep(0.01)
            self.listener.state.handler = self.handle
        self.assertEqual(set(closed_by), {None})
        self.assertEqual(self.listener.in_flight, 0)

    # Guards against a request that is lost because a timer for idle
    # connections is due in the turn of the loop in which its bytes are read.
    async def test_request_that_arrived_before_the_idle_limit_is_answered(
        self,
    ) -> None:
        with (
            patch(f'{Exchange.__module__}.IDLE_LIMIT_S', 0.1),
            patch(f'{HttpListener.__module__}.EXPIRY_INTERVAL_S', 0.05),
        ):
            self.listener.stop_listening()
            self.listener = HttpListener(self.handle)
            self.listener.listen(HOST, self.port)
            self.addAsyncCleanup(self.listener.close)
            sock = await self.kept_connection()
            sock.send(REQUEST)
            # The loop is held up past the limit.
            time.sleep(0.2)
            answer = await self.read_answer(sock)
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
            self.assertEqual(await self.read_answer(sock), b'')

    async def test_head_that_stays_incomplete_ends_the_connection(
        self,
    ) -> None:
        with (
            patch(f'{Exchange.__module__}.HEAD_TIMEOUT_S', 0.1),
            patch(f'{HttpListener.__module__}.EXPIRY_INTERVAL_S', 0.05),
        ):
            self.listener.stop_listening()
            self.listener.listen(HOST, self.port)
            reader, writer = await self.connect()
            writer.write(HEAD)
            self.assertEqual(await self.read_all(reader), b'')
        self.assertEqual(self.listener.open_connections, 0)

    # Guards against a whole request that ends without an answer since its
    # handler's task is cancelled before its first step.
    async def test_request_that_is_cancelled_as_it_starts_is_answered(
        self,
    ) -> None:
        unanswered_after_turns = []
        for turns in range(MAX_TURNS):
            sock = await self.kept_connection()
            sock.send(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            self.listener.cancel_requests()
            await asyncio.sleep(0.05)
            await self.listener.close()
            answer = await self.read_answer(sock)
            if not answer.startswith(b'HTTP/1.1 200'):
                unanswered_after_turns.append(turns)
        self.assertEqual(unanswered_after_turns, [])

    # Guards against a request that counts as not arrived, since its first
    # bytes came in one segment with the request before it.
    async def test_request_begun_with_the_one_before_it_is_not_idle(
        self,
    ) -> None:
        unanswered_after_bytes = []
        for count in (10, len(REQUEST) - 2, len(REQUEST) - 1):
            sock = socket.create_connection((HOST, self.port))
            self.addCleanup(sock.close)
            sock.sendall(REQUEST + REQUEST[:count])
            sock.setblocking(False)
            await self.read_answer(sock)
            await asyncio.sleep(0.01)
            self.listener.close_idle()
            sock.send(REQUEST[count:])
            answer = await self.read_answer(sock)
            if not answer.startswith(b'HTTP/1.1 200'):
                unanswered_after_bytes.append(count)
        self.assertEqual(unanswered_after_bytes, [])

    # Guards against callers that send on a connection that is about to be
    # closed, as the answer to a request from before the stop did not say so.
    async def test_answer_after_keep_alive_has_ended_announces_the_close(
        self,
    ) -> None:
        may_answer = asyncio.Event()

        async def handle(_: IncomingRequest, reply: Reply) -> None:
            await may_answer.wait()
            reply.send(200, 'done')

        self.listener.state.handler = handle
        sock = socket.create_connection((HOST, self.port))
        self.addCleanup(sock.close)
        sock.sendall(REQUEST)
        sock.setblocking(False)
        await asyncio.sleep(0.05)
        self.assertEqual(self.listener.in_flight, 1)
        self.listener.disable_keep_alive()
        may_answer.set()
        answer = await self.read_answer(sock)
        self.assertIn(b'\r\nConnection: close\r\n', answer)

    def expect_bodies_within(self, limit_s: float) -> None:
        """Limit the time in which bodies have to arrive."""
        module = Exchange.__module__
        self.enterContext(patch(f'{module}.BODY_TIMEOUT_S', limit_s))
        interval = f'{HttpListener.__module__}.EXPIRY_INTERVAL_S'
        self.enterContext(patch(interval, 0.05))
        self.listener.stop_listening()
        self.listener.listen(HOST, self.port)

    # Guards against a whole request that is closed without an answer since
    # its last byte arrives in the turn in which the body's limit ends.
    async def test_body_that_completes_at_its_limit_is_handled(self) -> None:
        self.expect_bodies_within(0.5)
        sock = await self.kept_connection()
        sock.send(REQUEST[:-1])
        await asyncio.sleep(0.3)
        sock.send(REQUEST[-1:])
        # The loop is late, so that the limit and the byte come together.
        time.sleep(0.3)
        answer = await self.read_answer(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))

    async def test_body_that_stays_incomplete_is_refused(self) -> None:
        self.expect_bodies_within(0.1)
        reader, writer = await self.connect()
        writer.write(REQUEST[:-1])
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b'HTTP/1.1 408'))
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.listener.in_flight, 0)

    # Guards against callers of HTTP/1.0 that are promised that a connection
    # is kept which closes.
    async def test_closing_connection_of_http_1_0_is_not_called_kept(
        self,
    ) -> None:
        reader, writer = await self.connect()
        self.listener.disable_keep_alive()
        writer.write(
            b'GET /p HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n'
        )
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertNotIn(b'keep-alive', answer.lower())

    # Guards against refusals of HEAD requests that end without an answer.
    async def test_head_request_is_answered_without_a_body(self) -> None:
        reader, writer = await self.connect()
        writer.write(
            b'HEAD /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        )
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    # Guards against a request that is lost since the time limit of an idle
    # connection ends in the turn in which the request is read.
    async def test_request_that_arrives_at_the_idle_limit_is_answered(
        self,
    ) -> None:
        limit = patch(f'{Exchange.__module__}.IDLE_LIMIT_S', 1.0)
        interval = patch(f'{HttpListener.__module__}.EXPIRY_INTERVAL_S', 0.1)
        self.enterContext(limit)
        self.enterContext(interval)
        listener = HttpListener(self.handle)
        port = free_port()
        listener.listen(HOST, port)
        self.addAsyncCleanup(listener.close)
        sock = socket.create_connection((HOST, port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        await asyncio.sleep(0.05)
        sock.send(REQUEST)
        # The loop is late, so that the limit and the request come together.
        time.sleep(1.0)
        answer = await self.read_answer(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))

    # Guards against connections that stay open after the listener's close.
    async def test_close_ends_connections_that_were_just_accepted(
        self,
    ) -> None:
        sock = socket.create_connection((HOST, self.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        self.listener.stop_listening()
        await self.listener.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.listener.open_connections, 0)

    # Guards against logs that blame the caller for the instance's own close.
    async def test_close_after_the_last_response_is_not_the_callers(
        self,
    ) -> None:
        self.listener.disable_keep_alive()
        reader, writer = await self.connect()
        with self.assertLogs('jackdawfield', 'WARNING') as logs:
            writer.write(REQUEST + REQUEST)
            await self.read_all(reader)
            await asyncio.sleep(0.05)
        self.assertNotIn('closed_by=caller', logs.output[0])

    # Guards against memory that grows with each connection that has closed.
    async def test_closed_connections_are_forgotten(self) -> None:
        for _ in range(20):
            (await self.kept_connection()).close()
        self.listener.disable_keep_alive()
        for _ in range(20):
            sock = socket.create_connection((HOST, self.port))
            self.addCleanup(sock.close)
            sock.sendall(REQUEST)
            sock.setblocking(False)
            await self.read_answer(sock)
        await asyncio.sleep(0.05)
        self.assertEqual(self.listener.open_connections, 0)

    async def test_announced_body_over_the_limit_is_refused_at_once(
        self,
    ) -> None:
        reader, writer = await self.connect()
        head = (
            f'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: {10**6}\r\n\r\n'
        )
        writer.write(head.encode())
        async with asyncio.timeout(3.0):
            line = await reader.readline()
        self.assertTrue(line.startswith(b'HTTP/1.1 413'))
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.listener.in_flight, 0)

    async def test_chunked_body_without_end_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
        chunk = b'4000\r\n' + b'x' * 0x4000 + b'\r\n'
        for _ in range(LIMIT_BYTES // 0x4000 + 1):
            writer.write(chunk)
        async with asyncio.timeout(3.0):
            line = await reader.readline()
        self.assertTrue(line.startswith(b'HTTP/1.1 413'))
        self.assertEqual(self.listener.in_flight, 0)

    async def test_head_without_end_ends_the_connection(self) -> None:
        reader, writer = await self.connect()
        writer.write(b'GET /p HTTP/1.1\r\nHost: h\r\nX: ')
        for _ in range(MAX_HEADER_BYTES // 0x4000 + 2):
            writer.write(b'x' * 0x4000)
        answer = await self.read_all(reader)
        self.assertNotIn(b'200', answer)
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.listener.in_flight, 0)

    async def test_body_within_the_limit_is_handled(self) -> None:
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(REQUEST)
            async with asyncio.timeout(3.0):
                head = await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(5)
            self.assertTrue(head.startswith(b'HTTP/1.1 200'))
        self.assertEqual(self.bodies, [b'ok', b'ok'])
