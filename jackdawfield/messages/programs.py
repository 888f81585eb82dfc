"""Define how the turns of a program are stored."""

from hashlib import sha256
import json

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.messages.calls import CallRequest
from jackdawfield.model import RouteName


class StoredRequest(msgspec.Struct, frozen=True):
    """Holds the route and body of a finished call."""

    route_name: RouteName
    body: bytes


class StoredAnswer(msgspec.Struct, frozen=True):
    """Holds the response of a finished call; chat is false for a service."""

    chat: bool
    body: bytes
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class StoredTurnError(Exception):
    """Represents a stored turn that cannot be decoded."""


def request_digest(request: CallRequest) -> bytes:
    """Return the SHA-256 by which a repeated call is recognised."""
    route = request.route_name.encode()
    return sha256(route + b'\0' + request.body).digest()


def encode_request(request: CallRequest) -> bytes:
    """Return the stored form of a call's route and body."""
    stored = StoredRequest(request.route_name, request.body)
    return msgspec.msgpack.encode(stored)


def encode_answer(answer: StoredAnswer) -> bytes:
    """Return the stored form of a response."""
    return msgspec.msgpack.encode(answer)


def decode_answer(value: bytes) -> Result[StoredAnswer, StoredTurnError]:
    """Return the response of its stored form."""
    try:
        return Ok(msgspec.msgpack.decode(value, type=StoredAnswer))
    except msgspec.MsgspecError as error:
        return Err(StoredTurnError(str(error)))


def chat_messages(request: bytes, answer: bytes) -> list[dict[str, str]]:
    """Return the chat messages of a stored turn, none for a service call."""
    stored_answer = msgspec.msgpack.decode(answer, type=StoredAnswer)
    if not stored_answer.chat:
        return []
    stored_call = msgspec.msgpack.decode(request, type=StoredRequest)
    messages: list[dict[str, str]] = json.loads(stored_call.body)['messages']
    reply = {'role': 'assistant', 'content': stored_answer.body.decode()}
    return [*messages, reply]
