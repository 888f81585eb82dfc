"""Divide the open slots of a failure domain among the other domains."""

from collections.abc import Mapping
from collections.abc import Set

from jackdawfield.decisions.placement import rendezvous_score
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
