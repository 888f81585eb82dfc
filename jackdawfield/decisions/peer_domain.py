"""Track what another failure domain reports and whether it keeps to it."""

from dataclasses import dataclass
from dataclasses import field
from math import inf

from jackdawfield.decisions.pool_events import PeerReport


@dataclass(slots=True)
class PeerDomain:
    """Holds a domain's report, and the requests it does not include yet.

    A request is returned if the domain refused it, queued it for too long or
    did not answer.
    """

    report: PeerReport
    sent_at_s: list[float] = field(default_factory=list)
    last_sent_s: float = -inf
    consecutive_returns: int = 0
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

    def record_sent(self, now_s: float) -> None:
        """Count a request that is sent to the domain."""
        self.sent_at_s.append(now_s)
        self.last_sent_s = now_s

    def record_return(
        self, now_s: float, pause_s: float, max_pause_s: float
    ) -> None:
        """Pause the domain, for longer with each return in a row.

        Returns are in a row if the domain was in use for less than
        `max_pause_s` between them.
        """
        if now_s < self.paused_until_s:
            return
        if now_s > self.paused_until_s + max_pause_s:
            self.consecutive_returns = 0
        doublings = min(8, self.consecutive_returns)
        self.consecutive_returns += 1
        self.paused_until_s = now_s + min(max_pause_s, pause_s * 2**doublings)

    def open_slots(self, now_s: float, max_pause_s: float) -> int:
        """Return the slots that are probably open for further requests.

        A domain that has returned a request is sent one at a time until it
        has been in use for `max_pause_s` without another return.
        """
        offered = self.report.open_slots
        if now_s < self.paused_until_s + max_pause_s:
            offered = min(offered, 1)
        return offered - len(self.sent_at_s)

    def expected_wait_s(self, open_slots: int) -> float:
        """Return the expected wait of one more request in the domain."""
        excess = max(0, 1 - open_slots)
        return self.report.wait_s + excess * self.report.call_s
