"""Register message classes by name, and encode and decode messages."""

from typing import Any
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decoding import DECODE_ERRORS

MessageClass = TypeVar('MessageClass', bound=type)

_CLASSES_BY_NAME: dict[str, type] = {}


class MessageError(Exception):
    """Represents an unknown message name or an invalid message body."""


def message(cls: MessageClass) -> MessageClass:
    """Register a frozen data class as a message under its class name.

    The class name and the field names are sent to other instances.
    """
    _CLASSES_BY_NAME[cls.__name__] = cls
    return cls


def encode(value: object) -> tuple[str, bytes]:
    """Return a message's class name and its body in MessagePack."""
    return type(value).__name__, msgspec.msgpack.encode(value)


def decode(name: str, body: bytes) -> Result[Any, MessageError]:
    """Return the decoded message, or an error if its types do not match."""
    cls = _CLASSES_BY_NAME.get(name)
    if cls is None:
        return Err(MessageError(f'unknown message {name}'))
    try:
        return Ok(msgspec.msgpack.decode(body, type=cls))
    except DECODE_ERRORS as error:
        return Err(MessageError(f'{name}: {error}'))
