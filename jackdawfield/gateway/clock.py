"""Read the clock by which ownerships are timed."""

import time


def boot_time_s() -> float:
    """Return seconds since boot, time in system suspend included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
