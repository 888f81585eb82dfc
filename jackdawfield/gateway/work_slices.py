"""Share the event loop with sources that send more than it can handle.

Work that arrives in many small pieces is done in slices of bounded length.
What is left waits here. One slice is done at a time, with a pause before it,
so that all such sources together leave most of the loop to the others.
"""

import asyncio
import collections
from collections.abc import Callable

# Pieces of a body, or lines of a stream, that are handled in one slice.
SLICE_PIECES = 32
# Pause before each slice, in which the loop serves the others.
PAUSE_S = 0.005


class WorkSlices:
    """Resumes work that was interrupted, one slice after another."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._timer: asyncio.TimerHandle | None = None
        # How many slices had to wait.
        self.deferred_count = 0

    @property
    def waiting_count(self) -> int:
        """Return how many slices wait for their turn."""
        return len(self._waiting)

    def resume_later(self, work: Callable[[], None]) -> None:
        """Run the next slice of some work after those that wait already."""
        self.deferred_count += 1
        self._waiting.append(work)
        self._schedule()

    async def pause(self) -> None:
        """Wait until it is this task's turn to go on."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def resume() -> None:
            if not turn.done():
                turn.set_result(None)

        self.resume_later(resume)
        await turn

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(PAUSE_S, self._run_next)

    def _run_next(self) -> None:
        self._timer = None
        work = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        work()
