"""Test that a request which ends backend servers is kept from the others."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import time
import unittest

from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.model import ServerId
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
        self.script = script
        self.scripted = ScriptedServer(self._serve)
        self.has_ended = False
        self.poison_count = 0

    async def _serve(self, received: ReceivedRequest) -> None:
        if POISON not in received.body:
            await self.script(received)
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

    async def stop(self) -> None:
        """Stop the instances, the store and the servers."""
        await super().stop()
        for server in self.servers:
            await server.end()

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

    async def convict(self) -> None:
        """Send the poison until all instances have quarantined it."""
        fleet = self.fleet
        number = 0
        while not all(quarantined_at(g) for g in fleet.gateways):
            await fleet.send_poison(number, '/turns/x')
            number += 1
            await asyncio.sleep(SPREAD_S)

    async def test_other_requests_are_served_meanwhile(self) -> None:
        await self.convict()
        gateway = self.fleet.gateways[0]
        answer = await self.fleet.call(gateway, 'r', '/turns/x', b'sound')
        self.assertEqual((answer.status, answer.whole), (200, True))
        # The same body from another organisation is another request.
        answer = await self.fleet.call(
            gateway, 'r2', '/turns/x', POISON, key='other-key'
        )
        self.assertEqual(answer.status, 502)

    async def test_instance_that_starts_learns_what_the_others_know(
        self,
    ) -> None:
        await self.convict()
        started = await self.fleet.start_instance('late')
        await self.fleet.wait_until(lambda: quarantined_at(started))
        await self.fleet.wait_until(lambda: started.is_ready)
        ended = self.fleet.ended_count
        answer = await self.fleet.call(started, 'p', '/turns/x', POISON)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers['retry-after']), 0)
        self.assertEqual(self.fleet.ended_count, ended)

    async def test_innocent_beside_it_is_retried_elsewhere(self) -> None:
        fleet = self.fleet

        async def slow(received: ReceivedRequest) -> None:
            await asyncio.sleep(SPREAD_S)
            await engine(received)

        for server in fleet.servers:
            server.script = slow
        calls = [
            asyncio.create_task(
                fleet.call(fleet.gateways[0], f'r{n}', '/open/x', b'%d' % n)
            )
            for n in range(SERVERS)
        ]
        await asyncio.sleep(SPREAD_S / 2)
        await fleet.send_poison(0, '/turns/x')
        answers = await asyncio.gather(*calls)
        self.assertEqual({a.status for a in answers}, {200})
        self.assertFalse(any(quarantined_at(g) for g in fleet.gateways))

    async def test_lost_answers_of_a_living_server_convict_nobody(
        self,
    ) -> None:
        async def broken(received: ReceivedRequest) -> None:
            received.reset()

        for server in self.fleet.servers:
            server.script = broken
        for number in range(SENDS):
            gateway = self.fleet.gateways[number % INSTANCES]
            await self.fleet.call(gateway, f'r{number}', '/turns/x', b'same')
        await asyncio.sleep(SPREAD_S)
        for gateway in self.fleet.gateways:
            self.assertTrue(gateway.quarantine.is_empty)

    async def test_servers_that_leave_convict_nobody(self) -> None:
        fleet = self.fleet
        for number, server in enumerate(fleet.servers):
            fleet.list_server(number, state='draining')
            for gateway in fleet.gateways:
                state = gateway.servers.by_id[ServerId(f's-{number}')]
                await fleet.wait_until(lambda s=state: s.entry.is_draining)
                gateway.ended_servers.record_broken(
                    RequestDigest(b'same'), state, had_begun=False
                )
            await server.end()
        await asyncio.sleep(SPREAD_S)
        for gateway in fleet.gateways:
            self.assertTrue(gateway.quarantine.is_empty)

    async def test_operator_lists_and_lifts_a_quarantine(self) -> None:
        await self.convict()
        first, second = self.fleet.gateways[:2]
        found = first.quarantine_page.answer('GET', '/quarantine')
        assert found is not None
        (row,) = json.loads(found.text)
        count = len(row['servers'].split())
        self.assertEqual(count, self.fleet.ended_count)
        path = f'/quarantine/{row["digest"]}'
        lifted = first.quarantine_page.answer('DELETE', path)
        assert lifted is not None
        self.assertEqual(lifted.status, 200)
        await self.fleet.wait_until(lambda: not quarantined_at(second))
        again = first.quarantine_page.answer('DELETE', path)
        assert again is not None
        self.assertEqual(again.status, 404)


def quarantined_at(gateway: Gateway) -> bool:
    """Return whether an instance has quarantined any request."""
    return bool(gateway.quarantine.quarantined(time.monotonic()))


if __name__ == '__main__':
    unittest.main()
