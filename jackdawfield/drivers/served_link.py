"""Track the exchanges on a peer's stream to this instance.

An exchange is one request and its answers.
"""

import asyncio
from functools import partial

from jackdawfield.drivers.peer_frames import encode_frame
from jackdawfield.drivers.peer_frames import Frame
from jackdawfield.drivers.peer_frames import FrameKind
from jackdawfield.drivers.peer_frames import STOPPING_EXCHANGE


class ServedLink:
    """Holds a peer's stream to this instance and its exchanges."""

    def __init__(self) -> None:
        # Number of the last exchange, below the first one's before any.
        self.last_taken = 0
        self.tasks_by_exchange: dict[int, asyncio.Task[None]] = {}
        # None ends the stream.
        self.outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()

    def send(self, frame: Frame) -> None:
        """Send a frame to the peer."""
        self.outgoing.put_nowait(encode_frame(frame))

    def announce_stop(self) -> None:
        """Tell the peer which exchanges were taken, and that none will be."""
        body = str(self.last_taken).encode()
        self.send(Frame(STOPPING_EXCHANGE, FrameKind.END, '', body))

    def take(self, exchange: int, task: asyncio.Task[None]) -> None:
        """Hold the task that answers an exchange until it has ended."""
        self.last_taken = exchange
        self.tasks_by_exchange[exchange] = task
        remove = partial(remove_task, self.tasks_by_exchange, exchange)
        task.add_done_callback(remove)

    def cancel(self, exchange: int) -> None:
        """Cancel an exchange that the asking instance has given up."""
        task = self.tasks_by_exchange.pop(exchange, None)
        if task is not None:
            task.cancel()

    def end(self) -> None:
        """End the stream after what was sent."""
        self.outgoing.put_nowait(None)


def remove_task(
    tasks: dict[int, asyncio.Task[None]],
    exchange: int,
    task: asyncio.Task[None],
) -> None:
    """Remove the task of an exchange that has ended."""
    tasks.pop(exchange, None)
