"""Define what a home holds about the slots of its calls."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.messages.pools import Slot
from jackdawfield.messages.pools import SlotRefused
from jackdawfield.messages.pools import SlotReleased
from jackdawfield.messages.pools import SlotRequest
from jackdawfield.model import DomainId
from jackdawfield.model import Execution
from jackdawfield.model import InstanceId

MAX_RECENT_ENTRIES = 20_000
NOT_STARTED = CallFailed(
    502, 'server_failed', 'server does not start the call', Execution.UNKNOWN
)


@dataclass
class SlotUse:
    """Holds a home's request for a slot, and the slot once granted.

    `waiting_since_s` is when the call first requested a slot, in monotonic
    seconds. The task is the request to the steward or the wait for the first
    event of the granted call. It is cancelled if the steward is ejected or
    the slot is revoked.
    """

    request: SlotRequest
    domain_id: DomainId
    waiting_since_s: float
    steward_id: InstanceId | None = None
    slot: Slot | None = None
    started: bool = False
    is_revoked: bool = False
    task: asyncio.Task[Any] | None = None


class AttemptRun:
    """Holds what one attempt of a call has yielded so far."""

    def __init__(self, may_restart: bool) -> None:
        self._may_restart = may_restart
        self.buffered: list[CallEvent] = []
        self.failed: CallFailed | None = None
        self.has_yielded = False

    def passes(self, event: CallEvent) -> bool:
        """Record an event; return whether it is yielded at once."""
        if isinstance(event, CallFailed):
            self.failed = event
            return False
        if self._may_restart:
            self.buffered.append(event)
            return False
        self.has_yielded = True
        return True


async def next_event(
    events: AsyncGenerator[CallEvent, None],
) -> CallEvent | None:
    """Return the next event, None at the end of the events."""
    async for event in events:
        return event
    return None


def put_recent(
    values_by_key: dict[Any, Any], key: object, value: object
) -> None:
    """Store a value; beyond MAX_RECENT_ENTRIES, remove the oldest one."""
    values_by_key.pop(key, None)
    values_by_key[key] = value
    if len(values_by_key) > MAX_RECENT_ENTRIES:
        del values_by_key[next(iter(values_by_key))]


def make_release(
    released: SlotReleased, event: CallFinished, request: SlotRequest
) -> SlotReleased:
    """Return a release with the usage of a complete answer.

    Counts that the server left out are replaced by estimates.
    """
    return replace(
        released,
        ok=True,
        prompt_tokens=event.prompt_tokens or request.prompt_tokens,
        cached_tokens=event.cached_tokens,
        completion_tokens=event.completion_tokens or request.expected_tokens,
    )


def refusal_failure(refusal: SlotRefused) -> CallFailed:
    """Return the error of a call that was refused a slot."""
    return CallFailed(
        503,
        'no_server',
        refusal.reason,
        Execution.NOT_RUN,
        refusal.retry_after_s,
    )
