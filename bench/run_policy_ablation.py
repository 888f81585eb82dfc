"""Measure the effect of each mechanism of the policy by disabling it."""

from bench._scenarios import SCENARIOS
from bench._variants import ABLATIONS_BY_NAME
from bench._workload import TAMICES
from bench.run_policy import FLOOD_NAME
from bench.run_policy import OVERLOAD_NAMES
from bench.run_policy import print_table
from bench.run_policy import SEED


def run(seed: int = SEED) -> list[str]:
    """Print the tables; they have no bounds."""
    print('Each line disables one mechanism.')
    for scenario in SCENARIOS:
        if scenario.name not in OVERLOAD_NAMES:
            continue
        summaries_by_name = print_table(
            TAMICES, scenario, ABLATIONS_BY_NAME, seed
        )
        if scenario.name != FLOOD_NAME:
            continue
        for name, summary in summaries_by_name.items():
            print(f'{name:20} flood p95 {summary.flood_p95_s:.1f} s')
    return []
