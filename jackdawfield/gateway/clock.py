"""Reads the clock that rights are timed by."""

import time


def boot_time_s() -> float:
    """Return seconds of a clock that also counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
