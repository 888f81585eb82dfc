"""Counts requests against their organisations' rates over the fleet."""

import asyncio
from dataclasses import dataclass
import logging

from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.decisions.buckets import Contract
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.members import Members
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.ownership import Lost
from jackdawfield.gateway.ownership import Ownership
from jackdawfield.gateway.rates import contract_of
from jackdawfield.gateway.rates import RateBucket
from jackdawfield.gateway.rates import RateStock
from jackdawfield.gateway.rates import unasked_rate
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import HandedOver
from jackdawfield.messages.fleet_rates import HandOver
from jackdawfield.messages.fleet_rates import TokensGranted
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
# Several times the way to another region and back.
ASK_TIMEOUT_S = 0.2
# After an unanswered ask, requests do not wait for another this long.
UNREACHED_S = 0.3
# Pauses before an ask is repeated; a hand-over takes a change of the table
# and a message.
ASK_AGAIN_S = (0.03, 0.06, 0.12)
# A hand-over may come before the view that makes this instance the owner.
HAND_OVER_KEPT_S = 3.0
HAND_OVER_TIMEOUT_S = 0.5
ATTEST_S = 0.5


@dataclass(slots=True)
class _Waiter:
    begins: bool
    done: asyncio.Future[Refusal | None]


class _Account:
    """Holds an organisation's stock here and who waits for tokens."""

    def __init__(self, now_s: float) -> None:
        self.stock = RateStock(now_s)
        self.waiters: list[_Waiter] = []
        self.task: asyncio.Task[None] | None = None
        self.unreached_until_s = 0.0


class Admission:
    """Admits requests within their organisations' rates."""

    def __init__(
        self, settings: GatewaySettings, members: Members, links: PeerLinks
    ) -> None:
        self._own_id = settings.instance_id
        self._bounds = settings.bounds
        self._members = members
        self._links = links
        self.ownership = Ownership(settings.instance_id)
        self._contracts_by_id: dict[OrganisationId, Contract] = {}
        self._accounts_by_id: dict[OrganisationId, _Account] = {}
        self._buckets_by_id: dict[OrganisationId, RateBucket] = {}
        self._handed_by_id: dict[OrganisationId, tuple[float, float]] = {}
        self._tasks = BackgroundTasks()
        members.listen(self._on_members)

    def register(self, server: PeerServer) -> None:
        """Answer the messages of other instances."""
        server.handle(AskTokens, self._answer_ask)
        server.handle(HandOver, self._answer_hand_over)

    def configure(self, configuration: FleetConfiguration) -> None:
        """Follow the contracts of the configuration in force."""
        before = self._contracts_by_id
        self._contracts_by_id = {
            organisation.organisation_id: contract_of(organisation)
            for organisation in configuration.organisations_by_id.values()
            if organisation.rate_per_s > 0
        }
        for organisation_id, contract in self._contracts_by_id.items():
            if before.get(organisation_id) != contract:
                log_event(
                    LOG,
                    'contract',
                    organisation=organisation_id,
                    rate_per_s=contract.rate_per_s,
                    burst=contract.burst,
                )
        now_s = boot_time_s()
        for organisation_id, bucket in self._buckets_by_id.items():
            new_contract = self._contracts_by_id.get(organisation_id)
            if new_contract is not None:
                bucket.follow(new_contract, now_s)
        self._hand_over(
            self.ownership.set_organisations(self._contracts_by_id, now_s)
        )

    def _on_members(self) -> None:
        now_s = boot_time_s()
        self.ownership.inherited = self._members.inherited
        self.ownership.first_start = self._members.first_start
        self._hand_over(
            self.ownership.set_members(
                self._members.by_id, self._members.version, now_s
            )
        )
        for organisation_id in list(self._handed_by_id):
            self._accept_handed(organisation_id, now_s)

    async def keep_attested(self) -> None:
        """Ask the members of their views while rights depend on it."""
        while True:
            await asyncio.sleep(ATTEST_S)
            ownership = self.ownership
            read = ownership.just_read(boot_time_s() + ATTEST_S)
            settling = self._members.unsettled and not ownership.known
            if read and not ownership.needs_attestations and not settling:
                continue
            members = self._members.by_id.items()
            asked = [
                instance_id
                for instance_id, row in members
                if instance_id != self._own_id and not row.left
            ]
            await asyncio.gather(*(self._ask_view(i) for i in asked))

    async def _ask_view(self, instance_id: InstanceId) -> None:
        asked_at_s = boot_time_s()
        pong = await self._members.ping(instance_id)
        if pong is not None:
            self._members.note_answer(instance_id)
            self.ownership.attested(
                instance_id, asked_at_s, pong.members_version, boot_time_s()
            )

    # Admission of this instance's requests

    async def admit(self, call: Call) -> Refusal | None:
        """Count a request, or return its refusal."""
        organisation_id = call.organisation_id
        if organisation_id is None or call.route.open:
            return None
        contract = self._contracts_by_id.get(organisation_id)
        if contract is None:
            return None
        now_s = boot_time_s()
        account = self._accounts_by_id.get(organisation_id)
        if account is None:
            account = _Account(now_s)
            self._accounts_by_id[organisation_id] = account
        account.stock.demand.count(now_s)
        begins = begins_program(call)
        if not begins and account.stock.take(now_s):
            return None
        at_once = self._known(account, contract, begins, now_s)
        if at_once is not None:
            return at_once
        if now_s < account.unreached_until_s:
            return self._unasked(account, contract, now_s)
        return await self._wait(organisation_id, account, begins)

    def give_back(self, call: Call) -> None:
        """Return the token of a request that has not run."""
        if call.organisation_id is None:
            return
        account = self._accounts_by_id.get(call.organisation_id)
        if account is not None:
            account.stock.put(1, boot_time_s())

    def _known(
        self,
        account: _Account,
        contract: Contract,
        begins: bool,
        now_s: float,
    ) -> Refusal | None:
        stock = account.stock
        until_s = stock.begin_until_s if begins else stock.empty_until_s
        if now_s >= until_s:
            return None
        return Refusal(429, 'over the rate', until_s - now_s)

    def _unasked(
        self, account: _Account, contract: Contract, now_s: float
    ) -> Refusal | None:
        instances = len(self._members.others_by_id) + 1
        unasked = unasked_rate(contract, self._bounds, instances)
        if account.stock.take_unasked(unasked, now_s):
            return None
        return Refusal(503, 'owner of the rate not reached', UNREACHED_S)

    async def _wait(
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
        ask = AskTokens(
            organisation_id,
            len(waiters) - beginning,
            beginning,
            account.stock.spare_wanted(boot_time_s()),
        )
        granted = await self._ask_patiently(ask)
        now_s = boot_time_s()
        contract = self._contracts_by_id.get(organisation_id)
        if contract is None:
            settle(waiters, None)
            return
        if granted is None or not granted.active:
            account.unreached_until_s = now_s + UNREACHED_S
            for waiter in waiters:
                settle([waiter], self._unasked(account, contract, now_s))
            return
        account.stock.put(granted.spare, now_s)
        self._distribute(
            organisation_id, account, contract, waiters, granted, now_s
        )

    def _distribute(
        self,
        organisation_id: OrganisationId,
        account: _Account,
        contract: Contract,
        waiters: list[_Waiter],
        granted: TokensGranted,
        now_s: float,
    ) -> None:
        delays_by_kind = {
            False: list(granted.continuing_delays_s),
            True: list(granted.beginning_delays_s),
        }
        refused = 0
        for waiter in waiters:
            delays = delays_by_kind[waiter.begins]
            if delays:
                settle_after(waiter, delays.pop(0))
                continue
            log_event(
                LOG,
                'over_rate',
                organisation=organisation_id,
                begins=waiter.begins,
                waiting=len(waiters),
                retry_after_s=round(granted.retry_after_s, 3),
            )
            # Those refused together come back one after another.
            retry_s = granted.retry_after_s + refused / contract.rate_per_s
            refused += 1
            until_s = now_s + granted.retry_after_s
            account.stock.begin_until_s = until_s
            if not waiter.begins:
                account.stock.empty_until_s = until_s
            settle([waiter], Refusal(429, 'over the rate', retry_s))

    async def _ask_patiently(self, ask: AskTokens) -> TokensGranted | None:
        """Ask again while a rate moves from one owner to the next."""
        for pause_s in ASK_AGAIN_S:
            granted = await self._ask(ask)
            if granted is not None and granted.active:
                return granted
            await asyncio.sleep(pause_s)
        return await self._ask(ask)

    async def _ask(self, ask: AskTokens) -> TokensGranted | None:
        owner_id = self.ownership.owner_of(ask.organisation_id)
        if owner_id == self._own_id:
            return self._grant(ask)
        row = self._members.by_id.get(owner_id) if owner_id else None
        if owner_id is None or row is None:
            return None
        found = await self._links.request(row.address, ask, ASK_TIMEOUT_S)
        match found:
            case Ok(TokensGranted() as granted):
                self._members.note_answer(owner_id)
                return granted
        self._members.note_silence(owner_id, boot_time_s())
        log_event(
            LOG,
            'rate_owner_unreached',
            organisation=ask.organisation_id,
            owner=owner_id,
        )
        return None

    # Rates that this instance owns

    async def _answer_ask(self, ask: AskTokens) -> TokensGranted:
        return self._grant(ask)

    def _grant(self, ask: AskTokens) -> TokensGranted:
        now_s = boot_time_s()
        organisation_id = ask.organisation_id
        contract = self._contracts_by_id.get(organisation_id)
        if contract is None:
            return TokensGranted(False)
        if self._members.leaving:
            return TokensGranted(False)
        if not self.ownership.may_grant(organisation_id, now_s):
            return TokensGranted(False)
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            since_s = self.ownership.active_since_s(organisation_id)
            bucket = RateBucket(contract, 0.0, since_s)
            self._buckets_by_id[organisation_id] = bucket
            log_event(LOG, 'rate_owned', organisation=organisation_id)
        return bucket.grant(ask, now_s)

    def _hand_over(self, lost: list[Lost]) -> None:
        for item in lost:
            bucket = self._buckets_by_id.pop(item.organisation_id, None)
            tokens = bucket.tokens if bucket is not None else 0.0
            row = self._members.by_id.get(item.new_owner)
            log_event(
                LOG,
                'rate_handed_over',
                organisation=item.organisation_id,
                new_owner=item.new_owner,
                tokens=tokens,
            )
            if row is None:
                continue
            message = HandOver(item.organisation_id, self._own_id, tokens)
            self._tasks.spawn(
                self._links.request(row.address, message, HAND_OVER_TIMEOUT_S)
            )

    async def _answer_hand_over(self, message: HandOver) -> HandedOver:
        now_s = boot_time_s()
        until_s = now_s + HAND_OVER_KEPT_S
        handed = (message.tokens, until_s)
        self._handed_by_id[message.organisation_id] = handed
        self._accept_handed(message.organisation_id, now_s)
        return HandedOver()

    def _accept_handed(
        self, organisation_id: OrganisationId, now_s: float
    ) -> None:
        tokens, until_s = self._handed_by_id[organisation_id]
        contract = self._contracts_by_id.get(organisation_id)
        if now_s >= until_s or contract is None:
            del self._handed_by_id[organisation_id]
            return
        if not self.ownership.take_over(organisation_id, now_s):
            return
        del self._handed_by_id[organisation_id]
        bucket = RateBucket(contract, tokens, now_s)
        self._buckets_by_id[organisation_id] = bucket
        log_event(
            LOG, 'rate_owned', organisation=organisation_id, tokens=tokens
        )


def begins_program(call: Call) -> bool:
    """Return whether a request begins a program or belongs to none."""
    if call.headers.program_id is None:
        return True
    return call.route.keeps_turns and call.headers.previous_turn is None


def settle_after(waiter: _Waiter, delay_s: float) -> None:
    """Admit a request once its token has flowed in."""
    if delay_s <= 0:
        settle([waiter], None)
        return
    loop = asyncio.get_running_loop()
    loop.call_later(delay_s, settle, [waiter], None)


def settle(waiters: list[_Waiter], refusal: Refusal | None) -> None:
    """Answer those that wait for tokens."""
    for waiter in waiters:
        if not waiter.done.done():
            waiter.done.set_result(refusal)
