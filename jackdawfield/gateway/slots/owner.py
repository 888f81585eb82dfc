"""Grant the slots of this failure domain's servers to all instances.

Every member answers what it is asked: two owners at once fill servers beyond
their slots at most, which the servers refuse.
"""

import asyncio
from collections.abc import AsyncIterator
import time

from jackdawfield.decisions.gateway_spill import GATEWAY_SPILL
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import SpillObstacle
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.slots.crossings import Crossings
from jackdawfield.gateway.slots.service_pool import ServicePool
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import EndedSlot
from jackdawfield.messages.fleet_slots import SlotChanges
from jackdawfield.messages.fleet_slots import SlotNotOwned
from jackdawfield.messages.fleet_slots import SlotOwnerStops
from jackdawfield.messages.fleet_slots import SlotQueued
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import ServiceName

# Time between two rounds of the periodic work.
TICK_S = 0.05
# Time between two messages to the instance of a queued request.
QUEUED_INTERVAL_S = 0.2
# A pool of which no slot was asked for so long is dropped.
POOL_IDLE_S = 10.0
# Longest time for telling instances that this one stops.
STOP_NOTICE_S = 0.2
# Time that instances have to tell the slots that they use to the next owner.
HANDOVER_S = 0.02
STOPPING = SlotNotOwned('stopping', is_stopping=True)


class SlotOwner:
    """Holds the pools of the services whose slots it was asked for."""

    def __init__(
        self,
        settings: GatewaySettings,
        home_id: InstanceId,
        servers: Servers,
        spill: SpillSettings = GATEWAY_SPILL,
    ) -> None:
        self._settings = settings
        self._spill = spill
        self._home_id = home_id
        self._servers = servers
        self.pools_by_service: dict[ServiceName, ServicePool] = {}
        self._asked_at_s_by_service: dict[ServiceName, float] = {}
        self._was_asked = asyncio.Event()
        self.is_stopping = False
        self.crossings = Crossings()

    def register(self, server: PeerServer) -> None:
        """Register the handlers of other instances' messages."""
        server.handle_stream(
            AskSlot,
            self.ask,
            lambda answer: not isinstance(answer, SlotQueued),
        )
        server.handle_notice(SlotChanges, self.apply_changes)

    async def ask(self, ask: AskSlot) -> AsyncIterator[object]:
        """Answer a request; yield SlotQueued until it is decided."""
        if self.is_stopping:
            yield STOPPING
            return
        pool = self._pool_of(ask.demand.service)
        request = pool.submit(ask, time.monotonic())
        is_answered = False
        try:
            while not request.answer.done():
                yield SlotQueued(QUEUED_INTERVAL_S)
                await asyncio.wait(
                    (request.answer,), timeout=QUEUED_INTERVAL_S
                )
                pool.answer_unservable(request, time.monotonic())
            is_answered = True
            yield request.answer.result()
        finally:
            if not is_answered:
                pool.withdraw(ask.demand.grant_id, time.monotonic())

    def apply_changes(self, changes: SlotChanges) -> None:
        """Apply what an instance tells of its slots.

        An owner that stops grants none of those that are told to the next.
        """
        if self.is_stopping:
            return
        now_s = time.monotonic()
        for used in changes.used:
            self._pool_of(used.demand.service).adopt(used, now_s)
        for begun in changes.begun:
            pool = self.pools_by_service.get(begun.service)
            if pool is not None:
                pool.begin(begun.grant_id, now_s)
        for ended in changes.ended:
            self._apply_end(changes.home_id, ended, now_s)
        if changes.grant_ids is not None:
            used_ids = frozenset(changes.grant_ids)
            for pool in self.pools_by_service.values():
                pool.end_unused(changes.home_id, used_ids, now_s)
        for pool in self.pools_by_service.values():
            pool.renew(changes.home_id, now_s)

    def _apply_end(
        self, home_id: InstanceId, ended: EndedSlot, now_s: float
    ) -> None:
        pool = self.pools_by_service.get(ended.service)
        if pool is None:
            return
        # The ends of its own calls are known to its servers already.
        if home_id != self._home_id:
            pool.record_outcome(ended, now_s)
        pool.end(ended, now_s)

    def _pool_of(self, service: ServiceName) -> ServicePool:
        self._asked_at_s_by_service[service] = time.monotonic()
        pool = self.pools_by_service.get(service)
        if pool is None:
            settings = self._settings
            pool = ServicePool(
                service,
                settings.domain_id,
                settings.region_id,
                self._servers,
                self._spill,
                self.crossings,
            )
            self.pools_by_service[service] = pool
            self._was_asked.set()
        return pool

    async def run(self) -> None:
        """Do the periodic work until the task is cancelled."""
        while True:
            await self._was_asked.wait()
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            for pool in self.pools_by_service.values():
                pool.tick(now_s)
            self.crossings.log_ended(self._find_obstacle, now_s)
            self._drop_idle(now_s)

    def _find_obstacle(
        self, service: ServiceName, domain_id: DomainId, now_s: float
    ) -> SpillObstacle:
        owned = self.pools_by_service.get(service)
        if owned is None:
            return SpillObstacle.NO_GAIN
        return owned.pool.find_spill_obstacle(domain_id, now_s)

    def _drop_idle(self, now_s: float) -> None:
        for service, pool in list(self.pools_by_service.items()):
            asked_at_s = self._asked_at_s_by_service[service]
            if pool.is_idle and now_s - asked_at_s > POOL_IDLE_S:
                del self.pools_by_service[service]
                del self._asked_at_s_by_service[service]
        if not self.pools_by_service:
            self._was_asked.clear()

    async def stop(self, links: PeerLinks, own: SlotOwnerStops) -> None:
        """Decide nothing any more; queued requests are to ask elsewhere.

        Instances that use slots are told before, so that the next owner knows
        of these when the queued requests arrive there.
        """
        self.is_stopping = True
        pools = self.pools_by_service.values()
        addresses = set().union(*(pool.home_addresses for pool in pools))
        addresses.discard(own.address)
        notices = [
            links.request(address, own, STOP_NOTICE_S) for address in addresses
        ]
        await asyncio.gather(*notices)
        await asyncio.sleep(HANDOVER_S)
        for pool in pools:
            pool.stop(STOPPING)

    def reports(
        self, now_s: float
    ) -> tuple[tuple[ServiceName, PeerReport], ...]:
        """Return the load of each pool, for the owners of other domains."""
        if self.is_stopping:
            return ()
        settings = self._settings
        return tuple(
            (
                service,
                owned.pool.create_peer_report(
                    settings.domain_id, settings.region_id, now_s
                ),
            )
            for service, owned in self.pools_by_service.items()
        )

    def apply_report(self, service: ServiceName, report: PeerReport) -> None:
        """Record the load of a service in another failure domain.

        A pool that is not in use here is run while requests are queued there,
        since they may find a slot here.
        """
        if report.queued and not self.is_stopping:
            self._pool_of(service)
        owned = self.pools_by_service.get(service)
        if owned is not None:
            owned.apply(report)
