"""Assign slots at backend servers to calls, queued calls by rank."""

import asyncio
from dataclasses import dataclass
import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.servers.call_queue import CallQueue
from jackdawfield.gateway.servers.call_queue import MAX_QUEUE_WAIT_S
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.model import ServiceName

RETRY_AFTER_S = 0.1


@dataclass(frozen=True, slots=True)
class _QueuedCall:
    """Holds a queued call and the future of its server."""

    criteria: ServerCriteria
    server: asyncio.Future[ServerState | None]


class SlotQueue:
    """Holds the calls that wait for a slot, by service."""

    def __init__(self, servers: Servers, metrics: GatewayMetrics) -> None:
        self.servers = servers
        self._metrics = metrics
        self.configuration: FleetConfiguration | None = None
        self._queues_by_service: dict[ServiceName, CallQueue[_QueuedCall]] = {}

    async def acquire(
        self, call: Call, criteria: ServerCriteria
    ) -> ServerState | Refusal | None:
        """Return a server with a slot acquired, after queueing if necessary.

        Return a refusal if no slot is free in time, None without a server.
        """
        server = self.servers.choose(criteria, time.monotonic())
        if server is None:
            return None
        queue = self._queue_of(criteria.service)
        if not criteria.needs_slot or (server.has_room and not len(queue)):
            server.in_flight += 1
            return server
        rank = queue.rank(call, self.configuration)
        wait_s = queue.expected_wait_s(rank)
        if wait_s > MAX_QUEUE_WAIT_S:
            return Refusal(503, 'servers are full', wait_s)
        queued = _QueuedCall(
            criteria, asyncio.get_running_loop().create_future()
        )
        queue.put(rank, queued)
        self._assign_slots(criteria.service)
        with self._metrics.time_slot_wait(call):
            return await self._wait_for_slot(queued)

    async def _wait_for_slot(
        self, queued: _QueuedCall
    ) -> ServerState | Refusal | None:
        try:
            async with asyncio.timeout(MAX_QUEUE_WAIT_S):
                return await asyncio.shield(queued.server)
        except TimeoutError:
            if queued.server.done():
                return queued.server.result()
            queued.server.cancel()
            return Refusal(503, 'servers are full', RETRY_AFTER_S)
        except asyncio.CancelledError:
            if not queued.server.cancel():
                self._release_unclaimed(queued.server.result())
            raise

    def _assign_slots(self, service: ServiceName) -> None:
        """Assign the free slots to queued calls."""
        queue = self._queue_of(service)
        while (queued := queue.peek()) is not None:
            if queued.server.done():
                queue.pop()
                continue
            server = self.servers.choose(queued.criteria, time.monotonic())
            if server is not None and not server.has_room:
                return
            queue.pop()
            if server is not None:
                server.in_flight += 1
            queued.server.set_result(server)

    def _queue_of(self, service: ServiceName) -> CallQueue[_QueuedCall]:
        return self._queues_by_service.setdefault(service, CallQueue())

    def _release_unclaimed(self, server: ServerState | None) -> None:
        if server is not None:
            self.release(server)

    def take(self, server: ServerState) -> None:
        """Take a slot at once, also beyond the limit of concurrent calls."""
        server.in_flight += 1

    def release(self, server: ServerState) -> None:
        """Release a slot and assign it to the next queued call."""
        self._queue_of(server.entry.service).record_end(time.monotonic())
        self.release_unused(server)

    def release_unused(self, server: ServerState) -> None:
        """Release a slot for which no call was sent."""
        server.in_flight -= 1
        self._assign_slots(server.entry.service)
