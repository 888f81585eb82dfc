"""Models the other ways of counting rates that were weighed."""

from collections.abc import Sequence
from dataclasses import dataclass
import heapq
from itertools import count

from bench.rates_fleet import Counts
from bench.rates_fleet import DOMAIN_LINK_S
from bench.rates_fleet import LEASE_S
from bench.rates_fleet import REGION_LINK_S
from bench.rates_fleet import Site
from jackdawfield.decisions.buckets import Bucket
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.buckets import PARTS_PER_CONTRACT
from jackdawfield.decisions.placement import choose_owner
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId

TABLE_WRITES_PER_S = 300
TABLE_TRIES = 5
RECORD_BYTES = 60


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describes one request as it reaches an entry."""

    at_s: float
    domain_id: DomainId
    organisation_id: OrganisationId


@dataclass(frozen=True, slots=True)
class Death:
    """Describes the loss of an instance for the rest of a run."""

    at_s: float
    instance_id: InstanceId


@dataclass(frozen=True, slots=True)
class Outcome:
    """Records by arrival when it was admitted, None if refused."""

    admitted_at_s: Sequence[float | None]
    counts: Counts


def link_s(site: Site, one: DomainId, other: DomainId) -> float:
    """Return the one-way time between two domains."""
    regions = site.region_by_domain
    if regions[one] == regions[other]:
        return DOMAIN_LINK_S
    return REGION_LINK_S


def ideal(
    arrivals: Sequence[Arrival], contracts: dict[OrganisationId, Contract]
) -> list[bool]:
    """Return what one bucket per organisation admits in arrival order."""
    buckets = full_buckets(contracts)
    return [
        buckets[arrival.organisation_id].take(arrival.at_s)
        for arrival in arrivals
    ]


def full_buckets(
    contracts: dict[OrganisationId, Contract], parts: int = PARTS_PER_CONTRACT
) -> dict[OrganisationId, Bucket]:
    """Return a full bucket by organisation."""
    return {
        organisation_id: Bucket(
            contract, parts, contract.burst * parts / PARTS_PER_CONTRACT, 0.0
        )
        for organisation_id, contract in contracts.items()
    }


class _Holders:
    """Loses the buckets of a dead holder until its lease is over."""

    def __init__(self, death: Death | None) -> None:
        self._death = death
        self._emptied: set[int] = set()

    def take(
        self, bucket: Bucket, holder: InstanceId | None, at_s: float
    ) -> bool:
        death = self._death
        if death is None or at_s < death.at_s or holder != death.instance_id:
            return bucket.take(at_s)
        back_s = death.at_s + LEASE_S
        if at_s < back_s:
            return False
        if id(bucket) not in self._emptied:
            self._emptied.add(id(bucket))
            bucket.tokens = 0.0
            bucket.refilled_at_s = back_s
        return bucket.take(at_s)


def static_split(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    death: Death | None,
) -> Outcome:
    """Give every domain an equal and fixed share."""
    domains = list(site.region_by_domain)
    parts = PARTS_PER_CONTRACT // len(domains)
    buckets = {domain: full_buckets(contracts, parts) for domain in domains}
    holders = _Holders(death)
    admitted: list[float | None] = []
    for arrival in arrivals:
        holder = choose_owner(
            arrival.organisation_id, site.instances_in(arrival.domain_id)
        )
        bucket = buckets[arrival.domain_id][arrival.organisation_id]
        taken = holders.take(bucket, holder, arrival.at_s)
        admitted.append(arrival.at_s + DOMAIN_LINK_S if taken else None)
    return Outcome(admitted, Counts())


def central_bucket(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    death: Death | None,
) -> Outcome:
    """Keep one bucket per organisation at one instance of the fleet."""
    buckets = full_buckets(contracts)
    holders = _Holders(death)
    domain_by_instance = {
        instance_id: domain_id
        for domain_id in site.region_by_domain
        for instance_id in site.instances_in(domain_id)
    }
    counts = Counts()
    reached = []
    for number, arrival in enumerate(arrivals):
        holder = choose_owner(arrival.organisation_id, domain_by_instance)
        assert holder is not None
        way_s = link_s(site, arrival.domain_id, domain_by_instance[holder])
        reached.append((arrival.at_s + way_s, number, holder, way_s))
        counts.messages += 2
        counts.message_bytes += 2 * RECORD_BYTES
    admitted: list[float | None] = [None] * len(arrivals)
    for at_s, number, holder, way_s in sorted(reached):
        bucket = buckets[arrivals[number].organisation_id]
        if holders.take(bucket, holder, at_s):
            admitted[number] = at_s + way_s
    return Outcome(admitted, counts)


def table_per_request(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    death: Death | None,
) -> Outcome:
    """Read and compare-and-set a row of the table for each request."""
    buckets = full_buckets(contracts)
    revisions = dict.fromkeys(contracts, 0)
    writes_by_second: dict[int, int] = {}
    counts = Counts()
    admitted: list[float | None] = [None] * len(arrivals)
    numbers = count()
    steps: list[tuple[float, int, int, int, int | None]] = []
    ways_s = [table_link_s(site, arrival) for arrival in arrivals]
    for number, arrival in enumerate(arrivals):
        at_s = arrival.at_s + ways_s[number]
        steps.append((at_s, next(numbers), number, 1, None))
    heapq.heapify(steps)
    while steps:
        at_s, _, number, tries, seen = heapq.heappop(steps)
        organisation_id = arrivals[number].organisation_id
        bucket = buckets[organisation_id]
        again_s = at_s + 2 * ways_s[number]
        if seen is None:
            counts.table_reads += 1
            bucket.refill(at_s)
            if bucket.tokens >= 1:
                step = (again_s, next(numbers), number, tries)
                heapq.heappush(steps, (*step, revisions[organisation_id]))
            continue
        second = int(at_s)
        writes_by_second[second] = writes_by_second.get(second, 0) + 1
        counts.table_writes += 1
        if writes_by_second[second] > TABLE_WRITES_PER_S:
            continue
        if seen == revisions[organisation_id] and bucket.take(at_s):
            revisions[organisation_id] += 1
            admitted[number] = at_s + ways_s[number]
        elif tries < TABLE_TRIES:
            step = (again_s, next(numbers), number, tries + 1)
            heapq.heappush(steps, (*step, None))
    return Outcome(admitted, counts)


def table_link_s(site: Site, arrival: Arrival) -> float:
    """Return the one-way time between an arrival's domain and the table."""
    region = site.region_by_domain[arrival.domain_id]
    return DOMAIN_LINK_S if region == site.table_region else REGION_LINK_S
