"""Test the ejection of failing servers.

Each of many instances sends a server few requests, so the failures of a
server add up only over the instances.
"""

import asyncio
import unittest

from jackdawfield.gateway.fleet.broadcast import Broadcast
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import HANG_S
from jackdawfield.gateway.servers.choice import MAX_EJECTED_SHARE
from jackdawfield.gateway.servers.choice import record_success
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.ejection import EjectionState
from jackdawfield.gateway.servers.ejection import FIRST_EJECTION_S
from jackdawfield.gateway.servers.ejection import JITTER_SHARE
from jackdawfield.gateway.servers.ejection import MAX_EJECTION_S
from jackdawfield.gateway.servers.ejection import REPORT_WINDOW_S
from jackdawfield.gateway.servers.failures import FailureReports
from jackdawfield.gateway.servers.failures import OWN_FAULT_SERVERS
from jackdawfield.messages.fleet_servers import ServerEjected
from jackdawfield.messages.fleet_servers import ServerFailed
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

DOMAIN = DomainId('here')
NEAR = RegionId('near')
FAR = RegionId('far')
SERVICE = ServiceName('model')


def server_list(count: int) -> Servers:
    """Return identical servers."""
    servers = Servers(DOMAIN, {DOMAIN: NEAR})
    for number in range(count):
        name = ServerId(f's{number}')
        servers.put(
            ServerEntry(name, SERVICE, '127.0.0.1', 1, DOMAIN, 4, False, 7)
        )
    return servers


class RecordingLinks:
    """Records the messages that are sent to other instances."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ServerFailed | ServerEjected]] = []

    async def request(
        self, address: str, message: ServerFailed | ServerEjected, _: float
    ) -> None:
        self.sent.append((address, message))


class Settings:
    region_id = NEAR


class Members:
    """Holds two other members, and a seat of the instance or none."""

    settings = Settings()
    rows_by_seat = {
        SeatId(name): MemberRow(InstanceId(name), name, DOMAIN, NEAR, 'i')
        for name in ('a', 'b')
    }
    other_rows_by_seat = rows_by_seat
    own_seat: SeatId | None = SeatId('own')

    def nearest_seat(self) -> SeatId:
        return SeatId('a')


class Sharing:
    """Holds two instances that follow tables through this one."""

    def follower_addresses(self) -> list[str]:
        return ['f1', 'f2']


class FailuresTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.servers = server_list(9)
        self.links = RecordingLinks()
        self.members = Members()
        self.reports = FailureReports(
            self.servers,
            self.members.settings.region_id,
            Broadcast(
                self.members,  # type: ignore[arg-type]
                Sharing(),  # type: ignore[arg-type]
                self.links,  # type: ignore[arg-type]
            ),
        )

    @property
    def reported_to(self) -> list[str]:
        return [
            address
            for address, message in self.links.sent
            if isinstance(message, ServerFailed)
        ]

    def is_ejected(self, name: str) -> bool:
        state = self.servers.by_id[ServerId(name)]
        return state.ejection.is_ejected(asyncio.get_running_loop().time())

    async def receive_report(
        self, region: RegionId, started_ms: int = 7, forwarded: bool = True
    ) -> None:
        report = ServerFailed(ServerId('s1'), started_ms, region, forwarded)
        await self.reports._handle_report(report)

    async def test_member_reports_a_failure_to_every_member(self) -> None:
        self.reports.report(self.servers.by_id[ServerId('s1')])
        await asyncio.sleep(0)
        self.assertEqual(self.reported_to, ['a', 'b'])
        # The same server is not reported again within REPORT_INTERVAL_S.
        self.reports.report(self.servers.by_id[ServerId('s1')])
        await asyncio.sleep(0)
        self.assertEqual(len(self.reported_to), 2)

    async def test_other_instance_reports_to_one_member_only(self) -> None:
        self.members.own_seat = None
        self.reports.report(self.servers.by_id[ServerId('s1')])
        await asyncio.sleep(0)
        self.assertEqual(self.reported_to, ['a'])

    async def test_member_passes_a_report_on_once(self) -> None:
        await self.receive_report(NEAR, forwarded=False)
        await asyncio.sleep(0)
        self.assertEqual(self.reported_to, ['a', 'b'])
        await self.receive_report(NEAR)
        await asyncio.sleep(0)
        self.assertEqual(len(self.reported_to), 2)

    async def test_ejection_is_told_to_the_followers(self) -> None:
        for _ in range(2):
            await self.receive_report(NEAR)
        await asyncio.sleep(0)
        told = [
            (address, message.times)
            for address, message in self.links.sent
            if isinstance(message, ServerEjected)
        ]
        self.assertEqual(told, [('f1', 1), ('f2', 1)])

    async def test_told_ejection_holds(self) -> None:
        await self.reports._handle_ejection(
            ServerEjected(ServerId('s1'), 7, 2.0, 2)
        )
        self.assertTrue(self.is_ejected('s1'))
        await self.reports._handle_ejection(
            ServerEjected(ServerId('s2'), 6, 2.0, 2)
        )
        self.assertFalse(self.is_ejected('s2'))

    async def test_failures_at_two_instances_eject_a_server(self) -> None:
        await self.receive_report(NEAR)
        self.assertFalse(self.is_ejected('s1'))
        await self.receive_report(NEAR)
        self.assertTrue(self.is_ejected('s1'))

    async def test_report_from_another_region_has_less_weight(self) -> None:
        for _ in range(3):
            await self.receive_report(FAR)
        self.assertFalse(self.is_ejected('s1'))
        await self.receive_report(FAR)
        self.assertTrue(self.is_ejected('s1'))

    async def test_report_about_an_earlier_start_of_a_server_is_ignored(
        self,
    ) -> None:
        for _ in range(4):
            await self.receive_report(NEAR, started_ms=6)
        self.assertFalse(self.is_ejected('s1'))

    async def test_fault_of_the_instance_is_not_reported(self) -> None:
        for number in range(OWN_FAULT_SERVERS + 4):
            self.reports.report(self.servers.by_id[ServerId(f's{number}')])
        await asyncio.sleep(0)
        reported_ids = {message.server_id for _, message in self.links.sent}
        self.assertEqual(len(reported_ids), OWN_FAULT_SERVERS - 1)


class EjectedServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = server_list(9)
        self.criteria = ServerCriteria(SERVICE, 'key')

    def eject(self, name: str, now_s: float) -> None:
        for _ in range(2):
            self.servers.by_id[ServerId(name)].ejection.record_report(
                1.0, now_s
            )

    def test_ejected_server_is_not_chosen(self) -> None:
        first = self.servers.choose(self.criteria, 0.0)
        assert first is not None
        self.eject(first.entry.server_id, 0.0)
        second = self.servers.choose(self.criteria, 0.0)
        self.assertIsNot(second, first)
        # A successful response does not end the ejection.
        record_success(first)
        self.assertIs(self.servers.choose(self.criteria, 0.1), second)
        later_s = 2 * FIRST_EJECTION_S
        self.assertIs(self.servers.choose(self.criteria, later_s), first)

    def test_share_of_ejected_servers_is_limited(self) -> None:
        for number in range(9):
            self.eject(f's{number}', 0.0)
        chosen = set()
        for number in range(200):
            criteria = ServerCriteria(SERVICE, f'key-{number}')
            found = self.servers.choose(criteria, 0.1)
            assert found is not None
            chosen.add(found.entry.server_id)
        self.assertEqual(len(chosen), 9 - int(9 * MAX_EJECTED_SHARE))

    def test_others_respond_while_a_single_server_hangs(self) -> None:
        hanging = self.servers.by_id[ServerId('s1')]
        hanging.awaiting_since_s_by_connection[1] = 0.0
        self.assertTrue(self.servers.others_respond(hanging, HANG_S))

    def test_wait_at_every_server_is_load_and_not_a_hang(self) -> None:
        for state in self.servers.by_id.values():
            state.awaiting_since_s_by_connection[1] = 0.0
        state = self.servers.by_id[ServerId('s1')]
        self.assertFalse(self.servers.others_respond(state, HANG_S))


class EjectionStateTest(unittest.TestCase):
    def test_rare_failures_do_not_eject(self) -> None:
        state = EjectionState()
        for number in range(20):
            self.assertFalse(
                state.record_report(1.0, number * (REPORT_WINDOW_S + 0.1))
            )

    def test_ejections_become_longer_with_each_failure(self) -> None:
        state = EjectionState()
        now_s = 0.0
        ejected_s = []
        for _ in range(6):
            state.record_report(1.0, now_s)
            state.record_report(1.0, now_s)
            ejected_s.append(state.ejected_s)
            now_s = state.ejected_until_s
        self.assertEqual(ejected_s, [1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
        now_s += MAX_EJECTION_S + 1
        state.record_report(2.0, now_s)
        self.assertEqual(state.ejected_s, FIRST_EJECTION_S)

    def test_jitter_spreads_the_end_of_ejections(self) -> None:
        jitters = (0.0, 0.5, 1.0)
        ends_s = []
        for jitter in jitters:
            state = EjectionState(jitter=jitter)
            state.record_report(2.0, 0.0)
            ends_s.append(state.ejected_until_s)
        self.assertEqual(
            ends_s, [1 + JITTER_SHARE * jitter for jitter in jitters]
        )


if __name__ == '__main__':
    unittest.main()
