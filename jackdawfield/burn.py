"""Compute how fast service-level objectives burn their error budgets.

A burn rate of 1 spends an error budget exactly as its target allows.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from hdrh.histogram import HdrHistogram

from jackdawfield.metrics import HIGHEST_MS
from jackdawfield.metrics import Metric
from jackdawfield.metrics import SlotValue
from jackdawfield.metrics import Snapshot

HOUR_S = 3600.0


class Severity(Enum):
    """Enumerates the kinds of alert: page an operator or open a ticket."""

    PAGE = 'page'
    TICKET = 'ticket'


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Represents an alert that fires while both windows reach a burn rate."""

    severity: Severity
    short_window_s: float
    long_window_s: float
    burn: float


@dataclass(frozen=True, slots=True)
class Objective:
    """Represents a target fraction of good events.

    Either events are good up to a limit of their duration, or good and bad
    events have metrics of their own.
    """

    name: str
    target: float
    duration_metric: Metric | None = None
    limit_ms: float = 0.0
    good: tuple[Metric, ...] = ()
    bad: tuple[Metric, ...] = ()


OBJECTIVES = (
    Objective('program latency', 0.95, Metric.PROGRAM_LATENCY, 60_000.0),
    Objective('first token', 0.95, Metric.FIRST_TOKEN, 340.0),
    Objective(
        'availability',
        0.999,
        good=(Metric.SUCCEEDED,),
        bad=(Metric.FAILED,),
    ),
    Objective(
        'wrongful refusals',
        0.999,
        good=(Metric.ADMITTED, Metric.REFUSED),
        bad=(Metric.REFUSED_IN_DOUBT,),
    ),
)
ALERT_RULES = (
    AlertRule(Severity.PAGE, HOUR_S / 12, HOUR_S, 14.4),
    AlertRule(Severity.TICKET, HOUR_S / 2, 6 * HOUR_S, 6.0),
)


@dataclass(frozen=True, slots=True)
class Tally:
    """Holds the counts of good and bad events."""

    good: int = 0
    bad: int = 0

    def add(self, other: 'Tally') -> 'Tally':
        """Return the sum of two tallies."""
        return Tally(self.good + other.good, self.bad + other.bad)

    def burn_rate(self, target: float) -> float:
        """Return the bad events divided by those that the target allows."""
        total = self.good + self.bad
        if total == 0 or target >= 1:
            return 0.0
        return self.bad / total / (1 - target)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Holds the burn rate and the number of events of one window."""

    window_s: float
    burn: float
    events: int


@dataclass(frozen=True, slots=True)
class BurnLine:
    """Holds one objective's state for an organisation and route.

    `bad` counts the events that missed the objective. `budget_left` is the
    unspent fraction of the error budget, negative if it is overspent.
    """

    objective: str
    target: float
    organisation_id: str
    route: str
    events: int
    bad: int
    budget_left: float
    windows: tuple[WindowBurn, ...]
    alerts: tuple[Severity, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Holds a report's lines, and burn rates by objective and slot's end.

    A slot is a period of the metrics; its end is in wall-clock seconds.
    """

    taken_at_s: float
    instances: tuple[str, ...]
    lines: tuple[BurnLine, ...]
    burns_by_objective: Mapping[str, Mapping[float, float]] = field(
        default_factory=dict
    )


@dataclass(frozen=True, slots=True)
class _LineKey:
    objective: Objective
    organisation_id: str
    route: str


def tally_value(value: SlotValue, objective: Objective) -> Tally | None:
    """Return a value's good and bad events, None if not of the objective."""
    if value.metric in objective.bad:
        return Tally(0, value.count)
    if value.metric in objective.good:
        return Tally(value.count, 0)
    if value.metric is not objective.duration_metric:
        return None
    histogram = HdrHistogram.decode(value.histogram)
    good = count_up_to(histogram, objective.limit_ms)
    return Tally(good, histogram.get_total_count() - good)


def count_up_to(histogram: HdrHistogram, limit_ms: float) -> int:
    """Return how many values are at most a limit, to bucket resolution."""
    limit = int(min(limit_ms, HIGHEST_MS))
    index = histogram.get_counts_array_index(limit)
    return sum(histogram.get_count_at_index(i) for i in range(index + 1))


def compute_report(
    snapshots: Iterable[Snapshot],
    now_s: float,
    objectives: Iterable[Objective] = OBJECTIVES,
    rules: Iterable[AlertRule] = ALERT_RULES,
) -> BurnReport:
    """Return the report over all retained slots of the instances."""
    all_snapshots = tuple(snapshots)
    objectives = tuple(objectives)
    rules = tuple(rules)
    tallies_by_key: dict[_LineKey, dict[float, Tally]] = {}
    for snapshot in all_snapshots:
        for value in snapshot.values:
            ends_at_s = float((value.slot + 1) * snapshot.slot_s)
            for objective in objectives:
                tally = tally_value(value, objective)
                if tally is None:
                    continue
                key = _LineKey(objective, value.organisation_id, value.route)
                tallies_by_end_s = tallies_by_key.setdefault(key, {})
                tallies_by_end_s[ends_at_s] = tallies_by_end_s.get(
                    ends_at_s, Tally()
                ).add(tally)
    lines = tuple(
        _compute_line(key, tallies_by_end_s, now_s, rules)
        for key, tallies_by_end_s in sorted(
            tallies_by_key.items(), key=lambda item: _sort_key(item[0])
        )
    )
    return BurnReport(
        now_s,
        tuple(sorted(snapshot.instance_id for snapshot in all_snapshots)),
        lines,
        _compute_burns_by_objective(tallies_by_key),
    )


def _sort_key(key: _LineKey) -> tuple[str, str, str]:
    return key.objective.name, key.organisation_id, key.route


def _compute_line(
    key: _LineKey,
    tallies_by_end_s: Mapping[float, Tally],
    now_s: float,
    rules: tuple[AlertRule, ...],
) -> BurnLine:
    target = key.objective.target
    total = sum_tallies(tallies_by_end_s.values())
    windows_s = sorted(
        {w for r in rules for w in (r.short_window_s, r.long_window_s)}
    )
    burns_by_window_s = {
        w: compute_window_burn(tallies_by_end_s, target, now_s, w)
        for w in windows_s
    }
    alerts = tuple(
        rule.severity
        for rule in rules
        if burns_by_window_s[rule.short_window_s].burn >= rule.burn
        and burns_by_window_s[rule.long_window_s].burn >= rule.burn
    )
    return BurnLine(
        key.objective.name,
        target,
        key.organisation_id,
        key.route,
        total.good + total.bad,
        total.bad,
        1 - total.burn_rate(target),
        tuple(burns_by_window_s.values()),
        alerts,
    )


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of some tallies."""
    total = Tally()
    for tally in tallies:
        total = total.add(tally)
    return total


def compute_window_burn(
    tallies_by_end_s: Mapping[float, Tally],
    target: float,
    now_s: float,
    window_s: float,
) -> WindowBurn:
    """Return the burn rate over the slots that end within a window."""
    total = sum_tallies(
        tally
        for ends_at_s, tally in tallies_by_end_s.items()
        if ends_at_s > now_s - window_s
    )
    return WindowBurn(
        window_s, total.burn_rate(target), total.good + total.bad
    )


def _compute_burns_by_objective(
    tallies_by_key: Mapping[_LineKey, Mapping[float, Tally]],
) -> dict[str, dict[float, float]]:
    totals_by_objective: dict[Objective, dict[float, Tally]] = {}
    for key, tallies_by_end_s in tallies_by_key.items():
        totals_by_end_s = totals_by_objective.setdefault(key.objective, {})
        for ends_at_s, tally in tallies_by_end_s.items():
            totals_by_end_s[ends_at_s] = totals_by_end_s.get(
                ends_at_s, Tally()
            ).add(tally)
    return {
        objective.name: {
            ends_at_s: tally.burn_rate(objective.target)
            for ends_at_s, tally in sorted(totals_by_end_s.items())
        }
        for objective, totals_by_end_s in totals_by_objective.items()
    }
