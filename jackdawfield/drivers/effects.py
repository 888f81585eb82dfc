"""Run effects, which are calls that may run at most once.

The table records whether an effect ran, so that no instance runs it again.
"""

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
from jackdawfield.drivers.lease_view import unexpired_in_roster
from jackdawfield.drivers.leases import LeaseManager
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.model import EffectId
from jackdawfield.model import Incarnation

LOG = logging.getLogger(__name__)
ANSWER_LIMIT_S = 5.0
ATTEMPT_ID_BYTES = 8
MIN_SERVER_ERROR_STATUS = 500
DispatchCall = Callable[[], Awaitable[Result[HttpAnswer, BackendError]]]


@dataclass(slots=True)
class RunningEffect:
    """Holds an effect in progress and the requests waiting for its answer.

    `dispatch` sends the call; each request replaces it by its own.
    """

    key: EffectKey
    effect: Effect
    incarnation: Incarnation
    is_sole_owner: bool
    dispatch: DispatchCall
    waiters: list[asyncio.Future[EffectAnswer]] = field(default_factory=list)


class SettleFault(Enum):
    """Lists the reasons why an effect was not settled."""

    NOT_FOUND = 'no such effect'
    NOT_SETTLEABLE = 'outcome is known or the effect is under way'
    CONFLICT = 'the effect changed meanwhile'
    TABLE_UNREACHABLE = 'the table does not answer; the settlement may be kept'


@dataclass(frozen=True, slots=True)
class ListedEffect:
    """Describes an effect with an unknown outcome for operators.

    `at` is when its attempt began, in seconds since the Unix epoch.
    """

    effect_id: EffectId
    organisation_id: str
    route: str
    state: str
    at: float


class EffectsDriver:
    """Runs each effect at most once across all instances."""

    def __init__(
        self, table: TableClient, lease_manager: LeaseManager
    ) -> None:
        self._table = table
        self._lease_manager = lease_manager
        self._running_by_key: dict[EffectKey, RunningEffect] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        key: EffectKey,
        request_sha256: str,
        route_name: str,
        is_sole_owner: bool,
        dispatch: DispatchCall,
    ) -> EffectAnswer:
        """Run the effect, or join it while it runs, and return its answer.

        The instance is the sole owner if no other incarnation has ever owned
        the program. If the table does not answer within ANSWER_LIMIT_S, the
        answer is NotRun or Undecided; a dispatched request is waited for.
        """
        running = self._get_or_create(key, route_name, is_sole_owner)
        running.dispatch = dispatch
        waiter = asyncio.get_running_loop().create_future()
        running.waiters.append(waiter)
        self._log('effect_requested', running, route_name)
        self._apply(running, Requested(request_sha256))
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                return await asyncio.shield(waiter)
        except TimeoutError:
            self._apply(running, LimitReached())
        return await waiter

    def is_unclaimed(self, key: EffectKey, is_sole_owner: bool) -> bool:
        """Return whether certainly no request has claimed the effect."""
        is_running = key in self._running_by_key
        is_lease_valid = self._lease_manager.is_valid(time.monotonic())
        return is_sole_owner and is_lease_valid and not is_running

    @property
    def is_busy(self) -> bool:
        """Return whether an effect is running or has no recorded outcome."""
        return any(
            running.effect.state not in (EffectState.IDLE, EffectState.DONE)
            for running in self._running_by_key.values()
        )

    async def list_unresolved(self) -> Result[list[ListedEffect], str]:
        """Return the effects that an operator may settle.

        These have an unknown outcome or a dispatcher that is gone. The error
        is that of the table.
        """
        result = await self._table.read_prefix(EFFECT_PREFIX)
        if isinstance(result, Err):
            return Err(str(result.err_value))
        rows = result.ok_value.rows
        gone_incarnations = await self.find_gone_incarnations(
            open_dispatchers(rows)
        )
        return Ok(
            [
                describe_row(row)
                for row in settleable_rows(rows, gone_incarnations)
            ]
        )

    async def settle(
        self, effect: EffectId, verdict: RowState, operator: str, note: str
    ) -> Result[None, SettleFault]:
        """Settle an unknown effect: record the outcome an operator states."""
        result = await self._table.read(row_key(effect))
        if isinstance(result, Err):
            return Err(SettleFault.TABLE_UNREACHABLE)
        rows = result.ok_value.rows
        if not rows:
            return Err(SettleFault.NOT_FOUND)
        gone_incarnations = await self.find_gone_incarnations(
            open_dispatchers(rows)
        )
        write = settle_transaction(
            rows[0], verdict, operator, gone_incarnations
        )
        if isinstance(write, Err):
            return Err(SettleFault.NOT_SETTLEABLE)
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
                return Err(SettleFault.CONFLICT)
            case _:
                return Err(SettleFault.TABLE_UNREACHABLE)

    async def stop(self) -> None:
        """Stop repeating writes that the table has not confirmed."""
        for task in self._tasks:
            task.cancel()

    def _get_or_create(
        self, key: EffectKey, route_name: str, is_sole_owner: bool
    ) -> RunningEffect:
        own_incarnation = self._lease_manager.lease.incarnation
        existing = self._running_by_key.get(key)
        if existing is not None and existing.incarnation == own_incarnation:
            # An operator may have settled an unknown effect meanwhile.
            if not existing.effect.is_unknown:
                return existing
        effect = Effect(
            key,
            own_incarnation,
            secrets.token_hex(ATTEMPT_ID_BYTES),
            route_name=route_name,
            opened_at_s=time.time(),
        )
        # The earlier attempt may have written the row of the effect.
        is_sole_owner = is_sole_owner and existing is None
        running = RunningEffect(
            key, effect, own_incarnation, is_sole_owner, reject_dispatch
        )
        self._running_by_key[key] = running
        return running

    def _make_context(self, running: RunningEffect) -> EffectContext:
        now_s = time.monotonic()
        is_same_incarnation = (
            self._lease_manager.lease.incarnation == running.incarnation
        )
        is_lease_valid = is_same_incarnation and self._lease_manager.is_valid(
            now_s
        )
        return EffectContext(now_s, is_lease_valid, running.is_sole_owner)

    def _apply(self, running: RunningEffect, event: Event) -> None:
        for action in running.effect.on(event, self._make_context(running)):
            self._execute(running, action)

    def _execute(self, running: RunningEffect, action: Action) -> None:
        match action:
            case Write():
                self._spawn(self._write(running, action))
            case Read():
                self._spawn(self._read(running, action))
            case Dispatch(attempt_id):
                self._log('effect_dispatched', running, attempt_id)
                self._spawn(self._dispatch(running))
            case Reject(answer):
                # Only the newest request is rejected, the last in the list.
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
        self._apply(running, WriteAnswered(action.operation, outcome))

    async def _read(self, running: RunningEffect, action: Read) -> None:
        if action.delay_s:
            await asyncio.sleep(action.delay_s)
        result = await self._table.read(action.key)
        if isinstance(result, Err):
            self._apply(running, ReadFailed(action.operation))
            return
        rows = result.ok_value.rows
        row = rows[0] if rows else None
        is_gone = await self._is_dispatcher_gone(row)
        self._apply(running, RowRead(action.operation, row, is_gone))

    async def _is_dispatcher_gone(self, row: Row | None) -> bool:
        if row is None:
            return False
        match decode_effect(row):
            case Ok(effect) if effect.state is RowState.OPEN:
                gone_incarnations = await self.find_gone_incarnations(
                    frozenset({effect.dispatcher})
                )
                return effect.dispatcher in gone_incarnations
            case _:
                return False

    async def find_gone_incarnations(
        self, incarnations: frozenset[Incarnation]
    ) -> frozenset[Incarnation]:
        """Return those that can no longer dispatch.

        They are proven dead or have been removed from the roster. The set is
        empty if the roster cannot be read.
        """
        roster = await self._lease_manager.read_roster()
        if roster is None:
            return frozenset()
        able_incarnations = unexpired_in_roster(
            roster, self._lease_manager.lease.dead
        )
        return incarnations - able_incarnations.keys()

    async def _dispatch(self, running: RunningEffect) -> None:
        try:
            event = response_event(await running.dispatch())
        except Exception:
            LOG.exception('event=effect_fault program=%s', running.key)
            event = ResponseLost('dispatch failed')
        self._apply(running, event)

    def _log(self, event: str, running: RunningEffect, value: str) -> None:
        key = running.key
        log_event(
            LOG,
            event,
            program=key.program_id,
            call=key.call_number,
            value=value,
        )


def open_dispatchers(rows: tuple[Row, ...]) -> frozenset[Incarnation]:
    """Return the dispatchers of the effects that are in progress."""
    effects = (decode_effect(row) for row in rows)
    return frozenset(
        effect.ok_value.dispatcher
        for effect in effects
        if isinstance(effect, Ok) and effect.ok_value.state is RowState.OPEN
    )


def describe_row(row: Row) -> ListedEffect:
    """Return the description of a row, which must be decodable."""
    effect = decode_effect(row).unwrap()
    listed_id = effect_id(row.key)
    return ListedEffect(
        listed_id,
        listed_id.partition(':')[0],
        effect.route_name,
        effect.state.value,
        effect.opened_at_s,
    )


async def reject_dispatch() -> Result[HttpAnswer, BackendError]:
    """Report that no call was sent; used until a request sets dispatch."""
    return Err(BackendError(HttpFault.NOT_SENT, 'no request'))


def response_event(result: Result[HttpAnswer, BackendError]) -> Event:
    """Return the event for a service's answer or failure."""
    match result:
        case Ok(HttpAnswer(status, body)) if status < MIN_SERVER_ERROR_STATUS:
            return Responded(body)
        case Ok(HttpAnswer(status, _)):
            return ResponseLost(f'service answered {status}')
        case Err(BackendError(HttpFault.NOT_SENT, reason)):
            return NotSent(reason)
        case Err(BackendError(_, reason)):
            return ResponseLost(reason)
