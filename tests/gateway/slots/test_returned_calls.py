"""Test calls that another domain was to serve, and did not."""

import asyncio
from typing import Any
from unittest import IsolatedAsyncioTestCase

from result import Ok
from result import Result

from jackdawfield.gateway.slots.ask_target import MAX_CROSSINGS
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import SlotDenied
from jackdawfield.messages.fleet_slots import SlotElsewhere
from jackdawfield.messages.fleet_slots import SlotGranted
from jackdawfield.messages.fleet_slots import SlotNotOwned
from jackdawfield.messages.fleet_slots import SlotQueued
from jackdawfield.model import ServerId
from tests.gateway.slots.builders import make_entry
from tests.gateway.slots.builders import make_row
from tests.gateway.slots.builders import OTHER_DOMAIN
import tests.gateway.slots.test_client as test_client

ELSEWHERE = Ok(SlotElsewhere(OTHER_DOMAIN, needs_open_slot=True))
NOT_SERVED = {
    'refused': Ok(SlotDenied('no open slot', 0.5)),
    'queued': Ok(SlotQueued(0.2)),
    'not owned': Ok(SlotNotOwned('request expired', is_stopping=False)),
    'stopping': Ok(SlotNotOwned('stopping', is_stopping=True)),
    'unreached': test_client.UNREACHED,
    'silent': test_client.SILENT,
}


class ReturnedCallTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.client_test = test_client.ClientTest()
        self.client_test.setUp()
        self.links = self.client_test.links
        rows = self.client_test.members.rows_by_seat
        rows['b/0'] = make_row('z', OTHER_DOMAIN)
        self.client_test.servers.put(make_entry('s2', 1, OTHER_DOMAIN))

    def asks(self) -> list[AskSlot]:
        return [ask for _, ask in self.links.asks]

    async def test_call_not_served_there_is_served_here(self) -> None:
        for name, answer in NOT_SERVED.items():
            with self.subTest(name):
                self.setUp()

                def script(
                    _: str, ask: AskSlot, answer: Any = answer
                ) -> Result[Any, Any]:
                    if ask.needs_open_slot:
                        return answer
                    if ask.returned_by is None:
                        return ELSEWHERE
                    return Ok(SlotGranted(ServerId('s1'), 1))

                self.links.script = script
                server = await self.client_test.acquire_server()
                self.assertEqual('s1', server.entry.server_id)
                _, there, back = self.asks()
                self.assertFalse(there.may_spill)
                self.assertEqual(OTHER_DOMAIN, back.returned_by)
                counts = self.client_test.client.fallback_counts
                self.assertEqual(0, sum(counts.values()))

    async def test_call_queued_there_is_withdrawn(self) -> None:
        def script(_: str, ask: AskSlot) -> Result[Any, Any]:
            if ask.needs_open_slot:
                return NOT_SERVED['queued']
            if ask.returned_by is None:
                return ELSEWHERE
            return Ok(SlotGranted(ServerId('s1'), 1))

        self.links.script = script
        await self.client_test.acquire_server()
        await asyncio.sleep(test_client.SETTLE_S)
        grant_id = self.asks()[1].demand.grant_id
        ended_ids = [ended_id for ended_id, _ in self.links.ends()]
        self.assertEqual([grant_id], ended_ids)

    async def test_call_crosses_a_limited_number_of_times(self) -> None:
        def script(_: str, ask: AskSlot) -> Result[Any, Any]:
            if ask.needs_open_slot:
                return NOT_SERVED['refused']
            if ask.may_spill:
                return ELSEWHERE
            return Ok(SlotGranted(ServerId('s1'), 1))

        self.links.script = script
        server = await self.client_test.acquire_server()
        self.assertEqual('s1', server.entry.server_id)
        there = [ask for ask in self.asks() if ask.needs_open_slot]
        self.assertEqual(MAX_CROSSINGS, len(there))

    async def test_request_tells_what_it_carries(self) -> None:
        await self.client_test.acquire_server()
        (ask,) = self.asks()
        self.assertGreater(ask.body_bytes, 0)
        self.assertIsNone(ask.prefix_domain_id)
