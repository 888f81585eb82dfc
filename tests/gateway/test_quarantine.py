"""Test that a request which ends backend servers is kept from the others."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import unittest

from jackdawfield.gateway.storage.rows import RowKey
from tests.gateway.harness import Answer
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import HOST
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import ScriptedServer

INSTANCES = 3
SERVERS = 16
POISON = b'ends its server'
# Time in which the instances tell each other of a server that has ended.
SPREAD_S = 0.4
SENDS = 12
# Servers that the request ends before it is refused, with retries on the way.
MAX_ENDED = 6

Script = Callable[[ReceivedRequest], Awaitable[None]]


class MortalServer:
    """Represents a server whose process ends when it runs the poison."""

    def __init__(self, script: Script = engine) -> None:
        self._script = script
        self.scripted = ScriptedServer(self._serve)
        self.has_ended = False
        self.poison_count = 0

    async def _serve(self, received: ReceivedRequest) -> None:
        if POISON not in received.body:
            await self._script(received)
            return
        self.poison_count += 1
        await self.end()

    async def end(self) -> None:
        """End as a process does: all its connections and its listener go."""
        self.has_ended = True
        await self.scripted.stop()
        for received in self.scripted.requests:
            received.reset()


class MortalFleet(Fleet):
    """Runs instances with many servers that a request can end."""

    def __init__(self) -> None:
        super().__init__()
        self.servers: list[MortalServer] = []

    async def start(self, instances: int) -> None:
        """Start the store, the servers and the instances."""
        await super().start(instances)
        self.rows.remove(RowKey('servers', '', 'i-1'))
        for number in range(SERVERS):
            server = MortalServer()
            await server.scripted.start()
            self.servers.append(server)
            self.list_server(number)
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: len(g.servers.by_id) == SERVERS
            )

    def list_server(self, number: int, **changes: object) -> None:
        """Write a server's entry."""
        server = self.servers[number].scripted
        entry = {
            'service': 'model',
            'address': f'{HOST}:{server.port}',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
            'born': 1000,
            **changes,
        }
        key = RowKey('servers', '', f's-{number}')
        self.rows.put(key, json.dumps(entry).encode())

    @property
    def ended_count(self) -> int:
        """Return how many servers have ended."""
        return sum(server.has_ended for server in self.servers)

    async def send_poison(self, number: int, path: str) -> Answer:
        """Send the poison with a new request id at one of the instances."""
        gateway = self.gateways[number % INSTANCES]
        return await self.call(gateway, f'poison-{number}', path, POISON)


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = MortalFleet()
        await self.fleet.start(INSTANCES)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def send_again_and_again(self, path: str) -> list[Answer]:
        answers = []
        for number in range(SENDS):
            answers.append(await self.fleet.send_poison(number, path))
            await asyncio.sleep(SPREAD_S)
        return answers

    # Guards against a request that ends one server after another (BUDGET).
    async def test_stream_that_ends_servers_is_kept_from_the_others(
        self,
    ) -> None:
        answers = await self.send_again_and_again('/turns/x')
        self.assertLessEqual(self.fleet.ended_count, MAX_ENDED)
        self.assertEqual({a.status for a in answers[MAX_ENDED:]}, {503})

    # Guards against retries of a request that may run twice (BUDGET).
    async def test_safe_call_that_ends_servers_is_kept_from_the_others(
        self,
    ) -> None:
        answers = await self.send_again_and_again('/open/x')
        self.assertLessEqual(self.fleet.ended_count, MAX_ENDED)
        self.assertEqual({a.status for a in answers[MAX_ENDED:]}, {503})


if __name__ == '__main__':
    unittest.main()
