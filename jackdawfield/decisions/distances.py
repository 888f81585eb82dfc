"""Estimate round trips between failure domains, and how late messages are."""

from collections import deque
from collections import OrderedDict

from jackdawfield.model import DomainId

RECENT_SAMPLES = 16
# Part of the way that an estimate moves to the smallest recent sample.
SMOOTHING_FACTOR = 0.25
# Senders whose messages are compared at most.
MAX_SENDERS = 256


class RecentMinimum:
    """Holds the smallest of the last RECENT_SAMPLES samples."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=RECENT_SAMPLES)

    def record(self, sample: float) -> float:
        """Add a sample and return the smallest recent one."""
        self._samples.append(sample)
        return min(self._samples)


class RoundTrips:
    """Estimates the round trip to each failure domain from measured ones.

    The estimate follows the smallest recent sample, which contains the least
    time spent in queues.
    """

    def __init__(self) -> None:
        self._minimums_by_domain: dict[DomainId, RecentMinimum] = {}
        self._estimates_s_by_domain: dict[DomainId, float] = {}

    def record(self, domain_id: DomainId, sample_s: float) -> None:
        """Update the estimate of a domain from a measured round trip."""
        recent = self._minimums_by_domain.setdefault(
            domain_id, RecentMinimum()
        )
        least_s = recent.record(sample_s)
        before_s = self._estimates_s_by_domain.get(domain_id, least_s)
        self._estimates_s_by_domain[domain_id] = before_s + (
            SMOOTHING_FACTOR * (least_s - before_s)
        )

    def estimate_s(self, domain_id: DomainId) -> float:
        """Return the estimated round trip, zero before any sample."""
        return self._estimates_s_by_domain.get(domain_id, 0.0)


class Lateness:
    """Estimates how much later than usual a sender's messages arrive.

    Sender and receiver have clocks with different origins, so only the
    difference to the fastest recent message of the same sender is known.
    """

    def __init__(self) -> None:
        self._minimums_by_sender: OrderedDict[str, RecentMinimum] = (
            OrderedDict()
        )

    def record(self, sender: str, sent_s: float, arrived_s: float) -> float:
        """Return the additional time in seconds that a message has taken.

        `sent_s` is a time of the sender's clock. The sender that was silent
        for longest is removed if there are too many.
        """
        taken_s = arrived_s - sent_s
        recent = self._minimums_by_sender.setdefault(sender, RecentMinimum())
        self._minimums_by_sender.move_to_end(sender)
        if len(self._minimums_by_sender) > MAX_SENDERS:
            self._minimums_by_sender.popitem(last=False)
        return taken_s - recent.record(taken_s)
