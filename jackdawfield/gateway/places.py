"""Gives calls a place at a server, those that wait in the calls' order."""

import asyncio
from dataclasses import dataclass
import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.servers import Servers
from jackdawfield.gateway.servers import ServerState
from jackdawfield.gateway.servers import Wanted
from jackdawfield.gateway.waiting import LONGEST_WAIT_S
from jackdawfield.gateway.waiting import Waiting
from jackdawfield.model import ServiceName

RETRY_SOON_S = 0.1


@dataclass(frozen=True, slots=True)
class _Turn:
    """Holds a call that waits for a place."""

    wanted: Wanted
    server: asyncio.Future[ServerState | None]


class Places:
    """Holds the calls that wait for a place, by service."""

    def __init__(self, servers: Servers, metrics: GatewayMetrics) -> None:
        self.servers = servers
        self._metrics = metrics
        self.configuration: FleetConfiguration | None = None
        self._waiting_by_service: dict[ServiceName, Waiting[_Turn]] = {}

    async def take(
        self, call: Call, wanted: Wanted
    ) -> ServerState | Refusal | None:
        """Return a server with a place taken, waiting in the calls' order."""
        server = self.servers.choose(wanted, time.monotonic())
        if server is None:
            return None
        waiting = self._waiting(wanted.service)
        if not wanted.placed or (server.has_room and not len(waiting)):
            server.in_flight += 1
            return server
        rank = waiting.rank(call, self.configuration)
        wait_s = waiting.expected_wait_s(rank)
        if wait_s > LONGEST_WAIT_S:
            return Refusal(503, 'servers are full', wait_s)
        turn = _Turn(wanted, asyncio.get_running_loop().create_future())
        waiting.put(rank, turn)
        self._admit_waiting(wanted.service)
        with self._metrics.time_place(call):
            return await self._wait(turn)

    async def _wait(self, turn: _Turn) -> ServerState | Refusal | None:
        try:
            async with asyncio.timeout(LONGEST_WAIT_S):
                return await asyncio.shield(turn.server)
        except TimeoutError:
            if turn.server.done():
                return turn.server.result()
            turn.server.cancel()
            return Refusal(503, 'servers are full', RETRY_SOON_S)
        except asyncio.CancelledError:
            if not turn.server.cancel():
                self._give_back(turn.server.result())
            raise

    def _admit_waiting(self, service: ServiceName) -> None:
        """Give those that wait the room that there is."""
        waiting = self._waiting(service)
        while (turn := waiting.first()) is not None:
            if turn.server.done():
                waiting.pop()
                continue
            server = self.servers.choose(turn.wanted, time.monotonic())
            if server is not None and not server.has_room:
                return
            waiting.pop()
            if server is not None:
                server.in_flight += 1
            turn.server.set_result(server)

    def _waiting(self, service: ServiceName) -> Waiting[_Turn]:
        return self._waiting_by_service.setdefault(service, Waiting())

    def _give_back(self, server: ServerState | None) -> None:
        if server is not None:
            self.release(server)

    def release(self, server: ServerState) -> None:
        """Give a place back and let the next call have it."""
        server.in_flight -= 1
        service = server.entry.service
        self._waiting(service).count_end(time.monotonic())
        self._admit_waiting(service)
