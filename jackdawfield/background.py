"""Runs work beside what started it, and logs what fails."""

import asyncio
from collections.abc import Coroutine
import logging
from typing import Any

LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Holds tasks until they end; a failed one is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start work."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('event=task_failed', exc_info=task.exception())

    async def wait(self, timeout_s: float) -> None:
        """Wait until all have ended, at most for a time."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def cancel(self) -> None:
        """Cancel all that have not ended."""
        for task in list(self._tasks):
            task.cancel()
