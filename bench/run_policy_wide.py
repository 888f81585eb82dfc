"""Compare one steward per pool with one per server on eight servers."""

from bench._scenarios import SCENARIOS
from bench._variants import PER_SERVER_BY_NAME
from bench._workload import WIDE
from bench.run_policy import print_table
from bench.run_policy import SEED

WIDE_NAMES = ('steady', 'overload 1.5x', 'faulty engines')


def run(seed: int = SEED) -> list[str]:
    """Print the tables; they have no bounds."""
    for scenario in SCENARIOS:
        if scenario.name in WIDE_NAMES:
            print_table(WIDE, scenario, PER_SERVER_BY_NAME, seed)
    return []
