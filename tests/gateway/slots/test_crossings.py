from math import inf
import unittest

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import SpillObstacle
from jackdawfield.decisions.pool_events import SpillReason
from jackdawfield.gateway.slots.crossings import Crossings
from jackdawfield.model import DomainId
from jackdawfield.model import ServiceName

CHAT = ServiceName('chat')
NEAR = DomainId('near-b')


class CrossingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.crossings = Crossings()

    def spill(
        self, now_s: float, reason: SpillReason = SpillReason.FASTER
    ) -> None:
        spill = Spill(RequestId('a'), NEAR, reason=reason, gain_s=0.12)
        self.crossings.record_spill(CHAT, spill, 700, now_s)

    def end(self, now_s: float) -> None:
        self.crossings.log_ended(lambda *_: SpillObstacle.NO_GAIN, now_s)

    def test_run_of_calls_is_logged_twice(self) -> None:
        with self.assertLogs(level='INFO') as logs:
            for tick in range(300):
                self.spill(tick * 0.01)
                self.end(tick * 0.01)
            self.end(10.0)
            self.end(20.0)
        began, ended = logs.output
        self.assertIn('spill_began', began)
        self.assertIn('gain_ms=120', began)
        self.assertIn('spill_ended', ended)
        self.assertIn('reason="no gain" calls=300 bytes=210000', ended)

    def test_gain_over_an_endless_wait_is_logged(self) -> None:
        spill = Spill(RequestId('a'), NEAR, gain_s=inf)
        with self.assertLogs(level='INFO') as logs:
            self.crossings.record_spill(CHAT, spill, 700, 0.0)
        self.assertIn('gain_ms=60000', logs.output[0])

    def test_calls_are_counted_by_domain_and_reason(self) -> None:
        self.spill(0.0)
        self.spill(0.0)
        self.spill(0.0, SpillReason.PREFIX)
        self.crossings.record_granted()
        self.crossings.record_return(NEAR)
        self.assertEqual(1, self.crossings.granted_count)
        self.assertEqual({'near-b': 3}, self.crossings.calls_by_domain())
        self.assertEqual(
            {'sooner finish': 2, 'cached prefix': 1},
            self.crossings.calls_by_reason(),
        )
        self.assertEqual({'near-b': 2100}, self.crossings.bytes_by_domain())
        self.assertEqual({'near-b': 1}, self.crossings.returns_by_domain())
