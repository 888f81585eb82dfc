"""Acquire slots on backend servers from stewards and run calls on them.

The steward of a pool is the instance that schedules the slots of the pool's
servers in one failure domain. The home of a program is the instance that owns
it and runs its calls. The context of a program is the prefix that the engines
of a pool have cached for it.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import replace
import itertools
import logging
import time
import zlib

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.pool_settings import PREFILL_WEIGHT
from jackdawfield.decisions.retries import Failure
from jackdawfield.decisions.retries import GiveUp
from jackdawfield.decisions.retries import RetryAt
from jackdawfield.decisions.retries import RetryBudget
from jackdawfield.decisions.retries import RetrySettings
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.slot_uses import AttemptRun
from jackdawfield.drivers.slot_uses import make_release
from jackdawfield.drivers.slot_uses import next_event
from jackdawfield.drivers.slot_uses import NOT_STARTED
from jackdawfield.drivers.slot_uses import put_recent
from jackdawfield.drivers.slot_uses import refusal_failure
from jackdawfield.drivers.slot_uses import SlotUse
from jackdawfield.drivers.steward_messages import STEWARD_TIMEOUT_S
from jackdawfield.drivers.steward_messages import StewardMessenger
from jackdawfield.drivers.stewards import StewardsDriver
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.pools import ContextGone
from jackdawfield.messages.pools import Done
from jackdawfield.messages.pools import HeldSlot
from jackdawfield.messages.pools import HomeRenewal
from jackdawfield.messages.pools import ServerFault
from jackdawfield.messages.pools import Slot
from jackdawfield.messages.pools import SlotRecalled
from jackdawfield.messages.pools import SlotRefused
from jackdawfield.messages.pools import SlotReleased
from jackdawfield.messages.pools import SlotRequest
from jackdawfield.messages.pools import SlotsAdopted
from jackdawfield.messages.pools import SlotSpilled
from jackdawfield.messages.pools import SlotStarted
from jackdawfield.messages.pools import UnknownSlots
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
RETRY_AFTER_S = 1.0
RENEWAL_INTERVAL_S = 1.0
REQUEST_RETRY_S = 0.1
FAULTS_BY_CODE = {
    'server_unreachable': ServerFault.UNREACHABLE,
    'server_failed': ServerFault.ERROR,
}

Attempt = Callable[[Slot], AsyncGenerator[CallEvent, None]]


class PoolsDriver:
    """Acquires and releases slots for this home's calls at stewards."""

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
        links: PeerLinks,
        stewards: StewardsDriver,
    ) -> None:
        self._own_id = InstanceId(settings.instance_id)
        self._domain_id = DomainId(settings.domain_id)
        self._region_id = RegionId(settings.region_id)
        self._contracts = contracts
        self._stewards = stewards
        self._messenger = StewardMessenger(
            self._own_id,
            self._domain_id,
            contracts,
            links,
            stewards,
            self._cancel_requests,
        )
        self._slot_uses_by_id: dict[str, SlotUse] = {}
        # The keys are programs and pools.
        self._domains_by_context: dict[tuple[ProgramId, str], DomainId] = {}
        self._attained_tokens_by_root: dict[ProgramId, float] = {}
        seed = zlib.crc32(settings.instance_id.encode())
        self._retry_budget = RetryBudget(RetrySettings(), seed)
        self._renewal_task: asyncio.Task[None] | None = None

    def register(self, server: PeerServer) -> None:
        """Register the handlers for messages of homes and stewards."""
        self._stewards.register(server)
        server.handle(SlotRecalled, self._revoke_slot)

    def start(self) -> None:
        """Start the renewals and the work of this instance's stewards."""
        self._stewards.start()
        self._renewal_task = asyncio.create_task(self._renew_periodically())

    def stop(self) -> None:
        """Stop the renewals and the work of this instance's stewards."""
        self._stewards.stop()
        if self._renewal_task is not None:
            self._renewal_task.cancel()

    async def run(
        self, request: SlotRequest, attempt: Attempt, may_restart: bool
    ) -> AsyncGenerator[CallEvent, None]:
        """Run a call on a granted slot and retry it if it may be repeated.

        With may_restart, nothing is yielded before the answer is complete, so
        that a call that fails halfway can be retried on another server.
        """
        started_s = time.monotonic()
        deadline_s = started_s + request.deadline_s
        for attempt_number in itertools.count(1):
            now_s = time.monotonic()
            request = replace(
                request,
                deadline_s=deadline_s - now_s,
                waited_s=now_s - started_s,
            )
            acquired = await self.acquire(request)
            if isinstance(acquired, Err):
                yield refusal_failure(acquired.err_value)
                return
            slot = acquired.ok_value
            run = AttemptRun(may_restart)
            async with aclosing(
                self._run_attempt(request, slot, attempt)
            ) as events:
                async for event in events:
                    if run.passes(event):
                        yield event
            if run.failed is None:
                for event in run.buffered:
                    yield event
                return
            failure = Failure(
                request.request_id,
                attempt_number,
                run.failed.execution,
                request.repeatable and not run.has_yielded,
                deadline_s,
            )
            wait_s = self._retry_wait_s(run.failed, failure, run.has_yielded)
            if wait_s is None:
                yield run.failed
                return
            log_event(LOG, 'call_retried', server=slot.server_id)
            avoided = (*request.avoided, slot.server_id)
            request = replace(request, avoided=avoided)
            await asyncio.sleep(wait_s)

    def _retry_wait_s(
        self, failed: CallFailed, failure: Failure, has_yielded: bool
    ) -> float | None:
        if has_yielded or failed.code not in FAULTS_BY_CODE:
            return None
        now_s = time.monotonic()
        match self._retry_budget.decide(failure, now_s):
            case RetryAt(at_s):
                return at_s - now_s
            case GiveUp(reason):
                log_event(LOG, 'call_given_up', reason=reason)
        return None

    async def acquire(self, request: SlotRequest) -> Result[Slot, SlotRefused]:
        """Acquire a slot, or return why it was refused.

        A request goes to the failure domain that has the program's context,
        else to this one. Its steward may redirect it once to another domain.
        """
        deadline_s = time.monotonic() + request.deadline_s
        waiting_since_s = time.monotonic() - request.waited_s
        context = (request.program_id, request.pool)
        domain_id = self._domains_by_context.get(context, self._domain_id)
        attained_tokens = self._attained_tokens_by_root.get(
            request.root_id, 0.0
        )
        slot_use = SlotUse(request, domain_id, waiting_since_s)
        self._slot_uses_by_id[request.request_id] = slot_use
        try:
            while (remaining_s := deadline_s - time.monotonic()) > 0:
                slot_use.request = replace(
                    slot_use.request,
                    home_id=self._own_id,
                    attained_tokens=attained_tokens,
                    deadline_s=remaining_s,
                    waited_s=time.monotonic() - waiting_since_s,
                )
                match await self._request_slot(slot_use):
                    case Slot() as slot:
                        slot_use.slot = slot
                        return Ok(slot)
                    case SlotRefused() as refusal:
                        return Err(refusal)
                    case SlotSpilled(_, target_domain_id):
                        slot_use.domain_id = target_domain_id
                        slot_use.request = replace(
                            slot_use.request, may_spill=False
                        )
                    case PeerError():
                        slot_use.domain_id = self._domain_id
                        await asyncio.sleep(REQUEST_RETRY_S)
            return Err(SlotRefused('deadline passed', RETRY_AFTER_S))
        finally:
            if slot_use.slot is None:
                del self._slot_uses_by_id[request.request_id]

    def release(self, released: SlotReleased) -> None:
        """Release a slot and store what the next requests depend on.

        These are the tokens that the program has attained and the failure
        domain that has its context.
        """
        slot_use = self._slot_uses_by_id.pop(released.request_id, None)
        if slot_use is None:
            return
        request = slot_use.request
        context = (request.program_id, request.pool)
        if released.ok:
            self._retry_budget.record_success()
            uncached_tokens = released.prompt_tokens - released.cached_tokens
            served_tokens = (
                uncached_tokens * PREFILL_WEIGHT + released.completion_tokens
            )
            attained_tokens = self._attained_tokens_by_root.get(
                request.root_id, 0.0
            )
            put_recent(
                self._attained_tokens_by_root,
                request.root_id,
                attained_tokens + served_tokens,
            )
            if self._is_in_own_region(slot_use.domain_id):
                put_recent(
                    self._domains_by_context, context, slot_use.domain_id
                )
        else:
            self._domains_by_context.pop(context, None)
        if not slot_use.is_revoked:
            self._notify_steward(slot_use, released)

    def remove_program(self, program_id: ProgramId) -> None:
        """Remove an ended program's state and report its end to the stewards.

        Only those of the failure domains with its context are informed.
        """
        self._attained_tokens_by_root.pop(program_id, None)
        contexts = [
            context
            for context in self._domains_by_context
            if context[0] == program_id
        ]
        for context in contexts:
            domain_id = self._domains_by_context.pop(context)
            steward_id = self._messenger.find_steward(domain_id, context[1])
            self._messenger.send_in_background(
                steward_id, ContextGone(context[1], program_id)
            )

    async def _run_attempt(
        self, request: SlotRequest, slot: Slot, attempt: Attempt
    ) -> AsyncGenerator[CallEvent, None]:
        """Yield an attempt's events and release its slot at the end."""
        slot_use = self._slot_uses_by_id[slot.request_id]
        started_s = time.monotonic()
        released = SlotReleased(slot.request_id, slot.pool, ok=False)
        try:
            async for event in self._stream_until_revoked(
                slot_use, attempt(slot)
            ):
                match event:
                    case CallChunk() if not slot_use.started:
                        slot_use.started = True
                        started = SlotStarted(slot.request_id, slot.pool)
                        self._notify_steward(slot_use, started)
                    case CallFinished():
                        released = make_release(released, event, request)
                    case CallFailed():
                        fault = FAULTS_BY_CODE.get(
                            event.code, ServerFault.NONE
                        )
                        released = replace(released, fault=fault)
                yield event
        finally:
            elapsed_s = time.monotonic() - started_s
            self.release(replace(released, elapsed_s=elapsed_s))

    async def _stream_until_revoked(
        self, slot_use: SlotUse, events: AsyncGenerator[CallEvent, None]
    ) -> AsyncGenerator[CallEvent, None]:
        """Yield a call's events; only the wait for the first is revocable."""
        async with aclosing(events):
            slot_use.task = asyncio.create_task(next_event(events))
            try:
                await asyncio.wait((slot_use.task,))
            finally:
                slot_use.task.cancel()
                await asyncio.wait((slot_use.task,))
            if slot_use.is_revoked:
                yield NOT_STARTED
                return
            first = slot_use.task.result()
            if first is None:
                return
            yield first
            async for event in events:
                yield event

    async def _revoke_slot(self, recalled: SlotRecalled) -> Done:
        slot_use = self._slot_uses_by_id.get(recalled.request_id)
        if slot_use is None or slot_use.started or slot_use.task is None:
            return Done()
        slot_use.is_revoked = True
        slot_use.task.cancel()
        return Done()

    def _is_in_own_region(self, domain_id: DomainId) -> bool:
        return any(
            member.domain_id == domain_id
            and member.region_id == self._region_id
            for member in self._contracts.members_by_id.values()
        )

    async def _request_slot(
        self, slot_use: SlotUse
    ) -> Slot | SlotRefused | SlotSpilled | PeerError:
        pool = slot_use.request.pool
        slot_use.steward_id = self._messenger.find_steward(
            slot_use.domain_id, pool
        )
        if slot_use.steward_id is None:
            slot_use.domain_id = self._domain_id
            return PeerError(PeerFault.NOT_SENT, 'no steward')
        limit_s = slot_use.request.deadline_s + STEWARD_TIMEOUT_S
        sending = self._messenger.send(
            slot_use.steward_id, slot_use.request, limit_s
        )
        slot_use.task = asyncio.ensure_future(sending)
        try:
            await asyncio.wait((slot_use.task,))
            if slot_use.task.cancelled():
                return PeerError(PeerFault.LOST, 'steward is silent')
            result = slot_use.task.result()
        finally:
            slot_use.task.cancel()
        if isinstance(result, Err):
            return result.err_value
        return result.ok_value

    def _notify_steward(self, slot_use: SlotUse, message: object) -> None:
        self._messenger.send_in_background(slot_use.steward_id, message)

    def _cancel_requests(self, instance_id: InstanceId) -> None:
        """Cancel the requests that wait for a steward."""
        for slot_use in self._slot_uses_by_id.values():
            if slot_use.steward_id != instance_id or slot_use.slot is not None:
                continue
            if slot_use.task is not None:
                slot_use.task.cancel()

    async def _renew_periodically(self) -> None:
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            try:
                await self._renew()
            except Exception:
                LOG.exception('event=renewal_failed')

    async def _renew(self) -> None:
        slot_uses_by_pool: dict[tuple[DomainId, str], list[SlotUse]] = {}
        for slot_use in self._slot_uses_by_id.values():
            pool_key = (slot_use.domain_id, slot_use.request.pool)
            slot_uses_by_pool.setdefault(pool_key, []).append(slot_use)
        await asyncio.gather(
            *(
                self._renew_pool(domain_id, pool, slot_uses)
                for (domain_id, pool), slot_uses in slot_uses_by_pool.items()
            )
        )

    async def _renew_pool(
        self, domain_id: DomainId, pool: str, slot_uses: list[SlotUse]
    ) -> None:
        steward_id = self._messenger.find_steward(domain_id, pool)
        if steward_id is None:
            return
        request_ids = tuple(
            slot_use.request.request_id for slot_use in slot_uses
        )
        renewal = HomeRenewal(self._own_id, pool, request_ids)
        result = await self._messenger.send(
            steward_id, renewal, STEWARD_TIMEOUT_S
        )
        match result:
            case Ok(UnknownSlots(unknown)):
                unknown_ids = frozenset(unknown)
            case _:
                return
        slots: list[HeldSlot] = []
        for slot_use in slot_uses:
            if (
                slot_use.slot is None
                or slot_use.request.request_id not in unknown_ids
            ):
                continue
            slot_use.steward_id = steward_id
            server_id = slot_use.slot.server_id
            slots.append(
                HeldSlot(slot_use.request, server_id, slot_use.started)
            )
        if slots:
            adopted = SlotsAdopted(pool, tuple(slots))
            await self._messenger.send(steward_id, adopted, STEWARD_TIMEOUT_S)
