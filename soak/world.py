"""Describes the fleet of a run: its configuration, budgets and bounds."""

import json
from typing import Any

from jackdawfield.gateway.rows import RowKey

CONFIGURATION = RowKey('op', '', 'config')
SERVICE = 'model'
HOST_NAME = 'soak.example'
PREFIX = 'X-Jackdawfield-'
INSTANCES = 4
SERVERS = 3
SLOTS = 6
CALLERS = 10
TOKENS_PER_EVENT = 10
MOST_EVENTS = 5
MOST_TOKENS = TOKENS_PER_EVENT * MOST_EVENTS
BUDGET_TOKENS = 260
TIMEOUT_S = 3.0
RETENTION_S = 120.0
# The limited organisation asks for several times its rate.
RATE_PER_S = 6.0
BURST = 6.0
RATE_WINDOW_S = 5.0
RATE_OVERSHOOT = 0.1
RATE_SLACK = 6.0
# An instance in touch with the store follows a new version within this time.
APPLY_S = 4.0
GRACE_S = 5.0
# Within this time after the last fault, callers are served again.
RECOVER_S = 2.0
FREE_KEY = 'free-key'
LIMITED_KEY = 'limited-key'
FREE = 'free'
LIMITED = 'limited'
PROBES = 'probes'


def probe_key(version: int) -> str:
    """Return the key of the probing organisation in a version."""
    return f'probe-{version}'


def configuration(version: int, key_version: int) -> dict[str, Any]:
    """Return a version of the configuration, with the probes' key."""
    common = {
        'host': HOST_NAME,
        'timeoutMs': int(TIMEOUT_S * 1000),
        'service': SERVICE,
    }
    return {
        'version': version,
        'routes': [
            {
                'name': 'turn',
                'prefix': '/turn/',
                'kind': 'streaming',
                'retainContext': True,
                'retentionS': RETENTION_S,
                'maxAttempts': 2,
                **common,
            },
            {
                'name': 'order',
                'prefix': '/order/',
                'kind': 'unsafe',
                'maxAttempts': 2,
                **common,
            },
            {
                'name': 'lookup',
                'prefix': '/lookup/',
                'kind': 'safe',
                'maxAttempts': 2,
                **common,
            },
        ],
        'services': [
            {'name': SERVICE, 'engine': {'chunkTokens': TOKENS_PER_EVENT}}
        ],
        'tenants': [
            {'name': FREE, 'apiKeys': [FREE_KEY]},
            {
                'name': LIMITED,
                'apiKeys': [LIMITED_KEY],
                'ratePerS': RATE_PER_S,
                'burst': BURST,
            },
            {'name': PROBES, 'apiKeys': [probe_key(key_version)]},
        ],
    }


def server_entry(address: str, leaving: bool) -> bytes:
    """Return the row of a backend server."""
    entry = {
        'service': SERVICE,
        'address': address,
        'zone': 'a',
        'slots': SLOTS,
        'state': 'draining' if leaving else 'ready',
    }
    return json.dumps(entry).encode()


def events_of(request_id: str) -> list[str]:
    """Return the events with which a server answers a turn."""
    count = 1 + sum(request_id.encode()) % MOST_EVENTS
    return [f'{request_id}:{number}' for number in range(count)]


def turn_text(request_id: str) -> bytes:
    """Return what a whole turn adds to its chain."""
    return b''.join(e.encode() + b'\n' for e in events_of(request_id))


def stream_body(request_id: str) -> bytes:
    """Return the body of a turn's whole answer."""
    return b''.join(
        f'id: {number}\ndata: {event}\n\n'.encode()
        for number, event in enumerate(events_of(request_id))
    )


def plain_body(request_id: str) -> bytes:
    """Return the body of any other whole answer."""
    return f'done {request_id}'.encode()
