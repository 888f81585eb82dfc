"""Carries calls to the home of their program and follows it when it moves."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
import logging
import secrets
import time
from typing import TypeGuard

from result import Err
from result import Ok

from jackdawfield.decisions.forwarding import decide_retry
from jackdawfield.decisions.forwarding import GiveUp
from jackdawfield.decisions.forwarding import RetryForward
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.programs import ProgramsDriver
from jackdawfield.errors import failure
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallRequest
from jackdawfield.messages.calls import CreateProgram
from jackdawfield.messages.calls import EndProgram
from jackdawfield.messages.calls import ProgramAnswer
from jackdawfield.model import Execution

LOG = logging.getLogger(__name__)
DEADLINE_SLACK_S = 0.5


def peer_failure(error: PeerError) -> CallFailed:
    """Return the error of a call whose home gave no whole answer."""
    if error.fault is PeerFault.NOT_SENT:
        return failure(
            503, 'home_unreachable', error.reason, retry_after_s=1.0
        )
    return failure(502, 'home_lost', error.reason, Execution.UNKNOWN, 1.0)


class Forwarder:
    """Sends calls to homes, here or on peers."""

    def __init__(self, programs: ProgramsDriver, links: PeerLinks) -> None:
        self._programs = programs
        self._links = links

    async def call(self, request: CallRequest) -> AsyncIterator[CallEvent]:
        """Yield the events of a call; a failure only after all tries."""
        end_s = time.monotonic() + request.deadline_s
        attempt = 0
        while True:
            attempt += 1
            begun = False
            lost: CallFailed | None = None
            async for event in self._attempt(request, end_s):
                if is_lost(event):
                    lost = event
                    break
                begun = True
                yield event
            if lost is None:
                return
            remaining_s = end_s - time.monotonic()
            seed = secrets.randbits(32)
            match decide_retry(attempt, remaining_s, begun, seed):
                case RetryForward(wait_s):
                    log_event(
                        LOG,
                        'forward_again',
                        request_id=request.request_id,
                        program=request.program_id,
                        attempt=attempt,
                        reason=lost.reason,
                    )
                    await asyncio.sleep(wait_s)
                case GiveUp():
                    if self._programs.is_effect(request):
                        lost = replace(lost, execution=Execution.UNKNOWN)
                    yield lost
                    return

    async def _attempt(
        self, request: CallRequest, end_s: float
    ) -> AsyncIterator[CallEvent]:
        address = self._address(request)
        if address is None:
            async for event in self._programs.run_call(request):
                yield event
            return
        stream = self._links.stream(address, request)
        ended = False
        try:
            while not ended:
                limit_s = end_s + DEADLINE_SLACK_S - time.monotonic()
                async with asyncio.timeout(limit_s):
                    found = await anext(stream)
                match found:
                    case Ok(event):
                        ended = is_last(event)
                        yield event
                    case Err(error):
                        ended = True
                        yield peer_failure(error)
        except StopAsyncIteration:
            yield peer_failure(PeerError(PeerFault.LOST, 'ended early'))
        except TimeoutError:
            yield failure(
                504, 'deadline_passed', 'no answer', Execution.UNKNOWN
            )
        finally:
            await stream.aclose()  # type: ignore[attr-defined]

    def _address(self, request: CallRequest) -> str | None:
        if self._programs.is_open(request):
            return None
        return self._programs.home_address(request.program_id)

    async def ask(
        self, message: CreateProgram | EndProgram, limit_s: float
    ) -> ProgramAnswer | CallFailed:
        """Return the home's answer to a request about a program."""
        end_s = time.monotonic() + limit_s
        attempt = 0
        while True:
            attempt += 1
            remaining_s = end_s - time.monotonic()
            found = await self._ask_once(message, remaining_s)
            if not is_lost(found):
                return found
            remaining_s = end_s - time.monotonic()
            seed = secrets.randbits(32)
            match decide_retry(attempt, remaining_s, False, seed):
                case RetryForward(wait_s):
                    await asyncio.sleep(wait_s)
                case GiveUp():
                    return found

    async def _ask_once(
        self, message: CreateProgram | EndProgram, timeout_s: float
    ) -> ProgramAnswer | CallFailed:
        address = self._programs.home_address(message.program_id)
        if address is None:
            match message:
                case CreateProgram():
                    return await self._programs.create(message)
                case EndProgram():
                    return await self._programs.end(message)
        found = await self._links.request(address, message, timeout_s)
        if isinstance(found, Err):
            return peer_failure(found.err_value)
        answer: ProgramAnswer | CallFailed = found.ok_value
        return answer


def is_last(event: CallEvent) -> bool:
    """Return whether an event ends a call's answer."""
    return not isinstance(event, CallChunk)


def is_lost(event: object) -> TypeGuard[CallFailed]:
    """Return whether an event tells that the home was not reached or lost."""
    if not isinstance(event, CallFailed):
        return False
    codes = ('home_unreachable', 'home_lost', 'home_moved', 'no_lease')
    return event.code in codes
