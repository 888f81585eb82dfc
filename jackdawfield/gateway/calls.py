"""Defines a caller's request, what goes to a server and what comes back."""

from dataclasses import dataclass
from enum import Enum

from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import TurnId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

HeaderPairs = tuple[tuple[str, str], ...]

# Headers that concern one connection; the HTTP libraries set their own.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class Stage(Enum):
    """Names what a call under way waits for."""

    RATE = 'rate'
    SERVER = 'server'
    CHAIN = 'chain'
    BUDGET = 'budget'
    ANSWER = 'answer'
    COMMIT = 'commit'


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Holds what the headers of a caller's request say."""

    request_id: str
    host: str
    key: str | None
    time_left_s: float | None
    finish_left_s: float | None
    program_id: ProgramId | None
    line_id: str
    budget_tokens: int | None
    prompt_tokens: int
    max_tokens: int
    previous_turn: TurnId | None
    passed_on: HeaderPairs


@dataclass(frozen=True, slots=True)
class ForwardedHeaders:
    """Holds what the headers of a request to a backend server say."""

    server_id: ServerId
    organisation_id: OrganisationId | None
    time_left_s: float
    passed_on: HeaderPairs


@dataclass(frozen=True, slots=True)
class Call:
    """Holds one attempt of a caller, checked against the configuration."""

    request_id: str
    method: str
    target: str
    headers: CallHeaders
    body: bytes
    route: CallRoute
    organisation_id: OrganisationId | None
    arrived_at_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answers a call that has not run and never will."""

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Failure:
    """Answers a call that may have run."""

    status: int
    reason: str
