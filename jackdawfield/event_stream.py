"""Parse server-sent events from a stream that arrives in pieces."""

from dataclasses import dataclass

# Far above any event of a model server. It bounds the memory that a server
# can take which sends bytes without ever completing an event.
MAX_EVENT_BYTES = 262144
DATA_FIELD = b'data'
ID_FIELD = b'id'


@dataclass(slots=True)
class StreamEvent:
    """Holds one event; the id and the data are None if it has none.

    `raw` are its bytes with the blank line that ends it.
    """

    raw: bytes
    event_id: bytes | None
    data: bytes | None


class EventParser:
    """Splits a stream into events; each byte is searched once.

    A caller stops once `is_oversized`: the event in progress is too large.
    """

    __slots__ = ('_buffer', '_line_starts_at', '_lines')

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Complete lines of the event in progress, and where the next begins.
        self._lines: list[bytes] = []
        self._line_starts_at = 0

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Return the events that a piece completes."""
        searched_to = len(self._buffer)
        self._buffer += piece
        events = []
        while True:
            line_end = self._buffer.find(b'\n', searched_to)
            if line_end < 0:
                break
            line = bytes(self._buffer[self._line_starts_at : line_end])
            searched_to = line_end + 1
            self._line_starts_at = searched_to
            line = line.removesuffix(b'\r')
            if line:
                self._lines.append(line)
                continue
            events.append(self._end_event())
            searched_to = 0
        return events

    @property
    def is_oversized(self) -> bool:
        """Return whether the event in progress exceeds the size limit."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def _end_event(self) -> StreamEvent:
        raw = bytes(self._buffer[: self._line_starts_at])
        del self._buffer[: self._line_starts_at]
        lines, self._lines = self._lines, []
        self._line_starts_at = 0
        return _parse_event(raw, lines)

    @property
    def rest(self) -> bytes:
        """Return the bytes of the event in progress."""
        return bytes(self._buffer)


def _parse_event(raw: bytes, lines: list[bytes]) -> StreamEvent:
    event_id = None
    data_lines = []
    for line in lines:
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == DATA_FIELD:
            data_lines.append(value)
        elif name == ID_FIELD:
            event_id = value
    data = b'\n'.join(data_lines) if data_lines else None
    return StreamEvent(raw, event_id, data)
