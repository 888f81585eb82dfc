"""Order queued requests by organisation and then by program."""

from collections.abc import Iterator
from collections.abc import Set
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from math import inf

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.model import OrganisationId


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Sets how queued requests are ordered.

    Organisations are ordered by their weighted tokens in steps of
    `burst_tokens`, and within a step by the rank of their first request; the
    lowest goes first. A request's rank is its program's attained tokens
    times `attained_factor`, less its cached tokens times `cached_factor`,
    plus `ageing_tokens_per_s` for each second that it came later. With both
    factors zero, requests are served in order of arrival.
    """

    is_fair: bool = True
    burst_tokens: float = 16_000.0
    attained_factor: float = 1.0
    cached_factor: float = 0.2
    ageing_tokens_per_s: float = 30.0


@dataclass(frozen=True, slots=True)
class SlotSupply:
    """Holds a pool's usable slots and its mean call at a time."""

    now_s: float
    slots: int
    call_s: float


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Holds a queued request with its fixed rank.

    A start after `latest_start_s` is of no use to it.
    """

    demand: SlotDemand
    enqueued_at_s: float
    rank: float
    sequence: int
    latest_start_s: float = inf


class FairQueue:
    """Queues requests and shares the tokens fairly between organisations.

    Without `is_fair`, all organisations are queued as one group. An idle
    organisation accrues no credit: when it queues a request again, its
    weighted tokens are raised to `_virtual_tokens`, the level that was last
    served.

    `_heads` is a heap of the level and the rank of each organisation's next
    request. An entry not in `_queued_head_by_organisation` is stale.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._queued_by_id: dict[RequestId, QueuedRequest] = {}
        self._ranks_by_organisation: dict[
            OrganisationId, list[tuple[float, int, RequestId]]
        ] = {}
        self._count_by_organisation: dict[OrganisationId, int] = {}
        self._weighted_tokens_by_organisation: dict[OrganisationId, float] = {}
        self._weight_by_organisation: dict[OrganisationId, float] = {}
        self._heads: list[tuple[float, float, OrganisationId]] = []
        self._queued_head_by_organisation: dict[
            OrganisationId, tuple[float, float, OrganisationId]
        ] = {}
        self._virtual_tokens = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._queued_by_id

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(tuple(self._queued_by_id.values()))

    def count(self, organisation_id: OrganisationId) -> int:
        """Return how many requests of an organisation are queued."""
        return self._count_by_organisation.get(organisation_id, 0)

    def count_ahead(
        self, organisation_id: OrganisationId, weight: float
    ) -> float:
        """Return about how many requests precede an organisation's next one.

        While this organisation's queued requests are served, each other
        organisation is served as many as its weight allows.
        """
        if not self._settings.is_fair:
            return len(self._queued_by_id)
        own = self.count(organisation_id) + 1
        rounds = own / weight
        total = own - 1.0
        for other_id, count in self._count_by_organisation.items():
            if other_id != organisation_id:
                share = self._weight_by_organisation[other_id] * rounds
                total += min(count, share)
        return total

    def weighted_tokens(self, organisation_id: OrganisationId) -> float:
        """Return the tokens served to an organisation, over its weight."""
        return self._weighted_tokens_by_organisation.get(organisation_id, 0.0)

    def push(
        self,
        demand: SlotDemand,
        now_s: float,
        cached_tokens: int = 0,
        latest_start_s: float = inf,
    ) -> QueuedRequest:
        """Queue a request with the rank that its program's service gives."""
        settings = self._settings
        attained = settings.attained_factor * demand.attained_tokens
        credit = settings.cached_factor * cached_tokens
        submitted_at_s = now_s - demand.waited_s
        rank = (
            attained - credit + settings.ageing_tokens_per_s * submitted_at_s
        )
        self._sequence += 1
        queued = QueuedRequest(
            demand, now_s, rank, self._sequence, latest_start_s
        )
        self.restore(queued)
        return queued

    def restore(self, queued: QueuedRequest) -> None:
        """Put a popped request back with its rank."""
        demand = queued.demand
        organisation_id = self._group(demand.organisation_id)
        self._queued_by_id[demand.request_id] = queued
        ranks = self._ranks_by_organisation.setdefault(organisation_id, [])
        heappush(ranks, (queued.rank, queued.sequence, demand.request_id))
        self._add_count(demand.organisation_id, 1)
        self._weight_by_organisation[demand.organisation_id] = demand.weight
        weighted_tokens = max(
            self.weighted_tokens(organisation_id), self._virtual_tokens
        )
        self._weighted_tokens_by_organisation[organisation_id] = (
            weighted_tokens
        )
        self._push_head(organisation_id)

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove and return a request, None if it is not queued."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return None
        self._add_count(queued.demand.organisation_id, -1)
        return queued

    def record_submitted(self, demand: SlotDemand, now_s: float) -> None:
        """Ignore a request that is not queued yet."""

    def record_grant(self, queued: QueuedRequest) -> None:
        """Ignore a grant, which is charged by its tokens."""

    def count_turns_before(
        self, demand: SlotDemand, supply: SlotSupply
    ) -> float:
        """Return about how many requests precede a new one."""
        return self.count_ahead(demand.organisation_id, demand.weight)

    def first_to_evict(self, supply: SlotSupply) -> QueuedRequest:
        """Return a request of the organisation with most queued."""
        return max(self, key=self._eviction_rank)

    def pop(
        self,
        excluded_ids: Set[OrganisationId] = frozenset(),
        supply: SlotSupply | None = None,
    ) -> QueuedRequest | None:
        """Remove and return the next request, None if all are excluded.

        The supply plays no part in this order.
        """
        excluded_heads: list[tuple[float, float, OrganisationId]] = []
        found: QueuedRequest | None = None
        while self._heads and found is None:
            head = heappop(self._heads)
            level, _, organisation_id = head
            if head != self._head(organisation_id):
                self._replace_head(head)
                continue
            if organisation_id in excluded_ids:
                excluded_heads.append(head)
                continue
            self._queued_head_by_organisation.pop(organisation_id, None)
            found = self._pop_from(organisation_id)
            floor = level * self._settings.burst_tokens
            self._virtual_tokens = max(self._virtual_tokens, floor)
        for head in excluded_heads:
            heappush(self._heads, head)
        return found

    def charge(
        self, organisation_id: OrganisationId, tokens: float, weight: float
    ) -> None:
        """Charge an organisation for tokens served, negative to correct."""
        group = self._group(organisation_id)
        weighted_tokens = self.weighted_tokens(group) + tokens / weight
        self._weighted_tokens_by_organisation[group] = weighted_tokens
        self._push_head(group)

    def _eviction_rank(
        self, queued: QueuedRequest
    ) -> tuple[float, float, int]:
        demand = queued.demand
        share = self.count(demand.organisation_id) / demand.weight
        return share, -demand.attained_tokens, queued.sequence

    def _group(self, organisation_id: OrganisationId) -> OrganisationId:
        return (
            organisation_id if self._settings.is_fair else OrganisationId('')
        )

    def _add_count(self, organisation_id: OrganisationId, count: int) -> None:
        total = self.count(organisation_id) + count
        if total:
            self._count_by_organisation[organisation_id] = total
            return
        self._count_by_organisation.pop(organisation_id, None)
        self._weight_by_organisation.pop(organisation_id, None)

    def _head(
        self, organisation_id: OrganisationId
    ) -> tuple[float, float, OrganisationId] | None:
        ranks = self._ranks_by_organisation.get(organisation_id, [])
        self._drop_stale(ranks)
        if not ranks:
            self._ranks_by_organisation.pop(organisation_id, None)
            self._queued_head_by_organisation.pop(organisation_id, None)
            return None
        weighted_tokens = self.weighted_tokens(organisation_id)
        level = weighted_tokens // self._settings.burst_tokens
        return level, ranks[0][0], organisation_id

    def _push_head(self, organisation_id: OrganisationId) -> None:
        head = self._head(organisation_id)
        if head is None:
            return
        if head != self._queued_head_by_organisation.get(organisation_id):
            self._queued_head_by_organisation[organisation_id] = head
            heappush(self._heads, head)

    def _replace_head(
        self, stale: tuple[float, float, OrganisationId]
    ) -> None:
        organisation_id = stale[2]
        if self._queued_head_by_organisation.get(organisation_id) == stale:
            del self._queued_head_by_organisation[organisation_id]
        self._push_head(organisation_id)

    def _pop_from(
        self, organisation_id: OrganisationId
    ) -> QueuedRequest | None:
        ranks = self._ranks_by_organisation[organisation_id]
        queued = self.remove(heappop(ranks)[2])
        self._push_head(organisation_id)
        return queued

    def _drop_stale(self, ranks: list[tuple[float, int, RequestId]]) -> None:
        while ranks:
            _, sequence, request_id = ranks[0]
            queued = self._queued_by_id.get(request_id)
            if queued is not None and queued.sequence == sequence:
                return
            heappop(ranks)
