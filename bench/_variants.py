"""Define the policies that the benches compare."""

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
from jackdawfield.decisions.spill_settings import SpillSettings

PolicyFactory = Callable[[Fleet], Policy]

CURRENT_QUEUE = QueueSettings()
CURRENT_SETTINGS = PoolSettings(queue=CURRENT_QUEUE)
STRICT_QUEUE = QueueSettings(
    burst_tokens=1.0, cached_factor=0.0, ageing_tokens_per_s=400.0
)
LOOSE_SHARES = ShareSettings(headroom=2.0, unlimited_fill=0.0, min_share=0.0)
SETTINGS_V1 = replace(
    CURRENT_SETTINGS,
    queue=STRICT_QUEUE,
    shares=LOOSE_SHARES,
    spill=SpillSettings(margin_s=0.3),
    spills_per_tick=0,
)
SETTINGS_V2 = replace(
    SETTINGS_V1, queue=replace(STRICT_QUEUE, ageing_tokens_per_s=40.0)
)
SETTINGS_V3 = replace(SETTINGS_V2, shares=CURRENT_SETTINGS.shares)


def steward_policy(
    settings: PoolSettings, release: bool = True
) -> PolicyFactory:
    """Return a policy of one steward per pool with the given settings."""
    return partial(Stewards, settings=settings, release=release)


BASELINES_BY_NAME: dict[str, PolicyFactory] = {
    'round robin': RoundRobin,
    'least outstanding': LeastOutstanding,
    'shortest first': ShortestFirst,
}
CURRENT_NAME = 'steward'
POLICIES_BY_NAME: dict[str, PolicyFactory] = {
    **BASELINES_BY_NAME,
    CURRENT_NAME: steward_policy(CURRENT_SETTINGS),
}
PER_SERVER_BY_NAME: dict[str, PolicyFactory] = {
    'steward per pool': steward_policy(CURRENT_SETTINGS),
    'steward per server': partial(ServerStewards, settings=CURRENT_SETTINGS),
}
VERSIONS_BY_NAME: dict[str, PolicyFactory] = {
    'version 1': steward_policy(SETTINGS_V1),
    'version 2': steward_policy(SETTINGS_V2),
    'version 3': steward_policy(SETTINGS_V3),
    **PER_SERVER_BY_NAME,
}
ABLATIONS_BY_NAME: dict[str, PolicyFactory] = {
    'all': steward_policy(CURRENT_SETTINGS),
    'no fairness': steward_policy(
        replace(
            CURRENT_SETTINGS,
            queue=replace(CURRENT_QUEUE, is_fair=False),
            shares=ShareSettings(headroom=0.0),
        )
    ),
    'no limit of slots': steward_policy(
        replace(CURRENT_SETTINGS, shares=ShareSettings(headroom=0.0))
    ),
    'no burst of tokens': steward_policy(
        replace(
            CURRENT_SETTINGS,
            queue=replace(CURRENT_QUEUE, burst_tokens=1.0),
        )
    ),
    'no attained service': steward_policy(
        replace(
            CURRENT_SETTINGS,
            queue=replace(CURRENT_QUEUE, attained_factor=0.0),
        )
    ),
    'no cached priority': steward_policy(
        replace(
            CURRENT_SETTINGS,
            queue=replace(CURRENT_QUEUE, cached_factor=0.0),
        )
    ),
    'no cache in routing': steward_policy(
        replace(CURRENT_SETTINGS, routing=RoutingSettings(cache_credit=0.0))
    ),
    'no release of ended': steward_policy(CURRENT_SETTINGS, release=False),
    'no spill': steward_policy(
        replace(
            CURRENT_SETTINGS,
            spill=SpillSettings(margin_s=1e9),
            spills_per_tick=0,
        )
    ),
    'no queued spill': steward_policy(
        replace(CURRENT_SETTINGS, spills_per_tick=0)
    ),
    'no early refusal': steward_policy(
        replace(CURRENT_SETTINGS, refuse_early=False)
    ),
}
