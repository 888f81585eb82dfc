"""Build the limits of servers for an instance that knows no other one."""

from unittest import mock

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.server_limits import ServerLimits


def lone_limits(servers: Servers) -> ServerLimits:
    """Return the limits of an instance without peers or a seat."""
    members = mock.Mock(rows_by_seat={}, own_seat=None, seat_count=1)
    members.nearest_seat.return_value = None
    return ServerLimits(
        servers, members, PeerLinks(), mock.Mock(is_member=True)
    )
