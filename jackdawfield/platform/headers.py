"""Define the platform's headers, their decoding and their encoding."""

from collections.abc import Iterable
import logging
import re

from jackdawfield.decoding import parse_count
from jackdawfield.gateway.calls import CallHeaders
from jackdawfield.gateway.calls import CONNECTION_HEADERS
from jackdawfield.gateway.calls import ForwardedHeaders
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.servers.notices import ServerNotices
from jackdawfield.logs import log_event
from jackdawfield.model import ProgramId
from jackdawfield.platform.settings import MS_PER_S

LOG = logging.getLogger(__name__)
PREFIX = 'x-jackdawfield-'
REQUEST_ID = PREFIX + 'request-id'
DEADLINE = PREFIX + 'deadline-ms'
EXPECTED_SERVER = PREFIX + 'expect-instance'
API_KEY = PREFIX + 'credential'
ORGANISATION = PREFIX + 'tenant'
PROGRAM = PREFIX + 'program-id'
SESSION = PREFIX + 'session-id'
FINISH = PREFIX + 'finish-ms'
TOKEN_BUDGET = PREFIX + 'token-budget'
# Two numbers: tokens of the prompt, maximum of generated tokens.
TOKEN_USAGE = PREFIX + 'token-usage'
PROMPT_PARTS = PREFIX + 'prompt-prefix'
PREVIOUS_TURN = PREFIX + 'previous-turn'
NOT_RUN = PREFIX + 'not-executed'
SERVER_STAMP = PREFIX + 'server-stamp'
LAST_EVENT = 'last-event-id'
# Requests per second that a server takes from all instances together.
SERVER_LIMIT = 'server-limit'
# Says that the server leaves for good.
SERVER_LEAVING = 'server-leaving'
LEAVING = '1'
LIMIT_NUMBER = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')

# Set on requests to backend servers by the gateway only; a caller's headers of
# these names are not forwarded.
SYSTEM_HEADERS = frozenset(
    (
        API_KEY,
        DEADLINE,
        EXPECTED_SERVER,
        ORGANISATION,
        PREFIX + 'expect-version',
        PREFIX + 'hold',
        PREFIX + 'pin-ms',
        PREFIX + 'kv-backup',
        LAST_EVENT,
        'kv-from',
        'kv-fetch',
    )
)
# Set anew on each hop, so not forwarded.
BODY_HEADERS = frozenset(('content-length', 'expect'))


def _decode_number(text: str | None) -> int | None:
    return parse_count(text.strip()) if text is not None else None


def _decode_numbers(text: str | None) -> tuple[int, int]:
    first, _, second = (text or '').partition(',')
    return _decode_number(first) or 0, _decode_number(second) or 0


def decode_limit(head: ResponseHead) -> float | None:
    """Decode the limit that a server names, in requests per second.

    Of several, the lowest counts; what is no decimal number is no limit.
    """
    limits = []
    for name, value in head.headers:
        if name.lower() != SERVER_LIMIT:
            continue
        if LIMIT_NUMBER.fullmatch(value) is None:
            log_event(LOG, 'server_limit_unreadable', value=value[:40])
            continue
        limits.append(float(value))
    return min(limits, default=None)


def decode_leaving(head: ResponseHead) -> bool:
    """Decode whether a server says that it leaves.

    Any value but the one that is defined says nothing.
    """
    values = [v for name, v in head.headers if name.lower() == SERVER_LEAVING]
    for value in values:
        if value != LEAVING:
            log_event(LOG, 'server_leaving_unreadable', value=value[:40])
    return LEAVING in values


def decode_notices(head: ResponseHead) -> ServerNotices:
    """Decode what the head of an answer says of its server."""
    return ServerNotices(decode_limit(head), decode_leaving(head))


def decode_headers(pairs: Iterable[tuple[str, str]]) -> CallHeaders:
    """Decode the headers of a caller's request.

    Malformed numbers are treated as absent.
    """
    pairs = list(pairs)
    values_by_name = {name.lower(): value for name, value in pairs}
    deadline_ms = _decode_number(values_by_name.get(DEADLINE))
    finish_ms = _decode_number(values_by_name.get(FINISH))
    prompt_tokens, max_tokens = _decode_numbers(
        values_by_name.get(TOKEN_USAGE)
    )
    previous = values_by_name.get(PREVIOUS_TURN)
    program = values_by_name.get(PROGRAM)
    last_event = values_by_name.get(LAST_EVENT)
    return CallHeaders(
        request_id=values_by_name.get(REQUEST_ID, ''),
        host=values_by_name.get('host', '').partition(':')[0].lower(),
        key=values_by_name.get(API_KEY),
        time_left_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
        finish_left_s=None if finish_ms is None else finish_ms / MS_PER_S,
        program_id=ProgramId(program) if program else None,
        session_id=values_by_name.get(SESSION, ''),
        budget_tokens=_decode_number(values_by_name.get(TOKEN_BUDGET)),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        previous_turn=TurnId(previous) if previous else None,
        end_to_end_headers=forwardable_headers(pairs),
        last_event_id=last_event.encode('latin-1') if last_event else None,
    )


def forwardable_headers(
    pairs: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a caller's request to forward to a server."""
    pairs = list(pairs)
    connection_names = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == 'connection'
        for name in value.split(',')
    }
    dropped = (
        SYSTEM_HEADERS | CONNECTION_HEADERS | BODY_HEADERS | connection_names
    )
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def encode_headers(
    forwarded: ForwardedHeaders,
) -> list[tuple[str, str]]:
    """Encode the headers of a request to a backend server."""
    left_ms = max(1, int(forwarded.time_left_s * MS_PER_S))
    headers = [
        *forwarded.end_to_end_headers,
        (EXPECTED_SERVER, forwarded.server_id),
    ]
    headers.append((DEADLINE, str(left_ms)))
    if forwarded.organisation_id is not None:
        headers.append((ORGANISATION, forwarded.organisation_id))
    if forwarded.last_event_id is not None:
        last_event = forwarded.last_event_id.decode('latin-1')
        headers.append((LAST_EVENT, last_event))
    return headers
