"""Route calls by the simple policies that serve as baselines."""

from heapq import heappop
from heapq import heappush

from bench._fleet import Call
from bench._fleet import Fleet
from bench._fleet import ProgramRun
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.model import BackendServer
from jackdawfield.model import ServerId

EXPECTED_OUTPUT_TOKENS = 180
PREFILL_TOKEN_WEIGHT = 0.05
EJECTION_S = 5.0


class Baseline:
    """Dispatches each call at once, if possible within its own region."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._outstanding_by_id: dict[ServerId, int] = {}
        self._ejected_until_s_by_key: dict[tuple[str, ServerId], float] = {}

    def submit(self, call: Call) -> None:
        """Dispatch a call, or retry in 1 s if no server is listed."""
        servers = self._candidates(call)
        if not servers:
            self._fleet.clock.call_later(1.0, self.submit, call)
            return
        self._dispatch(call, self._choose(call, servers))

    def on_started(self, call: Call) -> None:
        """Ignore the first token of a call."""

    def on_finished(self, call: Call) -> None:
        """Decrement the calls in flight on the server of a call."""
        if call.server is not None:
            self._outstanding_by_id[call.server.server_id] -= 1

    def on_failed(self, call: Call, kind: FailureKind) -> None:
        """Eject the server for the call's domain and free its slot."""
        if call.server is not None:
            key = (call.domain, call.server.server_id)
            until_s = self._fleet.clock.now_s + EJECTION_S
            self._ejected_until_s_by_key[key] = until_s
        self.on_finished(call)

    def on_context_ended(self, run: ProgramRun, context_id: str) -> None:
        """Do nothing: the engine evicts ended contexts itself."""

    def on_instance_restarted(self, domain: str, instance: int) -> None:
        """Do nothing: a baseline keeps no state in an instance."""

    def _candidates(self, call: Call) -> list[BackendServer]:
        all_servers = self._fleet.pool_servers(call.pool)
        region = self._fleet.region(call.domain)
        local_servers = [
            server for server in all_servers if server.region_id == region
        ]
        for group in (local_servers, all_servers):
            eligible = [s for s in group if not self._is_excluded(call, s)]
            if eligible:
                return eligible
        return local_servers or all_servers

    def _is_excluded(self, call: Call, server: BackendServer) -> bool:
        if server.server_id in call.avoided:
            return True
        key = (call.domain, server.server_id)
        return self._fleet.clock.now_s < self._ejected_until_s_by_key.get(
            key, 0.0
        )

    def _choose(
        self, call: Call, servers: list[BackendServer]
    ) -> BackendServer:
        return min(servers, key=self._outstanding)

    def _outstanding(self, server: BackendServer) -> int:
        return self._outstanding_by_id.get(server.server_id, 0)

    def _dispatch(self, call: Call, server: BackendServer) -> None:
        count = self._outstanding(server)
        self._outstanding_by_id[server.server_id] = count + 1
        self._fleet.dispatch(call, server)


class LeastOutstanding(Baseline):
    """Chooses the server with the fewest calls in flight, counted exactly."""


class RoundRobin(Baseline):
    """Chooses each server in turn; engines serve in order of arrival."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._next_index_by_key: dict[tuple[str, str], int] = {}

    def _choose(
        self, call: Call, servers: list[BackendServer]
    ) -> BackendServer:
        key = (call.pool, self._fleet.region(call.domain))
        index = self._next_index_by_key.get(key, 0)
        self._next_index_by_key[key] = index + 1
        return servers[index % len(servers)]


class ShortestFirst(Baseline):
    """Queues calls, shortest expected first, and fills the free slots."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._queue: list[tuple[float, int, Call]] = []
        self._sequence = 0

    def submit(self, call: Call) -> None:
        """Queue a call."""
        self._sequence += 1
        expected_tokens = (
            call.prompt_tokens * PREFILL_TOKEN_WEIGHT + EXPECTED_OUTPUT_TOKENS
        )
        heappush(self._queue, (expected_tokens, self._sequence, call))
        self._dispatch_queued()

    def on_finished(self, call: Call) -> None:
        """Free the slot of a call and dispatch queued calls."""
        super().on_finished(call)
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        remaining: list[tuple[float, int, Call]] = []
        full_keys: set[tuple[str, str]] = set()
        while self._queue:
            item = heappop(self._queue)
            call = item[2]
            key = (call.pool, self._fleet.region(call.domain))
            if key in full_keys:
                remaining.append(item)
                continue
            servers = [
                server
                for server in self._candidates(call)
                if self._outstanding(server) < server.slots
            ]
            if not servers:
                full_keys.add(key)
                remaining.append(item)
                continue
            self._dispatch(call, self._choose(call, servers))
        for item in remaining:
            heappush(self._queue, item)
