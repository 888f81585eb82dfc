"""Routes calls by one steward a server, which homes choose beforehand."""

from bench._fleet import Call
from bench._stewards import Place
from bench._stewards import Stewards
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId

PREFILL_TOKEN_S = 1 / 12_000


class ServerStewards(Stewards):
    """Binds each call to a server's own queue when it is submitted."""

    _reports: dict[Place, PeerReport]
    _sent: dict[Place, int]

    def _places(self) -> list[Place]:
        return [
            Place(server.domain_id, server.pool, server_id)
            for server_id, server in self._fleet.servers_by_id.items()
        ]

    def submit(self, call: Call) -> None:
        """Choose a server of the region by the last reports."""
        region = self._fleet.region(call.domain)
        near = [
            place
            for place in self._places()
            if place.pool == call.pool
            and self._fleet.region(place.domain) == region
            and not self._fleet.is_cut(place.domain, call.domain)
        ]
        place = min(near, key=lambda p: self._expected_s(call, p))
        self._sent[place] = self._sent.get(place, 0) + 1
        self._holders[call.context_id] = place
        self._submit_at(call, place, may_spill=False)

    def _expected_s(self, call: Call, place: Place) -> float:
        report = self._reports.get(place)
        if report is None:
            return 0.0
        beyond = self._sent.get(place, 0) + 1 - report.open_slots
        wait_s = report.wait_s + max(0, beyond) * report.call_s
        holds = self._holders.get(call.context_id) == place
        missing = 0 if holds else call.prompt_tokens
        unusable_s = 0.0 if report.usable else 1e6
        return wait_s + missing * PREFILL_TOKEN_S + unusable_s

    def _report_to_peers(self, place: Place) -> None:
        region = RegionId(self._fleet.region(place.domain))
        report = self._pools[place].create_peer_report(
            DomainId(place.domain), region, self._now_s()
        )
        self._fleet.clock.after(0.001, self._reported, place, report)

    def _reported(self, place: Place, report: PeerReport) -> None:
        self._reports[place] = report
        self._sent[place] = 0

    def _new_pool(self, place: Place) -> None:
        if not hasattr(self, '_reports'):
            self._reports = {}
            self._sent = {}
        super()._new_pool(place)
