"""Run coroutines in background tasks and log the failed ones."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import time
from typing import Any

LOG = logging.getLogger(__name__)
# Time until a failed task is started again, doubled with each failure in a
# row.
MIN_RESTART_S = 0.1
MAX_RESTART_S = 2.0


class BackgroundTasks:
    """Holds background tasks until they end and logs failed ones."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        # How often a supervised task has failed.
        self.restart_count = 0

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start a task that runs a coroutine."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def supervise(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Start a task, and start it again after each failure."""
        self.spawn(self._keep_running(name, run))

    async def _keep_running(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        backoff_s = MIN_RESTART_S
        while True:
            started_s = time.monotonic()
            try:
                await run()
                return
            except Exception:
                self.restart_count += 1
                LOG.exception('event=task_restarted task=%s', name)
            if time.monotonic() - started_s > MAX_RESTART_S:
                backoff_s = MIN_RESTART_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_RESTART_S, backoff_s * 2)

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
