"""Read the response of a backend server whose head has arrived."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.server_paths import ServerConnection


@dataclass(slots=True)
class ResponseStream:
    """Holds a call whose response has begun and reads the response's body.

    `confirm_end` looks whether the server's end explains that of an unframed
    response; `record_heard` records that the server was heard.
    """

    call: Call
    server: ServerState
    connection: ServerConnection
    head: ResponseHead
    confirm_end: Callable[[ServerState], Awaitable[BodyEnd]]
    record_heard: Callable[[], None]
    # Pieces that were read ahead.
    pieces: collections.deque[bytes] = field(default_factory=collections.deque)
    end: BodyEnd | None = None
    sent_at_s: float = 0.0
    # Time until the first piece of the body, None before it arrived.
    first_piece_s: float | None = None
    # Whether a part of the answer that its caller can use was passed on.
    has_begun: bool = False
    on_first_piece: Callable[[], None] | None = None

    async def next_part(self) -> bytes | BodyEnd:
        """Return the next piece of the body, after the last one its end."""
        part = await self._next_part()
        if self.first_piece_s is None:
            self.record_first_piece()
        return part

    async def forward_body(
        self, write: Callable[[bytes], Awaitable[bool]]
    ) -> BodyEnd | None:
        """Write the body piece by piece; return None once a write fails."""
        while True:
            match await self.next_part():
                case bytes(piece):
                    self.has_begun = True
                    if not await write(piece):
                        return None
                case BodyEnd() as end:
                    return end

    def record_first_piece(self) -> None:
        """Record how long the first piece of the body took."""
        now_s = time.monotonic()
        self.first_piece_s = now_s - self.sent_at_s
        self.server.awaiting_since_s_by_connection.pop(
            id(self.connection), None
        )
        self.server.record_wait(self.first_piece_s, now_s)
        if self.on_first_piece is not None:
            self.on_first_piece()

    async def _next_part(self) -> bytes | BodyEnd:
        if self.pieces:
            return self.pieces.popleft()
        if self.end is not None:
            return self.end
        return await self.read_part()

    async def read_part(self) -> bytes | BodyEnd:
        """Read the next piece from the connection, after the last its end."""
        part = await self.connection.next_part()
        assert not isinstance(part, ResponseHead)
        if isinstance(part, bytes):
            self.record_heard()
        if part is not BodyEnd.UNCONFIRMED:
            return part
        # The end stays unconfirmed if the caller's timeout ends the look.
        self.end = part
        self.end = await self.confirm_end(self.server)
        return self.end

    async def buffer_body(self, limit_bytes: int) -> None:
        """Read ahead until the end of the body or the limit."""
        size = 0
        while size < limit_bytes:
            match await self.read_part():
                case bytes(piece):
                    self.pieces.append(piece)
                    size += len(piece)
                case BodyEnd() as end:
                    self.end = end
                    return
