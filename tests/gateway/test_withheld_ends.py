"""Test that a turn's answer is whole to its caller only once it is kept."""

import asyncio
from collections.abc import Callable
import unittest

from jackdawfield.gateway.http.messages import BodyEnd
from tests.gateway.harness import Answer
from tests.gateway.harness import Fleet
from tests.gateway.harness import HOST
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script

EVENTS = b'id: 0\ndata: first\n\nid: 1\ndata: second\n\n'
FIRST_EVENT = b'id: 0\ndata: first\n\n'
# Above the size that is buffered before an answer is forwarded.
LARGE_EVENT = b'id: 0\ndata: ' + b'x' * 250_000 + b'\n\n'
EVENT_STREAM = 'text/event-stream'
DEADLINE_MS = '600'


def head(received: ReceivedRequest, content_type: str, framing: str) -> bytes:
    request_id = received.header('x-jackdawfield-request-id')
    return (
        f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
        f'{PREFIX}Server-Stamp: stamp\r\n'
        f'Content-Type: {content_type}\r\n{framing}\r\n'
    ).encode()


def with_length(content_type: str, body: bytes) -> Script:
    """Return a script that answers with a body and its length."""

    async def script(received: ReceivedRequest) -> None:
        framing = f'Content-Length: {len(body)}\r\n'
        received.writer.write(head(received, content_type, framing) + body)

    return script


def in_one_chunk(body: bytes) -> Script:
    """Return a script whose last event and end arrive in one piece."""

    async def script(received: ReceivedRequest) -> None:
        framing = 'Transfer-Encoding: chunked\r\n'
        chunks = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        received.writer.write(head(received, EVENT_STREAM, framing) + chunks)

    return script


def unframed(body: bytes) -> Script:
    """Return a script whose answer ends with its connection."""

    async def script(received: ReceivedRequest) -> None:
        received.writer.write(head(received, EVENT_STREAM, '') + body)
        await received.writer.drain()
        received.writer.close()

    return script


SCRIPTS_BY_NAME = {
    'events with a length': with_length(EVENT_STREAM, EVENTS),
    'a large event with a length': with_length(EVENT_STREAM, LARGE_EVENT),
    'a body with a length': with_length('application/json', b'{}'),
    'a large body with a length': with_length('text/plain', LARGE_EVENT),
    'no body': with_length('application/json', b''),
    'one chunk': in_one_chunk(EVENTS),
    'no length': unframed(EVENTS),
}


class WithheldEndsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]

    def answer_with(self, script: Script, then: Callable[[], None]) -> None:
        """Have the server answer, after something else has happened."""

        async def run(received: ReceivedRequest) -> None:
            then()
            await script(received)

        self.fleet.server.script = run

    def refuse_writes(self) -> None:
        self.fleet.store.is_refusing = True

    def serve_writes(self) -> None:
        self.fleet.store.is_refusing = False

    async def turn(self, request_id: str, **headers: str) -> Answer:
        return await self.fleet.call(
            self.gateway,
            request_id,
            body=b'input',
            Program_Id='program',
            **headers,
        )

    # Guards against an answer that its length makes whole at its caller while
    # the turn is not yet in the store: lost there, the next turn gets 404.
    async def test_no_answer_is_whole_before_its_turn_is_kept(self) -> None:
        for number, (name, script) in enumerate(SCRIPTS_BY_NAME.items()):
            with self.subTest(name):
                self.answer_with(script, self.refuse_writes)
                answer = await self.turn(f'r{number}', Deadline_Ms=DEADLINE_MS)
                self.serve_writes()
                is_whole = answer.end is not BodyEnd.CUT
                self.assertFalse(answer.status == 200 and is_whole)

    async def test_each_answer_is_whole_once_its_turn_is_kept(self) -> None:
        for number, (name, script) in enumerate(SCRIPTS_BY_NAME.items()):
            with self.subTest(name):
                self.answer_with(script, self.serve_writes)
                answer = await self.turn(f'r{number}')
                self.assertEqual(answer.status, 200)
                self.assertIsNot(answer.end, BodyEnd.CUT)
                self.fleet.server.script = with_length(EVENT_STREAM, EVENTS)
                following = await self.turn(
                    f'next{number}', Previous_Turn=f'r{number}'
                )
                self.assertEqual(following.status, 200)

    async def test_caller_of_http_1_0_is_given_no_length(self) -> None:
        for then in (self.serve_writes, self.refuse_writes):
            with self.subTest(then.__name__):
                script = with_length(EVENT_STREAM, EVENTS)
                self.answer_with(script, then)
                answer = await self.read_as_http_1_0()
                self.assertNotIn(b'content-length', answer.lower())

    async def read_as_http_1_0(self) -> bytes:
        """Send a turn in HTTP/1.0 and return what came until a reset."""
        reader, writer = await asyncio.open_connection(
            HOST, self.gateway.settings.caller_port
        )
        writer.write(
            (
                'POST /turns/x HTTP/1.0\r\nHost: h.example\r\n'
                f'Content-Length: 0\r\n{PREFIX}Deadline-Ms: {DEADLINE_MS}\r\n'
                f'{PREFIX}Request-Id: old\r\n{PREFIX}Credential: key\r\n\r\n'
            ).encode()
        )
        received = b''
        try:
            async with asyncio.timeout(2.0):
                while piece := await reader.read(65536):
                    received += piece
        except ConnectionResetError:
            pass
        finally:
            writer.close()
        return received

    # Guards against the length of a broken answer on one that was resumed
    # and is of another size.
    async def test_resumed_answer_has_not_the_length_of_the_first(
        self,
    ) -> None:
        rest = b'id: 1\ndata: longer than the second event was\n\n'

        async def script(received: ReceivedRequest) -> None:
            if received.header('last-event-id'):
                await with_length(EVENT_STREAM, rest)(received)
                return
            framing = f'Content-Length: {len(EVENTS)}\r\n'
            received.writer.write(
                head(received, EVENT_STREAM, framing) + FIRST_EVENT
            )
            await received.writer.drain()
            received.writer.close()

        self.fleet.server.script = script
        answer = await self.fleet.call(self.gateway, 'r', '/resumable/x')
        self.assertEqual(answer.body, FIRST_EVENT + rest)
        self.assertTrue(answer.whole)
