"""Set a pool up for the calls of gateways, which last up to a second."""

from math import inf

from jackdawfield.decisions.early_refusal import RefusalSettings
from jackdawfield.decisions.finish_queue import FinishOrder
from jackdawfield.decisions.gateway_spill import GATEWAY_SPILL
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.slot_placement import PlacementSettings
from jackdawfield.decisions.slot_shares import ShareSettings
from jackdawfield.decisions.spill_settings import SpillSettings


def gateway_pool_settings(
    spill: SpillSettings = GATEWAY_SPILL,
) -> PoolSettings:
    """Return the settings of a pool that an owner runs for gateways."""
    return PoolSettings(
        queue=FinishOrder(),
        routing=PlacementSettings(),
        shares=ShareSettings(headroom=0.0, active_s=1.0),
        spill=spill,
        refusal=RefusalSettings(
            first_wait_fraction=0.25,
            counts_call=True,
            counts_outage=True,
            min_retry_after_s=0.1,
            max_retry_after_s=5.0,
            spaces_returns=True,
        ),
        waiting_per_slot=4.0,
        home_ttl_s=3.0,
        initial_call_s=0.2,
        initial_prefill_token_s=0.00001,
        slow_ratio=inf,
        recalls_stalled=False,
    )
