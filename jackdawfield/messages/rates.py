"""Define the messages that transfer shares of a rate contract.

A contract is an organisation's rate and burst over the whole fleet. It is
divided into parts; the parts of one holder, an instance under one lease, are
its share. An epoch is one state of the ledger, which lists all holders with
their parts; the settler is the holder that writes the next epoch.
"""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from jackdawfield.messages.base import message
from jackdawfield.model import OrganisationId

HolderId = NewType('HolderId', str)
RequestId = NewType('RequestId', str)


class RefusalReason(Enum):
    """Lists the reasons for which a request is not admitted."""

    OVER_RATE = 'over rate'
    NO_CONTRACT = 'no contract'
    NO_LEASE = 'no lease'
    NO_SHARE = 'no share'
    NO_HOLDER = 'no holder'


@dataclass(frozen=True, slots=True)
class HolderAnswer:
    """Holds the tokens that a holder reported, None if it did not answer."""

    holder_id: HolderId
    tokens_left: float | None


@dataclass(frozen=True, slots=True)
class RateRefusal:
    """Holds why a request was not run and when it may be retried."""

    reason: RefusalReason
    retry_after_s: float
    answers: tuple[HolderAnswer, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Requests that a share holder admits a request and counts it once."""

    organisation_id: OrganisationId
    request_id: RequestId


@message
@dataclass(frozen=True, slots=True)
class AdmitReply:
    """Answers an AdmitRequest; the refusal is None if it is admitted."""

    organisation_id: OrganisationId
    request_id: RequestId
    refusal: RateRefusal | None


@message
@dataclass(frozen=True, slots=True)
class Ask:
    """Requests tokens from a holder; an asker's sequences increase."""

    organisation_id: OrganisationId
    epoch: int
    asker: HolderId
    giver: HolderId
    sequence: int
    tokens: float
    demand_per_s: float
    parts: int


@message
@dataclass(frozen=True, slots=True)
class Grant:
    """Transfers parts and tokens that the giver has already deducted."""

    organisation_id: OrganisationId
    epoch: int
    giver: HolderId
    receiver: HolderId
    sequence: int
    ask_sequence: int
    parts: int
    tokens: float
    parts_left: int
    tokens_left: float
    spare_per_s: float


@message
@dataclass(frozen=True, slots=True)
class GrantReceived:
    """Confirms a grant that was not requested by an Ask."""

    organisation_id: OrganisationId
    epoch: int
    giver: HolderId
    receiver: HolderId
    sequence: int


@message
@dataclass(frozen=True, slots=True)
class CloseShare:
    """Requests that a holder ends an epoch's transfers and reports."""

    organisation_id: OrganisationId
    epoch: int
    settler: HolderId
    holder: HolderId


@message
@dataclass(frozen=True, slots=True)
class ShareClosed:
    """Reports the parts that a holder keeps until the next epoch."""

    organisation_id: OrganisationId
    epoch: int
    settler: HolderId
    holder: HolderId
    parts: int


@message
@dataclass(frozen=True, slots=True)
class EpochOpened:
    """Reports to a holder that the ledger has a newer epoch."""

    organisation_id: OrganisationId
    epoch: int
    holder: HolderId


@message
@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Answers a message that needs no reply."""


RateMessage = (
    Ask | Grant | GrantReceived | CloseShare | ShareClosed | EpochOpened
)
