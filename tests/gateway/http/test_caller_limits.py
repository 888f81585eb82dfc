"""Test the sum of what callers hold, and the listener at its limits."""

import asyncio
import socket
import time
import unittest
from unittest.mock import patch

from jackdawfield.gateway.http.caller_exchange import Exchange
from jackdawfield.gateway.http.caller_exchange import IncomingRequest
from jackdawfield.gateway.http.caller_limits import CallerLimits
from jackdawfield.gateway.http.caller_limits import MAX_HEADER_FIELDS
from jackdawfield.gateway.http.caller_stream import CallerStream
from jackdawfield.gateway.http.listener import HttpListener
from jackdawfield.gateway.http.memory_budget import CONNECTION_BYTES
from jackdawfield.gateway.http.memory_budget import Holder
from jackdawfield.gateway.http.memory_budget import Phase
from jackdawfield.gateway.http.reply import Reply
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST

HEAD = b'POST /p HTTP/1.1\r\nHost: h\r\n'
BODY_BYTES = 1024 * 1024
BUDGET_BYTES = 4 * BODY_BYTES
WHOLE = HEAD + b'Content-Length: %d\r\n\r\n' % BODY_BYTES + b'x' * BODY_BYTES
SMALL = HEAD + b'Content-Length: 2\r\n\r\nok'


class FakeHolding:
    """Stands for a connection of which some bytes are held."""

    held_bytes = 0
    copy_bytes = 0

    def __init__(self, limits: CallerLimits, age_s: float) -> None:
        self.phase = Phase.ARRIVING
        self.has_given_way = False
        self._limits = limits
        self._began_at_s = time.monotonic() - age_s

    def describe(self, number: int) -> Holder:
        return Holder(
            number,
            'address',
            self.phase,
            self.held_bytes,
            0,
            self._began_at_s,
            time.monotonic(),
        )

    def give_way(self, reason: str) -> int:
        self.has_given_way = True
        self._limits.discard(self)
        return 503


class WholeBodyTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a whole body that gives way to itself, as the newest.
    async def test_unfinished_body_gives_way_to_a_whole_one(self) -> None:
        limits = CallerLimits(20 * BODY_BYTES)
        handled, unfinished, whole = (
            FakeHolding(limits, age_s) for age_s in (3.0, 2.0, 1.0)
        )
        for holding, count in ((handled, 1), (unfinished, 6), (whole, 4)):
            limits.add(holding)
            limits.charge(holding, count * BODY_BYTES)
        limits.admit_body(handled, BODY_BYTES)
        handled.phase = Phase.HANDLED
        self.assertIsNotNone(limits.admit_body(whole, 4 * BODY_BYTES))
        self.assertTrue(unfinished.has_given_way)
        self.assertFalse(whole.has_given_way)


class CallerLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bodies: list[bytes] = []
        self.dropped: list[bool] = []
        self.answer = asyncio.Event()
        self.answer.set()
        self.reasons: list[tuple[int, str]] = []
        self.limits = CallerLimits(
            BUDGET_BYTES,
            max_connections=8,
            count_reason=lambda _, status, reason: self.reasons.append(
                (status, reason)
            ),
        )
        self.listener = HttpListener(self.handle, self.limits)
        self.listener.state.max_body_bytes = BODY_BYTES
        self.port = free_port()
        self.listener.listen(HOST, self.port)
        self.addAsyncCleanup(self.listener.close)

    async def handle(self, request: IncomingRequest, reply: Reply) -> None:
        self.bodies.append(request.body)
        self.dropped.append(request.is_body_dropped)
        await self.answer.wait()
        reply.send(200, 'done')

    async def send(self, data: bytes) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def status(self, reader: asyncio.StreamReader) -> int:
        async with asyncio.timeout(3.0):
            line = await reader.readline()
        return int(line.split()[1]) if line else 0

    async def wait_until_held(self, count: int) -> None:
        async with asyncio.timeout(3.0):
            while self.limits.held_bytes < count:
                await asyncio.sleep(0.01)

    async def test_nothing_is_held_once_callers_have_left(self) -> None:
        for data in (SMALL, WHOLE, WHOLE[:-1], HEAD[:9]):
            _, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(data)
            async with asyncio.timeout(3.0):
                while not self.limits.held_bytes:
                    await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(3.0):
                while self.limits.held_bytes or self.limits.open_connections:
                    await asyncio.sleep(0.01)

    # Guards against a sum that drifts with each request of a connection.
    async def test_idle_connection_holds_the_same_after_each_request(
        self,
    ) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.close)
        for data in (WHOLE, SMALL, WHOLE, WHOLE):
            writer.write(data)
            async with asyncio.timeout(3.0):
                await reader.readuntil(b'done\n')
                while self.limits.held_bytes != CONNECTION_BYTES:
                    await asyncio.sleep(0.01)
        # A second large body finds room beside a first one again.
        self.limits.budget_bytes = 7 * BODY_BYTES
        self.answer.clear()
        writer.write(WHOLE)
        other = await self.send(WHOLE)
        async with asyncio.timeout(3.0):
            while len(self.bodies) < 6:
                await asyncio.sleep(0.01)
        self.answer.set()
        self.assertEqual(await self.status(other), 200)

    async def test_body_that_makes_no_progress_is_refused(self) -> None:
        with (
            patch(f'{Exchange.__module__}.BODY_STALL_S', 0.1),
            patch(f'{HttpListener.__module__}.EXPIRY_INTERVAL_S', 0.05),
        ):
            self.listener._close_expired()
            reader = await self.send(WHOLE[:-1])
            self.assertEqual(await self.status(reader), 408)
        self.assertEqual(self.bodies, [])
        self.assertIn((408, 'body incomplete'), self.reasons)

    async def test_newest_unfinished_body_is_refused_as_not_run(self) -> None:
        first = [await self.send(WHOLE[:-1]) for _ in range(3)]
        await self.wait_until_held(3 * BODY_BYTES)
        newest = await self.send(WHOLE[:-1])
        head = await newest.readuntil(b'\r\n\r\n')
        self.assertIn(b' 503 ', head)
        self.assertIn(b'Retry-After', head)
        self.assertEqual(self.bodies, [])
        self.assertEqual(self.reasons, [(503, 'memory')])
        self.assertTrue(all(not reader.at_eof() for reader in first))
        self.assertEqual(await self.status(await self.send(SMALL)), 200)

    async def test_largest_body_is_served_beside_unfinished_ones(
        self,
    ) -> None:
        for _ in range(2):
            await self.send(WHOLE[:-1])
        await self.wait_until_held(2 * BODY_BYTES)
        self.assertEqual(await self.status(await self.send(WHOLE)), 200)
        self.assertEqual(self.bodies, [b'x' * BODY_BYTES])

    async def test_whole_body_without_room_is_refused_as_not_run(
        self,
    ) -> None:
        self.answer.clear()
        running = await self.send(WHOLE)
        await self.wait_until_held(3 * BODY_BYTES)
        with patch.object(self.limits, 'budget_bytes', 5 * BODY_BYTES):
            self.assertEqual(await self.status(await self.send(WHOLE)), 503)
        self.answer.set()
        self.assertEqual(await self.status(running), 200)
        self.assertEqual(len(self.bodies), 1)

    async def test_head_of_too_many_fields_is_refused(self) -> None:
        fields = b'a:1\r\n' * MAX_HEADER_FIELDS
        reader = await self.send(HEAD + fields + b'\r\n')
        self.assertEqual(await self.status(reader), 431)
        self.assertEqual(self.bodies, [])

    async def test_body_without_route_is_not_kept(self) -> None:
        self.listener.state.has_route = lambda *_: False
        self.assertEqual(await self.status(await self.send(WHOLE)), 200)
        self.assertEqual((self.bodies, self.dropped), ([b''], [True]))
        self.assertEqual(await self.status(await self.send(SMALL)), 200)
        self.assertEqual(
            (self.bodies[1:], self.dropped[1:]), ([b'ok'], [False])
        )

    async def test_new_connection_takes_the_place_of_a_waiting_one(
        self,
    ) -> None:
        waiting = [await self.send(b'') for _ in range(8)]
        self.assertEqual(await self.status(await self.send(SMALL)), 200)
        self.assertLessEqual(self.limits.open_connections, 8)
        self.assertEqual(await self.status(waiting[0]), 0)

    async def test_caller_that_does_not_read_is_closed(self) -> None:
        ends: list[bool] = []

        async def handle(_: IncomingRequest, reply: Reply) -> None:
            self.listener.state.handler = self.handle
            reply.send(200, 'x' * 1_000_000)
            async with asyncio.timeout(3.0):
                while reply.closed_by is None:
                    await asyncio.sleep(0.01)
            ends.append(True)

        self.listener.state.handler = handle
        with (
            patch(f'{Exchange.__module__}.READ_STALL_S', 0.1),
            patch(f'{HttpListener.__module__}.EXPIRY_INTERVAL_S', 0.05),
            socket.create_connection((HOST, self.port)) as sock,
        ):
            self.listener._close_expired()
            sock.sendall(SMALL)
            async with asyncio.timeout(3.0):
                while not ends:
                    await asyncio.sleep(0.01)
        self.assertIn((0, 'response not read'), self.reasons)

    # Guards against a crowd of tiny chunks that is read in one go.
    async def test_tiny_chunks_are_read_in_turns(self) -> None:
        chunks = b'1\r\nx\r\n' * 200
        head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        reader = await self.send(head + chunks + b'0\r\n\r\n')
        self.assertEqual(await self.status(reader), 200)
        self.assertEqual(self.bodies, [b'x' * 200])
        self.assertGreater(self.limits.slices.deferred_count, 0)

    # Guards against callers that leave while they wait, again and again.
    async def test_tiny_chunks_are_refused_while_many_wait(self) -> None:
        chunks = b'1\r\nx\r\n' * 200
        head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        with patch(f'{CallerStream.__module__}.MAX_WAITING_SLICES', 0):
            reader = await self.send(head + chunks)
            self.assertEqual(await self.status(reader), 503)
        self.assertEqual(self.bodies, [])
        self.assertIn((503, 'tiny chunks'), self.reasons)
