"""Simulate alternative ways of counting rates, as baselines."""

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
MAX_TABLE_TRIES = 5
MESSAGE_BYTES = 60


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describes the arrival of one request."""

    at_s: float
    domain_id: DomainId
    organisation_id: OrganisationId


@dataclass(frozen=True, slots=True)
class Crash:
    """Describes the crash of an instance for the rest of a run."""

    at_s: float
    instance_id: InstanceId


@dataclass(frozen=True, slots=True)
class Outcome:
    """Holds when each arrival was admitted, None if refused, and the costs."""

    admitted_at_s: Sequence[float | None]
    counts: Counts


def one_way_s(site: Site, one: DomainId, other: DomainId) -> float:
    """Return the one-way delay between two domains."""
    regions = site.region_by_domain
    if regions[one] == regions[other]:
        return DOMAIN_LINK_S
    return REGION_LINK_S


def admit_ideally(
    arrivals: Sequence[Arrival], contracts: dict[OrganisationId, Contract]
) -> list[bool]:
    """Return whether one bucket per organisation would admit each arrival."""
    buckets = create_full_buckets(contracts)
    return [
        buckets[arrival.organisation_id].take(arrival.at_s)
        for arrival in arrivals
    ]


def create_full_buckets(
    contracts: dict[OrganisationId, Contract], parts: int = PARTS_PER_CONTRACT
) -> dict[OrganisationId, Bucket]:
    """Return a full bucket for each organisation."""
    return {
        organisation_id: Bucket(
            contract, parts, contract.burst * parts / PARTS_PER_CONTRACT, 0.0
        )
        for organisation_id, contract in contracts.items()
    }


class _CrashModel:
    """Makes the buckets of a crashed holder unavailable for a lease time.

    After it they are empty.
    """

    def __init__(self, crash: Crash | None) -> None:
        self._crash = crash
        self._emptied_ids: set[int] = set()

    def take(
        self, bucket: Bucket, holder: InstanceId | None, at_s: float
    ) -> bool:
        crash = self._crash
        if crash is None or at_s < crash.at_s or holder != crash.instance_id:
            return bucket.take(at_s)
        recovered_at_s = crash.at_s + LEASE_S
        if at_s < recovered_at_s:
            return False
        if id(bucket) not in self._emptied_ids:
            self._emptied_ids.add(id(bucket))
            bucket.tokens = 0.0
            bucket.refilled_at_s = recovered_at_s
        return bucket.take(at_s)


def static_split(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    crash: Crash | None,
) -> Outcome:
    """Give each domain an equal, fixed share of every contract."""
    domains = list(site.region_by_domain)
    parts = PARTS_PER_CONTRACT // len(domains)
    buckets = {
        domain: create_full_buckets(contracts, parts) for domain in domains
    }
    crash_model = _CrashModel(crash)
    admitted: list[float | None] = []
    for arrival in arrivals:
        holder = choose_owner(
            arrival.organisation_id, site.instances_in(arrival.domain_id)
        )
        bucket = buckets[arrival.domain_id][arrival.organisation_id]
        taken = crash_model.take(bucket, holder, arrival.at_s)
        admitted.append(arrival.at_s + DOMAIN_LINK_S if taken else None)
    return Outcome(admitted, Counts())


def central_bucket(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    crash: Crash | None,
) -> Outcome:
    """Hold the bucket of each organisation at one instance of the fleet."""
    buckets = create_full_buckets(contracts)
    crash_model = _CrashModel(crash)
    domain_by_instance = {
        instance_id: domain_id
        for domain_id in site.region_by_domain
        for instance_id in site.instances_in(domain_id)
    }
    counts = Counts()
    deliveries = []
    for number, arrival in enumerate(arrivals):
        holder = choose_owner(arrival.organisation_id, domain_by_instance)
        assert holder is not None
        delay_s = one_way_s(
            site, arrival.domain_id, domain_by_instance[holder]
        )
        deliveries.append((arrival.at_s + delay_s, number, holder, delay_s))
        counts.messages += 2
        counts.message_bytes += 2 * MESSAGE_BYTES
    admitted: list[float | None] = [None] * len(arrivals)
    for at_s, number, holder, delay_s in sorted(deliveries):
        bucket = buckets[arrivals[number].organisation_id]
        if crash_model.take(bucket, holder, at_s):
            admitted[number] = at_s + delay_s
    return Outcome(admitted, counts)


def table_per_request(
    site: Site,
    contracts: dict[OrganisationId, Contract],
    arrivals: Sequence[Arrival],
    crash: Crash | None,
) -> Outcome:
    """Read and compare-and-set a row of the table for each request.

    A request over the table's limit of writes per second is refused.
    """
    buckets = create_full_buckets(contracts)
    revisions = dict.fromkeys(contracts, 0)
    writes_by_second: dict[int, int] = {}
    counts = Counts()
    admitted: list[float | None] = [None] * len(arrivals)
    sequence = count()
    steps: list[tuple[float, int, int, int, int | None]] = []
    delays_s = [table_one_way_s(site, arrival) for arrival in arrivals]
    for number, arrival in enumerate(arrivals):
        at_s = arrival.at_s + delays_s[number]
        steps.append((at_s, next(sequence), number, 1, None))
    heapq.heapify(steps)
    while steps:
        at_s, _, number, tries, read_revision = heapq.heappop(steps)
        organisation_id = arrivals[number].organisation_id
        bucket = buckets[organisation_id]
        reply_at_s = at_s + 2 * delays_s[number]
        if read_revision is None:
            counts.table_reads += 1
            bucket.refill(at_s)
            if bucket.tokens >= 1:
                step = (reply_at_s, next(sequence), number, tries)
                heapq.heappush(steps, (*step, revisions[organisation_id]))
            continue
        second = int(at_s)
        writes_by_second[second] = writes_by_second.get(second, 0) + 1
        counts.table_writes += 1
        if writes_by_second[second] > TABLE_WRITES_PER_S:
            continue
        if read_revision == revisions[organisation_id] and bucket.take(at_s):
            revisions[organisation_id] += 1
            admitted[number] = at_s + delays_s[number]
        elif tries < MAX_TABLE_TRIES:
            step = (reply_at_s, next(sequence), number, tries + 1)
            heapq.heappush(steps, (*step, None))
    return Outcome(admitted, counts)


def table_one_way_s(site: Site, arrival: Arrival) -> float:
    """Return the one-way delay between an arrival's domain and the table."""
    region = site.region_by_domain[arrival.domain_id]
    return DOMAIN_LINK_S if region == site.table_region else REGION_LINK_S
