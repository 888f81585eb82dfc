"""Tracks the backend servers that the platform lists and their load."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random

from jackdawfield.decisions.placement import score
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.standing import Standing
from jackdawfield.gateway.waiting import Window
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

# Entries that lapsed in an outage return within 2 s of its end.
RETURN_S = 2.0
# A server that refused a request as full is left alone for this long.
FULL_S = 0.1
# Failures in a row after which a server is avoided, and for how long.
FAILURES_TO_AVOID = 2
AVOID_S = 1.0
MAX_AVOID_S = 8.0
# A request's expected delays, in seconds: by the way to a server, by reading
# a prompt again that another server has cached, and at a server whose slots
# this instance's requests fill alone.
OTHER_DOMAIN_S = 0.002
OTHER_REGION_S = 0.04
READ_AGAIN_S = 0.05
FULL_LOAD_S = 0.1
# A first piece within this time did not wait for a slot.
IDLE_FIRST_S = 0.04
# Weight of the newest wait, and the time in which an older one halves, so
# that a server that got no more work is tried again.
WAIT_WEIGHT = 0.3
WAIT_HALF_LIFE_S = 1.0
# At most this share of a service's servers is shunned at once.
MOST_SHUNNED = 1 / 3
# A first piece that is due for longer tells of a server that hangs, if the
# others do not let calls wait for as long as this.
HANG_S = 1.0
PROMPT_S = 0.2


@dataclass(slots=True)
class ServerState:
    """Holds what this instance knows of one backend server."""

    entry: ServerEntry
    in_flight: int = 0
    failures: int = 0
    avoid_until_s: float = 0.0
    full_until_s: float = 0.0
    missing_since_s: float | None = None
    standing: Standing = field(default_factory=Standing)
    window: Window = field(default_factory=lambda: Window.of(1))
    # When the requests were sent whose first piece is still due, by number.
    due_since_by_number: dict[int, float] = field(default_factory=dict)
    _wait_s: float = 0.0
    _waited_at_s: float = 0.0

    def wait_s(self, now_s: float) -> float:
        """Return how long a request is expected to wait for a slot."""
        halvings = (now_s - self._waited_at_s) / WAIT_HALF_LIFE_S
        expected_s = self._wait_s * 0.5**halvings
        oldest_s = min(self.due_since_by_number.values(), default=now_s)
        return max(expected_s, now_s - oldest_s - IDLE_FIRST_S)

    def note_wait(self, first_s: float, now_s: float) -> None:
        """Count how long a request waited for its first piece."""
        halvings = (now_s - self._waited_at_s) / WAIT_HALF_LIFE_S
        waited_s = max(0.0, first_s - IDLE_FIRST_S)
        before_s = self._wait_s * 0.5**halvings
        self._wait_s = before_s + WAIT_WEIGHT * (waited_s - before_s)
        self._waited_at_s = now_s
        self.window.note_first(waited_s, self.in_flight, now_s)

    @property
    def has_room(self) -> bool:
        """Return whether one more call may go to the server."""
        return self.window.has_room(self.in_flight)

    @property
    def load(self) -> float:
        """Return this instance's requests as a share of the slots."""
        return self.in_flight / max(1, self.entry.slots)


@dataclass(frozen=True, slots=True)
class Wanted:
    """Says what a request asks of its server."""

    service: ServiceName
    key: str
    preferred: ServerId | None = None
    # Whether the request takes a place in a model server's batch.
    placed: bool = False
    excluded: frozenset[ServerId] = field(default_factory=frozenset)


class Servers:
    """Holds the backend servers by id and chooses among them."""

    def __init__(
        self, domain_id: DomainId, regions_by_domain: dict[DomainId, RegionId]
    ) -> None:
        self._domain_id = domain_id
        self._regions_by_domain = regions_by_domain
        self._region_id = regions_by_domain.get(domain_id)
        self.by_id: dict[ServerId, ServerState] = {}

    def list_all(
        self, entries: Iterable[ServerEntry], now_s: float, doubtful: bool
    ) -> None:
        """Take over a whole list; a doubtful one only adds."""
        listed = {entry.server_id: entry for entry in entries}
        for entry in listed.values():
            self.put(entry)
        for server_id in list(self.by_id):
            if server_id not in listed:
                self.remove(server_id, now_s, doubtful)

    def put(self, entry: ServerEntry) -> None:
        """Add a server or take over what changed of it."""
        state = self.by_id.get(entry.server_id)
        if state is None or state.entry.started_ms != entry.started_ms:
            self.by_id[entry.server_id] = ServerState(
                entry,
                standing=Standing(trial_order=random.random()),
                window=Window.of(entry.slots),
            )
            return
        state.entry = entry
        state.missing_since_s = None

    def remove(
        self, server_id: ServerId, now_s: float, doubtful: bool
    ) -> None:
        """Forget a server, or wait for its return after an outage."""
        state = self.by_id.get(server_id)
        if state is None:
            return
        if not doubtful:
            del self.by_id[server_id]
            return
        if state.missing_since_s is None:
            state.missing_since_s = now_s

    def expire(self, now_s: float) -> list[ServerId]:
        """Forget servers that did not return, and return their ids."""
        gone = [
            server_id
            for server_id, state in self.by_id.items()
            if state.missing_since_s is not None
            and now_s - state.missing_since_s >= RETURN_S
        ]
        for server_id in gone:
            del self.by_id[server_id]
        return gone

    def choose(self, wanted: Wanted, now_s: float) -> ServerState | None:
        """Return the server for a request, None if there is none."""
        usable = [
            state
            for state in self.by_id.values()
            if state.entry.service == wanted.service
            and not state.entry.leaving
            and state.entry.server_id not in wanted.excluded
        ]
        if not usable:
            return None
        trusted = _without_shunned(usable, now_s)
        good = [s for s in trusted if s.avoid_until_s <= now_s]
        candidates = good or trusted
        return min(
            candidates, key=lambda state: self._cost(state, wanted, now_s)
        )

    def hangs(self, state: ServerState, now_s: float) -> bool:
        """Return whether a server alone lets calls wait for long."""
        waits_s = [
            other.wait_s(now_s)
            for other in self.by_id.values()
            if other.entry.service == state.entry.service
            and other is not state
        ]
        if not waits_s:
            return False
        return sum(waits_s) / len(waits_s) < PROMPT_S

    def _cost(
        self, state: ServerState, wanted: Wanted, now_s: float
    ) -> tuple[bool, bool, float, int]:
        entry = state.entry
        cost = state.wait_s(now_s) + FULL_LOAD_S * state.load
        if entry.domain_id != self._domain_id:
            cost += OTHER_DOMAIN_S
        if self._regions_by_domain.get(entry.domain_id) != self._region_id:
            cost += OTHER_REGION_S
        if wanted.preferred not in (None, entry.server_id):
            cost += READ_AGAIN_S
        rank = -score(wanted.key, entry.server_id)
        crowded = wanted.placed and not state.has_room
        return crowded, state.full_until_s > now_s, cost, rank


def _without_shunned(
    usable: list[ServerState], now_s: float
) -> list[ServerState]:
    """Leave out shunned servers, the worst first, up to the share."""
    shunned = [s for s in usable if s.standing.shunned(now_s)]
    if not shunned:
        return usable
    shunned.sort(key=lambda s: -s.standing.times)
    left_out = shunned[: int(len(usable) * MOST_SHUNNED)]
    ids = {state.entry.server_id for state in left_out}
    return [s for s in usable if s.entry.server_id not in ids]


def note_success(state: ServerState) -> None:
    """Trust a server again after a whole answer."""
    state.failures = 0
    state.avoid_until_s = 0.0


def note_full(state: ServerState, now_s: float) -> None:
    """Leave a server alone that refused a request as full."""
    state.full_until_s = now_s + FULL_S


def note_failure(state: ServerState, now_s: float) -> bool:
    """Count a failure and return whether the server is avoided from now."""
    state.failures += 1
    if state.failures < FAILURES_TO_AVOID:
        return False
    doublings = min(state.failures - FAILURES_TO_AVOID, 3)
    state.avoid_until_s = now_s + min(MAX_AVOID_S, AVOID_S * 2**doublings)
    return True
