"""Parse server-sent events from a stream that arrives in pieces."""

DATA_FIELD = b'data'


class EventReader:
    """Collects the data of complete events across the pieces of a stream."""

    __slots__ = ('_data_lines', '_rest', 'events')

    def __init__(self) -> None:
        self._rest = b''
        self._data_lines: list[bytes] = []
        self.events: list[bytes] = []

    def feed(self, piece: bytes) -> int:
        """Parse a piece and return how many events it completed."""
        before = len(self.events)
        lines = (self._rest + piece).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            self._parse_line(line.removesuffix(b'\r'))
        return len(self.events) - before

    def _parse_line(self, line: bytes) -> None:
        if not line:
            self._end_event()
            return
        name, _, value = line.partition(b':')
        if name == DATA_FIELD:
            self._data_lines.append(value.removeprefix(b' '))

    def _end_event(self) -> None:
        if self._data_lines:
            self.events.append(b'\n'.join(self._data_lines))
        self._data_lines = []

    @property
    def text(self) -> bytes:
        """Return the data of all events, a line feed after each."""
        return b''.join(event + b'\n' for event in self.events)
