"""Convert between callers' requests, turn records and events of homes."""

import time

from result import Err

from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.home_base import OwnershipState
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.tails import Tail
from jackdawfield.drivers.budgets import CHARACTERS_PER_TOKEN
from jackdawfield.drivers.budgets import count_context_tokens
from jackdawfield.drivers.budgets import DEFAULT_MAX_TOKENS
from jackdawfield.errors import make_failure
from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.calls import CallRequest
from jackdawfield.messages.pools import SlotRequest
from jackdawfield.messages.programs import chat_messages
from jackdawfield.messages.programs import decode_answer
from jackdawfield.messages.programs import request_digest
from jackdawfield.model import Epoch
from jackdawfield.model import Route
from jackdawfield.model import RouteKind

FIRST_EPOCH = Epoch(1)


def is_first_home(home: ProgramHome) -> bool:
    """Return whether this home owns the program as the first to do so."""
    if home.ownership is not OwnershipState.HELD or home.row is None:
        return False
    return home.row.epoch == FIRST_EPOCH


def make_call_received(
    request: CallRequest, arrival_id: ArrivalId, tails: tuple[Tail, ...]
) -> ev.CallReceived:
    """Return the event that passes a call to its home."""
    try:
        position = bytes.fromhex(request.position) or None
    except ValueError:
        # A position that is no hexadecimal text matches no turn.
        position = request.position.encode()
    return ev.CallReceived(
        arrival_id,
        request.organisation_id,
        request.call_number,
        request_digest(request),
        time.monotonic(),
        time.time(),
        position,
        tails,
    )


def history_messages(home: ProgramHome) -> list[dict[str, str]]:
    """Return the chat messages of the turns in a program's history."""
    turns = home.history.turns if home.history is not None else ()
    return [
        message
        for turn in turns
        for message in chat_messages(turn.request, turn.answer)
    ]


def answer_events(
    record: TurnRecord, sealed: str, has_run: bool
) -> list[CallEvent]:
    """Return the events of a recorded answer.

    The text is left out if the call has just run, since its chunks were sent
    as they came.
    """
    decoded = decode_answer(record.answer)
    if isinstance(decoded, Err):
        return [make_failure(500, 'history_damaged', str(decoded.err_value))]
    answer = decoded.ok_value
    end = CallFinished(
        b'' if answer.chat else answer.body,
        answer.prompt_tokens,
        answer.completion_tokens,
        answer.cached_tokens,
        sealed,
        not has_run,
        record.chain.hex(),
    )
    if answer.chat and not has_run:
        return [CallChunk(answer.body.decode()), end]
    return [end]


def make_slot_request(
    home: ProgramHome, request: CallRequest, route: Route
) -> SlotRequest:
    """Return the request for a slot for a call.

    The prompt of a chat call includes the context of its last turn. Each
    program is its own root.
    """
    own_tokens = len(request.body) // CHARACTERS_PER_TOKEN
    is_chat = route.kind is RouteKind.CHAT
    return SlotRequest(
        request.request_id,
        route.pool,
        request.organisation_id,
        request.program_id,
        request.program_id,
        own_tokens + count_context_tokens(home) if is_chat else own_tokens,
        DEFAULT_MAX_TOKENS,
        request.deadline_s,
        route.repeatable,
    )
