"""Runs the stewards of the pools that this instance is asked for."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
import logging
import time
from typing import Any

from jackdawfield.decisions.placement import owner_in_domain
from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import Adopt
from jackdawfield.decisions.pool_events import Cancelled
from jackdawfield.decisions.pool_events import ContextEnded
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Expire
from jackdawfield.decisions.pool_events import Failed
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import Recall
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import Renew
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import Submit
from jackdawfield.decisions.pool_events import Tick
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.drivers.contracts import ContractsDriver
from jackdawfield.drivers.http import HttpClient
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.reports import ReportReader
from jackdawfield.logs import log_event
from jackdawfield.messages.pools import ContextGone
from jackdawfield.messages.pools import Done
from jackdawfield.messages.pools import HomeRenewal
from jackdawfield.messages.pools import PoolLoad
from jackdawfield.messages.pools import Slot
from jackdawfield.messages.pools import SlotFault
from jackdawfield.messages.pools import SlotRecalled
from jackdawfield.messages.pools import SlotRefused
from jackdawfield.messages.pools import SlotReleased
from jackdawfield.messages.pools import SlotRequest
from jackdawfield.messages.pools import SlotsAdopted
from jackdawfield.messages.pools import SlotSpilled
from jackdawfield.messages.pools import SlotStarted
from jackdawfield.messages.pools import UnknownSlots
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
TICK_S = 0.25
REPORT_S = 0.5
PEER_TIMEOUT_S = 1.0
UNUSED_S = 60.0
ORPHAN_S = 5.0
GONE = SlotRefused('request withdrawn', 1.0)

Answer = Slot | SlotRefused | SlotSpilled


@dataclass
class Stewardship:
    """Holds one pool with the homes' open requests."""

    name: str
    pool: Pool
    servers: tuple[BackendServer, ...] = ()
    used_s: float = 0.0
    answers_by_id: dict[str, asyncio.Future[Answer]] = field(
        default_factory=dict
    )
    home_by_id: dict[str, InstanceId] = field(default_factory=dict)
    granted_s_by_id: dict[str, float] = field(default_factory=dict)

    def forget(self, request_id: str) -> None:
        """Drop what is held of a request."""
        self.home_by_id.pop(request_id, None)
        self.granted_s_by_id.pop(request_id, None)


class Stewards:
    """Answers homes by the decisions of each pool's steward."""

    def __init__(
        self,
        settings: Settings,
        contracts: ContractsDriver,
        links: PeerLinks,
        http: HttpClient,
        pool_settings: PoolSettings | None = None,
    ) -> None:
        self._domain_id = DomainId(settings.domain_id)
        self._region_id = RegionId(settings.region_id)
        self._contracts = contracts
        self._links = links
        self._reader = ReportReader(http)
        self._pool_settings = pool_settings or PoolSettings()
        self._stewardships_by_pool: dict[str, Stewardship] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, server: PeerServer) -> None:
        """Answer the messages of homes and of other stewards."""
        server.handle(SlotRequest, self.grant)
        server.handle(SlotStarted, self.started)
        server.handle(SlotReleased, self.released)
        server.handle(HomeRenewal, self.renewed)
        server.handle(SlotsAdopted, self.adopted)
        server.handle(ContextGone, self.context_gone)
        server.handle(PoolLoad, self.peer_load)

    def start(self) -> None:
        """Begin to tick and to read reports."""
        self._spawn(self._tick_for_ever())
        self._spawn(self._report_for_ever())

    def stop(self) -> None:
        """Stop ticking and reading."""
        for task in self._tasks:
            task.cancel()

    async def grant(self, request: SlotRequest) -> Answer:
        """Return a place when the policy gives one, or why not."""
        held = self._stewardship(request.pool)
        request_id = request.request_id
        self._withdraw(held, request_id)
        answer: asyncio.Future[Answer] = asyncio.Future()
        held.answers_by_id[request_id] = answer
        held.home_by_id[request_id] = request.home_id
        now_s = time.monotonic()
        self._run(held, Submit(now_s, self._demand(request, now_s)))
        try:
            return await answer
        except asyncio.CancelledError:
            if held.answers_by_id.get(request_id) is answer:
                self._withdraw(held, request_id)
            raise
        finally:
            if held.answers_by_id.get(request_id) is answer:
                del held.answers_by_id[request_id]

    def _withdraw(self, held: Stewardship, request_id: str) -> None:
        if request_id not in held.home_by_id:
            return
        held.forget(request_id)
        self._answer(held, GONE, request_id)
        self._run(held, Cancelled(time.monotonic(), RequestId(request_id)))

    async def started(self, started: SlotStarted) -> Done:
        """Take a first token."""
        held = self._stewardship(started.pool)
        request_id = RequestId(started.request_id)
        self._run(held, FirstToken(time.monotonic(), request_id))
        return Done()

    async def released(self, released: SlotReleased) -> Done:
        """Take a place back."""
        held = self._stewardship(released.pool)
        held.forget(released.request_id)
        self._run(held, release_event(released, time.monotonic()))
        return Done()

    async def renewed(self, renewal: HomeRenewal) -> UnknownSlots:
        """Keep a home's places and free those that it no longer holds."""
        held = self._stewardship(renewal.pool)
        now_s = time.monotonic()
        self._run(held, Renew(now_s, renewal.home_id))
        wanted = frozenset(renewal.request_ids)
        for request_id, home_id in tuple(held.home_by_id.items()):
            granted_s = held.granted_s_by_id.get(request_id, now_s)
            if home_id != renewal.home_id or request_id in wanted:
                continue
            if now_s - granted_s > ORPHAN_S:
                self._withdraw(held, request_id)
        return UnknownSlots(tuple(wanted - held.home_by_id.keys()))

    async def adopted(self, adopted: SlotsAdopted) -> Done:
        """Count places that an earlier steward granted."""
        held = self._stewardship(adopted.pool)
        now_s = time.monotonic()
        for slot in adopted.slots:
            request_id = slot.request.request_id
            held.home_by_id[request_id] = slot.request.home_id
            held.granted_s_by_id[request_id] = now_s
            demand = self._demand(slot.request, now_s)
            self._run(held, Adopt(now_s, demand, slot.server_id, slot.started))
        return Done()

    async def context_gone(self, gone: ContextGone) -> Done:
        """Forget the prefixes of a program that has ended."""
        held = self._stewardship(gone.pool)
        self._run(held, ContextEnded(time.monotonic(), gone.program_id))
        return Done()

    async def peer_load(self, load: PoolLoad) -> Done:
        """Take the load of the same pool in another domain."""
        held = self._stewardships_by_pool.get(load.pool)
        if held is None:
            return Done()
        report = PeerReport(
            time.monotonic(),
            load.domain_id,
            load.region_id,
            load.usable,
            load.wait_s,
            load.open_slots,
            load.call_s,
            load.token_s,
        )
        self._run(held, report)
        return Done()

    def _stewardship(self, name: str) -> Stewardship:
        held = self._stewardships_by_pool.get(name)
        if held is None:
            pool = Pool(self._region_id, self._pool_settings)
            held = Stewardship(name, pool)
            self._stewardships_by_pool[name] = held
            log_event(LOG, 'stewardship_began', pool=name)
        held.used_s = time.monotonic()
        self._list_servers(held)
        return held

    def _list_servers(self, held: Stewardship) -> None:
        servers = tuple(
            server
            for server in self._contracts.servers_by_id.values()
            if server.pool == held.name and server.domain_id == self._domain_id
        )
        if servers == held.servers:
            return
        gone = {server.server_id for server in held.servers}
        self._reader.forget(gone - {server.server_id for server in servers})
        held.servers = servers
        self._run(held, ServersChanged(time.monotonic(), servers))

    def _demand(self, request: SlotRequest, now_s: float) -> SlotDemand:
        organisations_by_id = self._contracts.configuration.organisations_by_id
        organisation = organisations_by_id.get(request.organisation_id)
        weight = 1.0 if organisation is None else organisation.weight
        return SlotDemand(
            request_id=RequestId(request.request_id),
            home_id=request.home_id,
            organisation_id=OrganisationId(request.organisation_id),
            context_id=request.program_id,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.expected_tokens,
            deadline_s=now_s + request.deadline_s,
            weight=weight,
            attained_tokens=request.attained_tokens,
            waited_s=request.waited_s,
            repeatable=request.repeatable,
            may_spill=request.may_spill,
            avoided_server_ids=frozenset(request.avoided),
        )

    def _run(self, held: Stewardship, event: Event) -> None:
        for action in held.pool.on(event):
            self._act(held, action)

    def _act(self, held: Stewardship, action: Action) -> None:
        request_id = action.request_id
        match action:
            case Grant(_, server_id):
                self._granted(held, request_id, server_id)
            case Refuse(_, reason, retry_after_s):
                held.forget(request_id)
                refusal = SlotRefused(reason.value, retry_after_s)
                self._answer(held, refusal, request_id)
            case Spill(_, domain_id):
                held.forget(request_id)
                spilled = SlotSpilled(request_id, domain_id)
                self._answer(held, spilled, request_id)
            case Recall(_, server_id):
                log_event(LOG, 'call_recalled', server=server_id)
                self._recall(held, request_id)
            case Expire():
                held.forget(request_id)
                self._answer(held, GONE, request_id)

    def _granted(
        self, held: Stewardship, request_id: RequestId, server_id: ServerId
    ) -> None:
        now_s = time.monotonic()
        held.granted_s_by_id[request_id] = now_s
        servers_by_id = {s.server_id: s for s in held.servers}
        server = servers_by_id[server_id]
        if not server.cache_tokens:
            held.pool.on(FirstToken(now_s, request_id))
        slot = Slot(request_id, held.name, server_id, server.address)
        self._answer(held, slot, request_id)

    def _answer(
        self, held: Stewardship, answer: Answer, request_id: str
    ) -> None:
        waiting = held.answers_by_id.get(request_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _recall(self, held: Stewardship, request_id: str) -> None:
        home_id = held.home_by_id.get(request_id)
        held.forget(request_id)
        home = self._contracts.members_by_id.get(home_id or InstanceId(''))
        if home is not None:
            self._tell([home.peer_address], SlotRecalled(request_id))

    def _tell(self, addresses: Iterable[str], message: object) -> None:
        for address in addresses:
            self._spawn(self._send(address, message))

    async def _send(self, address: str, message: object) -> None:
        await self._links.request(address, message, PEER_TIMEOUT_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick_for_ever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            for name, held in tuple(self._stewardships_by_pool.items()):
                self._list_servers(held)
                self._run(held, Tick(now_s))
                if not held.home_by_id and now_s - held.used_s > UNUSED_S:
                    del self._stewardships_by_pool[name]

    async def _report_for_ever(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            for held in tuple(self._stewardships_by_pool.values()):
                with suppress(OSError):
                    await self._report(held)

    async def _report(self, held: Stewardship) -> None:
        reports = await self._reader.read(list(held.servers), time.monotonic())
        for report in reports:
            self._run(held, report)
        load = held.pool.create_peer_report(
            self._domain_id, self._region_id, time.monotonic()
        )
        message = PoolLoad(
            held.name,
            load.domain_id,
            load.region_id,
            load.usable,
            load.wait_s,
            load.open_slots,
            load.call_s,
            load.token_s,
        )
        self._tell(self._peer_addresses(held.name), message)

    def _peer_addresses(self, pool: str) -> list[str]:
        members_by_id = self._contracts.members_by_id
        domains = {member.domain_id for member in members_by_id.values()}
        addresses = []
        for domain_id in sorted(domains - {self._domain_id}):
            key = steward_key(domain_id, pool)
            steward = owner_in_domain(key, domain_id, members_by_id)
            if steward is not None:
                addresses.append(members_by_id[steward].peer_address)
        return addresses


def steward_key(domain_id: DomainId, pool: str) -> str:
    """Return the key whose owner is a pool's steward."""
    return f'pool:{domain_id}:{pool}'


def release_event(
    released: SlotReleased, now_s: float
) -> Finished | Failed | Cancelled:
    """Return what a place's release tells of its server."""
    request_id = RequestId(released.request_id)
    if released.ok:
        return Finished(
            now_s,
            request_id,
            released.prompt_tokens,
            released.cached_tokens,
            released.completion_tokens,
        )
    match released.fault:
        case SlotFault.NONE:
            return Cancelled(now_s, request_id)
        case SlotFault.ERROR:
            return Failed(now_s, request_id, FailureKind.ERROR)
        case SlotFault.UNREACHABLE:
            return Failed(now_s, request_id, FailureKind.UNREACHABLE)
