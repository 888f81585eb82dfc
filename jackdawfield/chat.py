"""Parse callers' chat requests and format the responses to them.

Both have the format of OpenAI's chat completions. A response also reports a
tail, which holds turns that are not durable yet, and a position, the chain
hash of its turn: a streamed one in the fields jackdawfield_tail and
jackdawfield_position of its usage event, a whole one in its headers.
"""

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
    """Holds one message of a chat.

    An unknown field makes the whole request invalid.
    """

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


def format_chat_chunk(request_id: str, model: str, text: str) -> str:
    """Return one piece of a streamed response as a server-sent event."""
    choice = {'index': 0, 'delta': {'content': text}, 'finish_reason': None}
    return format_event(request_id, model, choice)


def format_chat_end(
    request_id: str,
    model: str,
    prompt_tokens: int,
    completion_tokens: int,
    tail: str,
    position: str = '',
) -> str:
    """Return the last events of a complete streamed response.

    The first reports the finish reason 'stop', the second the token counts,
    the tail and the position.
    """
    choice = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    finish_event = format_event(request_id, model, choice)
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
    return f'{finish_event}data: {json.dumps(usage)}\n\ndata: [DONE]\n\n'


def format_event(
    request_id: str, model: str, choice: dict[str, object]
) -> str:
    """Return one choice of a streamed response as a server-sent event."""
    value = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [choice],
    }
    return f'data: {json.dumps(value)}\n\n'


def format_chat_completion(
    request_id: str,
    model: str,
    text: str,
    prompt_tokens: int,
    completion_tokens: int,
) -> str:
    """Return the body of a complete response that is not streamed."""
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
    """Return the token counts as the usage field of a response."""
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': completion_tokens,
        'total_tokens': prompt_tokens + completion_tokens,
    }
