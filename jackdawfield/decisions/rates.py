"""Admit requests against the shares that an instance has of rate limits.

To admit a request is to spend one token of its organisation's share on it.
"""

from collections.abc import Mapping
import math

from jackdawfield.decisions.admission import Admission
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.rate_events import Action
from jackdawfield.decisions.rate_events import AdmissionRequested
from jackdawfield.decisions.rate_events import ContractsChanged
from jackdawfield.decisions.rate_events import DrainStarted
from jackdawfield.decisions.rate_events import Event
from jackdawfield.decisions.rate_events import format_incarnation_prefix
from jackdawfield.decisions.rate_events import holder_id_of
from jackdawfield.decisions.rate_events import InstanceLeaseExpired
from jackdawfield.decisions.rate_events import LeaseRenewed
from jackdawfield.decisions.rate_events import LedgerRead
from jackdawfield.decisions.rate_events import LedgerWritten
from jackdawfield.decisions.rate_events import MessageReceived
from jackdawfield.decisions.rate_events import parse_incarnation_prefix
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.decisions.rate_events import Refuse
from jackdawfield.decisions.rate_events import Send
from jackdawfield.decisions.rate_events import TimePassed
from jackdawfield.decisions.rate_events import WakeDue
from jackdawfield.decisions.settlement import LedgerManager
from jackdawfield.decisions.shares import Share
from jackdawfield.messages.rates import Ask
from jackdawfield.messages.rates import CloseShare
from jackdawfield.messages.rates import EpochOpened
from jackdawfield.messages.rates import Grant
from jackdawfield.messages.rates import GrantReceived
from jackdawfield.messages.rates import HolderId
from jackdawfield.messages.rates import RateMessage
from jackdawfield.messages.rates import RateRefusal
from jackdawfield.messages.rates import RefusalReason
from jackdawfield.messages.rates import ShareClosed
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId

ZERO_CONTRACT = Contract(0.0, 0)


class ShareHolder:
    """Holds the shares of one instance, valid only under its lease.

    When the lease expires, all shares are dropped for good and the instance
    continues under a new holder id, so that messages to the old id have no
    effect. All times are on the clock of `now_s`.
    """

    share_class = Share
    ledger_manager_class = LedgerManager

    def __init__(
        self,
        instance_id: InstanceId,
        incarnation: Incarnation,
        settings: RateSettings,
    ) -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.settings = settings
        self.generation = 0
        self.lease_expires_at_s = -math.inf
        self.is_leaving = False
        self.admissions_by_organisation_id: dict[
            OrganisationId, Admission
        ] = {}
        self._contracts_by_organisation_id: Mapping[
            OrganisationId, Contract
        ] = {}
        self._expired_incarnation_prefixes: set[str] = set()

    @property
    def holder_id(self) -> HolderId:
        """Return the current holder id; each lease expiry changes it."""
        return holder_id_of(
            self.instance_id, self.incarnation, self.generation
        )

    def on(self, event: Event, now_s: float) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions."""
        refusals = () if self.has_lease(now_s) else self._drop_shares()
        return refusals + self._dispatch(event, now_s)

    def has_lease(self, now_s: float) -> bool:
        """Return whether the instance lease is valid."""
        return now_s < self.lease_expires_at_s

    def _drop_shares(self) -> tuple[Action, ...]:
        if not self.admissions_by_organisation_id:
            return ()
        actions: list[Action] = []
        for admission in self.admissions_by_organisation_id.values():
            actions += admission.refuse_all(RefusalReason.NO_LEASE)
        self.admissions_by_organisation_id.clear()
        self.generation += 1
        return tuple(actions)

    def _dispatch(self, event: Event, now_s: float) -> tuple[Action, ...]:
        match event:
            case AdmissionRequested():
                return self._admit(event, now_s)
            case MessageReceived(message):
                return self._receive(message, now_s)
            case WakeDue(organisation_id):
                admission = self.admissions_by_organisation_id.get(
                    organisation_id
                )
                return admission.on_wake(now_s) if admission else ()
            case LedgerRead() | LedgerWritten():
                return self._on_ledger(event, now_s)
            case TimePassed():
                return self._time_passed(now_s)
            case LeaseRenewed(expires_at_s):
                self.lease_expires_at_s = expires_at_s
            case ContractsChanged(contracts_by_organisation_id):
                self._contracts_by_organisation_id = (
                    contracts_by_organisation_id
                )
                self._apply_contracts(now_s)
            case InstanceLeaseExpired(instance_id, incarnation):
                return self._on_instance_expired(
                    instance_id, incarnation, now_s
                )
            case DrainStarted():
                self.is_leaving = True
                return self._hand_over_shares(now_s)
        return ()

    def _admit(
        self, event: AdmissionRequested, now_s: float
    ) -> tuple[Action, ...]:
        if not self.has_lease(now_s):
            return (_refuse(event, RefusalReason.NO_LEASE),)
        contract = self._contracts_by_organisation_id.get(
            event.organisation_id
        )
        if contract is None:
            return (_refuse(event, RefusalReason.NO_CONTRACT),)
        admission = self.admissions_by_organisation_id.get(
            event.organisation_id
        )
        if admission is not None:
            return admission.admit(event.request_id, now_s)
        admission = self._join(event.organisation_id, contract, now_s)
        read_actions = admission.ledger_manager.read_ledger(now_s)
        return read_actions + admission.admit(event.request_id, now_s)

    def _join(
        self, organisation_id: OrganisationId, contract: Contract, now_s: float
    ) -> Admission:
        share = self.share_class(
            organisation_id, self.holder_id, contract, now_s
        )
        ledger_manager = self.ledger_manager_class(
            share, self.settings, self._expired_incarnation_prefixes
        )
        admission = Admission(share, ledger_manager, self.settings)
        self.admissions_by_organisation_id[organisation_id] = admission
        return admission

    def _on_ledger(
        self, event: LedgerRead | LedgerWritten, now_s: float
    ) -> tuple[Action, ...]:
        admission = self.admissions_by_organisation_id.get(
            event.organisation_id
        )
        if admission is None:
            return ()
        ledger_manager = admission.ledger_manager
        match event:
            case LedgerRead(_, row):
                actions = ledger_manager.on_read(row, now_s)
            case LedgerWritten(_, outcome):
                actions = ledger_manager.on_written(outcome, now_s)
        return actions + admission.serve_queue(now_s)

    def _receive(
        self, message: RateMessage, now_s: float
    ) -> tuple[Action, ...]:
        if isinstance(message, CloseShare):
            return self._on_close_request(message, now_s)
        admission = self.admissions_by_organisation_id.get(
            message.organisation_id
        )
        if admission is None:
            return ()
        match message:
            case Ask():
                return admission.answer_ask(message, now_s)
            case Grant():
                return admission.accept_grant(message, now_s)
            case GrantReceived():
                admission.on_confirmed(message)
            case ShareClosed():
                return admission.ledger_manager.on_share_closed(message, now_s)
            case EpochOpened(epoch=epoch) if epoch > admission.share.epoch:
                return admission.ledger_manager.read_ledger(now_s)
        return ()

    def _on_close_request(
        self, message: CloseShare, now_s: float
    ) -> tuple[Action, ...]:
        admission = self.admissions_by_organisation_id.get(
            message.organisation_id
        )
        if message.holder == self.holder_id:
            if admission is None:
                return ()
            return admission.ledger_manager.on_close_request(message, now_s)
        if parse_incarnation_prefix(
            message.holder
        ) != parse_incarnation_prefix(self.holder_id):
            return ()
        # An earlier holder id of this incarnation, whose shares were dropped.
        closed = ShareClosed(
            message.organisation_id,
            message.epoch,
            message.settler,
            message.holder,
            0,
        )
        return (Send(message.settler, closed),)

    def _apply_contracts(self, now_s: float) -> None:
        for (
            organisation_id,
            admission,
        ) in self.admissions_by_organisation_id.items():
            contract = self._contracts_by_organisation_id.get(
                organisation_id, ZERO_CONTRACT
            )
            if contract != admission.share.bucket.contract:
                admission.share.bucket.change_contract(contract, now_s)

    def _on_instance_expired(
        self, instance_id: InstanceId, incarnation: Incarnation, now_s: float
    ) -> tuple[Action, ...]:
        self._expired_incarnation_prefixes.add(
            format_incarnation_prefix(instance_id, incarnation)
        )
        actions: list[Action] = []
        for admission in self.admissions_by_organisation_id.values():
            actions += admission.ledger_manager.on_expired(now_s)
        return tuple(actions)

    def _time_passed(self, now_s: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for admission in self.admissions_by_organisation_id.values():
            admission.drop_old_requests(now_s)
            actions += admission.ledger_manager.on_time_passed(now_s)
            actions += admission.consolidate(now_s)
        if self.is_leaving:
            actions += self._hand_over_shares(now_s)
        return tuple(actions)

    def _hand_over_shares(self, now_s: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for admission in self.admissions_by_organisation_id.values():
            actions += admission.hand_over(now_s, leaving=True)
        return tuple(actions)


def _refuse(event: AdmissionRequested, reason: RefusalReason) -> Refuse:
    refusal = RateRefusal(reason, 1.0)
    return Refuse(event.organisation_id, event.request_id, refusal)
