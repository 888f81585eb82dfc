"""Find what is wrong with a configuration before it is sent."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.model import Organisation


class Severity(Enum):
    """Lists how bad a finding is; errors should not be sent."""

    ERROR = 'error'
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """Holds what was found, and the entry that it concerns."""

    severity: Severity
    entry: str
    text: str


def find_problems(configuration: FleetConfiguration) -> tuple[Finding, ...]:
    """Return the problems of a configuration that can be decoded."""
    return (
        *_routes_problems(configuration),
        *_services_problems(configuration),
        *_organisations_problems(configuration),
    )


def _error(entry: str, text: str) -> Finding:
    return Finding(Severity.ERROR, entry, text)


def _warning(entry: str, text: str) -> Finding:
    return Finding(Severity.WARNING, entry, text)


def _routes_problems(configuration: FleetConfiguration) -> Iterator[Finding]:
    for routes in configuration.routes_by_host.values():
        names_by_prefix: dict[str, str] = {}
        for route in routes:
            entry = f'route {route.name}'
            first = names_by_prefix.setdefault(route.prefix, route.name)
            if first != route.name:
                text = f'never matches: hidden by route {first}'
                yield _error(entry, f'{text} of the same host and prefix')
            if not route.prefix.startswith('/'):
                yield _error(entry, 'never matches: no path begins so')
            yield from _target_problems(entry, route, configuration)
            yield from _limit_problems(entry, route)
            yield from _kind_problems(entry, route)


def _target_problems(
    entry: str, route: CallRoute, configuration: FleetConfiguration
) -> Iterator[Finding]:
    if not any(target.weight > 0 for target in route.targets):
        yield _error(entry, 'no service gets its requests')
    for target in route.targets:
        if target.service not in configuration.services_by_name:
            yield _error(entry, f'service {target.service} is not defined')
        if target.weight <= 0:
            text = f'service {target.service} never gets a request'
            yield _warning(entry, f'{text}: its weight is {target.weight:g}')


def _limit_problems(entry: str, route: CallRoute) -> Iterator[Finding]:
    if route.timeout_s <= 0:
        yield _error(entry, f'timeout of {route.timeout_s:g} s')
    if route.target_latency_s > route.timeout_s:
        text = f'target latency of {route.target_latency_s:g} s is longer'
        yield _error(entry, f'{text} than the timeout of {route.timeout_s:g}')
    if route.event_gap_s > route.timeout_s:
        text = f'pause of {route.event_gap_s:g} s between events is longer'
        yield _error(entry, f'{text} than the timeout of {route.timeout_s:g}')
    if route.attempt_limit < 1:
        yield _error(entry, 'no attempt is allowed')


def _kind_problems(entry: str, route: CallRoute) -> Iterator[Finding]:
    is_stream = route.kind is CallKind.STREAM
    if route.attempt_limit > 1 and not route.is_repeatable and not is_stream:
        text = 'further attempts are made only if the first has not run'
        yield _warning(entry, f'{text}, since requests run at most once')
    if route.is_resumable and not is_stream:
        yield _warning(entry, 'only streams can be resumed')
    if route.event_gap_s and not is_stream:
        yield _warning(entry, 'only streams have pauses between events')
    if route.keeps_turns and not is_stream:
        yield _warning(entry, 'only streams have turns to keep')
    if route.keeps_turns and route.retention_s <= 0:
        yield _error(entry, 'turns are kept for no time')
    if route.retention_s > 0 and not route.keeps_turns:
        yield _warning(entry, 'retention without turns that are kept')
    if route.is_open and route.keeps_turns:
        text = 'turns belong to organisations, which an open route has not'
        yield _warning(entry, text)


def _services_problems(configuration: FleetConfiguration) -> Iterator[Finding]:
    used_names = {
        target.service
        for routes in configuration.routes_by_host.values()
        for route in routes
        for target in route.targets
    }
    for name in configuration.services_by_name.keys() - used_names:
        yield _warning(f'service {name}', 'no route leads to it')


def _organisations_problems(
    configuration: FleetConfiguration,
) -> Iterator[Finding]:
    organisation_ids = set(configuration.organisation_ids_by_key.values())
    for organisation in configuration.organisations_by_id.values():
        entry = f'organisation {organisation.organisation_id}'
        if organisation.organisation_id not in organisation_ids:
            yield _warning(entry, 'can send nothing: it has no key')
        yield from _rate_problems(entry, organisation)
    if configuration.needs_keys:
        return
    for routes in configuration.routes_by_host.values():
        for route in routes:
            if not route.is_open:
                text = 'open to everybody: there are no organisations'
                yield _warning(f'route {route.name}', text)


def _rate_problems(
    entry: str, organisation: Organisation
) -> Iterator[Finding]:
    rate_per_s, burst = organisation.rate_per_s, organisation.burst
    if rate_per_s < 0 or burst < 0:
        yield _error(entry, f'rate {rate_per_s:g}/s with burst {burst:g}')
    elif burst and not rate_per_s:
        yield _warning(entry, f'burst of {burst:g} without a rate: no limit')
    elif 0 < burst < 1:
        text = f'burst of {burst:g} is below one request: 1 is used'
        yield _warning(entry, text)
