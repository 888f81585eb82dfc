"""Order queued requests by share, priority, stage and time left."""

from collections.abc import Iterator
from collections.abc import Set
from dataclasses import dataclass
from enum import IntEnum
from math import inf
from math import log2
from typing import NamedTuple

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.queueing import QueuedRequest
from jackdawfield.decisions.queueing import SlotSupply
from jackdawfield.decisions.served_fractions import ServedFractions
from jackdawfield.decisions.slot_shares import SlotShares
from jackdawfield.model import OrganisationId

# A program with less time than this is grouped as if it had this.
MIN_PROGRAM_S = 0.01


class Stage(IntEnum):
    """Lists the stages of a request's program, the first served first."""

    BEGUN = 0
    NEW = 1
    LATE = 2


@dataclass(frozen=True, slots=True)
class FinishOrder:
    """Sets the order of a queue by the time that programs have left.

    An organisation's requests go behind the others' once it holds its share
    of the slots. A request is due at its program's finish, and at latest after
    the fraction `limit_fraction` of its own time limit.
    """

    limit_fraction: float = 0.5


class ProgramGroup(NamedTuple):
    """Holds a priority and the binary logarithm of the time of programs."""

    priority: int
    size: int


class Rank(NamedTuple):
    """Orders queued requests, the lowest first; `excess` is in shares."""

    excess: int
    stage: Stage
    priority: float
    due_s: float
    sequence: int


class FinishQueue:
    """Queues requests by the time that their programs have left."""

    def __init__(self, settings: FinishOrder, shares: SlotShares) -> None:
        self._settings = settings
        self._shares = shares
        self._queued_by_id: dict[RequestId, QueuedRequest] = {}
        self._count_by_organisation: dict[OrganisationId, int] = {}
        self._group_by_id: dict[RequestId, ProgramGroup] = {}
        self._served: ServedFractions[ProgramGroup] = ServedFractions()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._queued_by_id

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(tuple(self._queued_by_id.values()))

    def push(
        self,
        demand: SlotDemand,
        now_s: float,
        cached_tokens: int = 0,
        latest_start_s: float = inf,
    ) -> QueuedRequest:
        """Queue a request; cached tokens play no part in this order."""
        self._sequence += 1
        due_s = self._due_s(demand, now_s)
        queued = QueuedRequest(
            demand, now_s, due_s, self._sequence, latest_start_s
        )
        self.restore(queued)
        return queued

    def restore(self, queued: QueuedRequest) -> None:
        """Put a popped request back."""
        demand = queued.demand
        self._queued_by_id[demand.request_id] = queued
        if demand.begins_program:
            group = program_group(demand, queued.enqueued_at_s)
            self._group_by_id[demand.request_id] = group
        organisation_id = demand.organisation_id
        count = self._count_by_organisation.get(organisation_id, 0)
        self._count_by_organisation[organisation_id] = count + 1

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove and return a request, None if it is not queued."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return None
        self._group_by_id.pop(request_id, None)
        organisation_id = queued.demand.organisation_id
        self._count_by_organisation[organisation_id] -= 1
        if not self._count_by_organisation[organisation_id]:
            del self._count_by_organisation[organisation_id]
        return queued

    def pop(
        self, excluded_ids: Set[OrganisationId], supply: SlotSupply
    ) -> QueuedRequest | None:
        """Remove and return the next request, None if all are excluded."""
        ranked = [
            (self._rank(queued, supply), queued)
            for queued in self._queued_by_id.values()
            if queued.demand.organisation_id not in excluded_ids
        ]
        if not ranked:
            return None
        _, found = min(ranked)
        return self.remove(found.demand.request_id)

    def charge(
        self, organisation_id: OrganisationId, tokens: float, weight: float
    ) -> None:
        """Ignore tokens served: shares are of the slots held."""

    def record_submitted(self, demand: SlotDemand, now_s: float) -> None:
        """Count a request, queued or refused, for its group."""
        if demand.begins_program:
            group = program_group(demand, now_s)
            self._served.record_submitted(group, now_s)

    def record_grant(self, queued: QueuedRequest) -> None:
        """Count a request that was granted a slot for its group."""
        demand = queued.demand
        if demand.begins_program:
            group = program_group(demand, queued.enqueued_at_s)
            self._served.record_begun(group)

    def count_turns_before(
        self, demand: SlotDemand, supply: SlotSupply
    ) -> float:
        """Return about how many turns precede that of a new request.

        With each turn an organisation holds one slot more.
        """
        due_s = self._due_s(demand, supply.now_s)
        new = QueuedRequest(demand, supply.now_s, due_s, self._sequence + 1)
        ranked = sorted(
            (self._rank(queued, supply), queued)
            for queued in (new, *self._queued_by_id.values())
        )
        turns_by_organisation: dict[OrganisationId, int] = {}
        ranks: list[Rank] = []
        for first_rank, queued in ranked:
            organisation_id = queued.demand.organisation_id
            turns = turns_by_organisation.get(organisation_id, 0)
            excess = self._excess(organisation_id, supply, turns)
            rank = first_rank._replace(excess=excess)
            if queued is new:
                own = rank
            ranks.append(rank)
            turns_by_organisation[organisation_id] = turns + 1
        return sum(rank < own for rank in ranks)

    def first_to_evict(self, supply: SlotSupply) -> QueuedRequest:
        """Return the last request of the organisation with most queued."""

        def eviction_rank(queued: QueuedRequest) -> tuple[float, Rank]:
            demand = queued.demand
            count = self._count_by_organisation[demand.organisation_id]
            return count / demand.weight, self._rank(queued, supply)

        return max(self._queued_by_id.values(), key=eviction_rank)

    def _due_s(self, demand: SlotDemand, now_s: float) -> float:
        submitted_at_s = now_s - demand.waited_s
        limit_s = demand.deadline_s - submitted_at_s
        due_s = submitted_at_s + self._settings.limit_fraction * limit_s
        if demand.finish_s is None:
            return due_s
        return min(due_s, demand.finish_s)

    def _rank(self, queued: QueuedRequest, supply: SlotSupply) -> Rank:
        stage = stage_of(queued, supply)
        return Rank(
            self._excess(queued.demand.organisation_id, supply),
            stage,
            self._priority(queued, stage),
            queued.rank,
            queued.sequence,
        )

    def _priority(self, queued: QueuedRequest, stage: Stage) -> float:
        demand = queued.demand
        if stage is not Stage.NEW:
            return demand.priority
        group = self._group_by_id.get(demand.request_id)
        if group is None:
            group = program_group(demand, queued.enqueued_at_s)
        return -inf if self._served.is_neglected(group) else demand.priority

    def _excess(
        self,
        organisation_id: OrganisationId,
        supply: SlotSupply,
        turns: int = 0,
    ) -> int:
        held_shares = self._shares.held_shares(
            organisation_id, supply.slots, supply.now_s, turns
        )
        return int(held_shares)


def program_group(demand: SlotDemand, submitted_at_s: float) -> ProgramGroup:
    """Return the group of programs that a new one is compared with."""
    finish_s = demand.finish_s
    if finish_s is None:
        finish_s = demand.deadline_s
    time_s = max(finish_s - submitted_at_s, MIN_PROGRAM_S)
    return ProgramGroup(demand.priority, round(log2(time_s)))


def stage_of(queued: QueuedRequest, supply: SlotSupply) -> Stage:
    """Return a request's stage, late if its call would end too late.

    A begun program that is late goes on once half of the time until its
    latest start has passed.
    """
    demand = queued.demand
    finish_s = demand.finish_s
    if finish_s is None or supply.now_s + supply.call_s <= finish_s:
        return Stage.NEW if demand.begins_program else Stage.BEGUN
    if demand.begins_program:
        return Stage.LATE
    middle_s = (queued.enqueued_at_s + queued.latest_start_s) / 2
    return Stage.BEGUN if supply.now_s >= middle_s else Stage.LATE
