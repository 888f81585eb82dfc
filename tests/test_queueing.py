from dataclasses import replace
import unittest

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.queueing import FairQueue
from jackdawfield.decisions.queueing import QueueSettings
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId


def demand(name: str, organisation: str, attained: float = 0) -> SlotDemand:
    return SlotDemand(
        RequestId(name),
        InstanceId('home'),
        OrganisationId(organisation),
        ProgramId(name),
        1000,
        100,
        60.0,
        attained_tokens=attained,
    )


def serve(queue: FairQueue, count: int) -> list[str]:
    order = []
    for _ in range(count):
        waiting = queue.pop()
        assert waiting is not None
        order.append(waiting.demand.organisation_id)
        queue.charge(
            waiting.demand.organisation_id, 100, waiting.demand.weight
        )
    return order


class OrganisationsTest(unittest.TestCase):
    def serve_after_flood(self, settings: QueueSettings) -> list[str]:
        queue = FairQueue(settings)
        for n in range(50):
            queue.push(demand(f'a{n}', 'a'), 0.0)
        for n in range(5):
            queue.push(demand(f'b{n}', 'b'), 1.0)
        return serve(queue, 10)

    def test_flood_of_one_organisation_does_not_delay_another(self) -> None:
        strict = QueueSettings(burst_tokens=100.0)
        self.assertEqual(5, self.serve_after_flood(strict).count('b'))

    def test_flood_is_ahead_by_one_burst_at_most(self) -> None:
        queue = FairQueue(QueueSettings(burst_tokens=1000.0))
        for n in range(100):
            queue.push(demand(f'a{n}', 'a'), 0.0)
        for n in range(100):
            queue.push(demand(f'b{n}', 'b', attained=9000), 0.0)
        self.assertAlmostEqual(30, serve(queue, 60).count('b'), delta=10)

    def test_unfair_queue_is_detected(self) -> None:
        unfair = QueueSettings(is_fair=False)
        self.assertEqual(0, self.serve_after_flood(unfair).count('b'))

    def test_idle_organisation_accrues_no_credit(self) -> None:
        queue = FairQueue(QueueSettings(burst_tokens=100.0))
        for n in range(100):
            queue.push(demand(f'a{n}', 'a'), 0.0)
        serve(queue, 50)
        for n in range(50):
            queue.push(demand(f'b{n}', 'b'), 1.0)
        self.assertLessEqual(serve(queue, 20).count('b'), 11)

    def test_organisations_are_served_by_weight(self) -> None:
        queue = FairQueue(QueueSettings(burst_tokens=100.0))
        for n in range(90):
            queue.push(replace(demand(f'a{n}', 'a'), weight=2.0), 0.0)
            queue.push(demand(f'b{n}', 'b'), 0.0)
        self.assertAlmostEqual(40, serve(queue, 60).count('a'), delta=2)

    def test_excluded_organisation_stays_queued(self) -> None:
        queue = FairQueue(QueueSettings())
        queue.push(demand('a', 'a'), 0.0)
        queue.push(demand('b', 'b'), 0.0)
        first = queue.pop(frozenset({OrganisationId('a')}))
        assert first is not None
        self.assertEqual('b', first.demand.organisation_id)
        self.assertEqual(['a'], serve(queue, 1))
        self.assertIsNone(queue.pop())


class ProgramsTest(unittest.TestCase):
    def next_name(self, queue: FairQueue) -> str:
        waiting = queue.pop()
        assert waiting is not None
        return waiting.demand.request_id

    def test_least_attained_program_goes_first(self) -> None:
        queue = FairQueue(QueueSettings())
        queue.push(demand('old', 'a', attained=5000), 0.0)
        queue.push(demand('new', 'a'), 1.0)
        self.assertEqual('new', self.next_name(queue))

    def test_rank_improves_with_age(self) -> None:
        queue = FairQueue(QueueSettings())
        queue.push(demand('old', 'a', attained=5000), 0.0)
        queue.push(demand('new', 'a'), 200.0)
        self.assertEqual('old', self.next_name(queue))

    def test_queue_without_ageing_is_detected(self) -> None:
        queue = FairQueue(QueueSettings(ageing_tokens_per_s=0.0))
        queue.push(demand('old', 'a', attained=5000), 0.0)
        queue.push(demand('new', 'a'), 200.0)
        self.assertEqual('new', self.next_name(queue))

    def test_removed_request_is_not_served(self) -> None:
        queue = FairQueue(QueueSettings())
        waiting = queue.push(demand('x', 'a'), 0.0)
        self.assertEqual(waiting, queue.remove(RequestId('x')))
        self.assertIsNone(queue.pop())
        queue.restore(waiting)
        self.assertEqual('x', self.next_name(queue))

    def test_removing_the_first_request_keeps_the_others(self) -> None:
        queue = FairQueue(QueueSettings())
        queue.push(demand('first', 'a'), 0.0)
        queue.push(demand('second', 'a'), 1.0)
        queue.remove(RequestId('first'))
        self.assertEqual('second', self.next_name(queue))
