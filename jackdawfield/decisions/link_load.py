"""Estimate the bytes that are under way on a link between two regions."""

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Sets how much of a link between regions crossing calls may use.

    They use at most `share` of its rate, and no call is sent over it while
    what is under way takes longer than `backlog_limit_s`.
    """

    bytes_per_s: float = inf
    share: float = 0.8
    backlog_limit_s: float = 0.1


class LinkLoad:
    """Counts the bytes sent over a link, which drain at the usable rate."""

    def __init__(self, settings: LinkSettings) -> None:
        self._settings = settings
        self._rate_per_s = settings.bytes_per_s * settings.share
        self._bytes = 0.0
        self._counted_at_s = 0.0

    def add(self, size_bytes: int, now_s: float) -> None:
        """Count bytes sent."""
        self._bytes = self.backlog_bytes(now_s) + size_bytes
        self._counted_at_s = now_s

    def backlog_bytes(self, now_s: float) -> float:
        """Return the bytes under way."""
        if self._rate_per_s == inf:
            return 0.0
        drained = (now_s - self._counted_at_s) * self._rate_per_s
        return max(0.0, self._bytes - drained)

    def transfer_s(
        self, size_bytes: int, other_bytes: float, now_s: float
    ) -> float:
        """Return the time to send bytes, infinite if the link is nearly full.

        `other_bytes` are under way from other instances.
        """
        if self._rate_per_s == inf:
            return 0.0
        ahead_bytes = self.backlog_bytes(now_s) + other_bytes
        if ahead_bytes > self._settings.backlog_limit_s * self._rate_per_s:
            return inf
        return (ahead_bytes + size_bytes) / self._rate_per_s
