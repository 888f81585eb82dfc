"""Show where calls go when many instances share a few uneven servers.

Loads: twenty instances with a call or two each before five servers, of which
one at a time is two and a half times slower for 0.6 s; a prompt prefix that
many calls share.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from heapq import heappop
from heapq import heappush
import unittest

from jackdawfield.decisions.gateway_pool import gateway_pool_settings
from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.slot_placement import PlacementSettings
from jackdawfield.decisions.start_times import StartTimes
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from tests.pool_load import backend_server
from tests.pool_load import Program

PLACEMENT = PlacementSettings()
LEAST_LOAD = PlacementSettings(connection_s=0.0, lag_weight=0.0, equal_s=0.0)
SERVERS = 5
INSTANCES = 20
CALLS_PER_S = 100
CALLS = 2000
SLOW_PERIOD_S = 0.6
SLOWDOWN = 2.5


def pool_of(placement: PlacementSettings, servers: int = SERVERS) -> Pool:
    settings = replace(gateway_pool_settings(), routing=placement)
    pool = Pool(RegionId('r'), settings)
    listed = tuple(backend_server(f's{n}', slots=6) for n in range(servers))
    pool.on(ServersChanged(0.0, listed))
    return pool


def call(number: int, instance: int, now_s: float) -> SlotDemand:
    demand = Program(f'p{number}', now_s, time_s=9.0).demand(0, now_s)
    return replace(demand, home_id=InstanceId(f'h{instance}'))


@dataclass
class Calls:
    """Plays calls of all instances and counts what they meet."""

    pool: Pool
    opened: int = 0
    slow_calls: int = 0
    calls_by_server: dict[ServerId, int] = field(default_factory=dict)

    def play(self) -> 'Calls':
        """Play the calls, each of 0.09 to 0.21 s on a server that is fast."""
        idle: dict[InstanceId, list[ServerId]] = {}
        homes_by_id: dict[RequestId, InstanceId] = {}
        ends: list[tuple[float, RequestId, ServerId]] = []
        for now_s, demand in self.demands():
            homes_by_id[demand.request_id] = demand.home_id
            while ends and ends[0][0] <= now_s:
                end_s, request_id, server_id = heappop(ends)
                idle[homes_by_id[request_id]].append(server_id)
                self.pool.on(Finished(end_s, request_id, 0, 0, 0))
            connected_ids = frozenset(idle.setdefault(demand.home_id, []))
            connected = replace(demand, connected_server_ids=connected_ids)
            (grant,) = self.pool.on(RequestSubmitted(now_s, connected))
            assert isinstance(grant, Grant)
            server_id = grant.server_id
            calls = self.calls_by_server.get(server_id, 0)
            self.calls_by_server[server_id] = calls + 1
            if server_id in connected_ids:
                idle[demand.home_id].remove(server_id)
            else:
                self.opened += 1
            end_s = now_s + self.duration_s(demand, server_id, now_s)
            heappush(ends, (end_s, demand.request_id, server_id))
        return self

    def demands(self) -> Iterator[tuple[float, SlotDemand]]:
        """Yield calls of instances in an uneven but fixed order."""
        for number in range(CALLS):
            now_s = number / CALLS_PER_S
            yield now_s, call(number, number * number * 7 % 23 % 20, now_s)

    def duration_s(
        self, demand: SlotDemand, server_id: ServerId, now_s: float
    ) -> float:
        """Return how long a call takes on a server."""
        number = int(demand.request_id[1:].split('.')[0])
        duration_s = 0.09 + 0.012 * (number * 7 % 11)
        slow = int(now_s / SLOW_PERIOD_S) * 3 % SERVERS
        if server_id != f's{slow}':
            return duration_s
        self.slow_calls += 1
        return duration_s * SLOWDOWN


class InstancesTest(unittest.TestCase):
    def test_instances_return_to_servers_they_are_connected_to(self) -> None:
        placed = Calls(pool_of(PLACEMENT)).play()
        least_load = Calls(pool_of(LEAST_LOAD)).play()
        self.assertLess(placed.opened, 0.7 * least_load.opened)

    def test_servers_stay_about_equally_busy(self) -> None:
        placed = Calls(pool_of(PLACEMENT)).play()
        busiest = max(placed.calls_by_server.values())
        self.assertLess(busiest, 1.2 * CALLS / SERVERS)

    def test_slow_server_gets_fewer_calls_while_it_is_slow(self) -> None:
        placed = Calls(pool_of(PLACEMENT)).play()
        no_lag = replace(PLACEMENT, lag_weight=0.0)
        without_lag = Calls(pool_of(no_lag)).play()
        least_load = Calls(pool_of(LEAST_LOAD)).play()
        self.assertLess(placed.slow_calls, CALLS / SERVERS / 2)
        self.assertLess(placed.slow_calls, 0.8 * without_lag.slow_calls)
        self.assertLess(placed.slow_calls, 0.8 * least_load.slow_calls)


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = pool_of(PLACEMENT)

    def place(self, demand: SlotDemand, now_s: float = 0.0) -> ServerId:
        (grant,) = self.pool.on(RequestSubmitted(now_s, demand))
        assert isinstance(grant, Grant)
        return grant.server_id

    def load(self, server: str, calls: int) -> None:
        for number in range(calls):
            demand = call(1000 + number, 0, 0.0)
            taken = GrantAdopted(0.0, demand, ServerId(server), started=True)
            self.pool.on(taken)

    def test_unconnected_instances_spread_by_rendezvous(self) -> None:
        servers = {self.place(call(n, n, 0.0)) for n in range(SERVERS)}
        self.assertGreater(len(servers), 2)
        again = pool_of(PLACEMENT)
        self.pool = again
        first = self.place(call(0, 7, 0.0))
        self.pool = pool_of(PLACEMENT)
        self.assertEqual(first, self.place(call(1, 7, 0.0)))

    def test_server_with_the_cached_prefix_is_chosen(self) -> None:
        for name in ('s0', 's3'):
            preferred = replace(
                call(int(name[1:]), 0, 0.0),
                prompt_tokens=2000,
                preferred_server_id=ServerId(name),
            )
            self.assertEqual(name, self.place(preferred))

    def test_shared_prefix_does_not_fill_a_server_beside_idle_ones(
        self,
    ) -> None:
        shared = [
            replace(
                call(n, 0, 0.0),
                prompt_tokens=2000,
                preferred_server_id=ServerId('s0'),
            )
            for n in range(8)
        ]
        servers = [self.place(demand) for demand in shared]
        self.assertLess(servers.count(ServerId('s0')), 6)
        self.assertGreater(servers.count(ServerId('s0')), 1)

    def test_connection_outweighs_a_call_but_not_a_full_server(self) -> None:
        connected = frozenset({ServerId('s2')})
        self.load('s2', 1)
        near = replace(call(1, 3, 0.0), connected_server_ids=connected)
        self.assertEqual('s2', self.place(near))
        self.load('s2', 5)
        near = replace(call(2, 3, 0.0), connected_server_ids=connected)
        self.assertNotEqual('s2', self.place(near))

    def test_tried_server_is_left_out(self) -> None:
        avoided = frozenset(ServerId(f's{n}') for n in (0, 1, 2, 4))
        demand = replace(call(1, 0, 0.0), avoided_server_ids=avoided)
        self.assertEqual('s3', self.place(demand))


class StartTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = StartTimes()
        for _ in range(20):
            self.times.record_start(ServerId('fast'), 0.1, 0.0)

    def test_server_lags_while_its_oldest_call_has_not_started(self) -> None:
        server_id = ServerId('slow')
        self.times.add(server_id, RequestId('r'), 1.0)
        self.assertEqual(0.0, self.times.lag_s(server_id, 1.1))
        self.assertAlmostEqual(0.1, self.times.lag_s(server_id, 1.2))
        self.times.remove(server_id, RequestId('r'))
        self.assertEqual(0.0, self.times.lag_s(server_id, 1.2))

    def test_last_start_counts_for_the_time_of_a_mean_one(self) -> None:
        server_id = ServerId('slow')
        self.times.record_start(server_id, 0.25, 1.0)
        self.assertGreater(self.times.lag_s(server_id, 1.1), 0.1)
        self.assertEqual(0.0, self.times.lag_s(server_id, 1.2))

    def test_equally_slow_servers_do_not_lag(self) -> None:
        for _ in range(60):
            self.times.record_start(ServerId('slow'), 0.3, 1.0)
        self.assertEqual(0.0, self.times.lag_s(ServerId('slow'), 1.0))
