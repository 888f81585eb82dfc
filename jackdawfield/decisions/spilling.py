"""Choose another failure domain for requests that would wait too long."""

from dataclasses import dataclass
from math import inf

from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId


@dataclass(frozen=True, slots=True)
class SpillSettings:
    """Sets when requests are spilled to another failure domain.

    A domain is preferred to the own one if it is faster by `margin_s`.
    Reports older than `report_age_limit_s` are ignored.
    """

    margin_s: float = 1.0
    report_age_limit_s: float = 5.0


@dataclass(slots=True)
class PeerDomain:
    """Holds a domain's report and the count of requests spilled since."""

    report: PeerReport
    spilled_since_report: int = 0

    def expected_wait_s(self) -> float:
        """Return the expected wait of one more request in the domain."""
        excess = self.spilled_since_report + 1 - self.report.open_slots
        return self.report.wait_s + max(0, excess) * self.report.call_s


class PeerDomains:
    """Holds the load of the same pool in the other failure domains."""

    def __init__(self, region_id: RegionId, settings: SpillSettings) -> None:
        self._region_id = region_id
        self._settings = settings
        self._peers_by_id: dict[DomainId, PeerDomain] = {}

    def record_report(self, report: PeerReport) -> None:
        """Replace the report of a domain."""
        self._peers_by_id[report.domain_id] = PeerDomain(report)

    def remove(self, domain_id: DomainId) -> None:
        """Remove a domain that cannot be reached."""
        self._peers_by_id.pop(domain_id, None)

    def record_spill(self, domain_id: DomainId) -> None:
        """Count a request spilled to a domain since its report."""
        self._peers_by_id[domain_id].spilled_since_report += 1

    def best_token_s(self) -> float:
        """Return the time per token of the fastest reported server."""
        reported = (p.report.token_s for p in self._peers_by_id.values())
        return min(reported, default=inf)

    def faster_domain(
        self,
        own_s: float,
        transfer_cost_s: float,
        output_tokens: int,
        token_s: float,
        now_s: float,
    ) -> DomainId | None:
        """Return a domain of the own region that would finish sooner, if any.

        `own_s` is the expected finish in the own domain. `transfer_cost_s`
        is the cost of the move itself, such as the prefill of tokens that
        only the own domain has cached. `token_s` is used for a domain that
        has no estimate of its time per token yet.
        """
        best = self._best_peer(now_s, own_region=True)
        if best is None:
            return None
        reported_token_s = best.report.token_s
        decode_s = output_tokens * (
            token_s if reported_token_s == inf else reported_token_s
        )
        if (
            best.expected_wait_s()
            + transfer_cost_s
            + decode_s
            + self._settings.margin_s
            >= own_s
        ):
            return None
        return best.report.domain_id

    def fallback_domain(
        self, now_s: float, wait_limit_s: float
    ) -> DomainId | None:
        """Return a domain with a wait below a limit, own region first."""
        for own_region in (True, False):
            best = self._best_peer(now_s, own_region)
            if best is not None and best.expected_wait_s() < wait_limit_s:
                return best.report.domain_id
        return None

    def _best_peer(self, now_s: float, own_region: bool) -> PeerDomain | None:
        oldest_s = now_s - self._settings.report_age_limit_s
        candidates = (
            peer
            for peer in self._peers_by_id.values()
            if peer.report.usable
            and peer.report.now_s >= oldest_s
            and (peer.report.region_id == self._region_id) == own_region
        )
        return min(candidates, key=PeerDomain.expected_wait_s, default=None)
