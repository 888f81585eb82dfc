"""Limit the calls in flight on each server and track its health."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
FAILURES_TO_EJECT = 2
STALL_TIMEOUT_S = 2.0
SLOW_RATIO = 3.0
SMOOTHING_FACTOR = 0.2
MIN_SAMPLES = 5
PROBE_SMOOTHING_FACTOR = 0.5
SLOW_SERVER_SLOTS = 2
INITIAL_TOKEN_S = 0.025
INITIAL_PREFILL_TOKEN_S = 0.000125
LIMIT_GROWTH_SLOTS = 2


@dataclass(slots=True)
class ServerWindow:
    """Counts a server's calls in flight against an adaptive limit.

    An unstarted call has had no first token yet. The peaks are the most calls
    in flight since the last report and between the last two reports.
    Foreign calls are those in flight that this pool has not granted, such
    as those of an earlier steward; they are estimated from the server's
    reports. A `token_capacity` of zero is unknown.
    """

    slots: int
    limit: int
    accepts_work: bool = True
    in_flight: int = 0
    unstarted_calls: int = 0
    unstarted_prefill_tokens: int = 0
    foreign_in_flight: int = 0
    peak_in_flight: int = 0
    earlier_peak_in_flight: int = 0
    consecutive_failures: int = 0
    ejected_until_s: float = 0.0
    avoided_until_s: float = 0.0
    progressed_at_s: float = 0.0
    token_s: float = INITIAL_TOKEN_S
    prefill_token_s: float = INITIAL_PREFILL_TOKEN_S
    best_prefill_token_s: float = inf
    token_capacity: int = 0
    held_tokens: int = 0
    decode_samples: int = 0
    prefill_samples: int = 0
    is_slow: bool = False

    @classmethod
    def of(
        cls, slots: int, prefill_token_s: float = INITIAL_PREFILL_TOKEN_S
    ) -> 'ServerWindow':
        """Return a window whose limit starts at the server's slots."""
        return cls(slots, slots, prefill_token_s=prefill_token_s)

    def change_slots(self, slots: int) -> None:
        """Move the limit with the server's slots, as listed now."""
        self.limit = max(1, self.limit + slots - self.slots)
        self.slots = slots

    def load(self) -> int:
        """Return the calls in flight, foreign ones as of the last report."""
        return self.in_flight + self.foreign_in_flight

    def may_hold(self, tokens: int) -> bool:
        """Return whether a call of some tokens fits into an idle server."""
        return not self.token_capacity or tokens <= self.token_capacity

    def has_room(self, tokens: int) -> bool:
        """Return whether a call of some tokens fits beside the others."""
        return self.may_hold(self.held_tokens + tokens)

    @property
    def free_tokens(self) -> int:
        """Return how many further tokens the server may hold."""
        return self.token_capacity - self.held_tokens

    def is_usable(self, now_s: float) -> bool:
        """Return whether the server may be granted calls at all."""
        if not self.accepts_work or now_s < self.usable_at_s:
            return False
        return not self.is_stalled(now_s)

    @property
    def usable_at_s(self) -> float:
        """Return when the server is neither ejected nor avoided."""
        return max(self.ejected_until_s, self.avoided_until_s)

    def is_failing(self) -> bool:
        """Return whether the server must first complete a single probe."""
        return self.consecutive_failures >= FAILURES_TO_EJECT

    def is_probe_only(self) -> bool:
        """Return whether the server is granted only a few calls, as probes."""
        return self.is_slow or self.is_failing()

    def open_slots(self, now_s: float) -> int:
        """Return how many further calls may be granted now."""
        if not self.is_usable(now_s):
            return 0
        limit = self.limit
        if self.is_slow:
            limit = min(limit, SLOW_SERVER_SLOTS)
        if self.is_failing():
            limit = 1
        return max(0, limit - self.load())

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the server has made no progress for too long.

        While calls wait for their first token, the server must make progress
        within a limit that grows with the prefill ahead of them.
        """
        if not self.unstarted_calls:
            return False
        limit_s = STALL_TIMEOUT_S + 2 * (
            self.unstarted_prefill_tokens * self.prefill_token_s
        )
        return now_s - self.progressed_at_s > limit_s

    def record_grant(self, now_s: float, prefill_tokens: int) -> None:
        """Count a granted call."""
        if not self.unstarted_calls:
            self.progressed_at_s = now_s
        self.unstarted_calls += 1
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self.unstarted_prefill_tokens += prefill_tokens

    def record_first_token(self, now_s: float, prefill_tokens: int) -> None:
        """Record the first token of a call."""
        self.progressed_at_s = now_s
        self.unstarted_calls -= 1
        self.unstarted_prefill_tokens -= prefill_tokens

    def record_end(self) -> None:
        """Record the end of a call that had its first token."""
        self.in_flight -= 1

    def record_unstarted_end(self, prefill_tokens: int) -> None:
        """Record the end of a call that had no first token."""
        self.in_flight -= 1
        self.unstarted_calls -= 1
        self.unstarted_prefill_tokens -= prefill_tokens

    def record_success(self, now_s: float) -> None:
        """Record a complete answer, which ends failures and an ejection."""
        self.progressed_at_s = now_s
        self.consecutive_failures = 0
        self.ejected_until_s = 0.0

    def record_decode(self, decode_s: float, output_tokens: int) -> None:
        """Update the time per output token from a complete answer."""
        sample_s = decode_s / max(1, output_tokens)
        self.decode_samples += 1
        smoothing = self._smoothing(self.decode_samples)
        self.token_s += smoothing * (sample_s - self.token_s)

    def estimated_token_s(self) -> float:
        """Return the estimated time per token, infinite with few samples."""
        if self.decode_samples < MIN_SAMPLES:
            return inf
        return self.token_s

    def record_prefill(self, waited_s: float, tokens: int) -> None:
        """Update the prefill time from a call with no prefill ahead of it."""
        sample_s = waited_s / max(1, tokens)
        self.prefill_samples += 1
        smoothing = self._smoothing(self.prefill_samples)
        self.prefill_token_s += smoothing * (sample_s - self.prefill_token_s)
        if self.prefill_samples >= MIN_SAMPLES:
            self.best_prefill_token_s = min(
                self.best_prefill_token_s, self.prefill_token_s
            )

    def _smoothing(self, samples: int) -> float:
        smoothing = (
            PROBE_SMOOTHING_FACTOR
            if self.is_probe_only()
            else SMOOTHING_FACTOR
        )
        return max(smoothing, 1 / samples)

    def record_failure(self, now_s: float, unreachable: bool) -> None:
        """Eject a server after repeated failures, for longer each time."""
        self.consecutive_failures += FAILURES_TO_EJECT if unreachable else 1
        if self.consecutive_failures < FAILURES_TO_EJECT:
            return
        doublings = min(8, self.consecutive_failures // FAILURES_TO_EJECT - 1)
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**doublings)
        self.ejected_until_s = max(self.ejected_until_s, now_s + ejection_s)

    def apply_report(self, running: int, waiting: int) -> None:
        """Adapt the limit to a delayed load report.

        A report may still include calls that have ended since, so only calls
        beyond the recent peak of own calls count as foreign.
        """
        peak = max(self.peak_in_flight, self.earlier_peak_in_flight)
        self.earlier_peak_in_flight = self.peak_in_flight
        self.peak_in_flight = self.in_flight
        self.foreign_in_flight = max(0, running + waiting - peak)
        if waiting:
            self.limit = max(1, min(self.limit, running))
            return
        if self.load() >= self.limit:
            self.limit = min(self.slots, self.limit + LIMIT_GROWTH_SLOTS)


def best_token_s(windows: Iterable[ServerWindow]) -> float:
    """Return the shortest estimated time per token, infinite without any."""
    return min((window.estimated_token_s() for window in windows), default=inf)


def mark_slow(
    windows: Iterable[ServerWindow],
    best_s: float,
    slow_ratio: float = SLOW_RATIO,
) -> None:
    """Mark servers far slower than the best server or than their own best."""
    for window in windows:
        has_samples = window.decode_samples >= MIN_SAMPLES
        is_decode_slow = has_samples and window.token_s > slow_ratio * best_s
        best_prefill_s = window.best_prefill_token_s
        is_prefill_slow = window.prefill_token_s > slow_ratio * best_prefill_s
        window.is_slow = is_decode_slow or is_prefill_slow
