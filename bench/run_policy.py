"""Compare the policy with baselines under load and faults."""

from bench._scenarios import Scenario
from bench._scenarios import SCENARIOS
from bench._scenarios import simulate
from bench._scenarios import Summary
from bench._variants import BASELINES_BY_NAME
from bench._variants import CURRENT_NAME
from bench._variants import POLICIES_BY_NAME
from bench._variants import PolicyFactory
from bench._workload import Deployment
from bench._workload import TAMICES
from bench._workload import TANA

SEED = 1
STEADY_NAME = 'steady'
FLOOD_NAME = 'one organisation at 5x'
OVERLOAD_NAMES = ('overload 1.5x', FLOOD_NAME)
MIN_GAIN_UNDER_LOAD = 0.30
MAX_FLOOD_SLOWDOWN = 1.2
HEADER = (
    f'{"policy":20}{"p50 s":>7}{"p95 s":>7}{"p99 s":>7}{"worst":>7}'
    f'{"wasted":>8}{"refused":>8}{"inside":>7}{"lost":>5}{"region":>8}'
)


def format_row(name: str, summary: Summary) -> str:
    """Return the table row of one run."""
    counts = summary.counts
    return (
        f'{name:20}{summary.p50_s:7.1f}{summary.p95_s:7.1f}'
        f'{summary.p99_s:7.1f}{summary.worst_slowdown():7.2f}'
        f'{counts.wasted_tokens / 1000:7.0f}k{counts.refused:8d}'
        f'{counts.refused_within_rate:7d}{summary.unfinished:5d}'
        f'{counts.region_bytes / 1e6:6.2f}MB'
    )


def print_table(
    deployment: Deployment,
    scenario: Scenario,
    policies_by_name: dict[str, PolicyFactory],
    seed: int,
) -> dict[str, Summary]:
    """Run a scenario under each policy, print and return the summaries."""
    print(f'\n{deployment.name}, {scenario.name}, seed {seed}')
    print(HEADER)
    summaries_by_name: dict[str, Summary] = {}
    for name, policy in policies_by_name.items():
        summary = simulate(deployment, scenario, policy, seed)
        summaries_by_name[name] = summary
        print(format_row(name, summary))
    return summaries_by_name


def run(seed: int = SEED) -> list[str]:
    """Print the tables and return the missed bounds."""
    print('Latency and slowdown are of whole programs, including pauses;')
    print('wasted: tokens prefilled again; inside: refused inside the rate;')
    print('lost: programs that failed, each counted as 600 s.')
    missed: list[str] = []
    for deployment in (TAMICES, TANA):
        steady: Summary | None = None
        for scenario in SCENARIOS:
            summaries_by_name = print_table(
                deployment, scenario, POLICIES_BY_NAME, seed
            )
            prefix = f'policy: {deployment.name}, {scenario.name}'
            missed += _check_against_baselines(prefix, summaries_by_name)
            if scenario.name == STEADY_NAME:
                steady = summaries_by_name[CURRENT_NAME]
            if scenario.name in OVERLOAD_NAMES:
                missed += _check_under_load(prefix, summaries_by_name)
            if scenario.name == FLOOD_NAME and steady is not None:
                missed += _check_under_flood(
                    prefix, steady, summaries_by_name[CURRENT_NAME]
                )
    return missed


def _check_against_baselines(
    prefix: str, summaries_by_name: dict[str, Summary]
) -> list[str]:
    current = summaries_by_name[CURRENT_NAME]
    missed = []
    for name in BASELINES_BY_NAME:
        baseline = summaries_by_name[name]
        if current.p95_s > baseline.p95_s:
            missed.append(
                f'{prefix}: p95 {current.p95_s:.1f} s > {baseline.p95_s:.1f} s'
                f' of {name}'
            )
        worst = baseline.worst_slowdown()
        if current.worst_slowdown() > worst:
            missed.append(
                f'{prefix}: worst organisation {current.worst_slowdown():.2f}'
                f' > {worst:.2f} of {name}'
            )
    return missed


def _check_under_load(
    prefix: str, summaries_by_name: dict[str, Summary]
) -> list[str]:
    current = summaries_by_name[CURRENT_NAME]
    baseline = summaries_by_name['round robin']
    missed = []
    p95_ratio = current.p95_s / baseline.p95_s
    worst_ratio = current.worst_slowdown() / baseline.worst_slowdown()
    if p95_ratio > 1 - MIN_GAIN_UNDER_LOAD:
        missed.append(f'{prefix}: p95 is {p95_ratio:.2f} of round robin')
    if worst_ratio > 1 - MIN_GAIN_UNDER_LOAD:
        missed.append(f'{prefix}: worst is {worst_ratio:.2f} of round robin')
    return missed


def _check_under_flood(
    prefix: str, steady: Summary, flood: Summary
) -> list[str]:
    ratios = [
        during / before
        for before, during in zip(
            steady.slowdown_by_organisation,
            flood.slowdown_by_organisation,
            strict=True,
        )
        if during
    ]
    print('slowdown of the others relative to steady:', end=' ')
    print(' '.join(f'{ratio:.2f}' for ratio in ratios))
    print(f'p95 of the flooding organisation: {flood.flood_p95_s:.1f} s')
    if max(ratios) <= MAX_FLOOD_SLOWDOWN:
        return []
    return [f'{prefix}: slowdown grows to {max(ratios):.2f} of steady']
