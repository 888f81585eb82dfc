"""Choose the server on which a call of a gateway is delayed least."""

from collections.abc import Mapping
from collections.abc import Set
from dataclasses import dataclass

from jackdawfield.decisions.caches import PrefixCaches
from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.routing import Choice
from jackdawfield.decisions.start_times import StartTimes
from jackdawfield.decisions.windows import ServerWindow
from jackdawfield.model import ServerId


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Sets the expected delays at a server, and which delays are equal.

    `connection_s` is the time to open a connection. A server with all slots
    taken delays a call by the fraction `full_load_fraction` of a mean call.
    A token that isn't cached delays the calls beside it as well, so it counts
    `prefill_weight` times. How much a server lags behind the others' mean
    counts `lag_weight` times. Delays within `equal_s` are equal.
    """

    connection_s: float = 0.03
    full_load_fraction: float = 0.5
    prefill_weight: float = 2.0
    lag_weight: float = 1.0
    equal_s: float = 0.005


@dataclass(frozen=True, slots=True)
class PoolServers:
    """Holds what is known of a pool's servers."""

    windows_by_id: Mapping[ServerId, ServerWindow]
    caches: PrefixCaches
    start_times: StartTimes
    mean_call_s: float


def place_call(
    demand: SlotDemand,
    servers: PoolServers,
    settings: PlacementSettings,
    now_s: float,
) -> Choice | None:
    """Return the server with the least delay, None if none is usable.

    A full server is chosen only if all are full. Among equal servers a
    connected one is chosen, else the rendezvous score decides, so that an
    instance returns to the same few.
    """
    choices = [
        _choice(server_id, demand, servers, settings, now_s)
        for server_id in _usable_ids(demand, servers, now_s)
    ]
    choices = [choice for choice in choices if choice.is_open] or choices
    if not choices:
        return None
    limit_s = min(choice.finish_s for choice in choices) + settings.equal_s

    def preference(choice: Choice) -> tuple[bool, int]:
        server_id = choice.server_id
        is_connected = server_id in demand.connected_server_ids
        return is_connected, rendezvous_score(demand.home_id, server_id)

    equals = [choice for choice in choices if choice.finish_s <= limit_s]
    return max(equals, key=preference)


def _usable_ids(
    demand: SlotDemand, servers: PoolServers, now_s: float
) -> Set[ServerId]:
    """Return the servers that may be granted the call, sooner or later."""
    usable = {
        server_id: window
        for server_id, window in servers.windows_by_id.items()
        if window.is_usable(now_s) and window.may_hold(demand.held_tokens)
    }
    if len(servers.windows_by_id) > 1:
        for server_id in demand.avoided_server_ids:
            usable.pop(server_id, None)
    if demand.repeatable:
        return usable.keys()
    sound_ids = {
        server_id
        for server_id, window in usable.items()
        if not window.is_failing()
    }
    return sound_ids or usable.keys()


def _choice(
    server_id: ServerId,
    demand: SlotDemand,
    servers: PoolServers,
    settings: PlacementSettings,
    now_s: float,
) -> Choice:
    window = servers.windows_by_id[server_id]
    uncached_tokens = _uncached_tokens(server_id, demand, servers.caches)
    prefill_tokens = (
        window.unstarted_prefill_tokens
        + settings.prefill_weight * uncached_tokens
    )
    is_open = window.open_slots(now_s) > 0
    fill = window.load() / max(1, window.slots)
    delay_s = (
        settings.lag_weight * servers.start_times.lag_s(server_id, now_s)
        + prefill_tokens * window.prefill_token_s
        + settings.full_load_fraction * servers.mean_call_s * fill**2
    )
    if server_id not in demand.connected_server_ids:
        delay_s += settings.connection_s
    if not is_open:
        delay_s += servers.mean_call_s / max(1, window.load())
    is_open = is_open and window.has_room(demand.held_tokens)
    return Choice(server_id, delay_s, uncached_tokens, is_open)


def _uncached_tokens(
    server_id: ServerId, demand: SlotDemand, caches: PrefixCaches
) -> int:
    if server_id == demand.preferred_server_id:
        return 0
    cached_tokens = caches.cached_tokens(server_id, demand.context_id)
    return max(0, demand.prompt_tokens - cached_tokens)
