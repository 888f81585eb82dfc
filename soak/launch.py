"""Starts an instance with a skewed wall clock, or deliberately broken."""

import os
import sys
import time

from jackdawfield.platform.__main__ import main
from soak.variants import VARIANTS_BY_NAME

VARIANT_VARIABLE = 'SOAK_VARIANT'
SKEW_VARIABLE = 'SOAK_CLOCK_SKEW_S'


def skew_clock(skew_s: float) -> None:
    """Let the wall clock of this process be wrong by some seconds."""
    right = time.time
    time.time = lambda: right() + skew_s


def launch() -> int:
    """Run the instance that the environment describes."""
    skew_clock(float(os.environ.get(SKEW_VARIABLE, '0')))
    variant = os.environ.get(VARIANT_VARIABLE, '')
    if variant:
        VARIANTS_BY_NAME[variant]()
    return main()


if __name__ == '__main__':
    sys.exit(launch())
