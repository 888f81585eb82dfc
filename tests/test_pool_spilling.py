"""Check what a pool with a gateway's settings sends to other domains."""

from dataclasses import replace
import unittest

from jackdawfield.decisions.gateway_pool import gateway_pool_settings
from jackdawfield.decisions.gateway_spill import GATEWAY_SPILL
from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import ContextEnded
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import RefusalReason
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

FREE_ELSEWHERE = PeerReport(
    0.0,
    DomainId('near'),
    RegionId('r'),
    usable=True,
    wait_s=0.0,
    open_slots=99,
    call_s=0.01,
    token_s=0.0001,
    round_trip_s=0.01,
)


def demand(name: str, needs_open_slot: bool = False) -> SlotDemand:
    return SlotDemand(
        RequestId(name),
        InstanceId('home'),
        OrganisationId('a'),
        ProgramId(f'program {name}'),
        prompt_tokens=8000,
        output_tokens=10,
        deadline_s=60.0,
        may_spill=not needs_open_slot,
        needs_open_slot=needs_open_slot,
    )


def server(name: str, slots: int) -> BackendServer:
    return BackendServer(
        ServerId(name),
        DomainId('d'),
        RegionId('r'),
        '',
        'chat',
        slots=slots,
        cache_tokens=100_000,
    )


def pool_of(slots: int, spill: SpillSettings = GATEWAY_SPILL) -> Pool:
    pool = Pool(RegionId('r'), PoolSettings(spill=spill))
    pool.on(ServersChanged(0.0, (server('s', slots),)))
    return pool


def submit(pool: Pool, *demands: SlotDemand) -> list[object]:
    return [pool.on(RequestSubmitted(0.0, one))[0] for one in demands]


def open_slots(pool: Pool) -> int:
    domain_id = DomainId('d')
    return pool.create_peer_report(domain_id, RegionId('r'), 0.0).open_slots


class OwnServersTest(unittest.TestCase):
    def test_nothing_leaves_while_an_own_slot_is_free(self) -> None:
        pool = pool_of(slots=10)
        pool.on(FREE_ELSEWHERE)
        calls = [demand(str(n)) for n in range(11)]
        *first, last = submit(pool, *calls)
        self.assertTrue(all(isinstance(action, Grant) for action in first))
        self.assertEqual(
            Spill(RequestId('10'), DomainId('near'), needs_open_slot=True),
            last,
        )

    def test_call_that_was_returned_waits_here(self) -> None:
        pool = pool_of(slots=1)
        pool.on(FREE_ELSEWHERE)
        submit(pool, demand('a'), demand('b'))
        returned = replace(demand('b'), returned_by=DomainId('near'))
        self.assertEqual((), pool.on(RequestSubmitted(0.01, returned)))

    def test_call_that_waits_behind_a_long_one_leaves_in_the_end(self) -> None:
        pool = pool_of(slots=1)
        for number in range(50):
            request_id = RequestId(str(number))
            pool.on(RequestSubmitted(0.0, demand(str(number))))
            pool.on(FirstToken(0.0, request_id))
            pool.on(Finished(0.01, request_id, 8000, 0, 10))
        submit(pool, demand('long'))
        self.assertEqual((), pool.on(RequestSubmitted(0.0, demand('b'))))
        pool.on(FREE_ELSEWHERE)
        self.assertEqual((), pool.on(TimePassed(0.02)))
        (action,) = pool.on(TimePassed(0.3))
        self.assertIsInstance(action, Spill)

    def test_queued_call_stays_for_its_prefix(self) -> None:
        pool = Pool(RegionId('r'), gateway_pool_settings())
        pool.on(ServersChanged(0.0, (server('s', 1),)))
        submit(pool, demand('long'))
        cached = replace(
            demand('b'),
            preferred_server_id=ServerId('s'),
            prompt_tokens=4_000_000,
        )
        pool.on(RequestSubmitted(0.0, cached))
        pool.on(RequestSubmitted(0.0, demand('c')))
        pool.on(replace(FREE_ELSEWHERE, now_s=0.3))
        spilled = [action.request_id for action in pool.on(TimePassed(0.3))]
        self.assertEqual(['c'], spilled)

    def test_program_that_left_stays_where_its_prefix_is(self) -> None:
        pool = pool_of(slots=1)
        pool.on(FREE_ELSEWHERE)
        submit(pool, demand('a'), demand('b'))
        pool.on(FirstToken(0.1, RequestId('a')))
        pool.on(Finished(0.2, RequestId('a'), 8000, 0, 10))
        later = replace(demand('b2'), context_id=ProgramId('program b'))
        (action,) = pool.on(RequestSubmitted(0.3, later))
        self.assertIsInstance(action, Spill)
        pool.on(ContextEnded(0.4, ProgramId('program b')))
        again = replace(later, request_id=RequestId('b3'))
        (action,) = pool.on(RequestSubmitted(0.5, again))
        self.assertIsInstance(action, Grant)


class RescueTest(unittest.TestCase):
    """Answers new programs that a full domain would refuse."""

    def setUp(self) -> None:
        self.pool = Pool(RegionId('r'), gateway_pool_settings())
        self.pool.on(ServersChanged(0.0, (server('s', 1),)))
        submit(self.pool, demand('a'))
        one = replace(demand('b'), begins_program=True, deadline_s=2.0)
        self.hurried = replace(one, finish_s=0.1)
        self.patient = replace(one, finish_s=2.0)

    def act(self, event: Event) -> object:
        (action,) = self.pool.on(event)
        return action

    def test_call_that_would_be_refused_leaves(self) -> None:
        dear = replace(FREE_ELSEWHERE, round_trip_s=0.18)
        self.pool.on(dear)
        action = self.act(RequestSubmitted(0.0, self.hurried))
        self.assertIsInstance(action, Spill)

    def test_call_is_refused_if_no_domain_is_free(self) -> None:
        self.pool.on(replace(FREE_ELSEWHERE, open_slots=0))
        action = self.act(RequestSubmitted(0.0, self.hurried))
        self.assertIsInstance(action, Refuse)

    def test_queued_call_leaves_before_it_is_refused(self) -> None:
        self.pool.on(RequestSubmitted(0.0, self.patient))
        self.pool.on(replace(FREE_ELSEWHERE, now_s=0.8, round_trip_s=0.7))
        self.assertIsInstance(self.act(TimePassed(0.9)), Spill)


class CallsOfOthersTest(unittest.TestCase):
    """Answers domains that fill the slots of their neighbour."""

    def test_reserve_is_kept_for_the_own_calls(self) -> None:
        pool = pool_of(slots=10)
        foreign = [demand(str(n), needs_open_slot=True) for n in range(10)]
        self.assertEqual(9, open_slots(pool))
        *granted, last = submit(pool, *foreign)
        self.assertTrue(all(isinstance(one, Grant) for one in granted))
        assert isinstance(last, Refuse)
        self.assertEqual(RefusalReason.NO_OPEN_SLOT, last.reason)
        self.assertIsInstance(submit(pool, demand('own'))[0], Grant)

    def test_nothing_is_offered_while_own_calls_wait(self) -> None:
        without_reserve = replace(GATEWAY_SPILL, reserve_share=0.0)
        pool = pool_of(slots=1, spill=without_reserve)
        pool.on(ServersChanged(0.0, (server('s', 1), server('t', 1))))
        (grant,) = submit(pool, demand('a'))
        assert isinstance(grant, Grant)
        self.assertEqual(1, open_slots(pool))
        others = frozenset({ServerId('s'), ServerId('t')}) - {grant.server_id}
        waits = replace(demand('b'), avoided_server_ids=others)
        self.assertEqual((), pool.on(RequestSubmitted(0.0, waits)))
        foreign = demand('c', needs_open_slot=True)
        self.assertIsInstance(submit(pool, foreign)[0], Refuse)
        self.assertEqual(0, open_slots(pool))

    def test_slots_of_others_that_end_soon_are_offered_again(self) -> None:
        pool = pool_of(slots=10)
        foreign = [demand(str(n), needs_open_slot=True) for n in range(8)]
        submit(pool, *foreign)
        for number in range(4):
            request_id = RequestId(str(number))
            pool.on(FirstToken(0.05, request_id))
            pool.on(Finished(0.1, request_id, 8000, 0, 10))
        for number in range(50):
            pool.on(RequestSubmitted(1.0, demand(f'own {number}')))
            pool.on(FirstToken(1.0, RequestId(f'own {number}')))
            request_id = RequestId(f'own {number}')
            pool.on(Finished(1.5, request_id, 8000, 0, 10))
        # Half of the four that are left end before the next report.
        self.assertEqual(5 + 2, open_slots(pool))

    def test_call_of_a_domain_without_servers_waits_like_the_own(self) -> None:
        pool = pool_of(slots=1)
        submit(pool, demand('a'))
        foreign = replace(demand('b'), may_spill=False)
        self.assertEqual((), pool.on(RequestSubmitted(0.0, foreign)))
