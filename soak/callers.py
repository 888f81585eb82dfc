"""Call the instances as programs do and record the responses."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import itertools
import random
import socket
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.work_slices import WorkSlices
from soak.backend import short_digest
from soak.instances import CALLER_PORT
from soak.instances import Instance
from soak.record import CallClass
from soak.record import Outcome
from soak.record import Record
from soak.record import RETRIED_STATUSES
from soak.record import STREAM_CLASSES
from soak.scenario import APPLY_LIMIT_S
from soak.scenario import BESIDE_BODY
from soak.scenario import ENDING_BODY
from soak.scenario import HEADER_PREFIX
from soak.scenario import HOST_NAME
from soak.scenario import LIMITED_KEY
from soak.scenario import LIMITED_ORGANISATION
from soak.scenario import MAX_TOKENS_PER_TURN
from soak.scenario import plain_body
from soak.scenario import probe_key
from soak.scenario import PROBE_ORGANISATION
from soak.scenario import PROGRAM_BUDGET_TOKENS
from soak.scenario import ROUTE_TIMEOUT_S
from soak.scenario import stream_body
from soak.scenario import turn_text
from soak.scenario import UNLIMITED_KEY
from soak.scenario import UNLIMITED_ORGANISATION

CONNECT_TIMEOUT_S = 0.5
RESPONSE_MARGIN_S = 1.0
PROBE_INTERVAL_S = 0.2
# A withdrawn key is still used after the limit by which it must be refused.
PROBE_AFTER_WITHDRAWAL_S = 2 * APPLY_LIMIT_S
MAX_THINK_S = 0.05
MAX_ATTEMPTS = 3
MAX_RETRY_AFTER_S = 1.0
# Share of programs that continue until their budget is spent.
LOOPING_SHARE = 0.15
LOOPING_TURN_COUNT = 14
TURN_COUNT_RANGE = (2, 5)
# Share of programs whose streams are not retained.
REPLY_SHARE = 0.4
# Pause before the request that ends servers is sent again.
ENDING_INTERVAL_S = 0.15
# Connections kept to each instance and used now and then.
KEPT_CONNECTIONS = 40
KEPT_IDLE_RANGE_S = (1.0, 4.0)
# Those of an instance that is stopping are used once more, around the time
# after SIGTERM at which it closes what is idle.
LAST_USE_RANGE_S = (2.9, 3.3)


@dataclass(frozen=True, slots=True)
class Ask:
    """Holds one call to be sent; its attempts share the effect id.

    The prompt is what the backend server must receive: the turns before
    and the body.
    """

    call_class: CallClass
    organisation: str
    key: str
    program: str
    effect_id: str
    body: bytes
    prompt: bytes
    previous_request_id: str = ''


class CallerConnection(Connection):
    """Tells a connection closed in order from one that was reset.

    The kernel resets a connection whose peer closes it with bytes unread, or
    that gets bytes after its peer has closed it.
    """

    def __init__(self) -> None:
        super().__init__(WorkSlices())
        self.is_closed_in_order = False

    def eof_received(self) -> bool:
        """Record whether the peer had read all that was sent."""
        assert self._transport is not None
        sock = self._transport.get_extra_info('socket')
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.is_closed_in_order = error == 0
        return super().eof_received()


class CallerPool(ConnectionPool):
    """Opens and keeps callers' connections."""

    async def open(
        self, host: str, port: int, timeout_s: float
    ) -> Result[Connection, ExchangeError]:
        """Open a connection within the timeout."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    CallerConnection, host, port
                )
        except (OSError, TimeoutError) as error:
            return Err(ExchangeError(Fault.NOT_SENT, str(error)))
        return Ok(connection)


class LoadGenerator:
    """Runs programs and probes against the instances until stopped."""

    def __init__(
        self, seed: int, instances: list[Instance], record: Record
    ) -> None:
        self._rng = random.Random(seed)
        self._instances = instances
        self._record = record
        self._counter = itertools.count(1)
        self._pool = CallerPool()
        # Class of the request that ends servers.
        self._ending_class = random.Random(f'{seed} ending').choice(
            list(CallClass)
        )
        # The unlimited organisation's newest whole turn and conversation.
        self._newest_turn = ('', b'')
        self.is_stopping = False

    async def run_programs(self, is_limited: bool) -> None:
        """Run programs of one organisation one after another."""
        while not self.is_stopping:
            await self._run_program(is_limited)

    async def probe_keys(self, key_version: Callable[[], int]) -> None:
        """Call with the newest probe key and with the one it replaced."""
        probed_version = key_version()
        while not self.is_stopping:
            await asyncio.sleep(PROBE_INTERVAL_S)
            newest_version = key_version()
            keys = [probe_key(probed_version)]
            if newest_version != probed_version:
                keys = [probe_key(probed_version), probe_key(newest_version)]
            for key in keys:
                await self._probe_key(key)
            withdrawn_s = self._record.withdrawn_at_s_by_key.get(keys[0])
            if (
                withdrawn_s
                and time.monotonic() - withdrawn_s > PROBE_AFTER_WITHDRAWAL_S
            ):
                probed_version = newest_version

    async def send_ending_requests(
        self, is_active: Callable[[], bool]
    ) -> None:
        """Send a request that ends servers, and another one beside it.

        A turn goes on from the newest turn, as its place in a program is no
        part of what makes it the same request.
        """
        while not self.is_stopping:
            await asyncio.sleep(ENDING_INTERVAL_S)
            if is_active():
                await asyncio.gather(
                    self._attempt(self._repeated_ask(ENDING_BODY)),
                    self._attempt(self._repeated_ask(BESIDE_BODY)),
                )

    def _repeated_ask(self, body: bytes) -> Ask:
        previous_request_id, conversation = '', b''
        if self._ending_class is CallClass.TURN:
            previous_request_id, conversation = self._newest_turn
        return Ask(
            self._ending_class,
            UNLIMITED_ORGANISATION,
            UNLIMITED_KEY,
            self._next_id('program-'),
            self._next_id('e'),
            body,
            conversation + body,
            previous_request_id,
        )

    async def keep_connections(self, instance: Instance) -> None:
        """Keep connections to an instance, each mostly idle."""
        async with asyncio.TaskGroup() as group:
            for _ in range(KEPT_CONNECTIONS):
                group.create_task(self._use_kept_connections(instance))

    async def _use_kept_connections(self, instance: Instance) -> None:
        """Use a connection until the other end closes it, then another."""
        while not self.is_stopping:
            await asyncio.sleep(PROBE_INTERVAL_S)
            opened = await self._pool.open(
                instance.host, CALLER_PORT, CONNECT_TIMEOUT_S
            )
            if isinstance(opened, Err):
                continue
            connection = opened.ok_value
            while connection.is_usable and not self.is_stopping:
                ask = self._lookup(UNLIMITED_ORGANISATION, UNLIMITED_KEY)
                await self._attempt_on(connection, instance, ask)
                if not connection.reset_for_reuse():
                    break
                await asyncio.sleep(self._rng.uniform(*KEPT_IDLE_RANGE_S))
                await self._wait_for_last_use(instance)
            connection.abort(LossReason.STOPPING)

    async def _wait_for_last_use(self, instance: Instance) -> None:
        last_use_s = self._rng.uniform(*LAST_USE_RANGE_S)
        now_s = time.monotonic()
        for name, stopped_s in self._record.planned_stops:
            left_s = stopped_s + last_use_s - now_s
            if name == instance.name and left_s > 0:
                await asyncio.sleep(left_s)

    def _lookup(self, organisation: str, key: str) -> Ask:
        return Ask(
            CallClass.LOOKUP,
            organisation,
            key,
            '',
            self._next_id('e'),
            b'p',
            b'p',
        )

    async def _probe_key(self, key: str) -> None:
        await self._attempt(self._lookup(PROBE_ORGANISATION, key))

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    def _next_id(self, prefix: str) -> str:
        return f'{prefix}{next(self._counter)}'

    async def _run_program(self, is_limited: bool) -> None:
        rng = self._rng
        organisation = (
            LIMITED_ORGANISATION if is_limited else UNLIMITED_ORGANISATION
        )
        key = LIMITED_KEY if is_limited else UNLIMITED_KEY
        program = self._next_id('program-')
        turn_count = rng.randint(*TURN_COUNT_RANGE)
        if rng.random() < LOOPING_SHARE:
            turn_count = LOOPING_TURN_COUNT
        is_retained = rng.random() >= REPLY_SHARE
        call_class = CallClass.TURN if is_retained else CallClass.REPLY
        conversation = b''
        previous_request_id = ''
        for _ in range(turn_count):
            turn_input = f'{program} says {self._next_id("")}.'.encode()
            ask = Ask(
                call_class,
                organisation,
                key,
                program,
                self._next_id('e'),
                turn_input,
                conversation + turn_input,
                previous_request_id,
            )
            outcome = await self._call_with_retries(ask)
            if outcome is None or not outcome.whole or outcome.status != 200:
                return
            if is_retained:
                conversation += turn_input + turn_text(outcome.request_id)
                previous_request_id = outcome.request_id
                if not is_limited:
                    self._newest_turn = (previous_request_id, conversation)
            await asyncio.sleep(MAX_THINK_S * rng.random())
            await self._call_tool(organisation, key, program)

    async def _call_tool(
        self, organisation: str, key: str, program: str
    ) -> None:
        call_class = self._rng.choice((CallClass.ORDER, CallClass.LOOKUP))
        body = f'{program} tool'.encode()
        effect_id = self._next_id('e')
        await self._call_with_retries(
            Ask(call_class, organisation, key, program, effect_id, body, body)
        )

    async def _call_with_retries(self, ask: Ask) -> Outcome | None:
        """Make a call, retry while it was not executed.

        Return the last outcome, None if no attempt was sent.
        """
        outcome = None
        for _ in range(MAX_ATTEMPTS):
            if self.is_stopping:
                return outcome
            outcome, retry_after_s = await self._attempt(ask)
            if outcome is None:
                await asyncio.sleep(0.1)
                continue
            if outcome.status not in RETRIED_STATUSES:
                return outcome
            await asyncio.sleep(min(MAX_RETRY_AFTER_S, retry_after_s))
        return outcome

    async def _attempt(self, ask: Ask) -> tuple[Outcome | None, float]:
        """Make one attempt and return its outcome and retry delay in s.

        The outcome is None if nothing was sent.
        """
        running = [i for i in self._instances if i.is_running]
        if not running:
            return None, 0.0
        instance = self._rng.choice(running)
        acquired = await self._pool.acquire(
            instance.host, CALLER_PORT, CONNECT_TIMEOUT_S
        )
        if isinstance(acquired, Err):
            return None, 0.0
        connection = acquired.ok_value
        outcome, retry_after_s = await self._attempt_on(
            connection, instance, ask
        )
        if outcome is None:
            return None, 0.0
        if outcome.whole:
            self._pool.release(instance.host, CALLER_PORT, connection)
        else:
            connection.abort(LossReason.ANSWER_LOST)
        return outcome, retry_after_s

    async def _attempt_on(
        self, connection: Connection, instance: Instance, ask: Ask
    ) -> tuple[Outcome | None, float]:
        """Make one attempt on an open connection.

        Return its outcome, None if nothing was sent, and the Retry-After.
        """
        assert isinstance(connection, CallerConnection)
        request_id = self._next_id('r')
        started_s = time.monotonic()
        if isinstance(connection.send(_build_request(ask, request_id)), Err):
            return None, 0.0
        response = await _receive_response(connection)
        status, end = response.status, response.end
        is_stream = ask.call_class in STREAM_CLASSES
        expected_body = (stream_body if is_stream else plain_body)(request_id)
        outcome = Outcome(
            request_id,
            ask.call_class,
            ask.organisation,
            ask.program,
            instance.name,
            started_s,
            time.monotonic(),
            status,
            end is BodyEnd.WHOLE,
            response.body,
            expected_body,
            short_digest(ask.prompt),
            ask.previous_request_id,
            ask.key,
            end is BodyEnd.UNCONFIRMED,
            ask.body == ENDING_BODY,
            status == 0 and connection.is_closed_in_order,
            response.leaving_server_id,
        )
        self._record.outcomes.append(outcome)
        return outcome, response.retry_after_s


def _build_request(ask: Ask, request_id: str) -> OutgoingRequest:
    headers = [
        ('Host', HOST_NAME),
        (HEADER_PREFIX + 'Request-Id', request_id),
        (HEADER_PREFIX + 'Credential', ask.key),
        (HEADER_PREFIX + 'Effect', ask.effect_id),
    ]
    if ask.program:
        headers.append((HEADER_PREFIX + 'Program-Id', ask.program))
    if ask.call_class in STREAM_CLASSES:
        headers.append(
            (HEADER_PREFIX + 'Token-Usage', f'50,{MAX_TOKENS_PER_TURN}')
        )
        headers.append(
            (HEADER_PREFIX + 'Token-Budget', str(PROGRAM_BUDGET_TOKENS))
        )
    if ask.previous_request_id:
        headers.append(
            (HEADER_PREFIX + 'Previous-Turn', ask.previous_request_id)
        )
    target = f'/{ask.call_class.value}/x'
    return OutgoingRequest('POST', target, tuple(headers), ask.body)


@dataclass(slots=True)
class _Response:
    """Holds a response; its status is 0 without one."""

    status: int = 0
    body: bytes = b''
    end: BodyEnd = BodyEnd.CUT
    retry_after_s: float = 0.0
    # The server that says in it that it leaves, if any.
    leaving_server_id: str = ''


async def _receive_response(connection: Connection) -> _Response:
    """Return what was received until the end or the time limit."""
    response = _Response()
    try:
        async with asyncio.timeout(ROUTE_TIMEOUT_S + RESPONSE_MARGIN_S):
            while True:
                match await connection.next_part():
                    case ResponseHead() as head:
                        response.status = head.status
                        retry_after = head.get('retry-after')
                        response.retry_after_s = float(retry_after or 0)
                        response.leaving_server_id = _leaving_server(head)
                    case bytes(chunk):
                        response.body += chunk
                    case BodyEnd() as end:
                        response.end = end
                        return response
    except TimeoutError:
        return response


def _leaving_server(head: ResponseHead) -> str:
    if head.get('server-leaving') is None:
        return ''
    return head.get((HEADER_PREFIX + 'Server-Stamp').lower()) or ''
