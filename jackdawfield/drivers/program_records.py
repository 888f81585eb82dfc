"""Translates between calls, their records and what homes decide on."""

import time

from result import Err

from jackdawfield.decisions.history import TurnRecord
from jackdawfield.decisions.home_base import OwnershipState
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.tails import Tail
from jackdawfield.drivers.budgets import CHARACTERS_PER_TOKEN
from jackdawfield.drivers.budgets import context_tokens
from jackdawfield.drivers.budgets import DEFAULT_MAX_TOKENS
from jackdawfield.errors import failure
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


def begun_here(known: ProgramHome) -> bool:
    """Return whether a program has had no other home than this one."""
    if known.ownership is not OwnershipState.HELD or known.row is None:
        return False
    return known.row.epoch == FIRST_EPOCH


def present(
    request: CallRequest, arrival_id: ArrivalId, tails: tuple[Tail, ...]
) -> ev.CallReceived:
    """Return a call as its home takes it."""
    try:
        position = bytes.fromhex(request.position) or None
    except ValueError:
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


def messages_of(known: ProgramHome) -> list[dict[str, str]]:
    """Return the chat messages of a program's history."""
    turns = known.history.turns if known.history is not None else ()
    return [
        message
        for turn in turns
        for message in chat_messages(turn.request, turn.answer)
    ]


def recorded(record: TurnRecord, sealed: str, ran: bool) -> list[CallEvent]:
    """Return the end of an answer, with its text if it did not run now."""
    found = decode_answer(record.answer)
    if isinstance(found, Err):
        return [failure(500, 'history_damaged', str(found.err_value))]
    answer = found.ok_value
    end = CallFinished(
        b'' if answer.chat else answer.body,
        answer.prompt_tokens,
        answer.completion_tokens,
        answer.cached_tokens,
        sealed,
        not ran,
        record.chain.hex(),
    )
    if answer.chat and not ran:
        return [CallChunk(answer.body.decode()), end]
    return [end]


def slot_request(
    known: ProgramHome, request: CallRequest, route: Route
) -> SlotRequest:
    """Return what a steward needs to know of a call."""
    own_tokens = len(request.body) // CHARACTERS_PER_TOKEN
    chat = route.kind is RouteKind.CHAT
    return SlotRequest(
        request.request_id,
        route.pool,
        request.organisation_id,
        request.program_id,
        request.program_id,
        own_tokens + context_tokens(known) if chat else own_tokens,
        DEFAULT_MAX_TOKENS,
        request.deadline_s,
        route.repeatable,
    )
