"""Define the events and actions of a pool's scheduler."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import NewType

from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

RequestId = NewType('RequestId', str)


class RefusalReason(Enum):
    """Lists the reasons to refuse a request that has not run."""

    DEADLINE = 'deadline would pass'
    QUEUE_FULL = 'queue is full'
    NO_SERVER = 'no server can serve'
    NO_OPEN_SLOT = 'no open slot for other failure domains'
    PROGRAM_LATE = 'program could not end in time'


class SpillReason(Enum):
    """Lists the reasons to send a request to another failure domain."""

    FASTER = 'sooner finish'
    PREFIX = 'cached prefix'
    NO_SERVER = 'no own server'


class SpillObstacle(Enum):
    """Lists why no request is sent to another failure domain."""

    NO_REPORT = 'no recent report'
    NO_SERVER = 'no server there'
    RETURNED = 'requests were returned'
    LINK_FULL = 'link is full'
    NO_OPEN_SLOT = 'no open slot there'
    NO_GAIN = 'no gain'


class FailureKind(Enum):
    """Lists the ways in which a call of a backend server fails."""

    UNREACHABLE = 'unreachable'
    ERROR = 'error'
    TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Describes a request that needs a slot on some server of the pool.

    `home_id` is the instance that owns the program. `context_id` is the
    program or sub-agent whose prompt prefix a server may have cached.
    `attained_tokens` counts what the whole program with its sub-agents has
    been served. `waited_s` is the time waited before this submission, in
    another domain or before a refusal. `priority` is smaller for a more
    urgent call. `finish_s` is the time by which the program, or a call of no
    program, is to end. `preferred_server_id` has the prompt prefix cached,
    and to `connected_server_ids` the home has idle connections.
    `held_tokens` are held at the server while the call runs, zero if unknown.
    With `needs_open_slot`, a request of another domain is refused at once if
    no slot is open for it. `body_bytes` are sent to another domain if the
    request is spilled. `returned_by` is a domain that it was spilled to and
    that did not serve it in time, and `prefix_domain_id` another domain that
    has its prompt prefix cached.
    """

    request_id: RequestId
    home_id: InstanceId
    organisation_id: OrganisationId
    context_id: ProgramId
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    weight: float = 1.0
    attained_tokens: float = 0.0
    waited_s: float = 0.0
    repeatable: bool = True
    may_spill: bool = True
    avoided_server_ids: frozenset[ServerId] = frozenset()
    priority: int = 0
    finish_s: float | None = None
    begins_program: bool = False
    preferred_server_id: ServerId | None = None
    connected_server_ids: frozenset[ServerId] = frozenset()
    held_tokens: int = 0
    needs_open_slot: bool = False
    body_bytes: int = 0
    returned_by: DomainId | None = None
    prefix_domain_id: DomainId | None = None


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """Reports a request that needs a slot."""

    now_s: float
    demand: SlotDemand


@dataclass(frozen=True, slots=True)
class GrantAdopted:
    """Reports a grant of an earlier steward, which this one takes over."""

    now_s: float
    demand: SlotDemand
    server_id: ServerId
    started: bool


@dataclass(frozen=True, slots=True)
class FirstToken:
    """Reports the first token of a granted call."""

    now_s: float
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Finished:
    """Reports the end of a granted call and the tokens it used."""

    now_s: float
    request_id: RequestId
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Reports that a granted call failed on its server."""

    now_s: float
    request_id: RequestId
    kind: FailureKind


@dataclass(frozen=True, slots=True)
class Cancelled:
    """Reports that a request was cancelled by its caller."""

    now_s: float
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class ContextEnded:
    """Reports that a program or sub-agent will make no further calls."""

    now_s: float
    context_id: ProgramId


@dataclass(frozen=True, slots=True)
class HomeRenewed:
    """Reports that a home is live, which renews its requests and grants."""

    now_s: float
    home_id: InstanceId


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Carries a server's load at an earlier time."""

    now_s: float
    server_id: ServerId
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Holds how many tokens of a context's prefix a server has cached."""

    context_id: ProgramId
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheReport:
    """Carries changes of a server's prefix cache; zero tokens if evicted.

    A complete report replaces the whole estimate of the server's cache.
    """

    now_s: float
    server_id: ServerId
    prefixes: tuple[CachedPrefix, ...]
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class ServersChanged:
    """Replaces the list of the pool's servers."""

    now_s: float
    servers: tuple[BackendServer, ...]


@dataclass(frozen=True, slots=True)
class ServerAvoided:
    """Reports that a server is granted no calls until `until_s`."""

    now_s: float
    server_id: ServerId
    until_s: float


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Carries the load of the same pool in another failure domain.

    `now_s` is when it was made. `link_bytes` are under way from the domain to
    other regions, and `round_trip_s` is measured by the receiver.
    """

    now_s: float
    domain_id: DomainId
    region_id: RegionId
    usable: bool
    wait_s: float
    open_slots: int
    call_s: float
    token_s: float
    queued: int = 0
    link_bytes: float = 0.0
    round_trip_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Reports that another failure domain cannot be reached."""

    now_s: float
    domain_id: DomainId


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time, for the periodic work."""

    now_s: float


Event = (
    RequestSubmitted
    | GrantAdopted
    | FirstToken
    | Finished
    | Failed
    | Cancelled
    | ContextEnded
    | HomeRenewed
    | LoadReport
    | CacheReport
    | ServersChanged
    | ServerAvoided
    | PeerReport
    | PeerLost
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class Grant:
    """Grants a request a slot on a server; no call is made without one."""

    request_id: RequestId
    server_id: ServerId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a request that has not run."""

    request_id: RequestId
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Spill:
    """Sends a queued request to the same pool of another domain.

    `gain_s` is how much sooner it is expected to finish there, less the
    price of crossing.
    """

    request_id: RequestId
    domain_id: DomainId
    needs_open_slot: bool = False
    reason: SpillReason = field(default=SpillReason.FASTER, compare=False)
    gain_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class Recall:
    """Revokes a grant whose server does not start the call.

    The home must cancel the call and, if it is repeatable, may submit it
    again.
    """

    request_id: RequestId
    server_id: ServerId


@dataclass(frozen=True, slots=True)
class Expire:
    """Expires a request or grant that its home has not renewed in time."""

    request_id: RequestId
    server_id: ServerId | None


Action = Grant | Refuse | Spill | Recall | Expire
