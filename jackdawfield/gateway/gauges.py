"""Name the gauges of an instance and tell how each is read."""

from collections.abc import Callable
from functools import partial
import time
from typing import Any

# The argument is a Gateway, whose module imports this one.
GAUGES_BY_NAME: dict[str, Callable[[Any], float]] = {
    'requests_in_flight': lambda g: g.caller_listener.in_flight,
    'caller_connections': lambda g: g.caller_listener.open_connections,
    'caller_bytes_held': lambda g: g.listeners.limits.held_bytes,
    'caller_bytes_limit': lambda g: g.listeners.limits.budget_bytes,
    'caller_slices_deferred': lambda g: (
        g.listeners.limits.slices.deferred_count
    ),
    'servers_listed': lambda g: len(g.servers.by_id),
    'servers_leaving': lambda g: g.servers.leaving_count,
    'unframed_responses': lambda g: g.dispatcher.unframed_count,
    'cut_from_servers': lambda g: g.reachability.cut_since_s is not None,
    'server_paths_lost': lambda g: g.reachability.lost_path_count,
    'calls_by_peers': lambda g: g.relay_client.opened_count,
    'calls_for_peers': lambda g: g.relay_server.relayed_count,
    'calls_for_peers_open': lambda g: g.relay_server.open_count,
    'servers_with_limit': lambda g: g.server_limits.limited_count,
    'server_tokens_refused': lambda g: g.server_limits.refused_count,
    'members_known': lambda g: len(g.members.rows_by_seat),
    'seats_held': lambda g: len(g.members.own_seats),
    'server_connections_opened': lambda g: g.server_pool.opened_count,
    'store_reached_directly': lambda g: g.store_path.is_direct,
    'store_reached_age_s': lambda g: (
        time.monotonic() - g.store_path.reached_at_s
    ),
    'configuration_version': lambda g: g.call_handler.configuration_version,
    'requests_quarantined': lambda g: len(
        g.quarantine.quarantined(time.monotonic())
    ),
    'requests_suspected': lambda g: g.quarantine.suspect_count(),
    'loop_longest_pause_s': lambda g: g.loop_watch.longest_pause_s,
    'slices_deferred': lambda g: g.work_slices.deferred_count,
    'tasks_restarted': lambda g: g.restarted_task_count,
    'chains_from_peers': lambda g: g.advances.turn_copies.found_count,
    'budget_tokens_pooled': lambda g: g.unused_tokens.pool.tokens,
    'budget_tokens_taken': lambda g: g.advances.transfers.taken_tokens,
    'budget_tokens_handed_over': lambda g: (
        g.advances.transfers.handed_over_tokens
    ),
    'servers_ended': lambda g: g.ended_servers.ended_count,
}


def add_gauges(gateway: Any) -> None:
    """Add the gauges to an instance's metrics, and an age for each table."""
    add_gauge = gateway.metrics.add_gauge
    for name, read in GAUGES_BY_NAME.items():
        add_gauge(name, partial(read, gateway))
    for follower in gateway.followers:
        add_gauge(f'{follower.table}_table_age_s', follower.age_s)
