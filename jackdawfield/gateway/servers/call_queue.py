"""Queue calls by priority and limit the concurrency at model servers.

A model server starts requests in the order of their arrival. To apply
priorities, calls are queued here and only a limited number of them is in
flight at each server.
"""

from dataclasses import dataclass
from enum import IntEnum
from heapq import heappop
from heapq import heappush
import itertools
from typing import Generic
from typing import TypeVar

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.model import FleetConfiguration

# A longer wait for the first body piece means that the server queues requests.
MAX_SERVER_WAIT_S = 0.12
DECREASE_FACTOR = 0.85
# Several responses report the same queueing, so the limit decreases once
# within this time.
DECREASE_INTERVAL_S = 0.2
INCREASE_STEP = 0.5
# A call that would be queued for longer is refused at once: callers abandon a
# stream whose first event takes more than two seconds.
MAX_QUEUE_WAIT_S = 1.0
# Weight of the newest interval between two ended calls in their average.
END_INTERVAL_WEIGHT = 0.1

Item = TypeVar('Item')


class DeadlineState(IntEnum):
    """States whether a program can still finish in time."""

    IN_TIME = 0
    LATE = 1


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limits this instance's calls in flight at one backend server.

    The limit increases additively and decreases multiplicatively, by how
    long calls wait at the server for the first piece of their response.
    """

    slots: int
    limit: float
    decreased_at_s: float = float('-inf')

    @classmethod
    def with_all_slots(cls, slots: int) -> 'ConcurrencyLimit':
        """Return a limit that starts with all of a server's slots."""
        return cls(slots, float(max(1, slots)))

    def record_wait(
        self, waited_s: float, in_flight: int, now_s: float
    ) -> None:
        """Adapt the limit to how long a call waited for its first piece."""
        if waited_s <= MAX_SERVER_WAIT_S:
            if in_flight >= self.limit - 1:
                grown = self.limit + INCREASE_STEP / self.limit
                self.limit = min(float(self.slots), grown)
            return
        if now_s - self.decreased_at_s >= DECREASE_INTERVAL_S:
            self.decreased_at_s = now_s
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more call may be sent to the server."""
        return in_flight + 1 <= max(1.0, self.limit)


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Orders queued calls, the lowest first.

    The arrival number breaks ties.
    """

    priority: int
    deadline_state: DeadlineState
    finish_at_s: float
    number: int


class CallQueue(Generic[Item]):
    """Holds queued items, the lowest rank first."""

    def __init__(self) -> None:
        self._heap: list[tuple[Rank, Item]] = []
        self._numbers = itertools.count()
        self._end_interval_s = 0.0
        self._last_end_at_s: float | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def rank(
        self, call: Call, configuration: FleetConfiguration | None
    ) -> Rank:
        """Return the rank of a newly arrived call."""
        finish_at_s = call.deadline_s
        deadline_state = DeadlineState.IN_TIME
        left_s = call.headers.finish_left_s
        if left_s is not None:
            finish_at_s = call.arrived_at_s + left_s
            deadline_state = (
                DeadlineState.IN_TIME if left_s > 0 else DeadlineState.LATE
            )
        return Rank(
            priority_of(call, configuration),
            deadline_state,
            finish_at_s,
            next(self._numbers),
        )

    def put(self, rank: Rank, item: Item) -> None:
        """Add an item under its rank."""
        heappush(self._heap, (rank, item))

    def peek(self) -> Item | None:
        """Return the first item, None if the queue is empty."""
        return self._heap[0][1] if self._heap else None

    def pop(self) -> Item:
        """Remove and return the first item; raise IndexError if empty."""
        return heappop(self._heap)[1]

    def record_end(self, now_s: float) -> None:
        """Record that a call has ended, which frees a slot."""
        if self._last_end_at_s is not None:
            interval_s = min(MAX_QUEUE_WAIT_S, now_s - self._last_end_at_s)
            self._end_interval_s += END_INTERVAL_WEIGHT * (
                interval_s - self._end_interval_s
            )
        self._last_end_at_s = now_s

    def expected_wait_s(self, rank: Rank) -> float:
        """Return how long an item of a rank is expected to be queued."""
        ahead = sum(other < rank for other, _ in self._heap)
        return (ahead + 1) * self._end_interval_s


def priority_of(call: Call, configuration: FleetConfiguration | None) -> int:
    """Return the priority of a call's organisation, else of its route."""
    if configuration is not None and call.organisation_id is not None:
        organisation = configuration.organisations_by_id.get(
            call.organisation_id
        )
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
    return call.route.priority


def needs_slot(call: Call) -> bool:
    """Return whether a call occupies a slot in a model server's batch."""
    return call.route.kind is CallKind.STREAM
