"""Names the policies that the bench compares."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from bench._baselines import LeastOutstanding
from bench._baselines import RoundRobin
from bench._baselines import ShortestFirst
from bench._fleet import Fleet
from bench._fleet import Policy
from bench._per_server import ServerStewards
from bench._stewards import Stewards
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.queueing import QueueSettings
from jackdawfield.decisions.routing import RoutingSettings
from jackdawfield.decisions.slot_shares import ShareSettings
from jackdawfield.decisions.spilling import SpillSettings

PolicyFactory = Callable[[Fleet], Policy]

NOW = PoolSettings()
STRICT = QueueSettings(
    burst_tokens=1.0, cached_factor=0.0, ageing_tokens_per_s=400.0
)
LOOSE_SHARES = ShareSettings(headroom=2.0, unlimited_fill=0.0, min_share=0.0)
FIRST = replace(
    NOW,
    queue=STRICT,
    shares=LOOSE_SHARES,
    spill=SpillSettings(margin_s=0.3),
    spills_per_tick=0,
)
SECOND = replace(FIRST, queue=replace(STRICT, ageing_tokens_per_s=40.0))
THIRD = replace(SECOND, shares=NOW.shares)


def stewards(settings: PoolSettings, release: bool = True) -> PolicyFactory:
    """Return a policy of one steward a pool under some settings."""
    return partial(Stewards, settings=settings, release=release)


BASELINES_BY_NAME: dict[str, PolicyFactory] = {
    'round robin': RoundRobin,
    'least outstanding': LeastOutstanding,
    'shortest first': ShortestFirst,
}
TODAY = 'steward'
POLICIES_BY_NAME: dict[str, PolicyFactory] = {
    **BASELINES_BY_NAME,
    TODAY: stewards(NOW),
}
PER_SERVER_BY_NAME: dict[str, PolicyFactory] = {
    'today': stewards(NOW),
    'steward a server': partial(ServerStewards, settings=NOW),
}
EARLIER_BY_NAME: dict[str, PolicyFactory] = {
    'version 1': stewards(FIRST),
    'version 2': stewards(SECOND),
    'version 3': stewards(THIRD),
    **PER_SERVER_BY_NAME,
}
ABLATIONS_BY_NAME: dict[str, PolicyFactory] = {
    'all': stewards(NOW),
    'no fairness': stewards(
        replace(
            NOW,
            queue=replace(NOW.queue, is_fair=False),
            shares=ShareSettings(headroom=0.0),
        )
    ),
    'no bound of slots': stewards(
        replace(NOW, shares=ShareSettings(headroom=0.0))
    ),
    'no steps of burst': stewards(
        replace(NOW, queue=replace(NOW.queue, burst_tokens=1.0))
    ),
    'no attained service': stewards(
        replace(NOW, queue=replace(NOW.queue, attained_factor=0.0))
    ),
    'no cached first': stewards(
        replace(NOW, queue=replace(NOW.queue, cached_factor=0.0))
    ),
    'no cache in routing': stewards(
        replace(NOW, routing=RoutingSettings(cache_credit=0.0))
    ),
    'no release of ended': stewards(NOW, release=False),
    'no spill': stewards(
        replace(NOW, spill=SpillSettings(margin_s=1e9), spills_per_tick=0)
    ),
    'no moves': stewards(replace(NOW, spills_per_tick=0)),
    'no early refusal': stewards(replace(NOW, refuse_early=False)),
}
