"""Track which server has cached which context's prompt prefix."""

from collections import OrderedDict

from jackdawfield.decisions.pool_events import CachedPrefix
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId


class PrefixCaches:
    """Estimates the servers' prefix caches from calls and delayed reports."""

    def __init__(self) -> None:
        self._capacity_tokens_by_server: dict[ServerId, int] = {}
        self._total_tokens_by_server: dict[ServerId, int] = {}
        self._tokens_by_server: dict[
            ServerId, OrderedDict[ProgramId, int]
        ] = {}

    def set_server(self, server_id: ServerId, capacity_tokens: int) -> None:
        """Add a server or change its cache capacity."""
        self._capacity_tokens_by_server[server_id] = capacity_tokens
        self._tokens_by_server.setdefault(server_id, OrderedDict())
        self._total_tokens_by_server.setdefault(server_id, 0)

    def remove_server(self, server_id: ServerId) -> None:
        """Remove a server and the estimate of its cache."""
        self._capacity_tokens_by_server.pop(server_id, None)
        self._tokens_by_server.pop(server_id, None)
        self._total_tokens_by_server.pop(server_id, None)

    def clear_server(self, server_id: ServerId) -> None:
        """Mark a server's cache as empty."""
        if server_id in self._tokens_by_server:
            self._tokens_by_server[server_id].clear()
            self._total_tokens_by_server[server_id] = 0

    def cached_tokens(self, server_id: ServerId, context_id: ProgramId) -> int:
        """Return the estimated cached tokens of a context on a server."""
        tokens_by_context = self._tokens_by_server.get(server_id)
        return (
            0
            if tokens_by_context is None
            else tokens_by_context.get(context_id, 0)
        )

    def max_cached_tokens(self, context_id: ProgramId) -> int:
        """Return the most cached tokens of a context on any server."""
        return max(
            (
                tokens_by_context.get(context_id, 0)
                for tokens_by_context in self._tokens_by_server.values()
            ),
            default=0,
        )

    def remove_context(self, context_id: ProgramId) -> None:
        """Remove a context that will not be used again."""
        for server_id, tokens_by_context in self._tokens_by_server.items():
            self._total_tokens_by_server[server_id] -= tokens_by_context.pop(
                context_id, 0
            )

    def record_use(
        self,
        server_id: ServerId,
        context_id: ProgramId,
        tokens: int,
    ) -> None:
        """Record that a server has just processed a context's prefix."""
        tokens_by_context = self._tokens_by_server.get(server_id)
        if tokens_by_context is None or not tokens:
            return
        self._total_tokens_by_server[server_id] += (
            tokens - tokens_by_context.get(context_id, 0)
        )
        tokens_by_context[context_id] = tokens
        tokens_by_context.move_to_end(context_id)
        self._evict(server_id)

    def apply_report(
        self,
        server_id: ServerId,
        prefixes: tuple[CachedPrefix, ...],
        complete: bool,
    ) -> None:
        """Correct the estimate from a server's own report."""
        tokens_by_context = self._tokens_by_server.get(server_id)
        if tokens_by_context is None:
            return
        if complete:
            self.clear_server(server_id)
        for prefix in prefixes:
            before = tokens_by_context.pop(prefix.context_id, 0)
            self._total_tokens_by_server[server_id] += prefix.tokens - before
            if prefix.tokens:
                tokens_by_context[prefix.context_id] = prefix.tokens
        self._evict(server_id)

    def _evict(self, server_id: ServerId) -> None:
        tokens_by_context = self._tokens_by_server[server_id]
        capacity = self._capacity_tokens_by_server[server_id]
        while (
            tokens_by_context
            and self._total_tokens_by_server[server_id] > capacity
        ):
            _, tokens = tokens_by_context.popitem(last=False)
            self._total_tokens_by_server[server_id] -= tokens
