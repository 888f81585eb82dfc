"""Tell what differs between two configurations."""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import fields
from typing import Any

from jackdawfield.gateway.model import CallRoute
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.model import RouteName


@dataclass(frozen=True, slots=True)
class Change:
    """Holds an entry that differs, and how."""

    entry: str
    text: str


def find_changes(
    current: FleetConfiguration, proposed: FleetConfiguration
) -> tuple[Change, ...]:
    """Return what the proposed configuration changes; keys are not shown."""
    return (
        *_value_changes('limits', 'body bytes', current, proposed),
        *_entry_changes('route', _routes(current), _routes(proposed)),
        *_entry_changes(
            'service', current.services_by_name, proposed.services_by_name
        ),
        *_entry_changes(
            'organisation',
            current.organisations_by_id,
            proposed.organisations_by_id,
        ),
        *_key_changes(current, proposed),
    )


def _routes(configuration: FleetConfiguration) -> dict[RouteName, CallRoute]:
    return {
        route.name: route
        for routes in configuration.routes_by_host.values()
        for route in routes
    }


def _value_changes(
    entry: str,
    name: str,
    current: FleetConfiguration,
    proposed: FleetConfiguration,
) -> Iterator[Change]:
    before, after = current.body_limit_bytes, proposed.body_limit_bytes
    if before != after:
        yield Change(entry, f'{name}: {before} becomes {after}')


def _entry_changes(
    kind: str, current: Mapping[Any, Any], proposed: Mapping[Any, Any]
) -> Iterator[Change]:
    for name in sorted(current.keys() | proposed.keys()):
        entry = f'{kind} {name}'
        if name not in current:
            yield Change(entry, 'added')
        elif name not in proposed:
            yield Change(entry, 'removed')
        else:
            yield from _field_changes(entry, current[name], proposed[name])


def _field_changes(entry: str, before: Any, after: Any) -> Iterator[Change]:
    for field in fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        name = field.name.replace('_', ' ')
        yield Change(entry, f'{name}: {_text(old)} becomes {_text(new)}')


def _text(value: Any) -> str:
    match value:
        case tuple():
            return ', '.join(f'{t.service} x {t.weight:g}' for t in value)
        case float():
            return f'{value:g}'
        case None:
            return 'none'
        case _:
            return str(getattr(value, 'value', value))


def _key_changes(
    current: FleetConfiguration, proposed: FleetConfiguration
) -> Iterator[Change]:
    before = current.organisation_ids_by_key
    after = proposed.organisation_ids_by_key
    organisation_ids = {*before.values(), *after.values()}
    for organisation_id in sorted(organisation_ids):
        old = {k for k, owner in before.items() if owner == organisation_id}
        new = {k for k, owner in after.items() if owner == organisation_id}
        if old != new:
            text = f'keys: {len(new - old)} added, {len(old - new)} withdrawn'
            yield Change(f'organisation {organisation_id}', text)
