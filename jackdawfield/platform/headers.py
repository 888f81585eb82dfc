"""Names the headers on the wire and decodes those of a request."""

from collections.abc import Iterable

from jackdawfield.gateway.calls import CallHeaders
from jackdawfield.gateway.calls import CONNECTION_HEADERS
from jackdawfield.gateway.calls import ForwardedHeaders
from jackdawfield.gateway.model import TurnId
from jackdawfield.model import ProgramId
from jackdawfield.platform.settings import MS_PER_S

PREFIX = 'x-jackdawfield-'
REQUEST_ID = PREFIX + 'request-id'
DEADLINE = PREFIX + 'deadline-ms'
EXPECTED_SERVER = PREFIX + 'expect-instance'
KEY = PREFIX + 'credential'
ORGANISATION = PREFIX + 'tenant'
PROGRAM = PREFIX + 'program-id'
LINE = PREFIX + 'session-id'
FINISH = PREFIX + 'finish-ms'
BUDGET = PREFIX + 'token-budget'
# Two numbers: tokens of the prompt, most tokens to generate.
USAGE = PREFIX + 'token-usage'
PROMPT_PARTS = PREFIX + 'prompt-prefix'
PREVIOUS_TURN = PREFIX + 'previous-turn'
NOT_RUN = PREFIX + 'not-executed'
SIGNATURE = PREFIX + 'server-stamp'

# Only the system itself may set these towards a backend server.
SYSTEM_HEADERS = frozenset(
    (
        KEY,
        DEADLINE,
        EXPECTED_SERVER,
        ORGANISATION,
        PREFIX + 'expect-version',
        PREFIX + 'hold',
        PREFIX + 'pin-ms',
        PREFIX + 'kv-backup',
        'kv-from',
        'kv-fetch',
    )
)
# The HTTP libraries count the body and ask for it themselves.
BODY_HEADERS = frozenset(('content-length', 'expect'))


def _number(text: str | None) -> int | None:
    if text is None or not text.strip().isdecimal():
        return None
    return int(text)


def _numbers(text: str | None) -> tuple[int, int]:
    first, _, second = (text or '').partition(',')
    return _number(first) or 0, _number(second) or 0


def decode_headers(pairs: Iterable[tuple[str, str]]) -> CallHeaders:
    """Return what the headers of a caller's request say."""
    pairs = list(pairs)
    by_name = {name.lower(): value for name, value in pairs}
    deadline_ms = _number(by_name.get(DEADLINE))
    finish_ms = _number(by_name.get(FINISH))
    prompt_tokens, max_tokens = _numbers(by_name.get(USAGE))
    previous = by_name.get(PREVIOUS_TURN)
    program = by_name.get(PROGRAM)
    return CallHeaders(
        request_id=by_name.get(REQUEST_ID, ''),
        host=by_name.get('host', '').partition(':')[0].lower(),
        key=by_name.get(KEY),
        time_left_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
        finish_left_s=None if finish_ms is None else finish_ms / MS_PER_S,
        program_id=ProgramId(program) if program else None,
        line_id=by_name.get(LINE, ''),
        budget_tokens=_number(by_name.get(BUDGET)),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        previous_turn=TurnId(previous) if previous else None,
        passed_on=passed_on(pairs),
    )


def passed_on(pairs: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers of a message that go beyond its connection."""
    pairs = list(pairs)
    named = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == 'connection'
        for name in value.split(',')
    }
    dropped = SYSTEM_HEADERS | CONNECTION_HEADERS | BODY_HEADERS | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def encode_headers(
    forwarded: ForwardedHeaders,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a backend server."""
    left_ms = max(1, int(forwarded.time_left_s * MS_PER_S))
    headers = [*forwarded.passed_on, (EXPECTED_SERVER, forwarded.server_id)]
    headers.append((DEADLINE, str(left_ms)))
    if forwarded.organisation_id is not None:
        headers.append((ORGANISATION, forwarded.organisation_id))
    return headers
