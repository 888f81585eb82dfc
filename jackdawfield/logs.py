"""Writes logs as one line of key=value pairs for each event."""

import logging
import re
import sys
import time

from jackdawfield.log_output import BoundedLogHandler

MS_PER_S = 1000
SPECIAL = re.compile(r'[ "=\n\r\t]')
KEY = re.compile(r'(jf_[a-z0-9]+_)[0-9a-f]{64}', re.IGNORECASE)


def quote(value: object) -> str:
    """Return a value as it stands in a log line."""
    text = str(value)
    if text and SPECIAL.search(text) is None:
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return '"' + escaped.replace('\n', '\\n').replace('\r', '\\r') + '"'


def log_event(
    logger: logging.Logger,
    name: str,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Log an event with its fields."""
    if not logger.isEnabledFor(level):
        return
    pairs = [f'event={quote(name)}']
    pairs.extend(f'{key}={quote(value)}' for key, value in fields.items())
    logger.log(level, '%s', ' '.join(pairs))


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs, foreign messages quoted."""

    def __init__(self, instance_id: str) -> None:
        super().__init__()
        self._instance = quote(instance_id)
        self._second = -1
        self._moment = ''

    def _moment_of(self, second: int) -> str:
        if second != self._second:
            self._second = second
            self._moment = time.strftime(
                '%Y-%m-%dT%H:%M:%S', time.gmtime(second)
            )
        return self._moment

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        moment = self._moment_of(int(record.created))
        message = record.getMessage()
        if not message.startswith('event='):
            message = f'event=message text={quote(message)}'
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            message += f' trace={quote(trace)}'
        message = KEY.sub(r'\1[secret]', message)
        return (
            f'at={moment}.{int(record.msecs):03d}Z'
            f' level={record.levelname.lower()}'
            f' instance={self._instance}'
            f' logger={record.name} {message}'
        )


def configure_logs(instance_id: str, level: str) -> None:
    """Send all logs to standard output in key=value form."""
    # No line tells of threads, processes or places in the source, which the
    # library would find out for each record.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None
    handler = BoundedLogHandler(sys.stdout.fileno())
    handler.setFormatter(KeyValueFormatter(instance_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
