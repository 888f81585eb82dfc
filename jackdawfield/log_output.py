"""Writes log lines to a descriptor without ever waiting for its reader."""

from collections import Counter
from collections import deque
import logging
import os
import time

# What an instance writes at most, so that logs cost a small, known part of
# its processor and of the link that carries them away.
LINES_PER_S = 500
BYTES_PER_S = 200_000
# Ordinary lines may take this share; the rest is left to warnings.
ORDINARY_SHARE = 0.6
# Lines that wait for a slow reader.
BUFFER_BYTES = 1_000_000


class BoundedLogHandler(logging.Handler):
    """Writes lines up to a rate, and counts those that it leaves out."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines = 0
        self._bytes = 0
        self._dropped_by_event: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as left out."""
        try:
            self._turn_to(int(time.monotonic()), record)
            self._take(record)
            self._flush_waiting()
        except Exception:
            self.handleError(record)

    def _turn_to(self, second: int, record: logging.LogRecord) -> None:
        if second == self._second:
            return
        self._second = second
        self._lines = 0
        self._bytes = 0
        if not self._dropped_by_event or self._waiting_bytes >= BUFFER_BYTES:
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
        self._append(self._encoded(notice))

    def _encoded(self, record: logging.LogRecord) -> bytes:
        return self.format(record).encode(errors='replace') + b'\n'

    def _take(self, record: logging.LogRecord) -> None:
        share = 1.0 if record.levelno > logging.INFO else ORDINARY_SHARE
        over = (
            self._lines >= share * LINES_PER_S
            or self._bytes >= share * BYTES_PER_S
            or self._waiting_bytes >= share * BUFFER_BYTES
        )
        if over:
            self._dropped_by_event[event_of(record)] += 1
            return
        self._append(self._encoded(record))

    def _append(self, line: bytes) -> None:
        self._lines += 1
        self._bytes += len(line)
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _flush_waiting(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; later lines are counted only.
                self._dropped_by_event['unread'] += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def event_of(record: logging.LogRecord) -> str:
    """Return the name of the event that a record tells of."""
    text = record.getMessage()
    if not text.startswith('event='):
        return 'message'
    return text.removeprefix('event=').partition(' ')[0]
