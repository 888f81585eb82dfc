import unittest

from jackdawfield.decisions.caches import PrefixCaches
from jackdawfield.decisions.pool_events import CachedPrefix
from jackdawfield.decisions.windows import best_token_s
from jackdawfield.decisions.windows import mark_slow
from jackdawfield.decisions.windows import ServerWindow
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

SERVER = ServerId('s')
CONTEXT = ProgramId('p')


class ServerWindowTest(unittest.TestCase):
    def test_calls_granted_before_a_delayed_report_count(self) -> None:
        window = ServerWindow.of(4)
        for _ in range(3):
            window.record_grant(0.0, 0)
        window.apply_report(running=0, waiting=0)
        self.assertEqual(1, window.open_slots(0.0))

    def test_delayed_report_of_own_calls_adds_no_foreign_calls(self) -> None:
        window = ServerWindow.of(4)
        window.record_grant(0.0, 0)
        window.record_unstarted_end(0)
        window.apply_report(running=1, waiting=0)
        self.assertEqual(4, window.open_slots(0.0))

    def test_calls_of_an_earlier_steward_take_slots(self) -> None:
        window = ServerWindow.of(4)
        window.apply_report(running=3, waiting=0)
        self.assertEqual(1, window.open_slots(0.0))

    def test_limit_shrinks_while_the_server_queues_and_recovers(self) -> None:
        window = ServerWindow.of(8)
        for _ in range(8):
            window.record_grant(0.0, 0)
        window.apply_report(running=5, waiting=3)
        self.assertEqual(5, window.limit)
        window.apply_report(running=8, waiting=0)
        self.assertEqual(7, window.limit)

    def test_unreachable_server_is_ejected_then_probed_once(self) -> None:
        window = ServerWindow.of(8)
        window.record_failure(0.0, unreachable=True)
        self.assertEqual(0, window.open_slots(0.5))
        self.assertEqual(1, window.open_slots(1.5))
        window.record_grant(1.5, 0)
        self.assertEqual(0, window.open_slots(1.5))
        window.record_unstarted_end(0)
        window.record_success(2.0)
        self.assertEqual(8, window.open_slots(2.0))

    def test_ejection_grows_with_repeated_failures(self) -> None:
        window = ServerWindow.of(8)
        window.record_failure(0.0, unreachable=True)
        window.record_failure(2.0, unreachable=True)
        self.assertEqual(0, window.open_slots(3.5))
        self.assertEqual(1, window.open_slots(4.5))

    def test_single_error_does_not_eject(self) -> None:
        window = ServerWindow.of(8)
        window.record_failure(0.0, unreachable=False)
        self.assertEqual(8, window.open_slots(0.0))

    def test_server_without_first_tokens_is_stalled(self) -> None:
        window = ServerWindow.of(8)
        window.record_grant(0.0, 1000)
        self.assertTrue(window.is_usable(2.0))
        self.assertFalse(window.is_usable(9.0))
        window.record_first_token(9.0, 1000)
        self.assertTrue(window.is_usable(9.5))

    def test_long_answer_is_not_a_stall(self) -> None:
        window = ServerWindow.of(8)
        window.record_grant(0.0, 1000)
        window.record_first_token(0.5, 1000)
        self.assertTrue(window.is_usable(60.0))

    def test_slow_server_is_limited_to_probes_until_it_recovers(self) -> None:
        slow, fast = ServerWindow.of(8), ServerWindow.of(8)
        for _ in range(20):
            fast.record_decode(2.0, 100)
            slow.record_decode(20.0, 100)
        mark_slow([slow, fast], best_token_s([slow, fast]))
        self.assertEqual(2, slow.open_slots(0.0))
        self.assertEqual(8, fast.open_slots(0.0))
        for _ in range(4):
            slow.record_decode(2.0, 100)
        mark_slow([slow, fast], best_token_s([slow, fast]))
        self.assertEqual(8, slow.open_slots(0.0))

    def test_equally_slow_servers_are_not_marked_slow(self) -> None:
        first, second, unused = (ServerWindow.of(8) for _ in range(3))
        for window in (first, second):
            for _ in range(9):
                window.record_decode(20.0, 100)
            window.record_prefill(60.0, 1000)
        windows = [first, second, unused]
        mark_slow(windows, best_token_s(windows))
        self.assertEqual(8, first.open_slots(0.0))
        self.assertEqual(8, unused.open_slots(0.0))

    def test_slow_prefill_marks_a_server_slow(self) -> None:
        window = ServerWindow.of(8)
        for _ in range(5):
            window.record_prefill(0.1, 1000)
        window.record_prefill(2.0, 1000)
        mark_slow([window], best_token_s([window]))
        self.assertEqual(2, window.open_slots(0.0))


class PrefixCachesTest(unittest.TestCase):
    def caches(self) -> PrefixCaches:
        caches = PrefixCaches()
        caches.set_server(SERVER, 1000)
        caches.record_use(SERVER, CONTEXT, 600)
        return caches

    def test_least_recently_used_context_is_evicted(self) -> None:
        caches = self.caches()
        caches.record_use(SERVER, ProgramId('q'), 500)
        self.assertEqual(0, caches.cached_tokens(SERVER, CONTEXT))
        self.assertEqual(500, caches.cached_tokens(SERVER, ProgramId('q')))

    def test_reports_correct_the_estimate(self) -> None:
        caches = self.caches()
        caches.apply_report(
            SERVER, (CachedPrefix(CONTEXT, 0),), complete=False
        )
        self.assertEqual(0, caches.cached_tokens(SERVER, CONTEXT))
        caches.apply_report(
            SERVER, (CachedPrefix(CONTEXT, 300),), complete=True
        )
        self.assertEqual(300, caches.cached_tokens(SERVER, CONTEXT))

    def test_removed_server_has_no_cached_tokens(self) -> None:
        caches = self.caches()
        caches.remove_server(SERVER)
        caches.record_use(SERVER, CONTEXT, 600)
        caches.apply_report(
            SERVER, (CachedPrefix(CONTEXT, 1),), complete=False
        )
        self.assertEqual(0, caches.cached_tokens(SERVER, CONTEXT))
