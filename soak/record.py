"""Holds what callers, servers and operators saw during a run."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

# Answers which promise that a call has not run; after the first ones a
# caller comes back.
RETRIED_STATUSES = frozenset((408, 421, 429, 503))
NOT_RUN_STATUSES = RETRIED_STATUSES | {402}


class CallClass(Enum):
    """Names the classes of calls."""

    TURN = 'turn'
    ORDER = 'order'
    LOOKUP = 'lookup'


@dataclass(slots=True)
class Run:
    """Holds one execution at a backend server."""

    request_id: str
    effect_id: str
    call_class: CallClass
    organisation: str
    program: str
    at_s: float
    body_digest: str
    # Events that left the server; a cut stream has fewer than planned.
    events: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Holds one attempt of a caller and what came of it."""

    request_id: str
    call_class: CallClass
    organisation: str
    program: str
    instance: str
    started_s: float
    ended_s: float
    # Zero without an answer.
    status: int
    whole: bool
    body: bytes
    expected_body: bytes
    expected_digest: str
    previous: str = ''
    key: str = ''


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """Holds the version of the configuration that an instance was on."""

    instance: str
    at_s: float
    version: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """Holds one fault as it happened; no instance means all of them."""

    kind: str
    instance: str | None
    from_s: float
    to_s: float

    def touches(self, instance: str, from_s: float, to_s: float) -> bool:
        """Return whether the fault may explain what went on meanwhile."""
        if self.instance not in (None, instance):
            return False
        return self.from_s <= to_s and from_s <= self.to_s


@dataclass(frozen=True, slots=True)
class Violation:
    """Reports a promise that did not hold."""

    promise: str
    detail: str


@dataclass
class Record:
    """Collects what was seen, in the order of its time."""

    runs: list[Run] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    versions: list[VersionSeen] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    # When each instance was told to stop, with its name.
    planned_stops: list[tuple[str, float]] = field(default_factory=list)
    withdrawn_at_s_by_key: dict[str, float] = field(default_factory=dict)
    calm_from_s: float = 0.0
