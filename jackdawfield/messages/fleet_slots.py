"""Define the messages between the owner of slots and those that use them.

An instance that sends a call asks the owner of a service's slots in a failure
domain for one, and tells it when the slot is free again. A grant id names one
request for a slot; its instance never uses it for another one.
"""

from dataclasses import dataclass
from enum import Enum

from jackdawfield.messages.base import message
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName


class SlotEnd(Enum):
    """Lists how the use of a slot ended.

    After UNUSED nothing was sent to the server. ABANDONED tells that the call
    ended before its answer did, through no fault of the server.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    FULL = 'full'
    UNREACHED = 'unreached'
    ABANDONED = 'abandoned'
    UNUSED = 'unused'


@dataclass(frozen=True, slots=True)
class CallDemand:
    """Describes a call that needs a slot; times are in seconds from now."""

    grant_id: str
    home_id: InstanceId
    home_address: str
    service: ServiceName
    # The id that the call has in the logs.
    request_id: str
    organisation_id: OrganisationId
    # Its part in scarce slots, relative to those of others.
    weight: float
    session: ProgramId
    priority: int
    finish_in_s: float | None
    ends_in_s: float
    begins_program: bool
    prompt_tokens: int
    max_tokens: int
    is_repeatable: bool
    # Whether the first piece of the answer will be reported.
    reports_start: bool


@message
@dataclass(frozen=True, slots=True)
class AskSlot:
    """Requests a slot at a server of the receiver's failure domain.

    Idle connections lead to the servers of `connected_ids`. The excluded
    servers have had the call before, or can't have it. `needs_open_slot`,
    `body_bytes`, `returned_by` and `prefix_domain_id` are those of the
    SlotDemand.
    """

    demand: CallDemand
    max_wait_s: float
    waited_s: float
    may_spill: bool
    preferred_id: ServerId | None
    connected_ids: tuple[ServerId, ...]
    excluded_ids: tuple[ServerId, ...]
    needs_open_slot: bool = False
    body_bytes: int = 0
    returned_by: DomainId | None = None
    prefix_domain_id: DomainId | None = None


@message
@dataclass(frozen=True, slots=True)
class SlotGranted:
    """Grants a slot at the start of a server that began at a time."""

    server_id: ServerId
    started_ms: int


@message
@dataclass(frozen=True, slots=True)
class SlotQueued:
    """Tells that a request is queued.

    The next answer, which may be another SlotQueued, follows within the time.
    """

    next_answer_s: float


@message
@dataclass(frozen=True, slots=True)
class SlotDenied:
    """Refuses a request for a slot."""

    reason: str
    retry_after_s: float


@message
@dataclass(frozen=True, slots=True)
class SlotElsewhere:
    """Names the failure domain that is to be asked instead.

    With `needs_open_slot`, the request comes back unless it is granted there
    at once.
    """

    domain_id: DomainId
    needs_open_slot: bool = False


@message
@dataclass(frozen=True, slots=True)
class SlotNotOwned:
    """Tells that the receiver decides nothing about a request.

    One that is stopping is not to be asked again.
    """

    reason: str
    is_stopping: bool


@dataclass(frozen=True, slots=True)
class UsedSlot:
    """Holds a slot in use that its owner has not granted itself."""

    demand: CallDemand
    server_id: ServerId
    has_begun: bool


@dataclass(frozen=True, slots=True)
class EndedSlot:
    """Holds a slot that is free again, and the tokens of its call."""

    grant_id: str
    service: ServiceName
    server_id: ServerId | None
    end: SlotEnd
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BegunSlot:
    """Holds a slot whose call has got the first piece of its answer."""

    grant_id: str
    service: ServiceName


@message
@dataclass(frozen=True, slots=True)
class SlotChanges:
    """Tells what became of an instance's slots, and that it goes on.

    It has no answer and may arrive twice.
    """

    home_id: InstanceId
    used: tuple[UsedSlot, ...] = ()
    begun: tuple[BegunSlot, ...] = ()
    ended: tuple[EndedSlot, ...] = ()
    # In a renewal, all grants of the receiver that are in use.
    grant_ids: tuple[str, ...] | None = None


@message
@dataclass(frozen=True, slots=True)
class SlotOwnerStops:
    """Tells that an owner stops, to an instance whose slots it knows.

    The instance tells them to the next owner.
    """

    address: str
    incarnation: str


@message
@dataclass(frozen=True, slots=True)
class SlotOwnerLeft:
    """Confirms a SlotOwnerStops."""


SlotAnswer = SlotGranted | SlotDenied | SlotElsewhere | SlotNotOwned
