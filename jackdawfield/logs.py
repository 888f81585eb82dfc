"""Write logs as one line of key=value pairs for each event."""

import logging
import re
import sys
import time

from jackdawfield.log_output import BoundedLogHandler

MS_PER_S = 1000
NEEDS_QUOTES = re.compile(r'[ "=\n\r\t]')
API_KEY = re.compile(r'(jf_[a-z0-9]+_)[0-9a-f]{64}', re.IGNORECASE)


def quote(value: object) -> str:
    """Return a value as text of a log line, quoted if necessary."""
    text = str(value)
    if text and NEEDS_QUOTES.search(text) is None:
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
    """Formats a record as key=value pairs.

    A message of a third-party library becomes a quoted value.
    """

    def __init__(self, instance_id: str) -> None:
        super().__init__()
        self._instance = quote(instance_id)
        self._cached_second = -1
        self._cached_time = ''

    def _format_second(self, second: int) -> str:
        if second != self._cached_second:
            self._cached_second = second
            self._cached_time = time.strftime(
                '%Y-%m-%dT%H:%M:%S', time.gmtime(second)
            )
        return self._cached_time

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        timestamp = self._format_second(int(record.created))
        message = record.getMessage()
        if not message.startswith('event='):
            message = f'event=message text={quote(message)}'
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            message += f' trace={quote(trace)}'
        message = API_KEY.sub(r'\1[secret]', message)
        return (
            f'at={timestamp}.{int(record.msecs):03d}Z'
            f' level={record.levelname.lower()}'
            f' instance={self._instance}'
            f' logger={record.name} {message}'
        )


def configure_logs(instance_id: str, level: str) -> None:
    """Write all logs to standard output as key=value pairs."""
    # The log lines hold no thread, process or source location, which the
    # logging library would otherwise determine for each record.
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
