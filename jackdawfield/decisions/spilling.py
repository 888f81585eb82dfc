"""Choose another failure domain for requests that would wait too long."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from math import inf

from jackdawfield.decisions.link_load import LinkLoad
from jackdawfield.decisions.moved_contexts import MovedContext
from jackdawfield.decisions.moved_contexts import MovedContexts
from jackdawfield.decisions.peer_domain import PeerDomain
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import SpillObstacle
from jackdawfield.decisions.pool_events import SpillReason
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.decisions.windows import ServerWindow
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId


@dataclass(frozen=True, slots=True)
class OwnFinish:
    """Holds what a request would take in the own domain.

    `wait_s` is the wait for a slot and `total_s` the time to the end, both
    expected. `reread_s` is the prefill of the tokens that only the own domain
    has cached, and `moved_prefill_s` that of those cached in the domain to
    which the context has moved. `token_s` is used for a domain that has no
    estimate of its time per token yet.
    """

    wait_s: float
    total_s: float
    reread_s: float = 0.0
    moved_prefill_s: float = 0.0
    token_s: float = 0.0
    output_tokens: int = 0


class PeerDomains:
    """Holds the load of the same pool in the other failure domains."""

    def __init__(self, region_id: RegionId, settings: SpillSettings) -> None:
        self._region_id = region_id
        self._settings = settings
        self._peers_by_id: dict[DomainId, PeerDomain] = {}
        self._links_by_region: dict[RegionId, LinkLoad] = {}
        self.moved_contexts = MovedContexts()

    def record_report(self, report: PeerReport) -> None:
        """Replace the report of a domain."""
        peer = self._peers_by_id.get(report.domain_id)
        if peer is None:
            self._peers_by_id[report.domain_id] = PeerDomain(report)
            return
        peer.apply_report(report)

    def remove(self, domain_id: DomainId) -> None:
        """Remove a domain that cannot be reached."""
        self._peers_by_id.pop(domain_id, None)
        self.moved_contexts.remove_domain(domain_id)

    def record_submitted(self, demand: SlotDemand, now_s: float) -> None:
        """Record by which domain a request was returned, if by any."""
        domain_id = demand.returned_by
        if domain_id is None:
            return
        self.moved_contexts.remove(demand.context_id)
        peer = self._peers_by_id.get(domain_id)
        if peer is not None and self._settings.return_pause_s:
            peer.record_return(
                now_s,
                self._settings.return_pause_s,
                self._settings.report_age_limit_s,
            )

    def record_spill(
        self, demand: SlotDemand, spill: Spill, now_s: float
    ) -> None:
        """Record a request that is sent to another domain."""
        peer = self._peers_by_id[spill.domain_id]
        peer.record_sent(now_s)
        if self._settings.follows_contexts:
            tokens = demand.prompt_tokens + demand.output_tokens
            self.moved_contexts.record(
                demand.context_id, spill.domain_id, tokens
            )
        if peer.report.region_id != self._region_id:
            self._link(peer.report.region_id).add(demand.body_bytes, now_s)

    def best_token_s(self) -> float:
        """Return the time per token of the fastest reported server."""
        reported = (p.report.token_s for p in self._peers_by_id.values())
        return min(reported, default=inf)

    def link_bytes(self, now_s: float) -> float:
        """Return the bytes of own requests under way to other regions."""
        links = self._links_by_region.values()
        return sum(link.backlog_bytes(now_s) for link in links)

    def expected_finish(
        self,
        demand: SlotDemand,
        wait_s: float,
        prefill_tokens: int,
        window: ServerWindow,
    ) -> OwnFinish:
        """Return what a request would take on a server of the own domain.

        `prefill_tokens` are those that the server does not have cached.
        """
        cached_tokens = demand.prompt_tokens - prefill_tokens
        moved = self.moved_contexts.find(demand)
        moved_tokens = 0 if moved is None else moved.tokens
        own = OwnFinish(
            wait_s,
            wait_s,
            reread_s=cached_tokens * window.prefill_token_s,
            moved_prefill_s=(
                min(moved_tokens, demand.prompt_tokens)
                * window.prefill_token_s
            ),
        )
        if not self._settings.compares_speed:
            return own
        backlog_s = window.unstarted_prefill_tokens * window.prefill_token_s
        decode_s = demand.output_tokens * window.token_s
        return replace(
            own,
            total_s=wait_s + backlog_s + decode_s,
            token_s=window.token_s,
            output_tokens=demand.output_tokens,
        )

    def choose_faster(
        self, demand: SlotDemand, own: OwnFinish, now_s: float
    ) -> Spill | None:
        """Return a spill to the domain that gains most, if any pays.

        Requests that need not wait leave only for the domain to which their
        context has moved.
        """
        moved = self.moved_contexts.find(demand)
        best: Spill | None = None
        for peer in self._fresh_peers(now_s):
            spill = self._pays(peer, demand, own, moved, now_s)
            if spill is None:
                continue
            if best is None or spill.gain_s > best.gain_s:
                best = spill
        return best

    def choose_rescue(self, demand: SlotDemand, now_s: float) -> Spill | None:
        """Return a spill of a request that would be refused here, if any."""
        if not self._settings.needs_open_slot or not demand.may_spill:
            return None
        left_s = demand.deadline_s - now_s
        return self.choose_faster(demand, OwnFinish(left_s, left_s), now_s)

    def choose_fallback(
        self, demand: SlotDemand, now_s: float
    ) -> Spill | None:
        """Return a spill to the nearest domain that can serve in time.

        Domains of the own region go first, and those that have returned
        requests last.
        """
        limit_s = demand.deadline_s - now_s
        best_rank: tuple[bool, bool, float] | None = None
        best: Spill | None = None
        for peer in self._fresh_peers(now_s):
            there_s = self._arrival_s(peer, demand, now_s)
            if there_s >= limit_s:
                continue
            is_far = peer.report.region_id != self._region_id
            rank = (is_far, self._is_avoided(peer, demand, now_s), there_s)
            if best_rank is None or rank < best_rank:
                best_rank = rank
                best = Spill(
                    demand.request_id,
                    peer.report.domain_id,
                    reason=SpillReason.NO_SERVER,
                )
        return best

    def find_obstacle(
        self, domain_id: DomainId, now_s: float
    ) -> SpillObstacle:
        """Return why no request is sent to a domain now."""
        peer = self._peers_by_id.get(domain_id)
        if peer is None or not self._is_fresh(peer, now_s):
            return SpillObstacle.NO_REPORT
        if not peer.report.usable:
            return SpillObstacle.NO_SERVER
        if now_s < peer.paused_until_s:
            return SpillObstacle.RETURNED
        if self._transfer_s(peer, 0, now_s) == inf:
            return SpillObstacle.LINK_FULL
        if peer.open_slots() < 1:
            return SpillObstacle.NO_OPEN_SLOT
        return SpillObstacle.NO_GAIN

    def _is_fresh(self, peer: PeerDomain, now_s: float) -> bool:
        oldest_s = now_s - self._settings.report_age_limit_s
        return peer.report.now_s >= oldest_s

    def _fresh_peers(self, now_s: float) -> Iterator[PeerDomain]:
        for peer in self._peers_by_id.values():
            if peer.report.usable and self._is_fresh(peer, now_s):
                yield peer

    def _arrival_s(
        self, peer: PeerDomain, demand: SlotDemand, now_s: float
    ) -> float:
        """Return the expected time of the way there and back and the wait."""
        return (
            peer.expected_wait_s()
            + peer.report.round_trip_s
            + self._transfer_s(peer, demand.body_bytes, now_s)
        )

    def _transfer_s(
        self, peer: PeerDomain, size_bytes: int, now_s: float
    ) -> float:
        """Return the time to send bytes over the link to another region."""
        region_id = peer.report.region_id
        if region_id == self._region_id:
            return 0.0
        others_bytes = sum(
            other.report.link_bytes
            for other in self._fresh_peers(now_s)
            if other.report.region_id == self._region_id
        )
        link = self._link(region_id)
        return link.transfer_s(size_bytes, others_bytes, now_s)

    def _pays(
        self,
        peer: PeerDomain,
        demand: SlotDemand,
        own: OwnFinish,
        moved: MovedContext | None,
        now_s: float,
    ) -> Spill | None:
        """Return a spill to a domain if the caller gains enough by it."""
        settings = self._settings
        if self._is_avoided(peer, demand, now_s):
            return None
        if settings.needs_open_slot and peer.open_slots() < 1:
            return None
        report = peer.report
        has_context = moved is not None and moved.domain_id == report.domain_id
        if own.wait_s < settings.min_wait_s and not has_context:
            return None
        token_s = own.token_s if report.token_s == inf else report.token_s
        cached_s = own.moved_prefill_s if has_context else 0.0
        there_s = (
            self._arrival_s(peer, demand, now_s)
            + own.reread_s
            - cached_s
            + own.output_tokens * token_s
            + self._price_s(peer, demand)
        )
        gain_s = own.total_s - there_s
        if gain_s <= self._margin_s(peer, has_context, now_s):
            return None
        return Spill(
            demand.request_id,
            report.domain_id,
            needs_open_slot=settings.needs_open_slot,
            reason=SpillReason.PREFIX if has_context else SpillReason.FASTER,
            gain_s=gain_s,
        )

    def _is_avoided(
        self, peer: PeerDomain, demand: SlotDemand, now_s: float
    ) -> bool:
        if demand.returned_by == peer.report.domain_id:
            return True
        return now_s < peer.paused_until_s

    def _price_s(self, peer: PeerDomain, demand: SlotDemand) -> float:
        if peer.report.region_id == self._region_id:
            return self._settings.domain_price.price_s(demand.body_bytes)
        return self._settings.region_price.price_s(demand.body_bytes)

    def _margin_s(
        self, peer: PeerDomain, has_context: bool, now_s: float
    ) -> float:
        settings = self._settings
        if has_context:
            return 0.0
        if now_s - peer.last_sent_s <= settings.hold_s:
            return settings.margin_s
        return max(settings.margin_s, settings.first_margin_s)

    def _link(self, region_id: RegionId) -> LinkLoad:
        link = self._links_by_region.get(region_id)
        if link is None:
            link = LinkLoad(self._settings.link)
            self._links_by_region[region_id] = link
        return link
