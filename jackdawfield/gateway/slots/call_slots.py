"""Acquire and release the slots that calls use at backend servers."""

import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.exchange import ExchangeOutcome
from jackdawfield.gateway.servers.exchange import NotRun
from jackdawfield.gateway.servers.exchange import ResponseLost
from jackdawfield.gateway.servers.exchange import STATUS_SERVER_ERROR
from jackdawfield.gateway.servers.exchange import Unreached
from jackdawfield.gateway.servers.response import ResponseStream
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.slots.client import SlotClient
from jackdawfield.messages.fleet_slots import SlotEnd


class CallSlots:
    """Acquires slots from their owners, or in this instance's own queue.

    Without a client for owners, this instance decides alone.
    """

    def __init__(
        self, slot_queue: SlotQueue, client: SlotClient | None
    ) -> None:
        self._queue = slot_queue
        self._client = client

    async def acquire(
        self, call: Call, criteria: ServerCriteria
    ) -> ServerState | Refusal | None:
        """Return a server with a slot acquired, after queueing if necessary.

        Return a refusal if no slot is free in time, None without a server.
        """
        client = self._client
        if client is None:
            return await self._queue.acquire(call, criteria)
        granted = await client.acquire(call, criteria)
        if granted is not None:
            return granted
        server = await self._queue.acquire(call, criteria)
        if isinstance(server, ServerState):
            client.hold(call, server)
        return server

    def take(self, call: Call, server: ServerState) -> None:
        """Take a slot at once, also beyond the limit of concurrent calls."""
        self._queue.take(server)
        if self._client is not None:
            self._client.hold(call, server)

    def begin(self, call: Call, server: ServerState) -> None:
        """Record the first piece of a call's answer."""
        if self._client is not None:
            server_id = server.entry.server_id
            self._client.held.begin(call.request_id, server_id)

    def release(self, call: Call, server: ServerState, end: SlotEnd) -> None:
        """Release a slot and assign it to the next queued call."""
        self._tell(call, server, end)
        if end is SlotEnd.UNUSED:
            self._queue.release_unused(server)
        else:
            self._queue.release(server)

    def _tell(self, call: Call, server: ServerState, end: SlotEnd) -> None:
        if self._client is not None:
            server_id = server.entry.server_id
            self._client.held.release(call.request_id, server_id, end)


def end_of_try(
    server: ServerState, outcome: ExchangeOutcome | None
) -> SlotEnd:
    """Return how a slot's use ended without a response that is passed on.

    The outcome is None if the call ended meanwhile.
    """
    match outcome:
        case Unreached():
            return SlotEnd.UNREACHED
        case NotRun():
            is_full = server.full_until_s > time.monotonic()
            return SlotEnd.FULL if is_full else SlotEnd.FAILED
        case ResponseLost():
            return SlotEnd.FAILED
        case _:
            return SlotEnd.ABANDONED


def end_of_response(response: ResponseStream, end: BodyEnd | None) -> SlotEnd:
    """Return how a slot's use ended; the end is None if the caller left."""
    if end is None:
        return SlotEnd.ABANDONED
    if end is BodyEnd.CUT or response.head.status >= STATUS_SERVER_ERROR:
        return SlotEnd.FAILED
    return SlotEnd.SUCCEEDED
