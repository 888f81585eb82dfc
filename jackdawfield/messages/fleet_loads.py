"""Define the messages that report loads between failure domains."""

from dataclasses import dataclass

from jackdawfield.messages.base import message
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId
from jackdawfield.model import ServiceName


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Holds the load of one service in a domain; see PeerReport.

    `open_slots` are those offered to the receiver's domain alone. The report
    was made `age_s` before it was sent.
    """

    service: ServiceName
    age_s: float
    usable: bool
    wait_s: float
    open_slots: int
    call_s: float
    token_s: float
    queued: int
    link_bytes: float


@message
@dataclass(frozen=True, slots=True)
class DomainLoads:
    """Reports loads to an instance of another failure domain.

    `sent_s` is a time of the sender's monotonic clock, and `sender` names
    one start of its process.
    """

    domain_id: DomainId
    region_id: RegionId
    sender: str
    sent_s: float
    loads: tuple[ServiceLoad, ...]


@message
@dataclass(frozen=True, slots=True)
class DomainLoadsNoted:
    """Confirms a DomainLoads at once, which shows the round trip."""
