"""Decide which requests end the backend servers that run them.

When a server ends, each request that was running there is a suspect. The one
to blame is among the suspects of several servers, and never ends whole.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from jackdawfield.gateway.servers.blame import Ending
from jackdawfield.gateway.servers.blame import Mark
from jackdawfield.gateway.servers.blame import moment_count
from jackdawfield.gateway.servers.blame import most_suspected
from jackdawfield.messages.fleet_quarantine import Conviction
from jackdawfield.messages.fleet_quarantine import EvidenceTold
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart
from jackdawfield.messages.fleet_quarantine import Suspicion
from jackdawfield.model import ServerId

# From this many on, an instance runs the request at one server at a time.
ENDINGS_TO_WATCH = 2
# Time in which the instances report who else was running on a server.
SETTLE_S = 0.15
QUARANTINE_S = 600.0
# Time after a quarantine in which a single ending brings the next one.
PROBATION_S = 3600.0
EVIDENCE_KEPT_S = 600.0
MAX_ENDINGS = 64
MAX_SUSPECTS = 64
MAX_CONVICTIONS = 256
MAX_NAMED_SERVERS = 8


class Verdict(Enum):
    """Names how a request is treated."""

    FREE = 'free'
    UNDECIDED = 'undecided'
    WATCHED = 'watched'
    QUARANTINED = 'quarantined'


@dataclass(slots=True)
class _Term:
    """Holds the newest quarantine of a request.

    The support are the endings for which the request was convicted.
    """

    number: int
    until_s: float
    server_ids: tuple[ServerId, ...]
    support: frozenset[ServerStart]
    is_lifted: bool
    version: int
    is_relayed: bool


class Quarantine:
    """Holds the endings of servers and the quarantined requests.

    Instances that have told each other the same come to the same result, in
    whichever order they learnt it.
    """

    def __init__(self) -> None:
        self.version = 0
        self._endings: dict[ServerStart, Ending] = {}
        self._terms: dict[RequestDigest, _Term] = {}
        # Unexplained moments by request, None after a change.
        self._counts: dict[RequestDigest, int] | None = None
        # Time of the next judgement, None while nothing has changed.
        self._judge_at_s: float | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._endings and not self._terms

    def record_ending(
        self,
        start: ServerStart,
        had_begun_by_digest: Mapping[RequestDigest, bool],
        now_s: float,
    ) -> None:
        """Record a server that ended and the requests that ran there.

        Of each request it is known whether its answer had begun.
        """
        for digest, had_begun in had_begun_by_digest.items():
            suspicion = Suspicion(start, 0.0, digest, had_begun)
            self._suspect(suspicion, now_s, False)

    def record_whole(self, digest: RequestDigest, now_s: float) -> None:
        """Clear a request that ended whole at a server."""
        for ending in self._endings.values():
            mark = ending.marks.get(digest)
            if mark is not None and not mark.is_cleared:
                self._clear(mark, False)
                self._judge_at_s = now_s
        self.lift(digest)

    def lift(self, digest: RequestDigest) -> bool:
        """Lift a request's quarantine; return whether there was one."""
        term = self._terms.get(digest)
        if term is None or term.is_lifted:
            return False
        self._lift_term(term, False)
        for ending in self._endings.values():
            mark = ending.marks.get(digest)
            if mark is not None and not mark.is_cleared:
                self._clear(mark, False)
        return True

    def verdict(self, digest: RequestDigest, now_s: float) -> Verdict:
        """Return how to treat a request now."""
        self.judge(now_s)
        term = self._terms.get(digest)
        if term is not None and not term.is_lifted:
            if now_s < term.until_s:
                return Verdict.QUARANTINED
            return Verdict.WATCHED
        if self._counts is None:
            self._counts = self._open_counts()
        if self._counts.get(digest, 0) >= ENDINGS_TO_WATCH:
            is_settled = self._is_settled(digest, now_s)
            return Verdict.WATCHED if is_settled else Verdict.UNDECIDED
        return Verdict.FREE

    def _is_settled(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether all endings of a request can be judged."""
        return all(
            self._endings[start].at_s + SETTLE_S <= now_s
            for start in self._open_starts(digest)
        )

    def ending_count(self, digest: RequestDigest) -> int:
        """Return how many servers ended while a request ran there."""
        return len(self._open_starts(digest))

    def has_ended(self, start: ServerStart) -> bool:
        """Return whether a server is known to have ended."""
        return start in self._endings

    def conviction(
        self, digest: RequestDigest, now_s: float
    ) -> Conviction | None:
        """Return a request's quarantine, None if it has none."""
        term = self._terms.get(digest)
        if term is None:
            return None
        return _conviction(digest, term, now_s)

    def quarantined(self, now_s: float) -> list[Conviction]:
        """Return the quarantines that hold now."""
        self.judge(now_s)
        return [
            _conviction(digest, term, now_s)
            for digest, term in self._terms.items()
            if not term.is_lifted and now_s < term.until_s
        ]

    def suspect_count(self) -> int:
        """Return the number of requests that are suspected."""
        return len(
            {
                digest
                for ending in self._endings.values()
                for digest, mark in ending.marks.items()
                if not mark.is_cleared
            }
        )

    def evidence_since(
        self,
        version: int,
        now_s: float,
        unrelayed_only: bool = False,
        is_relayed: bool = False,
    ) -> EvidenceTold:
        """Return what changed after a version.

        With `unrelayed_only`, what a member has told is left out.
        """

        def is_new(item: Mark | _Term) -> bool:
            is_told = unrelayed_only and item.is_relayed
            return item.version > version and not is_told

        return EvidenceTold(
            tuple(
                Suspicion(
                    start,
                    now_s - ending.at_s,
                    digest,
                    mark.had_begun,
                    mark.is_cleared,
                )
                for start, ending in self._endings.items()
                for digest, mark in ending.marks.items()
                if is_new(mark)
            ),
            tuple(
                _conviction(digest, term, now_s)
                for digest, term in self._terms.items()
                if is_new(term)
            ),
            is_relayed,
        )

    def merge(self, evidence: EvidenceTold, now_s: float) -> list[ServerStart]:
        """Add what another instance knows; return the servers new here."""
        known = set(self._endings)
        for suspicion in evidence.suspicions:
            self._suspect(suspicion, now_s, evidence.is_relayed)
        for conviction in evidence.convictions:
            self._merge_conviction(conviction, now_s, evidence.is_relayed)
        return [start for start in self._endings if start not in known]

    def expire(self, now_s: float) -> None:
        """Remove what is too old to matter."""
        oldest_s = now_s - EVIDENCE_KEPT_S
        old = [s for s, e in self._endings.items() if e.at_s < oldest_s]
        for start in old:
            del self._endings[start]
        if old:
            self._judge_at_s = now_s
        over = [
            digest
            for digest, term in self._terms.items()
            if now_s > term.until_s + PROBATION_S
        ]
        for digest in over:
            del self._terms[digest]

    def judge(self, now_s: float) -> None:
        """Convict the requests to which the evidence points."""
        if self._judge_at_s is None or now_s < self._judge_at_s:
            return
        self._judge_at_s = self._next_settled_s(now_s)
        self._lift_explained()
        self._convict_again(now_s)
        self._convict_new(now_s)
        self._counts = None

    def _next_settled_s(self, now_s: float) -> float | None:
        """Return when the evidence that is too new now can be judged."""
        return min(
            (
                ending.at_s + SETTLE_S
                for ending in self._endings.values()
                if ending.at_s + SETTLE_S > now_s
            ),
            default=None,
        )

    def _suspect(
        self, suspicion: Suspicion, now_s: float, is_relayed: bool
    ) -> None:
        at_s = now_s - suspicion.age_s
        if suspicion.age_s > EVIDENCE_KEPT_S:
            return
        ending = self._endings.get(suspicion.start)
        if ending is None:
            ending = self._add_ending(suspicion.start, at_s)
        mark = ending.marks.get(suspicion.digest)
        if mark is None:
            if len(ending.marks) >= MAX_SUSPECTS:
                return
            self.version += 1
            ending.marks[suspicion.digest] = Mark(
                suspicion.had_begun,
                suspicion.is_cleared,
                self.version,
                is_relayed,
            )
        elif suspicion.is_cleared and not mark.is_cleared:
            self._clear(mark, is_relayed)
        else:
            return
        self._counts = None
        due_s = max(now_s, ending.at_s + SETTLE_S)
        if self._judge_at_s is None or due_s < self._judge_at_s:
            self._judge_at_s = due_s

    def _add_ending(self, start: ServerStart, at_s: float) -> Ending:
        if len(self._endings) >= MAX_ENDINGS:
            oldest = min(
                self._endings, key=lambda known: self._endings[known].at_s
            )
            del self._endings[oldest]
        ending = Ending(at_s)
        self._endings[start] = ending
        return ending

    def _clear(self, mark: Mark, is_relayed: bool) -> None:
        self.version += 1
        self._counts = None
        mark.is_cleared = True
        mark.version = self.version
        mark.is_relayed = is_relayed

    def _lift_term(self, term: _Term, is_relayed: bool) -> None:
        self.version += 1
        self._counts = None
        term.is_lifted = True
        term.version = self.version
        term.is_relayed = is_relayed

    def _merge_conviction(
        self, conviction: Conviction, now_s: float, is_relayed: bool
    ) -> None:
        if conviction.left_s + PROBATION_S < 0:
            return
        known = self._terms.get(conviction.digest)
        if known is not None and known.number >= conviction.term:
            is_same = known.number == conviction.term
            if is_same and conviction.is_lifted and not known.is_lifted:
                self._lift_term(known, is_relayed)
            return
        self._add_term(conviction, now_s, is_relayed, frozenset())

    def _add_term(
        self,
        conviction: Conviction,
        now_s: float,
        is_relayed: bool,
        support: frozenset[ServerStart],
    ) -> None:
        if conviction.digest not in self._terms:
            self._make_room_for_term()
        self.version += 1
        self._counts = None
        self._terms[conviction.digest] = _Term(
            conviction.term,
            now_s + conviction.left_s,
            conviction.server_ids,
            support,
            conviction.is_lifted,
            self.version,
            is_relayed,
        )

    def _make_room_for_term(self) -> None:
        if len(self._terms) < MAX_CONVICTIONS:
            return
        first = min(
            self._terms,
            key=lambda digest: (
                not self._terms[digest].is_lifted,
                self._terms[digest].until_s,
            ),
        )
        del self._terms[first]

    def _convict(
        self,
        digest: RequestDigest,
        support: Iterable[ServerStart],
        now_s: float,
    ) -> None:
        starts = sorted(support, key=lambda start: self._endings[start].at_s)
        known = self._terms.get(digest)
        names = tuple(start.server_id for start in starts)
        conviction = Conviction(
            digest,
            known.number + 1 if known is not None else 1,
            QUARANTINE_S,
            names[-MAX_NAMED_SERVERS:],
        )
        self._add_term(conviction, now_s, False, frozenset(starts))

    def _convict_again(self, now_s: float) -> None:
        """Convict what ended a server after its last quarantine."""
        for digest, term in list(self._terms.items()):
            if term.is_lifted or now_s < term.until_s:
                continue
            starts = [
                start
                for start in self._open_starts(digest)
                if self._endings[start].at_s > term.until_s
            ]
            if starts:
                self._convict(digest, starts, now_s)

    def _convict_new(self, now_s: float) -> None:
        """Convict what is to blame for several endings."""
        starts_by_digest = self._unexplained_starts(now_s)
        while True:
            found = most_suspected(self._endings, starts_by_digest)
            if found is None:
                return
            support = set(starts_by_digest[found])
            self._convict(found, support, now_s)
            for starts in starts_by_digest.values():
                starts -= support

    def _unexplained_starts(
        self, now_s: float
    ) -> dict[RequestDigest, set[ServerStart]]:
        """Return the settled endings under which no convicted request ran."""
        found: dict[RequestDigest, set[ServerStart]] = {}
        for start, ending in self._endings.items():
            is_settled = ending.at_s + SETTLE_S <= now_s
            if not is_settled or self._is_explained(ending):
                continue
            for digest, mark in ending.marks.items():
                if not mark.is_cleared:
                    found.setdefault(digest, set()).add(start)
        return found

    def _is_explained(self, ending: Ending) -> bool:
        return any(
            digest in self._terms and not self._terms[digest].is_lifted
            for digest, mark in ending.marks.items()
            if not mark.is_cleared
        )

    def _open_starts(self, digest: RequestDigest) -> list[ServerStart]:
        return [
            start
            for start, ending in self._endings.items()
            if digest in ending.marks and not ending.marks[digest].is_cleared
        ]

    def _open_counts(self) -> dict[RequestDigest, int]:
        """Return the moments that no convicted request explains."""
        starts_by_digest: dict[RequestDigest, set[ServerStart]] = {}
        for start, ending in self._endings.items():
            if self._is_explained(ending):
                continue
            for digest, mark in ending.marks.items():
                if not mark.is_cleared:
                    starts_by_digest.setdefault(digest, set()).add(start)
        return {
            digest: moment_count(self._endings[start] for start in starts)
            for digest, starts in starts_by_digest.items()
        }

    def _lift_explained(self) -> None:
        """Lift convictions that late reports explain by another request."""
        starts_by_digest = self._open_starts_by_digest()
        for digest, term in self._active_terms():
            if not term.support or not term.support <= set(self._endings):
                continue
            if any(
                other != digest and starts > term.support
                for other, starts in starts_by_digest.items()
            ):
                self._lift_term(term, False)

    def _open_starts_by_digest(
        self,
    ) -> dict[RequestDigest, set[ServerStart]]:
        found: dict[RequestDigest, set[ServerStart]] = {}
        for start, ending in self._endings.items():
            for digest, mark in ending.marks.items():
                if not mark.is_cleared:
                    found.setdefault(digest, set()).add(start)
        return found

    def _active_terms(self) -> Iterator[tuple[RequestDigest, _Term]]:
        for digest, term in list(self._terms.items()):
            if not term.is_lifted:
                yield digest, term


def _conviction(
    digest: RequestDigest, term: _Term, now_s: float
) -> Conviction:
    return Conviction(
        digest,
        term.number,
        term.until_s - now_s,
        term.server_ids,
        term.is_lifted,
    )
