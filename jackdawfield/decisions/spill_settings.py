"""Define the settings by which requests leave their failure domain."""

from dataclasses import dataclass
from dataclasses import field
from math import inf

from jackdawfield.decisions.link_load import LinkSettings

BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class CrossingPrice:
    """Sets an operator's price of a crossing, in seconds of a call's wait."""

    call_s: float = 0.0
    megabyte_s: float = 0.0

    def price_s(self, size_bytes: int) -> float:
        """Return the price of a call of some bytes."""
        return self.call_s + self.megabyte_s * size_bytes / BYTES_PER_MB


@dataclass(frozen=True, slots=True)
class SpillSettings:
    """Sets when requests are spilled to another failure domain.

    A domain is preferred to the own one if it is faster by `margin_s` and
    the price of crossing, and by `first_margin_s` if nothing was sent there
    in the last `hold_s`. Requests that wait for less than `min_wait_s` stay.
    Reports older than `report_age_limit_s` are ignored.

    With `needs_open_slot`, requests are sent to open slots only and refused
    there if none is open; `reserve_share` of the slots is kept for a domain's
    own requests. Slots of other domains' requests that end within
    `offer_period_s` are offered again. A domain that returns most requests is
    paused for `return_pause_s` and longer, zero to never pause it. With
    `expects_past_wait`, a queued request is expected to wait at least as long
    again as it has waited. With `follows_contexts`, later requests of a
    program go to the domain to which its context has moved, as long as that
    pays. Without `compares_speed`, the servers of all domains are taken as
    equally fast.
    """

    margin_s: float = 1.0
    report_age_limit_s: float = 5.0
    first_margin_s: float = 0.0
    hold_s: float = 0.0
    min_wait_s: float = 0.0
    needs_open_slot: bool = False
    reserve_share: float = 0.0
    offer_period_s: float = 0.0
    return_pause_s: float = 0.0
    expects_past_wait: bool = False
    follows_contexts: bool = False
    compares_speed: bool = True
    domain_price: CrossingPrice = field(default_factory=CrossingPrice)
    region_price: CrossingPrice = field(
        default_factory=lambda: CrossingPrice(call_s=inf)
    )
    link: LinkSettings = field(default_factory=LinkSettings)
