"""Send calls to backend servers and retry them where that is safe.

A call is sent again only if it may run more than once or provably was not
executed.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
import logging
import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import Framing
from jackdawfield.gateway.servers.call_queue import needs_slot
from jackdawfield.gateway.servers.choice import ServerCriteria
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.exchange import Attempt
from jackdawfield.gateway.servers.exchange import ExchangeOutcome
from jackdawfield.gateway.servers.exchange import MIN_TIME_LEFT_S
from jackdawfield.gateway.servers.exchange import NotRun
from jackdawfield.gateway.servers.exchange import ResponseLost
from jackdawfield.gateway.servers.exchange import ServerExchange
from jackdawfield.gateway.servers.exchange import Unreached
from jackdawfield.gateway.servers.guard import CallGuard
from jackdawfield.gateway.servers.response import ResponseStream
from jackdawfield.gateway.servers.server_limits import ServerLimits
from jackdawfield.gateway.servers.slot_queue import RETRY_AFTER_S
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.slots.call_slots import CallSlots
from jackdawfield.gateway.slots.call_slots import end_of_response
from jackdawfield.gateway.slots.call_slots import end_of_try
from jackdawfield.gateway.slots.client import SlotClient
from jackdawfield.gateway.stop_rule import StopRule
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
# Additional tries of one call, for servers to which it could not be sent.
MAX_UNSENT_TRIES = 4
# An idempotent call is retried at another server after this many times the
# route's target latency, but not before the minimum.
ATTEMPT_TIMEOUT_FACTOR = 2.0
MIN_ATTEMPT_TIMEOUT_S = 0.3
AT_LIMITS = 'servers are at their limits'


@dataclass(slots=True)
class ServerTries:
    """Holds the servers to which one call was sent or could not be sent.

    A server that could not be reached has not run the call, so it does not
    count as one that the call was sent to.
    """

    limit: int
    sent_ids: set[ServerId] = field(default_factory=set)
    unreached_ids: set[ServerId] = field(default_factory=set)

    @property
    def may_try_another(self) -> bool:
        """Return whether the call may be sent to one more server."""
        return len(self.sent_ids) < self.limit

    @property
    def excluded_ids(self) -> frozenset[ServerId]:
        """Return the servers that are not tried as another one."""
        return frozenset(self.sent_ids | self.unreached_ids)

    def record(self, server_id: ServerId, outcome: ExchangeOutcome) -> None:
        """Record the outcome of one try."""
        match outcome:
            case Unreached():
                self.unreached_ids.add(server_id)
                # Nothing listens there any more: what was sent to it earlier
                # does not go on.
                self.sent_ids.discard(server_id)
            case _:
                self.sent_ids.add(server_id)


@dataclass(frozen=True, slots=True)
class SentCall:
    """Holds a call with its response and the servers that were tried."""

    call: Call
    service: ServiceName
    body: bytes
    tries: ServerTries
    response: ResponseStream


class Dispatcher:
    """Chooses backend servers for calls and sends the requests to them."""

    def __init__(
        self,
        slot_queue: SlotQueue,
        exchange: ServerExchange,
        guard: CallGuard,
        limits: ServerLimits,
        stop_rule: StopRule,
        slot_client: SlotClient | None = None,
    ) -> None:
        self._stop_rule = stop_rule
        self._slot_queue = slot_queue
        self._slots = CallSlots(slot_queue, slot_client)
        self._limits = limits
        self._exchange = exchange
        self._guard = guard
        # Responses whose end only the end of their connection marked.
        self.unframed_count = 0

    def check(self, call: Call) -> Refusal | None:
        """Return a refusal if a call must not be sent to any server now."""
        return self._guard.check(call)

    async def start(
        self,
        call: Call,
        service: ServiceName,
        body: bytes,
        preferred_id: ServerId | None,
        on_sent: Callable[[], None],
    ) -> SentCall | Refusal | Failure:
        """Return the response once it has begun, or why it has not.

        `on_sent` is called before anything of the call is sent to a server.
        """
        tries = ServerTries(call.route.attempt_limit)
        may_have_run = False
        reason = 'no backend server'
        for _ in range(MAX_UNSENT_TRIES + call.route.attempt_limit):
            if not tries.may_try_another or _is_too_late(call):
                break
            criteria = _criteria(call, service, preferred_id, tries)
            server = await self._acquire(call, criteria)
            if isinstance(server, Refusal) and not may_have_run:
                return server
            if server is None or isinstance(server, Refusal):
                break
            # The request may have been suspected while the call was queued,
            # or a planned stop has come so far that it may not end in time.
            refusal = self._guard.check(call) or self._stop_rule.check(call)
            if refusal is not None:
                self._slots.release(call, server, SlotEnd.UNUSED)
                if not may_have_run:
                    return refusal
                break
            on_sent()
            outcome = await self._try(call, server, body, tries)
            match outcome:
                case ResponseStream():
                    return SentCall(call, service, body, tries, outcome)
                case Unreached():
                    reason = 'unreached'
                case NotRun(reason):
                    pass
                case ResponseLost(reason):
                    may_have_run = True
                    if not call.route.is_repeatable:
                        return Failure(502, reason)
                    if not self._guard.may_send_again(call):
                        break
        if may_have_run:
            return Failure(502, reason)
        return Refusal(503, reason, RETRY_AFTER_S)

    async def _acquire(
        self, call: Call, criteria: ServerCriteria
    ) -> ServerState | Refusal | None:
        """Return a server with a slot, and a token if it has a limit.

        The call waits for a token only if no server has both at once. If it
        would wait too long, it waits for a slot at a server without a limit.
        """
        while True:
            server = await self._slots.acquire(call, criteria)
            if server is None or isinstance(server, Refusal):
                return server
            is_last = server.rate_limit.wait_s(time.monotonic()) > 0
            retry_s = await self._take_token(call, server, may_wait=is_last)
            if retry_s is None:
                return server
            if is_last:
                free = await self._acquire_without_limit(call, criteria)
                return free or Refusal(503, AT_LIMITS, retry_s)

    async def _acquire_without_limit(
        self, call: Call, criteria: ServerCriteria
    ) -> ServerState | Refusal | None:
        limited_ids = self._slot_queue.servers.limited_ids(time.monotonic())
        excluded_ids = criteria.excluded_ids | limited_ids
        return await self._slots.acquire(
            call, replace(criteria, excluded_ids=excluded_ids)
        )

    async def _take_token(
        self, call: Call, server: ServerState, may_wait: bool
    ) -> float | None:
        """Take a token for a server, or release its slot.

        Return None with a token, else the time until there may be one.
        """
        retry_s: float | None = 0.0
        try:
            retry_s = await self._limits.take(call, server, may_wait)
        finally:
            if retry_s is not None:
                self._slots.release(call, server, SlotEnd.UNUSED)
        return retry_s

    async def resume(
        self, sent: SentCall, last_event_id: bytes | None, elsewhere: bool
    ) -> SentCall | Failure:
        """Continue a stream that broke off, after its last event.

        The server that sent it is asked again unless `elsewhere` is set and
        the call may be sent to another one.
        """
        call, tries = sent.call, sent.tries
        reason = 'no backend server to resume at'
        for _ in range(MAX_UNSENT_TRIES):
            server = self._choose_to_resume(sent, elsewhere)
            if server is None or _is_too_late(call):
                break
            if not self._guard.may_send_again(call):
                reason = 'its servers ended'
                break
            if self._stop_rule.check(call) is not None:
                reason = 'instance stops'
                break
            self._slots.take(call, server)
            if await self._take_token(call, server, True) is not None:
                reason = AT_LIMITS
                elsewhere = True
                continue
            outcome = await self._try(
                call, server, sent.body, tries, last_event_id
            )
            match outcome:
                case ResponseStream():
                    return SentCall(
                        call, sent.service, sent.body, tries, outcome
                    )
                case Unreached(reason):
                    continue
                case NotRun(reason) | ResponseLost(reason):
                    if not tries.may_try_another:
                        break
                    elsewhere = True
        return Failure(502, reason)

    def _choose_to_resume(
        self, sent: SentCall, elsewhere: bool
    ) -> ServerState | None:
        tries = sent.tries
        servers = self._slot_queue.servers
        last = sent.response.server
        last_id = last.entry.server_id
        now_s = time.monotonic()
        is_listed = servers.by_id.get(last_id) is last
        can_use_last = (
            is_listed
            and last.missing_since_s is None
            and last.takes_calls(now_s)
            and last_id not in tries.unreached_ids
        )
        if can_use_last and not elsewhere and not last.is_leaving:
            return last
        if tries.may_try_another:
            criteria = ServerCriteria(
                sent.service,
                sent.call.headers.session_id or sent.call.request_id,
                excluded_ids=tries.excluded_ids,
            )
            other = servers.choose(criteria, now_s)
            if other is not None:
                return other
        return last if can_use_last else None

    async def _try(
        self,
        call: Call,
        server: ServerState,
        body: bytes,
        tries: ServerTries,
        last_event_id: bytes | None = None,
    ) -> ExchangeOutcome:
        """Send a call to a server whose slot was taken for it."""
        server_id = server.entry.server_id
        attempt = Attempt(
            call,
            server,
            body,
            _attempt_timeout_s(call, tries),
            last_event_id or call.headers.last_event_id,
        )
        outcome: ExchangeOutcome | None = None
        self._guard.begin(call)
        try:
            outcome = await self._exchange.start(attempt)
        finally:
            if not isinstance(outcome, ResponseStream):
                end = end_of_try(server, outcome)
                self._slots.release(call, server, end)
                self._guard.end(call)
        tries.record(server_id, outcome)
        if isinstance(outcome, ResponseLost) and outcome.is_closed_by_server:
            self._guard.record_broken(call, server, had_begun=False)
        if isinstance(outcome, ResponseStream):
            outcome.on_first_piece = partial(self._slots.begin, call, server)
        else:
            _log_failed_attempt(attempt, outcome)
        return outcome

    def release(self, response: ResponseStream, end: BodyEnd | None) -> None:
        """Release a call's slot and connection.

        The end is None if the caller disconnected.
        """
        slot_end = end_of_response(response, end)
        self._slots.release(response.call, response.server, slot_end)
        self._guard.end(response.call)
        if response.head.framing is Framing.CONNECTION:
            self.unframed_count += 1
            _log_unframed(response, end)
        if end is BodyEnd.WHOLE:
            self._guard.record_whole(response.call)
        elif (
            end is not BodyEnd.UNCONFIRMED
            and response.connection.is_closed_by_server
        ):
            self._guard.record_broken(
                response.call,
                response.server,
                had_begun=response.has_begun,
            )
        self._exchange.release(response, end)


def _criteria(
    call: Call,
    service: ServiceName,
    preferred_id: ServerId | None,
    tries: ServerTries,
) -> ServerCriteria:
    return ServerCriteria(
        service,
        call.headers.session_id or call.request_id,
        preferred_id,
        needs_slot(call),
        tries.excluded_ids,
    )


def _is_too_late(call: Call) -> bool:
    return call.deadline_s - time.monotonic() < MIN_TIME_LEFT_S


def _attempt_timeout_s(call: Call, tries: ServerTries) -> float:
    """Return how long to wait for the start of a response.

    A stream's start may wait in a server's queue, so it is not timed here.
    """
    left_s = call.deadline_s - time.monotonic()
    can_retry = len(tries.sent_ids) + 1 < tries.limit
    if not call.route.kind.repeatable or not can_retry:
        return left_s
    timeout_s = max(
        MIN_ATTEMPT_TIMEOUT_S,
        ATTEMPT_TIMEOUT_FACTOR * call.route.target_latency_s,
    )
    return min(left_s, timeout_s)


def _log_failed_attempt(
    attempt: Attempt, outcome: Unreached | NotRun | ResponseLost
) -> None:
    log_event(
        LOG,
        'attempt_failed',
        logging.WARNING,
        request=attempt.call.request_id,
        server=attempt.server.entry.server_id,
        run='unknown' if isinstance(outcome, ResponseLost) else 'no',
        reason=outcome.reason,
    )


def _log_unframed(response: ResponseStream, end: BodyEnd | None) -> None:
    log_event(
        LOG,
        'unframed_response_ended',
        request=response.call.request_id,
        server=response.server.entry.server_id,
        end=end.value if end is not None else 'caller left',
        connection=response.connection.lost_reason,
    )
