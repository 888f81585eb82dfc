"""Track the servers of a pool and the calls in flight on them."""

from collections.abc import Iterator
from collections.abc import Set
from dataclasses import dataclass

from jackdawfield.decisions.caches import PrefixCaches
from jackdawfield.decisions.pool_events import Failed
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import LoadReport
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.routing import Choice
from jackdawfield.decisions.routing import choose_server
from jackdawfield.decisions.routing import RoutingSettings
from jackdawfield.decisions.slot_placement import place_call
from jackdawfield.decisions.slot_placement import PlacementSettings
from jackdawfield.decisions.slot_placement import PoolServers
from jackdawfield.decisions.start_times import StartTimes
from jackdawfield.decisions.windows import best_token_s
from jackdawfield.decisions.windows import mark_slow
from jackdawfield.decisions.windows import ServerWindow
from jackdawfield.decisions.windows import SMOOTHING_FACTOR
from jackdawfield.model import InstanceId
from jackdawfield.model import ServerId
from jackdawfield.model import ServerState

MIN_PREFILL_SAMPLE_TOKENS = 500


@dataclass(slots=True)
class GrantedCall:
    """Holds a granted call and the time of its first token, if any."""

    demand: SlotDemand
    server_id: ServerId
    granted_at_s: float
    prefill_tokens: int
    charged_tokens: float
    had_no_prefill_ahead: bool
    is_adopted: bool = False
    first_token_at_s: float | None = None

    @property
    def start_at_s(self) -> float | None:
        """Return when it started, None if unknown.

        A first token that is reported with the grant tells nothing.
        """
        if self.first_token_at_s == self.granted_at_s:
            return None
        return self.first_token_at_s


class InFlight:
    """Counts granted calls and estimates the speed and health of servers."""

    def __init__(self, settings: PoolSettings) -> None:
        self._settings = settings
        self._windows_by_id: dict[ServerId, ServerWindow] = {}
        self._calls_by_id: dict[RequestId, GrantedCall] = {}
        self._mean_call_s = settings.initial_call_s
        self._start_times = StartTimes()
        self.caches = PrefixCaches()

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._calls_by_id

    def window(self, server_id: ServerId) -> ServerWindow:
        """Return the window of a server of the pool."""
        return self._windows_by_id[server_id]

    def choose_server(
        self,
        demand: SlotDemand,
        now_s: float,
        reserved_ids: Set[ServerId] = frozenset(),
    ) -> Choice | None:
        """Return the best server for a request, None if none is usable."""
        windows_by_id = self._windows_by_id
        if reserved_ids:
            windows_by_id = {
                server_id: window
                for server_id, window in windows_by_id.items()
                if server_id not in reserved_ids
            }
        match self._settings.routing:
            case RoutingSettings() as routing:
                return choose_server(
                    demand,
                    windows_by_id,
                    self.caches,
                    routing,
                    self._mean_call_s,
                    now_s,
                )
            case PlacementSettings() as placement:
                servers = PoolServers(
                    windows_by_id,
                    self.caches,
                    self._start_times,
                    self._mean_call_s,
                )
                return place_call(demand, servers, placement, now_s)

    def choose_reserved(
        self, demand: SlotDemand, now_s: float
    ) -> ServerId | None:
        """Return the server to keep for a call whose tokens fit nowhere.

        It has the most room; None if some server has room or none ever has.
        """
        windows_by_id = {
            server_id: window
            for server_id, window in self._windows_by_id.items()
            if window.is_usable(now_s) and window.may_hold(demand.held_tokens)
        }
        if any(w.has_room(demand.held_tokens) for w in windows_by_id.values()):
            return None
        return max(
            windows_by_id,
            key=lambda server_id: windows_by_id[server_id].free_tokens,
            default=None,
        )

    def fits_no_server(self, demand: SlotDemand) -> bool:
        """Return whether a call holds more than any server may hold."""
        windows = self._windows_by_id.values()
        return bool(windows) and not any(
            window.may_hold(demand.held_tokens) for window in windows
        )

    def grant(
        self, demand: SlotDemand, server_id: ServerId, now_s: float
    ) -> GrantedCall | None:
        """Record a grant; return None if its server is not in the pool."""
        window = self._windows_by_id.get(server_id)
        if window is None:
            return None
        cached_tokens = self.caches.cached_tokens(server_id, demand.context_id)
        uncached_tokens = max(0, demand.prompt_tokens - cached_tokens)
        call = GrantedCall(
            demand=demand,
            server_id=server_id,
            granted_at_s=now_s,
            prefill_tokens=uncached_tokens,
            charged_tokens=self._cost_tokens(
                uncached_tokens, demand.output_tokens
            ),
            had_no_prefill_ahead=window.unstarted_prefill_tokens == 0,
        )
        self._calls_by_id[demand.request_id] = call
        window.record_grant(now_s, uncached_tokens)
        window.held_tokens += demand.held_tokens
        self._start_times.add(server_id, demand.request_id, now_s)
        self.caches.record_use(
            server_id, demand.context_id, demand.prompt_tokens
        )
        return call

    def adopt(self, event: GrantAdopted) -> GrantedCall | None:
        """Record a call that an earlier steward granted, without its times."""
        call = self.grant(event.demand, event.server_id, event.now_s)
        if call is None:
            return None
        call.is_adopted = True
        self._start_times.remove(event.server_id, event.demand.request_id)
        if event.started:
            self.record_first_token(event.demand.request_id, event.now_s)
        return call

    def record_first_token(self, request_id: RequestId, now_s: float) -> None:
        """Record the first token of a call."""
        call = self._calls_by_id.get(request_id)
        if call is None or call.first_token_at_s is not None:
            return
        call.first_token_at_s = now_s
        if call.start_at_s is not None:
            self._record_start(call, now_s)
        window = self._windows_by_id.get(call.server_id)
        if window is not None:
            window.record_first_token(now_s, call.prefill_tokens)

    def record_finish(self, event: Finished, call: GrantedCall) -> float:
        """Update estimates from a finished call; return tokens not charged."""
        now_s = event.now_s
        if call.start_at_s is None:
            self._record_start(call, now_s)
        if not call.is_adopted:
            call_s = now_s - call.granted_at_s
            self._mean_call_s += SMOOTHING_FACTOR * (
                call_s - self._mean_call_s
            )
        window = self._windows_by_id.get(call.server_id)
        if window is not None:
            window.record_success(now_s)
            self._update_estimates(window, call, event)
        context_id = call.demand.context_id
        context_tokens = event.prompt_tokens + event.output_tokens
        self.caches.record_use(call.server_id, context_id, context_tokens)
        uncached_tokens = event.prompt_tokens - event.cached_tokens
        served_tokens = self._cost_tokens(uncached_tokens, event.output_tokens)
        return served_tokens - call.charged_tokens

    def record_failure(self, event: Failed, call: GrantedCall) -> None:
        """Record the failure of a released call against its server."""
        window = self._windows_by_id.get(call.server_id)
        if window is None:
            return
        unreachable = event.kind == FailureKind.UNREACHABLE
        window.record_failure(event.now_s, unreachable)
        if unreachable:
            self.caches.clear_server(call.server_id)

    def release(self, request_id: RequestId) -> GrantedCall | None:
        """Release the slot of a call; return None if it holds none."""
        call = self._calls_by_id.pop(request_id, None)
        if call is None:
            return None
        self._start_times.remove(call.server_id, request_id)
        window = self._windows_by_id.get(call.server_id)
        if window is None:
            return call
        window.held_tokens -= call.demand.held_tokens
        if call.first_token_at_s is None:
            window.record_unstarted_end(call.prefill_tokens)
            return call
        window.record_end()
        return call

    def apply_load_report(self, event: LoadReport) -> None:
        """Adapt a server's window to its load report."""
        window = self._windows_by_id.get(event.server_id)
        if window is not None:
            window.apply_report(event.running, event.waiting)

    def update_servers(self, event: ServersChanged) -> None:
        """Replace the servers of the pool; draining ones get no new calls."""
        servers_by_id = {server.server_id: server for server in event.servers}
        for server_id in self._windows_by_id.keys() - servers_by_id.keys():
            del self._windows_by_id[server_id]
            self._start_times.remove_server(server_id)
            self.caches.remove_server(server_id)
        for server_id, server in servers_by_id.items():
            window = self._windows_by_id.get(server_id)
            if window is None:
                window = ServerWindow.of(
                    server.slots, self._settings.initial_prefill_token_s
                )
                self._windows_by_id[server_id] = window
                self._count_calls(server_id, event.now_s)
            window.change_slots(server.slots)
            window.token_capacity = server.token_capacity
            window.accepts_work = server.state == ServerState.LIVE
            self.caches.set_server(server_id, server.cache_tokens)

    def avoid_server(self, server_id: ServerId, until_s: float) -> None:
        """Grant no calls on a server until a time."""
        window = self._windows_by_id.get(server_id)
        if window is not None:
            window.avoided_until_s = until_s

    def _count_calls(self, server_id: ServerId, now_s: float) -> None:
        """Count the calls that were granted before a server was delisted."""
        window = self._windows_by_id[server_id]
        for call in self._calls_by_id.values():
            if call.server_id != server_id:
                continue
            window.record_grant(now_s, call.prefill_tokens)
            window.held_tokens += call.demand.held_tokens
            if call.first_token_at_s is not None:
                window.record_first_token(now_s, call.prefill_tokens)

    def calls_of_homes(self, home_ids: Set[InstanceId]) -> list[GrantedCall]:
        """Return the granted calls of some homes."""
        return [
            call
            for call in self._calls_by_id.values()
            if call.demand.home_id in home_ids
        ]

    def count_of_others(self) -> int:
        """Return how many granted calls of other domains are in flight."""
        return sum(
            call.demand.needs_open_slot for call in self._calls_by_id.values()
        )

    def mark_slow_servers(self, peers_token_s: float) -> None:
        """Mark servers far slower than the best one here or at the peers."""
        windows = self._windows_by_id.values()
        best_s = min(best_token_s(windows), peers_token_s)
        mark_slow(windows, best_s, self._settings.slow_ratio)

    def eject_stalled(self, now_s: float) -> Iterator[GrantedCall]:
        """Eject stalled servers and yield the calls whose grants to revoke."""
        stalled_ids = {
            server_id
            for server_id, window in self._windows_by_id.items()
            if window.is_stalled(now_s)
        }
        if not stalled_ids:
            return
        for call in tuple(self._calls_by_id.values()):
            if call.server_id not in stalled_ids:
                continue
            if call.first_token_at_s is None and call.demand.repeatable:
                yield call
        for server_id in stalled_ids:
            self._windows_by_id[server_id].record_failure(
                now_s, unreachable=True
            )

    def usable_windows(self, now_s: float) -> list[ServerWindow]:
        """Return the windows of servers that may be granted calls."""
        windows = self._windows_by_id.values()
        return [window for window in windows if window.is_usable(now_s)]

    def opens_in_s(self, now_s: float) -> float:
        """Return the seconds until a server is usable, zero if unknown.

        A server that accepts no work may accept some at any time.
        """
        waits_s = (
            window.usable_at_s - now_s if window.accepts_work else 0.0
            for window in self._windows_by_id.values()
        )
        return max(0.0, min(waits_s, default=0.0))

    def total_slots(self) -> int:
        """Return the number of slots of all servers of the pool."""
        return sum(window.slots for window in self._windows_by_id.values())

    def has_open_slot(self, now_s: float) -> bool:
        """Return whether any server can be granted a call now."""
        return any(
            w.open_slots(now_s) > 0 for w in self._windows_by_id.values()
        )

    def usable_limit(self, now_s: float) -> int:
        """Return how many calls the usable servers may have in flight."""
        return sum(
            w.limit for w in self._windows_by_id.values() if w.is_usable(now_s)
        )

    @property
    def mean_call_s(self) -> float:
        """Return the mean duration of the latest calls."""
        return self._mean_call_s

    def mean_slot_wait_s(self, now_s: float) -> float:
        """Return the mean seconds until a slot of a full pool is released."""
        return self._mean_call_s / max(1, self.usable_limit(now_s))

    def _cost_tokens(self, prefill_tokens: int, output_tokens: int) -> float:
        weight = self._settings.prefill_weight
        return prefill_tokens * weight + output_tokens

    def _record_start(self, call: GrantedCall, now_s: float) -> None:
        self._start_times.remove(call.server_id, call.demand.request_id)
        if call.is_adopted or call.server_id not in self._windows_by_id:
            return
        start_s = now_s - call.granted_at_s
        self._start_times.record_start(call.server_id, start_s, now_s)

    def _update_estimates(
        self, window: ServerWindow, call: GrantedCall, event: Finished
    ) -> None:
        if call.is_adopted or call.first_token_at_s is None:
            return
        decode_s = event.now_s - call.first_token_at_s
        window.record_decode(decode_s, event.output_tokens)
        uncached_tokens = event.prompt_tokens - event.cached_tokens
        if (
            call.had_no_prefill_ahead
            and uncached_tokens >= MIN_PREFILL_SAMPLE_TOKENS
        ):
            waited_s = call.first_token_at_s - call.granted_at_s
            window.record_prefill(waited_s, uncached_tokens)
