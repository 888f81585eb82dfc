"""Grant tokens of the rates that this instance owns, and hand them over."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
import logging

from jackdawfield.background import BackgroundTasks
from jackdawfield.decisions.buckets import Contract
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.failure_detector import FailureDetector
from jackdawfield.gateway.fleet.failure_detector import PolledView
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.ownership_records import LostOwnership
from jackdawfield.gateway.fleet.seat_holder import SeatHolder
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import PromisedLimits
from jackdawfield.gateway.rates.tokens import contract_from
from jackdawfield.gateway.rates.tokens import fallback_rate
from jackdawfield.gateway.rates.tokens import FallbackTokens
from jackdawfield.gateway.rates.tokens import RateBucket
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_rates import AskFallback
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import FallbackGranted
from jackdawfield.messages.fleet_rates import HandedOver
from jackdawfield.messages.fleet_rates import HandOver
from jackdawfield.messages.fleet_rates import TokensGranted
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
# A received hand-over is kept for this long, as it may arrive before the view
# that makes this instance the owner.
HAND_OVER_VALID_S = 3.0
HAND_OVER_TIMEOUT_S = 0.5
# Interval between polls. Polling also starts this long before the last read of
# the table ceases to confirm the view.
VIEW_POLL_S = 0.5
# Interval while ownerships wait for the other members.
PENDING_POLL_S = 0.15


@dataclass(frozen=True, slots=True)
class _OwnedBucket:
    """Holds a bucket and when the ownership that it belongs to began."""

    bucket: RateBucket
    active_since_s: float


@dataclass(frozen=True, slots=True)
class _ReceivedHandOver:
    message: HandOver
    valid_until_s: float


class RateOwner:
    """Holds the contracts, and the buckets of the rates this instance owns."""

    def __init__(
        self,
        bounds: PromisedLimits,
        members: Members,
        holder: SeatHolder,
        detector: FailureDetector,
        links: PeerLinks,
    ) -> None:
        self._bounds = bounds
        self._members = members
        self._holder = holder
        self._detector = detector
        self._links = links
        self.ownership = Ownership(members.seat_count)
        self.contracts_by_organisation: dict[OrganisationId, Contract] = {}
        self._buckets_by_organisation: dict[OrganisationId, _OwnedBucket] = {}
        self._received_by_organisation: dict[
            OrganisationId, _ReceivedHandOver
        ] = {}
        self._fallback_by_organisation: dict[
            OrganisationId, FallbackTokens
        ] = {}
        self._tasks = BackgroundTasks()
        members.add_listener(self._on_members_changed)

    def register(self, server: PeerServer) -> None:
        """Handle token requests and hand-overs of other instances."""
        self._detector.released_incarnations = (
            self.ownership.released_incarnations
        )
        server.handle(AskTokens, self._answer_ask)
        server.handle(AskFallback, self._answer_fallback)
        server.handle(HandOver, self._answer_hand_over)

    def configure(self, configuration: FleetConfiguration) -> None:
        """Apply the contracts of a new configuration."""
        before = self.contracts_by_organisation
        self.contracts_by_organisation = {
            organisation.organisation_id: contract_from(organisation)
            for organisation in configuration.organisations_by_id.values()
            # A rate of 0 means no limit.
            if organisation.rate_per_s > 0
        }
        for (
            organisation_id,
            contract,
        ) in self.contracts_by_organisation.items():
            if before.get(organisation_id) != contract:
                log_event(
                    LOG,
                    'contract',
                    organisation=organisation_id,
                    rate_per_s=contract.rate_per_s,
                    burst=contract.burst,
                )
        now_s = boot_time_s()
        for organisation_id, owned in self._buckets_by_organisation.items():
            new_contract = self.contracts_by_organisation.get(organisation_id)
            if new_contract is not None:
                owned.bucket.change_contract(new_contract, now_s)
        self._send_hand_overs(
            self.ownership.set_organisations(
                self.contracts_by_organisation, now_s
            )
        )

    def _on_members_changed(self) -> None:
        now_s = boot_time_s()
        # SeatHolder determines both flags when this instance takes a seat.
        self.ownership.inherited = self._holder.inherited
        self.ownership.first_start = self._holder.is_first_start
        members = self._members
        self._send_hand_overs(
            self.ownership.set_members(
                members.rows_by_seat,
                members.own_seat,
                members.version,
                now_s,
            )
        )
        for organisation_id in list(self._received_by_organisation):
            self._apply_hand_over(organisation_id, now_s)

    async def poll_views(self) -> None:
        """Poll the members' view versions while they are needed.

        They confirm this instance's view while the table cannot be read. A
        majority with this view is awaited by pending ownerships, and by the
        writes that record which ownerships have expired. Never returns.
        """
        ownership = self.ownership
        while True:
            await asyncio.sleep(
                PENDING_POLL_S if ownership.has_pending else VIEW_POLL_S
            )
            own_seat = self._members.own_seat
            if own_seat is None:
                continue
            is_recent = ownership.is_recently_read(boot_time_s() + VIEW_POLL_S)
            if is_recent and not ownership.awaits_expiry:
                continue
            other_seats = [
                seat_id
                for seat_id, row in self._members.rows_by_seat.items()
                if seat_id != own_seat and not row.left
            ]
            polled = await asyncio.gather(
                *(self._detector.poll_view(i) for i in other_seats)
            )
            self._record_round(
                {
                    seat_id: view
                    for seat_id, view in zip(other_seats, polled, strict=True)
                    if view is not None
                }
            )

    def _record_round(
        self, views_by_seat: Mapping[SeatId, PolledView]
    ) -> None:
        for polled in views_by_seat.values():
            for incarnation in polled.released:
                self.mark_leaving(incarnation)
        now_s = boot_time_s()
        for seat_id, polled in views_by_seat.items():
            if polled.is_holder and polled.view is not None:
                self._detector.record_answer(seat_id)
                self.ownership.record_view_report(
                    seat_id,
                    polled.incarnation,
                    polled.asked_at_s,
                    polled.view.version,
                    now_s,
                )
        self.ownership.record_round(
            {seat: polled.view for seat, polled in views_by_seat.items()},
            now_s,
        )

    async def _answer_ask(self, ask: AskTokens) -> TokensGranted:
        return self.grant(ask)

    def grant(self, ask: AskTokens) -> TokensGranted:
        """Grant tokens, or return an inactive grant without any.

        It is inactive if the organisation has no rate limit, if this instance
        is leaving, or if its ownership is not active now.
        """
        now_s = boot_time_s()
        organisation_id = ask.organisation_id
        contract = self.contracts_by_organisation.get(organisation_id)
        if contract is None:
            return TokensGranted(False)
        if self._holder.is_leaving:
            return TokensGranted(False, leaving=self._members.incarnation)
        if not self.ownership.may_grant(organisation_id, now_s):
            return TokensGranted(False)
        since_s = self.ownership.active_since_s(organisation_id)
        owned = self._buckets_by_organisation.get(organisation_id)
        # After an earlier ownership ended, another owner may have granted
        # every token, so a new ownership begins with an empty bucket, which
        # has been refilled since.
        if owned is None or owned.active_since_s != since_s:
            owned = _OwnedBucket(RateBucket(contract, 0.0, since_s), since_s)
            self._buckets_by_organisation[organisation_id] = owned
            log_event(LOG, 'rate_owned', organisation=organisation_id)
        return owned.bucket.grant(ask, now_s)

    async def _answer_fallback(self, ask: AskFallback) -> FallbackGranted:
        return FallbackGranted(self.grant_fallback(ask))

    def grant_fallback(self, ask: AskFallback) -> int:
        """Grant tokens of this member's part of the tolerated overshoot.

        Only the holder of a seat has such a part.
        """
        organisation_id = ask.organisation_id
        contract = self.contracts_by_organisation.get(organisation_id)
        own_seat = self._members.own_seat
        if contract is None or own_seat is None:
            return 0
        now_s = boot_time_s()
        tokens = self._fallback_by_organisation.get(organisation_id)
        if tokens is None:
            tokens = FallbackTokens(now_s)
            self._fallback_by_organisation[organisation_id] = tokens
        rate = fallback_rate(contract, self._bounds, self._members.seat_count)
        return tokens.take(ask.count, rate, now_s)

    def hand_over_all(self) -> None:
        """Hand over every active ownership before this instance stops.

        The next owner can then grant tokens without waiting for a takeover.
        """
        self._send_hand_overs(self.ownership.release_all(boot_time_s()))

    def _send_hand_overs(self, lost: list[LostOwnership]) -> None:
        """Send the remaining tokens of lost ownerships to the new owners.

        The event is logged before the message is sent, and also if the new
        owner has no row and nothing is sent.
        """
        for lost_ownership in lost:
            owned = self._buckets_by_organisation.pop(
                lost_ownership.organisation_id, None
            )
            tokens = owned.bucket.tokens if owned is not None else 0.0
            row = self._members.rows_by_seat.get(lost_ownership.new_owner)
            log_event(
                LOG,
                'rate_handed_over',
                organisation=lost_ownership.organisation_id,
                new_owner=lost_ownership.new_owner,
                tokens=tokens,
            )
            if row is None:
                continue
            message = HandOver(
                lost_ownership.organisation_id,
                self._members.own_id,
                tokens,
                lost_ownership.version,
                lost_ownership.leaving,
            )
            self._tasks.spawn(
                self._links.request(row.address, message, HAND_OVER_TIMEOUT_S)
            )

    async def _answer_hand_over(self, message: HandOver) -> HandedOver:
        now_s = boot_time_s()
        self._received_by_organisation[message.organisation_id] = (
            _ReceivedHandOver(message, now_s + HAND_OVER_VALID_S)
        )
        if message.leaving:
            self.mark_leaving(message.leaving)
        # Unless it was applied just above.
        if message.organisation_id in self._received_by_organisation:
            self._apply_hand_over(message.organisation_id, now_s)
        return HandedOver()

    def mark_leaving(self, incarnation: str) -> None:
        """Ask a stopping member's successors for tokens from now on.

        If this instance is one, hand-overs that wait for it are applied.
        """
        now_s = boot_time_s()
        self._send_hand_overs(self.ownership.mark_leaving(incarnation, now_s))
        for organisation_id in list(self._received_by_organisation):
            self._apply_hand_over(organisation_id, now_s)

    def _apply_hand_over(
        self, organisation_id: OrganisationId, now_s: float
    ) -> None:
        """Apply a received hand-over if this instance is the owner by now.

        It is discarded once it has expired, if another was the owner since,
        or if the organisation has no rate limit.
        """
        received = self._received_by_organisation[organisation_id]
        contract = self.contracts_by_organisation.get(organisation_id)
        version, leaving = received.message.version, received.message.leaving
        is_stale = self.ownership.is_stale(organisation_id, version, leaving)
        is_late = now_s >= received.valid_until_s
        if is_late or contract is None or is_stale:
            del self._received_by_organisation[organisation_id]
            self._log_discarded(received.message, is_stale, is_late)
            return
        tokens = received.message.tokens
        if self.ownership.may_grant(organisation_id, now_s):
            # What was granted since this ownership began is taken off.
            owned = self._buckets_by_organisation.get(organisation_id)
            tokens += owned.bucket.tokens if owned is not None else 0.0
        if not self.ownership.take_over(
            organisation_id, version, now_s, leaving
        ):
            return
        del self._received_by_organisation[organisation_id]
        bucket = RateBucket(contract, tokens, now_s)
        self._buckets_by_organisation[organisation_id] = _OwnedBucket(
            bucket, now_s
        )
        log_event(
            LOG, 'rate_owned', organisation=organisation_id, tokens=tokens
        )

    def _log_discarded(
        self, message: HandOver, is_stale: bool, is_late: bool
    ) -> None:
        """Log a hand-over that is not applied, and why.

        If it is neither stale nor late, the organisation has no rate limit.
        """
        log_event(
            LOG,
            'hand_over_discarded',
            organisation=message.organisation_id,
            sender=message.sender,
            version=message.version,
            own_version=self.ownership.version,
            stale=is_stale,
            late=is_late,
        )
