"""Call backend servers for instances that do not reach them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import itertools
import logging
import time

from result import Err

from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.pool import Listening
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.notices import NoticeRecorder
from jackdawfield.gateway.servers.reachability import CONNECT_TIMEOUT_S
from jackdawfield.gateway.servers.reachability import Path
from jackdawfield.gateway.servers.reachability import Reachability
from jackdawfield.gateway.servers.server_limits import ServerLimits
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_relays import OpenRelay
from jackdawfield.messages.fleet_relays import ProbeServer
from jackdawfield.messages.fleet_relays import RelayConsumed
from jackdawfield.messages.fleet_relays import RelayEnd
from jackdawfield.messages.fleet_relays import RelayHead
from jackdawfield.messages.fleet_relays import RelayPiece
from jackdawfield.messages.fleet_relays import RelayReady
from jackdawfield.messages.fleet_relays import RelayRefused
from jackdawfield.messages.fleet_relays import RelayRequest
from jackdawfield.messages.fleet_relays import RelayTaken
from jackdawfield.messages.fleet_relays import ServerProbed
from jackdawfield.model import ServerId

LOG = logging.getLogger(__name__)
# Calls that are relayed at once; more would slow this instance's own callers.
MAX_RELAYED = 64
# Time from RelayReady until the request arrives.
REQUEST_TIMEOUT_S = 1.0
DRAIN_CHECK_S = 0.02
# Bytes of a response that may be on their way to a caller who takes none.
WINDOW_BYTES = 262144


@dataclass(slots=True)
class _Relay:
    """Holds a relayed call: its request and the bytes not yet consumed."""

    request: asyncio.Future[OutgoingRequest]
    unconsumed_bytes: int = 0
    consumed: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_for_window(self) -> None:
        """Wait until the caller has taken enough of the response."""
        while self.unconsumed_bytes >= WINDOW_BYTES:
            self.consumed.clear()
            await self.consumed.wait()


class RelayServer:
    """Relays calls of other instances, over direct connections only."""

    def __init__(
        self,
        slot_queue: SlotQueue,
        pool: ConnectionPool,
        reachability: Reachability,
        limits: ServerLimits,
        notices: NoticeRecorder,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._slot_queue = slot_queue
        self._limits = limits
        self._notices = notices
        self._pool = pool
        self._reachability = reachability
        self._is_stopping = is_stopping
        self._relay_ids = itertools.count(1)
        self._relays_by_id: dict[int, _Relay] = {}
        self.relayed_count = 0

    def register(self, server: PeerServer) -> None:
        """Register the handlers of other instances' messages."""
        server.handle_stream(OpenRelay, self._serve)
        server.handle(RelayRequest, self._take_request)
        server.handle(RelayConsumed, self._take_consumed)
        server.handle(ProbeServer, self._probe)

    @property
    def open_count(self) -> int:
        """Return how many calls are being relayed."""
        return len(self._relays_by_id)

    async def drain(self, until_s: float) -> None:
        """Wait until no call is relayed, at most until a monotonic time."""
        while self._relays_by_id and time.monotonic() < until_s:
            await asyncio.sleep(DRAIN_CHECK_S)

    def _state_of(
        self, server_id: ServerId, started_ms: int
    ) -> ServerState | None:
        state = self._slot_queue.servers.by_id.get(server_id)
        if state is None or state.entry.started_ms != started_ms:
            return None
        return state

    def _refusal(self, state: ServerState | None) -> RelayRefused | None:
        if self._is_stopping():
            return RelayRefused(LossReason.STOPPING, False)
        if len(self._relays_by_id) >= MAX_RELAYED:
            return RelayRefused(LossReason.TOO_MANY_RELAYED, False)
        if state is None:
            return RelayRefused(LossReason.SERVER_UNKNOWN, False)
        if not state.takes_calls(time.monotonic()):
            return RelayRefused(LossReason.SERVER_LEAVING, False)
        address = (state.entry.host, state.entry.port)
        if self._reachability.path(address) is not Path.DIRECT:
            return RelayRefused(LossReason.NOT_REACHED_EITHER, False)
        return None

    async def _serve(self, message: OpenRelay) -> AsyncIterator[object]:
        state = self._state_of(message.server_id, message.started_ms)
        refusal = self._refusal(state)
        if state is None or refusal is not None:
            yield refusal
            return
        if not message.has_token and not await self._limits.take_for_peer(
            state
        ):
            yield RelayRefused(LossReason.SERVER_AT_LIMIT, False)
            return
        entry = state.entry
        acquired = await self._pool.acquire(
            entry.host, entry.port, CONNECT_TIMEOUT_S
        )
        if isinstance(acquired, Err):
            yield RelayRefused(acquired.err_value.reason, True)
            return
        connection = acquired.ok_value
        relay_id = next(self._relay_ids)
        loop = asyncio.get_running_loop()
        relay = _Relay(loop.create_future())
        self._relays_by_id[relay_id] = relay
        self._slot_queue.take(state)
        self.relayed_count += 1
        try:
            yield RelayReady(relay_id)
            async for answer in self._relay(state, relay, connection):
                yield answer
        finally:
            # One that has not ended whole is closed.
            self._pool.release(entry.host, entry.port, connection)
            self._slot_queue.release(state)
            del self._relays_by_id[relay_id]

    async def _relay(
        self, state: ServerState, relay: _Relay, connection: Connection
    ) -> AsyncIterator[object]:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = await relay.request
        except TimeoutError:
            log_event(LOG, 'relay_without_request', logging.WARNING)
            reason = LossReason.NO_REQUEST
            yield RelayEnd(BodyEnd.CUT.value, reason, True, False)
            return
        sent_at_s = time.monotonic()
        sent = connection.send(request)
        if isinstance(sent, Err):
            reason = connection.lost_reason
            yield RelayEnd(BodyEnd.CUT.value, reason, True, False)
            return
        while True:
            await relay.wait_for_window()
            match await connection.next_part():
                case ResponseHead() as head:
                    self._notices.record(state, head, sent_at_s)
                    yield RelayHead(
                        head.status,
                        head.reason,
                        list(head.headers),
                        head.framing.value,
                    )
                case bytes(piece):
                    relay.unconsumed_bytes += len(piece)
                    yield RelayPiece(piece)
                case BodyEnd() as end:
                    yield RelayEnd(
                        end.value,
                        connection.lost_reason,
                        False,
                        connection.is_closed_by_server,
                    )
                    return

    async def _take_request(self, message: RelayRequest) -> RelayTaken:
        relay = self._relays_by_id.get(message.relay_id)
        if relay is not None and not relay.request.done():
            relay.request.set_result(
                OutgoingRequest(
                    message.method,
                    message.target,
                    tuple(message.headers),
                    message.body,
                    message.echo_header,
                    message.echo_value,
                )
            )
        return RelayTaken()

    async def _take_consumed(self, message: RelayConsumed) -> RelayTaken:
        relay = self._relays_by_id.get(message.relay_id)
        if relay is not None:
            relay.unconsumed_bytes -= message.count
            relay.consumed.set()
        return RelayTaken()

    async def _probe(self, message: ProbeServer) -> ServerProbed:
        """Answer whether a server takes connections, as far as known."""
        state = self._state_of(message.server_id, message.started_ms)
        if state is None or self._knows_lost_paths:
            return ServerProbed(Listening.UNKNOWN.value)
        entry = state.entry
        listening = await self._pool.probe(
            entry.host, entry.port, CONNECT_TIMEOUT_S
        )
        return ServerProbed(listening.value)

    @property
    def _knows_lost_paths(self) -> bool:
        """Return whether a refusal may be the fault of this instance."""
        reachability = self._reachability
        is_cut = reachability.cut_since_s is not None
        return is_cut or bool(reachability.lost_path_count)
