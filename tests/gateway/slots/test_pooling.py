"""Test slots that one instance grants to all, and the loss of its parts.

Load pattern: calls of several instances for a server with few slots.
"""

import unittest

from tests.gateway.harness import EVENTS
from tests.gateway.slots.fleet import client_of
from tests.gateway.slots.fleet import owner_of
from tests.gateway.slots.fleet import pool_of
from tests.gateway.slots.fleet import PoolingFleet


class PoolingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = PoolingFleet()
        await self.fleet.start_members()
        self.addAsyncCleanup(self.fleet.stop)

    async def test_grants_and_releases_slots_for_all_instances(self) -> None:
        for number, gateway in enumerate(self.fleet.gateways):
            turn = await self.fleet.call(gateway, f'turn-{number}')
            self.assertEqual(turn.status, 200)
            self.assertIn(EVENTS[0].encode(), turn.body)
            tool = await self.fleet.call(gateway, f'tool-{number}', '/tool/x')
            self.assertEqual(tool.status, 200)
        for gateway in self.fleet.gateways:
            self.assertEqual(client_of(gateway).granted_count, 2)
            self.assertEqual(
                sum(client_of(gateway).fallback_counts.values()), 0
            )
        pool = pool_of(self.fleet.owning())
        await self.fleet.wait_until(lambda: pool.is_idle)
        for gateway in self.fleet.others():
            self.assertEqual(owner_of(gateway).pools_by_service, {})
        self.assertEqual(len(self.fleet.server.requests), 6)
