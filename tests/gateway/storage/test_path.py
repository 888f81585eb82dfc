import asyncio
import unittest

from result import Err
from result import Ok

from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.storage.path import StorePath
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.platform.store import PlatformStore
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from soak.proxy import FaultProxy
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.scripted_server import ScriptedServer

KEY = RowKey('table', 'part', 'key')
KEPT_CONNECTIONS = 5


class StorePathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rows = MemoryRowStore()
        self.direct = self.stand_in()
        self.other = self.stand_in()
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)
        self.links = PeerLinks()
        self.addAsyncCleanup(self.links.close)
        # Another instance, which reaches the store.
        peers = PeerServer()
        other = StorePath(
            self.pool, HOST, self.other.port, self.links, lambda: []
        )
        other.register(peers)
        self.peer_address = f'{HOST}:{free_port()}'
        await peers.start(self.peer_address, None)
        self.addAsyncCleanup(peers.stop, 0)
        self.path = StorePath(
            self.pool,
            HOST,
            self.direct.port,
            self.links,
            lambda: [self.peer_address],
        )
        self.store = PlatformStore(self.path)

    def stand_in(self) -> PlatformStoreStandIn:
        stand_in = PlatformStoreStandIn(self.rows)
        stand_in.start(HOST)
        self.addCleanup(stand_in.stop)
        return stand_in

    # Guards against a stand-in that refuses what it has applied.
    async def test_lost_answer_of_the_stand_in_is_no_refusal(self) -> None:
        alone = StorePath(
            self.pool, HOST, self.direct.port, self.links, lambda: []
        )
        self.rows.injected_faults.append(StoreFault.ANSWER_LOST)
        outcome = await PlatformStore(alone).transact(
            RowTransaction(((KEY, 0),), ((KEY, b'value'),)), 1.0
        )
        self.assertIsInstance(outcome, OutcomeUnknown)
        self.assertEqual(self.rows.rows_by_key[KEY].value, b'value')

    # Guards against half a body of the store that is read as a whole one.
    async def test_answer_that_may_be_cut_is_none(self) -> None:
        async def unframed(received: ReceivedRequest) -> None:
            received.writer.write(b'HTTP/1.1 200 OK\r\n\r\nhalf')
            await received.writer.drain()
            received.writer.close()

        server = await ScriptedServer(unframed).start()
        self.addAsyncCleanup(server.stop)
        path = StorePath(self.pool, HOST, server.port, self.links, lambda: [])
        found = await path.call('GET', '/object', b'', 1.0)
        assert isinstance(found, Err), found
        self.assertIs(found.err_value.fault, Fault.LOST)

    async def test_direct_path_is_used_without_relays(self) -> None:
        self.rows.put(KEY, b'value')
        found = (await self.store.read('table', 'part')).unwrap()
        self.assertEqual(found.rows[0].value, b'value')
        self.assertEqual(self.other.call_count, 0)

    async def test_refused_instance_reads_by_relay(self) -> None:
        self.rows.put(KEY, b'value')
        self.direct.is_refusing = True
        for _ in range(3):
            found = (await self.store.read('table', 'part')).unwrap()
            self.assertEqual(found.rows[0].value, b'value')
        # The refusing path is not tried again at each call.
        self.assertEqual(self.direct.call_count, 1)

    async def test_unanswered_write_is_applied_once_by_relay(self) -> None:
        self.direct.is_silent = True
        transaction = RowTransaction(((KEY, 0),), ((KEY, b'value'),))
        await self.store.transact(transaction, 0.3)
        self.assertEqual(len(self.rows.transactions), 1)
        self.assertEqual(self.rows.rows_by_key[KEY].value, b'value')

    # Guards against writes that were applied and are reported as not applied.
    async def test_write_whose_relayed_answer_is_lost_is_in_doubt(
        self,
    ) -> None:
        self.direct.is_refusing = True
        await self.assert_lost_answer_leaves_doubt()

    async def test_write_is_in_doubt_if_a_later_path_refuses_it(self) -> None:
        self.direct.is_refusing = True
        # From now on the relay is tried before the direct path.
        (await self.store.read('table', 'part')).unwrap()
        await self.assert_lost_answer_leaves_doubt()

    async def test_write_whose_direct_answer_is_lost_is_in_doubt(
        self,
    ) -> None:
        self.other.is_refusing = True
        await self.assert_lost_answer_leaves_doubt()

    async def assert_lost_answer_leaves_doubt(self) -> None:
        self.rows.injected_faults.append(StoreFault.ANSWER_LOST)
        transaction = RowTransaction(((KEY, 0),), ((KEY, b'value'),))
        outcome = await self.store.transact(transaction, 1.0)
        self.assertEqual(self.rows.rows_by_key[KEY].value, b'value')
        self.assertIsInstance(outcome, OutcomeUnknown)

    # Guards against reads that fail, one after another, on each connection
    # that was kept before all of them fell silent.
    async def test_read_goes_on_over_a_new_connection(self) -> None:
        proxy = FaultProxy(HOST, (HOST, self.direct.port))
        await proxy.start()
        self.addCleanup(proxy.stop)
        path = StorePath(self.pool, HOST, proxy.port, self.links, lambda: [])
        store = PlatformStore(path)
        reads = (store.read('table', '') for _ in range(KEPT_CONNECTIONS))
        await asyncio.gather(*reads)
        self.rows.put(RowKey('table', '', 'a'), b'value')
        proxy.silence_connections()
        found = (await store.read('table', '')).unwrap()
        self.assertEqual(len(found.rows), 1)

    async def test_read_fails_if_no_path_reaches_the_store(self) -> None:
        self.direct.is_refusing = True
        self.other.is_refusing = True
        found = await self.store.read('table', 'part')
        self.assertIsInstance(found, Err)

    async def test_write_under_an_old_version_conflicts(self) -> None:
        transaction = RowTransaction(((KEY, 0),), ((KEY, b'one'),))
        first = await self.store.transact(transaction, 1.0)
        second = await self.store.transact(transaction, 1.0)
        self.assertEqual(type(first).__name__, 'Committed')
        self.assertEqual(type(second).__name__, 'RowConflict')

    async def test_changes_are_those_after_a_version(self) -> None:
        self.rows.put(KEY, b'value')
        found = await self.store.changes('table', 0, 0.1)
        assert isinstance(found, Ok)
        self.assertEqual(found.ok_value.rows[0].key, KEY)
        found = await self.store.changes('table', found.ok_value.version, 0.1)
        assert isinstance(found, Ok)
        self.assertEqual(found.ok_value.rows, ())
