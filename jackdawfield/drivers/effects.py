"""Runs effects on the platform's table and the clock."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import logging
import secrets
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.effect_events import Action
from jackdawfield.decisions.effect_events import Answer
from jackdawfield.decisions.effect_events import Dispatch
from jackdawfield.decisions.effect_events import EffectAnswer
from jackdawfield.decisions.effect_events import EffectContext
from jackdawfield.decisions.effect_events import Event
from jackdawfield.decisions.effect_events import LimitReached
from jackdawfield.decisions.effect_events import NotSent
from jackdawfield.decisions.effect_events import Read
from jackdawfield.decisions.effect_events import ReadFailed
from jackdawfield.decisions.effect_events import Reject
from jackdawfield.decisions.effect_events import Requested
from jackdawfield.decisions.effect_events import Responded
from jackdawfield.decisions.effect_events import ResponseLost
from jackdawfield.decisions.effect_events import RowRead
from jackdawfield.decisions.effect_events import Write
from jackdawfield.decisions.effect_events import WriteAnswered
from jackdawfield.decisions.effect_rows import decode_effect
from jackdawfield.decisions.effect_rows import effect_id
from jackdawfield.decisions.effect_rows import EFFECT_PREFIX
from jackdawfield.decisions.effect_rows import EffectKey
from jackdawfield.decisions.effect_rows import row_key
from jackdawfield.decisions.effect_rows import RowState
from jackdawfield.decisions.effect_rows import settle_transaction
from jackdawfield.decisions.effect_rows import settleable_rows
from jackdawfield.decisions.effects import Effect
from jackdawfield.decisions.effects import EffectState
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import Row
from jackdawfield.drivers.backends import BackendError
from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpFault
from jackdawfield.drivers.leases import LeaseKeeper
from jackdawfield.drivers.platform import TableClient
from jackdawfield.drivers.standing import able_to_act
from jackdawfield.logs import log_event
from jackdawfield.model import EffectId
from jackdawfield.model import Incarnation

LOG = logging.getLogger(__name__)
SETTLE_LIMIT_S = 5.0
ATTEMPT_BYTES = 8
FIRST_SERVER_ERROR = 500
DispatchCall = Callable[[], Awaitable[Result[HttpAnswer, BackendError]]]


@dataclass(slots=True)
class RunningEffect:
    """Holds an effect with the requests that wait for it."""

    key: EffectKey
    effect: Effect
    incarnation: Incarnation
    begun_here: bool
    dispatch: DispatchCall
    waiters: list[asyncio.Future[EffectAnswer]] = field(default_factory=list)


class SettleFault(Enum):
    """Names why an effect was not settled."""

    ABSENT = 'no such effect'
    CERTAIN = 'outcome is known or the effect is under way'
    CHANGED = 'the effect changed meanwhile'
    TABLE_AWAY = 'the table does not answer; the settlement may be kept'


@dataclass(frozen=True, slots=True)
class ListedEffect:
    """Describes an effect of unknown outcome to operators."""

    effect_id: EffectId
    organisation_id: str
    route: str
    state: str
    at: float


class EffectsDriver:
    """Runs each effect at most once, over all instances."""

    def __init__(self, table: TableClient, keeper: LeaseKeeper) -> None:
        self._table = table
        self._keeper = keeper
        self._running_by_key: dict[EffectKey, RunningEffect] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        key: EffectKey,
        request_sha256: str,
        route_name: str,
        begun_here: bool,
        dispatch: DispatchCall,
    ) -> EffectAnswer:
        """Return what is known of the effect once it is known.

        A program is begun here if no other incarnation has ever held it.
        """
        running = self._running(key, route_name, begun_here)
        running.dispatch = dispatch
        waiter = asyncio.get_running_loop().create_future()
        running.waiters.append(waiter)
        self._log('effect_requested', running, route_name)
        self._on(running, Requested(request_sha256))
        try:
            async with asyncio.timeout(SETTLE_LIMIT_S):
                return await asyncio.shield(waiter)
        except TimeoutError:
            self._on(running, LimitReached())
        return await waiter

    def untouched(self, key: EffectKey, begun_here: bool) -> bool:
        """Return whether certainly no request has claimed the effect."""
        known = key in self._running_by_key
        valid = self._keeper.valid(time.monotonic())
        return begun_here and valid and not known

    @property
    def busy(self) -> bool:
        """Return whether an effect runs or its outcome is unrecorded."""
        return any(
            running.effect.state not in (EffectState.IDLE, EffectState.DONE)
            for running in self._running_by_key.values()
        )

    async def unresolved(self) -> Result[list[ListedEffect], str]:
        """Return the effects that an operator may settle."""
        found = await self._table.read_prefix(EFFECT_PREFIX)
        if isinstance(found, Err):
            return Err(str(found.err_value))
        rows = found.ok_value.rows
        gone = await self.gone(dispatchers(rows))
        return Ok([listed(row) for row in settleable_rows(rows, gone)])

    async def settle(
        self, effect: EffectId, verdict: RowState, operator: str, note: str
    ) -> Result[None, SettleFault]:
        """Record what an operator knows of an unknown effect."""
        found = await self._table.read(row_key(effect))
        if isinstance(found, Err):
            return Err(SettleFault.TABLE_AWAY)
        rows = found.ok_value.rows
        if not rows:
            return Err(SettleFault.ABSENT)
        gone = await self.gone(dispatchers(rows))
        write = settle_transaction(rows[0], verdict, operator, gone)
        if isinstance(write, Err):
            return Err(SettleFault.CERTAIN)
        outcome = await self._table.transact(write.ok_value)
        log_event(
            LOG,
            'effect_settled',
            effect=effect,
            verdict=verdict.value,
            operator=operator,
            note=note,
            outcome=type(outcome).__name__,
        )
        match outcome:
            case Committed():
                return Ok(None)
            case Conflict():
                return Err(SettleFault.CHANGED)
            case _:
                return Err(SettleFault.TABLE_AWAY)

    async def stop(self) -> None:
        """Stop to repeat what the table has not confirmed."""
        for task in self._tasks:
            task.cancel()

    def _running(
        self, key: EffectKey, route_name: str, begun_here: bool
    ) -> RunningEffect:
        own = self._keeper.lease.incarnation
        found = self._running_by_key.get(key)
        if found is not None and found.incarnation == own:
            if not found.effect.is_unknown:
                return found
        effect = Effect(
            key,
            own,
            secrets.token_hex(ATTEMPT_BYTES),
            route_name=route_name,
            opened_at_s=time.time(),
        )
        begun_here = begun_here and found is None
        running = RunningEffect(key, effect, own, begun_here, never_dispatch)
        self._running_by_key[key] = running
        return running

    def _standing(self, running: RunningEffect) -> EffectContext:
        now_s = time.monotonic()
        same = self._keeper.lease.incarnation == running.incarnation
        valid = same and self._keeper.valid(now_s)
        return EffectContext(now_s, valid, running.begun_here)

    def _on(self, running: RunningEffect, event: Event) -> None:
        for action in running.effect.on(event, self._standing(running)):
            self._act(running, action)

    def _act(self, running: RunningEffect, action: Action) -> None:
        match action:
            case Write():
                self._spawn(self._write(running, action))
            case Read():
                self._spawn(self._read(running, action))
            case Dispatch(attempt_id):
                self._log('effect_dispatched', running, attempt_id)
                self._spawn(self._dispatch(running))
            case Reject(answer):
                running.waiters.pop().set_result(answer)
            case Answer(answer):
                name = type(answer).__name__
                self._log('effect_answered', running, name)
                for waiter in running.waiters:
                    if not waiter.done():
                        waiter.set_result(answer)
                running.waiters.clear()

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, running: RunningEffect, action: Write) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        outcome = await self._table.transact(action.transaction)
        self._on(running, WriteAnswered(action.operation, outcome))

    async def _read(self, running: RunningEffect, action: Read) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        found = await self._table.read(action.key)
        if isinstance(found, Err):
            self._on(running, ReadFailed(action.operation))
            return
        rows = found.ok_value.rows
        row = rows[0] if rows else None
        gone = await self._dispatcher_gone(row)
        self._on(running, RowRead(action.operation, row, gone))

    async def _dispatcher_gone(self, row: Row | None) -> bool:
        if row is None:
            return False
        match decode_effect(row):
            case Ok(effect) if effect.state is RowState.OPEN:
                gone = await self.gone(frozenset({effect.dispatcher}))
                return effect.dispatcher in gone
            case _:
                return False

    async def gone(
        self, incarnations: frozenset[Incarnation]
    ) -> frozenset[Incarnation]:
        """Return those that can act no more, none if the table is away."""
        roster = await self._keeper.read_roster()
        if roster is None:
            return frozenset()
        able = able_to_act(roster, self._keeper.lease.dead)
        return incarnations - able.keys()

    async def _dispatch(self, running: RunningEffect) -> None:
        try:
            event = event_of(await running.dispatch())
        except Exception:
            LOG.exception('event=effect_fault program=%s', running.key)
            event = ResponseLost('dispatch failed')
        self._on(running, event)

    def _log(self, event: str, running: RunningEffect, value: str) -> None:
        key = running.key
        log_event(
            LOG,
            event,
            program=key.program_id,
            call=key.call_number,
            value=value,
        )


def dispatchers(rows: tuple[Row, ...]) -> frozenset[Incarnation]:
    """Return the dispatchers of effects under way."""
    effects = (decode_effect(row) for row in rows)
    return frozenset(
        effect.ok_value.dispatcher
        for effect in effects
        if isinstance(effect, Ok) and effect.ok_value.state is RowState.OPEN
    )


def listed(row: Row) -> ListedEffect:
    """Return a row, which must decode, as operators read it."""
    effect = decode_effect(row).unwrap()
    name = effect_id(row.key)
    return ListedEffect(
        name,
        name.partition(':')[0],
        effect.route_name,
        effect.state.value,
        effect.opened_at_s,
    )


async def never_dispatch() -> Result[HttpAnswer, BackendError]:
    """Send nothing."""
    return Err(BackendError(HttpFault.NOT_SENT, 'no request'))


def event_of(found: Result[HttpAnswer, BackendError]) -> Event:
    """Return what a service's answer says of the run."""
    match found:
        case Ok(HttpAnswer(status, body)) if status < FIRST_SERVER_ERROR:
            return Responded(body)
        case Ok(HttpAnswer(status, _)):
            return ResponseLost(f'service answered {status}')
        case Err(BackendError(HttpFault.NOT_SENT, reason)):
            return NotSent(reason)
        case Err(BackendError(_, reason)):
            return ResponseLost(reason)
