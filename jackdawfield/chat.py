"""Parse chat requests of callers and format answers to them."""

import json
from typing import Annotated
from typing import Literal

import msgspec
from result import Err
from result import Ok
from result import Result

MAX_ANSWER_TOKENS = 32_768


class ChatError(Exception):
    """Reports a body that is not a valid chat request."""


class ChatMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds one message of a chat."""

    role: Literal['system', 'user', 'assistant', 'tool']
    content: str
    name: str | None = None
    tool_call_id: str | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """Holds the fields of a chat request that the daemon reads."""

    model: str
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_ANSWER_TOKENS)] = 256
    stream: bool = False


def parse_chat(body: bytes) -> Result[ChatBody, ChatError]:
    """Return the chat request of a body, or the reason it is not valid."""
    try:
        return Ok(msgspec.json.decode(body, type=ChatBody))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ChatError(str(error)))


def chat_chunk(request_id: str, model: str, text: str) -> str:
    """Return one piece of a streamed answer as a server-sent event."""
    choice = {'index': 0, 'delta': {'content': text}, 'finish_reason': None}
    return format_event(request_id, model, choice)


def chat_end(
    request_id: str,
    model: str,
    prompt_tokens: int,
    completion_tokens: int,
    tail: str,
    position: str = '',
) -> str:
    """Return the last events of a complete streamed answer."""
    choice = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    finish = format_event(request_id, model, choice)
    usage = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [],
        'usage': format_usage(prompt_tokens, completion_tokens),
    }
    if position:
        usage['jackdawfield_position'] = position
    if tail:
        usage['jackdawfield_tail'] = tail
    return f'{finish}data: {json.dumps(usage)}\n\ndata: [DONE]\n\n'


def format_event(
    request_id: str, model: str, choice: dict[str, object]
) -> str:
    """Return one choice as a server-sent event."""
    value = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [choice],
    }
    return f'data: {json.dumps(value)}\n\n'


def whole_chat(
    request_id: str,
    model: str,
    text: str,
    prompt_tokens: int,
    completion_tokens: int,
) -> str:
    """Return a complete answer that is not streamed."""
    message = {'role': 'assistant', 'content': text}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return json.dumps(
        {
            'id': request_id,
            'object': 'chat.completion',
            'model': model,
            'choices': [choice],
            'usage': format_usage(prompt_tokens, completion_tokens),
        }
    )


def format_usage(prompt_tokens: int, completion_tokens: int) -> dict[str, int]:
    """Return the token counts as the usage field of an answer."""
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': completion_tokens,
        'total_tokens': prompt_tokens + completion_tokens,
    }
