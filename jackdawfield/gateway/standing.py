"""Judges a backend server by the failures that instances report."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

# A server is shunned once this much was reported within the time.
WEIGHT_TO_SHUN = 2.0
WINDOW_S = 3.0
# It is shunned for so long, and twice as long each time that it fails again
# soon after.
FIRST_SHUN_S = 1.0
MOST_SHUN_S = 8.0
# Instances come back to it one after another, over this share more.
SPREAD = 0.5


@dataclass(slots=True)
class Standing:
    """Holds a server's reported failures.

    The trial order, from 0 to 1, says how early this instance comes back.
    """

    trial_order: float = 0.0
    times: int = 0
    shunned_s: float = 0.0
    shunned_until_s: float = 0.0
    _reports: deque[tuple[float, float]] = field(default_factory=deque)

    def note(self, weight: float, now_s: float) -> bool:
        """Count a report and return whether the server is shunned anew."""
        if self.shunned(now_s):
            return False
        self._reports.append((now_s, weight))
        while self._reports[0][0] < now_s - WINDOW_S:
            self._reports.popleft()
        if sum(weight for _, weight in self._reports) < WEIGHT_TO_SHUN:
            return False
        self._reports.clear()
        if now_s - self.shunned_until_s > MOST_SHUN_S:
            self.times = 0
        most_s = min(MOST_SHUN_S, FIRST_SHUN_S * 2**self.times)
        self.times += 1
        self.shunned_s = most_s * (1 + SPREAD * self.trial_order)
        self.shunned_until_s = now_s + self.shunned_s
        return True

    def shunned(self, now_s: float) -> bool:
        """Return whether the server is left alone now."""
        return now_s < self.shunned_until_s
