"""Spaces the tries of something that failed."""

from collections.abc import Iterator


def growing_pauses_s(first_s: float, most_s: float) -> Iterator[float]:
    """Yield pauses without end, each twice the last up to the most."""
    pause_s = first_s
    while True:
        yield pause_s
        pause_s = min(most_s, pause_s * 2)
