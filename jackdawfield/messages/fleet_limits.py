"""Define the messages that keep a server's limit over all instances."""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import ServerId


@message
@dataclass(frozen=True, slots=True)
class AskServerToken:
    """Requests the permit to send one request to a server with a limit.

    A fallback token comes from the receiver's own small part, for an
    instance that does not reach the one that grants the server's tokens.
    """

    server_id: ServerId
    # Distinguishes a server from a later one with the same id.
    started_ms: int
    # The limit that the sender knows, in requests per second.
    per_s: float
    # Longest time for which the request can wait for its token.
    max_delay_s: float
    is_fallback: bool = False


@message
@dataclass(frozen=True, slots=True)
class ServerTokenAnswer:
    """Grants a token that is usable after a delay, or refuses it.

    The delay of a refusal is the time until there will be a token.
    """

    is_granted: bool
    delay_s: float


@message
@dataclass(frozen=True, slots=True)
class ServerLimitNamed:
    """Tells the limit that a server named in an answer."""

    server_id: ServerId
    started_ms: int
    per_s: float
    # Time since the answer arrived.
    age_s: float
    # Whether a member has passed the limit on to the others.
    is_forwarded: bool = False


@message
@dataclass(frozen=True, slots=True)
class ServerLimitNoted:
    """Confirms a ServerLimitNamed."""
