"""Sends a call to a backend server and to another only if that is safe."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import logging
import time

from result import Err

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import ForwardedHeaders
from jackdawfield.gateway.calls import HeaderPairs
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.connection_pool import ConnectionPool
from jackdawfield.gateway.connections import BodyEnd
from jackdawfield.gateway.connections import Connection
from jackdawfield.gateway.connections import OutgoingRequest
from jackdawfield.gateway.connections import ResponseHead
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.places import Places
from jackdawfield.gateway.places import RETRY_SOON_S
from jackdawfield.gateway.servers import HANG_S
from jackdawfield.gateway.servers import note_failure
from jackdawfield.gateway.servers import note_full
from jackdawfield.gateway.servers import note_success
from jackdawfield.gateway.servers import ServerState
from jackdawfield.gateway.servers import Wanted
from jackdawfield.gateway.waiting import needs_place
from jackdawfield.logs import log_event
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
CONNECT_TIMEOUT_S = 0.4
# Servers tried in vain, without having been sent the request, for one call.
VAIN_TRIES = 4
STATUS_MISDIRECTED = 421
STATUS_FULL = 503
STATUS_SERVER_ERROR = 500
SUCCESS_CLASS = 2
# What is left of a call's time below which no server is asked.
LEAST_TIME_S = 0.02
# An idempotent call goes to a second server after this many times the
# route's target latency, and not before this time.
SLOW_FACTOR = 2.0
LEAST_SLOW_S = 0.3
# Answers to idempotent calls up to this size are held until they are whole.
COLLECT_BYTES = 262144


@dataclass(frozen=True, slots=True)
class WireNames:
    """Names the headers that dispatch itself reads and writes."""

    request_id: str
    not_run: str
    signature: str
    encode: Callable[[ForwardedHeaders], list[tuple[str, str]]]


@dataclass(slots=True)
class Running:
    """Holds a call whose answer has begun."""

    server: ServerState
    connection: Connection
    head: ResponseHead
    pieces: list[bytes] = field(default_factory=list)
    end: BodyEnd | None = None
    sent_at_s: float = 0.0
    # Time from the request's last byte to the body's first, None before.
    first_s: float | None = None

    async def next_part(self) -> bytes | BodyEnd:
        """Return the next piece of the body, then its end."""
        part = await self._next_part()
        if self.first_s is None:
            self.note_first()
        return part

    async def pass_on(
        self, write: Callable[[bytes], Awaitable[bool]]
    ) -> BodyEnd | None:
        """Write the body piece by piece; None once a write says to stop."""
        while True:
            match await self.next_part():
                case bytes(piece):
                    if not await write(piece):
                        return None
                case BodyEnd() as end:
                    return end

    def note_first(self) -> None:
        """Note the time of the first piece."""
        now_s = time.monotonic()
        self.first_s = now_s - self.sent_at_s
        self.server.due_since_by_number.pop(id(self.connection), None)
        self.server.note_wait(self.first_s, now_s)

    async def _next_part(self) -> bytes | BodyEnd:
        if self.pieces:
            return self.pieces.pop(0)
        if self.end is not None:
            return self.end
        part = await self.connection.next_part()
        assert not isinstance(part, ResponseHead)
        return part


@dataclass(frozen=True, slots=True)
class _NotRun:
    reason: str


@dataclass(frozen=True, slots=True)
class _Lost:
    reason: str


class Dispatcher:
    """Chooses servers and exchanges requests with them."""

    def __init__(
        self,
        places: Places,
        pool: ConnectionPool,
        names: WireNames,
        report: Callable[[ServerState], None],
    ) -> None:
        self._report = report
        self._places = places
        self.pool = pool
        self._names = names

    async def start(
        self,
        call: Call,
        service: ServiceName,
        body: bytes,
        preferred: ServerId | None,
    ) -> Running | Refusal | Failure:
        """Return a begun answer, or why there is none."""
        excluded: set[ServerId] = set()
        sent = 0
        reason = 'no backend server'
        for _ in range(VAIN_TRIES + call.route.attempt_limit):
            now_s = time.monotonic()
            if call.deadline_s - now_s < LEAST_TIME_S:
                break
            wanted = Wanted(
                service,
                call.headers.line_id or call.request_id,
                preferred,
                needs_place(call),
                frozenset(excluded),
            )
            server = await self._places.take(call, wanted)
            if isinstance(server, Refusal):
                return server
            if server is None:
                break
            excluded.add(server.entry.server_id)
            more = sent + 1 < call.route.attempt_limit
            outcome = await self._attempt(call, server, body, more)
            match outcome:
                case Running():
                    return outcome
                case _NotRun(reason):
                    sent += reason != 'unreached'
                case _Lost(reason):
                    sent += 1
                    if not call.route.kind.repeatable:
                        return Failure(502, reason)
            if sent >= call.route.attempt_limit:
                break
        if sent and call.route.kind.repeatable:
            return Failure(502, reason)
        return Refusal(503, reason, RETRY_SOON_S)

    async def _attempt(
        self, call: Call, server: ServerState, body: bytes, more: bool
    ) -> Running | _NotRun | _Lost:
        entry = server.entry
        kept = False
        try:
            outcome = await self._exchange(call, server, body, more)
            kept = isinstance(outcome, Running)
        finally:
            if not kept:
                self._places.release(server)
        if not isinstance(outcome, Running):
            log_event(
                LOG,
                'attempt_failed',
                logging.WARNING,
                request=call.request_id,
                server=entry.server_id,
                run='no' if isinstance(outcome, _NotRun) else 'unknown',
                reason=outcome.reason,
            )
        return outcome

    async def _exchange(
        self, call: Call, server: ServerState, body: bytes, more: bool
    ) -> Running | _NotRun | _Lost:
        entry = server.entry
        acquired = await self.pool.acquire(
            entry.host, entry.port, CONNECT_TIMEOUT_S
        )
        now_s = time.monotonic()
        if isinstance(acquired, Err):
            self._note_failure(server, now_s, acquired.err_value.reason)
            return _NotRun('unreached')
        connection = acquired.ok_value
        left_s = call.deadline_s - now_s
        if left_s < LEAST_TIME_S:
            connection.abort('too late to send')
            return _NotRun('unreached')
        request = self._request(call, server, body, left_s)
        if isinstance(connection.send(request), Err):
            return _NotRun('unreached')
        limit_s = _answer_limit_s(call, left_s, more)
        outcome: Running | _NotRun | _Lost | None = None
        watch = self._watch_silence(server)
        if call.route.kind is CallKind.STREAM:
            server.due_since_by_number[id(connection)] = now_s
        try:
            outcome = await self._answer(
                call, server, connection, now_s, limit_s
            )
        finally:
            watch.cancel()
            # The first piece of a begun answer is noted when it comes.
            if not isinstance(outcome, Running):
                server.due_since_by_number.pop(id(connection), None)
        return outcome

    def _watch_silence(self, server: ServerState) -> asyncio.TimerHandle:
        """Report a server that alone does not answer for long."""

        def note() -> None:
            if self._places.servers.hangs(server, time.monotonic()):
                self._report(server)

        return asyncio.get_running_loop().call_later(HANG_S, note)

    async def _answer(
        self,
        call: Call,
        server: ServerState,
        connection: Connection,
        sent_at_s: float,
        limit_s: float,
    ) -> Running | _NotRun | _Lost:
        try:
            async with asyncio.timeout(limit_s):
                begun = await self._begin(call, server, connection, sent_at_s)
        except TimeoutError:
            connection.abort('no answer in time')
            self._note_failure(server, time.monotonic(), 'no answer in time')
            return _Lost('no answer in time')
        except asyncio.CancelledError:
            connection.abort('caller left')
            raise
        if begun is None:
            self._note_failure(server, time.monotonic(), 'answer lost')
            connection.abort('answer lost')
            return _Lost(connection.lost_reason or 'answer lost')
        if self._says_not_run(begun.head):
            await self._drop_refusal(server, connection, begun.head)
            return _NotRun(f'server answered {begun.head.status}, not run')
        return begun

    async def _begin(
        self,
        call: Call,
        server: ServerState,
        connection: Connection,
        sent_at_s: float,
    ) -> Running | None:
        """Return a begun answer, None if it is lost or no valid one."""
        head = await connection.next_part()
        if not isinstance(head, ResponseHead):
            return None
        running = Running(server, connection, head, sent_at_s=sent_at_s)
        if self._says_not_run(head):
            return running
        succeeded = head.status // 100 == SUCCESS_CLASS
        if succeeded and head.get(self._names.signature) is None:
            return None
        if call.route.kind.repeatable:
            await _collect(running)
        return None if running.end is BodyEnd.CUT else running

    def _request(
        self, call: Call, server: ServerState, body: bytes, left_s: float
    ) -> OutgoingRequest:
        headers: HeaderPairs = call.headers.passed_on
        encoded = self._names.encode(
            ForwardedHeaders(
                server.entry.server_id, call.organisation_id, left_s, headers
            )
        )
        return OutgoingRequest(
            call.method,
            call.target,
            tuple(encoded),
            body,
            self._names.request_id,
            call.request_id,
        )

    def _says_not_run(self, head: ResponseHead) -> bool:
        if head.status == STATUS_MISDIRECTED:
            return True
        return head.get(self._names.not_run) is not None

    async def _drop_refusal(
        self, server: ServerState, connection: Connection, head: ResponseHead
    ) -> None:
        entry = server.entry
        if head.status == STATUS_FULL:
            note_full(server, time.monotonic())
        else:
            self._note_failure(
                server, time.monotonic(), f'refused with {head.status}'
            )
        try:
            async with asyncio.timeout(RETRY_SOON_S):
                while isinstance(await connection.next_part(), bytes):
                    pass
        except TimeoutError:
            connection.abort('refusal without end')
            return
        self.pool.release(entry.host, entry.port, connection)

    def end(self, running: Running, end: BodyEnd | None) -> None:
        """Give a call's connection back; None if the caller has left."""
        server = running.server
        self._places.release(server)
        server.due_since_by_number.pop(id(running.connection), None)
        if end is None:
            running.connection.abort('caller left')
            return
        if end is BodyEnd.CUT:
            running.connection.abort('answer cut')
            self._note_failure(server, time.monotonic(), 'answer cut')
            return
        if running.head.status >= STATUS_SERVER_ERROR:
            reason = f'answered {running.head.status}'
            self._note_failure(server, time.monotonic(), reason)
        else:
            note_success(server)
        entry = server.entry
        self.pool.release(entry.host, entry.port, running.connection)

    def _note_failure(
        self, server: ServerState, now_s: float, reason: str
    ) -> None:
        self._report(server)
        if note_failure(server, now_s):
            log_event(
                LOG,
                'server_avoided',
                server=server.entry.server_id,
                failures=server.failures,
                reason=reason,
            )


async def _collect(running: Running) -> None:
    """Read a body to its end, or up to what is held back of one."""
    pieces: list[bytes] = []
    size = 0
    while size < COLLECT_BYTES:
        match await running.connection.next_part():
            case bytes(piece):
                pieces.append(piece)
                size += len(piece)
            case BodyEnd() as end:
                running.end = end
                break
    running.pieces = pieces


def _answer_limit_s(call: Call, left_s: float, more: bool) -> float:
    if not call.route.kind.repeatable or not more:
        return left_s
    slow_s = max(LEAST_SLOW_S, SLOW_FACTOR * call.route.target_latency_s)
    return min(left_s, slow_s)
