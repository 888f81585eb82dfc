"""Track which part of each group's new programs has been begun lately."""

from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

DECAY_INTERVAL_S = 1.0
# What is left of a count after an interval.
DECAY_FACTOR = 0.8
# A count that has decayed below this is dropped.
MIN_COUNT = 0.1
# A group is neglected if the part begun is smaller than this, relative to
# the group that is served best.
NEGLECTED_FRACTION = 0.3

Group = TypeVar('Group', bound=Hashable)


class ServedFractions(Generic[Group]):
    """Counts the programs that were submitted and begun, by group."""

    def __init__(self) -> None:
        self._submitted_by_group: dict[Group, float] = {}
        self._begun_by_group: dict[Group, float] = {}
        self._best_fraction = 0.0
        self._decayed_at_s = 0.0

    def record_submitted(self, group: Group, now_s: float) -> None:
        """Count a submitted program."""
        self._decay(now_s)
        count = self._submitted_by_group.get(group, 0.0)
        self._submitted_by_group[group] = count + 1
        self._update_best()

    def record_begun(self, group: Group) -> None:
        """Count a program whose first call has been granted a slot."""
        count = self._begun_by_group.get(group, 0.0)
        self._begun_by_group[group] = count + 1
        self._update_best()

    def is_neglected(self, group: Group) -> bool:
        """Return whether a group's part begun is far below the best one's."""
        least = NEGLECTED_FRACTION * self._best_fraction
        return self._fraction(group) < least

    def _fraction(self, group: Group) -> float:
        submitted = self._submitted_by_group.get(group, 0.0)
        if not submitted:
            return 1.0
        return min(1.0, self._begun_by_group.get(group, 0.0) / submitted)

    def _update_best(self) -> None:
        self._best_fraction = max(
            (self._fraction(group) for group in self._submitted_by_group),
            default=0.0,
        )

    def _decay(self, now_s: float) -> None:
        if now_s - self._decayed_at_s < DECAY_INTERVAL_S:
            return
        self._decayed_at_s = now_s
        self._submitted_by_group = _decayed(self._submitted_by_group)
        self._begun_by_group = _decayed(self._begun_by_group)


def _decayed(count_by_group: dict[Group, float]) -> dict[Group, float]:
    return {
        group: count * DECAY_FACTOR
        for group, count in count_by_group.items()
        if count * DECAY_FACTOR >= MIN_COUNT
    }
