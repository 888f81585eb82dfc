"""Forward calls to the home of their program and retry if it moves.

The home of a program is the instance that owns it and runs its calls.
"""

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
from jackdawfield.errors import make_failure
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
    """Return the error of a call without a complete answer from its home."""
    if error.fault is PeerFault.NOT_SENT:
        return make_failure(
            503, 'home_unreachable', error.reason, retry_after_s=1.0
        )
    return make_failure(502, 'home_lost', error.reason, Execution.UNKNOWN, 1.0)


class Forwarder:
    """Sends calls to their homes, which are this instance or peers."""

    def __init__(self, programs: ProgramsDriver, links: PeerLinks) -> None:
        self._programs = programs
        self._links = links

    async def call(self, request: CallRequest) -> AsyncIterator[CallEvent]:
        """Yield the events of a call; retry it unless an event has come.

        Only failures of forwarding are retried.
        """
        deadline_s = time.monotonic() + request.deadline_s
        attempt = 0
        while True:
            attempt += 1
            has_begun = False
            failed: CallFailed | None = None
            async for event in self._attempt(request, deadline_s):
                if is_forward_failure(event):
                    failed = event
                    break
                has_begun = True
                yield event
            if failed is None:
                return
            remaining_s = deadline_s - time.monotonic()
            seed = secrets.randbits(32)
            match decide_retry(attempt, remaining_s, has_begun, seed):
                case RetryForward(wait_s):
                    log_event(
                        LOG,
                        'forward_again',
                        request_id=request.request_id,
                        program=request.program_id,
                        attempt=attempt,
                        reason=failed.reason,
                    )
                    await asyncio.sleep(wait_s)
                case GiveUp():
                    # An earlier attempt may have run the effect.
                    if self._programs.is_effect(request):
                        failed = replace(failed, execution=Execution.UNKNOWN)
                    yield failed
                    return

    async def _attempt(
        self, request: CallRequest, deadline_s: float
    ) -> AsyncIterator[CallEvent]:
        address = self._find_home_address(request)
        if address is None:
            async for event in self._programs.run_call(request):
                yield event
            return
        stream = self._links.stream(address, request)
        has_ended = False
        try:
            while not has_ended:
                limit_s = deadline_s + DEADLINE_SLACK_S - time.monotonic()
                async with asyncio.timeout(limit_s):
                    result = await anext(stream)
                match result:
                    case Ok(event):
                        has_ended = is_last_event(event)
                        yield event
                    case Err(error):
                        has_ended = True
                        yield peer_failure(error)
        except StopAsyncIteration:
            yield peer_failure(PeerError(PeerFault.LOST, 'ended early'))
        except TimeoutError:
            yield make_failure(
                504, 'deadline_passed', 'no answer', Execution.UNKNOWN
            )
        finally:
            await stream.aclose()  # type: ignore[attr-defined]

    def _find_home_address(self, request: CallRequest) -> str | None:
        if self._programs.has_open_route(request):
            return None
        return self._programs.home_address(request.program_id)

    async def request_answer(
        self, message: CreateProgram | EndProgram, limit_s: float
    ) -> ProgramAnswer | CallFailed:
        """Have a program created or ended by its home; return the answer.

        Failures of forwarding are retried within the limit in seconds.
        """
        deadline_s = time.monotonic() + limit_s
        attempt = 0
        while True:
            attempt += 1
            remaining_s = deadline_s - time.monotonic()
            answer = await self._ask_once(message, remaining_s)
            if not is_forward_failure(answer):
                return answer
            remaining_s = deadline_s - time.monotonic()
            seed = secrets.randbits(32)
            match decide_retry(attempt, remaining_s, False, seed):
                case RetryForward(wait_s):
                    await asyncio.sleep(wait_s)
                case GiveUp():
                    return answer

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
        result = await self._links.request(address, message, timeout_s)
        if isinstance(result, Err):
            return peer_failure(result.err_value)
        answer: ProgramAnswer | CallFailed = result.ok_value
        return answer


def is_last_event(event: CallEvent) -> bool:
    """Return whether an event is the last one of a call."""
    return not isinstance(event, CallChunk)


def is_forward_failure(event: object) -> TypeGuard[CallFailed]:
    """Return whether an event reports a failure of forwarding.

    The home was not reached, was lost before its answer ended, has moved or
    has no valid lease.
    """
    if not isinstance(event, CallFailed):
        return False
    codes = ('home_unreachable', 'home_lost', 'home_moved', 'no_lease')
    return event.code in codes
