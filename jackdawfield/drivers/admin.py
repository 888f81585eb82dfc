"""Serves operators and the balancer over HTTP."""

from dataclasses import dataclass
from dataclasses import field
import hmac
import time
from typing import Any

import msgspec
import tornado.web

from jackdawfield.drivers.contracts import ContractsDriver
from jackdawfield.metrics import Registry
from jackdawfield.settings import Settings


@dataclass
class Admin:
    """Holds what the operators' handlers need."""

    settings: Settings
    contracts: ContractsDriver
    metrics: Registry
    draining: bool = False
    started_s: float = field(default_factory=time.monotonic)


class PublicHandler(tornado.web.RequestHandler):
    """Answers without an operator's token."""

    def initialize(self, admin: Admin) -> None:
        """Keep what the handler needs."""
        self.admin = admin

    def answer(self, value: object, status: int = 200) -> None:
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(value))


class OperatorHandler(PublicHandler):
    """Requires the operators' token."""

    def prepare(self) -> None:
        """Refuse a request without the token."""
        header = self.request.headers.get('Authorization', '')
        expected = f'Bearer {self.admin.settings.operator_token}'
        if not hmac.compare_digest(header.encode(), expected.encode()):
            self.answer({'error': 'operator token needed'}, 401)


class HealthHandler(PublicHandler):
    """Tells that the process lives."""

    def get(self) -> None:
        """Answer 200."""
        self.answer({'status': 'ok'})


class ReadyHandler(PublicHandler):
    """Tells the balancer whether to send new requests."""

    def get(self) -> None:
        """Answer 200 if ready, else 503."""
        if self.admin.draining:
            self.answer({'status': 'draining'}, 503)
            return
        self.answer({'status': 'ready'})


@dataclass(frozen=True, slots=True)
class Status:
    """Describes one instance to operators."""

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
    """Describes the instance."""

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
                contracts.lease_valid(now_s),
                contracts.established(now_s),
                len(contracts.members_by_id),
                len(contracts.servers_by_id),
                admin.draining,
                round(now_s - admin.started_s, 3),
            )
        )


class PrometheusHandler(OperatorHandler):
    """Serves the metrics page."""

    def get(self) -> None:
        """Answer with the instance's series as Prometheus text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.admin.metrics.render_prometheus())


class SnapshotHandler(OperatorHandler):
    """Serves the kept series to the operators' tool."""

    def get(self) -> None:
        """Answer with the snapshot."""
        self.answer(self.admin.metrics.snapshot(time.time()))


def admin_application(
    admin: Admin, routes: list[Any]
) -> tornado.web.Application:
    """Return the application that serves operators."""
    arguments = {'admin': admin}
    return tornado.web.Application(
        [
            ('/healthz', HealthHandler, arguments),
            ('/readyz', ReadyHandler, arguments),
            ('/metrics', PrometheusHandler, arguments),
            ('/admin/v1/metrics', SnapshotHandler, arguments),
            ('/admin/v1/status', StatusHandler, arguments),
            *routes,
        ]
    )
