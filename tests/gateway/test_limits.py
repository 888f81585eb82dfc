"""Test that instances keep to the limit that a server names.

Load pattern: three instances that send a server three times its limit.
"""

import asyncio
import time
import unittest

from tests.gateway.harness import Answer
from tests.gateway.harness import Fleet
from tests.gateway.harness import PREFIX
from tests.gateway.scripted_server import ReceivedRequest

LIMIT_PER_S = 6.0
LENGTH_S = 3.0
INTERVAL_S = 0.05
# Requests that one second saves up, and those under way as it is first named.
SLACK_REQUESTS = 8


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.named: float | None = None
        self.fleet = Fleet()
        self.fleet.server.script = self.answer
        self.arrived_at_s: dict[str, float] = {}
        await self.fleet.start(3)
        self.addAsyncCleanup(self.fleet.stop)
        for gateway in self.fleet.gateways:
            await self.fleet.wait_until(
                lambda g=gateway: len(g.members.rows_by_seat) == 3
            )

    async def answer(self, received: ReceivedRequest) -> None:
        request_id = received.header('x-jackdawfield-request-id')
        self.arrived_at_s[request_id] = time.monotonic()
        limit = '' if self.named is None else f'Server-Limit: {self.named}\r\n'
        received.writer.write(
            f'HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {request_id}\r\n'
            f'{PREFIX}Server-Stamp: stamp\r\n{limit}'
            'Content-Length: 2\r\n\r\nok'.encode()
        )

    async def press(self, prefix: str, length_s: float) -> dict[str, Answer]:
        """Send requests to all instances in turn; return the answers."""
        calls = {}
        until_s = time.monotonic() + length_s
        number = 0
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                gateway = self.fleet.gateways[number % 3]
                request_id = f'{prefix}{number}'
                calls[request_id] = group.create_task(
                    self.fleet.call(gateway, request_id, '/tool/x')
                )
                number += 1
                await asyncio.sleep(INTERVAL_S)
        return {name: call.result() for name, call in calls.items()}

    def limits_known(self) -> list[int]:
        return [g.server_limits.limited_count for g in self.fleet.gateways]

    # Guards against a server that gets more than it says that it takes,
    # summed over the instances.
    async def test_server_gets_no_more_than_its_limit(self) -> None:
        self.named = LIMIT_PER_S
        answers = await self.press('r', LENGTH_S)
        span_s = max(self.arrived_at_s.values()) - min(
            self.arrived_at_s.values()
        )
        allowed = LIMIT_PER_S * span_s + SLACK_REQUESTS
        self.assertLessEqual(len(self.arrived_at_s), allowed)
        self.assertGreaterEqual(
            len(self.arrived_at_s), LIMIT_PER_S * LENGTH_S / 2
        )
        for request_id, answer in answers.items():
            if answer.status == 503:
                self.assertNotIn(request_id, self.arrived_at_s)
                self.assertGreater(float(answer.headers['retry-after']), 0)
            else:
                self.assertEqual(answer.status, 200)
        state = next(iter(self.fleet.gateways[0].servers.by_id.values()))
        self.assertEqual((state.failures, state.avoid_until_s), (0, 0.0))

    async def test_limit_is_told_to_the_other_instances(self) -> None:
        self.named = LIMIT_PER_S
        await self.fleet.call(self.fleet.gateways[0], 'r', '/tool/x')
        await self.fleet.wait_until(lambda: self.limits_known() == [1, 1, 1])

    async def test_limit_ends_with_the_answers_that_name_it(self) -> None:
        self.named = LIMIT_PER_S
        await self.press('r', 0.5)
        self.named = None
        await self.press('s', 1.5)
        await self.fleet.wait_until(lambda: self.limits_known() == [0, 0, 0])
        answers = await self.press('t', 0.5)
        self.assertEqual({a.status for a in answers.values()}, {200})
