"""Check when calls leave their failure domain, and when they stop."""

from dataclasses import replace
import unittest

from jackdawfield.decisions.gateway_spill import GATEWAY_SPILL
from jackdawfield.decisions.link_load import LinkSettings
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import SpillObstacle
from jackdawfield.decisions.pool_events import SpillReason
from jackdawfield.decisions.slot_offers import divide_slots
from jackdawfield.decisions.spill_settings import CrossingPrice
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.decisions.spilling import OwnFinish
from jackdawfield.decisions.spilling import PeerDomains
from jackdawfield.decisions.windows import ServerWindow
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId

TICK_S = 0.05
REPORT_TICKS = 5
# Calls a second that the own servers serve, and those that arrive unloaded.
OWN_RATE_PER_S = 40.0
CALL_S = 0.2
LINK = LinkSettings(bytes_per_s=1_000_000, share=0.5, backlog_limit_s=0.1)


def demand(
    name: str, body_bytes: int = 0, context: str | None = None
) -> SlotDemand:
    return SlotDemand(
        RequestId(name),
        InstanceId('home'),
        OrganisationId('a'),
        ProgramId(context or name),
        prompt_tokens=1000,
        output_tokens=20,
        deadline_s=1e6,
        body_bytes=body_bytes,
    )


def report(
    now_s: float,
    open_slots: int,
    domain: str = 'near',
    region: str = 'r',
    round_trip_s: float = 0.01,
) -> PeerReport:
    return PeerReport(
        now_s,
        DomainId(domain),
        RegionId(region),
        usable=True,
        wait_s=0.0,
        open_slots=open_slots,
        call_s=0.02,
        token_s=0.005,
        round_trip_s=round_trip_s,
    )


def domains(
    *reports: PeerReport, settings: SpillSettings = GATEWAY_SPILL
) -> PeerDomains:
    peers = PeerDomains(RegionId('r'), settings)
    for one in reports:
        peers.record_report(one)
    return peers


def returned(one: SlotDemand) -> SlotDemand:
    return replace(one, returned_by=DomainId('near'))


def waiting(wait_s: float, reread_s: float = 0.0) -> OwnFinish:
    return OwnFinish(
        wait_s, wait_s + 0.1, reread_s, 0.0, token_s=0.005, output_tokens=20
    )


def send(
    peers: PeerDomains, one: SlotDemand, own: OwnFinish, now_s: float
) -> Spill | None:
    spill = peers.choose_faster(one, own, now_s)
    if spill is not None:
        peers.record_spill(one, spill, now_s)
    return spill


def target(spill: Spill | None) -> str | None:
    return None if spill is None else spill.domain_id


def play(loads: list[float], slots_there: int) -> list[int]:
    """Return the calls that leave in each second at these loads.

    A load of 1 is as much as the own servers serve.
    """
    peers = domains()
    ends_there_s: list[float] = []
    left_by_second = [0] * len(loads)
    queue = due = 0.0
    for tick in range(int(len(loads) / TICK_S)):
        now_s = tick * TICK_S
        second = int(tick * TICK_S + 1e-9)
        if tick % REPORT_TICKS == 0:
            ends_there_s = [end for end in ends_there_s if end > now_s]
            open_slots = slots_there - len(ends_there_s)
            peers.record_report(report(now_s, open_slots))
        due += loads[second] * OWN_RATE_PER_S * TICK_S
        while due >= 1:
            due -= 1
            one = demand(f'{tick} {due}')
            if send(peers, one, waiting(queue / OWN_RATE_PER_S), now_s):
                left_by_second[second] += 1
                ends_there_s.append(now_s + CALL_S)
            else:
                queue += 1
        queue = max(0.0, queue - OWN_RATE_PER_S * TICK_S)
    return left_by_second


class OverloadTest(unittest.TestCase):
    """Answers a load that swells above the own servers and ends."""

    def test_nothing_leaves_below_the_own_rate(self) -> None:
        self.assertEqual([0] * 10, play([0.5, 0.9] * 5, slots_there=40))

    def test_what_leaves_rises_with_the_overload(self) -> None:
        lefts = [
            sum(play([load] * 10, slots_there=40)[5:])
            for load in (0.8, 1.1, 1.3, 1.6)
        ]
        self.assertEqual(lefts, sorted(set(lefts)))
        excess = 0.6 * OWN_RATE_PER_S * 5
        self.assertAlmostEqual(excess, lefts[-1], delta=0.1 * excess)

    def test_steady_overload_leaves_steadily(self) -> None:
        excess = 0.4 * OWN_RATE_PER_S
        for left in play([1.4] * 20, slots_there=40)[3:]:
            self.assertAlmostEqual(excess, left, delta=0.25 * excess)

    def test_calls_go_back_once_when_the_overload_ends(self) -> None:
        left = play([0.8] * 3 + [1.5] * 8 + [0.9] * 8, slots_there=40)
        leaves = [count > 0 for count in left]
        changes = sum(a != b for a, b in zip(leaves, leaves[1:], strict=False))
        self.assertEqual(2, changes)

    def test_no_more_leave_than_find_a_slot(self) -> None:
        per_report = max(play([3.0] * 10, slots_there=2)) * 0.25
        self.assertLessEqual(per_report, 2)

    def test_first_call_needs_a_larger_gain_than_later_ones(self) -> None:
        peers = domains(report(0.0, 9))
        small = waiting(0.05)
        self.assertIsNone(send(peers, demand('a'), small, 0.0))
        self.assertIsNotNone(send(peers, demand('b'), waiting(0.2), 0.0))
        self.assertIsNotNone(send(peers, demand('c'), small, 0.1))
        peers.record_report(report(9.0, 9))
        self.assertIsNone(send(peers, demand('d'), small, 9.0))


class GainTest(unittest.TestCase):
    def test_prefix_to_read_again_keeps_a_call(self) -> None:
        peers = domains(report(0.0, 9))
        self.assertIsNone(send(peers, demand('a'), waiting(0.2, 0.3), 0.0))
        self.assertIsNotNone(send(peers, demand('a'), waiting(0.2), 0.0))

    def test_call_that_need_not_wait_stays_at_a_slow_server(self) -> None:
        peers = domains(report(0.0, 9))
        slow = OwnFinish(0.0, 9.0)
        self.assertIsNone(send(peers, demand('a'), slow, 0.0))

    def test_speed_counts_only_where_it_is_compared(self) -> None:
        window = ServerWindow.of(1)
        totals_s = [
            domains(settings=settings)
            .expected_finish(demand('a'), 0.5, 1000, window)
            .total_s
            for settings in (SpillSettings(), GATEWAY_SPILL)
        ]
        self.assertEqual([0.5 + 20 * window.token_s, 0.5], totals_s)

    def test_distance_and_price_keep_a_call(self) -> None:
        call = demand('a', body_bytes=500_000)
        own = waiting(0.2)
        dear = replace(
            GATEWAY_SPILL, domain_price=CrossingPrice(megabyte_s=0.4)
        )
        far = domains(report(0.0, 9, round_trip_s=0.19))
        self.assertIsNone(send(far, call, own, 0.0))
        peers = domains(report(0.0, 9), settings=dear)
        self.assertIsNone(send(peers, call, own, 0.0))
        self.assertIsNotNone(send(peers, demand('a'), own, 0.0))

    def test_nearer_of_two_free_domains_is_chosen(self) -> None:
        peers = domains(
            report(0.0, 9, 'far', round_trip_s=0.02), report(0.0, 9)
        )
        spill = send(peers, demand('a'), waiting(0.2), 0.0)
        self.assertEqual('near', target(spill))

    def test_region_is_left_only_for_its_price(self) -> None:
        peers = domains(report(0.0, 9, region='other', round_trip_s=0.024))
        self.assertIsNone(send(peers, demand('a'), waiting(0.1), 0.0))
        self.assertIsNotNone(send(peers, demand('a'), waiting(0.2), 0.0))


class OfferTest(unittest.TestCase):
    """Answers several full domains beside a single free one."""

    def test_domains_together_send_no_more_than_is_open(self) -> None:
        weights = {DomainId(name): 3 for name in 'bcdef'}
        for open_slots in (0, 1, 4, 17):
            offers = divide_slots(DomainId('a'), open_slots, weights)
            sent = 0
            for offer in offers.values():
                peers = domains(report(0.0, offer))
                sent += sum(
                    send(peers, demand(str(n)), waiting(0.9), 0.0) is not None
                    for n in range(30)
                )
            self.assertEqual(open_slots, sent)

    def test_fuller_domain_is_offered_more(self) -> None:
        weights = {DomainId('b'): 9, DomainId('c'): 3, DomainId('d'): 0}
        offers = divide_slots(DomainId('a'), 8, weights)
        self.assertEqual({'b': 6, 'c': 2, 'd': 0}, offers)

    def test_calls_on_their_way_count_against_a_new_report(self) -> None:
        peers = domains(report(0.0, 1, round_trip_s=0.1))
        send(peers, demand('a'), waiting(0.9), 1.0)
        peers.record_report(report(1.02, 1, round_trip_s=0.1))
        self.assertIsNone(send(peers, demand('b'), waiting(0.9), 1.07))
        peers.record_report(report(1.3, 1, round_trip_s=0.1))
        self.assertIsNotNone(send(peers, demand('b'), waiting(0.9), 1.35))


class ReportTest(unittest.TestCase):
    """Answers reports that are cut, late or untrue."""

    def test_cut_domain_gets_nothing_once_its_report_is_old(self) -> None:
        peers = domains(report(0.0, 9))
        own = waiting(0.9)
        self.assertIsNotNone(send(peers, demand('a'), own, 2.0))
        self.assertIsNone(send(peers, demand('b'), own, 2.1))

    def test_late_report_does_not_replace_a_newer_one(self) -> None:
        peers = domains(report(1.0, 0))
        peers.record_report(report(0.5, 9))
        self.assertIsNone(send(peers, demand('a'), waiting(0.9), 1.0))

    def test_domain_that_returns_calls_is_sent_few(self) -> None:
        peers = domains()
        returned_at_s = []
        for tick in range(240):
            now_s = tick * TICK_S
            if tick % REPORT_TICKS == 0:
                peers.record_report(report(now_s, 9))
            one = demand(str(tick))
            if send(peers, one, waiting(0.9), now_s):
                peers.record_submitted(returned(one), now_s + 0.01)
                returned_at_s.append(now_s)
        for begins_s in (2.0, 4.0, 6.0, 8.0, 10.0):
            later = [at for at in returned_at_s if 0 <= at - begins_s < 2]
            self.assertLessEqual(len(later), 2)

    def test_domain_that_returns_all_calls_is_paused(self) -> None:
        peers = domains(report(0.0, 9))
        for number in range(3):
            one = demand(str(number))
            send(peers, one, waiting(0.9), 0.0)
            peers.record_submitted(returned(one), 0.01)
        self.assertIsNone(send(peers, demand('x'), waiting(0.9), 0.1))

    def test_domain_that_queues_many_at_once_gets_one_at_a_time(self) -> None:
        peers = domains(report(0.0, 9))
        calls = [demand(str(n)) for n in range(5)]
        for one in calls:
            send(peers, one, waiting(0.9), 0.0)
        for one in calls:
            peers.record_submitted(returned(one), 0.1)
        peers.record_report(report(0.5, 9))
        own = waiting(0.9)
        self.assertIsNotNone(send(peers, demand('x'), own, 0.5))
        self.assertIsNone(send(peers, demand('y'), own, 0.5))

    def test_domain_that_keeps_calls_again_is_sent_more(self) -> None:
        peers = domains(report(0.0, 9))
        for number in range(3):
            one = demand(str(number))
            send(peers, one, waiting(0.9), 0.0)
            peers.record_submitted(returned(one), 0.01)
        sent_by_report = []
        for tick in range(1, 20):
            now_s = tick * REPORT_TICKS * TICK_S
            peers.record_report(report(now_s, 9))
            calls = [demand(f'{tick} {n}') for n in range(9)]
            sent = [send(peers, one, waiting(0.9), now_s) for one in calls]
            sent_by_report.append(sum(spill is not None for spill in sent))
        self.assertEqual(1, sent_by_report[1])
        self.assertEqual(9, sent_by_report[-1])

    def test_first_returned_call_does_not_pause_but_takes_a_slot(self) -> None:
        peers = domains(report(0.0, 4))
        send(peers, demand('a'), waiting(0.9), 0.0)
        peers.record_submitted(returned(demand('a')), 0.01)
        calls = [demand(str(n)) for n in range(9)]
        sent = [send(peers, one, waiting(0.9), 0.02) for one in calls]
        self.assertEqual(2, sum(spill is not None for spill in sent))

    def test_few_returned_calls_do_not_pause_a_domain(self) -> None:
        peers = domains()
        sent = 0
        for tick in range(40):
            now_s = tick * REPORT_TICKS * TICK_S
            peers.record_report(report(now_s, 5))
            for number in range(3):
                one = demand(f'{tick} {number}')
                sent += send(peers, one, waiting(0.9), now_s) is not None
            peers.record_submitted(returned(one), now_s + 0.01)
        self.assertEqual(120, sent)


class ContextTest(unittest.TestCase):
    """Answers programs of many calls whose first ones had to leave."""

    def setUp(self) -> None:
        self.peers = domains(report(0.0, 9))
        send(self.peers, demand('a1', context='a'), waiting(0.9), 0.0)

    def next_call(self, moved_prefill_s: float) -> Spill | None:
        self.peers.record_report(report(1.0, 9))
        own = OwnFinish(
            0.0, 0.1, 0.0, moved_prefill_s, token_s=0.005, output_tokens=20
        )
        return send(self.peers, demand('a2', context='a'), own, 1.0)

    def test_call_follows_its_context_while_that_pays(self) -> None:
        spill = self.next_call(moved_prefill_s=0.2)
        assert spill is not None
        self.assertEqual(SpillReason.PREFIX, spill.reason)

    def test_call_of_a_short_prefix_returns(self) -> None:
        self.assertIsNone(self.next_call(moved_prefill_s=0.01))

    def test_returned_call_does_not_follow(self) -> None:
        one = demand('a1', context='a')
        self.peers.record_submitted(returned(one), 0.1)
        self.assertIsNone(self.peers.moved_contexts.find(one))

    def test_program_of_callers_that_moved_follows_its_prefix(self) -> None:
        moved = replace(demand('b'), prefix_domain_id=DomainId('near'))
        own = OwnFinish(0.0, 0.1, 0.0, 0.2, token_s=0.005, output_tokens=20)
        self.assertIsNotNone(self.peers.choose_faster(moved, own, 0.0))
        self.assertIsNone(self.peers.choose_faster(demand('b'), own, 0.0))


class LinkTest(unittest.TestCase):
    """Answers large calls to another region over a link of 0.5 MB/s."""

    def setUp(self) -> None:
        settings = replace(
            GATEWAY_SPILL, region_price=CrossingPrice(), link=LINK
        )
        self.peers = domains(report(0.0, 99, region='x'), settings=settings)

    def sent(self, now_s: float) -> int:
        calls = [demand(f'{now_s} {n}', 20_000) for n in range(20)]
        own = waiting(0.9)
        return sum(
            send(self.peers, one, own, now_s) is not None for one in calls
        )

    def test_nearly_full_link_carries_no_more(self) -> None:
        self.assertEqual(3, self.sent(0.0))
        self.assertEqual(0, self.sent(0.0))
        self.assertIsNone(self.peers.choose_fallback(demand('z', 1), 0.0))
        self.assertEqual(3, self.sent(0.2))

    def test_bytes_that_others_have_under_way_count(self) -> None:
        other = report(0.0, 0, 'other')
        self.peers.record_report(replace(other, link_bytes=50_001.0))
        self.assertEqual(0, self.sent(0.0))


class FallbackTest(unittest.TestCase):
    """Answers the loss of all own servers."""

    def test_nearest_domain_is_used_at_once(self) -> None:
        peers = domains(
            report(0.0, 9, 'x', region='other', round_trip_s=0.001),
            report(0.0, 9, 'b', round_trip_s=0.02),
            report(0.0, 9, 'c', round_trip_s=0.01),
        )
        spill = peers.choose_fallback(demand('a'), 0.0)
        self.assertEqual('c', target(spill))

    def test_full_domains_share_what_waits(self) -> None:
        peers = domains(report(0.0, 1, 'b'), report(0.0, 1, 'c'))
        counts = {'b': 0, 'c': 0}
        for n in range(10):
            spill = peers.choose_fallback(demand(str(n)), 0.0)
            assert spill is not None
            peers.record_spill(demand(str(n)), spill, 0.0)
            counts[spill.domain_id] += 1
        self.assertEqual({'b': 5, 'c': 5}, counts)

    def test_domain_that_returned_a_call_is_the_last_choice(self) -> None:
        peers = domains(report(0.0, 9, 'b', round_trip_s=0.05), report(0.0, 9))
        spill = send(peers, demand('a'), waiting(0.9), 0.0)
        self.assertEqual('near', target(spill))
        peers.record_submitted(returned(demand('a')), 0.1)
        spill = peers.choose_fallback(returned(demand('a')), 0.1)
        self.assertEqual('b', target(spill))


class ObstacleTest(unittest.TestCase):
    """Answers an operator who asks why nothing is sent any more."""

    def obstacle(self, peers: PeerDomains, now_s: float) -> SpillObstacle:
        return peers.find_obstacle(DomainId('near'), now_s)

    def test_obstacle_is_named(self) -> None:
        peers = domains()
        self.assertEqual(SpillObstacle.NO_REPORT, self.obstacle(peers, 0.0))
        peers.record_report(report(0.0, 1))
        self.assertEqual(SpillObstacle.NO_GAIN, self.obstacle(peers, 0.0))
        send(peers, demand('a'), waiting(0.9), 0.0)
        self.assertEqual(SpillObstacle.NO_OPEN_SLOT, self.obstacle(peers, 0.0))
        for _ in range(2):
            peers.record_submitted(returned(demand('a')), 0.1)
        self.assertEqual(SpillObstacle.RETURNED, self.obstacle(peers, 0.1))
        peers.record_report(replace(report(0.2, 1), usable=False))
        self.assertEqual(SpillObstacle.NO_SERVER, self.obstacle(peers, 0.2))
        self.assertEqual(SpillObstacle.NO_REPORT, self.obstacle(peers, 9.0))

    def test_full_link_is_named(self) -> None:
        settings = replace(GATEWAY_SPILL, link=LINK)
        far = report(0.0, 9, region='x')
        peers = domains(far, settings=settings)
        spill = peers.choose_fallback(demand('a', 90_000), 0.0)
        assert spill is not None
        peers.record_spill(demand('a', 90_000), spill, 0.0)
        self.assertEqual(SpillObstacle.LINK_FULL, self.obstacle(peers, 0.0))
