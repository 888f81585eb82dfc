"""Decide whether and when a failed call is retried."""

from dataclasses import dataclass
from hashlib import blake2b

from jackdawfield.model import Execution


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Holds the limits of a retry budget and the backoff delays.

    Each success earns `retries_per_success`, up to `retry_capacity` retries.
    """

    retries_per_success: float = 0.1
    retry_capacity: float = 10.0
    attempt_limit: int = 4
    first_delay_s: float = 0.1
    delay_limit_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Failure:
    """Describes a failed call; `attempt` counts from 1."""

    request_id: str
    attempt: int
    execution: Execution
    repeatable: bool
    deadline_s: float


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Permits one more attempt from a time on."""

    at_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Reports that no further attempt is permitted, and why."""

    reason: str


def jitter(seed: int, request_id: str, attempt: int) -> float:
    """Return a number in [0, 1) derived from seed, request and attempt."""
    text = f'{seed}\0{request_id}\0{attempt}'.encode()
    digest = blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big') / 2**64


class RetryBudget:
    """Holds a token bucket that limits retries to a fraction of successes."""

    def __init__(self, settings: RetrySettings, seed: int) -> None:
        self._settings = settings
        self._seed = seed
        self._tokens = settings.retry_capacity

    def record_success(self) -> None:
        """Credit the fraction of a retry that a success earns."""
        tokens = self._tokens + self._settings.retries_per_success
        self._tokens = min(self._settings.retry_capacity, tokens)

    def decide(self, failure: Failure, now_s: float) -> RetryAt | GiveUp:
        """Take one retry from the budget, or return why there is none."""
        settings = self._settings
        if not failure.repeatable and failure.execution != Execution.NOT_RUN:
            return GiveUp('the call may not be repeated')
        if failure.attempt >= settings.attempt_limit:
            return GiveUp('too many attempts')
        if self._tokens < 1:
            return GiveUp('the retry budget is spent')
        at_s = now_s + self._delay_s(failure)
        if at_s >= failure.deadline_s:
            return GiveUp('the deadline would pass')
        self._tokens -= 1
        return RetryAt(at_s)

    def _delay_s(self, failure: Failure) -> float:
        settings = self._settings
        backoff_s = settings.first_delay_s * 2 ** (failure.attempt - 1)
        delay_s = min(settings.delay_limit_s, backoff_s)
        fraction = jitter(self._seed, failure.request_id, failure.attempt)
        return delay_s * (0.5 + 0.5 * fraction)
