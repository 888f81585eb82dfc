"""Defines how instances tell each other of failing backend servers."""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId


@message
@dataclass(frozen=True, slots=True)
class ServerFailed:
    """Reports one request that a server failed, as a caller of it saw."""

    server_id: ServerId
    # Tells a server from the next one under the same id.
    started_ms: int
    # Where the caller of the server is.
    region_id: RegionId


@message
@dataclass(frozen=True, slots=True)
class FailureNoted:
    """Confirms a report."""
