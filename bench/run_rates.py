"""Compare ways of counting rates by scenario in virtual time.

Escrow is the way of the decision modules: each instance admits requests from
its own shares of the contracts.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

from bench.rates_baselines import admit_ideally
from bench.rates_baselines import Arrival
from bench.rates_baselines import central_bucket
from bench.rates_baselines import Crash
from bench.rates_baselines import Outcome
from bench.rates_baselines import static_split
from bench.rates_baselines import table_per_request
from bench.rates_fleet import compute_max_excess
from bench.rates_fleet import Fleet
from bench.rates_fleet import Site
from jackdawfield.decisions.buckets import Contract
from jackdawfield.messages.rates import RequestId
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

RUN_S = 180.0
TOLERANCE = 1e-6
CONTROL_BYTES_PER_S = 9_000
SITES = (
    Site(
        'Tamices Unidos',
        {
            DomainId('centro-leon'): RegionId('centro'),
            DomainId('centro-celaya'): RegionId('centro'),
            DomainId('mty-apodaca'): RegionId('monterrey'),
        },
        RegionId('centro'),
    ),
    Site(
        'Tana',
        {
            DomainId('bahir-dar'): RegionId('amhara'),
            DomainId('gondar'): RegionId('amhara'),
            DomainId('bole'): RegionId('addis'),
        },
        RegionId('amhara'),
    ),
)
LARGE = Contract(20.0, 40)
MEDIUM = Contract(6.0, 12)
SMALL = Contract(2.0, 5)
CONTRACTS = {
    OrganisationId(f'{kind}-{number}'): contract
    for kind, contract, many in (
        ('large', LARGE, 2),
        ('medium', MEDIUM, 3),
        ('small', SMALL, 3),
    )
    for number in range(many)
}
FLOODING_ORGANISATION = OrganisationId('large-0')


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describes load by organisation and domain over a run."""

    name: str
    load: float = 0.6
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    later_weights: tuple[float, ...] | None = None
    flood_load: float | None = None
    has_crash: bool = False
    burst_size: int = 1
    only_organisation_id: OrganisationId | None = None


SCENARIOS = (
    Scenario('steady'),
    Scenario('skewed arrival', weights=(0.8, 0.15, 0.05)),
    Scenario(
        'moved demand',
        weights=(0.9, 0.1, 0.0),
        later_weights=(0.0, 0.1, 0.9),
    ),
    Scenario('dead holder', has_crash=True),
    Scenario('one at 5x', flood_load=5.0),
    Scenario(
        'small contract',
        load=0.9,
        burst_size=4,
        only_organisation_id=OrganisationId('small-0'),
    ),
)
Policy = Callable[
    [
        Site,
        dict[OrganisationId, Contract],
        Sequence[Arrival],
        Crash | None,
    ],
    Outcome,
]


def draw_arrivals(scenario: Scenario, site: Site, seed: int) -> list[Arrival]:
    """Return random arrivals of a run in the order of their times."""
    domains = list(site.region_by_domain)
    arrivals = []
    for organisation_id, contract in CONTRACTS.items():
        if scenario.only_organisation_id not in (None, organisation_id):
            continue
        load = scenario.load
        if organisation_id == FLOODING_ORGANISATION and scenario.flood_load:
            load = scenario.flood_load
        random = Random(f'{seed}/{organisation_id}')
        bursts_per_s = contract.rate_per_s * load / scenario.burst_size
        at_s = 1.0 + random.expovariate(bursts_per_s)
        while at_s < RUN_S:
            weights = scenario.weights
            if scenario.later_weights and at_s > RUN_S / 2:
                weights = scenario.later_weights
            domain_id = random.choices(domains, weights)[0]
            for number in range(scenario.burst_size):
                arrivals.append(
                    Arrival(at_s + number / 1000, domain_id, organisation_id)
                )
            at_s += random.expovariate(bursts_per_s)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def run_escrow(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    crash: Crash | None,
) -> Outcome:
    """Admit by the share holders of the decision modules."""
    fleet = Fleet(site, contracts, seed=1)
    for number, arrival in enumerate(arrivals):
        submit = partial(
            fleet.submit_to_domain,
            arrival.domain_id,
            arrival.organisation_id,
            RequestId(str(number)),
        )
        fleet.at(arrival.at_s, submit)
    if crash is not None:
        fleet.at(crash.at_s, partial(fleet.kill, crash.instance_id))
    fleet.run_until(RUN_S + 1)
    admitted: list[float | None] = [None] * len(arrivals)
    for decision in fleet.decisions:
        if decision.admitted:
            admitted[int(decision.request_id)] = decision.at_s
    return Outcome(admitted, fleet.counts)


POLICIES: dict[str, Policy] = {
    'escrow': run_escrow,
    'static split': static_split,
    'central bucket': central_bucket,
    'table per request': table_per_request,
}


@dataclass(frozen=True, slots=True)
class Figures:
    """Holds the figures of one policy in one scenario.

    A refusal is wrongful if an ideal bucket admits the request;
    `inside_contract` counts the requests that it admits.
    """

    excess: float
    wrongful_refusals: int
    wrongful_for_others: int
    shortfall: int
    inside_contract: int
    p99_ms: float
    max_bytes_per_s: float


def compute_figures(
    arrivals: Sequence[Arrival],
    inside_contract: Sequence[bool],
    outcome: Outcome,
) -> Figures:
    """Compare an outcome with what an ideal central bucket admits."""
    wrongful_refusals = [
        arrival.organisation_id
        for arrival, is_inside, at_s in zip(
            arrivals, inside_contract, outcome.admitted_at_s, strict=True
        )
        if is_inside and at_s is None
    ]
    added_ms = sorted(
        1000 * (at_s - arrival.at_s)
        for arrival, at_s in zip(arrivals, outcome.admitted_at_s, strict=True)
        if at_s is not None
    )
    total_excess = sum(
        compute_max_excess(
            [
                at_s
                for arrival, at_s in zip(
                    arrivals, outcome.admitted_at_s, strict=True
                )
                if at_s is not None
                and arrival.organisation_id == organisation_id
            ],
            [(0.0, contract)],
        )
        for organisation_id, contract in CONTRACTS.items()
    )
    return Figures(
        total_excess,
        len(wrongful_refusals),
        sum(name != FLOODING_ORGANISATION for name in wrongful_refusals),
        compute_shortfall(arrivals, inside_contract, outcome),
        sum(inside_contract),
        added_ms[len(added_ms) * 99 // 100],
        max(outcome.counts.bytes_by_instance.values(), default=0) / RUN_S,
    )


def compute_shortfall(
    arrivals: Sequence[Arrival],
    inside_contract: Sequence[bool],
    outcome: Outcome,
) -> int:
    """Return how many fewer requests than ideal were admitted."""
    shortfall_by_id = dict.fromkeys(CONTRACTS, 0)
    for arrival, is_inside, at_s in zip(
        arrivals, inside_contract, outcome.admitted_at_s, strict=True
    ):
        shortfall_by_id[arrival.organisation_id] += is_inside - (
            at_s is not None
        )
    return sum(max(0, shortfall) for shortfall in shortfall_by_id.values())


def print_row(
    scenario: Scenario, name: str, figures: Figures, outcome: Outcome
) -> None:
    """Print one row of the table."""
    share = 100 * figures.wrongful_refusals / max(1, figures.inside_contract)
    counts = outcome.counts
    print(
        f'{scenario.name:15} {name:18} {figures.excess:5.1f} '
        f'{figures.wrongful_refusals:6d} '
        f'{share:6.2f}% {figures.wrongful_for_others:6d} '
        f'{figures.shortfall:6d} '
        f'{figures.p99_ms:7.1f} '
        f'{counts.messages / RUN_S:7.1f} {counts.message_bytes / RUN_S:8.0f} '
        f'{figures.max_bytes_per_s:8.0f} '
        f'{counts.table_reads / RUN_S:7.2f} {counts.table_writes / RUN_S:7.2f}'
    )


def run_site(site: Site) -> list[str]:
    """Print a deployment's table and return the missed bounds."""
    print(f'\nrates at {site.name}: 9 instances, 8 organisations, 180 s')
    print(
        f'{"scenario":15} {"policy":18} {"over":>5} {"wrong":>6} '
        f'{"share":>7} {"others":>6} {"short":>6} {"p99 ms":>7} {"msg/s":>7} '
        f'{"bytes/s":>8} {"busiest":>8} {"reads/s":>7} {"writes/s":>8}'
    )
    missed = []
    steady_wrongful = 0
    for scenario in SCENARIOS:
        arrivals = draw_arrivals(scenario, site, seed=6)
        inside_contract = admit_ideally(arrivals, CONTRACTS)
        first = next(iter(site.region_by_domain))
        crash = Crash(RUN_S / 3, InstanceId(f'{first}-0'))
        figures_by_policy = {}
        for name, policy in POLICIES.items():
            active_crash = crash if scenario.has_crash else None
            outcome = policy(site, CONTRACTS, arrivals, active_crash)
            figures = compute_figures(arrivals, inside_contract, outcome)
            figures_by_policy[name] = figures
            print_row(scenario, name, figures, outcome)
        if scenario.name == 'steady':
            steady_wrongful = figures_by_policy['escrow'].wrongful_for_others
        missed += check_bounds(scenario, figures_by_policy, steady_wrongful)
    return [f'rates, {site.name}: {line}' for line in missed]


def check_bounds(
    scenario: Scenario, figures_by_policy: dict[str, Figures], steady: int
) -> list[str]:
    """Return the bounds that escrow misses in a scenario."""
    escrow_figures = figures_by_policy['escrow']
    split_figures = figures_by_policy['static split']
    missed = []
    if escrow_figures.excess > TOLERANCE:
        missed.append(
            f'{scenario.name}: {escrow_figures.excess:.1f} over the contract'
        )
    if escrow_figures.wrongful_for_others > split_figures.wrongful_for_others:
        missed.append(f'{scenario.name}: refuses more than a static split')
    if escrow_figures.shortfall > split_figures.shortfall:
        missed.append(f'{scenario.name}: admits less than a static split')
    if scenario.flood_load and escrow_figures.wrongful_for_others > steady:
        missed.append(
            f'{scenario.name}: others are refused more than in steady'
        )
    if escrow_figures.max_bytes_per_s > CONTROL_BYTES_PER_S:
        missed.append(f'{scenario.name}: more than 9 KB/s at an instance')
    return missed


def run() -> list[str]:
    """Print the tables and return the missed bounds."""
    missed: list[str] = []
    for site in SITES:
        missed += run_site(site)
    return missed


if __name__ == '__main__':
    print(run())
