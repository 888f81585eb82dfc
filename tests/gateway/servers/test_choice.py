"""Test the choice of servers.

The servers of one region may be full while those of another are idle.
"""

import unittest

from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import AVOID_S
from jackdawfield.gateway.servers.choice import KeptConnections
from jackdawfield.gateway.servers.choice import MISSING_GRACE_S
from jackdawfield.gateway.servers.choice import record_failure
from jackdawfield.gateway.servers.choice import record_full
from jackdawfield.gateway.servers.choice import record_success
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

SERVICE = ServiceName('model')
REGIONS = {
    DomainId('here'): RegionId('near'),
    DomainId('beside'): RegionId('near'),
    DomainId('away'): RegionId('far'),
}


def entry(name: str, domain: str, **changes: object) -> ServerEntry:
    values: dict[str, object] = {
        'server_id': ServerId(name),
        'service': SERVICE,
        'host': '127.0.0.1',
        'port': 1,
        'domain_id': DomainId(domain),
        'slots': 16,
        'is_draining': False,
        'started_ms': 0,
    }
    return ServerEntry(**{**values, **changes})  # type: ignore[arg-type]


class ServersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = Servers(DomainId('here'), REGIONS)
        for name, domain in (
            ('s1', 'here'),
            ('s2', 'beside'),
            ('s3', 'away'),
        ):
            self.servers.put(entry(name, domain))

    def choose(self, now_s: float = 0.0, **changes: object) -> str | None:
        criteria = ServerCriteria(
            SERVICE,
            'key',
            **changes,  # type: ignore[arg-type]
        )
        state = self.servers.choose(criteria, now_s)
        return state.entry.server_id if state else None

    def record_waits(self, name: str, first_s: float, now_s: float) -> None:
        state = self.servers.by_id[ServerId(name)]
        for _ in range(10):
            state.record_wait(first_s, now_s)

    def test_idle_servers_are_chosen_in_the_own_failure_domain(self) -> None:
        self.assertEqual(self.choose(), 's1')

    def test_idle_region_is_chosen_before_a_full_one(self) -> None:
        self.record_waits('s1', 0.6, 1.0)
        self.record_waits('s2', 0.6, 1.0)
        self.assertEqual(self.choose(1.0), 's3')

    def test_request_in_progress_counts_before_its_first_piece(self) -> None:
        for name in ('s1', 's2'):
            state = self.servers.by_id[ServerId(name)]
            state.awaiting_since_s_by_connection[1] = 1.0
        self.assertEqual(self.choose(1.5), 's3')

    def test_server_without_requests_is_tried_again(self) -> None:
        self.record_waits('s1', 0.6, 1.0)
        self.record_waits('s2', 0.6, 1.0)
        self.assertEqual(self.choose(9.0), 's1')

    def test_preferred_server_is_chosen_unless_it_is_full(self) -> None:
        preferred = ServerId('s2')
        self.assertEqual(self.choose(preferred_id=preferred), 's2')
        self.record_waits('s2', 0.6, 1.0)
        self.assertEqual(self.choose(1.0, preferred_id=preferred), 's1')

    def test_full_draining_and_failing_servers_are_not_preferred(self) -> None:
        record_full(self.servers.by_id[ServerId('s1')], 1.0)
        self.assertEqual(self.choose(1.0), 's2')
        self.servers.put(entry('s2', 'beside', is_draining=True))
        self.assertEqual(self.choose(1.0), 's3')
        failing = self.servers.by_id[ServerId('s3')]
        record_failure(failing, 1.0)
        record_failure(failing, 1.0)
        self.assertEqual(self.choose(1.0), 's1')
        self.assertEqual(self.choose(1.0 + 2 * AVOID_S), 's1')
        record_success(failing)
        self.assertEqual(failing.avoid_until_s, 0.0)

    def test_entry_missing_after_an_outage_may_return(self) -> None:
        self.servers.remove(ServerId('s1'), 1.0, after_outage=True)
        self.assertEqual(self.choose(1.0), 's1')
        self.servers.put(entry('s1', 'here'))
        self.assertEqual(self.servers.expire(1.0 + 2 * MISSING_GRACE_S), [])
        self.servers.remove(ServerId('s1'), 10.0, after_outage=True)
        gone = self.servers.expire(10.0 + MISSING_GRACE_S)
        self.assertEqual(gone, ['s1'])

    def test_removed_server_is_not_chosen(self) -> None:
        self.servers.remove(ServerId('s1'), 1.0, after_outage=False)
        self.assertEqual(self.choose(1.0), 's2')

    def test_new_start_under_the_same_id_is_another_server(self) -> None:
        self.servers.by_id[ServerId('s1')].failures = 5
        self.servers.put(entry('s1', 'here', started_ms=7))
        self.assertEqual(self.servers.by_id[ServerId('s1')].failures, 0)


class KeptConnectionsTest(unittest.TestCase):
    """Test a fleet whose instances each send a few calls to many servers.

    A choice that spreads sessions over all servers opens a connection for
    almost every call.
    """

    SERVER_COUNT = 8
    CALL_COUNT = 40

    def servers(self, instance: str | None) -> Servers:
        self.connected: set[int] = set()
        kept = None
        if instance is not None:
            kept = KeptConnections(
                InstanceId(instance), lambda _, port: port in self.connected
            )
        servers = Servers(DomainId('here'), REGIONS, kept)
        for n in range(self.SERVER_COUNT):
            servers.put(entry(f's{n}', 'here', port=n))
            servers.put(entry(f'b{n}', 'beside', port=100 + n))
        return servers

    def ports_of_calls(self, servers: Servers) -> set[int]:
        """Return the servers of calls of which each ends before the next."""
        for n in range(self.CALL_COUNT):
            criteria = ServerCriteria(SERVICE, f'session-{n}')
            state = servers.choose(criteria, 0.0)
            assert state is not None
            self.connected.add(state.entry.port)
        return self.connected

    def test_calls_one_after_another_use_one_connection(self) -> None:
        spread = self.ports_of_calls(self.servers(None))
        self.assertEqual(len(spread), self.SERVER_COUNT)
        self.assertEqual(len(self.ports_of_calls(self.servers('i-1'))), 1)

    def test_instances_keep_to_different_servers(self) -> None:
        firsts = [
            self.ports_of_calls(self.servers(f'i-{n}')).pop()
            for n in range(64)
        ]
        share = len(firsts) / self.SERVER_COUNT
        most = max(firsts.count(port) for port in set(firsts))
        self.assertEqual(len(set(firsts)), self.SERVER_COUNT)
        self.assertLess(most, 3 * share)

    def test_connected_server_that_is_busy_is_not_waited_for(self) -> None:
        servers = self.servers('i-1')
        (port,) = self.ports_of_calls(servers)
        state = servers.by_id[ServerId(f's{port}')]
        state.in_flight = state.entry.slots
        other = servers.choose(ServerCriteria(SERVICE, 'key'), 0.0)
        assert other is not None
        self.assertNotEqual(other.entry.port, port)

    def test_connection_to_another_domain_does_not_draw_calls(self) -> None:
        servers = self.servers('i-1')
        self.connected.add(100)
        state = servers.choose(ServerCriteria(SERVICE, 'key'), 0.0)
        assert state is not None
        self.assertEqual(state.entry.domain_id, 'here')
