"""Test the choice of servers.

The servers of one region may be full while those of another are idle.
"""

import unittest

from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import AVOID_S
from jackdawfield.gateway.servers.choice import MISSING_GRACE_S
from jackdawfield.gateway.servers.choice import record_failure
from jackdawfield.gateway.servers.choice import record_full
from jackdawfield.gateway.servers.choice import record_success
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.model import DomainId
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
