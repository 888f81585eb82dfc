"""Call backend servers through instances that reach them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import time
from typing import Any

from result import Err
from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.messages import Framing
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import Part
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.part_queue import PartQueue
from jackdawfield.gateway.http.pool import Listening
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.http.reasons import parse_reason
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.relay_server import WINDOW_BYTES
from jackdawfield.messages.fleet_relays import OpenRelay
from jackdawfield.messages.fleet_relays import ProbeServer
from jackdawfield.messages.fleet_relays import RelayConsumed
from jackdawfield.messages.fleet_relays import RelayEnd
from jackdawfield.messages.fleet_relays import RelayHead
from jackdawfield.messages.fleet_relays import RelayPiece
from jackdawfield.messages.fleet_relays import RelayReady
from jackdawfield.messages.fleet_relays import RelayRefused
from jackdawfield.messages.fleet_relays import RelayRequest
from jackdawfield.messages.fleet_relays import ServerProbed

# Peers asked for one call, and those of them that have to fail to connect
# before the server is taken to be at fault.
MAX_PEERS = 4
FAILED_PEERS_TO_BLAME = 2
# A peer that refused or did not answer is asked after others for this long.
PEER_AVOID_S = 0.5
# Above the time in which a peer gives up a connection attempt.
OPEN_TIMEOUT_S = 0.6
SEND_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.6


class RelayedConnection:
    """Carries one request through a peer; it is never sent again.

    It has the part of Connection's interface that a call uses.
    """

    def __init__(
        self,
        links: PeerLinks,
        peer: str,
        relay_id: int,
        answers: AsyncIterator[Result[Any, PeerError]],
        tasks: BackgroundTasks,
    ) -> None:
        self.peer = peer
        self._links = links
        self._relay_id = relay_id
        self._tasks = tasks
        self._parts = PartQueue()
        self._unreported_bytes = 0
        self._has_ended = False
        self.lost_reason = LossReason.NONE
        self.is_closed_by_server = False
        # Nothing of the request was sent to the server.
        self.is_unsent = False
        self._pump = asyncio.create_task(self._read(answers))

    def send(self, request: OutgoingRequest) -> Result[None, ExchangeError]:
        """Send the request to the peer; on an error none of it was sent."""
        if self._has_ended:
            return Err(ExchangeError(Fault.NOT_SENT, self.lost_reason))
        message = RelayRequest(
            self._relay_id,
            request.method,
            request.target,
            list(request.headers),
            request.body,
            request.echo_header,
            request.echo_value,
        )
        self._tasks.spawn(
            self._links.request(self.peer, message, SEND_TIMEOUT_S)
        )
        return Ok(None)

    async def _read(
        self, answers: AsyncIterator[Result[Any, PeerError]]
    ) -> None:
        async for answer in answers:
            match answer:
                case Ok(RelayHead(status, reason, headers, framing)):
                    pairs = tuple((name, value) for name, value in headers)
                    head = ResponseHead(
                        status, reason, pairs, Framing(framing)
                    )
                    if not head.is_final:
                        self.abort(LossReason.MALFORMED)
                        return
                    self._parts.put(head)
                case Ok(RelayPiece(data)):
                    self._parts.put(data)
                case Ok(RelayEnd() as end):
                    self.lost_reason = parse_reason(end.reason)
                    self.is_unsent = end.is_unsent
                    self.is_closed_by_server = end.is_closed_by_server
                    self._end(BodyEnd(end.end))
                case Err():
                    self.lost_reason = LossReason.PEER_FAILED
        if not self._has_ended:
            self.lost_reason = self.lost_reason or LossReason.PEER_ENDED
            self._end(BodyEnd.CUT)

    def _end(self, end: BodyEnd) -> None:
        self._has_ended = True
        self._parts.put(end)

    async def next_part(self) -> Part:
        """Return the response's head, next its body's pieces, last its end."""
        part = await self._parts.get()
        if isinstance(part, bytes):
            self._report_consumed(len(part))
        return part

    def _report_consumed(self, count: int) -> None:
        """Let the peer send more once half of the window is taken."""
        self._unreported_bytes += count
        if self._unreported_bytes < WINDOW_BYTES // 2:
            return
        message = RelayConsumed(self._relay_id, self._unreported_bytes)
        self._unreported_bytes = 0
        self._tasks.spawn(
            self._links.request(self.peer, message, SEND_TIMEOUT_S)
        )

    def abort(self, reason: LossReason) -> None:
        """End the relay at once, which cancels its request."""
        if not self._has_ended:
            self.lost_reason = reason
            self._end(BodyEnd.CUT)
        self._pump.cancel()


class RelayClient:
    """Finds peers that reach a server."""

    def __init__(
        self, links: PeerLinks, peer_addresses: Callable[[], list[str]]
    ) -> None:
        self._links = links
        self._peer_addresses = peer_addresses
        self._avoid_until_s_by_peer: dict[str, float] = {}
        self._tasks = BackgroundTasks()
        self.opened_count = 0

    async def open(
        self, entry: ServerEntry, has_token: bool = False
    ) -> Result[RelayedConnection, RelayRefused]:
        """Return a connection through a peer, or why there is none.

        The error tells whether peers have tried in vain to reach the server.
        """
        failed_peers = 0
        last = RelayRefused(LossReason.NO_PEER, False)
        message = OpenRelay(entry.server_id, entry.started_ms, has_token)
        for peer in self._ranked_peers()[:MAX_PEERS]:
            opened = await self._open_at(peer, message)
            if isinstance(opened, Ok):
                self.opened_count += 1
                return opened
            last = opened.err_value
            failed_peers += last.has_tried
            if failed_peers >= FAILED_PEERS_TO_BLAME:
                break
            if not last.has_tried:
                until_s = time.monotonic() + PEER_AVOID_S
                self._avoid_until_s_by_peer[peer] = until_s
        return Err(RelayRefused(last.reason, failed_peers > 0))

    def _ranked_peers(self) -> list[str]:
        now_s = time.monotonic()
        peers = self._peer_addresses()
        until_s_by_peer = self._avoid_until_s_by_peer
        self._avoid_until_s_by_peer = {
            peer: until_s
            for peer, until_s in until_s_by_peer.items()
            if until_s > now_s
        }
        return sorted(peers, key=lambda p: p in self._avoid_until_s_by_peer)

    async def _open_at(
        self, peer: str, message: OpenRelay
    ) -> Result[RelayedConnection, RelayRefused]:
        answers = self._links.stream(peer, message)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                first = await anext(answers, None)
        except TimeoutError:
            return Err(RelayRefused(LossReason.PEER_SILENT, False))
        match first:
            case Ok(RelayReady(relay_id)):
                return Ok(
                    RelayedConnection(
                        self._links, peer, relay_id, answers, self._tasks
                    )
                )
            case Ok(RelayRefused(reason, has_tried)):
                return Err(RelayRefused(parse_reason(reason), has_tried))
            case Err():
                return Err(RelayRefused(LossReason.PEER_FAILED, False))
            case _:
                return Err(RelayRefused(LossReason.PEER_ENDED, False))

    async def probe(self, entry: ServerEntry) -> Listening:
        """Return whether peers find that a server takes connections.

        One that reaches it proves that it lives. Without a peer that knows,
        the answer is UNKNOWN.
        """
        message = ProbeServer(entry.server_id, entry.started_ms)
        verdict = Listening.UNKNOWN
        for peer in self._ranked_peers()[:MAX_PEERS]:
            found = await self._links.request(peer, message, PROBE_TIMEOUT_S)
            match found:
                case Ok(ServerProbed(listening)):
                    probed = Listening(listening)
                    if probed is Listening.YES:
                        return probed
                    if probed is Listening.NO and verdict is probed:
                        return probed
                    if probed is Listening.NO:
                        verdict = probed
        return verdict

    @property
    def has_peers(self) -> bool:
        """Return whether any other instance is known."""
        return bool(self._peer_addresses())

    def close(self) -> None:
        """Cancel what is being sent."""
        self._tasks.cancel()
