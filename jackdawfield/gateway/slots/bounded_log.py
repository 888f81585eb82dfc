"""Log frequent events at a bounded rate."""

import logging
import time

from jackdawfield.logs import log_event

# Minimum time between two lines of one event.
LOG_INTERVAL_S = 0.2


class BoundedLog:
    """Logs events, and counts those that came too soon after the last one."""

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger
        self._logged_at_s_by_event: dict[str, float] = {}
        self._unlogged_count_by_event: dict[str, int] = {}

    def log(self, event: str, **fields: object) -> None:
        """Log an event with its fields, or count it as not logged."""
        now_s = time.monotonic()
        logged_at_s = self._logged_at_s_by_event.get(event, float('-inf'))
        unlogged = self._unlogged_count_by_event.get(event, 0)
        if now_s - logged_at_s < LOG_INTERVAL_S:
            self._unlogged_count_by_event[event] = unlogged + 1
            return
        self._logged_at_s_by_event[event] = now_s
        self._unlogged_count_by_event[event] = 0
        log_event(
            self._logger, event, logging.INFO, not_logged=unlogged, **fields
        )
