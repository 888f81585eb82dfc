"""Count events and record durations by organisation and route.

Unless it is said to be a server's, a slot in this module is a period of SLOT_S
seconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram

SLOT_S = 300
RETAINED_SLOTS = 72
LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MAX_SERIES = 400
OVERFLOW_LABEL = 'others'
METRIC_PREFIX = 'jackdawfield_'


class Metric(Enum):
    """Enumerates the metrics by their exported names.

    SLOT_WAIT is the time that a call is queued for a slot of a backend server.
    """

    PROGRAM_LATENCY = 'program_latency_ms'
    FIRST_TOKEN = 'first_token_ms'
    CALL = 'call_ms'
    SERVER_FIRST_PIECE = 'server_first_piece_ms'
    ADMISSION_WAIT = 'admission_wait_ms'
    COMMIT = 'commit_ms'
    SLOT_WAIT = 'place_wait_ms'
    SUCCEEDED = 'requests_succeeded'
    FAILED = 'requests_failed'
    ADMITTED = 'requests_admitted'
    REFUSED = 'requests_refused'
    REFUSED_IN_DOUBT = 'requests_refused_in_doubt'


DURATION_METRICS = (
    Metric.PROGRAM_LATENCY,
    Metric.FIRST_TOKEN,
    Metric.CALL,
    Metric.SERVER_FIRST_PIECE,
    Metric.ADMISSION_WAIT,
    Metric.COMMIT,
    Metric.SLOT_WAIT,
)


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Identifies one series."""

    metric: Metric
    organisation_id: str
    route: str


@dataclass(frozen=True, slots=True)
class SlotValue:
    """Holds one series' count and encoded histogram of one slot."""

    metric: Metric
    organisation_id: str
    route: str
    slot: int
    count: int
    histogram: str = ''


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Holds the retained slots of all series of one instance."""

    instance_id: str
    slot_s: int
    taken_at_s: float
    values: tuple[SlotValue, ...]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


def record_ms(histogram: HdrHistogram, elapsed_ms: float) -> None:
    """Record a duration, clamped to the histogram's range."""
    value = min(max(round(elapsed_ms), LOWEST_MS), HIGHEST_MS)
    histogram.record_value(value)


class _Series:
    """Holds the current slot of a series and its closed slots, encoded."""

    __slots__ = ('closed_by_slot', 'histogram', 'count', 'slot', 'total')

    def __init__(self, slot: int, has_histogram: bool) -> None:
        self.slot = slot
        self.count = 0
        self.total = 0
        self.histogram = new_histogram() if has_histogram else None
        self.closed_by_slot: dict[int, tuple[int, str]] = {}

    def advance_to(self, slot: int) -> None:
        """Close the current slot if a later one has begun."""
        if slot <= self.slot:
            return
        if self.count:
            self.closed_by_slot[self.slot] = (
                self.count,
                self.encode_histogram(),
            )
        self.slot = slot
        self.count = 0
        if self.histogram is not None:
            self.histogram.reset()
        for expired in [
            s for s in self.closed_by_slot if s <= slot - RETAINED_SLOTS
        ]:
            del self.closed_by_slot[expired]

    def encode_histogram(self) -> str:
        """Return the current histogram, encoded; empty for a counter."""
        if self.histogram is None:
            return ''
        text: str = self.histogram.encode().decode()
        return text

    def iter_slots(self) -> Iterator[tuple[int, int, str]]:
        """Yield number, count and encoded histogram of each retained slot."""
        for slot, (count, text) in self.closed_by_slot.items():
            yield slot, count, text
        if self.count:
            yield self.slot, self.count, self.encode_histogram()


class Registry:
    """Holds the series of one instance; times are wall-clock seconds."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._series_by_key: dict[SeriesKey, _Series] = {}

    def count(
        self, metric: Metric, organisation_id: str, route: str, now_s: float
    ) -> None:
        """Count one event."""
        series = self._series(metric, organisation_id, route, now_s)
        series.count += 1
        series.total += 1

    def record(
        self,
        metric: Metric,
        organisation_id: str,
        route: str,
        elapsed_ms: float,
        now_s: float,
    ) -> None:
        """Record one duration, clamped to the histogram's range."""
        series = self._series(metric, organisation_id, route, now_s)
        series.count += 1
        series.total += 1
        assert series.histogram is not None
        record_ms(series.histogram, elapsed_ms)

    def _series(
        self, metric: Metric, organisation_id: str, route: str, now_s: float
    ) -> _Series:
        slot = int(now_s // SLOT_S)
        key = SeriesKey(metric, organisation_id, route)
        is_full = len(self._series_by_key) >= MAX_SERIES
        if is_full and key not in self._series_by_key:
            key = SeriesKey(metric, OVERFLOW_LABEL, OVERFLOW_LABEL)
        series = self._series_by_key.get(key)
        if series is None:
            series = _Series(slot, metric in DURATION_METRICS)
            self._series_by_key[key] = series
        series.advance_to(slot)
        return series

    def snapshot(self, now_s: float) -> Snapshot:
        """Return every retained slot of every series."""
        current_slot = int(now_s // SLOT_S)
        values = []
        for key, series in self._series_by_key.items():
            series.advance_to(current_slot)
            for slot, count, text in series.iter_slots():
                values.append(
                    SlotValue(
                        key.metric,
                        key.organisation_id,
                        key.route,
                        slot,
                        count,
                        text,
                    )
                )
        return Snapshot(self._instance_id, SLOT_S, now_s, tuple(values))

    def render_prometheus(self) -> str:
        """Return the series as Prometheus text.

        Counts are totals since the start; quantiles are of the latest slot
        with records.
        """
        lines = []
        for metric in Metric:
            series_of_metric = [
                (key, series)
                for key, series in self._series_by_key.items()
                if key.metric is metric
            ]
            if not series_of_metric:
                continue
            metric_type = (
                'summary' if metric in DURATION_METRICS else 'counter'
            )
            lines.append(f'# TYPE {METRIC_PREFIX}{metric.value} {metric_type}')
            for key, series in series_of_metric:
                lines += _render_series(key, series)
        return '\n'.join([*lines, ''])


def _render_series(key: SeriesKey, series: _Series) -> list[str]:
    name = f'{METRIC_PREFIX}{key.metric.value}'
    labels = f'organisation="{_escape_label(key.organisation_id)}"'
    labels += f',route="{_escape_label(key.route)}"'
    if series.histogram is None:
        return [f'{name}{{{labels}}} {series.total}']
    lines = [
        f'{name}{{{labels},quantile="{quantile / 100}"}} '
        f'{series.histogram.get_value_at_percentile(quantile)}'
        for quantile in QUANTILES
    ]
    return [*lines, f'{name}_count{{{labels}}} {series.total}']


def _escape_label(text: str) -> str:
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
