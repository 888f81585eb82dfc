"""Orders the calls that wait for a place on a model server.

Servers take requests in the order of their arrival, so that order is made
here, before a short window in front of each server.
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

# A first piece later than this means that requests wait at the server.
LONG_WAIT_S = 0.12
SHRINK = 0.85
# One wait is seen by several answers; the window shrinks once for them.
SHRINK_PAUSE_S = 0.2
GROW = 0.5
# A call that would wait longer is refused at once; callers give up on a
# stream without its first event after two seconds.
LONGEST_WAIT_S = 1.0
# Weight of the newest interval between two ended calls.
PACE_WEIGHT = 0.1

Item = TypeVar('Item')


class Hope(IntEnum):
    """Says whether a program can still end in time."""

    IN_TIME = 0
    LATE = 1


@dataclass(slots=True)
class Window:
    """Limits this instance's calls at one server by how long they wait."""

    slots: int
    limit: float
    shrunk_at_s: float = float('-inf')

    @classmethod
    def of(cls, slots: int) -> 'Window':
        """Return a window that starts with all of a server's slots."""
        return cls(slots, float(max(1, slots)))

    def note_first(
        self, waited_s: float, in_flight: int, now_s: float
    ) -> None:
        """Adapt to the wait of a first piece."""
        if waited_s <= LONG_WAIT_S:
            if in_flight >= self.limit - 1:
                grown = self.limit + GROW / self.limit
                self.limit = min(float(self.slots), grown)
            return
        if now_s - self.shrunk_at_s >= SHRINK_PAUSE_S:
            self.shrunk_at_s = now_s
            self.limit = max(1.0, self.limit * SHRINK)

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more call may go to the server."""
        return in_flight + 1 <= max(1.0, self.limit)


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Orders calls; the least goes first."""

    priority: int
    hope: Hope
    finish_at_s: float
    number: int


class Waiting(Generic[Item]):
    """Holds the items that wait, the least rank first."""

    def __init__(self) -> None:
        self._heap: list[tuple[Rank, Item]] = []
        self._numbers = itertools.count()
        self._pace_s = 0.0
        self._ended_at_s: float | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def rank(
        self, call: Call, configuration: FleetConfiguration | None
    ) -> Rank:
        """Return the rank of a call that comes now."""
        finish_at_s = call.deadline_s
        hope = Hope.IN_TIME
        left_s = call.headers.finish_left_s
        if left_s is not None:
            finish_at_s = call.arrived_at_s + left_s
            hope = Hope.IN_TIME if left_s > 0 else Hope.LATE
        return Rank(
            priority_of(call, configuration),
            hope,
            finish_at_s,
            next(self._numbers),
        )

    def put(self, rank: Rank, item: Item) -> None:
        """Add an item."""
        heappush(self._heap, (rank, item))

    def first(self) -> Item | None:
        """Return the item that goes first, None without any."""
        return self._heap[0][1] if self._heap else None

    def pop(self) -> Item:
        """Remove the item that goes first; raise IndexError without any."""
        return heappop(self._heap)[1]

    def count_end(self, now_s: float) -> None:
        """Note that a call has ended and so made room."""
        if self._ended_at_s is not None:
            interval_s = min(LONGEST_WAIT_S, now_s - self._ended_at_s)
            self._pace_s += PACE_WEIGHT * (interval_s - self._pace_s)
        self._ended_at_s = now_s

    def expected_wait_s(self, rank: Rank) -> float:
        """Return how long an item of a rank is expected to wait."""
        ahead = sum(other < rank for other, _ in self._heap)
        return (ahead + 1) * self._pace_s


def priority_of(call: Call, configuration: FleetConfiguration | None) -> int:
    """Return a call's priority, its organisation's before its route's."""
    if configuration is not None and call.organisation_id is not None:
        organisation = configuration.organisations_by_id.get(
            call.organisation_id
        )
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
    return call.route.priority


def needs_place(call: Call) -> bool:
    """Return whether a call takes a place among a server's batch."""
    return call.route.kind is CallKind.STREAM
