"""Read the settings file that the platform writes for an instance."""

from pathlib import Path
from typing import Annotated
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.gateway_spill import DOMAIN_PRICE
from jackdawfield.decisions.gateway_spill import gateway_spill_settings
from jackdawfield.decisions.gateway_spill import REGION_PRICE
from jackdawfield.decisions.link_load import LinkSettings
from jackdawfield.decisions.spill_settings import CrossingPrice
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.gateway.model import DEFAULT_MAX_DESCRIPTORS
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.model import PromisedLimits
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId

MS_PER_S = 1000
BYTES_PER_S_PER_MBPS = 125_000
# The deployment file names the same port to the scrapers of metrics.
METRICS_PORT = 9464
# The part of the platform's terms for fleets that share many servers.
POOL_CONTRACT = 'pool'
# The part for fleets whose callers may send more than their servers can serve.
PRESSURE_CONTRACT = 'pressure'


_Price = Annotated[float, msgspec.Meta(ge=0)]


class PlatformSettingsError(Exception):
    """Reports a settings file that cannot be read, with its path."""


class _Listen(msgspec.Struct):
    front: str
    ready: str
    # Address for the other instances; the platform exposes it to nobody else.
    control: str | None = None


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: int
    max_fds: int = DEFAULT_MAX_DESCRIPTORS


class _Bounds(msgspec.Struct, rename='camel'):
    grace_s: float = 8
    drain_ms: float = 2500
    quota_window_s: float = 5
    quota_overshoot: float = 0.1
    quota_slack: float = 20


class _Platform(msgspec.Struct, rename='camel'):
    address: str
    row_bytes: int = 65536


class _Crossing(msgspec.Struct, rename='camel'):
    """Holds the operators' prices of calls that leave, as waits in seconds."""

    domain_call_s: _Price = DOMAIN_PRICE.call_s
    domain_megabyte_s: _Price = DOMAIN_PRICE.megabyte_s
    region_call_s: _Price = REGION_PRICE.call_s
    region_megabyte_s: _Price = REGION_PRICE.megabyte_s
    # Rate of the link between two regions, without a limit if not given.
    region_link_mbps: Annotated[float, msgspec.Meta(gt=0)] | None = None


class _Settings(msgspec.Struct, rename='camel'):
    node: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: _Listen
    internal_ports: tuple[int, int]
    limits: _Limits
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    crossing: _Crossing = msgspec.field(default_factory=_Crossing)
    bootstrap: bool = False
    # The operators' choice, by the contracts if they make none.
    grant_slots: bool | None = None
    # The parts of the platform's terms that are in force.
    contracts: list[str] = msgspec.field(default_factory=list)
    # Addresses of a few instances, some of which may be down.
    seeds: list[str] = msgspec.field(default_factory=list)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raise ValueError without a numeric port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def read_settings(
    path: Path,
) -> Result[GatewaySettings, PlatformSettingsError]:
    """Read the settings from a file; the error names the file."""
    try:
        return Ok(decode_settings(path.read_bytes()))
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        return Err(PlatformSettingsError(f'{path}: {error}'))


def decode_settings(data: bytes | str) -> GatewaySettings:
    """Decode the settings; raise ValueError if they are invalid."""
    wire = msgspec.json.decode(data, type=_Settings)
    return _build_settings(wire)


def _grants_slots(wire: _Settings) -> bool:
    if wire.grant_slots is not None:
        return wire.grant_slots
    return PRESSURE_CONTRACT in wire.contracts


def _build_settings(wire: Any) -> GatewaySettings:
    store_host, store_port = split_address(wire.platform.address)
    bounds = wire.bounds
    peer_port = wire.internal_ports[0]
    if wire.listen.control is not None:
        peer_port = split_address(wire.listen.control)[1]
    return GatewaySettings(
        instance_id=InstanceId(wire.node),
        domain_id=DomainId(wire.zone),
        region_id=RegionId(wire.region),
        regions_by_domain={
            DomainId(domain): RegionId(region)
            for domain, region in wire.zones.items()
        },
        host=wire.ip,
        caller_port=split_address(wire.listen.front)[1],
        health_port=split_address(wire.listen.ready)[1],
        peer_port=peer_port,
        seed_addresses=tuple(wire.seeds),
        metrics_port=METRICS_PORT,
        memory_mb=wire.limits.memory_mb,
        max_descriptors=wire.limits.max_fds,
        first_start=wire.bootstrap,
        store_host=store_host,
        store_port=store_port,
        row_bytes=wire.platform.row_bytes,
        pools_servers=POOL_CONTRACT in wire.contracts,
        grants_slots=_grants_slots(wire),
        spill=_build_spill(wire.crossing),
        bounds=PromisedLimits(
            grace_s=bounds.grace_s,
            drain_s=bounds.drain_ms / MS_PER_S,
            rate_window_s=bounds.quota_window_s,
            rate_overshoot=bounds.quota_overshoot,
            rate_slack=bounds.quota_slack,
        ),
    )


def _build_spill(wire: _Crossing) -> SpillSettings:
    link = LinkSettings()
    if wire.region_link_mbps is not None:
        rate_per_s = wire.region_link_mbps * BYTES_PER_S_PER_MBPS
        link = LinkSettings(bytes_per_s=rate_per_s)
    return gateway_spill_settings(
        CrossingPrice(wire.domain_call_s, wire.domain_megabyte_s),
        CrossingPrice(wire.region_call_s, wire.region_megabyte_s),
        link,
    )
