"""Test how pauses of the event loop are recorded."""

import unittest

from jackdawfield.gateway.loop_watch import LOGGED_PAUSE_S
from jackdawfield.gateway.loop_watch import LoopWatch
from jackdawfield.gateway.loop_watch import WINDOW_S


class LoopWatchTest(unittest.TestCase):
    def test_the_longest_pause_is_kept_for_a_window(self) -> None:
        watch = LoopWatch()
        for pause_s, now_s in ((0.01, 0.0), (0.05, 1.0), (0.02, 2.0)):
            watch.record(pause_s, now_s)
        self.assertEqual(watch.longest_pause_s, 0.05)
        watch.record(0.01, WINDOW_S + 1.0)
        self.assertEqual(watch.longest_pause_s, 0.05)
        watch.record(0.01, 2 * WINDOW_S + 2.0)
        self.assertEqual(watch.longest_pause_s, 0.01)

    def test_long_pauses_are_logged(self) -> None:
        watch = LoopWatch()
        with self.assertLogs('jackdawfield.gateway.loop_watch') as logs:
            watch.record(LOGGED_PAUSE_S, 0.0)
            watch.record(LOGGED_PAUSE_S / 2, 1.0)
        self.assertEqual(len(logs.output), 1)
        self.assertIn('loop_paused', logs.output[0])
