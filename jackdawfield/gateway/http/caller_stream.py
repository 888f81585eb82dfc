"""Record what arrives on a caller's connection and what closed it."""

import asyncio
from collections.abc import Awaitable
from enum import Enum
import socket
import time
from typing import Protocol

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from jackdawfield.gateway.http.caller_limits import CallerLimits
from jackdawfield.gateway.http.caller_limits import NO_STATUS
from jackdawfield.gateway.http.memory_budget import CONNECTION_BYTES
from jackdawfield.gateway.http.memory_budget import Holder
from jackdawfield.gateway.http.memory_budget import Phase
from jackdawfield.gateway.http.memory_budget import RESPONSE_AHEAD_BYTES
from jackdawfield.sockets import has_unread_input

# A body in smaller chunks is read in slices, so that others get their turn.
SMALL_CHUNK_BYTES = 256
SLICE_CHUNKS = 32
# Bodies whose slices would wait beyond this many are refused.
MAX_WAITING_SLICES = 200
STATUS_TOO_MANY_FIELDS = 431
TOO_MANY_FIELDS = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class CloseReason(Enum):
    """Names what closed a caller's connection."""

    CALLER = 'caller'
    LAST_RESPONSE = 'last response'
    IDLE_AT_STOP = 'idle at planned stop'
    IDLE_LIMIT = 'idle for too long'
    HEAD_TIMEOUT = 'request head incomplete'
    TOO_MANY_FIELDS = 'too many header fields'
    LIMITS = 'limits of all callers'
    NOT_READ = 'response not read'
    PROCESS_END = 'process end'


class Receiver(Protocol):
    """Represents what receives a connection's present request."""

    @property
    def is_handled(self) -> bool:
        """Return whether the request is whole or refused."""

    def refuse_unfinished(self, reason: str) -> int:
        """Refuse a request that is not whole; return the status, else 0."""


class CallerStream(IOStream):
    """Represents a caller's connection, on which requests follow each other.

    `received_bytes` counts what was read since the last request, also what
    belongs to later ones; `first_read_at_s` is when its first byte was
    counted, and `idle_since_s` when the wait for it began, both by the
    monotonic clock. `progress_at_s` is when the caller last sent or, after a
    pause, read anything, and `unread_bytes` wait for it to read on.
    """

    received_bytes = 0
    unread_bytes = 0
    held_bytes = 0
    copy_bytes = 0
    idle_since_s = 0.0
    first_read_at_s: float | None = None
    close_reason = CloseReason.CALLER
    receiver: Receiver | None = None
    _chunk_count = 0
    _unread_charge = 0

    def __init__(
        self, sock: socket.socket, address: str, limits: CallerLimits
    ) -> None:
        super().__init__(sock)
        self.address = address
        self.limits = limits
        self.progress_at_s = time.monotonic()

    def begin_request(self, receiver: Receiver) -> None:
        """Count anew, for the next request on the connection."""
        self.receiver = receiver
        self._chunk_count = 0
        # What was read together with the request before belongs to this one.
        self.received_bytes = self._read_buffer_size
        self.idle_since_s = time.monotonic()
        self.first_read_at_s = (
            self.idle_since_s if self.received_bytes else None
        )
        held = CONNECTION_BYTES + self.received_bytes + self._unread_charge
        # The handler of the request before ends a little later.
        held += self.copy_bytes
        self.charge(held - self.held_bytes)

    def charge(self, count: int) -> None:
        """Charge what is held for the connection to the limits."""
        self.limits.charge(self, count)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and count what was read."""
        if self.limits.is_full and self.reading():
            # Some connections give way in the next turn of the event loop.
            self.limits.free_soon()
            return None
        count = super().read_from_fd(buf)
        if count:
            self.received_bytes += count
            self.progress_at_s = time.monotonic()
            self.first_read_at_s = self.first_read_at_s or self.progress_at_s
            self.charge(count)
        return count

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Read a request's head; refuse one of too many fields."""
        head = await super().read_until_regex(regex, max_bytes)
        if head.count(b'\n') <= self.limits.max_fields:
            return head
        self.limits.refusals.add(
            'header fields', STATUS_TOO_MANY_FIELDS, address=self.address
        )
        super().write(TOO_MANY_FIELDS)
        self.close_for(CloseReason.TOO_MANY_FIELDS)
        raise StreamClosedError

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the size of a body's next chunk."""
        self._chunk_count += 1
        if (
            self._chunk_count % SLICE_CHUNKS == 0
            and self.received_bytes < self._chunk_count * SMALL_CHUNK_BYTES
        ):
            if self.limits.slices.waiting_count < MAX_WAITING_SLICES:
                return self._read_after_pause(delimiter, max_bytes)
            status = self.give_way('tiny chunks')
            self.limits.refusals.add(
                'tiny chunks', status, address=self.address
            )
        return super().read_until(delimiter, max_bytes)

    async def _read_after_pause(
        self, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        await self.limits.slices.pause()
        return await super().read_until(delimiter, max_bytes)

    def write(self, data: bytes | memoryview) -> 'asyncio.Future[None]':
        """Write to the caller, and charge what waits to be read."""
        self.unread_bytes += len(data)
        written = super().write(data)
        if self.unread_bytes:
            self._charge_unread()
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket, and count what it took."""
        count = super().write_to_fd(data)
        self.unread_bytes -= count
        if self._unread_charge:
            self.progress_at_s = time.monotonic()
            self._charge_unread()
        return count

    def _charge_unread(self) -> None:
        """Charge what waits to be read, and what is read ahead for it."""
        if not self._unread_charge:
            self.progress_at_s = time.monotonic()
        charge = self.unread_bytes and self.unread_bytes + RESPONSE_AHEAD_BYTES
        self.charge(charge - self._unread_charge)
        self._unread_charge = charge

    def close_fd(self) -> None:
        """Close the socket, and forget what was held for the connection."""
        self.limits.discard(self)
        super().close_fd()

    def describe(self, number: int) -> Holder:
        """Return what is held for the connection."""
        return Holder(
            number,
            self.address,
            self._phase,
            self.held_bytes,
            self.unread_bytes,
            self.first_read_at_s or self.idle_since_s,
            max(self.progress_at_s, self.idle_since_s),
        )

    @property
    def _phase(self) -> Phase:
        if self.receiver is not None and self.receiver.is_handled:
            return Phase.HANDLED
        return Phase.ARRIVING if self.received_bytes else Phase.IDLE

    def give_way(self, reason: str) -> int:
        """Refuse an unfinished request and close the connection.

        Return the status of the refusal, 0 if it was closed without.
        """
        status = NO_STATUS
        if self.receiver is not None:
            status = self.receiver.refuse_unfinished(reason)
        self.close_for(CloseReason.LIMITS)
        return status

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
