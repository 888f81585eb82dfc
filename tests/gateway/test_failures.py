"""The pattern: servers fail part of what many instances seldom send them."""

import asyncio
import unittest

from jackdawfield.gateway.failures import FailureReports
from jackdawfield.gateway.failures import OWN_FAULT_SERVERS
from jackdawfield.gateway.member_rows import MemberRow
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers import HANG_S
from jackdawfield.gateway.servers import MOST_SHUNNED
from jackdawfield.gateway.servers import note_success
from jackdawfield.gateway.servers import Servers
from jackdawfield.gateway.servers import Wanted
from jackdawfield.gateway.standing import FIRST_SHUN_S
from jackdawfield.gateway.standing import MOST_SHUN_S
from jackdawfield.gateway.standing import SPREAD
from jackdawfield.gateway.standing import Standing
from jackdawfield.gateway.standing import WINDOW_S
from jackdawfield.messages.fleet_servers import ServerFailed
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

DOMAIN = DomainId('here')
NEAR = RegionId('near')
FAR = RegionId('far')
SERVICE = ServiceName('model')


def fleet(count: int) -> Servers:
    """Return servers that are all alike."""
    servers = Servers(DOMAIN, {DOMAIN: NEAR})
    for number in range(count):
        name = ServerId(f's{number}')
        servers.put(
            ServerEntry(name, SERVICE, '127.0.0.1', 1, DOMAIN, 4, False, 7)
        )
    return servers


class Links:
    """Hands messages to the other instance."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ServerFailed]] = []

    async def request(
        self, address: str, message: ServerFailed, _: float
    ) -> None:
        self.sent.append((address, message))


class Members:
    """Knows two other instances."""

    others_by_id = {
        name: MemberRow(name, DOMAIN, NEAR, 'i') for name in ('a', 'b')
    }


class FailuresTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.servers = fleet(9)
        self.links = Links()
        self.reports = FailureReports(
            NEAR,
            self.servers,
            Members(),  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )

    def shunned(self, name: str) -> bool:
        state = self.servers.by_id[ServerId(name)]
        return state.standing.shunned(asyncio.get_running_loop().time())

    async def hear(self, region: RegionId, started_ms: int = 7) -> None:
        report = ServerFailed(ServerId('s1'), started_ms, region)
        await self.reports._answer(report)

    async def test_failure_is_told_to_every_instance(self) -> None:
        self.reports.report(self.servers.by_id[ServerId('s1')])
        await asyncio.sleep(0)
        self.assertEqual([a for a, _ in self.links.sent], ['a', 'b'])
        # The same server again is told once in a while only.
        self.reports.report(self.servers.by_id[ServerId('s1')])
        await asyncio.sleep(0)
        self.assertEqual(len(self.links.sent), 2)

    async def test_failures_of_two_instances_shun_a_server(self) -> None:
        await self.hear(NEAR)
        self.assertFalse(self.shunned('s1'))
        await self.hear(NEAR)
        self.assertTrue(self.shunned('s1'))

    async def test_other_region_weighs_less(self) -> None:
        for _ in range(3):
            await self.hear(FAR)
        self.assertFalse(self.shunned('s1'))
        await self.hear(FAR)
        self.assertTrue(self.shunned('s1'))

    async def test_earlier_start_of_a_server_does_not_count(self) -> None:
        for _ in range(4):
            await self.hear(NEAR, started_ms=6)
        self.assertFalse(self.shunned('s1'))

    async def test_own_fault_is_not_told_as_the_servers(self) -> None:
        for number in range(OWN_FAULT_SERVERS + 4):
            self.reports.report(self.servers.by_id[ServerId(f's{number}')])
        await asyncio.sleep(0)
        told = {message.server_id for _, message in self.links.sent}
        self.assertEqual(len(told), OWN_FAULT_SERVERS - 1)


class ShunnedServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = fleet(9)
        self.wanted = Wanted(SERVICE, 'key')

    def shun(self, name: str, now_s: float) -> None:
        for _ in range(2):
            self.servers.by_id[ServerId(name)].standing.note(1.0, now_s)

    def test_shunned_server_is_not_chosen(self) -> None:
        first = self.servers.choose(self.wanted, 0.0)
        assert first is not None
        self.shun(first.entry.server_id, 0.0)
        second = self.servers.choose(self.wanted, 0.0)
        self.assertIsNot(second, first)
        # Answers that the server still ends do not speak for it.
        note_success(first)
        self.assertIs(self.servers.choose(self.wanted, 0.1), second)
        later_s = 2 * FIRST_SHUN_S
        self.assertIs(self.servers.choose(self.wanted, later_s), first)

    def test_share_of_shunned_servers_is_bounded(self) -> None:
        for number in range(9):
            self.shun(f's{number}', 0.0)
        chosen = set()
        for number in range(200):
            wanted = Wanted(SERVICE, f'key-{number}')
            found = self.servers.choose(wanted, 0.1)
            assert found is not None
            chosen.add(found.entry.server_id)
        self.assertEqual(len(chosen), 9 - int(9 * MOST_SHUNNED))

    def test_one_server_that_hangs_stands_out(self) -> None:
        hanging = self.servers.by_id[ServerId('s1')]
        hanging.due_since_by_number[1] = 0.0
        self.assertTrue(self.servers.hangs(hanging, HANG_S))

    def test_wait_at_every_server_is_load_and_no_fault(self) -> None:
        for state in self.servers.by_id.values():
            state.due_since_by_number[1] = 0.0
        state = self.servers.by_id[ServerId('s1')]
        self.assertFalse(self.servers.hangs(state, HANG_S))


class StandingTest(unittest.TestCase):
    def test_seldom_failures_do_not_add_up(self) -> None:
        standing = Standing()
        for number in range(20):
            self.assertFalse(standing.note(1.0, number * (WINDOW_S + 0.1)))

    def test_server_that_fails_again_is_left_alone_for_longer(self) -> None:
        standing = Standing()
        now_s = 0.0
        shunned_s = []
        for _ in range(6):
            standing.note(1.0, now_s)
            standing.note(1.0, now_s)
            shunned_s.append(standing.shunned_s)
            now_s = standing.shunned_until_s
        self.assertEqual(shunned_s, [1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
        now_s += MOST_SHUN_S + 1
        standing.note(2.0, now_s)
        self.assertEqual(standing.shunned_s, FIRST_SHUN_S)

    def test_instances_come_back_one_after_another(self) -> None:
        orders = (0.0, 0.5, 1.0)
        untils = []
        for order in orders:
            standing = Standing(trial_order=order)
            standing.note(2.0, 0.0)
            untils.append(standing.shunned_until_s)
        self.assertEqual(untils, [1 + SPREAD * order for order in orders])


if __name__ == '__main__':
    unittest.main()
