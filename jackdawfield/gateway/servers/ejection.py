"""Eject a backend server for a while after reported failures."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Total weight of reports within the window that ejects a server.
EJECTION_THRESHOLD = 2.0
REPORT_WINDOW_S = 3.0
# Length of the first ejection; it doubles, up to the longest, each time that
# the server fails again soon after its return.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# Share by which an ejection is extended at most, so that the instances return
# to the server one after another.
JITTER_SHARE = 0.5


@dataclass(slots=True)
class EjectionState:
    """Holds a server's reported failures and its ejection.

    The jitter, from 0 to 1, scales the extension of this instance's
    ejections. `consecutive_ejections` counts the ejections that followed
    each other, and `ejected_s` is the length of the latest one, `nominal_s`
    that without its extension. The reports are pairs of time and weight.
    """

    jitter: float = 0.0
    consecutive_ejections: int = 0
    nominal_s: float = 0.0
    ejected_s: float = 0.0
    ejected_until_s: float = 0.0
    _reports: deque[tuple[float, float]] = field(default_factory=deque)

    def record_report(self, weight: float, now_s: float) -> bool:
        """Record a report and return whether it ejects the server."""
        if self.is_ejected(now_s):
            return False
        self._reports.append((now_s, weight))
        while self._reports[0][0] < now_s - REPORT_WINDOW_S:
            self._reports.popleft()
        if sum(weight for _, weight in self._reports) < EJECTION_THRESHOLD:
            return False
        self._reports.clear()
        if now_s - self.ejected_until_s > MAX_EJECTION_S:
            self.consecutive_ejections = 0
        ejection_s = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.consecutive_ejections
        )
        self.eject(ejection_s, self.consecutive_ejections + 1, now_s)
        return True

    def eject(
        self, nominal_s: float, consecutive_ejections: int, now_s: float
    ) -> None:
        """Eject the server for a time, extended by the jitter."""
        self.nominal_s = nominal_s
        self.consecutive_ejections = consecutive_ejections
        self.ejected_s = nominal_s * (1 + JITTER_SHARE * self.jitter)
        self.ejected_until_s = now_s + self.ejected_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server is ejected now."""
        return now_s < self.ejected_until_s
