"""Write log lines to a file descriptor without blocking."""

from collections import Counter
from collections import deque
import logging
import os
import time

# Limits of an instance, so that its logs use a small, known share of its
# processor and of the network link.
LINES_PER_S = 500
BYTES_PER_S = 200_000
# Lines at level INFO or below may use this fraction of each limit; the rest
# is reserved for warnings and errors.
INFO_SHARE = 0.6
# Lines that are pending because the reader is slow.
BUFFER_BYTES = 1_000_000


class BoundedLogHandler(logging.Handler):
    """Writes lines up to a rate, and counts the lines that it drops."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending_lines: deque[bytes] = deque()
        self._pending_bytes = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._bytes_in_second = 0
        self._dropped_by_event: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        try:
            self._begin_second(int(time.monotonic()), record)
            self._enqueue_or_drop(record)
            self._write_pending()
        except Exception:
            self.handleError(record)

    def _begin_second(self, second: int, record: logging.LogRecord) -> None:
        if second == self._current_second:
            return
        self._current_second = second
        self._lines_in_second = 0
        self._bytes_in_second = 0
        if not self._dropped_by_event or self._pending_bytes >= BUFFER_BYTES:
            return
        counts = ','.join(
            f'{name}:{count}'
            for name, count in sorted(self._dropped_by_event.items())
        )
        self._dropped_by_event.clear()
        notice = logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.WARNING,
                'levelname': 'WARNING',
                'msg': f'event=lines_left_out counts={counts}',
                'created': record.created,
                'msecs': record.msecs,
            }
        )
        self._enqueue(self._encode(notice))

    def _encode(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode(errors='replace') + b'\n'

    def _enqueue_or_drop(self, record: logging.LogRecord) -> None:
        limit_fraction = 1.0 if record.levelno > logging.INFO else INFO_SHARE
        is_over_limit = (
            self._lines_in_second >= limit_fraction * LINES_PER_S
            or self._bytes_in_second >= limit_fraction * BYTES_PER_S
            or self._pending_bytes >= limit_fraction * BUFFER_BYTES
        )
        if is_over_limit:
            self._dropped_by_event[event_name(record)] += 1
            return
        self._enqueue(self._encode(record))

    def _enqueue(self, line: bytes) -> None:
        self._lines_in_second += 1
        self._bytes_in_second += len(line)
        self._pending_lines.append(line)
        self._pending_bytes += len(line)

    def _write_pending(self) -> None:
        while self._pending_lines:
            line = self._pending_lines[0]
            try:
                written_bytes = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end: lines are only counted now.
                self._dropped_by_event['unread'] += len(self._pending_lines)
                self._pending_lines.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written_bytes
            if written_bytes < len(line):
                self._pending_lines[0] = line[written_bytes:]
                return
            self._pending_lines.popleft()


def event_name(record: logging.LogRecord) -> str:
    """Return the name of the event of a record."""
    text = record.getMessage()
    if not text.startswith('event='):
        return 'message'
    return text.removeprefix('event=').partition(' ')[0]
