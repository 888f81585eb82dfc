"""Passes bytes between two addresses of loopback, and troubles them."""

import asyncio
from enum import Enum

from jackdawfield.standins.base import reset_connection

CHUNK_BYTES = 65536
SLOW_S = 0.15


class Trouble(Enum):
    """Names what becomes of the bytes that pass."""

    NONE = 'none'
    SLOW = 'slow'
    SILENT = 'silent'
    # What the caller sends arrives, what comes back does not.
    ANSWERS_HELD = 'answers held'


class Proxy:
    """Listens on an address and passes what comes on to another."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self._trouble = Trouble.NONE
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set(self, trouble: Trouble) -> None:
        """Put a trouble in place of the one there is."""
        self._trouble = trouble
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            reset_connection(writer)

    def stop(self) -> None:
        """Listen no more and close every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, back}
        blocked_there = frozenset((Trouble.SILENT,))
        blocked_back = frozenset((Trouble.SILENT, Trouble.ANSWERS_HELD))
        try:
            await asyncio.gather(
                self._pump(reader, back, blocked_there),
                self._pump(there, writer, blocked_back),
            )
        except asyncio.CancelledError:
            # The run is over; nobody waits for this connection's end.
            return
        finally:
            self._writers -= {writer, back}

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        blocked: frozenset[Trouble],
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                while self._trouble in blocked:
                    await self._changed.wait()
                if self._trouble is Trouble.SLOW:
                    await asyncio.sleep(SLOW_S)
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            reset_connection(sink)
            return
        sink.close()
