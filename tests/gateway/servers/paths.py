"""Build the paths to servers of an instance that knows no other one."""

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.reachability import Reachability
from jackdawfield.gateway.servers.relay_client import RelayClient
from jackdawfield.gateway.servers.server_paths import ServerPaths


def lone_paths(servers: Servers, pool: ConnectionPool) -> ServerPaths:
    """Return the paths of an instance without peers."""
    relays = RelayClient(PeerLinks(), lambda: [])
    return ServerPaths(servers, pool, Reachability(), relays)
