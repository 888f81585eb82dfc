"""Test that a denial rests on a configuration that the store confirmed."""

import unittest

from jackdawfield.gateway.entry import MAX_DENIAL_AGE_S
from tests.gateway.harness import configuration
from tests.gateway.harness import Fleet

UNKNOWN_PATH = '/unknown/x'
UNKNOWN_KEY = 'unknown-key'


class DenialsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.stop)
        self.gateway = self.fleet.gateways[0]

    async def status_of(
        self, path: str, key: str = 'key', request_id: str = 'r'
    ) -> int:
        answer = await self.fleet.call(self.gateway, request_id, path, key=key)
        return answer.status

    async def lose_store(self) -> None:
        self.fleet.store.is_silent = True
        self.fleet.store.is_refusing = True
        table = self.gateway.configuration_table
        await self.fleet.wait_until(lambda: table.age_s() > MAX_DENIAL_AGE_S)

    # Guards against a final 401 or 404 for what a newer configuration allows
    # that this instance could not read.
    async def test_unconfirmed_denial_asks_to_come_back(self) -> None:
        self.assertEqual(await self.status_of(UNKNOWN_PATH), 404)
        self.assertEqual(await self.status_of('/tool/x', UNKNOWN_KEY), 401)
        await self.lose_store()
        self.assertEqual(await self.status_of(UNKNOWN_PATH), 503)
        self.assertEqual(await self.status_of('/tool/x', UNKNOWN_KEY), 503)
        # What the known configuration allows goes on.
        self.assertEqual(await self.status_of('/tool/x'), 200)

    async def test_denial_waits_for_a_confirmation(self) -> None:
        await self.lose_store()
        tenants = [{'name': 'org', 'apiKeys': ['key', 'given']}]
        self.fleet.configure(configuration(7, tenants=tenants))
        self.fleet.store.is_silent = False
        self.fleet.store.is_refusing = False
        statuses = [503]
        while statuses[-1] == 503:
            statuses.append(
                await self.status_of('/tool/x', 'given', f'r{len(statuses)}')
            )
        self.assertEqual(statuses[-1], 200)
        self.assertEqual(await self.status_of('/tool/x', UNKNOWN_KEY), 401)
