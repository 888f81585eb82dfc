"""Record an instance's metrics and render them as Prometheus text."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import AbstractContextManager
from contextlib import contextmanager
import time

from hdrh.histogram import HdrHistogram

from jackdawfield.gateway.calls import Call
from jackdawfield.metrics import Metric
from jackdawfield.metrics import METRIC_PREFIX
from jackdawfield.metrics import new_histogram
from jackdawfield.metrics import QUANTILES
from jackdawfield.metrics import record_ms
from jackdawfield.metrics import Registry

MS_PER_S = 1000
# Label of calls without an organisation, such as those of open routes.
NO_ORGANISATION = 'open'
SERVER_ERROR = 500
CLIENT_ERROR = 400
# Limit of the label combinations; further reasons are counted as OTHERS.
MAX_REASONS = 200
OTHERS = 'others'

Gauge = Callable[[], float]
LabelledGauge = Callable[[], Mapping[str, float]]


class GatewayMetrics:
    """Holds the counters, histograms and gauges of one instance."""

    def __init__(self, instance_id: str) -> None:
        self._registry = Registry(instance_id)
        self._counts_by_reason: dict[tuple[str, int, str], int] = {}
        self._gauges_by_name: dict[str, Gauge] = {}
        self._gauges_by_label: dict[tuple[str, str], LabelledGauge] = {}
        self._store_call_counts: dict[tuple[str, str], int] = {}
        self._store_times_by_kind: dict[str, HdrHistogram] = {}

    def add_gauge(self, name: str, read: Gauge) -> None:
        """Add a gauge whose value is read at each scrape."""
        self._gauges_by_name[name] = read

    def add_gauges_by_label(
        self, name: str, label: str, read: LabelledGauge
    ) -> None:
        """Add a gauge with a value for each value of its label."""
        self._gauges_by_label[(name, label)] = read

    def count_reason(self, route: str, status: int, reason: str) -> None:
        """Count why a request was refused or failed."""
        key = (route, status, reason)
        if (
            len(self._counts_by_reason) >= MAX_REASONS
            and key not in self._counts_by_reason
        ):
            key = (OTHERS, status, OTHERS)
        self._counts_by_reason[key] = self._counts_by_reason.get(key, 0) + 1

    def count_call(self, call: Call, status: int) -> None:
        """Count an ended call by its status; time it if it succeeded."""
        organisation = call.organisation_id or NO_ORGANISATION
        now_s = time.time()
        metric = Metric.SUCCEEDED
        if status >= SERVER_ERROR or status == 0:
            metric = Metric.FAILED
        elif status >= CLIENT_ERROR:
            metric = Metric.REFUSED
        self._registry.count(metric, organisation, call.route.name, now_s)
        if metric is Metric.SUCCEEDED:
            elapsed_s = time.monotonic() - call.arrived_at_s
            self._record(Metric.CALL, call, elapsed_s)

    def record_first_piece(self, call: Call, elapsed_s: float) -> None:
        """Record how long a server's first body piece took."""
        self._record(Metric.SERVER_FIRST_PIECE, call, elapsed_s)

    def time_admission(self, call: Call) -> AbstractContextManager[None]:
        """Record how long a call waits for its rate limit."""
        return self._timed(Metric.ADMISSION_WAIT, call)

    def time_slot_wait(self, call: Call) -> AbstractContextManager[None]:
        """Record how long a call is queued for a slot at a server."""
        return self._timed(Metric.SLOT_WAIT, call)

    @contextmanager
    def _timed(self, metric: Metric, call: Call) -> Iterator[None]:
        started_s = time.monotonic()
        try:
            yield
        finally:
            self._record(metric, call, time.monotonic() - started_s)

    def record_commit(self, call: Call, elapsed_s: float) -> None:
        """Record how long the store took to commit a turn."""
        self._record(Metric.COMMIT, call, elapsed_s)

    def record_store_call(
        self, kind: str, answer: str, elapsed_s: float
    ) -> None:
        """Count and time a call to the store.

        The times of long polls include their wait.
        """
        key = (kind, answer)
        self._store_call_counts[key] = self._store_call_counts.get(key, 0) + 1
        times = self._store_times_by_kind.get(kind)
        if times is None:
            times = new_histogram()
            self._store_times_by_kind[kind] = times
        record_ms(times, elapsed_s * MS_PER_S)

    def _record(self, metric: Metric, call: Call, elapsed_s: float) -> None:
        organisation = call.organisation_id or NO_ORGANISATION
        self._registry.record(
            metric,
            organisation,
            call.route.name,
            elapsed_s * MS_PER_S,
            time.time(),
        )

    def render_prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [self._registry.render_prometheus().rstrip('\n')]
        lines.append(f'# TYPE {METRIC_PREFIX}refusals counter')
        for (route, status, reason), count in sorted(
            self._counts_by_reason.items()
        ):
            reason = reason.replace('\\', '/').replace('"', "'")
            labels = f'route="{route}",status="{status}",reason="{reason}"'
            lines.append(f'{METRIC_PREFIX}refusals{{{labels}}} {count}')
        lines += self._store_lines()
        for name, read in sorted(self._gauges_by_name.items()):
            lines.append(f'# TYPE {METRIC_PREFIX}{name} gauge')
            lines.append(f'{METRIC_PREFIX}{name} {read():g}')
        for (name, label), read_all in sorted(self._gauges_by_label.items()):
            lines.append(f'# TYPE {METRIC_PREFIX}{name} gauge')
            for text, value in sorted(read_all().items()):
                labels = f'{label}="{text}"'
                lines.append(f'{METRIC_PREFIX}{name}{{{labels}}} {value:g}')
        return '\n'.join([*lines, ''])

    def _store_lines(self) -> list[str]:
        lines = [f'# TYPE {METRIC_PREFIX}store_calls counter']
        for (kind, answer), count in sorted(self._store_call_counts.items()):
            labels = f'kind="{kind}",answer="{answer}"'
            lines.append(f'{METRIC_PREFIX}store_calls{{{labels}}} {count}')
        lines.append(f'# TYPE {METRIC_PREFIX}store_ms summary')
        for kind, times in sorted(self._store_times_by_kind.items()):
            for quantile in QUANTILES:
                value = times.get_value_at_percentile(quantile)
                labels = f'kind="{kind}",quantile="{quantile / 100:g}"'
                lines.append(f'{METRIC_PREFIX}store_ms{{{labels}}} {value}')
        return lines
