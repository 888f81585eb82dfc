"""Build the servers of an instance, with the connections to them."""

from jackdawfield.gateway.http.idle_limits import LONGEST_IDLE_S
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.servers.choice import KeptConnections
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.work_slices import WorkSlices


def build_servers(
    settings: GatewaySettings, slices: WorkSlices
) -> tuple[Servers, ConnectionPool]:
    """Return the servers of an instance, and its connections to them.

    Where servers are pooled, an instance keeps to those that it is connected
    to, and keeps the connections for longer.
    """
    regions_by_domain = dict(settings.regions_by_domain)
    if not settings.pools_servers:
        servers = Servers(settings.domain_id, regions_by_domain)
        return servers, ConnectionPool(slices)
    pool = ConnectionPool(slices, LONGEST_IDLE_S)
    kept = KeptConnections(settings.instance_id, pool.has_idle)
    return Servers(settings.domain_id, regions_by_domain, kept), pool
