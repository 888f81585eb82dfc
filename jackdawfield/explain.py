"""Find the log lines of one request and the cause of its outcome."""

from collections.abc import Iterable
from dataclasses import dataclass
import re

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)')
ESCAPE_SEQUENCE = re.compile(r'\\(.)')
CONTROL_CHARACTERS = {'n': '\n', 'r': '\r'}


@dataclass(frozen=True, slots=True)
class LogLine:
    """Holds one line of key=value pairs."""

    at: str
    instance: str
    event: str
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Holds a request's lines by time and the cause of its outcome."""

    request_id: str
    lines: tuple[LogLine, ...]
    cause: str


# The cause that each event states for a request's end, the most specific
# first.
CAUSES_BY_EVENT = {
    'caller_left': 'its caller left after {ms} ms, while it waited for the'
    ' {waiting_for}',
    'call_ended_by_stop': 'a planned stop of its instance ended it, while it'
    ' waited for the {waiting_for}',
    'call_timed_out': 'its deadline passed before it was answered, while it'
    ' waited for the {waiting_for}',
    'request_quarantined': 'refused, not run: the same request ended the'
    ' servers {servers}',
    'call_refused': 'refused with {status}, not run: {reason}',
    'turn_not_kept': 'its turn could not be written in time, so that the '
    'answer was not ended',
    'call_failed': 'failed with {status}, may have run: {reason}',
    'call_ended': 'answered with {status} after {ms} ms',
}


def parse_line(text: str) -> LogLine | None:
    """Return the pairs of a line, None if it is not a log line."""
    start = text.find('at=')
    if start < 0:
        return None
    fields = {
        name: unquote(value) for name, value in PAIR.findall(text[start:])
    }
    if 'event' not in fields:
        return None
    return LogLine(
        fields.pop('at', ''),
        fields.pop('instance', ''),
        fields.pop('event'),
        fields,
    )


def unquote(value: str) -> str:
    """Return a value without its quotes and escapes."""
    if not value.startswith('"'):
        return value
    return ESCAPE_SEQUENCE.sub(
        lambda match: CONTROL_CHARACTERS.get(match[1], match[1]), value[1:-1]
    )


def explain_request(request_id: str, texts: Iterable[str]) -> Explanation:
    """Return the lines of a request and the cause of its outcome."""
    lines = []
    for text in texts:
        # Skip lines of other requests, which are most, without parsing.
        if request_id not in text:
            continue
        line = parse_line(text)
        if line is not None and line.fields.get('request') == request_id:
            lines.append(line)
    lines.sort(key=lambda line: line.at)
    return Explanation(request_id, tuple(lines), find_cause(lines))


def find_cause(lines: list[LogLine]) -> str:
    """Return the cause of a request's outcome from its lines."""
    if not lines:
        return 'no line names this request'
    last_by_event = {line.event: line for line in lines}
    for event, text in CAUSES_BY_EVENT.items():
        line = last_by_event.get(event)
        if line is None:
            continue
        cause = text.format_map(_FieldsOrPlaceholder(line.fields))
        attempt = last_by_event.get('attempt_failed')
        if attempt is not None and event != 'call_ended':
            reason = attempt.fields.get('reason', '')
            server = attempt.fields.get('server', '')
            cause += f'; last attempt at {server}: {reason}'
        return cause
    return 'still running at the end of the logs'


class _FieldsOrPlaceholder(dict[str, str]):
    def __missing__(self, key: str) -> str:
        return '?'
