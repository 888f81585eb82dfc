"""Call backend servers on granted slots."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
import json
import logging
import time

from result import Err

from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.drivers.backends import BackendError
from jackdawfield.drivers.backends import EngineClient
from jackdawfield.drivers.backends import ServiceClient
from jackdawfield.drivers.backends import Token
from jackdawfield.drivers.backends import Usage
from jackdawfield.drivers.budgets import ChatLimit
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.effect_calls import EffectCalls
from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpFault
from jackdawfield.drivers.program_records import history_messages
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.calls import CallRequest
from jackdawfield.messages.pools import Slot
from jackdawfield.model import Execution
from jackdawfield.model import Route
from jackdawfield.model import RouteKind

MAX_RESUMES = 3
HTTP_OK = 200
MIN_SERVER_ERROR_STATUS = 500
LOG = logging.getLogger(__name__)


class ServerCalls:
    """Runs calls on the backend servers of granted slots."""

    def __init__(
        self,
        contracts: FleetStateDriver,
        engines: EngineClient,
        services: ServiceClient,
        effects: EffectCalls,
    ) -> None:
        self._contracts = contracts
        self._engines = engines
        self._services = services
        self._effects = effects

    async def run(
        self,
        home: ProgramHome,
        request: CallRequest,
        route: Route,
        slot: Slot,
        limit: ChatLimit,
        is_sole_owner: bool,
    ) -> AsyncGenerator[CallEvent, None]:
        """Yield the events of one attempt.

        The instance is the sole owner if no other has owned the program.
        """
        refusal = self._dispatch_refusal(request, route)
        if refusal is not None:
            yield refusal
            return
        if route.kind is RouteKind.CHAT:
            events = self._run_chat(home, request, slot, limit)
        elif is_effect_route(route):
            events = self._run_effect(request, route, slot, is_sole_owner)
        else:
            events = self._run_service(request, slot)
        async with aclosing(events):
            async for event in events:
                yield event

    def _dispatch_refusal(
        self, request: CallRequest, route: Route
    ) -> CallFailed | None:
        if route.open:
            return None
        return self._contracts.dispatch_refusal(request.key_id)

    async def _run_chat(
        self,
        home: ProgramHome,
        request: CallRequest,
        slot: Slot,
        limit: ChatLimit,
    ) -> AsyncGenerator[CallEvent, None]:
        deadline_s = time.monotonic() + request.deadline_s
        received_tokens = 0
        events = self._engines.chat(
            slot.address,
            request.program_id,
            request.request_id,
            _build_chat_body(home, request, limit),
            request.deadline_s,
        )
        for attempt in range(MAX_RESUMES + 1):
            error: BackendError | None = None
            async for event in events:
                match event:
                    case Token(piece):
                        received_tokens += 1
                        yield CallChunk(piece)
                    case Usage(prompt, completion, cached):
                        yield CallFinished(b'', prompt, completion, cached)
                    case BackendError():
                        error = event
            if error is None:
                return
            remaining_s = deadline_s - time.monotonic()
            if (
                not received_tokens
                or attempt == MAX_RESUMES
                or remaining_s <= 0
            ):
                # A partial answer uses all tokens that were reserved for it.
                home.failed_tokens += limit.tokens if received_tokens else 0
                yield server_failure(error.fault, error.reason)
                return
            log_event(
                LOG,
                'stream_resumed',
                request_id=request.request_id,
                token=received_tokens,
                reason=error.reason,
            )
            events = self._engines.resume(
                slot.address, request.request_id, received_tokens, remaining_s
            )

    async def _run_effect(
        self,
        request: CallRequest,
        route: Route,
        slot: Slot,
        is_sole_owner: bool,
    ) -> AsyncGenerator[CallEvent, None]:
        yield await self._effects.run(
            request,
            slot.address,
            is_sole_owner,
            lambda: self._dispatch_refusal(request, route),
        )

    async def _run_service(
        self, request: CallRequest, slot: Slot
    ) -> AsyncGenerator[CallEvent, None]:
        result = await self._services.run(
            slot.address,
            request.route_name,
            request.request_id,
            request.body,
            request.deadline_s,
        )
        if isinstance(result, Err):
            yield server_failure(result.err_value.fault, 'service failed')
            return
        answer = result.ok_value
        if answer.status != HTTP_OK:
            yield service_failure(answer)
            return
        yield CallFinished(answer.body)


def _build_chat_body(
    home: ProgramHome, request: CallRequest, limit: ChatLimit
) -> bytes:
    """Return a call's body, with the program's history before it."""
    body = json.loads(request.body)
    body['messages'] = [*history_messages(home), *body['messages']]
    body['stream'] = True
    body['max_tokens'] = limit.max_new_tokens
    return json.dumps(body).encode()


def is_effect_route(route: Route) -> bool:
    """Return whether the calls of a route may run at most once."""
    if route.kind is not RouteKind.SERVICE:
        return False
    return not route.repeatable and not route.open


def not_run_failure(
    status: int, code: str, reason: str, retry_after_s: float = 0.0
) -> CallFailed:
    """Return the error of a call that has not run."""
    return CallFailed(status, code, reason, Execution.NOT_RUN, retry_after_s)


def server_failure(fault: HttpFault, reason: str) -> CallFailed:
    """Return the error of a call without a complete answer from its server."""
    if fault is HttpFault.NOT_SENT:
        return not_run_failure(502, 'server_unreachable', reason)
    return CallFailed(502, 'server_failed', reason, Execution.UNKNOWN)


def service_failure(answer: HttpAnswer) -> CallFailed:
    """Return the error for a service's answer with an error status."""
    reason = f'service answered {answer.status}'
    if answer.status >= MIN_SERVER_ERROR_STATUS:
        return CallFailed(502, 'server_failed', reason, Execution.UNKNOWN)
    return CallFailed(502, 'service_refused', reason, Execution.RAN)
