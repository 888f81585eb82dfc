"""Ask the owners of slots for those that this instance's calls need."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from enum import Enum
import itertools
import logging
import time
from typing import Any
from typing import cast

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.servers.call_queue import MAX_QUEUE_WAIT_S
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.slots.ask_target import AskTarget
from jackdawfield.gateway.slots.bounded_log import BoundedLog
from jackdawfield.gateway.slots.changes import ChangeSender
from jackdawfield.gateway.slots.demands import describe_call
from jackdawfield.gateway.slots.demands import estimate_bytes
from jackdawfield.gateway.slots.demands import Home
from jackdawfield.gateway.slots.held import HeldSlot
from jackdawfield.gateway.slots.held import HeldSlots
from jackdawfield.gateway.slots.owner import SlotOwner
from jackdawfield.gateway.slots.owner_choice import Owner
from jackdawfield.gateway.slots.owner_choice import OwnerChoice
from jackdawfield.gateway.slots.owner_choice import STOPPING_AVOID_S
from jackdawfield.gateway.slots.weights import OrganisationWeights
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import CallDemand
from jackdawfield.messages.fleet_slots import EndedSlot
from jackdawfield.messages.fleet_slots import SlotAnswer
from jackdawfield.messages.fleet_slots import SlotDenied
from jackdawfield.messages.fleet_slots import SlotElsewhere
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.messages.fleet_slots import SlotGranted
from jackdawfield.messages.fleet_slots import SlotNotOwned
from jackdawfield.messages.fleet_slots import SlotOwnerLeft
from jackdawfield.messages.fleet_slots import SlotOwnerStops
from jackdawfield.messages.fleet_slots import SlotQueued
from jackdawfield.model import DomainId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
# How long an owner's answer is waited for, and further ones beyond the time
# that SlotQueued tells; then the same for an owner of another domain.
ANSWER_TIMEOUT_S = 0.05
OTHER_DOMAIN_TIMEOUT_S = 0.1
# Times that owners are asked for one call at most; stopping ones count too.
MAX_ASKS = 7
# Time between two renewals of queued requests and of slots in use.
RENEW_INTERVAL_S = 0.5


class Fallback(Enum):
    """Lists why this instance decides for a call by itself."""

    NO_OWNER = 'no_owner'
    UNREACHED = 'unreached'
    SILENT = 'silent'
    NOT_OWNED = 'not_owned'
    SERVER_UNKNOWN = 'server_unknown'


@dataclass(slots=True)
class _AnswerWait:
    """Tells how long the next answer to one request is waited for."""

    timeout_s: float
    # Whether an answer that the request is queued is the last one.
    ends_queued: bool = False
    is_queued: bool = False

    def __call__(self, answer: Any) -> float | None:
        if not isinstance(answer, SlotQueued):
            return None
        if self.ends_queued:
            return None
        self.is_queued = True
        return answer.next_answer_s + self.timeout_s


class SlotClient:
    """Acquires slots from their owners, and holds those in use."""

    def __init__(
        self,
        home: Home,
        owner: SlotOwner,
        owners: OwnerChoice,
        links: PeerLinks,
        slot_queue: SlotQueue,
        server_pool: ConnectionPool,
        metrics: GatewayMetrics,
    ) -> None:
        self._home = home
        self._owner = owner
        self._owners = owners
        self._links = links
        self._slot_queue = slot_queue
        self._servers = slot_queue.servers
        self._server_pool = server_pool
        self._metrics = metrics
        self._weights = OrganisationWeights()
        self._numbers = itertools.count(1)
        self.changes = ChangeSender(home.home_id, owner, owners, links)
        self.held = HeldSlots(self.changes, self._new_grant_id)
        self._owners_by_pool: dict[
            tuple[DomainId, ServiceName], Owner | None
        ] = {}
        # Members of the own failure domain to which there is a link.
        self.linked: frozenset[Owner] = frozenset()
        self._asks_by_owner: dict[Owner, int] = {}
        self.asked_count = 0
        self.granted_count = 0
        self.queued_count = 0
        self.refused_count = 0
        self.fallback_counts = dict.fromkeys(Fallback, 0)
        self._log = BoundedLog(LOG)

    def register(self, server: PeerServer) -> None:
        """Register the handler of owners' messages."""
        server.handle(SlotOwnerStops, self.leave_owner)

    async def leave_owner(self, stops: SlotOwnerStops) -> SlotOwnerLeft:
        """Tell the slots in use to the next owner, as this one stops."""
        owner = Owner(stops.address, stops.incarnation, is_own=False)
        now_s = time.monotonic()
        self._owners.avoid(owner, 'stopping', now_s, STOPPING_AVOID_S)
        self.held.update_owners(self._choose_owner, now_s)
        return SlotOwnerLeft()

    def _new_grant_id(self) -> str:
        return f'{self._home.home_id}.{next(self._numbers)}'

    async def acquire(
        self, call: Call, criteria: ServerCriteria
    ) -> ServerState | Refusal | None:
        """Return a server with a slot, or a refusal.

        Return None if this instance is to decide by itself.
        """
        with self._metrics.time_slot_wait(call):
            found = await self._acquire(call, criteria)
        match found:
            case Ok(outcome):
                return outcome
            case Err(fallback):
                self._record_fallback(call, criteria, fallback)
        return None

    async def _acquire(
        self, call: Call, criteria: ServerCriteria
    ) -> Result[ServerState | Refusal, Fallback]:
        service, own_id = criteria.service, self._home.domain_id
        target = AskTarget(own_id)
        for _ in range(MAX_ASKS):
            owner = self._find_owner(target.domain_id, service)
            if owner is None and target.needs_open_slot:
                target = target.returned(own_id)
                continue
            if owner is None:
                return Err(Fallback.NO_OWNER)
            ask = self._make_ask(call, criteria, target)
            answered = await self._ask(owner, ask, target.domain_id)
            match answered:
                case Ok(SlotGranted() as granted):
                    return self._accept(call, ask, owner, granted)
                case _ if target.needs_open_slot:
                    target = target.returned(own_id)
                case Err():
                    return answered
                case Ok(SlotDenied(reason, retry_after_s)):
                    self.refused_count += 1
                    text = f'servers are full: {reason}'
                    return Ok(Refusal(503, text, retry_after_s))
                case Ok(SlotElsewhere() as elsewhere):
                    target = target.elsewhere(elsewhere)
                case Ok(SlotNotOwned(reason, is_stopping)):
                    if not is_stopping:
                        break
                    self._owners.avoid(
                        owner, reason, time.monotonic(), STOPPING_AVOID_S
                    )
        return Err(Fallback.NOT_OWNED)

    def _make_ask(
        self,
        call: Call,
        criteria: ServerCriteria,
        target: AskTarget,
    ) -> AskSlot:
        """Describe a call; leave out servers that can't have it from here."""
        now_s = time.monotonic()
        excluded_ids = list(criteria.excluded_ids)
        connected_ids: list[ServerId] = []
        domain_id, service = target.domain_id, criteria.service
        for state in self._servers.of_service(service, domain_id):
            entry = state.entry
            is_avoided = state.avoid_until_s > now_s
            if is_avoided or state.rate_limit.wait_s(now_s) > 0:
                excluded_ids.append(entry.server_id)
            elif self._server_pool.has_idle(entry.host, entry.port):
                connected_ids.append(entry.server_id)
        longest_wait_s = call.deadline_s - now_s
        if criteria.needs_slot:
            longest_wait_s = min(MAX_QUEUE_WAIT_S, longest_wait_s)
        return AskSlot(
            self._describe(call, service),
            max_wait_s=max(0.0, longest_wait_s),
            waited_s=now_s - call.arrived_at_s,
            may_spill=target.may_spill,
            preferred_id=criteria.preferred_id,
            connected_ids=tuple(connected_ids),
            excluded_ids=tuple(excluded_ids),
            needs_open_slot=target.needs_open_slot,
            body_bytes=estimate_bytes(call),
            returned_by=target.returned_by,
            prefix_domain_id=self._prefix_domain(criteria, domain_id),
        )

    def _prefix_domain(
        self, criteria: ServerCriteria, domain_id: DomainId
    ) -> DomainId | None:
        """Return another domain than the one given that has the prefix."""
        preferred_id = criteria.preferred_id
        if preferred_id is None:
            return None
        state = self._servers.by_id.get(preferred_id)
        if state is None or state.entry.domain_id == domain_id:
            return None
        return state.entry.domain_id

    def _describe(self, call: Call, service: ServiceName) -> CallDemand:
        configuration = self._slot_queue.configuration
        return describe_call(
            call,
            service,
            configuration,
            self._weights.weight_of(call.organisation_id, configuration),
            self._home,
            self._new_grant_id(),
        )

    def _find_owner(
        self, domain_id: DomainId, service: ServiceName
    ) -> Owner | None:
        """Return a pool's owner; a new one is told the slots in use."""
        owner = self._choose_owner(domain_id, service)
        key = (domain_id, service)
        if owner != self._owners_by_pool.get(key):
            self._owners_by_pool[key] = owner
            self.held.update_owners(self._choose_owner, time.monotonic())
        return owner

    def _choose_owner(
        self, domain_id: DomainId, service: ServiceName
    ) -> Owner | None:
        owner = self._owners.choose(domain_id, service, time.monotonic())
        if owner is not None and owner.is_own and self._owner.is_stopping:
            self._owners.avoid(
                owner, 'stopping', time.monotonic(), STOPPING_AVOID_S
            )
            return self._owners.choose(domain_id, service, time.monotonic())
        return owner

    async def _ask(
        self, owner: Owner, ask: AskSlot, domain_id: DomainId
    ) -> Result[SlotAnswer, Fallback]:
        self.asked_count += 1
        self._count_ask(owner, 1)
        is_near = domain_id == self._home.domain_id
        wait = _AnswerWait(
            ANSWER_TIMEOUT_S if is_near else OTHER_DOMAIN_TIMEOUT_S,
            ends_queued=ask.needs_open_slot,
        )
        is_answered = False
        try:
            if owner.is_own:
                found = await self._ask_here(ask, wait)
            else:
                found = await self._links.ask(
                    owner.address, ask, wait, wait.timeout_s
                )
            is_answered = isinstance(found, Ok) and not isinstance(
                found.ok_value, SlotQueued
            )
        finally:
            self.queued_count += wait.is_queued
            self._count_ask(owner, -1)
            # The owner may have granted a slot.
            if not is_answered:
                self._withdraw(owner, ask)
        if isinstance(found, Err):
            return Err(self._record_fault(owner, found.err_value))
        self._owners.record_answer(owner)
        return found

    def _record_fault(self, owner: Owner, error: PeerError) -> Fallback:
        now_s = time.monotonic()
        if error.fault is PeerFault.SILENT:
            self._owners.record_silence(owner, now_s)
            return Fallback.SILENT
        self._owners.avoid(owner, error.reason, now_s)
        return Fallback.UNREACHED

    async def _ask_here(
        self, ask: AskSlot, wait: _AnswerWait
    ) -> Result[SlotAnswer, Any]:
        answers = cast(AsyncGenerator[Any, None], self._owner.ask(ask))
        async with aclosing(answers):
            async for answer in answers:
                if wait(answer) is None:
                    break
        return Ok(answer)

    def _withdraw(self, owner: Owner, ask: AskSlot) -> None:
        demand = ask.demand
        unused = EndedSlot(
            demand.grant_id, demand.service, None, SlotEnd.UNUSED
        )
        self.changes.tell_ended(owner, unused)

    def _accept(
        self, call: Call, ask: AskSlot, owner: Owner, granted: SlotGranted
    ) -> Result[ServerState, Fallback]:
        """Take a granted slot, or give it back if its server can't be used."""
        state = self._servers.by_id.get(granted.server_id)
        if (
            state is None
            or state.entry.started_ms != granted.started_ms
            or granted.server_id in ask.excluded_ids
            or not state.takes_calls(time.monotonic())
        ):
            self._withdraw(owner, ask)
            return Err(Fallback.SERVER_UNKNOWN)
        self.granted_count += 1
        self.held.add(HeldSlot(ask.demand, state, call.deadline_s, owner))
        self._slot_queue.take(state)
        return Ok(state)

    def hold(self, call: Call, server: ServerState) -> None:
        """Tell the owner of a server's slots of one taken without a grant."""
        demand = self._describe(call, server.entry.service)
        self.held.add(HeldSlot(demand, server, call.deadline_s, None))
        self.held.update_owners(self._choose_owner, time.monotonic())

    def _record_fallback(
        self, call: Call, criteria: ServerCriteria, fallback: Fallback
    ) -> None:
        self.fallback_counts[fallback] += 1
        now_s = time.monotonic()
        self._log.log(
            'slot_chosen_alone',
            request=call.request_id,
            service=criteria.service,
            reason=fallback.value,
            ms=round((now_s - call.arrived_at_s) * 1000),
        )

    async def run(self) -> None:
        """Renew the slots in use until the task is cancelled."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            self.held.update_owners(self._choose_owner, time.monotonic())
            self._renew_queued()
            self.held.renew()
            self._open_links()
            self.changes.retry()

    def _renew_queued(self) -> None:
        """Tell the owners that are asked now that this instance goes on."""
        for owner in self._asks_by_owner:
            self.changes.renew(owner)

    def _count_ask(self, owner: Owner, change: int) -> None:
        """Count the requests that wait for an owner's answer."""
        count = self._asks_by_owner.pop(owner, 0) + change
        if count:
            self._asks_by_owner[owner] = count

    def _open_links(self) -> None:
        """Have a link to each member that may become an owner here."""
        domain_id = self._home.domain_id
        serving = self._owners.serving(domain_id, time.monotonic())
        for owner in serving:
            if owner not in self.linked and not owner.is_own:
                self.changes.renew(owner)
        self.linked = frozenset(serving)
