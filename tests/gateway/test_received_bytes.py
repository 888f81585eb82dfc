"""Test that nothing a server sent reaches others in our own words.

The pattern: a server sends bytes after a complete answer, in place of one, or
inside a head, and the next call on its connection is another organisation's.
"""

from collections.abc import AsyncIterator
import os
from typing import Any
import unittest
from unittest import mock

from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerError
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.servers.relay_client import RelayedConnection
from jackdawfield.messages.fleet_relays import RelayEnd
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script

SECRET = b'account=private'
LONG_BYTES = 60_000
# Above what the texts of all reasons take.
METRICS_GROWTH_BYTES = 20_000
HEAD = b'HTTP/1.1 200 OK\r\n'
BROKEN = {
    'no status line': SECRET + b'\r\n\r\n',
    'no header': HEAD + SECRET + b'\r\n\r\n',
    'header name': HEAD + SECRET + b': 1\r\n\r\n',
    'length': HEAD + b'Content-Length: ' + SECRET + b'\r\n\r\n',
    'encoding': HEAD + b'Transfer-Encoding: ' + SECRET + b'\r\n\r\n',
    'chunk': HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + SECRET + b'\r\n',
    'status': b'HTTP/1.1 ' + SECRET + b' OK\r\n\r\n',
    'version': b'HTTP/' + SECRET + b' 200 OK\r\n\r\n',
}
PATHS = ('/turns/x', '/resumable/x', '/tool/x', '/open/x')


def send(data: bytes) -> Script:
    """Return a script that answers each request with some bytes."""

    async def script(received: ReceivedRequest) -> None:
        received.writer.write(data)
        await received.writer.drain()
        received.writer.close()

    return script


class ReceivedBytesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]

    def assert_unseen(self, body: bytes) -> None:
        self.assertNotIn(SECRET, body)
        metrics = self.gateway.metrics.render_prometheus()
        self.assertNotIn(SECRET.decode(), metrics)

    # Guards against a 502 that quotes a part of another caller's answer.
    async def test_no_broken_answer_is_quoted(self) -> None:
        for name, data in BROKEN.items():
            for path in PATHS:
                with self.subTest((name, path)):
                    self.fleet.server.script = send(data)
                    answer = await self.fleet.call(
                        self.gateway, f'{name}{path}'.replace(' ', ''), path
                    )
                    self.assertEqual(answer.status, 502)
                    self.assert_unseen(answer.body)

    # Guards against the same for bytes after a complete answer, which come at
    # the point where the next answer is expected.
    async def test_no_late_bytes_are_quoted(self) -> None:
        async def answer_late(received: ReceivedRequest) -> None:
            received.writer.write(SECRET + b'\r\n\r\n')
            await engine(received)

        self.fleet.server.script = engine
        await self.fleet.call(self.gateway, 'first', '/tool/x')
        self.fleet.server.script = answer_late
        answer = await self.fleet.call(
            self.gateway, 'second', '/tool/x', key='other-key'
        )
        self.assertEqual(answer.status, 502)
        self.assert_unseen(answer.body)

    # Guards against memory that grows with what servers send.
    async def test_metrics_stay_small(self) -> None:
        before = len(self.gateway.metrics.render_prometheus())
        for number in range(20):
            data = os.urandom(LONG_BYTES).replace(b'\n', b'') + b'\r\n\r\n'
            self.fleet.server.script = send(data)
            await self.fleet.call(self.gateway, f'{number}', '/tool/x')
        after = len(self.gateway.metrics.render_prometheus())
        self.assertLess(after - before, METRICS_GROWTH_BYTES)

    # Guards against the words of an instance of an earlier version.
    async def test_no_words_of_a_peer_are_passed_on(self) -> None:
        async def answers() -> AsyncIterator[Result[Any, PeerError]]:
            reason = f'malformed answer: {PREFIX}{SECRET!r}'
            yield Ok(RelayEnd(BodyEnd.CUT.value, reason, False, True))

        connection = RelayedConnection(
            mock.Mock(), 'peer', 1, answers(), BackgroundTasks()
        )
        self.assertIs(await connection.next_part(), BodyEnd.CUT)
        self.assertNotIn(SECRET.decode(), connection.lost_reason)
