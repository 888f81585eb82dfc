"""Exchange one request and its response with a backend server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
import logging
import time

from result import Err

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import ForwardedHeaders
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.pool import Listening
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.servers.choice import HANG_S
from jackdawfield.gateway.servers.choice import record_failure
from jackdawfield.gateway.servers.choice import record_full
from jackdawfield.gateway.servers.choice import record_success
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.notices import NoticeRecorder
from jackdawfield.gateway.servers.notices import ServerNotices
from jackdawfield.gateway.servers.reachability import SILENCE_S
from jackdawfield.gateway.servers.relay_client import RelayedConnection
from jackdawfield.gateway.servers.response import ResponseStream
from jackdawfield.gateway.servers.server_paths import ServerConnection
from jackdawfield.gateway.servers.server_paths import ServerPaths
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# Limit for reading the rest of a refusal, so that its connection is reused.
REFUSAL_TIMEOUT_S = 0.1
# After an unframed response the server is asked for a connection: after a
# delay, as a process that ends closes its sockets one after another, and
# within a limit.
END_CHECK_DELAY_S = 0.02
END_CHECK_TIMEOUT_S = 0.15
STATUS_MISDIRECTED = 421
STATUS_FULL = 503
STATUS_SERVER_ERROR = 500
# First digit of the statuses of successful responses.
SUCCESS_CLASS = 2
# With less time left until its deadline, a call is not sent to a server.
MIN_TIME_LEFT_S = 0.02
# Responses to idempotent calls are buffered up to this size before they are
# forwarded, so that an incomplete one can be retried.
RETRY_BUFFER_BYTES = 262144


@dataclass(frozen=True, slots=True)
class HeaderFormat:
    """Holds the header names that exchanges use and the header encoder.

    A server that did not execute a request sets the not-run header. A
    successful response without the server stamp is discarded, as it does not
    come from a backend server.
    """

    request_id: str
    not_run: str
    server_stamp: str
    encode: Callable[[ForwardedHeaders], list[tuple[str, str]]]
    decode_notices: Callable[[ResponseHead], ServerNotices]


@dataclass(frozen=True, slots=True)
class Unreached:
    """Reports that nothing of the request was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Reports that the server stated that it did not run the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """Reports a request that may have run, without a usable response."""

    reason: str
    is_closed_by_server: bool = False


ExchangeOutcome = ResponseStream | Unreached | NotRun | ResponseLost


@dataclass(frozen=True, slots=True)
class Attempt:
    """Holds one request of a call to one server."""

    call: Call
    server: ServerState
    body: bytes
    timeout_s: float
    last_event_id: bytes | None


class ServerExchange:
    """Sends requests to backend servers and awaits the responses' start."""

    def __init__(
        self,
        servers: Servers,
        pool: ConnectionPool,
        paths: ServerPaths,
        header_format: HeaderFormat,
        notices: NoticeRecorder,
        report_failure: Callable[[ServerState], None],
    ) -> None:
        self._servers = servers
        self._pool = pool
        self._paths = paths
        self._header_format = header_format
        self._notices = notices
        self._report_failure = report_failure

    async def start(self, attempt: Attempt) -> ExchangeOutcome:
        """Send a request once and return its outcome."""
        call, server = attempt.call, attempt.server
        connected = await self._paths.connect(server.entry, call.request_id)
        now_s = time.monotonic()
        if isinstance(connected, Err):
            error = connected.err_value
            if error.is_server_fault:
                self._record_failure(server, now_s, error.reason)
            return Unreached(error.reason)
        connection = connected.ok_value
        left_s = call.deadline_s - now_s
        if left_s < MIN_TIME_LEFT_S:
            connection.abort(LossReason.TOO_LATE)
            return Unreached('too late to send')
        if isinstance(connection.send(self._request(attempt, left_s)), Err):
            return Unreached(connection.lost_reason)
        outcome: ExchangeOutcome | None = None
        timers = self._watch(server, connection)
        if call.route.kind is CallKind.STREAM:
            server.awaiting_since_s_by_connection[id(connection)] = now_s
        try:
            outcome = await self._await_response(attempt, connection, now_s)
        finally:
            for timer in timers:
                timer.cancel()
            # ResponseStream records the first piece once a response has begun.
            if not isinstance(outcome, ResponseStream):
                server.awaiting_since_s_by_connection.pop(id(connection), None)
        return outcome

    def _request(self, attempt: Attempt, left_s: float) -> OutgoingRequest:
        call = attempt.call
        encoded = self._header_format.encode(
            ForwardedHeaders(
                attempt.server.entry.server_id,
                call.organisation_id,
                left_s,
                call.headers.end_to_end_headers,
                attempt.last_event_id,
            )
        )
        return OutgoingRequest(
            call.method,
            call.target,
            tuple(encoded),
            attempt.body,
            self._header_format.request_id,
            call.request_id,
        )

    def _watch(
        self, server: ServerState, connection: ServerConnection
    ) -> list[asyncio.TimerHandle]:
        """Schedule what is done in case a server does not respond.

        If it alone does not, it is reported; if none is heard any more, it is
        asked for a connection.
        """

        def report_if_hanging() -> None:
            if self._servers.others_respond(server, time.monotonic()):
                self._report(server)

        loop = asyncio.get_running_loop()
        timers = [loop.call_later(HANG_S, report_if_hanging)]
        if isinstance(connection, Connection):
            watch = partial(self._paths.watch_for_silence, server.entry)
            timers.append(loop.call_later(SILENCE_S, watch))
        return timers

    async def _await_response(
        self, attempt: Attempt, connection: ServerConnection, sent_at_s: float
    ) -> ExchangeOutcome:
        server = attempt.server
        try:
            async with asyncio.timeout(attempt.timeout_s):
                response = await self._read_response_start(
                    attempt, connection, sent_at_s
                )
        except TimeoutError:
            connection.abort(LossReason.NO_ANSWER_IN_TIME)
            self._record_failure(server, time.monotonic(), 'no answer in time')
            return ResponseLost('no answer in time')
        except asyncio.CancelledError:
            connection.abort(LossReason.CALLER_LEFT)
            raise
        if isinstance(connection, RelayedConnection) and connection.is_unsent:
            connection.abort(LossReason.NOT_SENT)
            return Unreached(connection.lost_reason)
        if response is None:
            self._record_failure(server, time.monotonic(), 'answer lost')
            connection.abort(LossReason.ANSWER_LOST)
            return ResponseLost(
                connection.lost_reason or 'answer lost',
                connection.is_closed_by_server,
            )
        if self._is_not_run(response.head):
            await self._handle_refusal(server, connection, response.head)
            return NotRun(f'server answered {response.head.status}, not run')
        return response

    async def _read_response_start(
        self, attempt: Attempt, connection: ServerConnection, sent_at_s: float
    ) -> ResponseStream | None:
        """Read the response's start; return None if it is lost or invalid."""
        head = await connection.next_part()
        if not isinstance(head, ResponseHead):
            return None
        self._record_heard(attempt.server, connection)
        self._notices.record(attempt.server, head, sent_at_s)
        response = ResponseStream(
            attempt.call,
            attempt.server,
            connection,
            head,
            self._confirm_end,
            partial(self._record_heard, attempt.server, connection),
            sent_at_s=sent_at_s,
        )
        if self._is_not_run(head):
            return response
        succeeded = head.status // 100 == SUCCESS_CLASS
        if succeeded and head.get(self._header_format.server_stamp) is None:
            return None
        if attempt.call.route.kind.repeatable:
            await response.buffer_body(RETRY_BUFFER_BYTES)
        return None if response.end is BodyEnd.CUT else response

    def _record_heard(
        self, server: ServerState, connection: ServerConnection
    ) -> None:
        if isinstance(connection, Connection):
            self._paths.record_heard(server.entry)

    async def _confirm_end(self, server: ServerState) -> BodyEnd:
        """Return the end of an unframed response: cut if its server ended.

        A server that leaves may end after its last response.
        """
        if not self._servers.is_usable(server):
            return BodyEnd.UNCONFIRMED
        await asyncio.sleep(END_CHECK_DELAY_S)
        listening = await self._paths.probe(server.entry, END_CHECK_TIMEOUT_S)
        if listening is Listening.NO:
            return BodyEnd.CUT
        return BodyEnd.UNCONFIRMED

    def _is_not_run(self, head: ResponseHead) -> bool:
        if head.status == STATUS_MISDIRECTED:
            return True
        return head.get(self._header_format.not_run) is not None

    async def _handle_refusal(
        self,
        server: ServerState,
        connection: ServerConnection,
        head: ResponseHead,
    ) -> None:
        if head.status == STATUS_FULL:
            record_full(server, time.monotonic())
        else:
            self._record_failure(
                server, time.monotonic(), f'refused with {head.status}'
            )
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT_S):
                while isinstance(await connection.next_part(), bytes):
                    pass
        except TimeoutError:
            connection.abort(LossReason.REFUSAL_WITHOUT_END)
            return
        self._give_back(server, connection)

    def _give_back(
        self, server: ServerState, connection: ServerConnection
    ) -> None:
        """Return a connection to the pool; a relayed one just ends."""
        entry = server.entry
        match connection:
            case Connection():
                self._pool.release(entry.host, entry.port, connection)
            case RelayedConnection():
                connection.abort(LossReason.DONE)

    def release(self, response: ResponseStream, end: BodyEnd | None) -> None:
        """Return a response's connection to the pool, or close it.

        The end is None if the caller disconnected.
        """
        server = response.server
        server.awaiting_since_s_by_connection.pop(
            id(response.connection), None
        )
        if end is None:
            response.connection.abort(LossReason.CALLER_LEFT)
            return
        if end is BodyEnd.CUT:
            response.connection.abort(LossReason.ANSWER_CUT)
            self._record_failure(server, time.monotonic(), 'answer cut')
            return
        if response.head.status >= STATUS_SERVER_ERROR:
            reason = f'answered {response.head.status}'
            self._record_failure(server, time.monotonic(), reason)
        else:
            record_success(server)
        self._give_back(server, response.connection)

    def _report(self, server: ServerState) -> None:
        """Report a failure to the others unless the path is at fault.

        A server that leaves may end at any time.
        """
        if server.is_leaving:
            return
        report = partial(self._report_failure, server)
        self._paths.run_if_path_is_sound(server.entry, report)

    def _record_failure(
        self, server: ServerState, now_s: float, reason: str
    ) -> None:
        self._report(server)
        if record_failure(server, now_s):
            log_event(
                LOG,
                'server_avoided',
                server=server.entry.server_id,
                failures=server.failures,
                reason=reason,
            )
