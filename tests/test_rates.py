from collections.abc import Callable
from random import Random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bench.rates_fleet import compute_max_excess
from bench.rates_fleet import Faults
from bench.rates_fleet import Fleet
from bench.rates_fleet import Site
from jackdawfield.decisions.admission import Admission
from jackdawfield.decisions.buckets import Bucket
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.buckets import PARTS_PER_CONTRACT
from jackdawfield.decisions.ledger import Ledger
from jackdawfield.decisions.rate_events import Action
from jackdawfield.decisions.rate_events import AdmissionRequested
from jackdawfield.decisions.rate_events import MessageReceived
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.decisions.rate_events import Send
from jackdawfield.decisions.rates import ShareHolder
from jackdawfield.decisions.settlement import LedgerManager
from jackdawfield.decisions.shares import Share
from jackdawfield.messages.rates import Grant
from jackdawfield.messages.rates import HolderAnswer
from jackdawfield.messages.rates import RefusalReason

DOMAINS = ('a', 'b', 'c')
SITE = Site('three', {'a': 'r1', 'b': 'r1', 'c': 'r2'}, 'r1', 2)
CONTRACT = Contract(0.3, 20)
CONTRACTS = (CONTRACT, Contract(0.2, 8), Contract(1.0, 40))
TOLERANCE = 1e-6
KINDS = (0,) * 8 + (2,) * 5 + (3,) * 4 + (4, 5, 5, 6, 7, 7, 8, 9, 10, 10)


class Run:
    """Applies steps to a fleet that serves one organisation."""

    def __init__(
        self,
        seed: int,
        holder_class: type[ShareHolder] = ShareHolder,
        contract: Contract = CONTRACT,
    ) -> None:
        self.fleet = Fleet(
            SITE, {'o': contract}, seed, holder_class=holder_class
        )
        self.contract_periods = [(0.0, contract)]
        self.request_count = 0
        self.submit('a-0', 1)
        self.advance(1.0)

    def step(self, kind: int, one: int, two: int) -> None:
        ids = sorted(self.fleet.nodes_by_id)
        node_id = ids[one % len(ids)]
        steps: list[Callable[[], object]] = [
            lambda: self.submit(node_id, 1 + two % 8),
            lambda: self.submit(node_id, 1 + two % 8),
            lambda: self.advance(0.05 * two),
            lambda: self.advance(1.0 * two),
            lambda: self.fleet.kill(node_id),
            lambda: self.fleet.restart(node_id),
            lambda: self.fleet.pause(node_id),
            lambda: self.fleet.resume(node_id),
            lambda: self.inject_faults(one, two),
            lambda: self.change_contract(CONTRACTS[two % 3]),
            self.clear_faults,
        ]
        steps[kind % len(steps)]()

    def submit(self, node_id: str, count: int) -> None:
        for _ in range(count):
            self.request_count += 1
            self.fleet.submit_to_node(node_id, 'o', f'q{self.request_count}')

    def advance(self, seconds: float) -> None:
        self.fleet.run_until(self.fleet.now_s + seconds)

    def inject_faults(self, one: int, two: int) -> None:
        self.fleet.faults = Faults(
            loss=0.3 * (one % 2),
            duplication=0.5 * (one // 2 % 2),
            extra_delay_s=3.0 * (one // 4 % 2),
            lost_outcomes=0.5 * (two % 2),
            table_down=two % 7 == 6,
            partitioned_domains={DOMAINS[two // 2]} if two // 2 < 3 else set(),
        )

    def clear_faults(self) -> None:
        self.fleet.faults = Faults()

    def change_contract(self, contract: Contract) -> None:
        if self.contract_periods[-1][0] > self.fleet.now_s:
            return
        old = self.contract_periods[-1][1]
        between = Contract(
            max(old.rate_per_s, contract.rate_per_s),
            max(old.burst, contract.burst),
        )
        self.contract_periods.append((self.fleet.now_s, between))
        self.contract_periods.append(
            (self.fleet.change_contract('o', contract), contract)
        )

    def excess(self) -> float:
        admitted = [d.at_s for d in self.fleet.decisions if d.admitted]
        return compute_max_excess(admitted, self.contract_periods)


def random_excess(holder_class: type[ShareHolder], seed: int) -> float:
    random = Random(seed)
    run = Run(seed, holder_class)
    for _ in range(250):
        kind = random.choice(KINDS)
        run.step(kind, random.randrange(8), random.randrange(8))
    run.advance(20.0)
    return run.excess()


class NeverDeducts(Share):
    def _deduct(self, parts: int, tokens: float, now_s: float) -> None:
        pass


class AsksLikelyGiversOnly(Share):
    def unlikely_givers(self, now_s: float) -> list[str]:
        return []


class AppliesTwice(Share):
    def _is_new(self, grant: object) -> bool:
        return True


class StartsFull(Share):
    def open_epoch(self, ledger: object, now_s: float) -> None:
        super().open_epoch(ledger, now_s)
        self.bucket.tokens = self.bucket.capacity


class TransfersWhileClosed(Share):
    def close(self) -> int:
        return self.bucket.parts


class AssumesUnresponsiveHoldNothing(LedgerManager):
    def _unreported_peers(self) -> list[str]:
        for peer_id, peer in self.share.peers_by_id.items():
            if peer.is_unresponsive:
                self._reported_parts_by_holder[peer_id] = 0
        return super()._unreported_peers()


class IgnoresCapacity(Bucket):
    def wait_s(self, tokens: float) -> float:
        return max(0.0, tokens - self.tokens) / self.rate_per_s


def share_that_ignores_capacity() -> type[Share]:
    class ShareIgnoringCapacity(Share):
        def open_epoch(self, ledger: Ledger, now_s: float) -> None:
            self.bucket = IgnoresCapacity(self.bucket.contract, 0, 0, now_s)
            super().open_epoch(ledger, now_s)

    return ShareIgnoringCapacity


def holder_class_with(cls: type[Share]) -> type[ShareHolder]:
    return type(cls.__name__, (ShareHolder,), {'share_class': cls})


class SettlesWithoutReports(ShareHolder):
    ledger_manager_class = AssumesUnresponsiveHoldNothing


class AdmitsWithoutLease(ShareHolder):
    def has_lease(self, now_s: float) -> bool:
        return True


class KeepsExpiredShares(ShareHolder):
    def _drop_shares(self) -> tuple[Action, ...]:
        return ()


class RefillsOnChange(ShareHolder):
    def _apply_contracts(self, now_s: float) -> None:
        super()._apply_contracts(now_s)
        for admission in self.admissions_by_organisation_id.values():
            admission.share.bucket.tokens = admission.share.bucket.capacity


def shift_demand(run: Run) -> None:
    run.submit('b-0', 8)
    run.advance(0.5)
    run.submit('a-0', 20)


def duplicate_messages(run: Run) -> None:
    run.fleet.faults.duplication = 1.0
    for _ in range(4):
        run.submit('b-0', 8)
        run.advance(0.5)
        run.submit('a-0', 8)


def lose_holder(run: Run) -> None:
    run.submit('b-0', 1)
    run.advance(0.5)
    run.submit('a-0', 20)
    run.advance(0.5)
    run.fleet.kill('a-0')
    run.advance(12.0)
    run.submit('b-0', 20)


def settle_during_partition(run: Run) -> None:
    run.submit('c-0', 12)
    run.advance(0.5)
    run.submit('b-0', 2)
    run.advance(0.5)
    run.fleet.faults.partitioned_domains = {'c'}
    for _ in range(50):
        run.advance(0.1)
        run.submit('c-0', 3)
        run.submit('b-0', 5)
        run.submit('a-0', 5)


def pause_holder(run: Run) -> None:
    run.submit('b-0', 1)
    run.advance(0.5)
    run.submit('a-0', 22)
    run.fleet.pause('a-0')
    run.submit('a-0', 15)
    run.advance(20.0)
    run.submit('b-0', 20)
    run.advance(0.5)
    run.fleet.resume('a-0')


def change_contract(run: Run) -> None:
    run.submit('a-0', 20)
    run.change_contract(Contract(0.3, 8))
    run.advance(6.5)
    run.submit('a-0', 20)


SCENARIOS = (
    (shift_demand, holder_class_with(NeverDeducts)),
    (duplicate_messages, holder_class_with(AppliesTwice)),
    (lose_holder, holder_class_with(StartsFull)),
    (settle_during_partition, SettlesWithoutReports),
    (pause_holder, AdmitsWithoutLease),
    (pause_holder, KeepsExpiredShares),
    (change_contract, RefillsOnChange),
)


class OverAdmissionTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 10),
                strategies.integers(0, 7),
                strategies.integers(0, 7),
            ),
            max_size=60,
        ),
        strategies.integers(0, 99),
    )
    def test_no_window_gets_more_than_the_contract(
        self, steps: list[tuple[int, int, int]], seed: int
    ) -> None:
        run = Run(seed)
        for step in steps:
            run.step(*step)
        run.advance(20.0)
        self.assertLess(run.excess(), TOLERANCE)

    def test_long_random_runs_stay_within_the_contract(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.assertLess(random_excess(ShareHolder, seed), TOLERANCE)

    def test_each_scenario_detects_its_broken_variant(self) -> None:
        for scenario, variant in SCENARIOS:
            with self.subTest(variant=variant.__name__):
                sound = self.run_scenario(scenario, ShareHolder)
                broken = self.run_scenario(scenario, variant)
                self.assertLess(sound, TOLERANCE)
                self.assertGreater(broken, TOLERANCE)

    def run_scenario(
        self, scenario: Callable[[Run], None], cls: type[ShareHolder]
    ) -> float:
        run = Run(1, cls, Contract(1.0, 20))
        scenario(run)
        run.advance(1.0)
        return run.excess()

    def test_closed_share_neither_sends_nor_accepts_parts(self) -> None:
        self.assertEqual((0, False), self.transfer_while_closed(Share))
        broken = self.transfer_while_closed(TransfersWhileClosed)
        self.assertNotEqual((0, False), broken)

    def transfer_while_closed(self, cls: type[Share]) -> tuple[int, bool]:
        giver = cls('o', 'a/1/0', CONTRACT, 0.0)
        asker = cls('o', 'b/1/0', CONTRACT, 0.0)
        ledger = Ledger(1, {'a/1/0': PARTS_PER_CONTRACT, 'b/1/0': 0})
        giver.open_epoch(ledger, 0.0)
        asker.open_epoch(ledger, 0.0)
        asks = asker.create_asks(['a/1/0'], 1.0, 0.0) + asker.create_asks(
            ['a/1/0'], 1.0, 0.0
        )
        grant = giver.answer_ask(asks[0], 0.0)
        asker.close()
        taken = asker.accept_grant(grant, 0.0)
        giver.close()
        return giver.answer_ask(asks[1], 0.0).parts, taken


class AdmissionTest(unittest.TestCase):
    def test_repeated_request_is_counted_once(self) -> None:
        run = Run(1, contract=Contract(0.01, 3))
        for _ in range(5):
            run.fleet.submit_to_node('a-0', 'o', 'same')
        run.submit('a-0', 1)
        run.advance(1.0)
        admitted = [d for d in run.fleet.decisions if d.admitted]
        self.assertEqual(7, len(admitted))

    def test_tokens_of_all_holders_are_used(self) -> None:
        run = Run(1, contract=Contract(0.01, 9))
        for node_id in ('b-0', 'c-0', 'a-0', 'c-1'):
            run.submit(node_id, 2)
            run.advance(0.5)
        admitted = [d for d in run.fleet.decisions if d.admitted]
        self.assertEqual(9, len(admitted))

    def test_holders_reported_empty_are_asked_after_others(
        self,
    ) -> None:
        self.assertEqual(6, self.admitted_after_moves(ShareHolder))
        forgetful = self.admitted_after_moves(
            holder_class_with(AsksLikelyGiversOnly)
        )
        self.assertLess(forgetful, 6)

    def admitted_after_moves(self, cls: type[ShareHolder]) -> int:
        run = Run(1, cls, Contract(0.01, 6))
        for node_id, count in (('b-0', 1), ('c-0', 1), ('a-0', 3)):
            run.submit(node_id, count)
            run.advance(0.5)
        return sum(d.admitted for d in run.fleet.decisions)

    def test_share_with_capacity_below_one_token_asks_peers(self) -> None:
        self.assertTrue(self.asks_peers(Share))
        self.assertFalse(self.asks_peers(share_that_ignores_capacity()))

    def asks_peers(self, share_class: type[Share]) -> bool:
        share = share_class('o', 'b/1/0', Contract(2.0, 5), 0.0)
        ledger = Ledger(
            2, {'b/1/0': PARTS_PER_CONTRACT * 199 // 1000, 'a/1/0': 0}
        )
        share.open_epoch(ledger, 0.0)
        rates = RateSettings()
        admission = Admission(share, LedgerManager(share, rates, set()), rates)
        actions = admission.admit('q', 60.0)
        return any(isinstance(action, Send) for action in actions)

    def test_peers_are_asked_again_at_once_while_they_report_tokens(
        self,
    ) -> None:
        run = Run(1, contract=Contract(0.01, 9))
        run.submit('b-0', 1)
        run.submit('a-0', 2)
        for _ in range(6):
            run.advance(0.005)
            run.submit('b-0', 1)
        run.advance(0.5)
        admitted = [d for d in run.fleet.decisions if d.admitted]
        self.assertEqual(9, len(admitted))

    def test_refusal_reports_the_wait_and_the_tokens_of_peers(self) -> None:
        run = Run(1, contract=Contract(0.5, 2))
        run.submit('b-0', 1)
        run.advance(0.5)
        holder = run.fleet.nodes_by_id['a-0'].holder
        asked = holder.on(AdmissionRequested('o', 'late'), run.fleet.now_s)
        ask = next(a.message for a in asked if isinstance(a, Send))
        empty = Grant(
            organisation_id='o',
            epoch=1,
            giver=ask.giver,
            receiver=ask.asker,
            sequence=9,
            ask_sequence=ask.sequence,
            parts=0,
            tokens=0.0,
            parts_left=0,
            tokens_left=0.2,
            spare_per_s=0.0,
        )
        refused = holder.on(MessageReceived(empty), run.fleet.now_s)[0].refusal
        self.assertEqual(RefusalReason.OVER_RATE, refused.reason)
        self.assertEqual((HolderAnswer(ask.giver, 0.2),), refused.answers)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertLess(refused.retry_after_s, 2.0)

    def test_every_request_is_decided_without_network_and_table(self) -> None:
        run = Run(1)
        run.submit('c-0', 5)
        run.fleet.faults = Faults(loss=1.0, table_down=True)
        for node_id in ('a-0', 'b-0', 'c-0'):
            run.submit(node_id, 30)
        run.advance(1.0)
        self.assertEqual(run.request_count, len(run.fleet.decisions))

    def test_settlement_reassigns_lost_parts(self) -> None:
        run = Run(1)
        run.submit('b-0', 1)
        run.advance(0.5)
        run.submit('a-0', 30)
        run.advance(0.0007)
        run.fleet.faults = Faults(loss=1.0)
        run.advance(0.5)
        run.fleet.faults = Faults()
        self.assertLess(self.total_parts(run), PARTS_PER_CONTRACT)
        run.advance(10.0)
        self.assertEqual(PARTS_PER_CONTRACT, self.total_parts(run))

    def total_parts(self, run: Run) -> int:
        return sum(
            admission.share.bucket.parts
            for node in run.fleet.nodes_by_id.values()
            for admission in node.holder.admissions_by_organisation_id.values()
        )


if __name__ == '__main__':
    unittest.main()
