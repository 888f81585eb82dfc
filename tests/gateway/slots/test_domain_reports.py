import asyncio
from dataclasses import replace
import json
from typing import Any
import unittest

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.gateway.slots.domain_reports import DomainReports
from jackdawfield.gateway.slots.domain_reports import REPORT_INTERVAL_S
from jackdawfield.messages.base import decode
from jackdawfield.messages.base import encode
from jackdawfield.messages.fleet_loads import DomainLoads
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId
from jackdawfield.model import ServiceName
from jackdawfield.platform.settings import decode_settings
from tests.platform_adapter.test_settings import SETTINGS

# A quarter of the interval, without a rounding error.
STEP_S = REPORT_INTERVAL_S / 4
CHAT = ServiceName('chat')
# Domains a, b and c are in region r, d in region s.
REGIONS = {'a': 'r', 'b': 'r', 'c': 'r', 'd': 's'}


def idle_report(domain: str) -> PeerReport:
    return PeerReport(
        0.0,
        DomainId(domain),
        RegionId(REGIONS[domain]),
        usable=True,
        wait_s=0.0,
        open_slots=9,
        call_s=0.01,
        token_s=0.005,
    )


class FakeOwner:
    """Holds one report for each service, and what others reported."""

    def __init__(self, domain: str, services: tuple[ServiceName, ...]) -> None:
        self.report = idle_report(domain)
        self.services = services
        self.applied: list[PeerReport] = []
        self.is_owner = True
        # Time since its reports were made.
        self.age_s = 0.0

    def reports(
        self, now_s: float
    ) -> tuple[tuple[ServiceName, PeerReport], ...]:
        report = replace(self.report, now_s=now_s - self.age_s)
        return tuple((service, report) for service in self.services)

    def apply_report(self, service: ServiceName, report: PeerReport) -> None:
        self.applied.append(report)

    def owns(self, service: ServiceName) -> bool:
        return self.is_owner

    def find_address(
        self, domain_id: DomainId, service: ServiceName
    ) -> str | None:
        return domain_id


class FakeNetwork:
    """Passes messages to the domains' owners and moves a clock."""

    def __init__(self, services: tuple[ServiceName, ...] = (CHAT,)) -> None:
        self.now_s = 100.0
        self.way_s = 0.0
        self.is_cut = False
        self.sent: list[tuple[str, DomainLoads]] = []
        self.owners = {name: FakeOwner(name, services) for name in REGIONS}
        self.reports = {
            name: self._reports_of(name, owner)
            for name, owner in self.owners.items()
        }

    def _reports_of(self, name: str, owner: FakeOwner) -> DomainReports:
        region = REGIONS[name]
        wire = {**SETTINGS, 'zone': name, 'region': region, 'zones': REGIONS}
        settings = decode_settings(json.dumps(wire))
        return DomainReports(
            settings, name, owner, owner, self, lambda: self.now_s
        )

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Any]:
        assert isinstance(message, DomainLoads)
        self.sent.append((address, message))
        if self.is_cut:
            return Err('timeout')
        self.now_s += self.way_s
        arrived = decode(*encode(message)).unwrap()
        answer = await self.reports[address].handle_loads(arrived)
        self.now_s += self.way_s
        return Ok(answer)

    async def send_from(self, name: str) -> None:
        self.reports[name].send_due()
        await asyncio.sleep(0)

    async def play(self, name: str, seconds: int, changes: bool) -> None:
        owner = self.owners[name]
        for tick in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            if changes:
                owner.report = replace(owner.report, wait_s=float(tick))
            await self.send_from(name)

    def count_to(self, name: str) -> int:
        return sum(address == name for address, _ in self.sent)

    def last_from(self, sender: str, receiver: str) -> PeerReport:
        return [
            report
            for report in self.owners[receiver].applied
            if report.domain_id == sender
        ][-1]


class RateTest(unittest.IsolatedAsyncioTestCase):
    async def test_changing_load_is_reported_a_few_times_a_second(
        self,
    ) -> None:
        network = FakeNetwork(tuple(ServiceName(f's{n}') for n in range(9)))
        await network.play('a', seconds=10, changes=True)
        self.assertLessEqual(network.count_to('b'), 40)
        self.assertGreaterEqual(network.count_to('b'), 30)
        self.assertLessEqual(network.count_to('d'), 10)

    async def test_steady_load_is_reported_once_a_second(self) -> None:
        network = FakeNetwork()
        await network.play('a', seconds=10, changes=False)
        self.assertLessEqual(network.count_to('b'), 11)
        self.assertGreaterEqual(network.count_to('b'), 9)

    async def test_queue_elsewhere_is_answered_by_frequent_reports(
        self,
    ) -> None:
        network = FakeNetwork()
        owner = network.owners['b']
        owner.report = replace(owner.report, queued=3, open_slots=0)
        await network.send_from('b')
        await network.play('a', seconds=1, changes=False)
        self.assertGreaterEqual(network.count_to('b'), 3)
        self.assertLessEqual(network.count_to('c'), 3)

    async def test_instance_that_is_no_owner_reports_nothing(self) -> None:
        network = FakeNetwork()
        network.owners['a'].is_owner = False
        await network.send_from('a')
        self.assertEqual([], network.sent)


class OfferTest(unittest.IsolatedAsyncioTestCase):
    async def test_open_slots_are_divided_by_what_is_queued(self) -> None:
        network = FakeNetwork()
        for name, queued in (('b', 7), ('d', 2)):
            owner = network.owners[name]
            owner.report = replace(owner.report, queued=queued)
            await network.send_from(name)
        network.owners['a'].report = replace(idle_report('a'), open_slots=11)
        await network.send_from('a')
        offers = {
            name: network.last_from('a', name).open_slots for name in 'bcd'
        }
        self.assertEqual({'b': 8, 'c': 1, 'd': 2}, offers)

    async def test_old_queue_counts_no_more(self) -> None:
        network = FakeNetwork()
        owner = network.owners['b']
        owner.report = replace(owner.report, queued=7)
        await network.send_from('b')
        network.now_s += 5.0
        network.owners['a'].report = replace(idle_report('a'), open_slots=2)
        await network.send_from('a')
        self.assertEqual(1, network.last_from('a', 'c').open_slots)


class AgeTest(unittest.IsolatedAsyncioTestCase):
    async def test_round_trip_is_measured_and_taken_from_the_age(
        self,
    ) -> None:
        network = FakeNetwork()
        network.way_s = 0.006
        await network.send_from('b')
        self.assertAlmostEqual(
            0.012, network.reports['b'].round_trip_s(DomainId('a'))
        )
        made_at_s = network.now_s + 1.0
        network.now_s = made_at_s
        await network.send_from('a')
        report = network.last_from('a', 'b')
        self.assertAlmostEqual(0.012, report.round_trip_s)
        self.assertAlmostEqual(made_at_s, report.now_s)

    async def test_delayed_report_is_as_old_as_it_is(self) -> None:
        network = FakeNetwork()
        await network.send_from('a')
        network.now_s += 2.0
        made_at_s = network.now_s
        network.way_s = 1.5
        await network.send_from('a')
        self.assertAlmostEqual(made_at_s, network.last_from('a', 'b').now_s)

    async def test_cut_domain_is_logged_once(self) -> None:
        network = FakeNetwork()
        network.is_cut = True
        with self.assertLogs(level='INFO') as logs:
            await network.play('a', seconds=10, changes=True)
            network.is_cut = False
            await network.play('a', seconds=2, changes=True)
        lines = [line for line in logs.output if 'domain=b' in line]
        self.assertEqual(2, len(lines))
        self.assertIn('domain_unreached', lines[0])
        self.assertIn('domain_reached', lines[1])

    async def test_report_made_before_it_was_sent_is_older(self) -> None:
        network = FakeNetwork()
        network.owners['a'].age_s = 0.3
        await network.send_from('a')
        report = network.last_from('a', 'b')
        self.assertAlmostEqual(network.now_s - 0.3, report.now_s)

    async def test_unknown_domain_is_ignored(self) -> None:
        network = FakeNetwork()
        await network.send_from('a')
        _, message = network.sent[0]
        before = len(network.owners['b'].applied)
        unknown = replace(message, domain_id=DomainId('z'))
        await network.reports['b'].handle_loads(unknown)
        self.assertEqual(before, len(network.owners['b'].applied))
