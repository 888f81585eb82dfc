"""Release the engine memory that finished programs occupy.

Releases are sent when a program ends. A periodic sweep finds programs whose
release was lost, for example with their instance.
"""

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
from jackdawfield.drivers.contracts import FleetStateDriver
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
ENGINE_TIMEOUT_S = 2.0
# No event has a higher number, so that engines report held programs only.
NO_EVENTS_AFTER = 2**53


class ReleasesDriver:
    """Sends releases to and sweeps the engines of its failure domain."""

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
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
        """Start the sweep and the retries of unconfirmed releases."""
        self._spawn(self._tick())
        self._spawn(self._sweep())

    async def stop(self) -> None:
        """Stop; other instances' sweeps send what is unconfirmed."""
        for task in self._tasks:
            task.cancel()

    def release_program(self, program_id: ProgramId) -> None:
        """Release the memory of a program whose end is durable."""
        server_ids = tuple(self._engines_by_id())
        self._apply(ProgramEnded(program_id, server_ids, time.monotonic()))

    def _engines_by_id(self) -> dict[ServerId, BackendServer]:
        routes = self._contracts.configuration.routes_by_name.values()
        pools = {
            route.pool for route in routes if route.kind is RouteKind.CHAT
        }
        return {
            server_id: server
            for server_id, server in self._contracts.servers_by_id.items()
            if server.pool in pools and server.domain_id == self._domain_id
        }

    def _is_sweeper(self, server_id: ServerId) -> bool:
        members_by_id = self._contracts.members_by_id
        key = f'sweep:{server_id}'
        return owner_in_domain(key, self._domain_id, members_by_id) == (
            self._own_id
        )

    def _apply(self, event: Event) -> None:
        for action in self._releases.on(event):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case CheckPrograms():
                self._spawn(self._check_programs(action))
            case Release():
                self._spawn(self._send_release(action))

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._releases.retain_servers(frozenset(self._engines_by_id()))
            self._apply(TimePassed(time.monotonic()))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self._sweep_s)
            for server_id, server in self._engines_by_id().items():
                if self._is_sweeper(server_id):
                    await self._read_held_programs(server)

    async def _read_held_programs(self, server: BackendServer) -> None:
        url = f'http://{server.address}/cache?after={NO_EVENTS_AFTER}'
        result = await self._http.request(
            'GET', url, timeout_s=ENGINE_TIMEOUT_S
        )
        match result:
            case Ok(HttpAnswer(200, body)):
                program_ids = frozenset(json.loads(body)['held'])
            case _:
                log_event(LOG, 'held_unread', server=server.server_id)
                return
        now_s = time.monotonic()
        self._apply(HeldReported(server.server_id, program_ids, now_s))

    async def _check_programs(self, action: CheckPrograms) -> None:
        templates_by_name = self._contracts.configuration.templates_by_name
        running_ids: set[ProgramId] = set()
        finished_ids: set[ProgramId] = set()
        for program_id in action.program_ids:
            result = await self._table.read(row_key(program_id))
            if isinstance(result, Err):
                # The next sweep checks the remaining programs.
                log_event(LOG, 'sweep_unread', reason=result.err_value)
                break
            rows = result.ok_value.rows
            row = decode_row(rows[0].value).ok() if rows else None
            is_readable = row is not None or not rows
            if is_readable and is_finished(
                row, templates_by_name, time.time()
            ):
                finished_ids.add(program_id)
            else:
                running_ids.add(program_id)
        self._apply(
            ProgramsChecked(
                action.server_id,
                frozenset(running_ids),
                frozenset(finished_ids),
                time.monotonic(),
            )
        )

    async def _send_release(self, action: Release) -> None:
        server = self._engines_by_id().get(action.server_id)
        if server is None:
            return
        body = json.dumps({'programs': action.program_ids}).encode()
        result = await self._http.request(
            'POST',
            f'http://{server.address}/cache/release',
            body,
            timeout_s=ENGINE_TIMEOUT_S,
        )
        is_confirmed = isinstance(result, Ok) and result.ok_value.status == 200
        log_event(
            LOG,
            'released',
            server=action.server_id,
            programs=len(action.program_ids),
            confirmed=is_confirmed,
        )
        answered = ReleaseAnswered(
            action.server_id,
            action.program_ids,
            is_confirmed,
            time.monotonic(),
        )
        self._apply(answered)
