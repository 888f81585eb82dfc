"""Measure how long the event loop served nobody else."""

import asyncio
import logging
import time

from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# A pause of the loop is logged from this length on.
LOGGED_PAUSE_S = 0.1
# The longest pause is that of the present and the last window.
WINDOW_S = 30.0


class LoopWatch:
    """Records the pauses of the event loop, as seen by one of its sleepers."""

    def __init__(self) -> None:
        self._window_ends_at_s = 0.0
        self._last_window_s = 0.0
        self._this_window_s = 0.0

    @property
    def longest_pause_s(self) -> float:
        """Return the longest pause of the last window or since, in seconds."""
        return max(self._last_window_s, self._this_window_s)

    async def sleep(self, delay_s: float) -> None:
        """Sleep, and record by how much longer the loop took."""
        due_at_s = time.monotonic() + delay_s
        await asyncio.sleep(delay_s)
        now_s = time.monotonic()
        self.record(now_s - due_at_s, now_s)

    def record(self, pause_s: float, now_s: float) -> None:
        """Record a pause that ended at a monotonic time."""
        if now_s >= self._window_ends_at_s:
            self._window_ends_at_s = now_s + WINDOW_S
            self._last_window_s = self._this_window_s
            self._this_window_s = 0.0
        self._this_window_s = max(self._this_window_s, pause_s)
        if pause_s >= LOGGED_PAUSE_S:
            log_event(
                LOG, 'loop_paused', logging.WARNING, ms=round(pause_s * 1000)
            )
