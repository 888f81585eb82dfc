"""Calls the fleet as programs do, and records what comes back."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import itertools
import random
import time

from result import Err

from jackdawfield.gateway.connection_pool import ConnectionPool
from jackdawfield.gateway.connections import BodyEnd
from jackdawfield.gateway.connections import Connection
from jackdawfield.gateway.connections import OutgoingRequest
from jackdawfield.gateway.connections import ResponseHead
from soak.backend import digest
from soak.instances import CALLER_PORT
from soak.instances import Instance
from soak.record import CallClass
from soak.record import Outcome
from soak.record import Record
from soak.record import RETRIED_STATUSES
from soak.world import APPLY_S
from soak.world import BUDGET_TOKENS
from soak.world import FREE
from soak.world import FREE_KEY
from soak.world import HOST_NAME
from soak.world import LIMITED
from soak.world import LIMITED_KEY
from soak.world import MOST_TOKENS
from soak.world import plain_body
from soak.world import PREFIX
from soak.world import probe_key
from soak.world import PROBES
from soak.world import stream_body
from soak.world import TIMEOUT_S
from soak.world import turn_text

CONNECT_TIMEOUT_S = 0.5
ANSWER_MARGIN_S = 1.0
PROBE_PAUSE_S = 0.2
# A withdrawn key is tried beyond the time in which it must stop.
PROBED_S = 2 * APPLY_S
THINK_S = 0.05
MOST_TRIES = 3
MOST_RETRY_AFTER_S = 1.0
# Share of programs that go on until their budget ends them.
LOOPING_SHARE = 0.15
LOOPING_TURNS = 14
USUAL_TURNS = (2, 5)
LIMITED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Ask:
    """Holds one call to be made; its effect is the same over its tries."""

    call_class: CallClass
    organisation: str
    key: str
    program: str
    effect_id: str
    body: bytes
    prompt: bytes
    previous: str = ''


class Callers:
    """Runs programs against the instances until it is told to end."""

    def __init__(
        self, seed: int, instances: list[Instance], record: Record
    ) -> None:
        self._chance = random.Random(seed)
        self._instances = instances
        self._record = record
        self._numbers = itertools.count(1)
        self._pool = ConnectionPool()
        self.ending = False

    async def run_programs(self) -> None:
        """Run one program after another."""
        while not self.ending:
            await self._run_program()

    async def run_probes(self, key_version: Callable[[], int]) -> None:
        """Call with the newest key and with the one before."""
        seen = key_version()
        while not self.ending:
            await asyncio.sleep(PROBE_PAUSE_S)
            newest = key_version()
            keys = [probe_key(seen)]
            if newest != seen:
                keys = [probe_key(seen), probe_key(newest)]
            for key in keys:
                await self._probe(key)
            withdrawn_s = self._record.withdrawn_at_s_by_key.get(keys[0])
            if withdrawn_s and time.monotonic() - withdrawn_s > PROBED_S:
                seen = newest

    async def _probe(self, key: str) -> None:
        ask = Ask(CallClass.LOOKUP, PROBES, key, '', self._id('e'), b'p', b'p')
        await self._try(ask)

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    def _id(self, prefix: str) -> str:
        return f'{prefix}{next(self._numbers)}'

    async def _run_program(self) -> None:
        chance = self._chance
        limited = chance.random() < LIMITED_SHARE
        organisation = LIMITED if limited else FREE
        key = LIMITED_KEY if limited else FREE_KEY
        program = self._id('program-')
        turns = chance.randint(*USUAL_TURNS)
        if chance.random() < LOOPING_SHARE:
            turns = LOOPING_TURNS
        chain = b''
        previous = ''
        for _ in range(turns):
            given = f'{program} says {self._id("")}.'.encode()
            ask = Ask(
                CallClass.TURN,
                organisation,
                key,
                program,
                self._id('e'),
                given,
                chain + given,
                previous,
            )
            outcome = await self._call(ask)
            if outcome is None or not outcome.whole or outcome.status != 200:
                return
            chain += given + turn_text(outcome.request_id)
            previous = outcome.request_id
            await asyncio.sleep(THINK_S * chance.random())
            await self._use_tool(organisation, key, program)

    async def _use_tool(
        self, organisation: str, key: str, program: str
    ) -> None:
        call_class = self._chance.choice((CallClass.ORDER, CallClass.LOOKUP))
        body = f'{program} tool'.encode()
        effect_id = self._id('e')
        await self._call(
            Ask(call_class, organisation, key, program, effect_id, body, body)
        )

    async def _call(self, ask: Ask) -> Outcome | None:
        """Make a call, again while it was not run; None without a try."""
        outcome = None
        for _ in range(MOST_TRIES):
            if self.ending:
                return outcome
            outcome, retry_after_s = await self._try(ask)
            if outcome is None:
                await asyncio.sleep(0.1)
                continue
            if outcome.status not in RETRIED_STATUSES:
                return outcome
            await asyncio.sleep(min(MOST_RETRY_AFTER_S, retry_after_s))
        return outcome

    async def _try(self, ask: Ask) -> tuple[Outcome | None, float]:
        """Make one attempt; without an outcome if nothing was sent."""
        running = [i for i in self._instances if i.running]
        if not running:
            return None, 0.0
        instance = self._chance.choice(running)
        opened = await self._pool.acquire(
            instance.host, CALLER_PORT, CONNECT_TIMEOUT_S
        )
        if isinstance(opened, Err):
            return None, 0.0
        connection = opened.ok_value
        request_id = self._id('r')
        started_s = time.monotonic()
        if isinstance(connection.send(_request(ask, request_id)), Err):
            return None, 0.0
        status, body, whole, retry_after_s = await _receive(connection)
        if whole:
            self._pool.release(instance.host, CALLER_PORT, connection)
        else:
            connection.abort('no whole answer')
        turn = ask.call_class is CallClass.TURN
        expected = (stream_body if turn else plain_body)(request_id)
        outcome = Outcome(
            request_id,
            ask.call_class,
            ask.organisation,
            ask.program,
            instance.name,
            started_s,
            time.monotonic(),
            status,
            whole,
            body,
            expected,
            digest(ask.prompt),
            ask.previous,
            ask.key,
        )
        self._record.outcomes.append(outcome)
        return outcome, retry_after_s


def _request(ask: Ask, request_id: str) -> OutgoingRequest:
    headers = [
        ('Host', HOST_NAME),
        (PREFIX + 'Request-Id', request_id),
        (PREFIX + 'Credential', ask.key),
        (PREFIX + 'Effect', ask.effect_id),
    ]
    if ask.program:
        headers.append((PREFIX + 'Program-Id', ask.program))
    if ask.call_class is CallClass.TURN:
        headers.append((PREFIX + 'Token-Usage', f'50,{MOST_TOKENS}'))
        headers.append((PREFIX + 'Token-Budget', str(BUDGET_TOKENS)))
    if ask.previous:
        headers.append((PREFIX + 'Previous-Turn', ask.previous))
    target = f'/{ask.call_class.value}/x'
    return OutgoingRequest('POST', target, tuple(headers), ask.body)


async def _receive(
    connection: Connection,
) -> tuple[int, bytes, bool, float]:
    """Return status, body, whether it is whole, and when to come back."""
    status = 0
    body = b''
    retry_after_s = 0.0
    try:
        async with asyncio.timeout(TIMEOUT_S + ANSWER_MARGIN_S):
            while True:
                match await connection.next_part():
                    case ResponseHead() as head:
                        status = head.status
                        retry_after_s = float(head.get('retry-after') or 0)
                    case bytes(piece):
                        body += piece
                    case BodyEnd() as end:
                        return (
                            status,
                            body,
                            end is BodyEnd.WHOLE,
                            (retry_after_s),
                        )
    except TimeoutError:
        return status, body, False, retry_after_s
