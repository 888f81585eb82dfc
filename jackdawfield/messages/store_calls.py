"""Defines how an instance calls the store through another instance."""

from dataclasses import dataclass

from jackdawfield.messages.base import message


@message
@dataclass(frozen=True, slots=True)
class StoreCall:
    """Asks an instance to pass a call on to the store."""

    method: str
    target: str
    body: bytes
    timeout_s: float


@message
@dataclass(frozen=True, slots=True)
class StoreReply:
    """Brings the store's answer."""

    status: int
    body: bytes


@message
@dataclass(frozen=True, slots=True)
class StoreUnreached:
    """Says that the store gave no answer, and whether it may have acted."""

    sent: bool
    reason: str
