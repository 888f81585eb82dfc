"""Compare how long calls wait for their start at a server and elsewhere.

A call starts with its first token, a call without tokens with its end.
"""

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.model import ServerId

# Weight of the latest start in the mean.
START_WEIGHT = 0.1
# A server lags if a call waits this many times longer than the mean.
LAG_RATIO = 1.5


class StartTimes:
    """Holds the unstarted calls of each server and the mean of the starts."""

    def __init__(self) -> None:
        self._granted_at_s_by_server: dict[
            ServerId, dict[RequestId, float]
        ] = {}
        self._last_start_by_server: dict[ServerId, tuple[float, float]] = {}
        self._mean_s: float | None = None

    def add(
        self, server_id: ServerId, request_id: RequestId, now_s: float
    ) -> None:
        """Add an unstarted call that was granted now."""
        granted = self._granted_at_s_by_server.setdefault(server_id, {})
        granted[request_id] = now_s

    def remove(self, server_id: ServerId, request_id: RequestId) -> None:
        """Remove a call that has started or ended."""
        granted = self._granted_at_s_by_server.get(server_id, {})
        granted.pop(request_id, None)

    def record_start(
        self, server_id: ServerId, start_s: float, now_s: float
    ) -> None:
        """Record how long a call has waited for its start."""
        self._last_start_by_server[server_id] = now_s, start_s
        if self._mean_s is None:
            self._mean_s = start_s
        self._mean_s += START_WEIGHT * (start_s - self._mean_s)

    def remove_server(self, server_id: ServerId) -> None:
        """Remove a server."""
        self._granted_at_s_by_server.pop(server_id, None)
        self._last_start_by_server.pop(server_id, None)

    def lag_s(self, server_id: ServerId, now_s: float) -> float:
        """Return how much later than the mean calls start at a server now.

        The last start counts for as long as a mean one takes.
        """
        if self._mean_s is None:
            return 0.0
        start_s = self._oldest_age_s(server_id, now_s)
        last = self._last_start_by_server.get(server_id)
        if last is not None and now_s - last[0] <= self._mean_s:
            start_s = max(start_s, last[1])
        if start_s <= LAG_RATIO * self._mean_s:
            return 0.0
        return start_s - self._mean_s

    def _oldest_age_s(self, server_id: ServerId, now_s: float) -> float:
        granted = self._granted_at_s_by_server.get(server_id)
        if not granted:
            return 0.0
        return now_s - next(iter(granted.values()))
