"""Define the messages that report failing backend servers."""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId


@message
@dataclass(frozen=True, slots=True)
class ServerFailed:
    """Reports one request to a backend server that failed."""

    server_id: ServerId
    # Distinguishes a server from a later one with the same id.
    started_ms: int
    # The region of the instance that sent the request.
    region_id: RegionId


@message
@dataclass(frozen=True, slots=True)
class FailureNoted:
    """Confirms a ServerFailed."""
