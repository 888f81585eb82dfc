"""Test what an instance still sends late in the grace of a planned stop."""

import asyncio
from dataclasses import replace
import unittest
from unittest.mock import patch

from jackdawfield.gateway.daemon import STOP_MARGIN_S
from tests.gateway.harness import Answer
from tests.gateway.harness import engine
from tests.gateway.harness import Fleet
from tests.gateway.harness import TIMEOUT_S
from tests.gateway.scripted_server import ReceivedRequest

LISTEN_S = 0.3
SLOTS = 4


class LateInGraceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        listen = patch(
            'jackdawfield.gateway.http.drain.LISTEN_AFTER_STOP_S', LISTEN_S
        )
        listen.start()
        self.addCleanup(listen.stop)
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        self.gateway = self.fleet.gateways[0]

    def set_grace(self, drain_s: float) -> None:
        """Let a planned stop wait for calls until a time after its signal."""
        settings = self.gateway.settings
        bounds = replace(settings.bounds, grace_s=drain_s + STOP_MARGIN_S)
        self.gateway.settings = replace(settings, bounds=bounds)

    def call(self, name: str, path: str) -> asyncio.Task[Answer]:
        return asyncio.create_task(self.fleet.call(self.gateway, name, path))

    @property
    def request_count(self) -> int:
        return len(self.fleet.server.requests)

    async def fill_slots(self) -> asyncio.Event:
        """Fill the server with streams that answer once an event is set."""
        release = asyncio.Event()

        async def held(received: ReceivedRequest) -> None:
            await release.wait()
            await engine(received)

        self.fleet.server.script = held
        self.held = [
            self.call(f'held{number}', '/turns/x') for number in range(SLOTS)
        ]
        await self.fleet.wait_until(lambda: self.request_count == SLOTS)
        return release

    # Guards against a call that is sent to a server late in the grace, as it
    # waited for a slot when the stop began, and is then cut.
    async def test_queued_call_is_not_sent_late(self) -> None:
        self.set_grace(drain_s=2.0)
        release = await self.fill_slots()
        queued = self.call('queued', '/turns/x')
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(LISTEN_S + 0.2)
        release.set()
        answer = await queued
        self.assertEqual((answer.status, answer.whole), (503, True))
        self.assertIn('retry-after', answer.headers)
        for held in self.held:
            self.assertTrue((await held).whole)
        await stopping
        self.assertEqual(self.request_count, SLOTS)

    # Guards against 502, which says that it may have run, for a call that was
    # sent to no server.
    async def test_call_that_waits_for_a_slot_has_not_run(self) -> None:
        self.set_grace(drain_s=0.5)
        await self.fill_slots()
        queued = self.call('queued', '/turns/x')
        await asyncio.sleep(0.1)
        await self.gateway.stop()
        answer = await queued
        self.assertEqual((answer.status, answer.whole), (503, True))
        self.assertEqual(
            [(await held).status for held in self.held], [502] * SLOTS
        )
        self.assertEqual(self.request_count, SLOTS)

    # Guards against a stop that goes on taking calls of any deadline while
    # the store does not answer.
    async def test_store_that_is_away_delays_no_refusal(self) -> None:
        self.set_grace(drain_s=2.0)

        async def leave_late() -> None:
            await asyncio.sleep(60.0)

        holder = self.gateway.seat_holder
        with patch.object(holder, 'leave', leave_late):
            found = await self.fleet.pool.open(
                self.gateway.settings.host,
                self.gateway.settings.caller_port,
                TIMEOUT_S,
            )
            kept = found.unwrap()
            stopping = asyncio.create_task(self.gateway.stop())
            await self.fleet.wait_until(
                lambda: not self.gateway.caller_listener.is_listening
            )
            # Connections that carry nothing are closed then, too.
            await self.fleet.wait_until(lambda: not kept.is_usable)
            async with asyncio.timeout(TIMEOUT_S):
                await stopping
        self.assertEqual(self.request_count, 0)

    async def test_calls_due_in_time_are_answered(self) -> None:
        self.set_grace(drain_s=2.0)
        stopping = asyncio.create_task(self.gateway.stop())
        await asyncio.sleep(LISTEN_S / 2)
        answer = await self.call('taken', '/tool/x')
        self.assertEqual((answer.status, answer.whole), (200, True))
        await stopping
