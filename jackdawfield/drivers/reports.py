"""Read the load and the prefix caches that model engines report."""

import asyncio
from typing import Annotated
from typing import TypeVar

import msgspec
from result import Ok

from jackdawfield.decisions.pool_events import CachedPrefix
from jackdawfield.decisions.pool_events import CacheReport
from jackdawfield.decisions.pool_events import LoadReport
from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpClient
from jackdawfield.model import BackendServer
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

REPORT_TIMEOUT_S = 1.0
STORED_KIND = 'stored'
Body = TypeVar('Body', bound=msgspec.Struct)
Tokens = Annotated[int, msgspec.Meta(ge=0)]


class LoadBody(msgspec.Struct, frozen=True):
    """Holds the JSON body of an engine's load."""

    running: Tokens


class CacheEvent(msgspec.Struct, frozen=True):
    """Holds one numbered change of an engine's prefix cache."""

    number: int
    kind: str
    program: str
    tokens: Tokens = 0


class CacheBody(msgspec.Struct, frozen=True):
    """Holds an engine's cached tokens by program and its recent events."""

    held: dict[str, Tokens] = {}
    events: list[CacheEvent] = []


class ReportReader:
    """Reads the load and cache reports of engines.

    A cache report has the changes since the last one; after a gap in the
    numbers of the events, it is complete.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        self._last_numbers_by_id: dict[ServerId, int] = {}

    async def read(
        self, servers: list[BackendServer], now_s: float
    ) -> list[LoadReport | CacheReport]:
        """Return the reports of the engines that answer.

        Engines are the servers with a cache. An engine whose load cannot be
        read has no report.
        """
        engines = [server for server in servers if server.cache_tokens]
        report_lists = await asyncio.gather(
            *(self._read_one(server, now_s) for server in engines)
        )
        return [report for reports in report_lists for report in reports]

    def remove_servers(self, server_ids: set[ServerId]) -> None:
        """Remove the state of servers that have been removed."""
        for server_id in server_ids:
            self._last_numbers_by_id.pop(server_id, None)

    async def _read_one(
        self, server: BackendServer, now_s: float
    ) -> list[LoadReport | CacheReport]:
        reports: list[LoadReport | CacheReport] = []
        load = await self._get(server, '/load', LoadBody)
        if load is None:
            return reports
        # The number of an engine includes calls that wait for a slot.
        running = min(load.running, server.slots)
        waiting = load.running - running
        reports.append(LoadReport(now_s, server.server_id, running, waiting))
        last_number = self._last_numbers_by_id.get(server.server_id)
        path = f'/cache?after={last_number or 0}'
        cache = await self._get(server, path, CacheBody)
        if cache is not None:
            reports.append(
                self._make_cache_report(server, last_number, cache, now_s)
            )
        return reports

    def _make_cache_report(
        self,
        server: BackendServer,
        last_number: int | None,
        cache: CacheBody,
        now_s: float,
    ) -> CacheReport:
        numbers = [event.number for event in cache.events]
        newest_number = max(numbers, default=last_number or 0)
        self._last_numbers_by_id[server.server_id] = newest_number
        is_gapless = (
            last_number is not None
            and newest_number - last_number == len(numbers)
        )
        if is_gapless:
            changes = tuple(
                CachedPrefix(
                    ProgramId(event.program),
                    event.tokens if event.kind == STORED_KIND else 0,
                )
                for event in cache.events
            )
            return CacheReport(now_s, server.server_id, changes)
        prefixes = tuple(
            CachedPrefix(ProgramId(program), tokens)
            for program, tokens in cache.held.items()
        )
        return CacheReport(now_s, server.server_id, prefixes, is_complete=True)

    async def _get(
        self, server: BackendServer, path: str, body: type[Body]
    ) -> Body | None:
        url = f'http://{server.address}{path}'
        match await self._http.request('GET', url, timeout_s=REPORT_TIMEOUT_S):
            case Ok(HttpAnswer(status=200, body=text)):
                pass
            case _:
                return None
        try:
            return msgspec.json.decode(text, type=body)
        except msgspec.MsgspecError:
            return None
