"""Check callers' requests and forward them to backend servers."""

import asyncio
import logging
import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import CallHeaders
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.calls import Stage
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.http.caller_exchange import IncomingRequest
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.reply import Reply
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.programs.stream_calls import StreamCalls
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.gateway.routes import choose_service
from jackdawfield.gateway.routes import find_route
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.dispatch import SentCall
from jackdawfield.gateway.stop_rule import RETRY_AT_STOP_S
from jackdawfield.gateway.stop_rule import StopRule
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.logs import log_event
from jackdawfield.model import OrganisationId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
# Statuses that the caller takes as final: no such route, and unknown key.
DENIALS = (401, 404)
# A newer configuration may allow what an older one that nobody has confirmed
# for this long denies.
MAX_DENIAL_AGE_S = 2.0
# Time for which a denial waits for a confirmation.
CONFIRM_TIMEOUT_S = 0.3
# Retry-After of refusals before a configuration was received or confirmed.
RETRY_UNCONFIGURED_S = 0.3
# Stages in which nothing of a call was sent to a backend server yet.
UNSENT_STAGES = frozenset((Stage.RATE, Stage.CHAIN, Stage.BUDGET, Stage.SLOT))
# Metric label for the route of a request that was refused without a call.
NO_ROUTE = 'none'


class CallHandler:
    """Checks and responds to the requests that this instance receives."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        stream_calls: StreamCalls,
        admission: Admission,
        metrics: GatewayMetrics,
        stop_rule: StopRule,
    ) -> None:
        self._metrics = metrics
        self._stop_rule = stop_rule
        self._dispatcher = dispatcher
        self._stream_calls = stream_calls
        self._admission = admission
        self.configuration: FleetConfiguration | None = None
        self.configuration_table: TableFollower | None = None

    async def serve(
        self, request: IncomingRequest, headers: CallHeaders, reply: Reply
    ) -> None:
        """Respond to a request and log how it ended."""
        checked = self._check(request, headers)
        if isinstance(checked, Refusal) and checked.status in DENIALS:
            checked = await self._confirm(checked, request, headers)
        if isinstance(checked, Refusal):
            self._refuse(headers.request_id, None, checked, reply)
            return
        try:
            async with asyncio.timeout_at(loop_time(checked.deadline_s)):
                await self._run(checked, reply)
        except TimeoutError:
            timeout = Failure(504, 'timeout')
            self._end_early(checked, reply, 'call_timed_out', timeout)
        except asyncio.CancelledError:
            if reply.closed_by is not None:
                self._record_caller_left(checked, reply)
                raise
            # The connection is open: a planned stop has cancelled the task.
            self._answer_stop(checked, reply)
        self._metrics.count_call(checked, reply.status)
        log_event(
            LOG,
            'call_ended',
            request=checked.request_id,
            route=checked.route.name,
            organisation=checked.organisation_id,
            status=reply.status,
            ms=round((time.monotonic() - checked.arrived_at_s) * 1000),
        )

    def has_route(self, host: str, target: str) -> bool:
        """Return whether a request for a host and target has a route."""
        configuration = self.configuration
        if configuration is None:
            return False
        return find_route(configuration, host, target) is not None

    async def _confirm(
        self, denial: Refusal, request: IncomingRequest, headers: CallHeaders
    ) -> Call | Refusal:
        """Return a denial by a confirmed configuration, else a refusal."""
        table = self.configuration_table
        if table is None or table.age_s() <= MAX_DENIAL_AGE_S:
            return denial
        confirmed_s = boot_time_s() - MAX_DENIAL_AGE_S
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await table.wait_for_confirmation(confirmed_s)
        except TimeoutError:
            reason = 'configuration not confirmed'
            return Refusal(503, reason, RETRY_UNCONFIGURED_S)
        return self._check(request, headers)

    def _record_caller_left(self, call: Call, reply: Reply) -> None:
        """Log and count a call whose caller disconnected before its end."""
        self._metrics.count_reason(call.route.name, 0, 'caller left')
        log_event(
            LOG,
            'caller_left',
            logging.WARNING,
            request=call.request_id,
            route=call.route.name,
            waiting_for=reply.stage.value,
            begun=reply.has_written,
            closed_by=reply.closed_by.value if reply.closed_by else None,
            ms=round((time.monotonic() - call.arrived_at_s) * 1000),
        )

    def _check(
        self, request: IncomingRequest, headers: CallHeaders
    ) -> Call | Refusal:
        configuration = self.configuration
        if configuration is None:
            return Refusal(503, 'no configuration yet', RETRY_UNCONFIGURED_S)
        if len(request.body) > configuration.body_limit_bytes:
            return Refusal(413, 'body too large')
        route = find_route(configuration, headers.host, request.target)
        if route is None:
            return Refusal(404, 'no such route')
        if request.is_body_dropped:
            reason = 'route unknown when the request arrived'
            return Refusal(503, reason, RETRY_UNCONFIGURED_S)
        organisation_id: OrganisationId | None = None
        if headers.key is not None:
            organisation_id = configuration.organisation_ids_by_key.get(
                headers.key
            )
        needs_key = configuration.needs_keys and not route.is_open
        if needs_key and organisation_id is None:
            return Refusal(401, 'unknown key')
        time_left_s = route.timeout_s
        if headers.time_left_s is not None:
            time_left_s = min(time_left_s, headers.time_left_s)
        deadline_s = request.arrived_at_s + time_left_s
        call = Call(
            request_id=headers.request_id,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            route=route,
            organisation_id=organisation_id,
            arrived_at_s=request.arrived_at_s,
            deadline_s=deadline_s,
        )
        return self._stop_rule.check(call) or call

    async def _run(self, call: Call, reply: Reply) -> None:
        service = choose_service(call.route, call.request_id)
        if service is None:
            unrouted = Refusal(503, 'route without service')
            self._refuse(call.request_id, call, unrouted, reply)
            return
        refusal = self._dispatcher.check(call)
        outcome = refusal or await self._send(call, service, reply)
        match outcome:
            case Refusal():
                self._refuse(call.request_id, call, outcome, reply)
            case Failure(status, reason):
                self._metrics.count_reason(call.route.name, status, reason)
                log_event(
                    LOG,
                    'call_failed',
                    logging.WARNING,
                    request=call.request_id,
                    status=status,
                    reason=reason,
                )
                reply.send(status, reason)

    async def _send(
        self, call: Call, service: ServiceName, reply: Reply
    ) -> Refusal | Failure | None:
        if call.route.kind is CallKind.STREAM:
            return await self._stream_calls.serve(call, service, reply)
        return await self._forward(call, service, reply)

    async def _forward(
        self, call: Call, service: ServiceName, reply: Reply
    ) -> Refusal | Failure | None:
        with self._metrics.time_admission(call):
            refusal = await self._admission.admit(call)
        if refusal is not None:
            return refusal
        reply.stage = Stage.SLOT
        sent = await self._dispatcher.start(
            call, service, call.body, None, reply.record_sent
        )
        if isinstance(sent, Refusal):
            self._admission.return_token(call)
        if not isinstance(sent, SentCall):
            return sent
        response = sent.response
        end: BodyEnd | None = None
        try:
            reply.stage = Stage.ANSWER
            reply.set_head(response.head)
            end = await response.forward_body(reply.write)
        finally:
            self._dispatcher.release(response, end)
        if end in (None, BodyEnd.CUT):
            return reply.end_incomplete(end)
        reply.finish()
        return None

    def _refuse(
        self,
        request_id: str,
        call: Call | None,
        refusal: Refusal,
        reply: Reply,
    ) -> None:
        """Refuse a request; the call is None if its route is unknown."""
        route = call.route.name if call is not None else NO_ROUTE
        self._metrics.count_reason(route, refusal.status, refusal.reason)
        log_event(
            LOG,
            'call_refused',
            logging.WARNING,
            request=request_id,
            route=route,
            organisation=call.organisation_id if call else None,
            previous_turn=call.headers.previous_turn if call else None,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            configuration=self.configuration_version,
            unconfirmed_s=self._configuration_age_s,
        )
        reply.send(refusal.status, refusal.reason, refusal.retry_after_s)

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration, 0 without one."""
        return self.configuration.version if self.configuration else 0

    @property
    def _configuration_age_s(self) -> float | None:
        table = self.configuration_table
        return round(table.age_s(), 2) if table is not None else None

    def _answer_stop(self, call: Call, reply: Reply) -> None:
        """Answer a call that a planned stop ends.

        Status 503 says that it was not run, 502 that it may have been.
        """
        answer: Refusal | Failure = Failure(502, 'instance stops')
        if reply.stage in UNSENT_STAGES:
            answer = Refusal(503, 'instance stops', RETRY_AT_STOP_S)
        self._end_early(call, reply, 'call_ended_by_stop', answer)

    def _end_early(
        self, call: Call, reply: Reply, event: str, answer: Refusal | Failure
    ) -> None:
        """End a call before its time; an answer that has begun is aborted."""
        log_event(
            LOG,
            event,
            logging.WARNING,
            request=call.request_id,
            waiting_for=reply.stage.value,
            begun=reply.has_written,
        )
        if reply.has_ended:
            return
        if reply.has_written:
            reply.abort()
            return
        match answer:
            case Refusal(status, reason, retry_after_s):
                reply.send(status, reason, retry_after_s)
            case Failure(status, reason):
                reply.send(status, reason)


def loop_time(monotonic_s: float) -> float:
    """Convert a time of the monotonic clock to the event loop's clock."""
    loop = asyncio.get_running_loop()
    return loop.time() + monotonic_s - time.monotonic()
