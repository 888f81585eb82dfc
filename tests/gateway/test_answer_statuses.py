"""Test answers of servers whose status is no status of HTTP."""

from collections.abc import AsyncIterator
from typing import Any
import unittest
from unittest import mock

from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerError
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import Framing
from jackdawfield.gateway.servers.relay_client import RelayedConnection
from jackdawfield.messages.fleet_relays import RelayEnd
from jackdawfield.messages.fleet_relays import RelayHead
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import Script

STATUSES = ('000', '099', '101', '600', '999', '20', '2000', '0200', '-20')
PATHS = ('/turns/x', '/resumable/x', '/tool/x', '/open/x')
EVENT = b'id: 0\ndata: x\n\n'


def answer_with(status: str) -> Script:
    """Return a script that answers each request with a status."""

    async def script(received: ReceivedRequest) -> None:
        request_id = received.header('x-jackdawfield-request-id')
        head = (
            f'HTTP/1.1 {status} Odd\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: stamp\r\n'
            'Content-Type: text/event-stream\r\n'
            f'Content-Length: {len(EVENT)}\r\n\r\n'
        )
        received.writer.write(head.encode() + EVENT)

    return script


class AnswerStatusesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]

    # Guards against a server in trouble whose status, 000 or another that
    # HTTP does not have, reaches the caller as an answer.
    async def test_no_such_status_reaches_the_caller(self) -> None:
        for status in STATUSES:
            self.fleet.server.script = answer_with(status)
            for path in PATHS:
                with self.subTest((status, path)):
                    answer = await self.fleet.call(
                        self.gateway, f'{status}{path}', path
                    )
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(EVENT, answer.body)
        self.fleet.server.script = engine
        answer = await self.fleet.call(self.gateway, 'last', '/open/x')
        self.assertEqual((answer.status, answer.body), (200, b'ok'))

    async def test_statuses_at_the_limits_are_passed_on(self) -> None:
        for status in (200, 299, 400, 599):
            with self.subTest(status):
                self.fleet.server.script = answer_with(f'{status}')
                answer = await self.fleet.call(
                    self.gateway, f'{status}', '/tool/x'
                )
                self.assertEqual(answer.status, status)

    # Guards against an instance of an earlier version that relays such an
    # answer.
    async def test_no_such_status_is_taken_from_a_peer(self) -> None:
        for status in (0, 99, 101, 600, 999):
            with self.subTest(status):

                async def answers(
                    status: int = status,
                ) -> AsyncIterator[Result[Any, PeerError]]:
                    framing = Framing.LENGTH.value
                    yield Ok(RelayHead(status, 'Odd', [], framing))
                    yield Ok(RelayEnd(BodyEnd.WHOLE.value, '', False, True))

                connection = RelayedConnection(
                    mock.Mock(), 'peer', 1, answers(), BackgroundTasks()
                )
                self.assertIs(await connection.next_part(), BodyEnd.CUT)
