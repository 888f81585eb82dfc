"""Set the pool up for calls of a gateway, which last up to a second."""

from jackdawfield.decisions.pool_settings import PoolSettings


def gateway_pool_settings() -> PoolSettings:
    """Return the settings of a pool that an owner runs for gateways."""
    return PoolSettings(waiting_per_slot=4.0, home_ttl_s=3.0)
