"""Test turns whose rows exceed one transaction of the store."""

import os
import unittest

from tests.gateway.harness import Answer
from tests.gateway.harness import Fleet
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.test_withheld_ends import EVENT_STREAM
from tests.gateway.test_withheld_ends import head

# Within the limit of a body, and over that of a transaction.
LONG_INPUT_BYTES = 1_500_000
LONGEST_INPUT_BYTES = 4_100_000
EVENT_BYTES = 160_000
LONG_ANSWER_EVENTS = 10


async def answer_at_length(received: ReceivedRequest) -> None:
    """Answer with events that can't be compressed."""
    framing = 'Transfer-Encoding: chunked\r\n'
    received.writer.write(head(received, EVENT_STREAM, framing))
    for number in range(LONG_ANSWER_EVENTS):
        text = os.urandom(EVENT_BYTES // 2).hex()
        event = f'id: {number}\ndata: {text}\n\n'
        received.writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
        await received.writer.drain()
    received.writer.write(b'0\r\n\r\n')


class LongTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(2)
        self.first, self.second = self.fleet.gateways

    def assert_whole(self, answer: Answer) -> None:
        self.assertEqual((answer.status, answer.whole), (200, True))

    def last_prompt(self) -> bytes:
        return self.fleet.server.requests[-1].body

    # Guards against a turn that is run and closed without its end, as its
    # rows exceed what one call of the store may hold.
    async def test_long_inputs_are_served_and_continued(self) -> None:
        for size in (LONG_INPUT_BYTES, LONGEST_INPUT_BYTES):
            with self.subTest(size):
                given = os.urandom(size)
                answer = await self.fleet.turn(self.first, f'{size}', given)
                self.assert_whole(answer)
                answer = await self.fleet.turn(
                    self.second, f'{size}-next', b'next', f'{size}'
                )
                self.assert_whole(answer)
                expected = given + b'first\nsecond\nnext'
                self.assertTrue(self.last_prompt() == expected)

    # Guards against the same for the events of an answer.
    async def test_a_long_answer_is_whole_and_continued(self) -> None:
        self.fleet.server.script = answer_at_length
        usage = {'Token_Usage': '10,400'}
        answer = await self.fleet.turn(self.first, 'long', b'input', **usage)
        self.assert_whole(answer)
        answer = await self.fleet.turn(
            self.second, 'next', b'next', 'long', **usage
        )
        self.assert_whole(answer)
        events = LONG_ANSWER_EVENTS * (EVENT_BYTES + 1)
        expected = len(b'input') + events + len(b'next')
        self.assertEqual(len(self.last_prompt()), expected)
