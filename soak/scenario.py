"""Define the fleet of a run: its size, configuration and limits."""

import json
from typing import Any

from jackdawfield.gateway.storage.rows import RowKey

CONFIGURATION_KEY = RowKey('op', '', 'config')
SERVICE = 'model'
HOST_NAME = 'soak.example'
HEADER_PREFIX = 'X-Jackdawfield-'
INSTANCE_COUNT = 4
SERVER_COUNT = 3
SLOTS_PER_SERVER = 6
CALLER_COUNT = 10
TOKENS_PER_EVENT = 10
MAX_EVENTS_PER_TURN = 5
MAX_TOKENS_PER_TURN = TOKENS_PER_EVENT * MAX_EVENTS_PER_TURN
PROGRAM_BUDGET_TOKENS = 260
ROUTE_TIMEOUT_S = 3.0
TURN_RETENTION_S = 120.0
# The callers of the limited organisation exceed its rate several times.
RATE_PER_S = 6.0
BURST_CALLS = 6.0
RATE_WINDOW_S = 5.0
# Allowed excess over the contract in a window, as a ratio and in calls.
RATE_OVERSHOOT_RATIO = 0.1
RATE_SLACK_CALLS = 6.0
# Time limit for an instance that reaches the store to apply a new version.
APPLY_LIMIT_S = 4.0
# Promised time until a change of the configuration is in force, and the time
# in which its version is read from an instance.
IN_FORCE_S = 2.5
SAMPLE_MARGIN_S = 0.3
# Requests per second that a server with a limit takes from all instances; in
# a window it tolerates so much more.
# The byte that a server sends which never ends.
ENDLESS_FILL = b'x'
# No call reaches a server later than this after it said that it leaves.
LEAVING_LIMIT_S = 2.5
SERVER_LIMIT_PER_S = 8.0
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE_RATIO = 0.5
LIMIT_SLACK_CALLS = 5
STOP_GRACE_S = 5.0
# Time limit after the last fault for calls to succeed again.
RECOVERY_LIMIT_S = 2.0
# A server that a request ended is back after this time.
SERVER_RESTART_S = 1.0
# An instance without a fault for this long has heard what the others know.
IN_TOUCH_S = 4.0
# Servers that a request may end before all instances must know it.
ENDS_UNTIL_KNOWN = 3
# Runs of it that are tolerated later than IN_TOUCH_S after the last of these.
MAX_RUNS_ONCE_KNOWN = 3
# Body of the request that ends the servers that run it, and of one that is
# sent along with it.
ENDING_BODY = b'ends its server'
BESIDE_BODY = b'runs beside it'
# Body of the refusal of a quarantined request.
QUARANTINED_TEXT = b'quarantined'
UNLIMITED_KEY = 'free-key'
LIMITED_KEY = 'limited-key'
UNLIMITED_ORGANISATION = 'free'
LIMITED_ORGANISATION = 'limited'
PROBE_ORGANISATION = 'probes'


def probe_key(version: int) -> str:
    """Return the probe organisation's API key of a key version."""
    return f'probe-{version}'


def _build_route(
    name: str, kind: str, **properties: object
) -> dict[str, object]:
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': int(ROUTE_TIMEOUT_S * 1000),
        'service': SERVICE,
        'maxAttempts': 2,
        **properties,
    }


def build_configuration(version: int, key_version: int) -> dict[str, Any]:
    """Return a version of the configuration with a probe key."""
    kept = {'retentionS': TURN_RETENTION_S}
    return {
        'version': version,
        'routes': [
            _build_route('turn', 'streaming', retainContext=True, **kept),
            _build_route('reply', 'streaming', resumable=True, **kept),
            _build_route('order', 'unsafe'),
            _build_route('lookup', 'safe'),
        ],
        'services': [
            {'name': SERVICE, 'engine': {'chunkTokens': TOKENS_PER_EVENT}}
        ],
        'tenants': [
            {'name': UNLIMITED_ORGANISATION, 'apiKeys': [UNLIMITED_KEY]},
            {
                'name': LIMITED_ORGANISATION,
                'apiKeys': [LIMITED_KEY],
                'ratePerS': RATE_PER_S,
                'burst': BURST_CALLS,
            },
            {'name': PROBE_ORGANISATION, 'apiKeys': [probe_key(key_version)]},
        ],
    }


def encode_server_row(
    address: str, is_draining: bool, started_ms: int
) -> bytes:
    """Return the value of a backend server's row."""
    entry = {
        'service': SERVICE,
        'address': address,
        'zone': 'a',
        'slots': SLOTS_PER_SERVER,
        'state': 'draining' if is_draining else 'ready',
        'born': started_ms,
    }
    return json.dumps(entry).encode()


def turn_events(request_id: str) -> list[str]:
    """Return the events that a server streams for a turn."""
    count = 1 + sum(request_id.encode()) % MAX_EVENTS_PER_TURN
    return [f'{request_id}:{index}' for index in range(count)]


def turn_text(request_id: str) -> bytes:
    """Return the text that a complete turn adds to its conversation."""
    return b''.join(e.encode() + b'\n' for e in turn_events(request_id))


def stream_body(request_id: str) -> bytes:
    """Return the body of a turn's complete response."""
    return b''.join(
        f'id: {index}\ndata: {event}\n\n'.encode()
        for index, event in enumerate(turn_events(request_id))
    )


def plain_body(request_id: str) -> bytes:
    """Return the body of a complete response to an order or a lookup."""
    return f'done {request_id}'.encode()
