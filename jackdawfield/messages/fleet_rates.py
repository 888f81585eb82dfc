"""Define the messages that grant tokens of fleet-wide rate limits."""

from dataclasses import dataclass
from typing import NewType

from jackdawfield.messages.base import message
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId

RolesDigest = NewType('RolesDigest', bytes)


@message
@dataclass(frozen=True, slots=True)
class AskTokens:
    """Requests tokens from the owner of an organisation's rate limit.

    `continuing` counts the tokens for calls of running programs and
    `beginning` those for calls that begin a program, which leave some for
    the running ones. `spare` tokens are a reserve for later calls, granted
    only while the bucket is well filled.
    """

    organisation_id: OrganisationId
    continuing: int
    beginning: int
    spare: int


@message
@dataclass(frozen=True, slots=True)
class TokensGranted:
    """Grants tokens, each usable after its delay in seconds.

    An instance that is not the active owner grants none. Tokens that were
    not granted may be requested again after `retry_after_s`.
    """

    active: bool
    continuing_delays_s: tuple[float, ...] = ()
    beginning_delays_s: tuple[float, ...] = ()
    spare: int = 0
    retry_after_s: float = 0.0
    # The granter's incarnation if it stops: its successor is the owner.
    leaving: str = ''


@message
@dataclass(frozen=True, slots=True)
class AskFallback:
    """Requests tokens from a member's part of the tolerated overshoot.

    Such tokens are for requests whose owner of the rate is not reached.
    """

    organisation_id: OrganisationId
    count: int


@message
@dataclass(frozen=True, slots=True)
class FallbackGranted:
    """Grants some of the requested fallback tokens."""

    count: int


@message
@dataclass(frozen=True, slots=True)
class HandOver:
    """Transfers a rate limit's remaining tokens to its next owner."""

    organisation_id: OrganisationId
    sender: InstanceId
    tokens: float
    # Of the sender's view of the members, by which the receiver is the owner.
    version: int
    # The sender's incarnation if it stops: it is never the owner again.
    leaving: str = ''


@message
@dataclass(frozen=True, slots=True)
class HandedOver:
    """Confirms a HandOver."""


@message
@dataclass(frozen=True, slots=True)
class Ping:
    """Requests a Pong, as a check that an instance is alive."""


@message
@dataclass(frozen=True, slots=True)
class Pong:
    """Holds an instance's incarnation and its view of the members."""

    incarnation: str
    members_version: int
    # Of the members' roles in the view.
    roles: RolesDigest
    # Incarnations that have released their ownerships for good, while their
    # rows do not say so yet.
    released: tuple[str, ...] = ()
