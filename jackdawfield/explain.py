"""Finds the lines of one request in logs and states its cause."""

from collections.abc import Iterable
from dataclasses import dataclass
import re

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)')
ESCAPED = re.compile(r'\\(.)')
CONTROLS = {'n': '\n', 'r': '\r'}


@dataclass(frozen=True, slots=True)
class LogLine:
    """Holds one line of key=value pairs."""

    at: str
    instance: str
    event: str
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Holds a request's lines in their order and its cause."""

    request_id: str
    lines: tuple[LogLine, ...]
    cause: str


# What an event says of a request's end, the most telling first.
CAUSES_BY_EVENT = {
    'caller_left': 'its caller left after {ms} ms, while it waited for the'
    ' {waiting_for}',
    'call_timed_out': 'its time was over before it was answered, while it'
    ' waited for the {waiting_for}',
    'call_refused': 'refused with {status}, not run: {reason}',
    'turn_not_kept': 'its turn could not be written in time, so that the '
    'answer was not ended',
    'call_failed': 'failed with {status}, may have run: {reason}',
    'call_ended': 'answered with {status} after {ms} ms',
}


def parse_line(text: str) -> LogLine | None:
    """Return a line's pairs, None if it is no log line."""
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
    """Return a value as it was before it was quoted."""
    if not value.startswith('"'):
        return value
    return ESCAPED.sub(
        lambda found: CONTROLS.get(found[1], found[1]), value[1:-1]
    )


def explain(request_id: str, texts: Iterable[str]) -> Explanation:
    """Return the lines of a request and the cause that they show."""
    found = []
    for text in texts:
        # Most lines are of other requests; these are not worth parsing.
        if request_id not in text:
            continue
        line = parse_line(text)
        if line is not None and line.fields.get('request') == request_id:
            found.append(line)
    found.sort(key=lambda line: line.at)
    return Explanation(request_id, tuple(found), cause_of(found))


def cause_of(lines: list[LogLine]) -> str:
    """Return what became of a request, by its lines."""
    if not lines:
        return 'no line names this request'
    last_by_event = {line.event: line for line in lines}
    for event, text in CAUSES_BY_EVENT.items():
        line = last_by_event.get(event)
        if line is None:
            continue
        cause = text.format_map(_Fields(line.fields))
        attempts = last_by_event.get('attempt_failed')
        if attempts is not None and event != 'call_ended':
            reason = attempts.fields.get('reason', '')
            server = attempts.fields.get('server', '')
            cause += f'; last attempt at {server}: {reason}'
        return cause
    return 'still under way when the logs end'


class _Fields(dict[str, str]):
    def __missing__(self, key: str) -> str:
        return '?'
