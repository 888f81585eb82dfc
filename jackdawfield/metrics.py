"""Counts and times what an instance does, by organisation and route."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from hdrh.histogram import HdrHistogram

SLOT_S = 300
KEPT_SLOTS = 72
LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MAX_SERIES = 400
OTHERS = 'others'
PREFIX = 'jackdawfield_'


class Metric(Enum):
    """Names what is measured."""

    PROGRAM_LATENCY = 'program_latency_ms'
    FIRST_TOKEN = 'first_token_ms'
    CALL = 'call_ms'
    SERVER_FIRST = 'server_first_piece_ms'
    ADMISSION = 'admission_wait_ms'
    COMMIT = 'commit_ms'
    SLOT_WAIT = 'place_wait_ms'
    SUCCEEDED = 'requests_succeeded'
    FAILED = 'requests_failed'
    ADMITTED = 'requests_admitted'
    REFUSED = 'requests_refused'
    REFUSED_IN_DOUBT = 'requests_refused_in_doubt'


TIMED = (
    Metric.PROGRAM_LATENCY,
    Metric.FIRST_TOKEN,
    Metric.CALL,
    Metric.SERVER_FIRST,
    Metric.ADMISSION,
    Metric.COMMIT,
    Metric.SLOT_WAIT,
)


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Names one series."""

    metric: Metric
    organisation_id: str
    route: str


@dataclass(frozen=True, slots=True)
class SlotValue:
    """Holds one series' count or encoded histogram in one slot of time."""

    metric: Metric
    organisation_id: str
    route: str
    slot: int
    count: int
    histogram: str = ''


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Holds what one instance has kept of its series."""

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
    """Keeps one live slot and the closed ones in their encoded form."""

    __slots__ = ('closed_by_slot', 'histogram', 'count', 'slot', 'total')

    def __init__(self, slot: int, timed: bool) -> None:
        self.slot = slot
        self.count = 0
        self.total = 0
        self.histogram = new_histogram() if timed else None
        self.closed_by_slot: dict[int, tuple[int, str]] = {}

    def turn_to(self, slot: int) -> None:
        """Close the live slot if a later one has begun."""
        if slot <= self.slot:
            return
        if self.count:
            self.closed_by_slot[self.slot] = (self.count, self.encoded())
        self.slot = slot
        self.count = 0
        if self.histogram is not None:
            self.histogram.reset()
        for old in [s for s in self.closed_by_slot if s <= slot - KEPT_SLOTS]:
            del self.closed_by_slot[old]

    def encoded(self) -> str:
        """Return the live histogram's text, empty for a counter."""
        if self.histogram is None:
            return ''
        text: str = self.histogram.encode().decode()
        return text

    def slots(self) -> Iterator[tuple[int, int, str]]:
        """Yield slot, count and histogram of what is kept."""
        for slot, (count, text) in self.closed_by_slot.items():
            yield slot, count, text
        if self.count:
            yield self.slot, self.count, self.encoded()


class Registry:
    """Keeps the series of one instance; times are wall-clock seconds."""

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
        full = len(self._series_by_key) >= MAX_SERIES
        if full and key not in self._series_by_key:
            key = SeriesKey(metric, OTHERS, OTHERS)
        series = self._series_by_key.get(key)
        if series is None:
            series = _Series(slot, metric in TIMED)
            self._series_by_key[key] = series
        series.turn_to(slot)
        return series

    def snapshot(self, now_s: float) -> Snapshot:
        """Return every kept slot of every series."""
        slot_now = int(now_s // SLOT_S)
        values = []
        for key, series in self._series_by_key.items():
            series.turn_to(slot_now)
            for slot, count, text in series.slots():
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

    def prometheus(self) -> str:
        """Return the series as Prometheus text, quantiles of the slot."""
        lines = []
        for metric in Metric:
            found = [
                (key, series)
                for key, series in self._series_by_key.items()
                if key.metric is metric
            ]
            if not found:
                continue
            kind = 'summary' if metric in TIMED else 'counter'
            lines.append(f'# TYPE {PREFIX}{metric.value} {kind}')
            for key, series in found:
                lines += _lines(key, series)
        return '\n'.join([*lines, ''])


def _lines(key: SeriesKey, series: _Series) -> list[str]:
    name = f'{PREFIX}{key.metric.value}'
    labels = f'organisation="{_escape(key.organisation_id)}"'
    labels += f',route="{_escape(key.route)}"'
    if series.histogram is None:
        return [f'{name}{{{labels}}} {series.total}']
    lines = [
        f'{name}{{{labels},quantile="{quantile / 100}"}} '
        f'{series.histogram.get_value_at_percentile(quantile)}'
        for quantile in QUANTILES
    ]
    return [*lines, f'{name}_count{{{labels}}} {series.total}']


def _escape(text: str) -> str:
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
