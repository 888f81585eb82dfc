"""Keep the limits that backend servers name, over all instances together.

Each request to a server with a limit needs a token, which one member grants
for the whole fleet: the owner, chosen by rendezvous hashing.
"""

import asyncio
import logging
import time

from result import Ok

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.fleet.broadcast import Broadcast
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.limit_buckets import LimitBuckets
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_limits import AskServerToken
from jackdawfield.messages.fleet_limits import ServerLimitNamed
from jackdawfield.messages.fleet_limits import ServerLimitNoted
from jackdawfield.messages.fleet_limits import ServerTokenAnswer
from jackdawfield.model import ServerId

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_S = 0.2
# An owner that did not answer is not asked for this long.
OWNER_AVOID_S = 1.0
# A refusal lasts this long at least, as its token may go to another request.
MIN_REFUSED_S = 0.02
# Minimum time between two messages that tell the limit of a server.
TELL_INTERVAL_S = 1.0


class ServerLimits:
    """Takes tokens for requests, grants them, and spreads known limits."""

    def __init__(
        self,
        servers: Servers,
        members: Members,
        links: PeerLinks,
        broadcast: Broadcast,
    ) -> None:
        self._servers = servers
        self._members = members
        self._links = links
        self._broadcast = broadcast
        self._buckets = LimitBuckets()
        self._avoid_until_s_by_address: dict[str, float] = {}
        self._told_at_s_by_id: dict[ServerId, float] = {}
        self.refused_count = 0

    def register(self, server: PeerServer) -> None:
        """Register the handlers of other instances' messages."""
        server.handle(AskServerToken, self._handle_ask)
        server.handle(ServerLimitNamed, self._handle_named)

    @property
    def limited_count(self) -> int:
        """Return how many servers have a limit, as known here."""
        now_s = time.monotonic()
        return sum(
            state.rate_limit.current(now_s) is not None
            for state in self._servers.by_id.values()
        )

    def record_answer(
        self, state: ServerState, per_s: float | None, sent_at_s: float
    ) -> None:
        """Record the limit that an answer's head names, None without one.

        The answer's request was sent at the given monotonic time.
        """
        limit = state.rate_limit
        if per_s is None:
            if limit.record_unnamed(sent_at_s):
                log_event(
                    LOG, 'server_limit_ended', server=state.entry.server_id
                )
            return
        now_s = time.monotonic()
        if not limit.record_named(per_s, now_s):
            return
        server_id = state.entry.server_id
        told_at_s = self._told_at_s_by_id.get(server_id, float('-inf'))
        if now_s - told_at_s < TELL_INTERVAL_S:
            return
        self._told_at_s_by_id = {
            other_id: at_s
            for other_id, at_s in self._told_at_s_by_id.items()
            if now_s - at_s < TELL_INTERVAL_S
        }
        self._told_at_s_by_id[server_id] = now_s
        _log_named(state, 'answer', 0.0)
        self._tell(
            ServerLimitNamed(
                server_id, state.entry.started_ms, limit.per_s or per_s, 0.0
            )
        )

    def _tell(self, message: ServerLimitNamed) -> None:
        if not self._broadcast.is_member:
            self._broadcast.to_nearest(message)
            return
        self._broadcast.to_followers(message)
        self._broadcast.to_members(
            ServerLimitNamed(
                message.server_id,
                message.started_ms,
                message.per_s,
                message.age_s,
                is_forwarded=True,
            )
        )

    async def _handle_named(
        self, message: ServerLimitNamed
    ) -> ServerLimitNoted:
        state = self._servers.by_id.get(message.server_id)
        if state is None or state.entry.started_ms != message.started_ms:
            return ServerLimitNoted()
        named_at_s = time.monotonic() - message.age_s
        is_news = state.rate_limit.record_named(message.per_s, named_at_s)
        if is_news:
            _log_named(state, 'instance', message.age_s)
        if not is_news or not self._broadcast.is_member:
            return ServerLimitNoted()
        if message.is_forwarded:
            self._broadcast.to_followers(message)
        else:
            self._tell(message)
        return ServerLimitNoted()

    async def take(
        self, call: Call, state: ServerState, may_wait: bool
    ) -> float | None:
        """Take a token for a call to a server, and wait for it if need be.

        Return None once the call may be sent, else the time in seconds until
        there may be a token.
        """
        now_s = time.monotonic()
        if state.rate_limit.current(now_s) is None:
            return None
        max_delay_s = 0.0
        if may_wait:
            left_s = call.deadline_s - now_s
            max_delay_s = max(0.0, min(call.token_wait_s, left_s))
        answer = await self._ask(state, max_delay_s)
        if answer.is_granted:
            if answer.delay_s > 0:
                await asyncio.sleep(answer.delay_s)
            return None
        self._record_refused(call.request_id, state, answer, may_wait)
        return answer.delay_s

    async def take_for_peer(self, state: ServerState) -> bool:
        """Return whether a call of a peer may be sent at once.

        The peer does not know of a limit, so it has taken no token.
        """
        return (await self._ask(state, 0.0)).is_granted

    def _record_refused(
        self,
        request_id: str,
        state: ServerState,
        answer: ServerTokenAnswer,
        may_wait: bool,
    ) -> None:
        self.refused_count += 1
        now_s = time.monotonic()
        refused_s = max(MIN_REFUSED_S, answer.delay_s)
        state.rate_limit.no_token_until_s = now_s + refused_s
        log_event(
            LOG,
            'server_at_limit',
            request=request_id,
            server=state.entry.server_id,
            limit_per_s=state.rate_limit.per_s,
            named_ago_s=round(now_s - state.rate_limit.named_at_s, 2),
            waits=may_wait,
            retry_after_s=round(answer.delay_s, 3),
        )

    async def _ask(
        self, state: ServerState, max_delay_s: float
    ) -> ServerTokenAnswer:
        """Ask the owner of a server's tokens, or a member for its part."""
        per_s = state.rate_limit.current(time.monotonic())
        if per_s is None:
            return ServerTokenAnswer(True, 0.0)
        ask = self._ask_message(state, per_s, max_delay_s)
        rows = self._members.rows_by_seat
        serving = [seat for seat, row in rows.items() if row.is_serving]
        owner_id = choose_owner(state.entry.server_id, serving)
        own_seat = self._members.own_seat
        if owner_id is not None and owner_id == own_seat:
            return self._grant(ask)
        if owner_id is not None:
            answer = await self._request(rows[owner_id].address, ask)
            if answer is not None:
                return answer
        fallback = self._ask_message(state, per_s, 0.0, is_fallback=True)
        nearest = self._members.nearest_seat()
        if own_seat is not None or nearest in (None, owner_id):
            return self._grant(fallback)
        if nearest is not None:
            answer = await self._request(rows[nearest].address, fallback)
            if answer is not None:
                return answer
        return self._grant(fallback)

    def _ask_message(
        self,
        state: ServerState,
        per_s: float,
        max_delay_s: float,
        is_fallback: bool = False,
    ) -> AskServerToken:
        entry = state.entry
        return AskServerToken(
            entry.server_id, entry.started_ms, per_s, max_delay_s, is_fallback
        )

    async def _request(
        self, address: str, ask: AskServerToken
    ) -> ServerTokenAnswer | None:
        now_s = time.monotonic()
        if self._avoid_until_s_by_address.get(address, 0.0) > now_s:
            return None
        found = await self._links.request(address, ask, ASK_TIMEOUT_S)
        match found:
            case Ok(ServerTokenAnswer() as answer):
                return answer
        self._avoid_until_s_by_address[address] = now_s + OWNER_AVOID_S
        log_event(
            LOG, 'limit_owner_unreached', server=ask.server_id, peer=address
        )
        return None

    async def _handle_ask(self, ask: AskServerToken) -> ServerTokenAnswer:
        return self._grant(ask)

    def _grant(self, ask: AskServerToken) -> ServerTokenAnswer:
        seats = self._members.seat_count
        return self._buckets.grant(ask, seats, time.monotonic())


def _log_named(state: ServerState, source: str, age_s: float) -> None:
    log_event(
        LOG,
        'server_limit_named',
        server=state.entry.server_id,
        limit_per_s=state.rate_limit.per_s,
        source=source,
        age_s=round(age_s, 2),
    )
