"""Queue the parts of a response until its consumer takes them."""

import asyncio
from collections import deque

from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import Part
from jackdawfield.gateway.http.messages import ResponseHead

# Pieces of a body are joined up to this size.
JOINED_BYTES = 65536


class PartQueue:
    """Holds the parts of one response.

    Pieces of the body that follow each other are joined, so that memory and
    work grow with the bytes of a body and not with the number of its pieces.
    """

    def __init__(self) -> None:
        self._parts: deque[ResponseHead | bytearray | BodyEnd] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self._parts)

    def put(self, part: Part) -> None:
        """Add a part after those that are held."""
        match part:
            case bytes():
                self._put_piece(part)
            case _:
                self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _put_piece(self, piece: bytes) -> None:
        self.body_bytes += len(piece)
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) < JOINED_BYTES:
            last += piece
            return
        self._parts.append(bytearray(piece))

    async def get(self) -> Part:
        """Return the next part; wait for it if there is none."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, bytearray):
            self.body_bytes -= len(part)
            return bytes(part)
        return part

    def clear(self) -> None:
        """Drop all parts."""
        self._parts.clear()
        self.body_bytes = 0
