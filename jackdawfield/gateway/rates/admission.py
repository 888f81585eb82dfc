"""Admit requests within their organisations' fleet-wide rates."""

import asyncio
from dataclasses import dataclass
import logging
import time

from result import Ok

from jackdawfield.decisions.buckets import Contract
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.failure_detector import FailureDetector
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.rates.owner import RateOwner
from jackdawfield.gateway.rates.tokens import LocalTokens
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_rates import AskFallback
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import FallbackGranted
from jackdawfield.messages.fleet_rates import TokensGranted
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
# Several round trips to another region.
ASK_TIMEOUT_S = 0.2
# After the owner was not reached, requests use the fallback rate for this
# long instead of waiting for another attempt.
OWNER_RETRY_S = 0.3
# Delays before the retries. They cover a hand-over, which takes a change of
# the table of members and a message.
ASK_RETRY_DELAYS_S = (0.03, 0.06, 0.12)


@dataclass(slots=True)
class _Waiter:
    begins: bool
    done: asyncio.Future[Refusal | None]


class _Account:
    """Holds an organisation's local tokens and its waiting requests."""

    def __init__(self, now_s: float) -> None:
        self.local_tokens = LocalTokens(now_s)
        self.waiters: list[_Waiter] = []
        self.task: asyncio.Task[None] | None = None
        self.owner_unreachable_until_s = 0.0
        # Whether the owner answered the last time that it was asked.
        self.is_owner_reached = True


class Admission:
    """Admits requests within their organisations' rates."""

    def __init__(
        self,
        members: Members,
        detector: FailureDetector,
        links: PeerLinks,
        owner: RateOwner,
    ) -> None:
        self._members = members
        self._detector = detector
        self._links = links
        self._rate_owner = owner
        self._accounts_by_id: dict[OrganisationId, _Account] = {}

    async def admit(self, call: Call) -> Refusal | None:
        """Take a token for a request, or return its refusal."""
        organisation_id = call.organisation_id
        if organisation_id is None or not self._needs_token(call):
            return None
        now_s = boot_time_s()
        account = self._accounts_by_id.get(organisation_id)
        if account is None:
            account = _Account(now_s)
            self._accounts_by_id[organisation_id] = account
        account.local_tokens.demand.record_arrival(now_s)
        begins = call.begins_program
        if not begins and account.local_tokens.take_spare(now_s):
            return None
        early_refusal = self._recent_refusal(account, begins, now_s)
        if early_refusal is not None:
            return early_refusal
        return await self._wait_for_token(organisation_id, account, begins)

    def _needs_token(self, call: Call) -> bool:
        contracts = self._rate_owner.contracts_by_organisation
        return not call.route.is_open and call.organisation_id in contracts

    def return_token(self, call: Call) -> None:
        """Return the token of a request that has not run, as a spare one.

        It expires as if it had been granted when the request arrived.
        """
        if call.organisation_id is None or not self._needs_token(call):
            return
        account = self._accounts_by_id.get(call.organisation_id)
        if account is None:
            return
        now_s = boot_time_s()
        age_s = time.monotonic() - call.arrived_at_s
        account.local_tokens.add_spare(1, now_s - age_s, now_s)

    def _recent_refusal(
        self, account: _Account, begins: bool, now_s: float
    ) -> Refusal | None:
        tokens = account.local_tokens
        until_s = (
            tokens.beginning_refused_until_s
            if begins
            else tokens.continuing_refused_until_s
        )
        if now_s >= until_s:
            return None
        return Refusal(429, 'over the rate', until_s - now_s)

    async def _wait_for_token(
        self, organisation_id: OrganisationId, account: _Account, begins: bool
    ) -> Refusal | None:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(begins, loop.create_future())
        account.waiters.append(waiter)
        if account.task is None:
            account.task = asyncio.create_task(
                self._serve_waiters(organisation_id, account)
            )
        return await waiter.done

    async def _serve_waiters(
        self, organisation_id: OrganisationId, account: _Account
    ) -> None:
        try:
            while account.waiters:
                waiters, account.waiters = account.waiters, []
                await self._serve_batch(organisation_id, account, waiters)
        finally:
            account.task = None

    async def _serve_batch(
        self,
        organisation_id: OrganisationId,
        account: _Account,
        waiters: list[_Waiter],
    ) -> None:
        beginning = sum(waiter.begins for waiter in waiters)
        now_s = boot_time_s()
        ask = AskTokens(
            organisation_id,
            len(waiters) - beginning,
            beginning,
            account.local_tokens.spare_to_request(now_s),
        )
        granted = None
        if now_s >= account.owner_unreachable_until_s:
            granted = await self._ask_with_retries(
                ask, account.is_owner_reached
            )
        now_s = boot_time_s()
        contract = self._rate_owner.contracts_by_organisation.get(
            organisation_id
        )
        if contract is None:
            resolve(waiters, None)
            return
        account.is_owner_reached = granted is not None and granted.active
        if granted is None or not granted.active:
            if now_s >= account.owner_unreachable_until_s:
                account.owner_unreachable_until_s = now_s + OWNER_RETRY_S
            await self._admit_by_fallback(organisation_id, waiters)
            return
        account.local_tokens.add_spare(granted.spare, now_s, now_s)
        self._distribute(
            organisation_id, account, contract, waiters, granted, now_s
        )

    async def _admit_by_fallback(
        self, organisation_id: OrganisationId, waiters: list[_Waiter]
    ) -> None:
        """Admit what a member's fallback tokens allow, running programs first.

        The others are refused.
        """
        ask = AskFallback(organisation_id, len(waiters))
        admitted = await self._ask_fallback(ask)
        waiters.sort(key=lambda waiter: waiter.begins)
        resolve(waiters[:admitted], None)
        refusal = Refusal(503, 'owner of the rate not reached', OWNER_RETRY_S)
        resolve(waiters[admitted:], refusal)

    async def _ask_fallback(self, ask: AskFallback) -> int:
        if self._members.own_seat is not None:
            return self._rate_owner.grant_fallback(ask)
        seat_id = self._members.nearest_seat()
        if seat_id is None:
            return 0
        address = self._members.rows_by_seat[seat_id].address
        found = await self._links.request(address, ask, ASK_TIMEOUT_S)
        match found:
            case Ok(FallbackGranted(count)):
                return count
        return 0

    def _distribute(
        self,
        organisation_id: OrganisationId,
        account: _Account,
        contract: Contract,
        waiters: list[_Waiter],
        granted: TokensGranted,
        now_s: float,
    ) -> None:
        """Admit requests after their tokens' delays and refuse the others."""
        delays_by_begins = {
            False: list(granted.continuing_delays_s),
            True: list(granted.beginning_delays_s),
        }
        refused = 0
        for waiter in waiters:
            delays = delays_by_begins[waiter.begins]
            if delays:
                resolve_after(waiter, delays.pop(0))
                continue
            log_event(
                LOG,
                'over_rate',
                organisation=organisation_id,
                begins=waiter.begins,
                waiting=len(waiters),
                retry_after_s=round(granted.retry_after_s, 3),
            )
            # Spread the retries of requests that are refused together.
            retry_s = granted.retry_after_s + refused / contract.rate_per_s
            refused += 1
            until_s = now_s + granted.retry_after_s
            account.local_tokens.beginning_refused_until_s = until_s
            if not waiter.begins:
                account.local_tokens.continuing_refused_until_s = until_s
            resolve([waiter], Refusal(429, 'over the rate', retry_s))

    async def _ask_with_retries(
        self, ask: AskTokens, was_reached: bool
    ) -> TokensGranted | None:
        """Ask the owner, with retries while the ownership is moving.

        One that was not reached before is asked once.
        """
        for retry_delay_s in ASK_RETRY_DELAYS_S if was_reached else ():
            granted = await self._ask_owner(ask)
            if granted is not None and granted.active:
                return granted
            await asyncio.sleep(retry_delay_s)
        return await self._ask_owner(ask)

    async def _ask_owner(self, ask: AskTokens) -> TokensGranted | None:
        owner_id = self._rate_owner.ownership.owner_of(ask.organisation_id)
        if owner_id is None:
            return None
        if owner_id == self._members.own_seat:
            return self._rate_owner.grant(ask)
        row = self._members.rows_by_seat.get(owner_id)
        if row is None:
            return None
        found = await self._links.request(row.address, ask, ASK_TIMEOUT_S)
        match found:
            case Ok(TokensGranted() as granted):
                self._detector.record_answer(owner_id)
                if granted.leaving == row.incarnation:
                    return await self._ask_successor(ask, owner_id, granted)
                return granted
        self._detector.record_no_answer(owner_id, boot_time_s())
        log_event(
            LOG,
            'rate_owner_unreached',
            organisation=ask.organisation_id,
            owner=owner_id,
        )
        return None

    async def _ask_successor(
        self, ask: AskTokens, left_id: SeatId, granted: TokensGranted
    ) -> TokensGranted | None:
        """Ask the next owner in place of one that stops.

        Return the grant of the one that stops if no other is the owner.
        """
        self._rate_owner.mark_leaving(granted.leaving)
        owner_id = self._rate_owner.ownership.owner_of(ask.organisation_id)
        if owner_id == left_id:
            return granted
        return await self._ask_owner(ask)


def resolve_after(waiter: _Waiter, delay_s: float) -> None:
    """Admit a request after the delay of its token."""
    if delay_s <= 0:
        resolve([waiter], None)
        return
    loop = asyncio.get_running_loop()
    loop.call_later(delay_s, resolve, [waiter], None)


def resolve(waiters: list[_Waiter], refusal: Refusal | None) -> None:
    """Admit waiting requests, or refuse them if there is a refusal."""
    for waiter in waiters:
        if not waiter.done.done():
            waiter.done.set_result(refusal)
