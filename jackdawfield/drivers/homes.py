"""Runs the homes of programs on the platform and the clock."""

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
from jackdawfield.drivers.contracts import ContractsDriver
from jackdawfield.drivers.platform import ObjectClient
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
TICK_S = 0.25
WRITES_PER_S = 150.0
TAIL_BYTES = 48 << 10
Output = ev.RunCall | ev.Answer | ev.Refuse | ev.ConfirmBegin | ev.ConfirmEnd


@dataclass(frozen=True, slots=True)
class Arrival:
    """Carries what a home decides about one request."""

    arrival_id: ArrivalId
    outputs: asyncio.Queue[Output]


class HomesDriver:
    """Feeds homes and their committer, and does what they ask."""

    def __init__(
        self,
        settings: Settings,
        contracts: ContractsDriver,
        table: TableClient,
        objects: ObjectClient,
    ) -> None:
        self._settings = settings
        self._contracts = contracts
        self._table = table
        self._objects = objects
        self._tail_key = bytes.fromhex(settings.tail_key)
        name = f'{settings.instance_id}/{secrets.token_hex(8)}'
        self._incarnation = Incarnation(name)
        window_s = settings.limits.commit_window_ms / 1000
        self._committer = Committer(CommitLimits(window_s))
        self.writes_at_end = no_writes
        self._homes_by_id: dict[ProgramId, ProgramHome] = {}
        self._arrivals_by_id: dict[ArrivalId, Arrival] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._end_listeners: list[Callable[[ProgramId], None]] = []

    def listen_end(self, listener: Callable[[ProgramId], None]) -> None:
        """Call a listener once a program's end is durable."""
        self._end_listeners.append(listener)

    def start(self) -> None:
        """Start to let time pass for homes."""
        self._spawn(self._tick())

    async def stop(self, limit_s: float) -> None:
        """Wait until every turn is durable, then stop."""
        end_s = time.monotonic() + limit_s
        while self._committer.next_due_s and time.monotonic() < end_s:
            await asyncio.sleep(TICK_S / 10)
        for task in self._tasks:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def arrival(self) -> Arrival:
        """Return a new request that a home will answer."""
        arrival_id = ArrivalId(secrets.token_hex(8))
        arrival = Arrival(arrival_id, asyncio.Queue())
        self._arrivals_by_id[arrival_id] = arrival
        return arrival

    def forget(self, arrival: Arrival) -> None:
        """Drop a request whose caller is gone or answered."""
        self._arrivals_by_id.pop(arrival.arrival_id, None)

    @property
    def homes_by_id(self) -> Mapping[ProgramId, ProgramHome]:
        """Return the programs that this instance holds."""
        return self._homes_by_id

    def home(self, program_id: ProgramId) -> ProgramHome:
        """Return the home of a program at this instance."""
        found = self._homes_by_id.get(program_id)
        if found is None:
            limits = HomeLimits(tail_bytes=TAIL_BYTES)
            found = ProgramHome(
                program_id,
                self._incarnation,
                limits=limits,
                writes_at_end=self.writes_at_end,
            )
            self._homes_by_id[program_id] = found
        return found

    def on(self, home: ProgramHome, event: ev.Event) -> None:
        """Apply an event to a home and do what follows."""
        for action in home.on(event):
            self._act(home, action)

    def open_tails(
        self,
        organisation_id: OrganisationId,
        program_id: ProgramId,
        text: str,
    ) -> Result[tuple[Tail, ...], TailInvalid]:
        """Return the tails that a caller presents, separated by commas."""
        tails: list[Tail] = []
        for part in filter(None, text.split(',')):
            try:
                sealed = urlsafe_b64decode(part.strip())
            except (binascii.Error, ValueError):
                return Err(TailInvalid())
            found = unseal(self._tail_key, organisation_id, program_id, sealed)
            if isinstance(found, Err):
                return Err(TailInvalid())
            tails.append(found.ok_value)
        return Ok(tuple(tails))

    def seal_tail(self, home: ProgramHome, tail: Tail | None) -> str:
        """Return a sealed tail as text, empty without one."""
        if tail is None or home.row is None:
            return ''
        nonce = os.urandom(NONCE_BYTES)
        organisation_id = home.row.organisation_id
        sealed = seal(
            self._tail_key, nonce, organisation_id, home.program_id, tail
        )
        return urlsafe_b64encode(sealed).decode()

    def _act(self, home: ProgramHome, action: ev.Action) -> None:
        match action:
            case ev.RegisterRow(revision):
                self._hold(home, revision)
            case ev.Submit(item):
                submitted = commits.Submitted(item, time.monotonic())
                self._on_commits(submitted)
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
                self._output(action)

    def _output(self, action: Output) -> None:
        arrival = self._arrivals_by_id.get(action.arrival_id)
        if arrival is not None:
            arrival.outputs.put_nowait(action)

    def _follow_template(self, home: ProgramHome) -> None:
        templates = self._contracts.configuration.templates_by_name
        if home.row is not None:
            home.template = templates.get(home.row.template_name)

    def _hold(self, home: ProgramHome, revision: int) -> None:
        self._follow_template(home)
        self._on_commits(commits.RowOwned(home.program_id, revision))
        log_event(
            LOG,
            'home_held',
            program=home.program_id,
            epoch=home.row.epoch if home.row else 0,
            turns=len(home.history.turns) if home.history else 0,
        )

    async def _read_program(self, home: ProgramHome) -> None:
        found = await self._table.read_prefix(rows_prefix(home.program_id))
        now_s = time.monotonic()
        match found:
            case Ok(answer):
                self.on(home, ev.ProgramRead(answer.rows, now_s))
            case Err(error):
                log_event(LOG, 'home_unread', reason=error)
                self.on(home, ev.ReadFailed(now_s))

    async def _read_objects(
        self, home: ProgramHome, keys: tuple[str, ...]
    ) -> None:
        values_by_key: dict[str, bytes] = {}
        for key in keys:
            found = await self._objects.get(key)
            if isinstance(found, Err):
                self.on(home, ev.ReadFailed(time.monotonic()))
                return
            if found.ok_value is not None:
                values_by_key[key] = found.ok_value
        self.on(home, ev.ObjectsRead(values_by_key, time.monotonic()))

    async def _store_segment(
        self, home: ProgramHome, key: str, value: bytes
    ) -> None:
        found = await self._objects.put(key, value)
        if isinstance(found, Err):
            log_event(LOG, 'segment_unwritten', reason=found.err_value)
            home.pending_segment = None
            return
        self.on(home, ev.SegmentStored(time.monotonic()))

    async def _claim(self, home: ProgramHome, claim: ev.Claim) -> None:
        outcome = await self._table.transact(claim.transaction)
        log_event(
            LOG,
            'claim',
            program=home.program_id,
            holder=claim.holder,
            outcome=type(outcome).__name__,
        )
        self.on(home, ev.ClaimAnswered(outcome, time.monotonic()))

    # Commits

    def _on_commits(self, event: commits.Event) -> None:
        for action in self._committer.on(event):
            self._act_on_commits(action)
        self._schedule()

    def _act_on_commits(self, action: commits.Action) -> None:
        match action:
            case commits.Commit():
                self._spawn(self._commit(action))
            case commits.ReadRows(keys):
                self._spawn(self._read_rows(keys))
            case commits.Durable(item):
                self._feed(
                    item.program_id, lambda now_s: ev.ItemDurable(item, now_s)
                )
            case commits.Overdue(item):
                self._feed(
                    item.program_id, lambda now_s: ev.ItemOverdue(item, now_s)
                )
            case commits.Fenced(program_id):
                self._feed(program_id, ev.FencedOff)

    def _feed(
        self, program_id: ProgramId, make: Callable[[float], ev.Event]
    ) -> None:
        home = self._homes_by_id.get(program_id)
        if home is not None:
            self.on(home, make(time.monotonic()))

    async def _commit(self, commit: commits.Commit) -> None:
        outcome = await self._table.transact(commit.transaction)
        self._on_commits(commits.Answered(outcome, time.monotonic()))

    async def _read_rows(self, keys: tuple[str, ...]) -> None:
        rows: list[Row] = []
        for key in keys:
            found = await self._table.read(key)
            if isinstance(found, Err):
                self._on_commits(commits.ReadFailed(time.monotonic()))
                return
            rows.append(next(iter(found.ok_value.rows), Row(key, b'', 0)))
        self._on_commits(commits.RowsRead(tuple(rows), time.monotonic()))

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = self._committer.next_due_s
        if due_s is not None:
            delay_s = max(0.0, due_s - time.monotonic())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._time_due)

    def _time_due(self) -> None:
        self._on_commits(commits.TimePassed(time.monotonic()))

    # Time

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            members = max(1, len(self._contracts.members_by_id))
            self._committer.limits = replace(
                self._committer.limits, interval_s=members / WRITES_PER_S
            )
            passed = ev.TimePassed(time.monotonic(), time.time())
            for home in tuple(self._homes_by_id.values()):
                self._follow_template(home)
                self.on(home, passed)
                if self._is_over(home):
                    self._committer.close(home.program_id)
                    self._homes_by_id.pop(home.program_id, None)
                    self._tell_ended(home)

    def _tell_ended(self, home: ProgramHome) -> None:
        if home.row is None or home.row.end_reason is None:
            return
        for listener in self._end_listeners:
            listener(home.program_id)

    def _is_over(self, home: ProgramHome) -> bool:
        if home.ownership is OwnershipState.CLOSED:
            return not home.pending_requests
        if home.ownership is not OwnershipState.HELD or home.row is None:
            return False
        idle = self._committer.is_idle(home.program_id)
        busy = home.call_order.running or home.calls_by_arrival
        return home.row.end_reason is not None and idle and not busy

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('event=home_fault', exc_info=task.exception())
