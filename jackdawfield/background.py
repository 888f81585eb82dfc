"""Run coroutines in background tasks and log the failed ones."""

import asyncio
from collections.abc import Coroutine
import logging
from typing import Any

LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Holds background tasks until they end and logs failed ones."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start a task that runs a coroutine."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('event=task_failed', exc_info=task.exception())

    async def wait(self, timeout_s: float) -> None:
        """Wait until all tasks have ended, at most for the timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def cancel(self) -> None:
        """Cancel all tasks that have not ended."""
        for task in list(self._tasks):
            task.cancel()
