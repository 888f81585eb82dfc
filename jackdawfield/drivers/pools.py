"""Asks stewards for places on backend servers and runs calls there."""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass
from dataclasses import replace
import logging
import time
from typing import Any
import zlib

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decisions.pool_settings import PREFILL_WEIGHT
from jackdawfield.decisions.retries import Failure
from jackdawfield.decisions.retries import GiveUp
from jackdawfield.decisions.retries import RetryAt
from jackdawfield.decisions.retries import RetryBudget
from jackdawfield.decisions.retries import RetrySettings
from jackdawfield.drivers.contracts import ContractsDriver
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.stewards import steward_key
from jackdawfield.drivers.stewards import Stewards
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.pools import ContextGone
from jackdawfield.messages.pools import Done
from jackdawfield.messages.pools import HeldSlot
from jackdawfield.messages.pools import HomeRenewal
from jackdawfield.messages.pools import Slot
from jackdawfield.messages.pools import SlotFault
from jackdawfield.messages.pools import SlotRecalled
from jackdawfield.messages.pools import SlotRefused
from jackdawfield.messages.pools import SlotReleased
from jackdawfield.messages.pools import SlotRequest
from jackdawfield.messages.pools import SlotsAdopted
from jackdawfield.messages.pools import SlotSpilled
from jackdawfield.messages.pools import SlotStarted
from jackdawfield.messages.pools import UnknownSlots
from jackdawfield.model import DomainId
from jackdawfield.model import Execution
from jackdawfield.model import InstanceId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
RETRY_AFTER_S = 1.0
MESSAGE_TIMEOUT_S = 2.0
RENEW_S = 1.0
SHUN_S = 5.0
REPEAT_S = 0.1
REMEMBERED = 20_000
FAULT_BY_CODE = {
    'server_unreachable': SlotFault.UNREACHABLE,
    'server_failed': SlotFault.ERROR,
}

NOT_STARTED = CallFailed(
    502, 'server_failed', 'server does not start the call', Execution.UNKNOWN
)

Attempt = Callable[[Slot], AsyncGenerator[CallEvent, None]]


@dataclass
class Held:
    """Holds a request of this home, with its place once granted."""

    request: SlotRequest
    domain_id: DomainId
    since_s: float
    steward_id: InstanceId | None = None
    slot: Slot | None = None
    started: bool = False
    recalled: bool = False
    task: asyncio.Task[Any] | None = None


class PoolsDriver:
    """Gets places for this home's calls and tells stewards of them."""

    def __init__(
        self,
        settings: Settings,
        contracts: ContractsDriver,
        links: PeerLinks,
        stewards: Stewards,
    ) -> None:
        self._own_id = InstanceId(settings.instance_id)
        self._domain_id = DomainId(settings.domain_id)
        self._region_id = RegionId(settings.region_id)
        self._contracts = contracts
        self._links = links
        self._stewards = stewards
        self._held_by_id: dict[str, Held] = {}
        self._shunned_until_s: dict[InstanceId, float] = {}
        self._domain_by_context: dict[tuple[ProgramId, str], DomainId] = {}
        self._attained_by_root: dict[ProgramId, float] = {}
        self._messages: set[asyncio.Task[Any]] = set()
        seed = zlib.crc32(settings.instance_id.encode())
        self._budget = RetryBudget(RetrySettings(), seed)
        self._renewing: asyncio.Task[None] | None = None

    def register(self, server: PeerServer) -> None:
        """Answer the messages of homes and stewards."""
        self._stewards.register(server)
        server.handle(SlotRecalled, self._recalled)

    def start(self) -> None:
        """Begin to renew, and the stewards' work."""
        self._stewards.start()
        self._renewing = asyncio.create_task(self._renew_for_ever())

    def stop(self) -> None:
        """Stop renewing, and the stewards' work."""
        self._stewards.stop()
        if self._renewing is not None:
            self._renewing.cancel()

    async def run(
        self, request: SlotRequest, attempt: Attempt, may_restart: bool
    ) -> AsyncGenerator[CallEvent, None]:
        """Run a call on a granted server, again if it may be repeated.

        With `may_restart` nothing is yielded before the answer is whole,
        so that a call that broke off can begin again elsewhere.
        """
        begun_s = time.monotonic()
        end_s = begun_s + request.deadline_s
        number = 0
        while True:
            number += 1
            now_s = time.monotonic()
            request = replace(
                request, deadline_s=end_s - now_s, waited_s=now_s - begun_s
            )
            found = await self.acquire(request)
            if isinstance(found, Err):
                yield refused(found.err_value)
                return
            slot = found.ok_value
            kept: list[CallEvent] = []
            failed: CallFailed | None = None
            sent = False
            async with aclosing(self._watch(request, slot, attempt)) as events:
                async for event in events:
                    if isinstance(event, CallFailed):
                        failed = event
                    elif may_restart:
                        kept.append(event)
                    else:
                        sent = True
                        yield event
            if failed is None:
                for event in kept:
                    yield event
                return
            again = request.repeatable and not sent
            failure = Failure(
                request.request_id, number, failed.execution, again, end_s
            )
            wait_s = self._retry_wait_s(failed, failure, sent)
            if wait_s is None:
                yield failed
                return
            log_event(LOG, 'call_retried', server=slot.server_id)
            avoided = (*request.avoided, slot.server_id)
            request = replace(request, avoided=avoided)
            await asyncio.sleep(wait_s)

    def _retry_wait_s(
        self, failed: CallFailed, failure: Failure, sent: bool
    ) -> float | None:
        if sent or failed.code not in FAULT_BY_CODE:
            return None
        now_s = time.monotonic()
        match self._budget.decide(failure, now_s):
            case RetryAt(at_s):
                return at_s - now_s
            case GiveUp(reason):
                log_event(LOG, 'call_given_up', reason=reason)
        return None

    async def acquire(self, request: SlotRequest) -> Result[Slot, SlotRefused]:
        """Return a place, or why there is none."""
        end_s = time.monotonic() + request.deadline_s
        begun_s = time.monotonic() - request.waited_s
        context = (request.program_id, request.pool)
        domain_id = self._domain_by_context.get(context, self._domain_id)
        attained = self._attained_by_root.get(request.root_id, 0.0)
        held = Held(request, domain_id, begun_s)
        self._held_by_id[request.request_id] = held
        try:
            while (left_s := end_s - time.monotonic()) > 0:
                held.request = replace(
                    held.request,
                    home_id=self._own_id,
                    attained_tokens=attained,
                    deadline_s=left_s,
                    waited_s=time.monotonic() - begun_s,
                )
                match await self._ask(held):
                    case Slot() as slot:
                        held.slot = slot
                        return Ok(slot)
                    case SlotRefused() as refusal:
                        return Err(refusal)
                    case SlotSpilled(_, target):
                        held.domain_id = target
                        held.request = replace(held.request, may_spill=False)
                    case PeerError():
                        held.domain_id = self._domain_id
                        await asyncio.sleep(REPEAT_S)
            return Err(SlotRefused('deadline passed', RETRY_AFTER_S))
        finally:
            if held.slot is None:
                del self._held_by_id[request.request_id]

    def release(self, released: SlotReleased) -> None:
        """Give a place back and remember what it served."""
        held = self._held_by_id.pop(released.request_id, None)
        if held is None:
            return
        request = held.request
        context = (request.program_id, request.pool)
        if released.ok:
            self._budget.record_success()
            missing = released.prompt_tokens - released.cached_tokens
            served = missing * PREFILL_WEIGHT + released.completion_tokens
            attained = self._attained_by_root.get(request.root_id, 0.0)
            remember(
                self._attained_by_root, request.root_id, attained + served
            )
            if self._is_near(held.domain_id):
                remember(self._domain_by_context, context, held.domain_id)
        else:
            self._domain_by_context.pop(context, None)
        if not held.recalled:
            self._tell(held, released)

    def ended(self, program_id: ProgramId) -> None:
        """Tell stewards that a program makes no further calls."""
        self._attained_by_root.pop(program_id, None)
        contexts = [c for c in self._domain_by_context if c[0] == program_id]
        for context in contexts:
            domain_id = self._domain_by_context.pop(context)
            steward_id = self._steward(domain_id, context[1])
            self._post(steward_id, ContextGone(context[1], program_id))

    async def _watch(
        self, request: SlotRequest, slot: Slot, attempt: Attempt
    ) -> AsyncGenerator[CallEvent, None]:
        """Yield an attempt's events and release its place at the end."""
        held = self._held_by_id[slot.request_id]
        begun_s = time.monotonic()
        released = SlotReleased(slot.request_id, slot.pool, ok=False)
        try:
            async for event in self._until_recalled(held, attempt(slot)):
                match event:
                    case CallChunk() if not held.started:
                        held.started = True
                        started = SlotStarted(slot.request_id, slot.pool)
                        self._tell(held, started)
                    case CallFinished():
                        released = finished(released, event, request)
                    case CallFailed():
                        fault = FAULT_BY_CODE.get(event.code, SlotFault.NONE)
                        released = replace(released, fault=fault)
                yield event
        finally:
            elapsed_s = time.monotonic() - begun_s
            self.release(replace(released, elapsed_s=elapsed_s))

    async def _until_recalled(
        self, held: Held, events: AsyncGenerator[CallEvent, None]
    ) -> AsyncGenerator[CallEvent, None]:
        async with aclosing(events):
            held.task = asyncio.create_task(next_event(events))
            try:
                await asyncio.wait((held.task,))
            finally:
                held.task.cancel()
                await asyncio.wait((held.task,))
            if held.recalled:
                yield NOT_STARTED
                return
            first = held.task.result()
            if first is None:
                return
            yield first
            async for event in events:
                yield event

    async def _recalled(self, recalled: SlotRecalled) -> Done:
        held = self._held_by_id.get(recalled.request_id)
        if held is None or held.started or held.task is None:
            return Done()
        held.recalled = True
        held.task.cancel()
        return Done()

    def _is_near(self, domain_id: DomainId) -> bool:
        return any(
            member.domain_id == domain_id
            and member.region_id == self._region_id
            for member in self._contracts.members_by_id.values()
        )

    async def _ask(
        self, held: Held
    ) -> Slot | SlotRefused | SlotSpilled | PeerError:
        pool = held.request.pool
        held.steward_id = self._steward(held.domain_id, pool)
        if held.steward_id is None:
            held.domain_id = self._domain_id
            return PeerError(PeerFault.NOT_SENT, 'no steward')
        limit_s = held.request.deadline_s + MESSAGE_TIMEOUT_S
        sending = self._send(held.steward_id, held.request, limit_s)
        held.task = asyncio.ensure_future(sending)
        try:
            await asyncio.wait((held.task,))
            if held.task.cancelled():
                return PeerError(PeerFault.LOST, 'steward is silent')
            found = held.task.result()
        finally:
            held.task.cancel()
        if isinstance(found, Err):
            return found.err_value
        return found.ok_value

    def _steward(self, domain_id: DomainId, pool: str) -> InstanceId | None:
        now_s = time.monotonic()
        key = steward_key(domain_id, pool)
        candidates = [
            member.instance_id
            for member in self._contracts.members_by_id.values()
            if member.domain_id == domain_id
            and not member.leaving
            and self._shunned_until_s.get(member.instance_id, 0.0) <= now_s
        ]
        best = max(
            candidates, key=lambda i: rendezvous_score(key, i), default=None
        )
        if best is None and domain_id == self._domain_id:
            return self._own_id
        return best

    def _tell(self, held: Held, message: object) -> None:
        self._post(held.steward_id, message)

    def _post(self, steward_id: InstanceId | None, message: object) -> None:
        sending = self._send(steward_id, message, MESSAGE_TIMEOUT_S)
        task = asyncio.create_task(sending)
        self._messages.add(task)
        task.add_done_callback(self._messages.discard)

    async def _send(
        self, steward_id: InstanceId | None, message: Any, timeout_s: float
    ) -> Result[Any, PeerError]:
        if steward_id == self._own_id:
            return Ok(await self._local(message))
        member = self._contracts.members_by_id.get(steward_id or self._own_id)
        if member is None:
            return Err(PeerError(PeerFault.NOT_SENT, 'steward is gone'))
        found = await self._links.request(
            member.peer_address, message, timeout_s
        )
        if isinstance(found, Err):
            self._shun(member.instance_id, found.err_value)
        return found

    def _shun(self, instance_id: InstanceId, error: PeerError) -> None:
        self._shunned_until_s[instance_id] = time.monotonic() + SHUN_S
        log_event(
            LOG, 'steward_shunned', steward=instance_id, reason=error.reason
        )
        for held in self._held_by_id.values():
            if held.steward_id != instance_id or held.slot is not None:
                continue
            if held.task is not None:
                held.task.cancel()

    def _local(self, message: Any) -> Awaitable[object]:
        match message:
            case SlotRequest():
                return self._stewards.grant(message)
            case SlotStarted():
                return self._stewards.started(message)
            case SlotReleased():
                return self._stewards.released(message)
            case HomeRenewal():
                return self._stewards.renewed(message)
            case SlotsAdopted():
                return self._stewards.adopted(message)
            case _:
                return self._stewards.context_gone(message)

    async def _renew_for_ever(self) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            try:
                await self._renew()
            except Exception:
                LOG.exception('event=renewal_failed')

    async def _renew(self) -> None:
        groups: dict[tuple[DomainId, str], list[Held]] = {}
        for held in self._held_by_id.values():
            key = (held.domain_id, held.request.pool)
            groups.setdefault(key, []).append(held)
        await asyncio.gather(
            *(
                self._renew_one(domain_id, pool, group)
                for (domain_id, pool), group in groups.items()
            )
        )

    async def _renew_one(
        self, domain_id: DomainId, pool: str, group: list[Held]
    ) -> None:
        steward_id = self._steward(domain_id, pool)
        if steward_id is None:
            return
        request_ids = tuple(held.request.request_id for held in group)
        renewal = HomeRenewal(self._own_id, pool, request_ids)
        found = await self._send(steward_id, renewal, MESSAGE_TIMEOUT_S)
        match found:
            case Ok(UnknownSlots(unknown)):
                unknown_ids = frozenset(unknown)
            case _:
                return
        slots: list[HeldSlot] = []
        for held in group:
            if held.slot is None or held.request.request_id not in unknown_ids:
                continue
            held.steward_id = steward_id
            server_id = held.slot.server_id
            slots.append(HeldSlot(held.request, server_id, held.started))
        if slots:
            adopted = SlotsAdopted(pool, tuple(slots))
            await self._send(steward_id, adopted, MESSAGE_TIMEOUT_S)


async def next_event(
    events: AsyncGenerator[CallEvent, None],
) -> CallEvent | None:
    """Return the next event, None at the end."""
    async for event in events:
        return event
    return None


def remember(values: dict[Any, Any], key: object, value: object) -> None:
    """Keep a value among the most recently used ones."""
    values.pop(key, None)
    values[key] = value
    if len(values) > REMEMBERED:
        del values[next(iter(values))]


def finished(
    released: SlotReleased, event: CallFinished, request: SlotRequest
) -> SlotReleased:
    """Return a release with what a whole answer took."""
    return replace(
        released,
        ok=True,
        prompt_tokens=event.prompt_tokens or request.prompt_tokens,
        cached_tokens=event.cached_tokens,
        completion_tokens=event.completion_tokens or request.expected_tokens,
    )


def refused(refusal: SlotRefused) -> CallFailed:
    """Return the error of a call that got no place."""
    return CallFailed(
        503,
        'no_server',
        refusal.reason,
        Execution.NOT_RUN,
        refusal.retry_after_s,
    )
