"""Decide which requests end the backend servers that run them.

When a server ends, each request that was running there is a suspect of this
ending. A suspect that ends whole at any server is cleared. One that is a
suspect of several endings and not cleared is convicted: it is quarantined for
a term, and explains the endings under which it ran.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from enum import Enum

from jackdawfield.gateway.servers.blame import Ending
from jackdawfield.gateway.servers.blame import Mark
from jackdawfield.gateway.servers.blame import moment_count
from jackdawfield.gateway.servers.blame import most_suspected
from jackdawfield.gateway.servers.quarantine_term import Term
from jackdawfield.messages.fleet_quarantine import Conviction
from jackdawfield.messages.fleet_quarantine import EvidenceTold
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart
from jackdawfield.messages.fleet_quarantine import Suspicion

# Moments with unexplained endings from which on an instance runs a suspect at
# one server at a time.
MOMENTS_TO_WATCH = 2
# Time after an ending in which the instances report its suspects; it is
# settled, and can be judged, afterwards.
SETTLE_S = 0.15
# Length of one term.
QUARANTINE_S = 600.0
# Time after a quarantine in which a single ending brings the next one.
PROBATION_S = 3600.0
# Age at which an ending is forgotten.
EVIDENCE_KEPT_S = 600.0
# Limits of what one instance holds. The oldest ending gives way to a new one,
# and a lifted quarantine or the first to end. Of the suspects of one ending
# the first are held.
MAX_ENDINGS = 64
MAX_SUSPECTS = 64
MAX_CONVICTIONS = 256
# Servers that a quarantine names, the newest.
MAX_NAMED_SERVERS = 8


class Verdict(Enum):
    """Names how a request is treated."""

    # Sent as any other.
    FREE = 'free'
    # Held back until the endings of its servers are settled.
    UNDECIDED = 'undecided'
    # Sent by an instance to one server at a time.
    WATCHED = 'watched'
    # Not sent.
    QUARANTINED = 'quarantined'


class Quarantine:
    """Holds the endings of servers and the quarantined requests.

    Instances that have told each other the same come to the same result, in
    whichever order they learnt it.
    """

    def __init__(self) -> None:
        # Number of changes; each mark and term holds that of its last one.
        self.version = 0
        self._endings_by_start: dict[ServerStart, Ending] = {}
        self._terms_by_digest: dict[RequestDigest, Term] = {}
        # Moments at which servers ended under each suspect, without those
        # that a convicted request explains; None after a change.
        self._moment_counts_by_digest: dict[RequestDigest, int] | None = None
        # Time of the next judgement, None while nothing has changed.
        self._judge_at_s: float | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._endings_by_start and not self._terms_by_digest

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
            self._suspect(suspicion, now_s, is_relayed=False)

    def record_whole(self, digest: RequestDigest, now_s: float) -> None:
        """Clear a request that ended whole at a server."""
        if self._clear_marks(digest):
            self._judge_at_s = now_s
        self.lift(digest)

    def lift(self, digest: RequestDigest) -> bool:
        """Lift a request's quarantine; return whether there was one."""
        term = self._terms_by_digest.get(digest)
        if term is None or term.is_lifted:
            return False
        self._lift_term(term, is_relayed=False)
        self._clear_marks(digest)
        return True

    def _clear_marks(self, digest: RequestDigest) -> bool:
        """Clear a request at all endings; return whether it was suspected."""
        starts = self._open_starts(digest)
        for start in starts:
            self._clear(
                self._endings_by_start[start].marks[digest], is_relayed=False
            )
        return bool(starts)

    def verdict(self, digest: RequestDigest, now_s: float) -> Verdict:
        """Return how to treat a request now."""
        self.judge(now_s)
        term = self._terms_by_digest.get(digest)
        if term is not None and not term.is_lifted:
            if now_s < term.until_s:
                return Verdict.QUARANTINED
            return Verdict.WATCHED
        if self._moment_counts_by_digest is None:
            self._moment_counts_by_digest = self._unexplained_moment_counts()
        if self._moment_counts_by_digest.get(digest, 0) >= MOMENTS_TO_WATCH:
            is_settled = self._is_settled(digest, now_s)
            return Verdict.WATCHED if is_settled else Verdict.UNDECIDED
        return Verdict.FREE

    def _is_settled(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether all endings of a request can be judged."""
        return all(
            _settled_at_s(self._endings_by_start[start]) <= now_s
            for start in self._open_starts(digest)
        )

    def ending_count(self, digest: RequestDigest) -> int:
        """Return how many servers ended while a request ran there."""
        return len(self._open_starts(digest))

    def has_ended(self, start: ServerStart) -> bool:
        """Return whether a server is known to have ended."""
        return start in self._endings_by_start

    def conviction(
        self, digest: RequestDigest, now_s: float
    ) -> Conviction | None:
        """Return a request's quarantine, None if it has none."""
        term = self._terms_by_digest.get(digest)
        if term is None:
            return None
        return term.conviction(digest, now_s)

    def quarantined(self, now_s: float) -> list[Conviction]:
        """Return the quarantines that hold now."""
        self.judge(now_s)
        return [
            term.conviction(digest, now_s)
            for digest, term in self._terms_by_digest.items()
            if not term.is_lifted and now_s < term.until_s
        ]

    def suspect_count(self) -> int:
        """Return the number of requests that are suspected."""
        return len(
            {
                digest
                for ending in self._endings_by_start.values()
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

        With `unrelayed_only`, what a member has told is left out. The result
        is marked as `is_relayed`.
        """

        def is_new(item: Mark | Term) -> bool:
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
                for start, ending in self._endings_by_start.items()
                for digest, mark in ending.marks.items()
                if is_new(mark)
            ),
            tuple(
                term.conviction(digest, now_s)
                for digest, term in self._terms_by_digest.items()
                if is_new(term)
            ),
            is_relayed,
        )

    def merge(self, evidence: EvidenceTold, now_s: float) -> list[ServerStart]:
        """Add what another instance knows; return the servers new here."""
        known = set(self._endings_by_start)
        for suspicion in evidence.suspicions:
            self._suspect(suspicion, now_s, evidence.is_relayed)
        for conviction in evidence.convictions:
            self._merge_conviction(conviction, now_s, evidence.is_relayed)
        return [
            start for start in self._endings_by_start if start not in known
        ]

    def expire(self, now_s: float) -> None:
        """Remove what is too old to matter."""
        oldest_s = now_s - EVIDENCE_KEPT_S
        old = [
            s for s, e in self._endings_by_start.items() if e.at_s < oldest_s
        ]
        for start in old:
            del self._endings_by_start[start]
        if old:
            self._judge_at_s = now_s
        over = [
            digest
            for digest, term in self._terms_by_digest.items()
            if now_s > term.until_s + PROBATION_S
        ]
        for digest in over:
            del self._terms_by_digest[digest]

    def judge(self, now_s: float) -> None:
        """Convict the requests to which the evidence points."""
        if self._judge_at_s is None or now_s < self._judge_at_s:
            return
        self._judge_at_s = self._next_settled_s(now_s)
        self._lift_explained()
        self._convict_again(now_s)
        self._convict_new(now_s)
        self._moment_counts_by_digest = None

    def _next_settled_s(self, now_s: float) -> float | None:
        """Return when the evidence that is too new now can be judged."""
        return min(
            (
                _settled_at_s(ending)
                for ending in self._endings_by_start.values()
                if _settled_at_s(ending) > now_s
            ),
            default=None,
        )

    def _suspect(
        self, suspicion: Suspicion, now_s: float, is_relayed: bool
    ) -> None:
        at_s = now_s - suspicion.age_s
        if suspicion.age_s > EVIDENCE_KEPT_S:
            return
        ending = self._endings_by_start.get(suspicion.start)
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
        self._moment_counts_by_digest = None
        due_s = max(now_s, _settled_at_s(ending))
        if self._judge_at_s is None or due_s < self._judge_at_s:
            self._judge_at_s = due_s

    def _add_ending(self, start: ServerStart, at_s: float) -> Ending:
        if len(self._endings_by_start) >= MAX_ENDINGS:
            oldest = min(
                self._endings_by_start,
                key=lambda known: self._endings_by_start[known].at_s,
            )
            del self._endings_by_start[oldest]
        ending = Ending(at_s)
        self._endings_by_start[start] = ending
        return ending

    def _clear(self, mark: Mark, is_relayed: bool) -> None:
        self.version += 1
        self._moment_counts_by_digest = None
        mark.is_cleared = True
        mark.version = self.version
        mark.is_relayed = is_relayed

    def _lift_term(self, term: Term, is_relayed: bool) -> None:
        self.version += 1
        self._moment_counts_by_digest = None
        term.is_lifted = True
        term.version = self.version
        term.is_relayed = is_relayed

    def _merge_conviction(
        self, conviction: Conviction, now_s: float, is_relayed: bool
    ) -> None:
        if conviction.left_s + PROBATION_S < 0:
            return
        known = self._terms_by_digest.get(conviction.digest)
        if known is not None and known.number >= conviction.term:
            is_same = known.number == conviction.term
            if is_same and conviction.is_lifted and not known.is_lifted:
                self._lift_term(known, is_relayed)
            return
        self._add_term(conviction, now_s, is_relayed, support=frozenset())

    def _add_term(
        self,
        conviction: Conviction,
        now_s: float,
        is_relayed: bool,
        support: frozenset[ServerStart],
    ) -> None:
        if conviction.digest not in self._terms_by_digest:
            self._make_room_for_term()
        self.version += 1
        self._moment_counts_by_digest = None
        self._terms_by_digest[conviction.digest] = Term(
            conviction.term,
            now_s + conviction.left_s,
            conviction.server_ids,
            support,
            conviction.is_lifted,
            self.version,
            is_relayed,
        )

    def _make_room_for_term(self) -> None:
        if len(self._terms_by_digest) < MAX_CONVICTIONS:
            return
        first = min(
            self._terms_by_digest,
            key=lambda digest: (
                not self._terms_by_digest[digest].is_lifted,
                self._terms_by_digest[digest].until_s,
            ),
        )
        del self._terms_by_digest[first]

    def _convict(
        self,
        digest: RequestDigest,
        support: Iterable[ServerStart],
        now_s: float,
    ) -> None:
        starts = sorted(
            support, key=lambda start: self._endings_by_start[start].at_s
        )
        known = self._terms_by_digest.get(digest)
        names = tuple(start.server_id for start in starts)
        conviction = Conviction(
            digest,
            known.number + 1 if known is not None else 1,
            QUARANTINE_S,
            names[-MAX_NAMED_SERVERS:],
        )
        self._add_term(
            conviction, now_s, is_relayed=False, support=frozenset(starts)
        )

    def _convict_again(self, now_s: float) -> None:
        """Convict what ended a server after its last quarantine."""
        for digest, term in list(self._terms_by_digest.items()):
            if term.is_lifted or now_s < term.until_s:
                continue
            starts = [
                start
                for start in self._open_starts(digest)
                if self._endings_by_start[start].at_s > term.until_s
            ]
            if starts:
                self._convict(digest, starts, now_s)

    def _convict_new(self, now_s: float) -> None:
        """Convict what is to blame for several endings."""
        settled = [
            start
            for start in self._unexplained_starts()
            if _settled_at_s(self._endings_by_start[start]) <= now_s
        ]
        starts_by_digest = self._starts_by_suspect(settled)
        while True:
            found = most_suspected(self._endings_by_start, starts_by_digest)
            if found is None:
                return
            support = set(starts_by_digest[found])
            self._convict(found, support, now_s)
            for starts in starts_by_digest.values():
                starts -= support

    def _unexplained_starts(self) -> list[ServerStart]:
        """Return the endings under which no convicted request ran."""
        return [
            start
            for start, ending in self._endings_by_start.items()
            if not self._is_explained(ending)
        ]

    def _starts_by_suspect(
        self, starts: Iterable[ServerStart]
    ) -> dict[RequestDigest, set[ServerStart]]:
        """Return the given endings by each of their uncleared suspects."""
        found: dict[RequestDigest, set[ServerStart]] = {}
        for start in starts:
            for digest, mark in self._endings_by_start[start].marks.items():
                if not mark.is_cleared:
                    found.setdefault(digest, set()).add(start)
        return found

    def _is_explained(self, ending: Ending) -> bool:
        return any(
            digest in self._terms_by_digest
            and not self._terms_by_digest[digest].is_lifted
            for digest, mark in ending.marks.items()
            if not mark.is_cleared
        )

    def _open_starts(self, digest: RequestDigest) -> list[ServerStart]:
        """Return the endings of which a request is an uncleared suspect."""
        return [
            start
            for start, ending in self._endings_by_start.items()
            if digest in ending.marks and not ending.marks[digest].is_cleared
        ]

    def _unexplained_moment_counts(self) -> dict[RequestDigest, int]:
        """Count each suspect's moments that no convicted request explains."""
        starts_by_digest = self._starts_by_suspect(self._unexplained_starts())
        return {
            digest: moment_count(
                self._endings_by_start[start] for start in starts
            )
            for digest, starts in starts_by_digest.items()
        }

    def _lift_explained(self) -> None:
        """Lift convictions that late reports explain by another request.

        That one ran at all endings of the support, and at others.
        """
        known = set(self._endings_by_start)
        starts_by_digest = self._starts_by_suspect(self._endings_by_start)
        for digest, term in self._active_terms():
            if not term.support or not term.support <= known:
                continue
            if any(
                other != digest and starts > term.support
                for other, starts in starts_by_digest.items()
            ):
                self._lift_term(term, is_relayed=False)

    def _active_terms(self) -> Iterator[tuple[RequestDigest, Term]]:
        for digest, term in list(self._terms_by_digest.items()):
            if not term.is_lifted:
                yield digest, term


def _settled_at_s(ending: Ending) -> float:
    return ending.at_s + SETTLE_S
