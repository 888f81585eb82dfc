"""The pattern: one region's server is full while others stand idle."""

import unittest

from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers import AVOID_S
from jackdawfield.gateway.servers import note_failure
from jackdawfield.gateway.servers import note_full
from jackdawfield.gateway.servers import note_success
from jackdawfield.gateway.servers import RETURN_S
from jackdawfield.gateway.servers import Servers
from jackdawfield.gateway.servers import Wanted
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
        'leaving': False,
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

    def choose(self, now_s: float = 0.0, **wanted: object) -> str | None:
        asked = Wanted(SERVICE, 'key', **wanted)  # type: ignore[arg-type]
        found = self.servers.choose(asked, now_s)
        return found.entry.server_id if found else None

    def wait_at(self, name: str, first_s: float, now_s: float) -> None:
        state = self.servers.by_id[ServerId(name)]
        for _ in range(10):
            state.note_wait(first_s, now_s)

    def test_idle_fleet_is_served_where_the_call_is(self) -> None:
        self.assertEqual(self.choose(), 's1')

    def test_full_region_is_left_for_an_idle_one(self) -> None:
        self.wait_at('s1', 0.6, 1.0)
        self.wait_at('s2', 0.6, 1.0)
        self.assertEqual(self.choose(1.0), 's3')

    def test_request_that_still_waits_counts_at_once(self) -> None:
        for name in ('s1', 's2'):
            state = self.servers.by_id[ServerId(name)]
            state.due_since_by_number[1] = 1.0
        self.assertEqual(self.choose(1.5), 's3')

    def test_server_without_new_work_is_tried_again(self) -> None:
        self.wait_at('s1', 0.6, 1.0)
        self.wait_at('s2', 0.6, 1.0)
        self.assertEqual(self.choose(9.0), 's1')

    def test_line_stays_where_its_prompt_is_cached(self) -> None:
        preferred = ServerId('s2')
        self.assertEqual(self.choose(preferred=preferred), 's2')
        self.wait_at('s2', 0.6, 1.0)
        self.assertEqual(self.choose(1.0, preferred=preferred), 's1')

    def test_full_leaving_and_failing_servers_come_last(self) -> None:
        note_full(self.servers.by_id[ServerId('s1')], 1.0)
        self.assertEqual(self.choose(1.0), 's2')
        self.servers.put(entry('s2', 'beside', leaving=True))
        self.assertEqual(self.choose(1.0), 's3')
        failing = self.servers.by_id[ServerId('s3')]
        note_failure(failing, 1.0)
        note_failure(failing, 1.0)
        self.assertEqual(self.choose(1.0), 's1')
        self.assertEqual(self.choose(1.0 + 2 * AVOID_S), 's1')
        note_success(failing)
        self.assertEqual(failing.avoid_until_s, 0.0)

    def test_entries_that_lapse_in_an_outage_may_come_back(self) -> None:
        self.servers.remove(ServerId('s1'), 1.0, doubtful=True)
        self.assertEqual(self.choose(1.0), 's1')
        self.servers.put(entry('s1', 'here'))
        self.assertEqual(self.servers.expire(1.0 + 2 * RETURN_S), [])
        self.servers.remove(ServerId('s1'), 10.0, doubtful=True)
        gone = self.servers.expire(10.0 + RETURN_S)
        self.assertEqual(gone, ['s1'])

    def test_removed_entry_gets_nothing_more(self) -> None:
        self.servers.remove(ServerId('s1'), 1.0, doubtful=False)
        self.assertEqual(self.choose(1.0), 's2')

    def test_new_start_under_the_same_id_is_another_server(self) -> None:
        self.servers.by_id[ServerId('s1')].failures = 5
        self.servers.put(entry('s1', 'here', started_ms=7))
        self.assertEqual(self.servers.by_id[ServerId('s1')].failures, 0)
