"""Decide whether to forward a call again after a failed exchange."""

from dataclasses import dataclass
from random import Random

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_ATTEMPTS = 12


@dataclass(frozen=True, slots=True)
class RetryForward:
    """Requests another attempt after a delay."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Requests that the caller is answered with the failure."""


def decide_retry(
    attempt: int, remaining_s: float, has_answer_begun: bool, seed: int
) -> RetryForward | GiveUp:
    """Return the action after a failed attempt.

    Attempts count from 1. `has_answer_begun` says that the caller has received
    part of the answer, and `seed` varies the delay.
    """
    # A home answers a repeated call number from its record, so forwarding
    # again is idempotent until the caller has received part of the answer.
    if has_answer_begun or attempt >= MAX_ATTEMPTS:
        return GiveUp()
    ceiling_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempt - 1))
    wait_s = ceiling_s * (0.5 + Random(seed).random() / 2)
    if wait_s >= remaining_s:
        return GiveUp()
    return RetryForward(wait_s)
