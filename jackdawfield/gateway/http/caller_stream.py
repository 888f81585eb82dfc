"""Record what arrives on a caller's connection and what closed it."""

from enum import Enum
import time

from tornado.iostream import IOStream

from jackdawfield.sockets import has_unread_input


class CloseReason(Enum):
    """Names what closed a caller's connection."""

    CALLER = 'caller'
    LAST_RESPONSE = 'last response'
    IDLE_AT_STOP = 'idle at planned stop'
    IDLE_LIMIT = 'idle for too long'
    HEAD_TIMEOUT = 'request head incomplete'
    PROCESS_END = 'process end'


class CallerStream(IOStream):
    """Represents a caller's connection, on which requests follow each other.

    `received_bytes` counts what was read since the last request, also what
    belongs to later ones; `first_read_at_s` is when its first byte was
    counted, and `idle_since_s` when the wait for it began, both by the
    monotonic clock.
    """

    received_bytes = 0
    idle_since_s = 0.0
    first_read_at_s: float | None = None
    close_reason = CloseReason.CALLER

    def begin_request(self) -> None:
        """Count anew, for the next request on the connection."""
        # What was read together with the request before belongs to this one.
        self.received_bytes = self._read_buffer_size
        self.idle_since_s = time.monotonic()
        self.first_read_at_s = (
            self.idle_since_s if self.received_bytes else None
        )

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and count what was read."""
        count = super().read_from_fd(buf)
        if count:
            self.received_bytes += count
            self.first_read_at_s = self.first_read_at_s or time.monotonic()
        return count

    @property
    def awaits_request(self) -> bool:
        """Return whether nothing of the next request has arrived.

        Bytes in the socket count: once the connection is closed, what is
        neither read nor in the socket can no longer be read.
        """
        if self.closed() or self.received_bytes:
            return False
        return self.reading() and not has_unread_input(self.socket.fileno())

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection and record the reason."""
        if not self.closed():
            self.close_reason = reason
            self.close()
