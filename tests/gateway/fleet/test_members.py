import unittest

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.member_rows import decode_member
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.members import MEMBERS_TABLE
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.model import InstanceId
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST
from tests.gateway.harness import settings_of


class MembersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryRowStore()
        self.links = PeerLinks()
        self.addAsyncCleanup(self.links.close)

    def instance(self, name: str, incarnation: str) -> Members:
        port = free_port()
        seeds = (f'{HOST}:{port}', f'{HOST}:9')
        settings = settings_of(name, port, 3, *seeds)
        return Members(settings, self.store, self.links, incarnation)

    def row(self, name: str) -> MemberRow:
        value = self.store.rows_by_key[RowKey(MEMBERS_TABLE, '', name)].value
        assert value is not None
        return decode_member(value)

    async def reload(self, members: Members) -> None:
        read = await self.store.read(MEMBERS_TABLE, '')
        members.apply_snapshot(read.unwrap().rows, False)

    async def join_and_establish(self, name: str, incarnation: str) -> Members:
        members = self.instance(name, incarnation)
        await members.join()
        await self.reload(members)
        await members.write_established()
        await self.reload(members)
        return members

    async def test_restart_inherits_established_ownerships_only(self) -> None:
        await self.join_and_establish('a', '1')
        self.assertTrue(self.row('a').established)
        restarted = self.instance('a', '2')
        await restarted.join()
        self.assertTrue(restarted.inherited)
        new = self.instance('b', '1')
        await new.join()
        self.assertFalse(new.inherited)
        again = self.instance('b', '2')
        await again.join()
        self.assertFalse(again.inherited)

    async def test_nothing_is_inherited_during_a_takeover(self) -> None:
        await self.join_and_establish('a', '1')
        observer = await self.join_and_establish('b', '1')
        await self.reload(observer)
        await observer._suspend_if_unreachable(InstanceId('a'))
        self.assertTrue(self.row('a').proven_dead)
        restarted = self.instance('b', '2')
        await restarted.join()
        self.assertFalse(restarted.inherited)

    async def test_restart_after_leaving_inherits_nothing(self) -> None:
        members = await self.join_and_establish('a', '1')
        await members.leave()
        self.assertTrue(self.row('a').left)
        restarted = self.instance('a', '2')
        await restarted.join()
        self.assertFalse(restarted.inherited)

    async def test_live_instance_is_not_suspended(self) -> None:
        live = await self.join_and_establish('a', '1')
        server = PeerServer()
        live.register(server)
        await server.start(live.own_row.address, None)
        self.addAsyncCleanup(server.stop, 0)
        observer = await self.join_and_establish('b', '1')
        await observer._suspend_if_unreachable(InstanceId('a'))
        self.assertTrue(self.row('a').is_serving)

    async def test_suspended_instance_rejoins(self) -> None:
        suspended = await self.join_and_establish('a', '1')
        observer = await self.join_and_establish('b', '1')
        await observer._suspend_if_unreachable(InstanceId('a'))
        await self.reload(suspended)
        assert suspended._rejoin_task is not None
        await suspended._rejoin_task
        row = self.row('a')
        self.assertTrue(row.is_serving)
        self.assertFalse(row.established)

    async def test_join_whose_answer_was_lost_is_not_repeated(self) -> None:
        self.store.injected_faults.extend(
            [StoreFault.NONE, StoreFault.ANSWER_LOST]
        )
        members = self.instance('a', '1')
        await members.join()
        self.assertTrue(members.has_joined)
        self.assertEqual(len(self.store.transactions), 1)

    async def test_suspended_member_is_cleared(self) -> None:
        await self.join_and_establish('a', '1')
        observer = await self.join_and_establish('b', '1')
        await observer._suspend_if_unreachable(InstanceId('a'))
        await self.reload(observer)
        observer._next_write_s = 0.0
        await observer.clear_suspended()
        self.assertTrue(self.row('a').left)

    async def test_seeds_are_relays_while_no_member_is_known(self) -> None:
        members = self.instance('a', '1')
        self.assertEqual(members.relay_addresses(), [f'{HOST}:9'])
