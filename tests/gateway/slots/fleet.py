"""Run instances that grant each other the slots of a backend server."""

from dataclasses import replace

from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.slots.client import SlotClient
from jackdawfield.gateway.slots.owner import SlotOwner
from jackdawfield.gateway.slots.service_pool import ServicePool
from jackdawfield.model import ServiceName
from jackdawfield.platform.__main__ import ADAPTER
from tests.gateway.harness import Fleet
from tests.gateway.harness import free_port
from tests.gateway.harness import settings_of

SERVICE = ServiceName('model')
INSTANCES = 3


class PoolingFleet(Fleet):
    """Runs instances of one failure domain, all of which hold seats."""

    async def start_instance(self, name: str) -> Gateway:
        """Start one instance on free ports."""
        settings = settings_of(name, free_port(), self.store.port)
        settings = replace(settings, grants_slots=True)
        gateway = Gateway(settings, ADAPTER, metrics_port=free_port())
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def start_members(self) -> None:
        """Start the instances and wait until all know all of them."""
        await self.start(INSTANCES)
        for gateway in self.gateways:
            await self.wait_until(
                lambda g=gateway: len(g.members.rows_by_seat) == INSTANCES
            )

    def owning(self) -> Gateway:
        """Return the instance that owns the slots of the service."""
        members = self.gateways[0].members
        client = client_of(self.gateways[0])
        owner = client._choose_owner(members.settings.domain_id, SERVICE)
        assert owner is not None
        for gateway in self.gateways:
            if gateway.members.incarnation == owner.incarnation:
                return gateway
        raise AssertionError('no instance owns the slots')

    def others(self) -> list[Gateway]:
        """Return the instances that own no slots."""
        owning = self.owning()
        return [g for g in self.gateways if g is not owning]


def client_of(gateway: Gateway) -> SlotClient:
    """Return an instance's client."""
    assert gateway.slot_pooling is not None
    return gateway.slot_pooling.client


def owner_of(gateway: Gateway) -> SlotOwner:
    """Return an instance's part as an owner."""
    assert gateway.slot_pooling is not None
    return gateway.slot_pooling.owner


def pool_of(gateway: Gateway) -> ServicePool:
    """Return the pool that an instance runs for the service."""
    return owner_of(gateway).pools_by_service[SERVICE]
