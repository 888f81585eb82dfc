"""Run callbacks in virtual time."""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from typing import Any


class Clock:
    """Holds the virtual time and the scheduled callbacks."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._scheduled: list[
            tuple[float, int, Callable[..., None], tuple]
        ] = []
        self._sequence = 0

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay."""
        self._sequence += 1
        timer = (self.now_s + delay_s, self._sequence, callback, args)
        heappush(self._scheduled, timer)

    def run(self, until_s: float, is_finished: Callable[[], bool]) -> None:
        """Run callbacks in order until a time or until `is_finished`."""
        while (
            self._scheduled
            and self._scheduled[0][0] <= until_s
            and not is_finished()
        ):
            self.now_s, _, callback, args = heappop(self._scheduled)
            callback(*args)
