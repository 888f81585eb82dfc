"""Show a pool under the settings of gateways.

Loads: more short calls without tokens than a service has slots, calls that
together hold more tokens than a server may, and servers that are avoided.
"""

from dataclasses import replace
import unittest

from jackdawfield.decisions.gateway_pool import gateway_pool_settings
from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import RefusalReason
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServerAvoided
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServerState
from tests.pool_load import backend_server
from tests.pool_load import pool_run
from tests.pool_load import Program

GATEWAY = gateway_pool_settings()


def demand(
    name: str, held_tokens: int = 0, limit_s: float = 3.0
) -> SlotDemand:
    return replace(
        Program(name, 0.0, time_s=9.0).demand(1, 0.0),
        request_id=RequestId(name),
        deadline_s=limit_s,
        held_tokens=held_tokens,
    )


class PoolCase(unittest.TestCase):
    slots = 2
    token_capacity = 0

    def setUp(self) -> None:
        self.pool = Pool(RegionId('r'), GATEWAY)
        self.list_servers('s')

    def list_servers(self, *names: str, now_s: float = 0.0) -> None:
        servers = tuple(
            backend_server(name, self.slots, self.token_capacity)
            for name in names
        )
        self.actions = self.pool.on(ServersChanged(now_s, servers))

    def submit(self, *demands: SlotDemand) -> list[Action]:
        actions: list[Action] = []
        for one in demands:
            actions.extend(self.pool.on(RequestSubmitted(0.0, one)))
        return actions

    def granted(self, *demands: SlotDemand) -> list[str]:
        return names_granted(self.submit(*demands))

    def finish(self, name: str, now_s: float = 0.1) -> list[str]:
        finished = Finished(now_s, RequestId(name), 0, 0, 0)
        return names_granted(self.pool.on(finished))


def names_granted(actions: list[Action] | tuple[Action, ...]) -> list[str]:
    return [a.request_id for a in actions if isinstance(a, Grant)]


class ChangingServersTest(PoolCase):
    """Guards against what an owner keeps of servers and calls before."""

    def test_slots_follow_what_a_server_lists(self) -> None:
        self.slots = 4
        self.list_servers('s', now_s=0.1)
        granted = self.granted(*(demand(f'c{n}') for n in range(5)))
        self.assertEqual(len(granted), 4)

    def test_fewer_slots_are_granted_from_now_on(self) -> None:
        self.slots = 1
        self.list_servers('s', now_s=0.1)
        granted = self.granted(*(demand(f'c{n}') for n in range(3)))
        self.assertEqual(granted, ['c0'])

    def test_calls_of_unlike_lengths_make_no_server_slow(self) -> None:
        for n in range(40):
            name = f'c{n}'
            self.submit(demand(name, limit_s=99.0))
            started = FirstToken(float(n), RequestId(name))
            self.pool.on(started)
            length_s = 0.8 if n % 5 == 0 else 0.05
            self.finish(name, n + length_s)
            self.pool.on(TimePassed(n + 0.9))
        granted = self.granted(demand('x', limit_s=99.0))
        granted += self.granted(demand('y', limit_s=99.0))
        self.assertEqual(granted, ['x', 'y'])


class PlainCallsTest(PoolCase):
    def test_calls_beyond_the_slots_wait_for_one(self) -> None:
        granted = self.granted(*[demand(f'c{n}') for n in range(4)])
        self.assertEqual(['c0', 'c1'], granted)
        self.assertEqual(['c2'], self.finish('c1'))

    def test_call_that_cannot_end_within_its_limit_is_refused_at_once(
        self,
    ) -> None:
        self.submit(*[demand(f'c{n}') for n in range(6)])
        (refusal,) = self.submit(demand('short', limit_s=0.3))
        assert isinstance(refusal, Refuse)
        self.assertEqual(RefusalReason.DEADLINE, refusal.reason)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_queued_call_is_refused_once_it_has_no_time_to_run(self) -> None:
        self.submit(*[demand(f'c{n}') for n in range(3)])
        self.assertEqual((), self.pool.on(TimePassed(2.7)))
        (refusal,) = self.pool.on(TimePassed(2.85))
        assert isinstance(refusal, Refuse)
        self.assertEqual('c2', refusal.request_id)

    def test_all_slots_are_used_and_no_more(self) -> None:
        programs = [
            Program(f'p{n}', n * 0.02, call_s=0.1, time_s=2.0)
            for n in range(200)
        ]
        run = pool_run(GATEWAY, slots=4)
        run.play(programs, until_s=8.0)
        served = len(run.ended_s_by_name)
        self.assertGreater(served, 0.95 * 4 * 4 / 0.1)
        self.assertEqual(served, run.in_time(programs))
        self.assertEqual(200, served + len(run.refusals_by_name))


class PlainStartTest(PoolCase):
    def test_server_lags_though_starts_are_reported_with_grants(self) -> None:
        self.list_servers('s', 't')
        for n in range(9):
            now_s = 0.1 * n
            self.start(f'c{n}', now_s)
            self.finish(f'c{n}', now_s + 0.1)
        server_id = self.start('slow', 1.0)
        late = {self.start(f'd{n}', 1.3) for n in range(2)}
        self.assertNotIn(server_id, late)

    def start(self, name: str, now_s: float) -> ServerId:
        submitted = RequestSubmitted(now_s, demand(name, limit_s=9.0))
        (grant,) = self.pool.on(submitted)
        assert isinstance(grant, Grant)
        self.pool.on(FirstToken(now_s, RequestId(name)))
        return grant.server_id


class HeldTokensTest(PoolCase):
    slots = 6
    token_capacity = 1000

    def test_calls_in_flight_hold_no_more_than_the_capacity(self) -> None:
        calls = [demand(f'c{n}', held_tokens=400) for n in range(3)]
        self.assertEqual(['c0', 'c1'], self.granted(*calls))
        self.assertEqual(['c2'], self.finish('c0'))

    def test_unknown_capacity_is_detected(self) -> None:
        self.token_capacity = 0
        self.setUp()
        calls = [demand(f'c{n}', held_tokens=400) for n in range(3)]
        self.assertEqual(3, len(self.granted(*calls)))

    def test_call_that_fits_no_server_is_refused_at_once(self) -> None:
        (refusal,) = self.submit(demand('c', held_tokens=1001))
        assert isinstance(refusal, Refuse)
        self.assertEqual(RefusalReason.NO_SERVER, refusal.reason)

    def test_small_calls_do_not_pass_a_large_one_for_ever(self) -> None:
        small = [demand(f's{n}', held_tokens=400) for n in range(9)]
        large = replace(demand('large', held_tokens=900), finish_s=0.5)
        self.assertEqual(['s0', 's1'], self.granted(*small[:2], large))
        self.assertEqual([], self.granted(*small[2:]))
        self.assertEqual([], self.finish('s0'))
        self.assertEqual(['large'], self.finish('s1'))

    def test_server_without_the_large_call_serves_small_ones(self) -> None:
        self.list_servers('s', 't')
        small = [demand(f's{n}', held_tokens=400) for n in range(6)]
        large = replace(demand('large', held_tokens=900), finish_s=0.5)
        self.assertEqual(4, len(self.granted(*small[:4], large)))
        self.assertEqual([], self.granted(*small[4:]))
        granted = [self.finish(name) for name in ('s0', 's1', 's2')]
        self.assertIn(['s4'], granted)


class ServersTest(PoolCase):
    def test_avoided_server_gets_no_calls_until_the_time_has_passed(
        self,
    ) -> None:
        self.list_servers('s', 't')
        self.pool.on(ServerAvoided(0.0, ServerId('s'), until_s=0.5))
        actions = self.submit(*[demand(f'c{n}') for n in range(3)])
        servers = {a.server_id for a in actions if isinstance(a, Grant)}
        self.assertEqual({'t'}, servers)
        self.assertEqual(['c2'], names_granted(self.pool.on(TimePassed(0.5))))

    def test_calls_count_at_a_server_that_is_listed_again(self) -> None:
        self.submit(demand('c0'), demand('c1'))
        self.list_servers()
        self.list_servers('s', now_s=0.1)
        self.assertEqual([], self.granted(demand('c2')))
        self.assertEqual(['c2'], self.finish('c0'))

    def test_call_that_ends_after_its_server_returned_frees_one_slot(
        self,
    ) -> None:
        self.submit(demand('c0'), demand('c1'))
        self.list_servers()
        self.list_servers('s', now_s=0.1)
        self.finish('c0')
        self.finish('c1')
        calls = [demand(f'd{n}') for n in range(4)]
        self.assertEqual(2, len(self.granted(*calls)))

    def test_call_waits_while_it_is_unknown_when_servers_take_calls(
        self,
    ) -> None:
        self.list_servers()
        self.assertEqual([], self.submit(demand('c')))
        draining = backend_server('s', self.slots, state=ServerState.DRAINING)
        self.pool.on(ServersChanged(0.0, (draining,)))
        self.assertEqual((), self.pool.on(TimePassed(0.05)))
        self.list_servers('s', now_s=0.1)
        self.assertEqual(['c'], names_granted(self.actions))

    def test_short_pause_of_all_servers_refuses_no_short_queue(self) -> None:
        self.slots = 8
        draining = backend_server('s', self.slots, state=ServerState.DRAINING)
        self.list_servers()
        self.pool.on(ServersChanged(0.0, (draining,)))
        calls = [demand(f'c{n}', limit_s=0.5) for n in range(8)]
        self.assertEqual([], self.submit(*calls))
        self.list_servers('s', now_s=0.1)
        self.assertEqual(8, len(names_granted(self.actions)))

    def test_call_waits_for_a_server_that_returns_in_time(self) -> None:
        self.pool.on(ServerAvoided(0.0, ServerId('s'), until_s=0.5))
        self.assertEqual([], self.submit(demand('c')))
        (refusal,) = self.submit(demand('short', limit_s=0.4))
        assert isinstance(refusal, Refuse)
        self.assertEqual(RefusalReason.DEADLINE, refusal.reason)
        self.assertEqual(['c'], names_granted(self.pool.on(TimePassed(0.5))))

    def test_queued_calls_are_refused_once_all_servers_are_avoided(
        self,
    ) -> None:
        self.submit(*[demand(f'c{n}') for n in range(3)])
        self.pool.on(ServerAvoided(0.0, ServerId('s'), until_s=2.9))
        (refusal,) = self.pool.on(TimePassed(0.05))
        assert isinstance(refusal, Refuse)
        self.assertEqual('c2', refusal.request_id)

    def test_report_tells_other_domains_how_many_calls_wait(self) -> None:
        self.submit(*[demand(f'c{n}') for n in range(5)])
        report = self.pool.create_peer_report(
            DomainId('d'), RegionId('r'), 0.0
        )
        self.assertEqual(3, report.queued)
        self.assertEqual(0, report.open_slots)
