"""Run the homes of programs with the table, the object store and the clock.

The home of a program is the instance that owns it: it runs the program's
calls in order and is the only one that writes its rows. A tail holds the
turns after some turn; the caller receives it sealed and returns it.
"""

import asyncio
from base64 import urlsafe_b64decode
from base64 import urlsafe_b64encode
import binascii
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
import logging
import os
import secrets
import time
from typing import Any

from result import Err
from result import Ok
from result import Result

import jackdawfield.decisions.commit_events as commits
from jackdawfield.decisions.commits import CommitLimits
from jackdawfield.decisions.commits import Committer
from jackdawfield.decisions.home_base import HomeLimits
from jackdawfield.decisions.home_base import no_writes
from jackdawfield.decisions.home_base import OwnershipState
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.programs import rows_prefix
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.tails import NONCE_BYTES
from jackdawfield.decisions.tails import seal
from jackdawfield.decisions.tails import Tail
from jackdawfield.decisions.tails import TailInvalid
from jackdawfield.decisions.tails import unseal
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.platform import ObjectClient
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
TICK_S = 0.25
FLEET_COMMITS_PER_S = 150.0
# A tail holds the whole history if that is at most this long.
MAX_WHOLE_TAIL_BYTES = 48 << 10
ArrivalOutput = (
    ev.RunCall | ev.Answer | ev.Refuse | ev.ConfirmBegin | ev.ConfirmEnd
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Holds the id of a request to a home and the queue of its outputs."""

    arrival_id: ArrivalId
    outputs: asyncio.Queue[ArrivalOutput]


class HomesDriver:
    """Passes events to homes and their committer, executes their actions."""

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
        table: TableClient,
        objects: ObjectClient,
    ) -> None:
        self._settings = settings
        self._contracts = contracts
        self._table = table
        self._objects = objects
        self._tail_key = bytes.fromhex(settings.tail_key)
        # Homes have an incarnation of their own, not that of the lease.
        incarnation_id = f'{settings.instance_id}/{secrets.token_hex(8)}'
        self._incarnation = Incarnation(incarnation_id)
        window_s = settings.limits.commit_window_ms / 1000
        self._committer = Committer(CommitLimits(window_s))
        self.writes_at_end = no_writes
        self._homes_by_id: dict[ProgramId, ProgramHome] = {}
        self._arrivals_by_id: dict[ArrivalId, Arrival] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._end_listeners: list[Callable[[ProgramId], None]] = []

    def add_end_listener(self, listener: Callable[[ProgramId], None]) -> None:
        """Add a listener that is called once a program's end is durable."""
        self._end_listeners.append(listener)

    def start(self) -> None:
        """Start the periodic work of the homes and the committer."""
        self._spawn(self._tick_periodically())

    async def stop(self, limit_s: float) -> None:
        """Stop once every commit is done, at the latest after limit_s."""
        deadline_s = time.monotonic() + limit_s
        while self._committer.next_due_s and time.monotonic() < deadline_s:
            await asyncio.sleep(TICK_S / 10)
        for task in self._tasks:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def add_arrival(self) -> Arrival:
        """Register a new request, whose outputs are then queued."""
        arrival_id = ArrivalId(secrets.token_hex(8))
        arrival = Arrival(arrival_id, asyncio.Queue())
        self._arrivals_by_id[arrival_id] = arrival
        return arrival

    def remove_arrival(self, arrival: Arrival) -> None:
        """Remove a request that is answered or whose caller has left."""
        self._arrivals_by_id.pop(arrival.arrival_id, None)

    @property
    def homes_by_id(self) -> Mapping[ProgramId, ProgramHome]:
        """Return the homes at this instance by their program."""
        return self._homes_by_id

    def get_home(self, program_id: ProgramId) -> ProgramHome:
        """Return a program's home at this instance, created if absent."""
        home = self._homes_by_id.get(program_id)
        if home is None:
            limits = HomeLimits(max_whole_tail_bytes=MAX_WHOLE_TAIL_BYTES)
            home = ProgramHome(
                program_id,
                self._incarnation,
                limits=limits,
                writes_at_end=self.writes_at_end,
            )
            self._homes_by_id[program_id] = home
        return home

    def apply_event(self, home: ProgramHome, event: ev.Event) -> None:
        """Apply an event to a home and execute the resulting actions."""
        for action in home.on(event):
            self._execute(home, action)

    def unseal_tails(
        self,
        organisation_id: OrganisationId,
        program_id: ProgramId,
        text: str,
    ) -> Result[tuple[Tail, ...], TailInvalid]:
        """Return the tails in a comma-separated list of sealed tails.

        The error is returned if one is malformed or of another program.
        """
        tails: list[Tail] = []
        for encoded in filter(None, text.split(',')):
            try:
                sealed = urlsafe_b64decode(encoded.strip())
            except (binascii.Error, ValueError):
                return Err(TailInvalid())
            unsealed = unseal(
                self._tail_key, organisation_id, program_id, sealed
            )
            if isinstance(unsealed, Err):
                return Err(TailInvalid())
            tails.append(unsealed.ok_value)
        return Ok(tuple(tails))

    def seal_tail(self, home: ProgramHome, tail: Tail | None) -> str:
        """Return a tail sealed and encoded as text, empty without a tail."""
        if tail is None or home.row is None:
            return ''
        nonce = os.urandom(NONCE_BYTES)
        organisation_id = home.row.organisation_id
        sealed = seal(
            self._tail_key, nonce, organisation_id, home.program_id, tail
        )
        return urlsafe_b64encode(sealed).decode()

    def _execute(self, home: ProgramHome, action: ev.Action) -> None:
        match action:
            case ev.RegisterRow(revision):
                self._register_row(home, revision)
            case ev.Submit(item):
                submitted = commits.Submitted(item, time.monotonic())
                self._apply_to_committer(submitted)
            case ev.ReadProgram():
                self._spawn(self._read_program(home))
            case ev.ReadObjects(keys):
                self._spawn(self._read_objects(home, keys))
            case ev.StoreSegment(key, value):
                self._spawn(self._store_segment(home, key, value))
            case ev.Claim():
                self._spawn(self._claim(home, action))
            case ev.Drop():
                if self._homes_by_id.get(home.program_id) is home:
                    del self._homes_by_id[home.program_id]
                log_event(LOG, 'home_lost', program=home.program_id)
            case _:
                self._put_output(action)

    def _put_output(self, action: ArrivalOutput) -> None:
        arrival = self._arrivals_by_id.get(action.arrival_id)
        if arrival is not None:
            arrival.outputs.put_nowait(action)

    def _update_template(self, home: ProgramHome) -> None:
        templates = self._contracts.configuration.templates_by_name
        if home.row is not None:
            home.template = templates.get(home.row.template_name)

    def _register_row(self, home: ProgramHome, revision: int) -> None:
        self._update_template(home)
        self._apply_to_committer(commits.RowOwned(home.program_id, revision))
        log_event(
            LOG,
            'home_held',
            program=home.program_id,
            epoch=home.row.epoch if home.row else 0,
            turns=len(home.history.turns) if home.history else 0,
        )

    async def _read_program(self, home: ProgramHome) -> None:
        result = await self._table.read_prefix(rows_prefix(home.program_id))
        now_s = time.monotonic()
        match result:
            case Ok(answer):
                self.apply_event(home, ev.ProgramRead(answer.rows, now_s))
            case Err(error):
                log_event(LOG, 'home_unread', reason=error)
                self.apply_event(home, ev.ReadFailed(now_s))

    async def _read_objects(
        self, home: ProgramHome, keys: tuple[str, ...]
    ) -> None:
        values_by_key: dict[str, bytes] = {}
        for key in keys:
            result = await self._objects.get(key)
            if isinstance(result, Err):
                self.apply_event(home, ev.ReadFailed(time.monotonic()))
                return
            if result.ok_value is not None:
                values_by_key[key] = result.ok_value
        self.apply_event(home, ev.ObjectsRead(values_by_key, time.monotonic()))

    async def _store_segment(
        self, home: ProgramHome, key: str, value: bytes
    ) -> None:
        result = await self._objects.put(key, value)
        if isinstance(result, Err):
            log_event(LOG, 'segment_unwritten', reason=result.err_value)
            home.pending_segment = None
            return
        self.apply_event(home, ev.SegmentStored(time.monotonic()))

    async def _claim(self, home: ProgramHome, claim: ev.Claim) -> None:
        outcome = await self._table.transact(claim.transaction)
        log_event(
            LOG,
            'claim',
            program=home.program_id,
            holder=claim.holder,
            outcome=type(outcome).__name__,
        )
        self.apply_event(home, ev.ClaimAnswered(outcome, time.monotonic()))

    # Commits

    def _apply_to_committer(self, event: commits.Event) -> None:
        for action in self._committer.on(event):
            self._execute_committer_action(action)
        self._schedule_committer()

    def _execute_committer_action(self, action: commits.Action) -> None:
        match action:
            case commits.Commit():
                self._spawn(self._commit(action))
            case commits.ReadRows(keys):
                self._spawn(self._read_rows(keys))
            case commits.Durable(item):
                self._apply_to_home(
                    item.program_id, lambda now_s: ev.ItemDurable(item, now_s)
                )
            case commits.Overdue(item):
                self._apply_to_home(
                    item.program_id, lambda now_s: ev.ItemOverdue(item, now_s)
                )
            case commits.Fenced(program_id):
                self._apply_to_home(program_id, ev.FencedOff)

    def _apply_to_home(
        self, program_id: ProgramId, make_event: Callable[[float], ev.Event]
    ) -> None:
        home = self._homes_by_id.get(program_id)
        if home is not None:
            self.apply_event(home, make_event(time.monotonic()))

    async def _commit(self, commit: commits.Commit) -> None:
        outcome = await self._table.transact(commit.transaction)
        self._apply_to_committer(commits.Answered(outcome, time.monotonic()))

    async def _read_rows(self, keys: tuple[str, ...]) -> None:
        rows: list[Row] = []
        for key in keys:
            result = await self._table.read(key)
            if isinstance(result, Err):
                self._apply_to_committer(commits.ReadFailed(time.monotonic()))
                return
            rows.append(next(iter(result.ok_value.rows), Row(key, b'', 0)))
        self._apply_to_committer(
            commits.RowsRead(tuple(rows), time.monotonic())
        )

    def _schedule_committer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = self._committer.next_due_s
        if due_s is not None:
            delay_s = max(0.0, due_s - time.monotonic())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._advance_committer)

    def _advance_committer(self) -> None:
        self._apply_to_committer(commits.TimePassed(time.monotonic()))

    # Time

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            member_count = max(1, len(self._contracts.members_by_id))
            self._committer.limits = replace(
                self._committer.limits,
                interval_s=member_count / FLEET_COMMITS_PER_S,
            )
            time_passed = ev.TimePassed(time.monotonic(), time.time())
            for home in tuple(self._homes_by_id.values()):
                self._update_template(home)
                self.apply_event(home, time_passed)
                if self._may_remove(home):
                    self._committer.close(home.program_id)
                    self._homes_by_id.pop(home.program_id, None)
                    self._notify_end_listeners(home)

    def _notify_end_listeners(self, home: ProgramHome) -> None:
        if home.row is None or home.row.end_reason is None:
            return
        for listener in self._end_listeners:
            listener(home.program_id)

    def _may_remove(self, home: ProgramHome) -> bool:
        if home.ownership is OwnershipState.CLOSED:
            return not home.pending_requests
        if home.ownership is not OwnershipState.HELD or home.row is None:
            return False
        is_idle = self._committer.is_idle(home.program_id)
        has_calls = home.call_order.running or home.calls_by_arrival
        return home.row.end_reason is not None and is_idle and not has_calls

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('event=home_fault', exc_info=task.exception())
