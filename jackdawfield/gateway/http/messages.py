"""Hold the requests and responses that connections carry."""

from dataclasses import dataclass
from enum import Enum

import h11

from jackdawfield.decoding import parse_count
from jackdawfield.statuses import is_final_status

# Assumed idle timeout of a server that announces none.
DEFAULT_IDLE_S = 3.0
# An idle connection is closed this long before the server would close it.
IDLE_MARGIN_S = 0.7
STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Fault(Enum):
    """States whether an unanswered request may have reached the server."""

    NOT_SENT = 'not sent'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class ExchangeError:
    """Describes why a request has no complete response.

    `is_refused` tells that nothing listened at the server's address.
    """

    fault: Fault
    reason: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Holds a request.

    The server repeats the echo header in its response, which identifies the
    request that the response belongs to.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    echo_header: str = ''
    echo_value: str = ''


class Framing(Enum):
    """Names what marks the end of a response's body."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    # The end of the connection, as that of a server that crashed.
    CONNECTION = 'connection'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Holds the status, the headers and the framing of a response."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    framing: Framing = Framing.LENGTH

    @property
    def is_final(self) -> bool:
        """Return whether the status is one of a final response in HTTP."""
        return is_final_status(self.status)

    def get(self, name: str) -> str | None:
        """Return a header's value by its lower-case name, None if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class BodyEnd(Enum):
    """States how the body of a response ended."""

    WHOLE = 'whole'
    # Its connection ended it: it may be whole, or its server has crashed.
    UNCONFIRMED = 'unconfirmed'
    CUT = 'cut'


Part = ResponseHead | bytes | BodyEnd


def framing_of(
    method: str, status: int, headers: tuple[tuple[str, str], ...]
) -> Framing:
    """Return what marks the end of a response's body."""
    if method == 'HEAD' or status in STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    names = {name.lower() for name, _ in headers}
    if 'transfer-encoding' in names:
        return Framing.CHUNKED
    if 'content-length' in names:
        return Framing.LENGTH
    return Framing.CONNECTION


def encode_request(parser: h11.Connection, request: OutgoingRequest) -> bytes:
    """Return a request's bytes and prepare the parser for its response."""
    headers = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in request.headers
    ]
    if request.body or request.method in ('POST', 'PUT', 'PATCH'):
        headers.append((b'Content-Length', b'%d' % len(request.body)))
    data = parser.send(
        h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    )
    if request.body:
        data += parser.send(h11.Data(data=request.body))
    return data + parser.send(h11.EndOfMessage())


def idle_limit_s(head: ResponseHead) -> float:
    """Return how long a connection may stay idle after a response."""
    stated_s = stated_idle_limit_s(head)
    return DEFAULT_IDLE_S if stated_s is None else stated_s


def stated_idle_limit_s(head: ResponseHead) -> float | None:
    """Return how long it may stay idle by the response, None if unsaid."""
    text = head.get('keep-alive') or ''
    for item in text.split(','):
        name, _, value = item.strip().partition('=')
        seconds = parse_count(value)
        if name.lower() == 'timeout' and seconds is not None:
            return max(0.0, seconds - IDLE_MARGIN_S)
    return None
