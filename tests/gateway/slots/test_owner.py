"""Test an owner of slots, without a network.

Load pattern: more calls of several instances than the servers have slots.
"""

import asyncio
from collections.abc import AsyncIterator
import time
from unittest import IsolatedAsyncioTestCase
from unittest import mock

from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.gateway.servers.choice import record_failure
from jackdawfield.gateway.servers.choice import record_full
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.slots.owner import SlotOwner
from jackdawfield.gateway.slots.owner import STOPPING
from jackdawfield.gateway.slots.service_pool import GRANT_MARGIN_S
from jackdawfield.gateway.slots.service_pool import NO_SERVER
from jackdawfield.gateway.slots.service_pool import ServicePool
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import BegunSlot
from jackdawfield.messages.fleet_slots import SlotChanges
from jackdawfield.messages.fleet_slots import SlotElsewhere
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.messages.fleet_slots import SlotGranted
from jackdawfield.messages.fleet_slots import SlotOwnerStops
from jackdawfield.messages.fleet_slots import SlotQueued
from jackdawfield.messages.fleet_slots import UsedSlot
from jackdawfield.model import InstanceId
from jackdawfield.model import ServerId
from tests.gateway.slots.builders import DOMAIN
from tests.gateway.slots.builders import HOME
from tests.gateway.slots.builders import make_ask
from tests.gateway.slots.builders import make_demand
from tests.gateway.slots.builders import make_ended
from tests.gateway.slots.builders import make_entry
from tests.gateway.slots.builders import make_servers
from tests.gateway.slots.builders import OTHER_DOMAIN
from tests.gateway.slots.builders import REGION
from tests.gateway.slots.builders import SERVICE

SERVICE_POOL = 'jackdawfield.gateway.slots.service_pool'

OTHER_HOME = InstanceId('other.1')
OWN_HOME = InstanceId('owner.1')
# Instances and grants that end do so within this time.
LONG_S = 30.0


class OwnerTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.servers = make_servers(make_entry('s1'))
        settings = mock.Mock(domain_id=DOMAIN, region_id=REGION)
        self.owner = SlotOwner(settings, OWN_HOME, self.servers)

    @property
    def pool(self) -> ServicePool:
        return self.owner.pools_by_service[SERVICE]

    def state(self, name: str) -> ServerState:
        return self.servers.by_id[ServerId(name)]

    async def first(self, ask: AskSlot) -> object:
        return await anext(aiter(self.owner.ask(ask)))

    async def queue(self, ask: AskSlot) -> AsyncIterator[object]:
        """Ask for a slot, see the request queued, and return its answers."""
        answers = aiter(self.owner.ask(ask))
        self.assertIsInstance(await anext(answers), SlotQueued)
        return answers

    def tell(self, home_id: InstanceId = HOME, **changes: object) -> None:
        self.owner.apply_changes(SlotChanges(home_id, **changes))

    # Guards against slots that stay taken when the message of their end is
    # lost with its link.
    async def test_grants_that_an_instance_does_not_use_are_free(self) -> None:
        self.tell(used=(self.used('a'),))
        self.assertEqual(self.pool.used_count, 1)
        with mock.patch(f'{SERVICE_POOL}.UNTOLD_S', 0.0):
            self.tell(grant_ids=('a',))
            self.assertEqual(self.pool.used_count, 1)
            self.tell(OTHER_HOME, grant_ids=())
            self.assertEqual(self.pool.used_count, 1)
            self.tell(grant_ids=())
        self.assertEqual(self.pool.used_count, 0)

    def used(self, grant_id: str) -> UsedSlot:
        return UsedSlot(make_demand(grant_id), ServerId('s1'), True)

    async def test_grants_as_many_slots_as_the_servers_have(self) -> None:
        self.servers.put(make_entry('s2', slots=2))
        granted = [await self.first(make_ask(f'g{n}')) for n in range(3)]
        names = sorted(answer.server_id for answer in granted)
        self.assertEqual(names, ['s1', 's2', 's2'])
        answers = await self.queue(make_ask('g3', home_id=OTHER_HOME))
        self.assertEqual(self.pool.used_count, 3)
        self.assertEqual(self.pool.queued_count, 1)
        del answers

    async def test_a_free_slot_goes_to_a_queued_request(self) -> None:
        first = SlotGranted(ServerId('s1'), 1)
        self.assertEqual(await self.first(make_ask('g1')), first)
        answers = await self.queue(make_ask('g2', home_id=OTHER_HOME))
        self.tell(begun=(BegunSlot('g1', SERVICE),))
        self.tell(ended=(make_ended('g1'),))
        self.assertEqual(await anext(answers), first)
        self.tell(OTHER_HOME, ended=(make_ended('g2'),))
        self.assertTrue(self.pool.is_idle)

    async def test_an_end_that_is_told_twice_frees_one_slot(self) -> None:
        await self.first(make_ask('g1'))
        second = await self.queue(make_ask('g2'))
        third = await self.queue(make_ask('g3'))
        self.tell(ended=(make_ended('g1'),))
        self.tell(ended=(make_ended('g1'),))
        self.assertEqual(self.pool.used_count, 1)
        self.assertIsInstance(await anext(second), SlotGranted)
        self.assertIsInstance(await anext(third), SlotQueued)

    async def test_grants_nothing_at_servers_that_are_not_usable(self) -> None:
        self.servers.put(make_entry('s2'))
        now_s = time.monotonic()
        leaving = mock.patch.object(self.state('s1'), 'announced_end_s', 1e99)
        ended = mock.patch.object(self.state('s1'), 'absent_until_s', 1e99)
        avoided = mock.patch.object(self.state('s1'), 'avoid_until_s', 1e99)
        for number, fault in enumerate((leaving, ended, avoided)):
            with self.subTest(number=number), fault:
                granted = await self.first(make_ask(f'g{number}'))
                self.assertEqual(granted.server_id, 's2')
                self.tell(ended=(make_ended(f'g{number}', 's2'),))
        record_full(self.state('s1'), now_s + LONG_S)
        self.assertEqual((await self.first(make_ask('full'))).server_id, 's2')

    async def test_ends_at_other_instances_count_for_the_server(self) -> None:
        self.servers.put(make_entry('s2'))
        for number in range(2):
            ask = make_ask(f'g{number}', 's2')
            self.assertEqual((await self.first(ask)).server_id, 's1')
            self.tell(ended=(make_ended(f'g{number}', end=SlotEnd.FAILED),))
        self.assertGreater(self.state('s1').avoid_until_s, time.monotonic())
        self.assertEqual((await self.first(make_ask('g'))).server_id, 's2')

    async def test_own_failures_are_not_counted_twice(self) -> None:
        await self.first(make_ask('g1', home_id=OWN_HOME))
        record_failure(self.state('s1'), time.monotonic())
        failed = make_ended('g1', end=SlotEnd.FAILED)
        self.tell(OWN_HOME, ended=(failed,))
        self.assertEqual(self.state('s1').failures, 1)
        self.assertTrue(self.pool.is_idle)

    async def test_an_end_alone_makes_no_owner(self) -> None:
        self.tell(ended=(make_ended('g1'),))
        self.tell(begun=(BegunSlot('g1', SERVICE),))
        self.assertEqual(self.owner.pools_by_service, {})

    async def test_refers_a_call_without_a_server_back(self) -> None:
        self.assertEqual(await self.first(make_ask('g1', 's1')), NO_SERVER)
        self.servers.remove(ServerId('s1'), time.monotonic(), False)
        self.assertEqual(await self.first(make_ask('g2')), NO_SERVER)
        self.assertTrue(self.pool.is_idle)

    async def test_a_queued_call_whose_server_goes_is_told(self) -> None:
        await self.first(make_ask('g1'))
        answers = await self.queue(make_ask('g2'))
        self.servers.remove(ServerId('s1'), time.monotonic(), False)
        self.assertEqual(await anext(answers), NO_SERVER)

    async def test_sends_a_call_elsewhere_if_no_server_is_usable(self) -> None:
        await self.first(make_ask('g1'))
        self.tell(ended=(make_ended('g1'),))
        now_s = time.monotonic()
        report = PeerReport(
            now_s, OTHER_DOMAIN, REGION, True, 0.0, 5, 0.1, 0.01
        )
        self.owner.apply_report(SERVICE, report)
        self.servers.remove(ServerId('s1'), now_s, False)
        answer = await self.first(make_ask('g2'))
        self.assertEqual(answer, SlotElsewhere(OTHER_DOMAIN))
        ((service, own_report),) = self.owner.reports(now_s)
        self.assertEqual(service, SERVICE)
        self.assertFalse(own_report.usable)

    async def test_a_request_that_is_given_up_gets_no_slot(self) -> None:
        await self.first(make_ask('g1'))
        answers = await self.queue(make_ask('g2'))
        task = asyncio.create_task(anext(answers))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.tell(ended=(make_ended('g1'),))
        self.assertTrue(self.pool.is_idle)

    async def test_a_grant_that_never_arrived_is_withdrawn(self) -> None:
        await self.first(make_ask('g1'))
        self.tell(ended=(make_ended('g1', end=SlotEnd.UNUSED),))
        self.assertTrue(self.pool.is_idle)

    async def test_a_grant_of_a_lost_call_ends_with_its_deadline(self) -> None:
        await self.first(make_ask('g1', ends_in_s=2.0))
        now_s = time.monotonic()
        self.pool.renew(HOME, now_s + 2.0)
        self.pool.tick(now_s + 2.0)
        self.assertEqual(self.pool.used_count, 1)
        self.pool.tick(now_s + 2.0 + GRANT_MARGIN_S)
        self.assertTrue(self.pool.is_idle)

    async def test_grants_of_an_instance_that_is_gone_end(self) -> None:
        await self.first(make_ask('g1', ends_in_s=2 * LONG_S))
        self.servers.put(make_entry('s2'))
        ask = make_ask('g2', ends_in_s=2 * LONG_S, home_id=OTHER_HOME)
        await self.first(ask)
        now_s = time.monotonic()
        self.pool.renew(OTHER_HOME, now_s + LONG_S)
        self.pool.tick(now_s + LONG_S)
        self.assertEqual(self.pool.used_count, 1)

    async def test_a_new_owner_grants_only_what_is_not_in_use(self) -> None:
        used = UsedSlot(make_demand('g1'), ServerId('s1'), has_begun=True)
        self.tell(used=(used,))
        self.tell(used=(used,))
        answers = await self.queue(make_ask('g2', home_id=OTHER_HOME))
        self.tell(ended=(make_ended('g1'),))
        self.assertIsInstance(await anext(answers), SlotGranted)

    async def test_an_owner_that_stops_sends_queued_calls_away(self) -> None:
        await self.first(make_ask('g1'))
        answers = await self.queue(make_ask('g2'))
        links = mock.Mock(request=mock.AsyncMock())
        stops = SlotOwnerStops('owner:1', 'start')
        stop = asyncio.create_task(self.owner.stop(links, stops))
        self.assertEqual(await anext(answers), STOPPING)
        self.assertEqual(await self.first(make_ask('g3')), STOPPING)
        await stop
        # The instance of the slot in use tells it to the next owner.
        self.assertEqual(links.request.call_args.args[:2], ('home:1', stops))
