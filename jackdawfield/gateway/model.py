"""Define the gateway's routes, organisations, servers and settings."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from jackdawfield.decisions.gateway_spill import GATEWAY_SPILL
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId
from jackdawfield.model import RouteName
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName
from jackdawfield.model import Version

# Descriptors of an instance whose settings do not tell them.
DEFAULT_MAX_DESCRIPTORS = 4100
TurnId = NewType('TurnId', str)


class CallKind(Enum):
    """Names how often a request may run and how it is answered."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'
    STREAM = 'stream'

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self is CallKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Holds a service of a route and its share of the requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class CallRoute:
    """Holds a host and path prefix and how their requests are served."""

    name: RouteName
    host: str
    prefix: str
    kind: CallKind
    targets: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    attempt_limit: int
    keeps_turns: bool
    retention_s: float
    is_open: bool
    # A stream that broke off may be continued after its last event.
    is_resumable: bool = False
    # Longest pause between events of a stream that is still in time.
    event_gap_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request of the route may run more than once."""
        return self.kind.repeatable or self.is_resumable


@dataclass(frozen=True, slots=True)
class Service:
    """Holds a kind of backend server; 0 tokens per event if not a model."""

    name: ServiceName
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Organisation:
    """Holds an organisation's priority and rate; rate 0 means no limit."""

    organisation_id: OrganisationId
    priority: int | None
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """Holds one version of the configuration that operators set."""

    version: Version
    routes_by_host: Mapping[str, tuple[CallRoute, ...]]
    services_by_name: Mapping[ServiceName, Service]
    organisations_by_id: Mapping[OrganisationId, Organisation]
    organisation_ids_by_key: Mapping[str, OrganisationId]
    body_limit_bytes: int

    @property
    def needs_keys(self) -> bool:
        """Return whether requests need a key, open routes excepted."""
        return bool(self.organisations_by_id)

    @property
    def longest_retention_s(self) -> float:
        """Return how long a program may pause and return, on any route."""
        return max(
            (
                route.retention_s
                for routes in self.routes_by_host.values()
                for route in routes
            ),
            default=0.0,
        )


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Holds a backend server as listed by the platform."""

    server_id: ServerId
    service: ServiceName
    host: str
    port: int
    domain_id: DomainId
    slots: int
    is_draining: bool
    started_ms: int

    @property
    def address(self) -> str:
        """Return the address in the form HOST:PORT."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class PromisedLimits:
    """Holds the limits promised to operators.

    In a window of rate_window_s, the fleet may admit more requests than rate
    and burst allow: the share rate_overshoot of those, and rate_slack more.
    A graceful stop of an instance takes at most grace_s. A backend server
    gets no call later than drain_s after it said that it leaves.
    """

    grace_s: float
    drain_s: float
    rate_window_s: float
    rate_overshoot: float
    rate_slack: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Holds the settings with which an instance is started."""

    instance_id: InstanceId
    domain_id: DomainId
    region_id: RegionId
    regions_by_domain: Mapping[DomainId, RegionId]
    host: str
    caller_port: int
    health_port: int
    peer_port: int
    seed_addresses: tuple[str, ...]
    metrics_port: int
    memory_mb: int
    # The whole fleet starts for the first time.
    first_start: bool
    store_host: str
    store_port: int
    row_bytes: int
    bounds: PromisedLimits
    # Whether each instance keeps to a few servers and its connections to them.
    pools_servers: bool = False
    # Whether owners grant the slots of servers to the calls of all instances.
    grants_slots: bool = False
    # When calls leave the failure domain, if they do.
    spill: SpillSettings = GATEWAY_SPILL
    # Descriptors that the process may have open.
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
