"""Run the stewards of pools for which this instance receives requests.

The steward of a pool is the instance that schedules the slots of the pool's
backend servers in one failure domain.
"""

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
from jackdawfield.decisions.pool_events import Cancelled
from jackdawfield.decisions.pool_events import ContextEnded
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Expire
from jackdawfield.decisions.pool_events import Failed
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import HomeRenewed
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import Recall
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.http import HttpClient
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.reports import ReportReader
from jackdawfield.logs import log_event
from jackdawfield.messages.pools import ContextGone
from jackdawfield.messages.pools import Done
from jackdawfield.messages.pools import HomeRenewal
from jackdawfield.messages.pools import PoolLoad
from jackdawfield.messages.pools import ServerFault
from jackdawfield.messages.pools import Slot
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
REPORT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.0
POOL_IDLE_LIMIT_S = 60.0
ORPHAN_TIMEOUT_S = 5.0
REQUEST_WITHDRAWN = SlotRefused('request withdrawn', 1.0)

SlotAnswer = Slot | SlotRefused | SlotSpilled


@dataclass
class Stewardship:
    """Holds one pool that this instance schedules, and its open requests.

    Entries of granted_s_by_request are the monotonic times of grants. Queued
    and granted requests are in home_ids_by_request.
    """

    name: str
    pool: Pool
    servers: tuple[BackendServer, ...] = ()
    last_used_s: float = 0.0
    answers_by_request: dict[str, asyncio.Future[SlotAnswer]] = field(
        default_factory=dict
    )
    home_ids_by_request: dict[str, InstanceId] = field(default_factory=dict)
    granted_s_by_request: dict[str, float] = field(default_factory=dict)

    def remove_request(self, request_id: str) -> None:
        """Remove the home and the grant of a request."""
        self.home_ids_by_request.pop(request_id, None)
        self.granted_s_by_request.pop(request_id, None)


class StewardsDriver:
    """Passes homes' messages to the pools and carries out their decisions.

    This instance is the steward of each pool for which it receives a message
    of a home, until the pool is unused for POOL_IDLE_LIMIT_S.
    """

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
        links: PeerLinks,
        http: HttpClient,
        pool_settings: PoolSettings | None = None,
    ) -> None:
        self._domain_id = DomainId(settings.domain_id)
        self._region_id = RegionId(settings.region_id)
        self._contracts = contracts
        self._links = links
        self._report_reader = ReportReader(http)
        self._pool_settings = pool_settings or PoolSettings()
        self._stewardships_by_pool: dict[str, Stewardship] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, server: PeerServer) -> None:
        """Register the handlers for messages of homes and other stewards."""
        server.handle(SlotRequest, self.handle_request)
        server.handle(SlotStarted, self.handle_start)
        server.handle(SlotReleased, self.handle_release)
        server.handle(HomeRenewal, self.handle_renewal)
        server.handle(SlotsAdopted, self.handle_adoption)
        server.handle(ContextGone, self.handle_context_end)
        server.handle(PoolLoad, self.handle_peer_load)

    def start(self) -> None:
        """Start the periodic work and the reading of servers' reports."""
        self._spawn(self._tick_periodically())
        self._spawn(self._report_periodically())

    def stop(self) -> None:
        """Stop the periodic work and the reading of servers' reports."""
        for task in self._tasks:
            task.cancel()

    async def handle_request(self, request: SlotRequest) -> SlotAnswer:
        """Queue a request and return its slot, refusal or redirection.

        A request with the same id that is still open is withdrawn first.
        """
        stewardship = self._get_stewardship(request.pool)
        request_id = request.request_id
        self._withdraw_request(stewardship, request_id)
        answer: asyncio.Future[SlotAnswer] = asyncio.Future()
        stewardship.answers_by_request[request_id] = answer
        stewardship.home_ids_by_request[request_id] = request.home_id
        now_s = time.monotonic()
        self._apply(
            stewardship,
            RequestSubmitted(now_s, self._make_demand(request, now_s)),
        )
        try:
            return await answer
        except asyncio.CancelledError:
            if stewardship.answers_by_request.get(request_id) is answer:
                self._withdraw_request(stewardship, request_id)
            raise
        finally:
            if stewardship.answers_by_request.get(request_id) is answer:
                del stewardship.answers_by_request[request_id]

    def _withdraw_request(
        self, stewardship: Stewardship, request_id: str
    ) -> None:
        if request_id not in stewardship.home_ids_by_request:
            return
        stewardship.remove_request(request_id)
        self._put_answer(stewardship, REQUEST_WITHDRAWN, request_id)
        self._apply(
            stewardship, Cancelled(time.monotonic(), RequestId(request_id))
        )

    async def handle_start(self, started: SlotStarted) -> Done:
        """Record that a call has produced its first token."""
        stewardship = self._get_stewardship(started.pool)
        request_id = RequestId(started.request_id)
        self._apply(stewardship, FirstToken(time.monotonic(), request_id))
        return Done()

    async def handle_release(self, released: SlotReleased) -> Done:
        """Release a slot and record the result of its call."""
        stewardship = self._get_stewardship(released.pool)
        stewardship.remove_request(released.request_id)
        self._apply(
            stewardship, make_release_event(released, time.monotonic())
        )
        return Done()

    async def handle_renewal(self, renewal: HomeRenewal) -> UnknownSlots:
        """Renew a home's requests and withdraw those that it no longer lists.

        Only granted requests are withdrawn, ORPHAN_TIMEOUT_S after the grant.
        """
        stewardship = self._get_stewardship(renewal.pool)
        now_s = time.monotonic()
        self._apply(stewardship, HomeRenewed(now_s, renewal.home_id))
        renewed_ids = frozenset(renewal.request_ids)
        for request_id, home_id in tuple(
            stewardship.home_ids_by_request.items()
        ):
            granted_s = stewardship.granted_s_by_request.get(request_id, now_s)
            if home_id != renewal.home_id or request_id in renewed_ids:
                continue
            if now_s - granted_s > ORPHAN_TIMEOUT_S:
                self._withdraw_request(stewardship, request_id)
        return UnknownSlots(
            tuple(renewed_ids - stewardship.home_ids_by_request.keys())
        )

    async def handle_adoption(self, adopted: SlotsAdopted) -> Done:
        """Register slots that an earlier steward of the pool granted."""
        stewardship = self._get_stewardship(adopted.pool)
        now_s = time.monotonic()
        for slot in adopted.slots:
            request_id = slot.request.request_id
            stewardship.home_ids_by_request[request_id] = slot.request.home_id
            stewardship.granted_s_by_request[request_id] = now_s
            demand = self._make_demand(slot.request, now_s)
            self._apply(
                stewardship,
                GrantAdopted(now_s, demand, slot.server_id, slot.started),
            )
        return Done()

    async def handle_context_end(self, context_gone: ContextGone) -> Done:
        """Remove the cached prefixes of an ended program."""
        stewardship = self._get_stewardship(context_gone.pool)
        self._apply(
            stewardship,
            ContextEnded(time.monotonic(), context_gone.program_id),
        )
        return Done()

    async def handle_peer_load(self, load: PoolLoad) -> Done:
        """Record the load of the same pool in another failure domain."""
        stewardship = self._stewardships_by_pool.get(load.pool)
        if stewardship is None:
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
        self._apply(stewardship, report)
        return Done()

    def _get_stewardship(self, pool_name: str) -> Stewardship:
        stewardship = self._stewardships_by_pool.get(pool_name)
        if stewardship is None:
            pool = Pool(self._region_id, self._pool_settings)
            stewardship = Stewardship(pool_name, pool)
            self._stewardships_by_pool[pool_name] = stewardship
            log_event(LOG, 'stewardship_began', pool=pool_name)
        stewardship.last_used_s = time.monotonic()
        self._update_servers(stewardship)
        return stewardship

    def _update_servers(self, stewardship: Stewardship) -> None:
        servers = tuple(
            server
            for server in self._contracts.servers_by_id.values()
            if server.pool == stewardship.name
            and server.domain_id == self._domain_id
        )
        if servers == stewardship.servers:
            return
        previous_ids = {server.server_id for server in stewardship.servers}
        self._report_reader.remove_servers(
            previous_ids - {server.server_id for server in servers}
        )
        stewardship.servers = servers
        self._apply(stewardship, ServersChanged(time.monotonic(), servers))

    def _make_demand(self, request: SlotRequest, now_s: float) -> SlotDemand:
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

    def _apply(self, stewardship: Stewardship, event: Event) -> None:
        for action in stewardship.pool.on(event):
            self._execute(stewardship, action)

    def _execute(self, stewardship: Stewardship, action: Action) -> None:
        request_id = action.request_id
        match action:
            case Grant(_, server_id):
                self._grant(stewardship, request_id, server_id)
            case Refuse(_, reason, retry_after_s):
                stewardship.remove_request(request_id)
                refusal = SlotRefused(reason.value, retry_after_s)
                self._put_answer(stewardship, refusal, request_id)
            case Spill(_, domain_id):
                stewardship.remove_request(request_id)
                spilled = SlotSpilled(request_id, domain_id)
                self._put_answer(stewardship, spilled, request_id)
            case Recall(_, server_id):
                log_event(LOG, 'call_recalled', server=server_id)
                self._revoke(stewardship, request_id)
            case Expire():
                stewardship.remove_request(request_id)
                self._put_answer(stewardship, REQUEST_WITHDRAWN, request_id)

    def _grant(
        self,
        stewardship: Stewardship,
        request_id: RequestId,
        server_id: ServerId,
    ) -> None:
        now_s = time.monotonic()
        stewardship.granted_s_by_request[request_id] = now_s
        servers_by_id = {s.server_id: s for s in stewardship.servers}
        server = servers_by_id[server_id]
        # Homes report a first token only for calls of engines, which have a
        # cache.
        if not server.cache_tokens:
            stewardship.pool.on(FirstToken(now_s, request_id))
        slot = Slot(request_id, stewardship.name, server_id, server.address)
        self._put_answer(stewardship, slot, request_id)

    def _put_answer(
        self, stewardship: Stewardship, answer: SlotAnswer, request_id: str
    ) -> None:
        future = stewardship.answers_by_request.get(request_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def _revoke(self, stewardship: Stewardship, request_id: str) -> None:
        home_id = stewardship.home_ids_by_request.get(request_id)
        stewardship.remove_request(request_id)
        home = self._contracts.members_by_id.get(home_id or InstanceId(''))
        if home is not None:
            self._send_to_all([home.peer_address], SlotRecalled(request_id))

    def _send_to_all(self, addresses: Iterable[str], message: object) -> None:
        for address in addresses:
            self._spawn(self._send(address, message))

    async def _send(self, address: str, message: object) -> None:
        await self._links.request(address, message, PEER_TIMEOUT_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            for pool_name, stewardship in tuple(
                self._stewardships_by_pool.items()
            ):
                self._update_servers(stewardship)
                self._apply(stewardship, TimePassed(now_s))
                if (
                    not stewardship.home_ids_by_request
                    and now_s - stewardship.last_used_s > POOL_IDLE_LIMIT_S
                ):
                    del self._stewardships_by_pool[pool_name]

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for stewardship in tuple(self._stewardships_by_pool.values()):
                with suppress(OSError):
                    await self._report_load(stewardship)

    async def _report_load(self, stewardship: Stewardship) -> None:
        reports = await self._report_reader.read(
            list(stewardship.servers), time.monotonic()
        )
        for report in reports:
            self._apply(stewardship, report)
        load = stewardship.pool.create_peer_report(
            self._domain_id, self._region_id, time.monotonic()
        )
        message = PoolLoad(
            stewardship.name,
            load.domain_id,
            load.region_id,
            load.usable,
            load.wait_s,
            load.open_slots,
            load.call_s,
            load.token_s,
        )
        self._send_to_all(self._peer_addresses(stewardship.name), message)

    def _peer_addresses(self, pool: str) -> list[str]:
        members_by_id = self._contracts.members_by_id
        domain_ids = {member.domain_id for member in members_by_id.values()}
        addresses = []
        for domain_id in sorted(domain_ids - {self._domain_id}):
            key = steward_key(domain_id, pool)
            steward_id = owner_in_domain(key, domain_id, members_by_id)
            if steward_id is not None:
                addresses.append(members_by_id[steward_id].peer_address)
        return addresses


def steward_key(domain_id: DomainId, pool: str) -> str:
    """Return the key whose owner is the steward of a pool in a domain."""
    return f'pool:{domain_id}:{pool}'


def make_release_event(
    released: SlotReleased, now_s: float
) -> Finished | Failed | Cancelled:
    """Return the pool's event for the release of a slot."""
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
        case ServerFault.NONE:
            return Cancelled(now_s, request_id)
        case ServerFault.ERROR:
            return Failed(now_s, request_id, FailureKind.ERROR)
        case ServerFault.UNREACHABLE:
            return Failed(now_s, request_id, FailureKind.UNREACHABLE)
