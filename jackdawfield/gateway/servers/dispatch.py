"""Send calls to backend servers and retry them where that is safe.

A call is sent again only if it is idempotent or provably was not executed.
"""

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
from jackdawfield.gateway.http.connection import BodyEnd
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.connection import OutgoingRequest
from jackdawfield.gateway.http.connection import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.servers.call_queue import needs_slot
from jackdawfield.gateway.servers.choice import HANG_S
from jackdawfield.gateway.servers.choice import record_failure
from jackdawfield.gateway.servers.choice import record_full
from jackdawfield.gateway.servers.choice import record_success
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.slot_queue import RETRY_AFTER_S
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.logs import log_event
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
CONNECT_TIMEOUT_S = 0.4
# Additional tries of one call, for servers to which it could not be sent.
MAX_UNSENT_TRIES = 4
STATUS_MISDIRECTED = 421
STATUS_FULL = 503
STATUS_SERVER_ERROR = 500
# First digit of the statuses of successful responses.
SUCCESS_CLASS = 2
# With less time left until its deadline, a call is not sent to a server.
MIN_TIME_LEFT_S = 0.02
# An idempotent call is retried at another server after this many times the
# route's target latency, but not before the minimum.
ATTEMPT_TIMEOUT_FACTOR = 2.0
MIN_ATTEMPT_TIMEOUT_S = 0.3
# Responses to idempotent calls are buffered up to this size before they are
# forwarded, so that an incomplete one can be retried.
RETRY_BUFFER_BYTES = 262144


@dataclass(frozen=True, slots=True)
class HeaderFormat:
    """Holds the header names that dispatch uses and the header encoder.

    A server that did not execute a request sets the not-run header. A
    successful response without the server stamp is discarded, as it does not
    come from a backend server.
    """

    request_id: str
    not_run: str
    server_stamp: str
    encode: Callable[[ForwardedHeaders], list[tuple[str, str]]]


@dataclass(slots=True)
class ResponseStream:
    """Holds a call whose response has begun and reads the response's body."""

    server: ServerState
    connection: Connection
    head: ResponseHead
    pieces: list[bytes] = field(default_factory=list)
    end: BodyEnd | None = None
    sent_at_s: float = 0.0
    # Time until the first piece of the body, None before it arrived.
    first_piece_s: float | None = None

    async def next_part(self) -> bytes | BodyEnd:
        """Return the next piece of the body, after the last one its end."""
        part = await self._next_part()
        if self.first_piece_s is None:
            self.record_first_piece()
        return part

    async def forward_body(
        self, write: Callable[[bytes], Awaitable[bool]]
    ) -> BodyEnd | None:
        """Write the body piece by piece; return None once a write fails."""
        while True:
            match await self.next_part():
                case bytes(piece):
                    if not await write(piece):
                        return None
                case BodyEnd() as end:
                    return end

    def record_first_piece(self) -> None:
        """Record how long the first piece of the body took."""
        now_s = time.monotonic()
        self.first_piece_s = now_s - self.sent_at_s
        self.server.awaiting_since_s_by_connection.pop(
            id(self.connection), None
        )
        self.server.record_wait(self.first_piece_s, now_s)

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
class _ResponseLost:
    reason: str


class Dispatcher:
    """Chooses backend servers for calls and sends the requests to them."""

    def __init__(
        self,
        slot_queue: SlotQueue,
        pool: ConnectionPool,
        header_format: HeaderFormat,
        report_failure: Callable[[ServerState], None],
    ) -> None:
        self._report_failure = report_failure
        self._slot_queue = slot_queue
        self.pool = pool
        self._header_format = header_format

    async def start(
        self,
        call: Call,
        service: ServiceName,
        body: bytes,
        preferred_id: ServerId | None,
    ) -> ResponseStream | Refusal | Failure:
        """Return the response once it has begun, or why it has not."""
        excluded: set[ServerId] = set()
        sent = 0
        reason = 'no backend server'
        for _ in range(MAX_UNSENT_TRIES + call.route.attempt_limit):
            now_s = time.monotonic()
            if call.deadline_s - now_s < MIN_TIME_LEFT_S:
                break
            criteria = ServerCriteria(
                service,
                call.headers.session_id or call.request_id,
                preferred_id,
                needs_slot(call),
                frozenset(excluded),
            )
            server = await self._slot_queue.acquire(call, criteria)
            if isinstance(server, Refusal):
                return server
            if server is None:
                break
            excluded.add(server.entry.server_id)
            can_retry = sent + 1 < call.route.attempt_limit
            outcome = await self._attempt(call, server, body, can_retry)
            match outcome:
                case ResponseStream():
                    return outcome
                case _NotRun(reason):
                    sent += reason != 'unreached'
                case _ResponseLost(reason):
                    sent += 1
                    if not call.route.kind.repeatable:
                        return Failure(502, reason)
            if sent >= call.route.attempt_limit:
                break
        if sent and call.route.kind.repeatable:
            return Failure(502, reason)
        return Refusal(503, reason, RETRY_AFTER_S)

    async def _attempt(
        self, call: Call, server: ServerState, body: bytes, can_retry: bool
    ) -> ResponseStream | _NotRun | _ResponseLost:
        entry = server.entry
        has_started = False
        try:
            outcome = await self._exchange(call, server, body, can_retry)
            has_started = isinstance(outcome, ResponseStream)
        finally:
            if not has_started:
                self._slot_queue.release(server)
        if not isinstance(outcome, ResponseStream):
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
        self, call: Call, server: ServerState, body: bytes, can_retry: bool
    ) -> ResponseStream | _NotRun | _ResponseLost:
        entry = server.entry
        acquired = await self.pool.acquire(
            entry.host, entry.port, CONNECT_TIMEOUT_S
        )
        now_s = time.monotonic()
        if isinstance(acquired, Err):
            self._record_failure(server, now_s, acquired.err_value.reason)
            return _NotRun('unreached')
        connection = acquired.ok_value
        left_s = call.deadline_s - now_s
        if left_s < MIN_TIME_LEFT_S:
            connection.abort('too late to send')
            return _NotRun('unreached')
        request = self._request(call, server, body, left_s)
        if isinstance(connection.send(request), Err):
            return _NotRun('unreached')
        timeout_s = _attempt_timeout_s(call, left_s, can_retry)
        outcome: ResponseStream | _NotRun | _ResponseLost | None = None
        hang_timer = self._watch_for_hang(server)
        if call.route.kind is CallKind.STREAM:
            server.awaiting_since_s_by_connection[id(connection)] = now_s
        try:
            outcome = await self._await_response(
                call, server, connection, now_s, timeout_s
            )
        finally:
            hang_timer.cancel()
            # ResponseStream records the first piece once a response has begun.
            if not isinstance(outcome, ResponseStream):
                server.awaiting_since_s_by_connection.pop(id(connection), None)
        return outcome

    def _watch_for_hang(self, server: ServerState) -> asyncio.TimerHandle:
        """Schedule a report in case this server alone does not respond."""

        def report_if_hanging() -> None:
            if self._slot_queue.servers.others_respond(
                server, time.monotonic()
            ):
                self._report_failure(server)

        return asyncio.get_running_loop().call_later(HANG_S, report_if_hanging)

    async def _await_response(
        self,
        call: Call,
        server: ServerState,
        connection: Connection,
        sent_at_s: float,
        timeout_s: float,
    ) -> ResponseStream | _NotRun | _ResponseLost:
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._read_response_start(
                    call, server, connection, sent_at_s
                )
        except TimeoutError:
            connection.abort('no answer in time')
            self._record_failure(server, time.monotonic(), 'no answer in time')
            return _ResponseLost('no answer in time')
        except asyncio.CancelledError:
            connection.abort('caller left')
            raise
        if response is None:
            self._record_failure(server, time.monotonic(), 'answer lost')
            connection.abort('answer lost')
            return _ResponseLost(connection.lost_reason or 'answer lost')
        if self._is_not_run(response.head):
            await self._handle_refusal(server, connection, response.head)
            return _NotRun(f'server answered {response.head.status}, not run')
        return response

    async def _read_response_start(
        self,
        call: Call,
        server: ServerState,
        connection: Connection,
        sent_at_s: float,
    ) -> ResponseStream | None:
        """Read the response's start; return None if it is lost or invalid."""
        head = await connection.next_part()
        if not isinstance(head, ResponseHead):
            return None
        response = ResponseStream(
            server, connection, head, sent_at_s=sent_at_s
        )
        if self._is_not_run(head):
            return response
        succeeded = head.status // 100 == SUCCESS_CLASS
        if succeeded and head.get(self._header_format.server_stamp) is None:
            return None
        if call.route.kind.repeatable:
            await _buffer_body(response)
        return None if response.end is BodyEnd.CUT else response

    def _request(
        self, call: Call, server: ServerState, body: bytes, left_s: float
    ) -> OutgoingRequest:
        headers: HeaderPairs = call.headers.end_to_end_headers
        encoded = self._header_format.encode(
            ForwardedHeaders(
                server.entry.server_id, call.organisation_id, left_s, headers
            )
        )
        return OutgoingRequest(
            call.method,
            call.target,
            tuple(encoded),
            body,
            self._header_format.request_id,
            call.request_id,
        )

    def _is_not_run(self, head: ResponseHead) -> bool:
        if head.status == STATUS_MISDIRECTED:
            return True
        return head.get(self._header_format.not_run) is not None

    async def _handle_refusal(
        self, server: ServerState, connection: Connection, head: ResponseHead
    ) -> None:
        entry = server.entry
        if head.status == STATUS_FULL:
            record_full(server, time.monotonic())
        else:
            self._record_failure(
                server, time.monotonic(), f'refused with {head.status}'
            )
        try:
            async with asyncio.timeout(RETRY_AFTER_S):
                while isinstance(await connection.next_part(), bytes):
                    pass
        except TimeoutError:
            connection.abort('refusal without end')
            return
        self.pool.release(entry.host, entry.port, connection)

    def release(self, response: ResponseStream, end: BodyEnd | None) -> None:
        """Release a call's slot and connection.

        The end is None if the caller disconnected.
        """
        server = response.server
        self._slot_queue.release(server)
        server.awaiting_since_s_by_connection.pop(
            id(response.connection), None
        )
        if end is None:
            response.connection.abort('caller left')
            return
        if end is BodyEnd.CUT:
            response.connection.abort('answer cut')
            self._record_failure(server, time.monotonic(), 'answer cut')
            return
        if response.head.status >= STATUS_SERVER_ERROR:
            reason = f'answered {response.head.status}'
            self._record_failure(server, time.monotonic(), reason)
        else:
            record_success(server)
        entry = server.entry
        self.pool.release(entry.host, entry.port, response.connection)

    def _record_failure(
        self, server: ServerState, now_s: float, reason: str
    ) -> None:
        self._report_failure(server)
        if record_failure(server, now_s):
            log_event(
                LOG,
                'server_avoided',
                server=server.entry.server_id,
                failures=server.failures,
                reason=reason,
            )


async def _buffer_body(response: ResponseStream) -> None:
    """Buffer a body until its end or the size limit."""
    pieces: list[bytes] = []
    size = 0
    while size < RETRY_BUFFER_BYTES:
        match await response.connection.next_part():
            case bytes(piece):
                pieces.append(piece)
                size += len(piece)
            case BodyEnd() as end:
                response.end = end
                break
    response.pieces = pieces


def _attempt_timeout_s(call: Call, left_s: float, can_retry: bool) -> float:
    if not call.route.kind.repeatable or not can_retry:
        return left_s
    timeout_s = max(
        MIN_ATTEMPT_TIMEOUT_S,
        ATTEMPT_TIMEOUT_FACTOR * call.route.target_latency_s,
    )
    return min(left_s, timeout_s)
