"""Set when calls of a gateway, which last up to a second, are spilled."""

from dataclasses import replace

from jackdawfield.decisions.link_load import LinkSettings
from jackdawfield.decisions.spill_settings import CrossingPrice
from jackdawfield.decisions.spill_settings import SpillSettings

DOMAIN_PRICE = CrossingPrice(call_s=0.005, megabyte_s=0.01)
REGION_PRICE = CrossingPrice(call_s=0.05, megabyte_s=0.3)
GATEWAY_SPILL = SpillSettings(
    margin_s=0.02,
    first_margin_s=0.05,
    hold_s=2.0,
    min_wait_s=0.005,
    report_age_limit_s=2.0,
    needs_open_slot=True,
    reserve_share=0.02,
    offer_period_s=0.25,
    return_pause_s=0.25,
    expects_past_wait=True,
    follows_contexts=True,
    compares_speed=False,
    domain_price=DOMAIN_PRICE,
    region_price=REGION_PRICE,
)


def gateway_spill_settings(
    domain_price: CrossingPrice = DOMAIN_PRICE,
    region_price: CrossingPrice = REGION_PRICE,
    link: LinkSettings | None = None,
) -> SpillSettings:
    """Return the settings with an operator's prices and link."""
    return replace(
        GATEWAY_SPILL,
        domain_price=domain_price,
        region_price=region_price,
        link=link or LinkSettings(),
    )
