"""Run scenarios of load and faults and summarise their programs."""

from collections.abc import Callable
from dataclasses import dataclass

from bench._fleet import Counts
from bench._fleet import Fleet
from bench._fleet import Policy
from bench._fleet import PROGRAM_TIMEOUT_S
from bench._fleet import ProgramRun
from bench._workload import Deployment
from bench._workload import draw_programs
from bench._workload import FLOODING_ORGANISATION
from bench._workload import Load
from bench._workload import ORGANISATION_SHARES
from jackdawfield.model import ServerId

STEADY_LOAD = 0.6
DURATION_S = 150.0
DRAIN_S = 900.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describes a load and the faults injected during it."""

    name: str
    load: Load
    inject: Callable[[Fleet], None]
    is_flooded: bool = False


@dataclass(frozen=True, slots=True)
class Summary:
    """Holds the figures of one run."""

    p50_s: float
    p95_s: float
    p99_s: float
    slowdown_by_organisation: tuple[float, ...]
    flood_p95_s: float
    unfinished: int
    counts: Counts

    def worst_slowdown(self) -> float:
        """Return the mean slowdown of the worst-served organisation."""
        return max(self.slowdown_by_organisation)


def _inject_nothing(fleet: Fleet) -> None:
    """Inject nothing."""


def _degrade_engines(fleet: Fleet) -> None:
    ids = sorted(i for i in fleet.hosts_by_id if '-chat-' in i)
    slow_id, crashing_id = ids[0], ids[-1]
    fleet.clock.call_later(30.0, _set_speed, fleet, slow_id, 0.15)
    fleet.clock.call_later(90.0, _set_speed, fleet, slow_id, 1.0)
    fleet.clock.call_later(40.0, _set_speed, fleet, crashing_id, 0.0)
    fleet.clock.call_later(55.0, fleet.kill_engine, crashing_id)
    fleet.clock.call_later(85.0, fleet.restart_engine, crashing_id)


def _set_speed(fleet: Fleet, server_id: ServerId, speed: float) -> None:
    fleet.hosts_by_id[server_id].set_speed(speed)  # type: ignore[union-attr]


def _partition_domain(fleet: Fleet) -> None:
    domain = fleet.deployment.domains[1].name
    fleet.clock.call_later(40.0, fleet.partitioned_domains.add, domain)
    fleet.clock.call_later(100.0, fleet.partitioned_domains.discard, domain)


def _stop_store(fleet: Fleet) -> None:
    fleet.is_store_down = True


def _restart_instances(fleet: Fleet) -> None:
    at_s = 15.0
    for instance in range(3):
        for domain in fleet.deployment.domains:
            fleet.clock.call_later(
                at_s, _restart_instance, fleet, domain.name, instance
            )
            at_s += 12.0


def _restart_instance(fleet: Fleet, domain: str, instance: int) -> None:
    fleet.policy.on_instance_restarted(domain, instance)


SCENARIOS = (
    Scenario('steady', Load(STEADY_LOAD, DURATION_S), _inject_nothing),
    Scenario('overload 1.5x', Load(1.5, 150.0), _inject_nothing),
    Scenario(
        'one organisation at 5x',
        Load(STEADY_LOAD, 120.0, flood_level=5.0),
        _inject_nothing,
        is_flooded=True,
    ),
    Scenario('faulty engines', Load(STEADY_LOAD, 120.0), _degrade_engines),
    Scenario('domain cut', Load(STEADY_LOAD, 120.0), _partition_domain),
    Scenario('store down', Load(STEADY_LOAD, 120.0), _stop_store),
    Scenario(
        'hung tools, loops',
        Load(STEADY_LOAD, 120.0, hung_share=0.1, loop_share=0.05),
        _inject_nothing,
    ),
    Scenario('rolling restart', Load(STEADY_LOAD, 130.0), _restart_instances),
)


def simulate(
    deployment: Deployment,
    scenario: Scenario,
    policy: Callable[[Fleet], Policy],
    seed: int,
) -> Summary:
    """Run a scenario under a policy and return its summary."""
    fleet = Fleet(deployment, seed)
    for program in draw_programs(deployment, scenario.load, seed):
        fleet.start(program)
    fleet.policy = policy(fleet)
    scenario.inject(fleet)
    until_s = scenario.load.duration_s + DRAIN_S
    fleet.clock.run(until_s, lambda: not fleet.running_count)
    return _summarise(fleet, scenario)


def _summarise(fleet: Fleet, scenario: Scenario) -> Summary:
    normal_runs = [run for run in fleet.runs if not run.program.is_anomalous]
    measured_runs = [
        run
        for run in normal_runs
        if not scenario.is_flooded
        or run.program.organisation != FLOODING_ORGANISATION
    ]
    flood_runs = [
        run
        for run in normal_runs
        if run.program.organisation == FLOODING_ORGANISATION
    ]
    latencies = sorted(_latency_s(run) for run in measured_runs)
    slowdowns = [
        _mean_slowdown(measured_runs, organisation)
        for organisation in range(len(ORGANISATION_SHARES))
    ]
    return Summary(
        p50_s=_quantile(latencies, 0.50),
        p95_s=_quantile(latencies, 0.95),
        p99_s=_quantile(latencies, 0.99),
        slowdown_by_organisation=tuple(slowdowns),
        flood_p95_s=_quantile(sorted(map(_latency_s, flood_runs)), 0.95),
        unfinished=sum(
            run.failed or run.ended_s is None for run in normal_runs
        ),
        counts=fleet.counts,
    )


def _latency_s(run: ProgramRun) -> float:
    if run.failed or run.ended_s is None:
        return PROGRAM_TIMEOUT_S
    return run.ended_s - run.program.arrival_s


def _mean_slowdown(runs: list[ProgramRun], organisation: int) -> float:
    ratios = [
        _latency_s(run) / run.ideal_s
        for run in runs
        if run.program.organisation == organisation
    ]
    return sum(ratios) / len(ratios) if ratios else 0.0


def _quantile(sorted_values: list[float], share: float) -> float:
    if not sorted_values:
        return 0.0
    return sorted_values[
        min(len(sorted_values) - 1, int(share * len(sorted_values)))
    ]
