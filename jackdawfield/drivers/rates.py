"""Admit requests through share holders, those of this domain first.

A share holder is an instance that admits requests from its part of an
organisation's rate. The tokens of this module are permits for one request.
"""

import logging
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decisions.rate_events import AdmissionRequested
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.lease_view import LeaseView
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.platform import TableClient
from jackdawfield.drivers.shares import SharesDriver
from jackdawfield.logs import log_event
from jackdawfield.messages.rates import AdmitReply
from jackdawfield.messages.rates import AdmitRequest
from jackdawfield.messages.rates import RateRefusal
from jackdawfield.messages.rates import RefusalReason
from jackdawfield.messages.rates import RequestId
from jackdawfield.metrics import Metric
from jackdawfield.metrics import Registry
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import Member
from jackdawfield.model import OrganisationId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
MAX_LOCAL_HOLDERS = 2
MAX_REMOTE_HOLDERS = 2
REPLY_MARGIN_S = 0.5
HOLDER_BACKOFF_S = 2.0
ALL_ROUTES_LABEL = 'all'
TRY_NEXT_REASONS = frozenset((RefusalReason.NO_LEASE, RefusalReason.NO_SHARE))
IN_DOUBT_REASONS = TRY_NEXT_REASONS | {RefusalReason.NO_HOLDER}


class RatesDriver:
    """Submits requests to share holders and runs this instance's holder."""

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
        table: TableClient,
        links: PeerLinks,
        lease_view: LeaseView,
        metrics: Registry,
    ) -> None:
        self._own_id = InstanceId(settings.instance_id)
        self._domain_id = DomainId(settings.domain_id)
        self._contracts = contracts
        self._links = links
        self._metrics = metrics
        limit_ms = float(settings.limits.ask_limit_ms)
        self._reply_timeout_s = limit_ms / 1000 + REPLY_MARGIN_S
        self._backoff_until_by_id: dict[InstanceId, float] = {}
        self.shares = SharesDriver(
            settings,
            contracts,
            table,
            links,
            lease_view,
            RateSettings(ask_limit_ms=limit_ms),
        )

    def register(self, server: PeerServer) -> None:
        """Register the handlers of other instances' messages."""
        server.handle(AdmitRequest, self._answer)
        self.shares.register(server)

    async def start(self) -> None:
        """Start the share holder."""
        await self.shares.start()

    async def stop(self) -> None:
        """Hand over the shares and stop the share holder."""
        await self.shares.stop()

    async def admit(
        self, organisation_id: OrganisationId, request_id: str
    ) -> Result[None, RateRefusal]:
        """Count a request against its organisation's rate, or refuse it."""
        request = AdmitRequest(organisation_id, RequestId(request_id))
        refusal = await self._ask_holders(request)
        self._count(organisation_id, refusal)
        return Ok(None) if refusal is None else Err(refusal)

    async def _ask_holders(self, request: AdmitRequest) -> RateRefusal | None:
        refusal = RateRefusal(RefusalReason.NO_HOLDER, 1.0)
        for member in self._holders_to_try(request.organisation_id):
            reply = await self._ask_holder(member, request)
            if reply is None:
                self._back_off_from(member.instance_id)
                continue
            if reply.refusal is None:
                return None
            refusal = reply.refusal
            if refusal.reason not in TRY_NEXT_REASONS:
                return refusal
        return refusal

    async def _ask_holder(
        self, member: Member, request: AdmitRequest
    ) -> AdmitReply | None:
        if member.instance_id == self._own_id:
            return await self._answer(request)
        result = await self._links.request(
            member.peer_address, request, self._reply_timeout_s
        )
        match result:
            case Ok(AdmitReply() as reply):
                return reply
        return None

    def _holders_to_try(self, organisation_id: OrganisationId) -> list[Member]:
        now_s = time.monotonic()
        members = [
            member
            for member in self._contracts.members_by_id.values()
            if not member.leaving
        ]
        reachable = [
            member
            for member in members
            if self._backoff_until_by_id.get(member.instance_id, 0.0) <= now_s
        ]
        return rank_holders(
            organisation_id, self._domain_id, reachable or members
        )

    def _back_off_from(self, instance_id: InstanceId) -> None:
        log_event(LOG, 'holder_unreached', instance=instance_id)
        self._backoff_until_by_id[instance_id] = (
            time.monotonic() + HOLDER_BACKOFF_S
        )

    async def _answer(self, request: AdmitRequest) -> AdmitReply:
        refusal = await self.shares.admit(
            AdmissionRequested(request.organisation_id, request.request_id)
        )
        return AdmitReply(request.organisation_id, request.request_id, refusal)

    def _count(
        self, organisation_id: OrganisationId, refusal: RateRefusal | None
    ) -> None:
        metric = Metric.ADMITTED
        if refusal is not None:
            metric = Metric.REFUSED
            if is_in_doubt(refusal):
                metric = Metric.REFUSED_IN_DOUBT
        self._metrics.count(
            metric, organisation_id, ALL_ROUTES_LABEL, time.time()
        )


def rank_holders(
    organisation_id: OrganisationId,
    domain_id: DomainId,
    members: list[Member],
) -> list[Member]:
    """Return the members to ask, in rendezvous order.

    These are MAX_LOCAL_HOLDERS of the failure domain, then the first of each
    other domain, at most MAX_REMOTE_HOLDERS.
    """
    ranked = sorted(
        members,
        key=lambda member: rendezvous_score(
            organisation_id, member.instance_id
        ),
        reverse=True,
    )
    local = [member for member in ranked if member.domain_id == domain_id]
    first_by_domain: dict[DomainId, Member] = {}
    for member in ranked:
        if member.domain_id != domain_id:
            first_by_domain.setdefault(member.domain_id, member)
    remote = list(first_by_domain.values())
    return [*local[:MAX_LOCAL_HOLDERS], *remote[:MAX_REMOTE_HOLDERS]]


def is_in_doubt(refusal: RateRefusal) -> bool:
    """Return whether a refused request may have been within the rate.

    It may if no holder with a share answered, or if the tokens that holders
    reported add up to one or are not all known.
    """
    if refusal.reason in IN_DOUBT_REASONS:
        return True
    tokens_left = [answer.tokens_left for answer in refusal.answers]
    if any(tokens is None for tokens in tokens_left):
        return True
    return sum(tokens or 0.0 for tokens in tokens_left) >= 1
