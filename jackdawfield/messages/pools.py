"""Define the messages between programs' homes and the stewards of pools.

The steward of a pool is the instance that schedules the slots of the pool's
backend servers in one failure domain. The home of a program is the instance
that owns it and runs its calls.
"""

from dataclasses import dataclass
from enum import Enum

from jackdawfield.messages.base import message
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId


class ServerFault(Enum):
    """Lists the faults of a granted server that a home reports."""

    NONE = 'none'
    ERROR = 'error'
    UNREACHABLE = 'unreachable'


@message
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requests a slot on one of a pool's servers from its steward.

    The home's driver sets the fields from `home_id` on.
    """

    request_id: str
    pool: str
    organisation_id: OrganisationId
    program_id: ProgramId
    root_id: ProgramId
    prompt_tokens: int
    expected_tokens: int
    deadline_s: float
    repeatable: bool
    home_id: InstanceId = InstanceId('')
    attained_tokens: float = 0.0
    waited_s: float = 0.0
    may_spill: bool = True
    avoided: tuple[ServerId, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class Slot:
    """Grants a slot on a server."""

    request_id: str
    pool: str
    server_id: ServerId
    address: str


@message
@dataclass(frozen=True, slots=True)
class SlotRefused:
    """Refuses a slot; the call has not run."""

    reason: str
    retry_after_s: float


@message
@dataclass(frozen=True, slots=True)
class SlotSpilled:
    """Redirects a request to the same pool of another failure domain."""

    request_id: str
    domain_id: DomainId


@message
@dataclass(frozen=True, slots=True)
class SlotStarted:
    """Reports that a granted call has produced its first token."""

    request_id: str
    pool: str


@message
@dataclass(frozen=True, slots=True)
class SlotReleased:
    """Releases a slot, with the usage and times of its call."""

    request_id: str
    pool: str
    ok: bool
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    first_token_s: float = 0.0
    elapsed_s: float = 0.0
    fault: ServerFault = ServerFault.NONE


@message
@dataclass(frozen=True, slots=True)
class SlotRecalled:
    """Revokes a slot whose server does not start the call."""

    request_id: str


@message
@dataclass(frozen=True, slots=True)
class HomeRenewal:
    """Renews a home's granted and queued requests as a heartbeat."""

    home_id: InstanceId
    pool: str
    request_ids: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class UnknownSlots:
    """Lists the requests of a renewal that are unknown to the steward."""

    request_ids: tuple[str, ...]


@message
@dataclass(frozen=True, slots=True)
class HeldSlot:
    """Holds a slot that a previous steward granted."""

    request: SlotRequest
    server_id: ServerId
    started: bool


@message
@dataclass(frozen=True, slots=True)
class SlotsAdopted:
    """Registers slots at a steward that did not grant them."""

    pool: str
    slots: tuple[HeldSlot, ...]


@message
@dataclass(frozen=True, slots=True)
class ContextGone:
    """Reports that a program with cached context makes no further calls."""

    pool: str
    program_id: ProgramId


@message
@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Reports a pool's load in one domain to its stewards in the others.

    `call_s` is the mean time until a slot of a full pool is released, and
    `token_s` the shortest time per token of any server.
    """

    pool: str
    domain_id: DomainId
    region_id: RegionId
    usable: bool
    wait_s: float
    open_slots: int
    call_s: float
    token_s: float


@message
@dataclass(frozen=True, slots=True)
class Done:
    """Confirms a message that has no other reply."""
