"""Define the record of a run: executions, outcomes and fault intervals.

A promise is a guarantee of the gateway that the soak checks.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

# These statuses guarantee that a call was not executed. Callers retry the
# first group; a call over its budget (402) is not retried.
RETRIED_STATUSES = frozenset((408, 421, 429, 503))
NOT_EXECUTED_STATUSES = RETRIED_STATUSES | {402}


class CallClass(Enum):
    """Defines the call classes, one for each route."""

    TURN = 'turn'
    # A stream that is not retained and that may be resumed.
    REPLY = 'reply'
    ORDER = 'order'
    LOOKUP = 'lookup'


STREAM_CLASSES = (CallClass.TURN, CallClass.REPLY)


@dataclass(slots=True)
class Run:
    """Holds one execution of a call at a backend server."""

    request_id: str
    effect_id: str
    call_class: CallClass
    organisation: str
    program: str
    at_s: float
    body_digest: str
    # Events sent so far; an interrupted stream has fewer than planned.
    events: int = 0
    server_id: str = ''
    # The server answers with bytes that are no answer, without end.
    is_endless: bool = False


@dataclass(frozen=True, slots=True)
class NoticeInterval:
    """Holds when a server said something of itself in its answers."""

    server_id: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Holds one attempt of a call and its response."""

    request_id: str
    call_class: CallClass
    organisation: str
    program: str
    instance: str
    started_s: float
    ended_s: float
    # Zero without a response.
    status: int
    # Whether the response body was received completely.
    whole: bool
    body: bytes
    expected_body: bytes
    expected_prompt_digest: str
    previous_request_id: str = ''
    key: str = ''
    # Only the end of the connection marked that of the body.
    is_unconfirmed: bool = False
    # The request ends the servers that run it.
    ends_servers: bool = False
    # The instance read the request and closed the connection, in order and
    # without an answer.
    is_dropped: bool = False
    # The server that said in this answer that it leaves, if any.
    leaving_server_id: str = ''


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """Holds a server's end by a request that it ran."""

    server_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class VersionSample:
    """Holds the configuration version of an instance at one time."""

    instance: str
    at_s: float
    version: int


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """Holds when a fault was active; instance None means all instances."""

    kind: str
    instance: str | None
    start_s: float
    end_s: float

    def affects(self, instance: str, from_s: float, to_s: float) -> bool:
        """Return whether the fault may affect an instance in a period."""
        if self.instance not in (None, instance):
            return False
        return self.start_s <= to_s and from_s <= self.end_s


@dataclass(frozen=True, slots=True)
class Violation:
    """Reports one violation of a promise."""

    promise: str
    detail: str


@dataclass
class Record:
    """Collects the observations of a run in chronological order."""

    runs: list[Run] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    server_ends: list[ServerEnd] = field(default_factory=list)
    version_samples: list[VersionSample] = field(default_factory=list)
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    limit_intervals: list[NoticeInterval] = field(default_factory=list)
    # When servers said in their answers that they leave.
    leaving_intervals: list[NoticeInterval] = field(default_factory=list)
    # Name of the instance and time of its SIGTERM.
    planned_stops: list[tuple[str, float]] = field(default_factory=list)
    withdrawn_at_s_by_key: dict[str, float] = field(default_factory=dict)
    configured_at_s_by_version: dict[int, float] = field(default_factory=dict)
    fault_free_from_s: float = 0.0
