"""Compare the policy's versions, and one steward per server, under load."""

from bench._scenarios import SCENARIOS
from bench._variants import VERSIONS_BY_NAME
from bench._workload import TANA
from bench.run_policy import OVERLOAD_NAMES
from bench.run_policy import print_table
from bench.run_policy import SEED


def run(seed: int = SEED) -> list[str]:
    """Print the tables; they have no bounds."""
    for scenario in SCENARIOS:
        if scenario.name in OVERLOAD_NAMES:
            print_table(TANA, scenario, VERSIONS_BY_NAME, seed)
    return []
