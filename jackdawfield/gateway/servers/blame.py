"""Find the request to blame among the suspects of several endings."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart

# Servers that end within this time have a common cause and count as one
# moment.
MOMENT_S = 0.1
# A request is convicted once servers ended under it at as many moments:
# before its answer had begun, with the answers of all others there begun;
ALONE_MOMENTS_TO_CONVICT = 2
# before its answer had begun;
EARLY_MOMENTS_TO_CONVICT = 3
# at any time;
MOMENTS_TO_CONVICT = 4
# at any time, also with a rival and below the share that follows.
MOMENTS_TO_CONVICT_DESPITE_RIVAL = 5
# Least share that a request's moments have of all moments between its first
# and its last. Where servers end whatever runs there, that share is low.
MIN_EXPLAINED_SHARE = 0.5


@dataclass(slots=True)
class Mark:
    """Holds one request's suspicion at one ending.

    `had_begun` tells that a part of the answer was passed on to the caller.
    `version` is that of the quarantine at the last change; `is_relayed` tells
    that it came from an instance which also told the others.
    """

    had_begun: bool
    is_cleared: bool
    version: int
    is_relayed: bool


@dataclass(slots=True)
class Ending:
    """Holds when a server ended and the requests that ran there."""

    at_s: float
    marks: dict[RequestDigest, Mark] = field(default_factory=dict)

    @property
    def early_count(self) -> int:
        """Return how many requests ran there whose answer had not begun."""
        return sum(not mark.had_begun for mark in self.marks.values())


@dataclass(frozen=True, slots=True, order=True)
class _Weight:
    """Holds how much points to a request, the most telling first.

    `share_of_blame` adds up, over its endings, one part in as many as there
    are suspects.
    """

    alone_moments: int
    early_moments: int
    moments: int
    share_of_blame: float

    @property
    def is_enough(self) -> bool:
        """Return whether a request without a rival is convicted."""
        return (
            self.alone_moments >= ALONE_MOMENTS_TO_CONVICT
            or self.early_moments >= EARLY_MOMENTS_TO_CONVICT
            or self.moments >= MOMENTS_TO_CONVICT
        )


def most_suspected(
    endings: Mapping[ServerStart, Ending],
    starts_by_digest: Mapping[RequestDigest, set[ServerStart]],
) -> RequestDigest | None:
    """Return the request to convict first, None if there is none.

    `starts_by_digest` holds the endings that each request may have caused.
    """
    repeated = {
        digest: starts
        for digest, starts in starts_by_digest.items()
        if len(starts) >= ALONE_MOMENTS_TO_CONVICT
    }
    weights = {
        digest: _weight(digest, [endings[start] for start in starts])
        for digest, starts in repeated.items()
    }
    ranked = sorted(weights, key=lambda d: (weights[d], d), reverse=True)
    for digest in ranked:
        weight = weights[digest]
        if weight.moments >= MOMENTS_TO_CONVICT_DESPITE_RIVAL:
            return digest
        if not weight.is_enough or not _explains_enough(
            endings, starts_by_digest, digest
        ):
            continue
        has_rival = any(
            other != digest
            and _is_rival(repeated[digest], weight, starts, weights[other])
            for other, starts in repeated.items()
        )
        if not has_rival:
            return digest
    return None


def _weight(digest: RequestDigest, endings: list[Ending]) -> _Weight:
    early = [e for e in endings if not e.marks[digest].had_begun]
    alone = [e for e in early if e.early_count == 1]
    return _Weight(
        moment_count(alone),
        moment_count(early),
        moment_count(endings),
        sum(1 / len(ending.marks) for ending in endings),
    )


def _explains_enough(
    endings: Mapping[ServerStart, Ending],
    starts_by_digest: Mapping[RequestDigest, set[ServerStart]],
    digest: RequestDigest,
) -> bool:
    """Return whether a request explains most of what ended meanwhile."""
    own = [endings[start] for start in starts_by_digest[digest]]
    first_s = min(ending.at_s for ending in own)
    last_s = max(ending.at_s for ending in own)
    starts = set().union(*starts_by_digest.values())
    meanwhile = [
        endings[start]
        for start in starts
        if first_s <= endings[start].at_s <= last_s
    ]
    share = moment_count(own) / moment_count(meanwhile)
    return share >= MIN_EXPLAINED_SHARE


def _is_rival(
    starts: set[ServerStart],
    weight: _Weight,
    other_starts: set[ServerStart],
    other_weight: _Weight,
) -> bool:
    """Return whether another request may be to blame instead of one.

    That is one that shares all its endings and has as many early moments, or
    that shares some of them and has more endings in all.
    """
    if starts <= other_starts:
        return other_weight.early_moments >= weight.early_moments
    return len(other_starts) > len(starts) and bool(starts & other_starts)


def moment_count(endings: Iterable[Ending]) -> int:
    """Return the number of moments at which servers ended."""
    count = 0
    last_s = 0.0
    for at_s in sorted(ending.at_s for ending in endings):
        if count == 0 or at_s - last_s >= MOMENT_S:
            count += 1
            last_s = at_s
    return count
