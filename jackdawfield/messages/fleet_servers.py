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
    # Whether a member has passed the report on to the other members.
    is_forwarded: bool = False


@message
@dataclass(frozen=True, slots=True)
class FailureNoted:
    """Confirms a ServerFailed or a ServerEjected."""


@message
@dataclass(frozen=True, slots=True)
class ServerEjected:
    """Tells an instance that its member has ejected a backend server."""

    server_id: ServerId
    started_ms: int
    seconds: float
    # Number of ejections of the server that followed each other.
    times: int
