"""Define the events and actions of a share holder."""

from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.messages.rates import HolderId
from jackdawfield.messages.rates import RateMessage
from jackdawfield.messages.rates import RateRefusal
from jackdawfield.messages.rates import RequestId
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId


@dataclass(frozen=True, slots=True)
class RateSettings:
    """Sets the time limits of a share holder.

    A request is queued for at most `ask_limit_ms`, which is also the time in
    which peers must answer. Peers are asked only if the wait for the next
    token would exceed `ask_min_wait_ms`, and again after `ask_interval_ms`,
    or before it if their last answers show that they have tokens by now. A
    peer that does not answer is skipped for `peer_backoff_s`.

    A settlement (see LedgerManager) starts `settle_delay_s` after its cause,
    later at holders with a lower rendezvous score, and is retried every
    `settle_retry_s`. A handover that is not confirmed within
    `settle_delay_s` is such a cause.

    A share without requests for `consolidate_after_s` is handed over to the
    responsive holder with the highest rendezvous score, unless that is its
    own holder.
    Ids of admitted requests are kept for `dedup_s`, so that a repeat is
    admitted but not counted.
    """

    ask_limit_ms: float = 100.0
    ask_min_wait_ms: float = 20.0
    ask_interval_ms: float = 250.0
    peer_backoff_s: float = 2.0
    settle_delay_s: float = 0.5
    settle_retry_s: float = 2.0
    consolidate_after_s: float = 10.0
    dedup_s: float = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequested:
    """Reports a request to admit; repeats of its id are counted once."""

    organisation_id: OrganisationId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Reports a message from another holder."""

    message: RateMessage


@dataclass(frozen=True, slots=True)
class LedgerRead:
    """Reports a ledger row as read, None if the table did not answer."""

    organisation_id: OrganisationId
    row: Row | None


@dataclass(frozen=True, slots=True)
class LedgerWritten:
    """Reports the outcome of a write of a ledger row."""

    organisation_id: OrganisationId
    outcome: TransactionOutcome


@dataclass(frozen=True, slots=True)
class WakeDue:
    """Reports that the time of a WakeAt has been reached."""

    organisation_id: OrganisationId


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time, about once a second, for the periodic work."""


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Reports a new expiry of the instance lease, on the clock of `now_s`."""

    expires_at_s: float


@dataclass(frozen=True, slots=True)
class ContractsChanged:
    """Reports the rate limits of the configuration in force here."""

    contracts_by_organisation_id: Mapping[OrganisationId, Contract]


@dataclass(frozen=True, slots=True)
class InstanceLeaseExpired:
    """Reports that an incarnation's lease has expired for good."""

    instance_id: InstanceId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """Reports that this instance drains and must hand its shares over."""


Event = (
    AdmissionRequested
    | MessageReceived
    | LedgerRead
    | LedgerWritten
    | WakeDue
    | TimePassed
    | LeaseRenewed
    | ContractsChanged
    | InstanceLeaseExpired
    | DrainStarted
)


@dataclass(frozen=True, slots=True)
class Admit:
    """Admits a request."""

    organisation_id: OrganisationId
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a request that has not run."""

    organisation_id: OrganisationId
    request_id: RequestId
    refusal: RateRefusal


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to the instance of a holder."""

    receiver: HolderId
    message: RateMessage


@dataclass(frozen=True, slots=True)
class ReadLedger:
    """Reads an organisation's ledger row."""

    organisation_id: OrganisationId


@dataclass(frozen=True, slots=True)
class WriteLedger:
    """Writes an organisation's ledger row."""

    organisation_id: OrganisationId
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Schedules a WakeDue event, at a time on the clock of `now_s`."""

    organisation_id: OrganisationId
    at_s: float


Action = Admit | Refuse | Send | ReadLedger | WriteLedger | WakeAt


def format_incarnation_prefix(
    instance_id: InstanceId, incarnation: Incarnation
) -> str:
    """Return the common prefix of an incarnation's holder ids."""
    return f'{instance_id}/{incarnation}/'


def holder_id_of(
    instance_id: InstanceId, incarnation: Incarnation, generation: int
) -> HolderId:
    """Return a holder id; each lease expiry starts a new generation."""
    prefix = format_incarnation_prefix(instance_id, incarnation)
    return HolderId(f'{prefix}{generation}')


def instance_of(holder_id: HolderId) -> InstanceId:
    """Return the instance of a holder id."""
    return InstanceId(holder_id.rsplit('/', 2)[0])


def incarnation_of(holder_id: HolderId) -> Incarnation:
    """Return the incarnation of a holder id."""
    return Incarnation(holder_id.rsplit('/', 2)[1])


def parse_incarnation_prefix(holder_id: HolderId) -> str:
    """Return the incarnation prefix of a holder id."""
    return holder_id.rpartition('/')[0] + '/'
