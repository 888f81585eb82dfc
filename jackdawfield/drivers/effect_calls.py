"""Run service calls that may run at most once, as effects."""

from collections.abc import Callable
from dataclasses import replace
from hashlib import sha256

from result import Err
from result import Result

from jackdawfield.decisions.effect_events import EffectAnswer
from jackdawfield.decisions.effect_events import InProgress
from jackdawfield.decisions.effect_events import NotRun
from jackdawfield.decisions.effect_events import Ran
from jackdawfield.decisions.effect_events import RequestDiffers
from jackdawfield.decisions.effect_events import Undecided
from jackdawfield.decisions.effect_events import Unknown
from jackdawfield.decisions.effect_rows import EffectKey
from jackdawfield.drivers.backends import BackendError
from jackdawfield.drivers.backends import ServiceClient
from jackdawfield.drivers.effects import EffectsDriver
from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpFault
from jackdawfield.errors import make_failure
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.calls import CallRequest
from jackdawfield.model import Execution

RETRY_AFTER_S = 1.0
EFFECT_NOT_RUN = 'effect_not_run'
CALL_DIFFERS = 'call_differs'
CERTAINLY_NOT_RUN_CODES = frozenset({EFFECT_NOT_RUN, CALL_DIFFERS})


def effect_key(request: CallRequest) -> EffectKey:
    """Return the key of a call's effect."""
    return EffectKey(
        request.organisation_id, request.program_id, request.call_number
    )


class EffectCalls:
    """Runs calls as effects and converts their answers for callers.

    The instance is the sole owner if no other has owned the program.
    """

    def __init__(
        self, effects: EffectsDriver, services: ServiceClient
    ) -> None:
        self._effects = effects
        self._services = services

    async def run(
        self,
        request: CallRequest,
        address: str,
        is_sole_owner: bool,
        check_refusal: Callable[[], CallFailed | None],
    ) -> CallFinished | CallFailed:
        """Run a call and return its end.

        Right before the dispatch, check_refusal returns an error if the call
        may not be sent, such as after a lost lease.
        """

        async def dispatch() -> Result[HttpAnswer, BackendError]:
            refusal = check_refusal()
            if refusal is not None:
                reason = refusal.reason
                return Err(BackendError(HttpFault.NOT_SENT, reason))
            return await self._services.run(
                address,
                request.route_name,
                request.request_id,
                request.body,
                request.deadline_s,
            )

        answer = await self._effects.run(
            effect_key(request),
            call_digest(request),
            request.route_name,
            is_sole_owner,
            dispatch,
        )
        return make_reply(answer)

    def correct_execution(
        self, request: CallRequest, is_sole_owner: bool, event: CallEvent
    ) -> CallEvent:
        """Return the event, with NOT_RUN replaced by UNKNOWN where needed.

        It is replaced if an earlier request of the call may have run it.
        """
        match event:
            case CallFailed(execution=Execution.NOT_RUN):
                pass
            case _:
                return event
        if event.code in CERTAINLY_NOT_RUN_CODES:
            return event
        if self._effects.is_unclaimed(effect_key(request), is_sole_owner):
            return event
        return replace(event, execution=Execution.UNKNOWN)


def call_digest(request: CallRequest) -> str:
    """Return the SHA-256 by which a repeated request is recognised."""
    data = request.route_name.encode() + b'\0' + request.body
    return sha256(data).hexdigest()


def make_reply(answer: EffectAnswer) -> CallFinished | CallFailed:
    """Return what the caller receives for the answer of an effect."""
    match answer:
        case Ran(outcome):
            return CallFinished(outcome)
        case NotRun(reason):
            return make_failure(
                503, EFFECT_NOT_RUN, reason, retry_after_s=RETRY_AFTER_S
            )
        case Unknown(_, reason):
            return make_failure(
                502, 'effect_unknown', reason, Execution.UNKNOWN
            )
        case Undecided(reason):
            return retryable_unknown(503, 'effect_undecided', reason)
        case InProgress():
            reason = 'another instance runs the call'
            return retryable_unknown(409, 'effect_in_progress', reason)
        case RequestDiffers():
            return make_failure(
                409, CALL_DIFFERS, 'the number has another body'
            )


def retryable_unknown(status: int, code: str, reason: str) -> CallFailed:
    """Return the error of a call whose outcome a repeat may report."""
    return make_failure(status, code, reason, Execution.UNKNOWN, RETRY_AFTER_S)
