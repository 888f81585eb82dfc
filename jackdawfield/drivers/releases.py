"""Frees the memory of engines that finished programs hold."""

import asyncio
from collections.abc import Coroutine
import json
import logging
import time

from result import Err
from result import Ok

from jackdawfield.decisions.placement import owner_in_domain
from jackdawfield.decisions.programs import decode_row
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.releases import Action
from jackdawfield.decisions.releases import CheckPrograms
from jackdawfield.decisions.releases import Event
from jackdawfield.decisions.releases import HeldReported
from jackdawfield.decisions.releases import is_finished
from jackdawfield.decisions.releases import ProgramEnded
from jackdawfield.decisions.releases import ProgramsChecked
from jackdawfield.decisions.releases import Release
from jackdawfield.decisions.releases import ReleaseAnswered
from jackdawfield.decisions.releases import Releases
from jackdawfield.decisions.releases import TimePassed
from jackdawfield.drivers.contracts import ContractsDriver
from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpClient
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import ProgramId
from jackdawfield.model import RouteKind
from jackdawfield.model import ServerId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
TICK_S = 0.25
TIMEOUT_S = 2.0
NO_EVENTS_AFTER = 2**53


class ReleasesDriver:
    """Sends releases and sweeps the engines of the own failure domain."""

    def __init__(
        self,
        settings: Settings,
        contracts: ContractsDriver,
        table: TableClient,
        http: HttpClient,
    ) -> None:
        self._own_id = InstanceId(settings.instance_id)
        self._domain_id = DomainId(settings.domain_id)
        self._sweep_s = settings.limits.sweep_s
        self._contracts = contracts
        self._table = table
        self._http = http
        self._releases = Releases(self._sweep_s)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to sweep and to repeat releases."""
        self._spawn(self._tick())
        self._spawn(self._sweep())

    async def stop(self) -> None:
        """Stop; what is unconfirmed is left to the sweep of others."""
        for task in self._tasks:
            task.cancel()

    def ended(self, program_id: ProgramId) -> None:
        """Free what a program holds whose end is durable."""
        server_ids = tuple(self._engines())
        self._on(ProgramEnded(program_id, server_ids, time.monotonic()))

    def _engines(self) -> dict[ServerId, BackendServer]:
        routes = self._contracts.configuration.routes_by_name.values()
        pools = {r.pool for r in routes if r.kind is RouteKind.CHAT}
        return {
            server_id: server
            for server_id, server in self._contracts.servers_by_id.items()
            if server.pool in pools and server.domain_id == self._domain_id
        }

    def _sweeps(self, server_id: ServerId) -> bool:
        members_by_id = self._contracts.members_by_id
        key = f'sweep:{server_id}'
        return owner_in_domain(key, self._domain_id, members_by_id) == (
            self._own_id
        )

    def _on(self, event: Event) -> None:
        for action in self._releases.on(event):
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case CheckPrograms():
                self._spawn(self._check(action))
            case Release():
                self._spawn(self._release(action))

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._releases.retain_servers(frozenset(self._engines()))
            self._on(TimePassed(time.monotonic()))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self._sweep_s)
            for server_id, server in self._engines().items():
                if self._sweeps(server_id):
                    await self._read_held(server)

    async def _read_held(self, server: BackendServer) -> None:
        url = f'http://{server.address}/cache?after={NO_EVENTS_AFTER}'
        found = await self._http.request('GET', url, timeout_s=TIMEOUT_S)
        match found:
            case Ok(HttpAnswer(200, body)):
                held = frozenset(json.loads(body)['held'])
            case _:
                log_event(LOG, 'held_unread', server=server.server_id)
                return
        now_s = time.monotonic()
        self._on(HeldReported(server.server_id, held, now_s))

    async def _check(self, action: CheckPrograms) -> None:
        templates = self._contracts.configuration.templates_by_name
        under_way: set[ProgramId] = set()
        gone: set[ProgramId] = set()
        for program_id in action.program_ids:
            found = await self._table.read(row_key(program_id))
            if isinstance(found, Err):
                log_event(LOG, 'sweep_unread', reason=found.err_value)
                break
            rows = found.ok_value.rows
            row = decode_row(rows[0].value).ok() if rows else None
            readable = row is not None or not rows
            if readable and is_finished(row, templates, time.time()):
                gone.add(program_id)
            else:
                under_way.add(program_id)
        self._on(
            ProgramsChecked(
                action.server_id,
                frozenset(under_way),
                frozenset(gone),
                time.monotonic(),
            )
        )

    async def _release(self, action: Release) -> None:
        server = self._engines().get(action.server_id)
        if server is None:
            return
        body = json.dumps({'programs': action.program_ids}).encode()
        found = await self._http.request(
            'POST',
            f'http://{server.address}/cache/release',
            body,
            timeout_s=TIMEOUT_S,
        )
        confirmed = isinstance(found, Ok) and found.ok_value.status == 200
        log_event(
            LOG,
            'released',
            server=action.server_id,
            programs=len(action.program_ids),
            confirmed=confirmed,
        )
        answered = ReleaseAnswered(
            action.server_id, action.program_ids, confirmed, time.monotonic()
        )
        self._on(answered)
