"""Define the types of a call: its request, headers, stages and outcomes."""

from dataclasses import dataclass
from enum import Enum

from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import TurnId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

HeaderPairs = tuple[tuple[str, str], ...]

# Hop-by-hop headers; the HTTP libraries set their own on each connection.
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


# Longest time that a request is held for a token instead of being refused.
# A request within a program is held longer, since a refusal ends the program.
CONTINUING_WAIT_S = 0.8
BEGINNING_WAIT_S = 0.1


class Stage(Enum):
    """Names the step that a call in progress is waiting for."""

    RATE = 'rate'
    # A free slot at a server, before the call is sent to any.
    SLOT = 'slot'
    SERVER = 'server'
    CHAIN = 'chain'
    BUDGET = 'budget'
    RESERVATION = 'reservation'
    ANSWER = 'answer'
    COMMIT = 'commit'


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Holds the decoded headers of a caller's request.

    Calls with the same session id go to the same backend server where
    possible. `time_left_s` lasts until the call's deadline, `finish_left_s`
    until the caller's program has to finish. `end_to_end_headers` are those
    to forward to a backend server.
    """

    request_id: str
    host: str
    key: str | None
    time_left_s: float | None
    finish_left_s: float | None
    program_id: ProgramId | None
    session_id: str
    budget_tokens: int | None
    prompt_tokens: int
    max_tokens: int
    previous_turn: TurnId | None
    end_to_end_headers: HeaderPairs
    # The last event that the caller has of a stream that it resumes.
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class ForwardedHeaders:
    """Holds the values for the headers of a request to a backend server."""

    server_id: ServerId
    organisation_id: OrganisationId | None
    time_left_s: float
    end_to_end_headers: HeaderPairs
    # The event after which the server continues a stream.
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """Holds a caller's request with its route, organisation and deadline."""

    request_id: str
    method: str
    target: str
    headers: CallHeaders
    body: bytes
    route: CallRoute
    organisation_id: OrganisationId | None
    arrived_at_s: float
    deadline_s: float

    @property
    def begins_program(self) -> bool:
        """Return whether it starts a program or belongs to none."""
        if self.headers.program_id is None:
            return True
        return self.route.keeps_turns and self.headers.previous_turn is None

    @property
    def token_wait_s(self) -> float:
        """Return how long it may be held for a token."""
        if self.begins_program:
            return BEGINNING_WAIT_S
        return CONTINUING_WAIT_S


@dataclass(frozen=True, slots=True)
class Refusal:
    """Represents the response to a call that is never executed."""

    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Failure:
    """Represents the response to a failed call that may have run."""

    status: int
    reason: str
