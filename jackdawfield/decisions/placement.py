"""Choose owners of keys by rendezvous hashing."""

from collections.abc import Iterable
from collections.abc import Mapping
from hashlib import blake2b
from typing import TypeVar

from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import Member

Candidate = TypeVar('Candidate', bound=str)


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a key."""
    digest = blake2b(f'{key}\0{candidate}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def choose_owner(
    key: str, candidates: Iterable[Candidate]
) -> Candidate | None:
    """Return the candidate with the highest score, None without any."""
    return max(
        candidates, key=lambda item: rendezvous_score(key, item), default=None
    )


def owner_in_domain(
    key: str,
    domain_id: DomainId,
    members_by_id: Mapping[InstanceId, Member],
) -> InstanceId | None:
    """Return the owner of a key among a failure domain's live members."""
    return choose_owner(
        key,
        (
            member.instance_id
            for member in members_by_id.values()
            if member.domain_id == domain_id and not member.leaving
        ),
    )
