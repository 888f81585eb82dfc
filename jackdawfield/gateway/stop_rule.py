"""Decide which calls an instance that stops may still send."""

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal

# Retry-After of refusals at a planned stop; other instances serve at once.
RETRY_AT_STOP_S = 0.05


class StopRule:
    """Refuses the calls that may not end before this instance does."""

    def __init__(self) -> None:
        # Calls that are due later are refused; None unless stopping.
        self._latest_deadline_s: float | None = None

    def refuse_calls_due_after(self, deadline_s: float) -> None:
        """Refuse from now on the calls whose deadline is after a time.

        Both are by the monotonic clock.
        """
        self._latest_deadline_s = deadline_s

    def check(self, call: Call) -> Refusal | None:
        """Return a refusal if a call must not be sent any more."""
        latest_s = self._latest_deadline_s
        if latest_s is None or call.deadline_s <= latest_s:
            return None
        return Refusal(503, 'instance stops', RETRY_AT_STOP_S)
