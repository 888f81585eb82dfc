"""Convert the errors of a program's home to errors for callers."""

import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.ordering import CallGap
from jackdawfield.decisions.ordering import DigestMismatch
from jackdawfield.decisions.ordering import InvalidNumber
from jackdawfield.decisions.ordering import TooManyWaiting
from jackdawfield.decisions.programs import ForeignProgram
from jackdawfield.decisions.programs import ProgramEnded
from jackdawfield.decisions.programs import UnknownProgram
from jackdawfield.decisions.tails import TailGap
from jackdawfield.decisions.tails import TailInvalid
from jackdawfield.decisions.tails import TailOld
from jackdawfield.errors import make_failure
from jackdawfield.messages.calls import CallFailed
from jackdawfield.model import Execution

RETRY_AFTER_S = 1.0

HistoryError = (
    ev.PositionMismatch
    | ev.HistoryUnavailable
    | ev.HistoryDamaged
    | ev.Moved
    | ev.EndNotDurable
    | ev.TurnNotKept
)


def home_failure(error: ev.HomeError) -> CallFailed:
    """Return the caller's error for an error of the home."""
    match error:
        case UnknownProgram() | ForeignProgram():
            return make_failure(404, 'unknown_program', 'no such program')
        case ProgramEnded(reason):
            return make_failure(410, 'program_ended', reason.value)
        case DigestMismatch(number):
            text = f'call {number} came before with another body'
            return make_failure(409, 'call_differs', text)
        case CallGap(number, expected):
            text = f'call {number} came, but call {expected} did not'
            return make_failure(409, 'call_gap', text)
        case InvalidNumber(number):
            return make_failure(400, 'bad_request', f'call {number}')
        case TooManyWaiting() | ev.CallRunning():
            return retryable_failure('call_waits', 'other calls are under way')
        case TailInvalid() | TailGap() | TailOld():
            return tail_failure(error)
        case _:
            return history_failure(error)


def tail_failure(error: TailInvalid | TailGap | TailOld) -> CallFailed:
    """Return the caller's error for a sealed tail that cannot be used."""
    match error:
        case TailInvalid():
            return make_failure(
                400, 'tail_invalid', 'tail is not of this program'
            )
        case TailGap(base_turn, known_turn):
            text = f'tail follows turn {base_turn}, turn {known_turn} is known'
            return make_failure(409, 'tail_gap', text)
        case TailOld():
            return make_failure(
                409, 'tail_old', 'history has left the tail behind'
            )


def history_failure(error: HistoryError) -> CallFailed:
    """Return the caller's error for a history that cannot be continued."""
    match error:
        case ev.PositionMismatch():
            text = 'call does not follow the last turn'
            return make_failure(409, 'position_mismatch', text)
        case ev.HistoryUnavailable():
            return retryable_failure(
                'history_unavailable', 'platform does not answer'
            )
        case ev.HistoryDamaged():
            return make_failure(
                500, 'history_damaged', 'history does not verify'
            )
        case ev.Moved():
            return retryable_failure('home_moved', 'program has another home')
        case ev.EndNotDurable():
            return retryable_failure(
                'end_not_durable', 'end may still be lost'
            )
        case ev.TurnNotKept():
            return make_failure(
                503,
                'turn_not_kept',
                'call ran, but its turn was not kept',
                Execution.RAN,
                RETRY_AFTER_S,
            )


def retryable_failure(code: str, reason: str) -> CallFailed:
    """Return the error of a call that has not run and may be retried."""
    return make_failure(503, code, reason, retry_after_s=RETRY_AFTER_S)
