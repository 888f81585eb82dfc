"""Build an instance's part in granting the slots of all servers."""

from dataclasses import dataclass

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.slots.client import SlotClient
from jackdawfield.gateway.slots.demands import Home
from jackdawfield.gateway.slots.domain_reports import DomainReports
from jackdawfield.gateway.slots.owner import SlotOwner
from jackdawfield.gateway.slots.owner_choice import OwnerChoice
from jackdawfield.messages.fleet_slots import SlotOwnerStops
from jackdawfield.model import InstanceId


@dataclass(frozen=True, slots=True)
class SlotPooling:
    """Holds the slots that this instance owns, and its client for others."""

    owner: SlotOwner
    client: SlotClient
    reports: DomainReports
    members: Members
    links: PeerLinks

    def start(self, server: PeerServer, tasks: BackgroundTasks) -> None:
        """Take other instances' messages and start the periodic work."""
        self.owner.register(server)
        self.reports.register(server)
        self.client.register(server)
        tasks.supervise('slots', self.owner.run)
        tasks.supervise('domain reports', self.reports.run)
        tasks.supervise('slot renewals', self.client.run)

    async def stop(self) -> None:
        """Own slots no more, and have the next owner know those in use."""
        members = self.members
        own = SlotOwnerStops(members.own_address, members.incarnation)
        await self.owner.stop(self.links, own)

    def close(self) -> None:
        """Cancel the reports under way."""
        self.reports.close()


def build_pooling(
    members: Members,
    links: PeerLinks,
    slot_queue: SlotQueue,
    server_pool: ConnectionPool,
    metrics: GatewayMetrics,
) -> SlotPooling | None:
    """Return this instance's part, None if each instance decides alone."""
    settings = members.settings
    if not settings.grants_slots:
        return None
    # A later start of the same instance uses none of its slots.
    home_id = InstanceId(f'{settings.instance_id}.{members.incarnation}')
    owner = SlotOwner(settings, home_id, slot_queue.servers, settings.spill)
    owners = OwnerChoice(members)
    client = SlotClient(
        Home(home_id, members.own_address, settings.domain_id),
        owner,
        owners,
        links,
        slot_queue,
        server_pool,
        metrics,
    )
    reports = DomainReports(
        settings, members.incarnation, owner, owners, links
    )
    return SlotPooling(owner, client, reports, members, links)
