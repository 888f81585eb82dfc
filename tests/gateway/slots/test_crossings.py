import unittest

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import SpillReason
from jackdawfield.gateway.measurement import GatewayMetrics
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
        self.crossings.log_ended(lambda *_: 'no gain', now_s)

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

    def test_metrics_tell_how_many_crossed_by_domain(self) -> None:
        metrics = GatewayMetrics('i')
        metrics.add_lines(self.crossings.render)
        self.spill(0.0)
        self.spill(0.0)
        self.spill(0.0, SpillReason.PREFIX)
        self.crossings.record_granted()
        self.crossings.record_return(NEAR)
        text = metrics.render_prometheus()
        for line in (
            'calls_kept 1',
            'calls_crossed{domain="near-b",reason="sooner finish"} 2',
            'calls_crossed{domain="near-b",reason="cached prefix"} 1',
            'bytes_crossed{domain="near-b"} 2100',
            'calls_returned{domain="near-b"} 1',
        ):
            self.assertIn(line, text)
