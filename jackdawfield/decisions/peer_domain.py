"""Track what another failure domain reports and whether it keeps to it."""

from dataclasses import dataclass
from dataclasses import field
from math import inf

from jackdawfield.decisions.pool_events import PeerReport

# How many times the length of a pause is doubled at most.
MAX_DOUBLINGS = 8
# What is left of the counts of sent and returned requests at each report.
REPORT_DECAY = 0.75
# A domain is paused if it has returned this many requests, and this share of
# those sent.
MIN_RETURNED = 2.0
MAX_RETURNED_SHARE = 0.75


@dataclass(slots=True)
class PeerDomain:
    """Holds a domain's report, and the requests it does not include yet.

    A request is returned if the domain refused it, queued it or did not
    answer. `pauses` counts the pauses since a request was kept.
    """

    report: PeerReport
    sent_at_s: list[float] = field(default_factory=list)
    last_sent_s: float = -inf
    returned_since_report: int = 0
    sent: float = 0.0
    returned: float = 0.0
    pauses: int = 0
    paused_until_s: float = -inf

    def apply_report(self, report: PeerReport) -> None:
        """Replace the report, unless the new one was made earlier.

        Requests that had not arrived when it was made are kept.
        """
        if report.now_s < self.report.now_s:
            return
        self.report = report
        sent_before_s = report.now_s - report.round_trip_s / 2
        self.sent_at_s = [at for at in self.sent_at_s if at > sent_before_s]
        self.returned_since_report = 0
        self.sent *= REPORT_DECAY
        self.returned *= REPORT_DECAY
        if self.returned < MAX_RETURNED_SHARE * self.sent:
            self.pauses = 0

    def record_sent(self, now_s: float) -> None:
        """Count a request that is sent to the domain."""
        self.sent_at_s.append(now_s)
        self.last_sent_s = now_s
        self.sent += 1

    def record_return(
        self, now_s: float, pause_s: float, max_pause_s: float
    ) -> None:
        """Pause a domain that returns most requests, longer each time."""
        self.returned += 1
        self.returned_since_report += 1
        if now_s < self.paused_until_s:
            return
        if not self.pauses and self.returned < MIN_RETURNED:
            return
        if self.returned < MAX_RETURNED_SHARE * self.sent:
            return
        doublings = min(MAX_DOUBLINGS, self.pauses)
        self.pauses += 1
        self.paused_until_s = now_s + min(max_pause_s, pause_s * 2**doublings)

    def open_slots(self) -> int:
        """Return the slots that are probably open for further requests.

        A returned request found less open than reported. After a pause, one
        request is sent by each report until some of them are kept.
        """
        offered = self.report.open_slots
        if self.pauses:
            offered = min(offered, 1)
        return offered - len(self.sent_at_s) - self.returned_since_report

    def expected_wait_s(self) -> float:
        """Return the expected wait of one more request in the domain."""
        excess = max(0, 1 - self.open_slots())
        return self.report.wait_s + excess * self.report.call_s
