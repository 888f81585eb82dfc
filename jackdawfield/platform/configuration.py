"""Decode the operators' configuration and the rows of backend servers."""

from collections.abc import Iterator
import re
from typing import Annotated

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decoding import DECODE_ERRORS
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import Organisation
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.model import Service
from jackdawfield.gateway.model import WeightedService
from jackdawfield.model import DomainId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RouteName
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName
from jackdawfield.model import Version
from jackdawfield.platform.settings import MS_PER_S
from jackdawfield.platform.settings import split_address

KINDS_BY_NAME = {
    'safe': CallKind.IDEMPOTENT,
    'unsafe': CallKind.AT_MOST_ONCE,
    'streaming': CallKind.STREAM,
}
DEFAULT_ATTEMPT_LIMIT = 2
DRAINING_STATE = 'draining'
SERVER_STATES = ('ready', DRAINING_STATE)
# Above every server's slots and start time.
MAX_SLOTS = 1_000_000
MAX_START_MS = 2**53
MAX_PORT = 65535
# A server's id is sent in a header, and its host is connected to.
SERVER_ID = re.compile(r'[\x21-\x7e]{1,200}')
HOST = re.compile(r'([A-Za-z0-9-]{1,63}\.){0,8}[A-Za-z0-9-]{1,63}')


class RowDecodeError(Exception):
    """Reports a row that cannot be decoded."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = msgspec.field(default_factory=list)
    max_attempts: int = DEFAULT_ATTEMPT_LIMIT
    retain_context: bool = False
    retention_s: float = 0
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class _Engine(msgspec.Struct, rename='camel'):
    chunk_tokens: int


class _Service(msgspec.Struct, rename='camel'):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_body_bytes: int = 4194304


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = msgspec.field(default_factory=list)


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    # Unix milliseconds of the server's start.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_START_MS)] = 0


def decode_configuration(
    data: bytes,
) -> Result[FleetConfiguration, RowDecodeError]:
    """Decode the configuration from a row's value."""
    try:
        wire = msgspec.json.decode(data, type=_Configuration)
        return Ok(_build_configuration(wire))
    except (*DECODE_ERRORS, KeyError) as error:
        return Err(RowDecodeError(f'configuration: {error}'))


def find_repeated(data: bytes) -> tuple[tuple[str, str], ...]:
    """Return the entries listed twice in a valid configuration, and how."""
    wire = msgspec.json.decode(data, type=_Configuration)
    return (
        *_repeated('service', [service.name for service in wire.services]),
        *_repeated('organisation', [tenant.name for tenant in wire.tenants]),
        *_shared_keys(wire.tenants),
    )


def _repeated(kind: str, names: list[str]) -> Iterator[tuple[str, str]]:
    for name in sorted(set(names)):
        if names.count(name) > 1:
            yield f'{kind} {name}', 'is listed twice'


def _shared_keys(tenants: list[_Tenant]) -> Iterator[tuple[str, str]]:
    names_by_key: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            first = names_by_key.setdefault(key, tenant.name)
            if first != tenant.name:
                text = f'has a key of organisation {first}'
                yield f'organisation {tenant.name}', text


def _build_configuration(wire: _Configuration) -> FleetConfiguration:
    routes_by_host: dict[str, list[CallRoute]] = {}
    for route in wire.routes:
        routes_by_host.setdefault(route.host.lower(), []).append(
            _build_route(route)
        )
    return FleetConfiguration(
        version=Version(wire.version),
        routes_by_host={
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in routes_by_host.items()
        },
        services_by_name={
            ServiceName(service.name): _build_service(service)
            for service in wire.services
        },
        organisations_by_id={
            OrganisationId(tenant.name): Organisation(
                OrganisationId(tenant.name),
                tenant.priority,
                tenant.rate_per_s,
                tenant.burst,
            )
            for tenant in wire.tenants
        },
        organisation_ids_by_key={
            key: OrganisationId(tenant.name)
            for tenant in wire.tenants
            for key in tenant.api_keys
        },
        body_limit_bytes=wire.limits.max_body_bytes,
    )


def _build_route(wire: _Route) -> CallRoute:
    splits = wire.traffic_split
    targets = [
        WeightedService(ServiceName(s.service), s.weight) for s in splits
    ]
    if not targets and wire.service is not None:
        targets = [WeightedService(ServiceName(wire.service), 1.0)]
    return CallRoute(
        name=RouteName(wire.name),
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=KINDS_BY_NAME[wire.kind],
        targets=tuple(targets),
        timeout_s=wire.timeout_ms / MS_PER_S,
        target_latency_s=wire.target_latency_ms / MS_PER_S,
        priority=wire.priority,
        attempt_limit=wire.max_attempts,
        keeps_turns=wire.retain_context,
        retention_s=wire.retention_s,
        is_open=wire.public,
        is_resumable=wire.resumable,
        event_gap_s=wire.gap_aim_ms / MS_PER_S,
    )


def _build_service(wire: _Service) -> Service:
    engine = wire.engine
    return Service(
        name=ServiceName(wire.name),
        tokens_per_event=engine.chunk_tokens if engine else 0,
    )


def decode_server(
    key: str, data: bytes
) -> Result[ServerEntry, RowDecodeError]:
    """Decode a backend server from a row's key and value."""
    try:
        wire = msgspec.json.decode(data, type=_Server)
        host, port = split_address(wire.address)
    except DECODE_ERRORS as error:
        return Err(RowDecodeError(f'server {key}: {error}'))
    if SERVER_ID.fullmatch(key) is None:
        return Err(RowDecodeError(f'server {key!r}: unusable id'))
    if HOST.fullmatch(host) is None or not 0 < port <= MAX_PORT:
        return Err(RowDecodeError(f'server {key}: unusable {wire.address!r}'))
    if wire.state not in SERVER_STATES:
        return Err(RowDecodeError(f'server {key}: unknown state {wire.state}'))
    return Ok(
        ServerEntry(
            ServerId(key),
            ServiceName(wire.service),
            host,
            port,
            DomainId(wire.zone),
            wire.slots,
            wire.state == DRAINING_STATE,
            wire.born,
        )
    )
