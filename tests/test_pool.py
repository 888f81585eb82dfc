from dataclasses import replace
import unittest

from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import Cancelled
from jackdawfield.decisions.pool_events import Expire
from jackdawfield.decisions.pool_events import Failed
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import HomeRenewed
from jackdawfield.decisions.pool_events import PeerLost
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import Recall
from jackdawfield.decisions.pool_events import RefusalReason
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.routing import RoutingSettings
from jackdawfield.decisions.slot_shares import ShareSettings
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServerState

HOME = InstanceId('home')


def server(name: str, state: ServerState = ServerState.LIVE) -> BackendServer:
    return BackendServer(
        ServerId(name),
        DomainId('d'),
        RegionId('r'),
        '',
        'chat',
        slots=2,
        cache_tokens=100_000,
        state=state,
    )


def demand(name: str, organisation: str = 'a') -> SlotDemand:
    return SlotDemand(
        RequestId(name),
        HOME,
        OrganisationId(organisation),
        ProgramId(f'program {name}'),
        8000,
        100,
        60.0,
    )


def peer(domain: str, region: str, wait_s: float) -> PeerReport:
    return PeerReport(
        0.0, DomainId(domain), RegionId(region), True, wait_s, 9, 3.0, 0.025
    )


def pool_of(*names: str, settings: PoolSettings | None = None) -> Pool:
    pool = Pool(RegionId('r'), settings or PoolSettings())
    servers = tuple(server(name) for name in names)
    pool.on(ServersChanged(0.0, servers))
    return pool


def submit(pool: Pool, *names: str, now_s: float = 0.0) -> list[Action]:
    actions: list[Action] = []
    for name in names:
        organisation = name.rstrip('0123456789')
        one = demand(name, organisation)
        actions.extend(pool.on(RequestSubmitted(now_s, one)))
    return actions


def finish(pool: Pool, name: str, now_s: float) -> tuple[Action, ...]:
    pool.on(FirstToken(now_s - 2.5, RequestId(name)))
    return pool.on(Finished(now_s, RequestId(name), 8000, 0, 100))


class GrantTest(unittest.TestCase):
    def test_slots_limit_the_calls_in_flight(self) -> None:
        pool = pool_of('s')
        granted = submit(pool, 'a1', 'a2', 'a3')
        self.assertEqual(2, len(granted))
        self.assertEqual(
            (Grant(RequestId('a3'), ServerId('s')),), finish(pool, 'a1', 3.0)
        )

    def test_repeated_request_is_granted_once(self) -> None:
        pool = pool_of('s')
        self.assertEqual(1, len(submit(pool, 'a1', 'a1')))

    def test_draining_server_gets_no_new_calls_and_finishes_its_own(
        self,
    ) -> None:
        pool = pool_of('s')
        submit(pool, 'a1')
        draining = server('s', ServerState.DRAINING)
        pool.on(ServersChanged(1.0, (draining, server('t'))))
        for action in submit(pool, 'a2', 'a3', now_s=1.0):
            self.assertEqual(ServerId('t'), action.server_id)
        self.assertEqual([], submit(pool, 'a4', now_s=1.0))
        self.assertEqual((), finish(pool, 'a1', 2.0))

    def test_program_returns_to_the_server_with_its_cached_prefix(
        self,
    ) -> None:
        self.assertEqual('s', self.second_server(PoolSettings()))

    def test_routing_without_caches_is_detected(self) -> None:
        without_caches = PoolSettings(
            routing=RoutingSettings(cache_credit=0.0)
        )
        self.assertEqual('t', self.second_server(without_caches))

    def second_server(self, settings: PoolSettings) -> str:
        pool = pool_of('s', 't', settings=settings)
        submit(pool, 'a1')
        finish(pool, 'a1', 3.5)
        again = replace(
            demand('a2'),
            context_id=ProgramId('program a1'),
            prompt_tokens=9000,
        )
        pool.on(GrantAdopted(3.5, demand('x'), ServerId('s'), started=True))
        actions = pool.on(RequestSubmitted(3.5, again))
        assert isinstance(actions[0], Grant)
        return actions[0].server_id

    def test_adopted_call_takes_a_slot(self) -> None:
        pool = pool_of('s')
        pool.on(GrantAdopted(0.0, demand('a1'), ServerId('s'), started=True))
        self.assertEqual(1, len(submit(pool, 'a2', 'a3')))

    def test_adopted_stream_is_not_recalled(self) -> None:
        pool = pool_of('s')
        pool.on(GrantAdopted(0.0, demand('a1'), ServerId('s'), started=True))
        pool.on(HomeRenewed(20.0, HOME))
        self.assertEqual((), pool.on(TimePassed(20.0)))

    def test_cancelled_call_frees_its_slot(self) -> None:
        pool = pool_of('s')
        submit(pool, 'a1', 'a2', 'a3')
        granted = pool.on(Cancelled(1.0, RequestId('a1')))
        self.assertEqual((Grant(RequestId('a3'), ServerId('s')),), granted)


class FaultTest(unittest.TestCase):
    def test_unreachable_server_is_ejected_then_probed(self) -> None:
        pool = pool_of('s')
        submit(pool, 'a1')
        unreachable = FailureKind.UNREACHABLE
        pool.on(Failed(1.0, RequestId('a1'), unreachable))
        self.assertEqual([], submit(pool, 'a2', 'a3', now_s=1.0))
        self.assertEqual(1, len(pool.on(TimePassed(2.5))))

    def test_unrepeatable_call_does_not_probe_a_failing_server(self) -> None:
        pool = pool_of('s', 't')
        submit(pool, 'a1', 'b1', 'c1')
        pool.on(Failed(1.0, RequestId('a1'), FailureKind.UNREACHABLE))
        submit(pool, 'd1', 'e1', now_s=1.0)
        unrepeatable = replace(demand('a2'), repeatable=False)
        self.assertEqual((), pool.on(RequestSubmitted(2.5, unrepeatable)))

    def test_unrepeatable_call_probes_if_every_server_fails(self) -> None:
        pool = pool_of('s')
        submit(pool, 'a1')
        pool.on(Failed(1.0, RequestId('a1'), FailureKind.UNREACHABLE))
        unrepeatable = replace(demand('a2'), repeatable=False)
        granted = Grant(RequestId('a2'), ServerId('s'))
        self.assertEqual(
            (granted,), pool.on(RequestSubmitted(2.5, unrepeatable))
        )

    def test_unstarted_repeatable_calls_of_a_stalled_server_are_recalled(
        self,
    ) -> None:
        pool = pool_of('s')
        unrepeatable = replace(demand('a1'), repeatable=False)
        pool.on(RequestSubmitted(0.0, unrepeatable))
        submit(pool, 'a2')
        pool.on(HomeRenewed(9.0, HOME))
        actions = pool.on(TimePassed(9.0))
        self.assertIn(Recall(RequestId('a2'), ServerId('s')), actions)
        self.assertNotIn(Recall(RequestId('a1'), ServerId('s')), actions)

    def test_slots_of_an_expired_home_are_released(self) -> None:
        self.assertIn(
            Expire(RequestId('a1'), ServerId('s')),
            self.tick_without_renewal(6.0),
        )

    def test_grants_that_never_expire_are_detected(self) -> None:
        self.assertEqual((), self.tick_without_renewal(1e9))

    def tick_without_renewal(self, home_ttl_s: float) -> tuple[Action, ...]:
        settings = PoolSettings(home_ttl_s=home_ttl_s)
        pool = pool_of('s', settings=settings)
        submit(pool, 'a1')
        pool.on(FirstToken(1.0, RequestId('a1')))
        return pool.on(TimePassed(7.0))

    def test_renewed_home_keeps_its_slots(self) -> None:
        pool = pool_of('s')
        submit(pool, 'a1')
        pool.on(FirstToken(1.0, RequestId('a1')))
        pool.on(HomeRenewed(5.0, HOME))
        self.assertEqual((), pool.on(TimePassed(7.0)))


class OverloadTest(unittest.TestCase):
    def test_full_queue_refuses_the_flooding_organisation_first(self) -> None:
        pool = pool_of('s')
        names = [f'a{n}' for n in range(40)]
        submit(pool, *names, 'b1')
        refused = submit(pool, 'a40', 'b2', 'b3')
        self.assertTrue(refused)
        for action in refused:
            assert isinstance(action, Refuse)
            self.assertTrue(action.request_id.startswith('a'))
            self.assertEqual(RefusalReason.QUEUE_FULL, action.reason)

    def test_request_expected_to_miss_its_deadline_is_refused(self) -> None:
        pool = pool_of('s')
        submit(pool, *[f'a{n}' for n in range(12)])
        urgent = replace(demand('b1', 'b'), deadline_s=1.0)
        (action,) = pool.on(RequestSubmitted(0.5, urgent))
        assert isinstance(action, Refuse)
        self.assertEqual(RefusalReason.DEADLINE, action.reason)
        self.assertGreater(action.retry_after_s, 0)

    def test_request_queued_past_its_deadline_is_refused(self) -> None:
        pool = pool_of('s')
        submit(pool, 'a1', 'a2', 'a3')
        pool.on(FirstToken(59.0, RequestId('a1')))
        pool.on(HomeRenewed(61.0, HOME))
        (action,) = pool.on(TimePassed(61.0))
        assert isinstance(action, Refuse)
        self.assertEqual('a3', action.request_id)

    def test_slots_are_left_to_other_organisations(self) -> None:
        self.assertEqual(1, self.granted_to_other(ShareSettings(headroom=1)))

    def test_unlimited_share_is_detected(self) -> None:
        self.assertEqual(0, self.granted_to_other(ShareSettings(headroom=0)))

    def granted_to_other(self, shares: ShareSettings) -> int:
        pool = pool_of('s', settings=PoolSettings(shares=shares))
        submit(pool, 'b0')
        finish(pool, 'b0', 3.0)
        submit(pool, 'a1', 'a2', 'a3', now_s=3.0)
        return len(submit(pool, 'b1', now_s=3.1))


class SpillTest(unittest.TestCase):
    def test_busy_pool_spills_within_its_region_only(self) -> None:
        pool = pool_of('s')
        submit(pool, *[f'a{n}' for n in range(8)])
        pool.on(peer('far', 'other', 0.0))
        self.assertEqual([], submit(pool, 'b1'))
        pool.on(peer('near', 'r', 0.0))
        spill = Spill(RequestId('b2'), DomainId('near'))
        self.assertEqual([spill], submit(pool, 'b2'))

    def test_pool_without_servers_spills_to_another_region(self) -> None:
        pool = pool_of()
        pool.on(peer('far', 'other', 0.0))
        spill = Spill(RequestId('a1'), DomainId('far'))
        self.assertEqual([spill], submit(pool, 'a1'))

    def test_queued_requests_are_spilled_when_the_last_server_is_removed(
        self,
    ) -> None:
        pool = pool_of('s')
        submit(pool, 'a1', 'a2', 'a3')
        pool.on(ServersChanged(1.0, ()))
        pool.on(peer('near', 'r', 0.0))
        spill = Spill(RequestId('a3'), DomainId('near'))
        self.assertEqual((spill,), pool.on(TimePassed(1.0)))

    def test_domain_without_a_recent_report_gets_no_requests(self) -> None:
        pool = pool_of()
        pool.on(peer('near', 'r', 0.0))
        self.assertEqual([], submit(pool, 'a1', now_s=20.0))
        pool.on(PeerLost(20.0, DomainId('near')))
        self.assertEqual([], submit(pool, 'a2', now_s=20.0))

    def test_spilled_request_is_not_spilled_again(self) -> None:
        pool = pool_of()
        pool.on(peer('near', 'r', 0.0))
        spilled = replace(demand('a1'), may_spill=False)
        self.assertEqual((), pool.on(RequestSubmitted(0.0, spilled)))
