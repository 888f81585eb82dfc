"""Defines how instances count requests against fleet-wide rates."""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId


@message
@dataclass(frozen=True, slots=True)
class AskTokens:
    """Asks the owner of an organisation's rate for tokens.

    Tokens to spare are given only from an ample bucket; a request that
    begins a program leaves some for programs under way.
    """

    organisation_id: OrganisationId
    continuing: int
    beginning: int
    spare: int


@message
@dataclass(frozen=True, slots=True)
class TokensGranted:
    """Grants tokens, each from a delay in seconds on.

    An owner that is not active grants nothing. What is missing may be asked
    for again after the time to wait.
    """

    active: bool
    continuing_delays_s: tuple[float, ...] = ()
    beginning_delays_s: tuple[float, ...] = ()
    spare: int = 0
    retry_after_s: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class HandOver:
    """Passes an organisation's rate and tokens on to its next owner."""

    organisation_id: OrganisationId
    sender: InstanceId
    tokens: float


@message
@dataclass(frozen=True, slots=True)
class HandedOver:
    """Confirms a hand-over."""


@message
@dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether an instance is there."""


@message
@dataclass(frozen=True, slots=True)
class Pong:
    """Says which incarnation is there and how new its view of members is."""

    incarnation: str
    members_version: int
