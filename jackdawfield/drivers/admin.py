"""Serve operators and the load balancer over HTTP."""

from dataclasses import dataclass
from dataclasses import field
import hmac
import time
from typing import Any

import msgspec
import tornado.web

from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.metrics import Registry
from jackdawfield.settings import Settings


@dataclass
class AdminContext:
    """Holds the components that the handlers use."""

    settings: Settings
    contracts: FleetStateDriver
    metrics: Registry
    draining: bool = False
    started_at_s: float = field(default_factory=time.monotonic)


class PublicHandler(tornado.web.RequestHandler):
    """Handles requests without an operator's token."""

    def initialize(self, admin: AdminContext) -> None:
        """Set the components that the handler uses."""
        self.admin = admin

    def answer(self, value: object, status: int = 200) -> None:
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))


class OperatorHandler(PublicHandler):
    """Handles requests that require the operators' token."""

    def prepare(self) -> None:
        """Refuse a request without the token with status 401."""
        header = self.request.headers.get('Authorization', '')
        expected = f'Bearer {self.admin.settings.operator_token}'
        if not hmac.compare_digest(header.encode(), expected.encode()):
            self.answer({'error': 'operator token needed'}, 401)


class HealthHandler(PublicHandler):
    """Answers liveness probes."""

    def get(self) -> None:
        """Answer 200."""
        self.answer({'status': 'ok'})


class ReadyHandler(PublicHandler):
    """Answers readiness probes of the load balancer."""

    def get(self) -> None:
        """Answer 200, or 503 while the instance is draining."""
        if self.admin.draining:
            self.answer({'status': 'draining'}, 503)
            return
        self.answer({'status': 'ready'})


@dataclass(frozen=True, slots=True)
class Status:
    """Holds an instance's status in the form that operators read."""

    instance_id: str
    domain_id: str
    region_id: str
    version: int
    lease_valid: bool
    established: bool
    members: int
    servers: int
    draining: bool
    uptime_s: float


class StatusHandler(OperatorHandler):
    """Serves the instance's status."""

    def get(self) -> None:
        """Answer with the instance's status."""
        admin = self.admin
        contracts = admin.contracts
        now_s = time.monotonic()
        self.answer(
            Status(
                admin.settings.instance_id,
                admin.settings.domain_id,
                admin.settings.region_id,
                contracts.configuration.version,
                contracts.is_lease_valid(now_s),
                contracts.is_established(now_s),
                len(contracts.members_by_id),
                len(contracts.servers_by_id),
                admin.draining,
                round(now_s - admin.started_at_s, 3),
            )
        )


class PrometheusHandler(OperatorHandler):
    """Serves the metrics page."""

    def get(self) -> None:
        """Answer with the instance's metrics as Prometheus text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.admin.metrics.render_prometheus())


class MetricsSnapshotHandler(OperatorHandler):
    """Serves the metrics that this instance retains to operators' tools."""

    def get(self) -> None:
        """Answer with the metrics as JSON."""
        self.answer(self.admin.metrics.snapshot(time.time()))


def admin_application(
    admin: AdminContext, routes: list[Any]
) -> tornado.web.Application:
    """Return the application that serves operators."""
    arguments = {'admin': admin}
    return tornado.web.Application(
        [
            ('/healthz', HealthHandler, arguments),
            ('/readyz', ReadyHandler, arguments),
            ('/metrics', PrometheusHandler, arguments),
            ('/admin/v1/metrics', MetricsSnapshotHandler, arguments),
            ('/admin/v1/status', StatusHandler, arguments),
            *routes,
        ]
    )
