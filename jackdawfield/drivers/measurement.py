"""Measure calls from their events."""

from collections.abc import AsyncIterator
import time

from jackdawfield.messages.calls import CallChunk
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.calls import CallFinished
from jackdawfield.metrics import Metric
from jackdawfield.metrics import Registry

MS_PER_S = 1000
MIN_SERVER_ERROR_STATUS = 500
NO_ORGANISATION_LABEL = 'open'


class CallMeter:
    """Records one call's outcome and the time to its first token.

    Errors with a status below 500 count neither as success nor as failure.
    """

    def __init__(
        self, metrics: Registry, organisation_id: str, route: str
    ) -> None:
        self._metrics = metrics
        self._organisation_id = organisation_id or NO_ORGANISATION_LABEL
        self._route = route
        self._started_s = time.monotonic()
        self._has_first_chunk = False

    async def measure(
        self, events: AsyncIterator[CallEvent]
    ) -> AsyncIterator[CallEvent]:
        """Record the call's events and yield them unchanged."""
        try:
            async for event in events:
                self._record_event(event)
                yield event
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    def _record_event(self, event: CallEvent) -> None:
        match event:
            case CallChunk() if not self._has_first_chunk:
                self._has_first_chunk = True
                elapsed_s = time.monotonic() - self._started_s
                self._metrics.record(
                    Metric.FIRST_TOKEN,
                    self._organisation_id,
                    self._route,
                    elapsed_s * MS_PER_S,
                    time.time(),
                )
            case CallFinished():
                self._count(Metric.SUCCEEDED)
            case CallFailed(status=status) if (
                status >= MIN_SERVER_ERROR_STATUS
            ):
                self._count(Metric.FAILED)

    def _count(self, metric: Metric) -> None:
        self._metrics.count(
            metric, self._organisation_id, self._route, time.time()
        )
