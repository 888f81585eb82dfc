"""Read and validate the daemon's settings, JSON with comments."""

from pathlib import Path
from typing import Annotated
from typing import Literal

import msgspec
import pyjson5
from result import Err
from result import Ok
from result import Result

Address = Annotated[
    str,
    msgspec.Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+$'),
]
Url = Annotated[str, msgspec.Meta(pattern=r'^https?://[^/]+$')]
Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(gt=0)]
Key256 = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class SettingsError(Exception):
    """Reports invalid settings, with the file and the path in it."""


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the paths of the certificate files of one listener."""

    certificate_file: str
    private_key_file: str
    authority_file: str | None = None


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Holds the URLs of the platform's services and the request timing."""

    table_url: Url
    object_url: Url
    instances_url: Url
    timeout_s: Seconds = 2.0
    list_interval_s: Seconds = 1.0


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds how long an instance may act without renewing its lease."""

    lease_s: Seconds = 6.0
    outage_limit_s: Seconds = 900.0


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the limits and intervals of one daemon."""

    body_bytes: Count = 4_194_304
    requests_in_flight: Count = 2_000
    call_wait_s: Seconds = 30.0
    default_deadline_s: Seconds = 120.0
    ask_limit_ms: Count = 250
    commit_window_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    drain_s: Seconds = 30.0
    sweep_s: Seconds = 10.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds the settings that a daemon reads at its start."""

    instance_id: Name
    domain_id: Name
    region_id: Name
    caller_address: Address
    peer_address: Address
    operator_address: Address
    operator_token: Annotated[str, msgspec.Meta(min_length=16)]
    tail_key: Key256
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    limits: LimitSettings = LimitSettings()
    caller_tls: TlsSettings | None = None
    peer_tls: TlsSettings | None = None
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'


def parse_settings(text: str, source: str) -> Result[Settings, SettingsError]:
    """Return the settings of a text; errors hold the source and path."""
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Err(
            SettingsError(f'{source}: not valid JSON with comments: {error}')
        )
    try:
        return Ok(msgspec.convert(value, Settings))
    except msgspec.ValidationError as error:
        return Err(SettingsError(f'{source}: {error}'))


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Return the settings of a file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsError(f'{path}: cannot be read: {error}'))
    return parse_settings(text, str(path))


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
