"""Find a request's route and choose one of the route's services."""

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.model import ServiceName

HASH_RANGE = 2**64


def find_route(
    configuration: FleetConfiguration, host: str, target: str
) -> CallRoute | None:
    """Return the route with the longest prefix of a target's path.

    The configuration holds a host's routes by descending prefix length.
    """
    path = target.partition('?')[0]
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: CallRoute, key: str) -> ServiceName | None:
    """Return the service that a key hashes to by the route's weights."""
    total = sum(target.weight for target in route.targets)
    point = rendezvous_score('service', key) / HASH_RANGE * total
    for target in route.targets:
        if target.weight <= 0:
            continue
        point -= target.weight
        if point < 0:
            return target.service
    return None
