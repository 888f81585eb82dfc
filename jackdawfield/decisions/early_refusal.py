"""Refuse at once what cannot be served in time, and space the returns.

A return is the time at which a refused caller may submit its request again.
"""

from dataclasses import dataclass

from jackdawfield.decisions.pool_events import RefusalReason
from jackdawfield.decisions.pool_events import SlotDemand

# What is left of the count of grants after a further grant.
GRANT_DECAY_FACTOR = 0.99


@dataclass(frozen=True, slots=True)
class RefusalSettings:
    """Sets when requests are refused early.

    A new program is refused if its first wait takes more than the fraction
    `first_wait_fraction` of the time until its finish; zero sets no limit.
    With `counts_call`, a request that has to wait needs time for a mean call
    as well; with `counts_outage`, it is refused if all servers are avoided
    for too long. Returns are from `min_retry_after_s` to `max_retry_after_s`
    away, and with `spaces_returns` not at the same time.
    """

    first_wait_fraction: float = 0.0
    counts_call: bool = False
    counts_outage: bool = False
    min_retry_after_s: float = 0.5
    max_retry_after_s: float = 10.0
    spaces_returns: bool = False


def latest_start_s(
    demand: SlotDemand,
    submitted_at_s: float,
    call_s: float,
    settings: RefusalSettings,
) -> float:
    """Return the latest start at which a request is worth serving."""
    latest_s = demand.deadline_s
    if settings.counts_call:
        latest_s -= call_s
    if not settings.first_wait_fraction or not demand.begins_program:
        return latest_s
    if demand.finish_s is None:
        return latest_s
    left_s = demand.finish_s - submitted_at_s
    first_s = submitted_at_s + settings.first_wait_fraction * left_s
    return min(latest_s, first_s)


def late_reason(
    demand: SlotDemand,
    start_s: float,
    call_s: float,
    settings: RefusalSettings,
) -> RefusalReason:
    """Return why a request that would start too late is refused."""
    if start_s + settings.counts_call * call_s >= demand.deadline_s:
        return RefusalReason.DEADLINE
    return RefusalReason.PROGRAM_LATE


class ReturnSchedule:
    """Spaces the returns of refused callers by the slots they will need."""

    def __init__(self, settings: RefusalSettings) -> None:
        self._settings = settings
        self._next_at_s = 0.0
        self._grants = 1.0
        self._begun = 1.0

    def record_grant(self, begins_program: bool) -> None:
        """Count a granted call."""
        self._grants = GRANT_DECAY_FACTOR * self._grants + 1
        self._begun = GRANT_DECAY_FACTOR * self._begun + begins_program

    def retry_after_s(
        self,
        begins_program: bool,
        wait_s: float,
        longest_wait_s: float,
        slot_wait_s: float,
        now_s: float,
    ) -> float:
        """Return the seconds until a caller may return.

        By then its wait is expected to be down to the longest one that it
        can bear, and those who were refused before it have been served, a
        new program with all its calls, at one slot every `slot_wait_s`.
        """
        least_s = self._settings.min_retry_after_s
        most_s = self._settings.max_retry_after_s
        if not self._settings.spaces_returns:
            return min(most_s, max(least_s, wait_s / 2))
        excess_s = wait_s - max(0.0, longest_wait_s)
        calls = self._grants / max(1.0, self._begun) if begins_program else 1
        interval_s = slot_wait_s * calls
        own_after_s = max(least_s, excess_s)
        after_others_s = self._next_at_s + interval_s - now_s
        after_s = min(most_s, max(own_after_s, after_others_s))
        self._next_at_s = now_s + after_s
        return after_s
