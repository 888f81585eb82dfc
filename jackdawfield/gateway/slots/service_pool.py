"""Run the pool of one service's slots in this failure domain."""

import asyncio
from collections.abc import Set
from dataclasses import dataclass
import logging

from jackdawfield.decisions.gateway_pool import gateway_pool_settings
from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import Cancelled
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Expire
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import HomeRenewed
from jackdawfield.decisions.pool_events import Recall
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import grantable
from jackdawfield.gateway.servers.choice import record_failure
from jackdawfield.gateway.servers.choice import record_full
from jackdawfield.gateway.servers.choice import record_success
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.slots.bounded_log import BoundedLog
from jackdawfield.gateway.slots.crossings import Crossings
from jackdawfield.gateway.slots.demands import to_slot_demand
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import CallDemand
from jackdawfield.messages.fleet_slots import EndedSlot
from jackdawfield.messages.fleet_slots import SlotAnswer
from jackdawfield.messages.fleet_slots import SlotDenied
from jackdawfield.messages.fleet_slots import SlotElsewhere
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.messages.fleet_slots import SlotGranted
from jackdawfield.messages.fleet_slots import SlotNotOwned
from jackdawfield.messages.fleet_slots import UsedSlot
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServerState as ListedState
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
# Time after a call's deadline for which its slot stays granted.
GRANT_MARGIN_S = 0.5
# A grant younger than this may not have reached its instance yet.
UNTOLD_S = 1.0
WITHDRAWN = SlotNotOwned('request expired', is_stopping=False)
NO_SERVER = SlotNotOwned('no server', is_stopping=False)


@dataclass(slots=True)
class OpenRequest:
    """Holds a request for a slot that is queued, or whose slot is in use."""

    demand: CallDemand
    excluded_ids: frozenset[ServerId]
    answer: asyncio.Future[SlotAnswer]
    # When its call has certainly ended, by the monotonic clock.
    expires_at_s: float
    server_id: ServerId | None = None
    granted_at_s: float = 0.0
    # Size of what is sent to another domain if the request is spilled.
    body_bytes: int = 0

    @property
    def request_id(self) -> RequestId:
        """Return the id that the request has in the pool."""
        return RequestId(self.demand.grant_id)


class ServicePool:
    """Passes requests to a pool and carries out what it decides."""

    def __init__(
        self,
        service: ServiceName,
        domain_id: DomainId,
        region_id: RegionId,
        servers: Servers,
        spill: SpillSettings,
        crossings: Crossings,
    ) -> None:
        self.service = service
        self._crossings = crossings
        self._domain_id = domain_id
        self._region_id = region_id
        self._servers = servers
        self.pool = Pool(region_id, gateway_pool_settings(spill))
        self._bounded_log = BoundedLog(LOG)
        # The servers as the pool knows them, and whether it may grant them.
        self._listed: tuple[tuple[ServerEntry, bool], ...] = ()
        self._requests_by_id: dict[str, OpenRequest] = {}

    @property
    def queued_count(self) -> int:
        """Return how many requests are queued."""
        return len(self._requests_by_id) - self.used_count

    @property
    def used_count(self) -> int:
        """Return how many slots are in use."""
        return sum(
            request.server_id is not None
            for request in self._requests_by_id.values()
        )

    @property
    def home_addresses(self) -> set[str]:
        """Return the addresses of the instances that use slots."""
        return {
            request.demand.home_address
            for request in self._requests_by_id.values()
            if request.server_id is not None
        }

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is queued and no slot is in use."""
        return not self._requests_by_id

    def submit(self, ask: AskSlot, now_s: float) -> OpenRequest:
        """Queue a request; its answer may be there at once."""
        loop = asyncio.get_running_loop()
        request = OpenRequest(
            ask.demand,
            frozenset(ask.excluded_ids),
            loop.create_future(),
            now_s + ask.demand.ends_in_s + GRANT_MARGIN_S,
            body_bytes=ask.body_bytes,
        )
        self._requests_by_id[request.request_id] = request
        if ask.returned_by is not None:
            self._crossings.record_return(ask.returned_by)
        demand = to_slot_demand(ask.demand, now_s, ask)
        self._update_servers(now_s)
        self.apply(RequestSubmitted(now_s, demand))
        self.answer_unservable(request, now_s)
        return request

    def answer_unservable(self, request: OpenRequest, now_s: float) -> None:
        """Answer a queued request that no server here may be granted."""
        if request.answer.done():
            return
        states = self._servers.of_service(self.service, self._domain_id)
        if any(
            state.entry.server_id not in request.excluded_ids
            for state in grantable(states, now_s)
        ):
            return
        self.withdraw(request.demand.grant_id, now_s)
        _put_answer(request, NO_SERVER)

    def withdraw(self, grant_id: str, now_s: float) -> None:
        """Remove a request, and release its slot if it has one."""
        if self._requests_by_id.pop(grant_id, None) is not None:
            self.apply(Cancelled(now_s, RequestId(grant_id)))

    def adopt(self, used: UsedSlot, now_s: float) -> None:
        """Count a slot in use that this owner has not granted."""
        demand = used.demand
        if demand.grant_id in self._requests_by_id:
            return
        self._update_servers(now_s)
        self._requests_by_id[demand.grant_id] = OpenRequest(
            demand,
            frozenset(),
            asyncio.get_running_loop().create_future(),
            now_s + demand.ends_in_s + GRANT_MARGIN_S,
            used.server_id,
            now_s,
        )
        has_begun = used.has_begun or not demand.reports_start
        self.apply(
            GrantAdopted(
                now_s,
                to_slot_demand(demand, now_s),
                used.server_id,
                has_begun,
            )
        )

    def begin(self, grant_id: str, now_s: float) -> None:
        """Record the first piece of a call's answer."""
        self.apply(FirstToken(now_s, RequestId(grant_id)))

    def end(self, ended: EndedSlot, now_s: float) -> None:
        """Release a slot, and queue no request any more that has none."""
        request = self._requests_by_id.pop(ended.grant_id, None)
        self._update_servers(now_s)
        request_id = RequestId(ended.grant_id)
        if request is None or ended.end is not SlotEnd.SUCCEEDED:
            self.apply(Cancelled(now_s, request_id))
            return
        self.apply(
            Finished(
                now_s,
                request_id,
                prompt_tokens=ended.prompt_tokens,
                cached_tokens=0,
                output_tokens=ended.output_tokens,
            )
        )

    def record_outcome(self, ended: EndedSlot, now_s: float) -> None:
        """Record how another instance's call ended at a server."""
        state = self._servers.by_id.get(ended.server_id or ServerId(''))
        if state is None:
            return
        match ended.end:
            case SlotEnd.SUCCEEDED:
                record_success(state)
            case SlotEnd.FULL:
                record_full(state, now_s)
            case SlotEnd.FAILED:
                record_failure(state, now_s)

    def end_unused(
        self, home_id: InstanceId, used_ids: Set[str], now_s: float
    ) -> None:
        """Release slots of an instance that it no longer lists as used."""
        for grant_id, request in tuple(self._requests_by_id.items()):
            if (
                request.demand.home_id == home_id
                and request.server_id is not None
                and grant_id not in used_ids
                and now_s - request.granted_at_s > UNTOLD_S
            ):
                self.withdraw(grant_id, now_s)

    def renew(self, home_id: InstanceId, now_s: float) -> None:
        """Renew the leases of an instance's requests and slots."""
        self.apply(HomeRenewed(now_s, home_id))

    def tick(self, now_s: float) -> None:
        """Do the periodic work."""
        self._update_servers(now_s)
        for request in list(self._requests_by_id.values()):
            if request.expires_at_s < now_s:
                self.withdraw(request.demand.grant_id, now_s)
                _put_answer(request, WITHDRAWN)
        self.apply(TimePassed(now_s))

    def stop(self, answer: SlotNotOwned) -> None:
        """Answer every queued request."""
        for request in self._requests_by_id.values():
            _put_answer(request, answer)

    def _update_servers(self, now_s: float) -> None:
        states = self._servers.of_service(self.service, self._domain_id)
        open_ids = {
            state.entry.server_id
            for state in grantable(states, now_s)
            if state.full_until_s <= now_s
        }
        listed = tuple(
            (state.entry, state.entry.server_id in open_ids)
            for state in states
        )
        if listed == self._listed:
            return
        self._listed = listed
        servers = tuple(
            self._to_backend_server(entry, is_open)
            for entry, is_open in listed
        )
        self.apply(ServersChanged(now_s, servers))

    def _to_backend_server(
        self, entry: ServerEntry, is_open: bool
    ) -> BackendServer:
        return BackendServer(
            entry.server_id,
            entry.domain_id,
            self._region_id,
            entry.address,
            entry.service,
            entry.slots,
            state=ListedState.LIVE if is_open else ListedState.DRAINING,
        )

    def apply(self, event: Event) -> None:
        """Pass an event to the pool and carry out the actions."""
        for action in self.pool.on(event):
            self._execute(action, event.now_s)

    def _execute(self, action: Action, now_s: float) -> None:
        request = self._requests_by_id.get(action.request_id)
        if request is None:
            return
        if isinstance(action, Grant):
            self._grant(request, action.server_id, now_s)
            return
        del self._requests_by_id[action.request_id]
        match action:
            case Refuse(_, reason, retry_after_s):
                self._log('slot_refused', request, reason=reason.value)
                _put_answer(request, SlotDenied(reason.value, retry_after_s))
            case Spill(_, domain_id, needs_open_slot):
                self._crossings.record_spill(
                    self.service, action, request.body_bytes, now_s
                )
                _put_answer(request, SlotElsewhere(domain_id, needs_open_slot))
            case Recall(_, server_id):
                self._log('slot_recalled', request, server=server_id)
            case Expire():
                self._log('slot_expired', request, server=request.server_id)
                _put_answer(request, WITHDRAWN)

    def _grant(
        self, request: OpenRequest, server_id: ServerId, now_s: float
    ) -> None:
        state = self._servers.by_id.get(server_id)
        if state is None or server_id in request.excluded_ids:
            self.withdraw(request.demand.grant_id, now_s)
            _put_answer(request, NO_SERVER)
            return
        request.server_id = server_id
        request.granted_at_s = now_s
        self._crossings.record_granted()
        if not request.demand.reports_start:
            self.pool.on(FirstToken(now_s, request.request_id))
        granted = SlotGranted(server_id, state.entry.started_ms)
        _put_answer(request, granted)

    def _log(self, event: str, request: OpenRequest, **fields: object) -> None:
        self._bounded_log.log(
            event,
            request=request.demand.request_id,
            service=self.service,
            home=request.demand.home_id,
            queued=self.queued_count,
            used=self.used_count,
            **fields,
        )


def _put_answer(request: OpenRequest, answer: SlotAnswer) -> None:
    if not request.answer.done():
        request.answer.set_result(answer)
