"""Count and log the calls that are sent to other failure domains."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import logging
from typing import TypeVar

from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import SpillObstacle
from jackdawfield.decisions.pool_events import SpillReason
from jackdawfield.logs import log_event
from jackdawfield.model import DomainId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
MS_PER_S = 1000
# The largest gain logged, also for a wait without a known end.
MAX_GAIN_S = 60.0
# Calls of a service to a domain have ended after this long without one.
ENDED_AFTER_S = 2.0

Key = TypeVar('Key')
# Returns why no call of a service is sent to a domain now.
ObstacleFinder = Callable[[ServiceName, DomainId, float], SpillObstacle]


@dataclass(slots=True)
class Run:
    """Holds the calls of a service sent to a domain without a long break."""

    began_at_s: float
    last_at_s: float
    calls: int = 0
    size_bytes: int = 0


class Crossings:
    """Counts the calls that cross, by domain, and logs each run of them."""

    def __init__(self) -> None:
        self.granted_count = 0
        self._counts_by_key: dict[tuple[DomainId, SpillReason], int] = {}
        self._bytes_by_domain: dict[str, int] = {}
        self._returns_by_domain: dict[str, int] = {}
        self._runs_by_key: dict[tuple[ServiceName, DomainId], Run] = {}

    def record_granted(self) -> None:
        """Count a call that was granted a slot in this domain."""
        self.granted_count += 1

    def record_return(self, domain_id: DomainId) -> None:
        """Count a call that a domain did not serve in time."""
        _add(self._returns_by_domain, domain_id, 1)

    def record_spill(
        self,
        service: ServiceName,
        spill: Spill,
        size_bytes: int,
        now_s: float,
    ) -> None:
        """Count a call sent to another domain; log the first of a run."""
        domain_id = spill.domain_id
        _add(self._counts_by_key, (domain_id, spill.reason), 1)
        _add(self._bytes_by_domain, domain_id, size_bytes)
        run = self._runs_by_key.get((service, domain_id))
        if run is None:
            run = Run(now_s, now_s)
            self._runs_by_key[service, domain_id] = run
            log_event(
                LOG,
                'spill_began',
                service=service,
                domain=domain_id,
                reason=spill.reason.value,
                gain_ms=round(min(spill.gain_s, MAX_GAIN_S) * MS_PER_S),
            )
        run.last_at_s = now_s
        run.calls += 1
        run.size_bytes += size_bytes

    def log_ended(self, find_obstacle: ObstacleFinder, now_s: float) -> None:
        """Log the runs that have ended, and why."""
        for (service, domain_id), run in tuple(self._runs_by_key.items()):
            if now_s - run.last_at_s < ENDED_AFTER_S:
                continue
            del self._runs_by_key[service, domain_id]
            log_event(
                LOG,
                'spill_ended',
                service=service,
                domain=domain_id,
                reason=find_obstacle(service, domain_id, now_s).value,
                calls=run.calls,
                bytes=run.size_bytes,
                seconds=round(run.last_at_s - run.began_at_s, 2),
            )

    def calls_by_domain(self) -> Mapping[str, float]:
        """Return the calls sent to each domain."""
        counts: dict[str, int] = {}
        for (domain_id, _), count in self._counts_by_key.items():
            _add(counts, domain_id, count)
        return counts

    def calls_by_reason(self) -> Mapping[str, float]:
        """Return the calls sent to other domains for each reason."""
        counts: dict[str, int] = {}
        for (_, reason), count in self._counts_by_key.items():
            _add(counts, reason.value, count)
        return counts

    def bytes_by_domain(self) -> Mapping[str, float]:
        """Return the bytes of the calls sent to each domain."""
        return self._bytes_by_domain

    def returns_by_domain(self) -> Mapping[str, float]:
        """Return the calls that each domain did not serve in time."""
        return self._returns_by_domain


def _add(counts: dict[Key, int], key: Key, number: int) -> None:
    counts[key] = counts.get(key, 0) + number
