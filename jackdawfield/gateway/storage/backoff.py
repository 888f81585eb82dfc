"""Space the retries of an operation that failed."""

from collections.abc import Iterator


def backoff_delays_s(initial_s: float, max_s: float) -> Iterator[float]:
    """Yield delays without end, each twice the last up to a maximum."""
    delay_s = initial_s
    while True:
        yield delay_s
        delay_s = min(max_s, delay_s * 2)
