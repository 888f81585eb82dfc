"""Track the listed backend servers and choose one for each request.

A server is avoided after consecutive failures of this instance's requests,
and ejected after failures that the instances report to each other.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import math
import random

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.call_queue import ConcurrencyLimit
from jackdawfield.gateway.servers.ejection import EjectionState
from jackdawfield.gateway.servers.rate_limit import RateLimit
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

# Entries that expired in an outage of the store return within 2 s of its end.
MISSING_GRACE_S = 2.0
# The entry of a server that ended is removed within this time.
ENDED_LISTED_S = 5.0
# A server that refused a request as full is not preferred for this long.
FULL_PAUSE_S = 0.1
# Consecutive failures after which a server is avoided, and for how long; the
# time doubles with each further failure.
FAILURES_TO_AVOID = 2
AVOID_S = 1.0
MAX_AVOID_S = 8.0
# Expected delays of a request: to a server in another failure domain or
# region, by processing a prompt that another server has cached, and at a
# server whose slots are all taken by this instance's requests.
OTHER_DOMAIN_COST_S = 0.002
OTHER_REGION_COST_S = 0.04
CACHE_MISS_COST_S = 0.05
FULL_LOAD_COST_S = 0.1
# Expected delays where instances keep to a few servers each: to open a
# connection, and to a server in another failure domain.
CONNECTION_COST_S = 0.01
KEPT_DOMAIN_COST_S = 0.012
# A first body piece within this time did not wait for a slot.
IDLE_FIRST_PIECE_S = 0.04
# Weight of the newest wait in the mean, and the half-life of that mean, by
# which a server that receives no requests is tried again.
WAIT_WEIGHT = 0.3
WAIT_HALF_LIFE_S = 1.0
# At most this share of a service's usable servers is ejected at once.
MAX_EJECTED_SHARE = 1 / 3
# A server hangs if a response has not begun within HANG_S while the mean wait
# at the service's other servers is below MAX_PEER_WAIT_S; otherwise the long
# wait comes from load.
HANG_S = 1.0
MAX_PEER_WAIT_S = 0.2


@dataclass(slots=True)
class ServerState:
    """Holds one backend server's entry, its load and its failures."""

    entry: ServerEntry
    in_flight: int = 0
    failures: int = 0
    avoid_until_s: float = 0.0
    full_until_s: float = 0.0
    missing_since_s: float | None = None
    # When a server that said in an answer that it leaves gets its last call;
    # its listed entry does not undo that.
    announced_end_s: float = math.inf
    # A server that has ended is chosen only in place of none until then.
    absent_until_s: float = 0.0
    ejection: EjectionState = field(default_factory=EjectionState)
    concurrency_limit: ConcurrencyLimit = field(
        default_factory=lambda: ConcurrencyLimit.with_all_slots(1)
    )
    rate_limit: RateLimit = field(default_factory=RateLimit)
    # Send times of requests whose first body piece is due, by connection id.
    awaiting_since_s_by_connection: dict[int, float] = field(
        default_factory=dict
    )
    _wait_s: float = 0.0
    _waited_at_s: float = 0.0

    def wait_s(self, now_s: float) -> float:
        """Return how long a request is expected to wait for a slot."""
        halvings = (now_s - self._waited_at_s) / WAIT_HALF_LIFE_S
        expected_s = self._wait_s * 0.5**halvings
        oldest_s = min(
            self.awaiting_since_s_by_connection.values(), default=now_s
        )
        return max(expected_s, now_s - oldest_s - IDLE_FIRST_PIECE_S)

    def record_wait(self, first_piece_s: float, now_s: float) -> None:
        """Record how long a request waited for its first body piece."""
        halvings = (now_s - self._waited_at_s) / WAIT_HALF_LIFE_S
        waited_s = max(0.0, first_piece_s - IDLE_FIRST_PIECE_S)
        before_s = self._wait_s * 0.5**halvings
        self._wait_s = before_s + WAIT_WEIGHT * (waited_s - before_s)
        self._waited_at_s = now_s
        self.concurrency_limit.record_wait(waited_s, self.in_flight, now_s)

    @property
    def has_announced_leaving(self) -> bool:
        """Return whether the server said in an answer that it leaves."""
        return self.announced_end_s < math.inf

    @property
    def is_leaving(self) -> bool:
        """Return whether the server leaves, as listed or as it said."""
        return self.entry.is_draining or self.has_announced_leaving

    def takes_calls(self, now_s: float) -> bool:
        """Return whether a call may be sent to the server."""
        return not self.entry.is_draining and now_s < self.announced_end_s

    @property
    def has_room(self) -> bool:
        """Return whether one more call may be sent to the server."""
        return self.concurrency_limit.has_room(self.in_flight)

    @property
    def load(self) -> float:
        """Return this instance's requests as a share of the slots."""
        return self.in_flight / max(1, self.entry.slots)


@dataclass(frozen=True, slots=True)
class ServerCriteria:
    """Holds the criteria by which a request's server is chosen.

    The key spreads requests over servers of equal cost by rendezvous hashing.
    """

    service: ServiceName
    key: str
    preferred_id: ServerId | None = None
    # Whether the request occupies a slot in a model server's batch.
    needs_slot: bool = False
    excluded_ids: frozenset[ServerId] = field(default_factory=frozenset)


@dataclass(frozen=True, slots=True)
class KeptConnections:
    """Tells to which servers this instance has a connection that is idle.

    Where it is given, an instance keeps to the servers that it is connected
    to, and beyond them to its own order of the others.
    """

    instance_id: InstanceId
    has_idle: Callable[[str, int], bool]


class Servers:
    """Holds the backend servers by id and chooses among them."""

    def __init__(
        self,
        domain_id: DomainId,
        regions_by_domain: dict[DomainId, RegionId],
        kept_connections: KeptConnections | None = None,
    ) -> None:
        self._kept_connections = kept_connections
        self._domain_id = domain_id
        self._regions_by_domain = regions_by_domain
        self._region_id = regions_by_domain.get(domain_id)
        self.by_id: dict[ServerId, ServerState] = {}

    def replace_all(
        self, entries: Iterable[ServerEntry], now_s: float, after_outage: bool
    ) -> None:
        """Update the servers from a complete list.

        After an outage of the store, unlisted servers are kept until expire()
        removes them.
        """
        listed = {entry.server_id: entry for entry in entries}
        for entry in listed.values():
            self.put(entry)
        for server_id in list(self.by_id):
            if server_id not in listed:
                self.remove(server_id, now_s, after_outage)

    def put(self, entry: ServerEntry) -> None:
        """Add a server or update its entry; a restart makes it a new one."""
        state = self.by_id.get(entry.server_id)
        if state is None or state.entry.started_ms != entry.started_ms:
            self.by_id[entry.server_id] = ServerState(
                entry,
                ejection=EjectionState(jitter=random.random()),
                concurrency_limit=ConcurrencyLimit.with_all_slots(entry.slots),
            )
            return
        state.entry = entry
        state.missing_since_s = None

    def mark_ended(
        self, server_id: ServerId, started_ms: int, now_s: float
    ) -> None:
        """Choose others before a server that ended, while it is listed."""
        state = self.by_id.get(server_id)
        if state is not None and state.entry.started_ms == started_ms:
            state.absent_until_s = now_s + ENDED_LISTED_S

    def remove(
        self, server_id: ServerId, now_s: float, after_outage: bool
    ) -> None:
        """Remove a server; after an outage, wait for its entry to return."""
        state = self.by_id.get(server_id)
        if state is None:
            return
        if not after_outage:
            del self.by_id[server_id]
            return
        if state.missing_since_s is None:
            state.missing_since_s = now_s

    def expire(self, now_s: float) -> list[ServerId]:
        """Remove servers whose entries did not return; return their ids."""
        gone = [
            server_id
            for server_id, state in self.by_id.items()
            if state.missing_since_s is not None
            and now_s - state.missing_since_s >= MISSING_GRACE_S
        ]
        for server_id in gone:
            del self.by_id[server_id]
        return gone

    def choose(
        self, criteria: ServerCriteria, now_s: float
    ) -> ServerState | None:
        """Return the server with the lowest cost, None if none is usable."""
        usable = [
            state
            for state in self.by_id.values()
            if state.entry.service == criteria.service
            and state.takes_calls(now_s)
            and state.entry.server_id not in criteria.excluded_ids
        ]
        if not usable:
            return None
        return min(
            _without_failing(usable, now_s),
            key=lambda state: self._cost(state, criteria, now_s),
        )

    def of_service(
        self, service: ServiceName, domain_id: DomainId
    ) -> list[ServerState]:
        """Return the listed servers of a service in a failure domain."""
        return [
            state
            for state in self.by_id.values()
            if state.entry.service == service
            and state.entry.domain_id == domain_id
        ]

    def limited_ids(self, now_s: float) -> frozenset[ServerId]:
        """Return the servers that name a limit."""
        return frozenset(
            server_id
            for server_id, state in self.by_id.items()
            if state.rate_limit.current(now_s) is not None
        )

    def is_usable(self, state: ServerState) -> bool:
        """Return whether a server is listed and does not leave."""
        if self.by_id.get(state.entry.server_id) is not state:
            return False
        return not state.is_leaving and state.missing_since_s is None

    @property
    def leaving_count(self) -> int:
        """Return how many listed servers leave."""
        return sum(state.is_leaving for state in self.by_id.values())

    def others_respond(self, state: ServerState, now_s: float) -> bool:
        """Return whether a service's other servers respond in time."""
        waits_s = [
            other.wait_s(now_s)
            for other in self.by_id.values()
            if other.entry.service == state.entry.service
            and other is not state
        ]
        if not waits_s:
            return False
        return sum(waits_s) / len(waits_s) < MAX_PEER_WAIT_S

    def _cost(
        self, state: ServerState, criteria: ServerCriteria, now_s: float
    ) -> tuple[bool, bool, bool, float, int]:
        """Return a server's sort key, lowest for the server to choose."""
        entry = state.entry
        cost = state.wait_s(now_s) + FULL_LOAD_COST_S * state.load
        kept = self._kept_connections
        key = criteria.key
        domain_cost_s = OTHER_DOMAIN_COST_S
        if kept is not None:
            key = kept.instance_id
            domain_cost_s = KEPT_DOMAIN_COST_S
            if not kept.has_idle(entry.host, entry.port):
                cost += CONNECTION_COST_S
        if entry.domain_id != self._domain_id:
            cost += domain_cost_s
        if self._regions_by_domain.get(entry.domain_id) != self._region_id:
            cost += OTHER_REGION_COST_S
        if criteria.preferred_id not in (None, entry.server_id):
            cost += CACHE_MISS_COST_S
        limit_wait_s = state.rate_limit.wait_s(now_s)
        cost += limit_wait_s
        rank = -rendezvous_score(key, entry.server_id)
        has_no_room = criteria.needs_slot and not state.has_room
        is_full = has_no_room or limit_wait_s > 0
        is_paused = state.full_until_s > now_s
        return is_full, state.is_leaving, is_paused, cost, rank


def grantable(states: list[ServerState], now_s: float) -> list[ServerState]:
    """Return the servers whose slots may be granted to any instance.

    Servers that leave are among them only if there is no other one.
    """
    usable = [state for state in states if state.takes_calls(now_s)]
    staying = [state for state in usable if not state.is_leaving]
    return _without_failing(staying or usable, now_s)


def _without_failing(
    usable: list[ServerState], now_s: float
) -> list[ServerState]:
    """Leave out the servers that ended, are ejected or are avoided."""
    present = [s for s in usable if s.absent_until_s <= now_s]
    not_ejected = _without_ejected(present or usable, now_s)
    not_avoided = [s for s in not_ejected if s.avoid_until_s <= now_s]
    return not_avoided or not_ejected


def _without_ejected(
    usable: list[ServerState], now_s: float
) -> list[ServerState]:
    """Leave out ejected servers, the most often ejected first.

    At most MAX_EJECTED_SHARE of the servers are left out.
    """
    ejected = [s for s in usable if s.ejection.is_ejected(now_s)]
    if not ejected:
        return usable
    ejected.sort(key=lambda s: -s.ejection.consecutive_ejections)
    left_out = ejected[: int(len(usable) * MAX_EJECTED_SHARE)]
    ids = {state.entry.server_id for state in left_out}
    return [s for s in usable if s.entry.server_id not in ids]


def record_success(state: ServerState) -> None:
    """Reset a server's consecutive failures after a complete response."""
    state.failures = 0
    state.avoid_until_s = 0.0


def record_full(state: ServerState, now_s: float) -> None:
    """Stop preferring a server that refused a request as full."""
    state.full_until_s = now_s + FULL_PAUSE_S


def record_failure(state: ServerState, now_s: float) -> bool:
    """Count a failure and return whether the server is now avoided."""
    state.failures += 1
    if state.failures < FAILURES_TO_AVOID:
        return False
    doublings = min(state.failures - FAILURES_TO_AVOID, 3)
    state.avoid_until_s = now_s + min(MAX_AVOID_S, AVOID_S * 2**doublings)
    return True
