"""Start an instance with a skewed wall clock or with an injected defect."""

import os
import sys
import time

from jackdawfield.platform.__main__ import main
from soak.cuts import make_cuttable
from soak.variants import VARIANTS_BY_NAME

VARIANT_VARIABLE = 'SOAK_VARIANT'
SKEW_VARIABLE = 'SOAK_CLOCK_SKEW_S'


def skew_clock(skew_s: float) -> None:
    """Shift the wall clock of this process by some seconds."""
    unskewed_time = time.time
    time.time = lambda: unskewed_time() + skew_s


def launch() -> int:
    """Run the instance as the environment variables specify."""
    skew_clock(float(os.environ.get(SKEW_VARIABLE, '0')))
    make_cuttable()
    variant = os.environ.get(VARIANT_VARIABLE, '')
    if variant:
        VARIANTS_BY_NAME[variant]()
    return main()


if __name__ == '__main__':
    sys.exit(launch())
