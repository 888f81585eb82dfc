"""Exchange the loads of services with the owners in other failure domains.

An owner sends its loads a few times a second while they change or requests
are queued, and measures the round trip by the confirmations.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
import logging
import time
from typing import Any
from typing import Protocol

from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.decisions.distances import Lateness
from jackdawfield.decisions.distances import RoundTrips
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.slot_offers import divide_slots
from jackdawfield.decisions.slot_offers import weights_of
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_loads import DomainLoads
from jackdawfield.messages.fleet_loads import DomainLoadsNoted
from jackdawfield.messages.fleet_loads import ServiceLoad
from jackdawfield.model import DomainId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
# Minimum time between two reports of a service, to domains of the own region
# and to others, and time after which a report is repeated unchanged.
REPORT_INTERVAL_S = 0.25
OTHER_REGION_INTERVAL_S = 1.0
UNCHANGED_INTERVAL_S = 1.0
SEND_TIMEOUT_S = 0.5
# A domain that did not report for this long is taken as having no queue.
QUEUED_AGE_LIMIT_S = 2.0


class LoadSource(Protocol):
    """Represents the owner of slots, which has and takes reports."""

    def reports(
        self, now_s: float
    ) -> tuple[tuple[ServiceName, PeerReport], ...]:
        """Return the load of each service whose slots it grants."""

    def apply_report(self, service: ServiceName, report: PeerReport) -> None:
        """Record the load of a service in another failure domain."""


class OwnerFinder(Protocol):
    """Represents what is known of the owners of slots."""

    def owns(self, service: ServiceName) -> bool:
        """Return whether this instance owns a service's slots here."""

    def find_address(
        self, domain_id: DomainId, service: ServiceName
    ) -> str | None:
        """Return the address of an owner in another domain, if known."""


class InstanceLinks(Protocol):
    """Represents the links to other instances."""

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, Any]:
        """Send a message and return the first answer."""


@dataclass(frozen=True, slots=True)
class SentReport:
    """Holds when a report was sent, and what it said."""

    sent_at_s: float
    load: ServiceLoad


class DomainReports:
    """Sends reports to other domains and passes theirs to the owner."""

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: str,
        source: LoadSource,
        owners: OwnerFinder,
        links: InstanceLinks,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._source = source
        self._owners = owners
        self._links = links
        self._clock = clock
        self._tasks = BackgroundTasks()
        self._round_trips = RoundTrips()
        self._lateness = Lateness()
        self._sent_by_key: dict[tuple[DomainId, ServiceName], SentReport] = {}
        self._reports_by_key: dict[
            tuple[DomainId, ServiceName], PeerReport
        ] = {}
        self._unreached_ids: set[DomainId] = set()
        self.sent_count = 0
        self.domain_ids = tuple(
            domain_id
            for domain_id in settings.regions_by_domain
            if domain_id != settings.domain_id
        )
        self._near_ids = frozenset(
            domain_id
            for domain_id in self.domain_ids
            if settings.regions_by_domain[domain_id] == settings.region_id
        )

    def register(self, server: PeerServer) -> None:
        """Register the handler of other instances' reports."""
        server.handle(DomainLoads, self.handle_loads)

    def round_trip_s(self, domain_id: DomainId) -> float:
        """Return the estimated round trip to a domain, zero if unknown."""
        return self._round_trips.estimate_s(domain_id)

    def round_trips_s(self) -> Mapping[str, float]:
        """Return the estimated round trip to each domain."""
        return {
            domain_id: self.round_trip_s(domain_id)
            for domain_id in self.domain_ids
        }

    async def run(self) -> None:
        """Send the reports that are due until the task is cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.send_due()

    def send_due(self) -> None:
        """Send the reports that are due, one message for each receiver."""
        now_s = self._clock()
        loads_by_receiver: dict[tuple[DomainId, str], list[ServiceLoad]] = {}
        for service, report in self._source.reports(now_s):
            if not self._owners.owns(service):
                continue
            offers_by_domain = self._divide(service, report, now_s)
            for domain_id in self.domain_ids:
                address = self._owners.find_address(domain_id, service)
                load = _to_load(service, report, offers_by_domain[domain_id])
                if address is None or not self._is_due(domain_id, load, now_s):
                    continue
                key = (domain_id, service)
                self._sent_by_key[key] = SentReport(now_s, load)
                aged = replace(load, age_s=max(0.0, now_s - report.now_s))
                loads_by_receiver.setdefault((domain_id, address), []).append(
                    aged
                )
        for (domain_id, address), loads in loads_by_receiver.items():
            self.sent_count += 1
            self._tasks.spawn(self._send(domain_id, address, tuple(loads)))

    def _divide(
        self, service: ServiceName, report: PeerReport, now_s: float
    ) -> Mapping[DomainId, int]:
        queued_by_domain = {
            domain_id: self._queued_at(domain_id, service, now_s)
            for domain_id in self.domain_ids
        }
        weights = weights_of(queued_by_domain, self._near_ids)
        own_id = self._settings.domain_id
        return divide_slots(own_id, report.open_slots, weights)

    def _queued_at(
        self, domain_id: DomainId, service: ServiceName, now_s: float
    ) -> int:
        report = self._reports_by_key.get((domain_id, service))
        if report is None or now_s - report.now_s > QUEUED_AGE_LIMIT_S:
            return 0
        return report.queued

    def _is_due(
        self, domain_id: DomainId, load: ServiceLoad, now_s: float
    ) -> bool:
        sent = self._sent_by_key.get((domain_id, load.service))
        if sent is None:
            return True
        elapsed_s = now_s - sent.sent_at_s
        if elapsed_s >= UNCHANGED_INTERVAL_S:
            return True
        interval_s = REPORT_INTERVAL_S
        if domain_id not in self._near_ids:
            interval_s = OTHER_REGION_INTERVAL_S
        is_wanted = (
            load != sent.load
            or load.queued > 0
            or self._queued_at(domain_id, load.service, now_s) > 0
        )
        return is_wanted and elapsed_s >= interval_s

    async def _send(
        self,
        domain_id: DomainId,
        address: str,
        loads: tuple[ServiceLoad, ...],
    ) -> None:
        settings = self._settings
        sent_s = self._clock()
        message = DomainLoads(
            settings.domain_id,
            settings.region_id,
            self._incarnation,
            sent_s,
            loads,
        )
        answer = await self._links.request(address, message, SEND_TIMEOUT_S)
        if isinstance(answer, Ok):
            trip_s = self._clock() - sent_s
            self._round_trips.record(domain_id, trip_s)
        self._log_reached(domain_id, address, isinstance(answer, Ok))

    def _log_reached(
        self, domain_id: DomainId, address: str, is_reached: bool
    ) -> None:
        if is_reached == (domain_id not in self._unreached_ids):
            return
        if is_reached:
            self._unreached_ids.discard(domain_id)
        else:
            self._unreached_ids.add(domain_id)
        event = 'domain_reached' if is_reached else 'domain_unreached'
        log_event(LOG, event, domain=domain_id, peer=address)

    async def handle_loads(self, message: DomainLoads) -> DomainLoadsNoted:
        """Pass the loads of another domain to the owner of slots."""
        now_s = self._clock()
        domain_id = message.domain_id
        if domain_id not in self.domain_ids:
            return DomainLoadsNoted()
        late_s = self._lateness.record(message.sender, message.sent_s, now_s)
        round_trip_s = self._round_trips.estimate_s(domain_id)
        for load in message.loads:
            report = PeerReport(
                now_s=now_s - late_s - round_trip_s / 2 - load.age_s,
                domain_id=domain_id,
                region_id=message.region_id,
                usable=load.usable,
                wait_s=load.wait_s,
                open_slots=load.open_slots,
                call_s=load.call_s,
                token_s=load.token_s,
                queued=load.queued,
                link_bytes=load.link_bytes,
                round_trip_s=round_trip_s,
            )
            self._reports_by_key[domain_id, load.service] = report
            self._source.apply_report(load.service, report)
        return DomainLoadsNoted()

    def close(self) -> None:
        """Cancel the messages under way."""
        self._tasks.cancel()


def _to_load(
    service: ServiceName, report: PeerReport, open_slots: int
) -> ServiceLoad:
    return ServiceLoad(
        service=service,
        age_s=0.0,
        usable=report.usable,
        wait_s=report.wait_s,
        open_slots=open_slots,
        call_s=report.call_s,
        token_s=report.token_s,
        queued=report.queued,
        link_bytes=report.link_bytes,
    )
