"""Measure the share holders at the design size, in virtual time."""

from dataclasses import dataclass
from functools import partial
from itertools import cycle
from random import Random

from bench.rates_baselines import admit_ideally
from bench.rates_baselines import Arrival
from bench.rates_fleet import compute_max_excess
from bench.rates_fleet import Fleet
from bench.rates_fleet import Site
from jackdawfield.decisions.buckets import Contract
from jackdawfield.messages.rates import RequestId
from jackdawfield.model import DomainId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

RUN_S = 20.0
WARM_UP_S = 10.0
INSTANCES_PER_DOMAIN = 51
ORGANISATIONS = 1_900
REQUESTS_PER_S = 1_900
LOAD = 0.6
PREFERRED_DOMAINS = 3
PREFERRED_SHARE = 0.9
POWER_LAW_EXPONENT = 0.7
CONTROL_BYTES_PER_S = 9_000
TOLERANCE = 1e-6


def create_site() -> Site:
    """Return eight failure domains in three regions."""
    regions = cycle(('north', 'centre', 'south'))
    return Site(
        'design size',
        {
            DomainId(f'domain-{number}'): RegionId(next(regions))
            for number in range(8)
        },
        RegionId('north'),
        INSTANCES_PER_DOMAIN,
    )


def create_contracts() -> dict[OrganisationId, Contract]:
    """Return contracts by a power law whose sum is loaded to `LOAD`."""
    shares = [
        1 / (rank + 1) ** POWER_LAW_EXPONENT for rank in range(ORGANISATIONS)
    ]
    total_rate_per_s = REQUESTS_PER_S / LOAD / sum(shares)
    return {
        OrganisationId(f'organisation-{rank}'): Contract(
            max(0.2, total_rate_per_s * share),
            max(3, int(2 * total_rate_per_s * share)),
        )
        for rank, share in enumerate(shares)
    }


def draw_arrivals(
    site: Site, contracts_by_id: dict[OrganisationId, Contract], seed: int
) -> list[Arrival]:
    """Return arrivals, mostly in the preferred domains of the organisation."""
    domains = list(site.region_by_domain)
    arrivals = []
    for organisation_id, contract in contracts_by_id.items():
        random = Random(f'{seed}/{organisation_id}')
        preferred = random.sample(domains, PREFERRED_DOMAINS)
        at_s = 1.0 + random.expovariate(contract.rate_per_s * LOAD)
        while at_s < RUN_S:
            is_preferred = random.random() < PREFERRED_SHARE
            domain_id = random.choice(preferred if is_preferred else domains)
            arrivals.append(Arrival(at_s, domain_id, organisation_id))
            at_s += random.expovariate(contract.rate_per_s * LOAD)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def find_worst_excess(
    fleet: Fleet, contracts_by_id: dict[OrganisationId, Contract]
) -> float:
    """Return the largest excess of an organisation over its contract."""
    times_by_id: dict[OrganisationId, list[float]] = {}
    for decision in fleet.decisions:
        if decision.admitted:
            times = times_by_id.setdefault(decision.organisation_id, [])
            times.append(decision.at_s)
    return max(
        compute_max_excess(times, [(0.0, contracts_by_id[organisation_id])])
        for organisation_id, times in times_by_id.items()
    )


@dataclass(frozen=True, slots=True)
class ScaleFigures:
    """Holds the figures of a run at the size to design for."""

    site_name: str
    instances: int
    requests_per_s: float
    max_excess: float
    wrongful_refusals: int
    requests_inside: int
    messages_per_s: float
    max_bytes_per_s: float
    warm_up_writes_per_s: float
    writes_per_s: float
    reads_per_s: float


def measure() -> ScaleFigures:
    """Run the fleet and return its figures."""
    site = create_site()
    contracts_by_id = create_contracts()
    arrivals = draw_arrivals(site, contracts_by_id, seed=6)
    inside = admit_ideally(arrivals, contracts_by_id)
    fleet = Fleet(site, contracts_by_id, seed=1)
    for number, arrival in enumerate(arrivals):
        submit = partial(
            fleet.submit_to_domain,
            arrival.domain_id,
            arrival.organisation_id,
            RequestId(str(number)),
        )
        fleet.at(arrival.at_s, submit)
    fleet.run_until(WARM_UP_S)
    warm_up_writes = fleet.counts.table_writes
    fleet.counts.reset()
    fleet.run_until(RUN_S)
    counts = fleet.counts
    measured_s = RUN_S - WARM_UP_S
    max_bytes_per_s = max(counts.bytes_by_instance.values()) / measured_s
    fleet.run_until(RUN_S + 1)
    admitted = {int(d.request_id) for d in fleet.decisions if d.admitted}
    instances = len(fleet.nodes_by_id)
    return ScaleFigures(
        site_name=site.name,
        instances=instances,
        requests_per_s=len(arrivals) / RUN_S,
        max_excess=find_worst_excess(fleet, contracts_by_id),
        wrongful_refusals=sum(
            is_inside and number not in admitted
            for number, is_inside in enumerate(inside)
        ),
        requests_inside=sum(inside),
        messages_per_s=counts.messages / measured_s / instances,
        max_bytes_per_s=max_bytes_per_s,
        warm_up_writes_per_s=warm_up_writes / WARM_UP_S,
        writes_per_s=counts.table_writes / measured_s,
        reads_per_s=counts.table_reads / measured_s,
    )


def print_figures(figures: ScaleFigures) -> None:
    """Print the figures, one a line."""
    print(
        f'\nrates at {figures.site_name}: {figures.instances} instances,'
        ' 8 domains'
    )
    print(f'requests a second            {figures.requests_per_s:10.0f}')
    print(f'over the contract            {figures.max_excess:10.1f}')
    print(
        f'refused wrongfully           {figures.wrongful_refusals:10d}'
        f' of {figures.requests_inside}'
    )
    print(f'messages/s an instance       {figures.messages_per_s:10.1f}')
    print(f'bytes/s of the busiest       {figures.max_bytes_per_s:10.0f}')
    print(
        f'table writes/s, first {WARM_UP_S:.0f} s  '
        f'{figures.warm_up_writes_per_s:10.0f}'
    )
    print(f'table writes/s after         {figures.writes_per_s:10.0f}')
    print(f'table reads/s after          {figures.reads_per_s:10.0f}')


def run() -> list[str]:
    """Print the figures and return the missed bounds."""
    figures = measure()
    print_figures(figures)
    missed = []
    if figures.max_excess > TOLERANCE:
        missed.append(
            f'rates at scale: {figures.max_excess:.1f} over the contract'
        )
    if figures.max_bytes_per_s > CONTROL_BYTES_PER_S:
        missed.append('rates at scale: more than 9 KB/s at an instance')
    return missed


if __name__ == '__main__':
    print(run())
