"""Listen for callers, health checks and operators, under common limits."""

from collections.abc import Callable

from jackdawfield.gateway.http.caller_exchange import DEFAULT_BODY_BYTES
from jackdawfield.gateway.http.caller_exchange import Handler
from jackdawfield.gateway.http.caller_exchange import IncomingRequest
from jackdawfield.gateway.http.caller_exchange import RouteCheck
from jackdawfield.gateway.http.caller_limits import CallerLimits
from jackdawfield.gateway.http.listener import HttpListener
from jackdawfield.gateway.http.memory_budget import budget_bytes
from jackdawfield.gateway.http.memory_budget import connection_limit
from jackdawfield.gateway.http.reply import Reply
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.servers.quarantine_page import QuarantinePage


class Listeners:
    """Holds an instance's listeners and the limits that they share."""

    def __init__(
        self,
        settings: GatewaySettings,
        cache_bytes: int,
        metrics: GatewayMetrics,
    ) -> None:
        self._metrics = metrics
        self._memory_mb = settings.memory_mb
        self._cache_bytes = cache_bytes
        self.limits = CallerLimits(
            budget_bytes(settings.memory_mb, cache_bytes, DEFAULT_BODY_BYTES),
            connection_limit(settings.max_descriptors),
            count_reason=metrics.count_reason,
        )

    def build(
        self,
        serve: Handler,
        has_route: RouteCheck,
        is_ready: Callable[[], bool],
        quarantine_page: QuarantinePage,
    ) -> None:
        """Build the listeners with what they need for their answers."""
        self._is_ready = is_ready
        self._quarantine_page = quarantine_page
        self.callers = HttpListener(serve, self.limits)
        self.callers.state.has_route = has_route
        self.health = HttpListener(self._answer_health, self.limits)
        self.operators = HttpListener(self._answer_operators, self.limits)
        # Neither health checks nor operators send bodies.
        self.health.state.max_body_bytes = 0
        self.operators.state.max_body_bytes = 0

    async def _answer_health(self, _: IncomingRequest, reply: Reply) -> None:
        is_ready = self._is_ready()
        reply.send(200 if is_ready else 503, 'ready' if is_ready else '')

    async def _answer_operators(
        self, request: IncomingRequest, reply: Reply
    ) -> None:
        """Answer with the quarantine's page, or else with the metrics."""
        answer = self._quarantine_page.answer(request.method, request.target)
        if answer is not None:
            reply.send(answer.status, answer.text)
            return
        reply.send(200, self._metrics.render_prometheus().rstrip('\n'))

    def listen(self, settings: GatewaySettings, metrics_port: int) -> None:
        """Listen on the addresses of the settings."""
        self.callers.listen(settings.host, settings.caller_port)
        self.health.listen(settings.host, settings.health_port)
        self.operators.listen(settings.host, metrics_port)

    def apply_body_limit(self, max_body_bytes: int) -> None:
        """Set the longest body, for the largest of which there is room."""
        self.callers.state.max_body_bytes = max_body_bytes
        self.limits.budget_bytes = budget_bytes(
            self._memory_mb, self._cache_bytes, max_body_bytes
        )

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for listener in (self.callers, self.health, self.operators):
            listener.stop_listening()
            await listener.close()
