"""Define the messages by which an instance calls a server through another.

The answers to OpenRelay are a RelayRefused, or a RelayReady, after which the
request follows in a RelayRequest, and the parts of its response.
"""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import ServerId


@message
@dataclass(frozen=True, slots=True)
class OpenRelay:
    """Asks for a connection to a backend server."""

    server_id: ServerId
    # Distinguishes a server from a later one with the same id.
    started_ms: int
    # Whether the sender knows of the server's limit and has taken a token.
    has_token: bool = False


@message
@dataclass(frozen=True, slots=True)
class RelayReady:
    """Tells that a connection is open and waits for the request."""

    relay_id: int


@message
@dataclass(frozen=True, slots=True)
class RelayRefused:
    """Tells that nothing is relayed and nothing was sent.

    `has_tried` tells that the server was asked for a connection.
    """

    reason: str
    has_tried: bool


@message
@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Holds the request of a relay that is ready."""

    relay_id: int
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    echo_header: str
    echo_value: str


@message
@dataclass(frozen=True, slots=True)
class RelayTaken:
    """Confirms a RelayRequest or a RelayConsumed."""


@message
@dataclass(frozen=True, slots=True)
class RelayHead:
    """Holds the head of a response; `framing` is the value of a Framing."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    framing: str


@message
@dataclass(frozen=True, slots=True)
class RelayPiece:
    """Holds a piece of a response's body."""

    data: bytes


@message
@dataclass(frozen=True, slots=True)
class RelayEnd:
    """Reports the end of a response; `end` is the value of a BodyEnd."""

    end: str
    reason: str
    # Nothing of the request was sent to the server.
    is_unsent: bool
    # The server closed the connection, and not an instance.
    is_closed_by_server: bool


@message
@dataclass(frozen=True, slots=True)
class RelayConsumed:
    """Tells how many more bytes of a response the caller has taken."""

    relay_id: int
    count: int


@message
@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Asks whether a backend server takes connections."""

    server_id: ServerId
    started_ms: int


@message
@dataclass(frozen=True, slots=True)
class ServerProbed:
    """Holds the value of a Listening."""

    listening: str
