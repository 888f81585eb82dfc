"""Define the messages that relay a store call through another instance."""

from dataclasses import dataclass

from jackdawfield.messages.base import message


@message
@dataclass(frozen=True, slots=True)
class StoreCall:
    """Requests that an instance forwards a call to the store.

    The store holds a read for up to `wait_s` until rows change; None for a
    write, and from an instance that doesn't tell.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float
    wait_s: float | None = None


@message
@dataclass(frozen=True, slots=True)
class StoreReply:
    """Holds the store's response."""

    status: int
    body: bytes


@message
@dataclass(frozen=True, slots=True)
class StoreUnreached:
    """Reports that the store did not answer; if sent, it may have acted."""

    sent: bool
    reason: str
