"""Define the messages about requests that end backend servers."""

from dataclasses import dataclass
from typing import NewType

from jackdawfield.messages.base import message
from jackdawfield.model import ServerId

# Path of the operators' page.
PAGE = '/quarantine'
# Identifies a request's content, whatever its request id.
RequestDigest = NewType('RequestDigest', bytes)


@dataclass(frozen=True, slots=True, order=True)
class ServerStart:
    """Identifies one start of a backend server."""

    server_id: ServerId
    started_ms: int


@dataclass(frozen=True, slots=True)
class Suspicion:
    """States that a request ran on a server that ended.

    `age_s` is the time since then; `had_begun` tells that a part of the answer
    was passed on to the caller. A suspicion is cleared once the same request
    has ended whole.
    """

    start: ServerStart
    age_s: float
    digest: RequestDigest
    had_begun: bool
    is_cleared: bool = False


@dataclass(frozen=True, slots=True)
class Conviction:
    """States that a request is quarantined.

    `term` counts its quarantines; `left_s` lasts until the end of this one
    and is below 0 afterwards. A lifted one holds no more.
    """

    digest: RequestDigest
    term: int
    left_s: float
    server_ids: tuple[ServerId, ...]
    is_lifted: bool = False


@message
@dataclass(frozen=True, slots=True)
class EvidenceTold:
    """Tells what an instance knows of requests that end servers.

    A member tells the other members only what they have not been told, and
    marks it as relayed.
    """

    suspicions: tuple[Suspicion, ...] = ()
    convictions: tuple[Conviction, ...] = ()
    is_relayed: bool = False

    def __bool__(self) -> bool:
        return bool(self.suspicions or self.convictions)


@message
@dataclass(frozen=True, slots=True)
class EvidenceNoted:
    """Confirms an EvidenceTold."""


@message
@dataclass(frozen=True, slots=True)
class AskEvidence:
    """Asks for all that an instance knows, at the start of another one."""
