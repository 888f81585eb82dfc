"""Define the identifiers and the configuration that all modules share."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import NewType

InstanceId = NewType('InstanceId', str)
Incarnation = NewType('Incarnation', str)
DomainId = NewType('DomainId', str)
RegionId = NewType('RegionId', str)
OrganisationId = NewType('OrganisationId', str)
KeyId = NewType('KeyId', str)
ProgramId = NewType('ProgramId', str)
CallNumber = NewType('CallNumber', int)
EffectId = NewType('EffectId', str)
ServerId = NewType('ServerId', str)
ModelName = NewType('ModelName', str)
ServiceName = NewType('ServiceName', str)
TemplateName = NewType('TemplateName', str)
RouteName = NewType('RouteName', str)
ChangeId = NewType('ChangeId', str)
Version = NewType('Version', int)
Epoch = NewType('Epoch', int)


class RouteKind(Enum):
    """Distinguishes routes to chat models from routes to plain services."""

    CHAT = 'chat'
    SERVICE = 'service'


class Execution(Enum):
    """States whether a refused or failed request ran on a backend server."""

    NOT_RUN = 'not run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ServerState(Enum):
    """Enumerates the states of a backend server in the platform's list."""

    LIVE = 'live'
    DRAINING = 'leaving'


@dataclass(frozen=True, slots=True)
class Route:
    """Represents a route for callers and the pool that serves it.

    Calls of an open route need no key. Only calls of a repeatable route may
    run more than once.
    """

    name: RouteName
    kind: RouteKind
    pool: str
    open: bool = False
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Template:
    """Represents a kind of agent program and its limits."""

    name: TemplateName
    budget_tokens: int
    turn_limit: int
    deadline_s: float
    idle_limit_s: float = 900.0


@dataclass(frozen=True, slots=True)
class TemplateParameters:
    """Holds an organisation's token budget and routes for one template."""

    budget_tokens: int
    route_names: frozenset[RouteName]


@dataclass(frozen=True, slots=True)
class Organisation:
    """Represents a tenant and its contract, which applies fleet-wide."""

    organisation_id: OrganisationId
    rate_per_s: float
    burst: int
    weight: float = 1.0
    parameters_by_template: Mapping[TemplateName, TemplateParameters] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Holds an organisation's key as the digest of its secret.

    A withdrawn key is revoked.
    """

    key_id: KeyId
    organisation_id: OrganisationId
    secret_sha256: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """Holds all that operators configure, at one version."""

    version: Version = Version(0)
    organisations_by_id: Mapping[OrganisationId, Organisation] = field(
        default_factory=dict
    )
    templates_by_name: Mapping[TemplateName, Template] = field(
        default_factory=dict
    )
    routes_by_name: Mapping[RouteName, Route] = field(default_factory=dict)
    keys_by_id: Mapping[KeyId, KeyRecord] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Member:
    """Represents one instance in the roster, the list of fleet members.

    A member that is leaving is draining.
    """

    instance_id: InstanceId
    incarnation: Incarnation
    domain_id: DomainId
    region_id: RegionId
    peer_address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Represents a backend server: a model engine or a plain service.

    `token_capacity` bounds the tokens that its calls may hold at once, zero
    if unknown.
    """

    server_id: ServerId
    domain_id: DomainId
    region_id: RegionId
    address: str
    pool: str
    slots: int
    cache_tokens: int = 0
    checks_fencing: bool = False
    state: ServerState = ServerState.LIVE
    token_capacity: int = 0
