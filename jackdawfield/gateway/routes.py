"""Finds the route of a request and the service that serves it."""

from jackdawfield.decisions.placement import score
from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.model import ServiceName

HASH_RANGE = 2**64


def find_route(
    configuration: FleetConfiguration, host: str, target: str
) -> CallRoute | None:
    """Return the route with the longest prefix of a target's path."""
    path = target.partition('?')[0]
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: CallRoute, key: str) -> ServiceName | None:
    """Return the service that a route's weights give to a key."""
    total = sum(target.weight for target in route.targets)
    point = score('service', key) / HASH_RANGE * total
    for target in route.targets:
        if target.weight <= 0:
            continue
        point -= target.weight
        if point < 0:
            return target.service
    return None
