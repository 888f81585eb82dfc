"""Space the retries of an operation that failed."""

from collections.abc import Iterator


def backoff_delays_s(first_s: float, most_s: float) -> Iterator[float]:
    """Yield delays without end, each twice the last up to a maximum."""
    pause_s = first_s
    while True:
        yield pause_s
        pause_s = min(most_s, pause_s * 2)
