"""Divide the open slots of a failure domain among the other domains."""

from collections.abc import Mapping
from collections.abc import Set
from math import ceil

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.model import DomainId


def divide_slots(
    own_id: DomainId,
    open_slots: int,
    weights_by_domain: Mapping[DomainId, int],
) -> dict[DomainId, int]:
    """Return the slots offered to each domain, in proportion to its weight.

    The offers together are never more than the open slots, so domains that
    send calls at the same time do not send too many.
    """
    total = sum(weights_by_domain.values())
    if total <= 0 or open_slots <= 0:
        return dict.fromkeys(weights_by_domain, 0)
    exact_by_domain = {
        domain_id: open_slots * weight / total
        for domain_id, weight in weights_by_domain.items()
    }
    offers_by_domain = {
        domain_id: int(exact) for domain_id, exact in exact_by_domain.items()
    }
    by_remainder = sorted(
        weights_by_domain,
        key=lambda domain_id: (
            offers_by_domain[domain_id] - exact_by_domain[domain_id],
            -rendezvous_score(own_id, domain_id),
        ),
    )
    rest = open_slots - sum(offers_by_domain.values())
    for domain_id in by_remainder[:rest]:
        offers_by_domain[domain_id] += 1
    return offers_by_domain


def weights_of(
    queued_by_domain: Mapping[DomainId, int], near_ids: Set[DomainId]
) -> dict[DomainId, int]:
    """Return the weights by which slots are offered to domains.

    A near domain, which is one of the own region, has a weight also while
    nothing is queued there.
    """
    return {
        domain_id: queued + (domain_id in near_ids)
        for domain_id, queued in queued_by_domain.items()
    }


def slots_for_others(
    open_slots: int, limit: int, queued: int, settings: SpillSettings
) -> int:
    """Return the open slots that requests of other domains may take.

    `limit` is how many requests the usable servers may have in flight.
    """
    if settings.needs_open_slot and queued:
        return 0
    return max(0, open_slots - ceil(settings.reserve_share * limit))


def slots_to_offer(
    slots: int,
    in_flight_of_others: int,
    mean_call_s: float,
    queued: int,
    settings: SpillSettings,
) -> int:
    """Return how many requests of other domains may be sent here.

    `slots` are those open for them; some of theirs end before the next offer.
    """
    if not settings.offer_period_s or queued:
        return slots
    ending_share = 1.0
    if mean_call_s:
        ending_share = min(1.0, settings.offer_period_s / mean_call_s)
    return slots + round(in_flight_of_others * ending_share)
