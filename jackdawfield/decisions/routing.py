"""Choose the server on which a call is expected to finish first."""

from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.decisions.caches import PrefixCaches
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.windows import ServerWindow
from jackdawfield.model import ServerId


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Sets the weight of a cached prefix; zero ignores the caches."""

    cache_credit: float = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """Holds a server and the seconds until the call would finish there.

    `is_open` says whether a slot of the server is free now.
    """

    server_id: ServerId
    finish_s: float
    prefill_tokens: int
    is_open: bool


def expected_finish_s(
    window: ServerWindow,
    demand: SlotDemand,
    prefill_tokens: float,
    slot_wait_s: float,
) -> float:
    """Return the expected seconds until a call finishes on a server."""
    backlog_tokens = window.unstarted_prefill_tokens + prefill_tokens
    prefill_s = backlog_tokens * window.prefill_token_s
    decode_s = demand.output_tokens * window.token_s
    slowdown = 1 + window.load() / max(1, 2 * window.slots)
    return slot_wait_s + prefill_s + decode_s * slowdown


def choose_server(
    demand: SlotDemand,
    windows_by_id: Mapping[ServerId, ServerWindow],
    caches: PrefixCaches,
    settings: RoutingSettings,
    mean_call_s: float,
    now_s: float,
) -> Choice | None:
    """Return the server with the earliest expected finish, if any.

    A server whose window is full is a candidate, with the wait for its next
    free slot added, so that a request can wait for the server that has its
    prefix cached. A call that must not be repeated is used as a probe only
    if all servers are failing.
    """
    best: Choice | None = None
    may_probe = demand.repeatable or all(
        window.is_failing() for window in windows_by_id.values()
    )
    for server_id, window in windows_by_id.items():
        if not window.is_usable(now_s):
            continue
        if server_id in demand.avoided_server_ids and len(windows_by_id) > 1:
            continue
        if window.is_failing() and not may_probe:
            continue
        is_open = window.open_slots(now_s) > 0
        if window.is_probe_only() and not is_open:
            continue
        slot_wait_s = 0.0 if is_open else mean_call_s / max(1, window.load())
        cached_tokens = caches.cached_tokens(server_id, demand.context_id)
        uncached_tokens = max(0, demand.prompt_tokens - cached_tokens)
        prefill_tokens = demand.prompt_tokens - settings.cache_credit * min(
            cached_tokens, demand.prompt_tokens
        )
        finish_s = expected_finish_s(
            window, demand, prefill_tokens, slot_wait_s
        )
        if best is None or finish_s < best.finish_s:
            best = Choice(server_id, finish_s, uncached_tokens, is_open)
    return best
