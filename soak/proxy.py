"""Forward loopback TCP connections and inject link faults."""

import asyncio
from enum import Enum
import time

from jackdawfield.standins.base import reset_connection

CHUNK_BYTES = 65536
SLOW_DELAY_S = 0.15


class LinkFault(Enum):
    """Defines the faults that apply to all connections of a proxy."""

    NONE = 'none'
    # Each chunk is forwarded after a delay, in both directions.
    SLOW = 'slow'
    # Bytes are held back in both directions until the fault ends.
    STALLED = 'silent'
    # Requests are forwarded; bytes from the target are held back.
    RESPONSES_STALLED = 'answers held'


class FaultProxy:
    """Forwards connections to a target address and injects faults."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections before this number have fallen silent for good.
        self._first_working = 0
        self._connection_count = 0
        self._fault_changed = asyncio.Event()
        self._fault = LinkFault.NONE
        self.port = 0
        self.started_ms = 0

    @property
    def is_listening(self) -> bool:
        """Return whether the proxy accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._handle_connection, self.host, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.mark_restarted()

    def mark_restarted(self) -> None:
        """Let the server be listed with a later start."""
        self.started_ms = time.time_ns() // 1_000_000

    def set_fault(self, fault: LinkFault) -> None:
        """Replace the active fault."""
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    def silence_connections(self) -> None:
        """Drop from now on what the open connections carry.

        They stay open, and new ones work.
        """
        self._first_working = self._connection_count

    def reset_connections(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            reset_connection(writer)

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, target_writer}
        number = self._connection_count
        self._connection_count += 1
        request_blockers = frozenset((LinkFault.STALLED,))
        response_blockers = frozenset(
            (LinkFault.STALLED, LinkFault.RESPONSES_STALLED)
        )
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, request_blockers, number),
                self._forward(
                    target_reader, writer, response_blockers, number
                ),
            )
        except asyncio.CancelledError:
            # Only the end of a run cancels this task; no caller awaits it.
            return
        finally:
            self._writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        blockers: frozenset[LinkFault],
        number: int,
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                while self._fault in blockers:
                    await self._fault_changed.wait()
                if number < self._first_working:
                    continue
                if self._fault is LinkFault.SLOW:
                    await asyncio.sleep(SLOW_DELAY_S)
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            reset_connection(sink)
            return
        if number >= self._first_working:
            sink.close()
