"""Name the seats of the fleet's voting members.

Each failure domain has a fixed number of seats, each held by one instance at
a time. Only instances that hold a seat own rates and vote on views of the
table of members, so that this costs the same in a fleet of any size.
"""

from collections.abc import Iterable
from typing import NewType

from jackdawfield.model import DomainId

SeatId = NewType('SeatId', str)
# With more failure domains, fewer seats in each make as safe a majority.
FEW_DOMAINS = 4
SEATS_IN_FEW_DOMAINS = 3
SEATS_IN_MANY_DOMAINS = 2


def seats_by_domain(
    domain_ids: Iterable[DomainId],
) -> dict[DomainId, tuple[SeatId, ...]]:
    """Return the seats of each failure domain."""
    domains = sorted(domain_ids)
    is_few = len(domains) <= FEW_DOMAINS
    count = SEATS_IN_FEW_DOMAINS if is_few else SEATS_IN_MANY_DOMAINS
    return {
        domain: tuple(SeatId(f'{domain}/{n}') for n in range(count))
        for domain in domains
    }
