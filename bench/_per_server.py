"""Route calls by one steward per server.

The home, the instance that runs a program, chooses a server for each call
before it submits the call to that server's steward.
"""

from bench._fleet import Call
from bench._stewards import Place
from bench._stewards import Stewards
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.model import DomainId
from jackdawfield.model import RegionId

PREFILL_S_PER_TOKEN = 1 / 12_000


class ServerStewards(Stewards):
    """Assigns each call to the queue of one server when it is submitted."""

    _report_by_place: dict[Place, PeerReport]
    _sent_count_by_place: dict[Place, int]

    def _places(self) -> list[Place]:
        return [
            Place(server.domain_id, server.pool, server_id)
            for server_id, server in self._fleet.servers_by_id.items()
        ]

    def submit(self, call: Call) -> None:
        """Choose the server of the region that is expected to finish first."""
        region = self._fleet.region(call.domain)
        local_places = [
            place
            for place in self._places()
            if place.pool == call.pool
            and self._fleet.region(place.domain) == region
            and not self._fleet.is_partitioned(place.domain, call.domain)
        ]
        place = min(local_places, key=lambda p: self._expected_s(call, p))
        self._sent_count_by_place[place] = (
            self._sent_count_by_place.get(place, 0) + 1
        )
        self._place_by_context[call.context_id] = place
        self._submit_at(call, place, may_spill=False)

    def _expected_s(self, call: Call, place: Place) -> float:
        report = self._report_by_place.get(place)
        if report is None:
            return 0.0
        excess_calls = (
            self._sent_count_by_place.get(place, 0) + 1 - report.open_slots
        )
        wait_s = report.wait_s + max(0, excess_calls) * report.call_s
        is_cached = self._place_by_context.get(call.context_id) == place
        uncached_tokens = 0 if is_cached else call.prompt_tokens
        penalty_s = 0.0 if report.usable else 1e6
        return wait_s + uncached_tokens * PREFILL_S_PER_TOKEN + penalty_s

    def _report_to_peers(self, place: Place) -> None:
        region = RegionId(self._fleet.region(place.domain))
        report = self._pools[place].create_peer_report(
            DomainId(place.domain), region, self._now_s()
        )
        self._fleet.clock.call_later(0.001, self._record_report, place, report)

    def _record_report(self, place: Place, report: PeerReport) -> None:
        self._report_by_place[place] = report
        self._sent_count_by_place[place] = 0

    def _create_pool(self, place: Place) -> None:
        if not hasattr(self, '_report_by_place'):
            self._report_by_place = {}
            self._sent_count_by_place = {}
        super()._create_pool(place)
