"""Send HTTP requests without retries at any layer."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from result import Err
from result import Ok
from result import Result
import tornado.httpclient
import tornado.simple_httpclient

from jackdawfield.statuses import is_final_status

MAX_CONNECTIONS = 4_000
CONNECT_TIMEOUT_S = 2.0
# An answer without end must not take the memory of a small instance.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
LENGTH_HEADERS = ('Content-Length', 'Transfer-Encoding')
STATUSES_WITHOUT_BODY = (204, 304)


class HttpFault(Enum):
    """Lists the reasons for which a request has no answer.

    After NOT_SENT the server has not received the request; after LOST that is
    unknown.
    """

    NOT_SENT = 'not sent'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class HttpError:
    """Reports a request without a complete answer."""

    fault: HttpFault
    reason: str


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Holds a complete answer of any status."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class RequestConnection(tornado.simple_httpclient._HTTPConnection):
    """Carries one request, and ends it when its connection ends."""

    def on_connection_close(self) -> None:
        """End a request whose connection was closed or reset.

        Tornado leaves a request whose connection was reset to its timeout.
        """
        if self.final_callback is None:
            return
        error = self.stream.error
        if error is None:
            error = tornado.simple_httpclient.HTTPStreamClosedError('closed')
        self._handle_exception(type(error), error, None)

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body, none of an answer without a status."""
        if self.code is not None and is_final_status(self.code):
            super().data_received(chunk)

    def finish(self) -> None:
        """Return the answer, or fail if it may have been broken off.

        A stream of events has an end marker of its own, which a reset may
        have cut off.
        """
        has_own_end = self.request.streaming_callback is not None
        if self._ends_with_connection() and (
            not has_own_end or self.stream.error is not None
        ):
            self.on_connection_close()
            return
        super().finish()

    def _ends_with_connection(self) -> bool:
        """Return whether the answer's body has no length of its own."""
        if self.headers is None or self.code in STATUSES_WITHOUT_BODY:
            return False
        return not any(name in self.headers for name in LENGTH_HEADERS)


class ConnectionClient(tornado.simple_httpclient.SimpleAsyncHTTPClient):
    """Sends each request over a RequestConnection."""

    def _connection_class(self) -> type:
        return RequestConnection


class HttpClient:
    """Opens a new connection for each request.

    A request on a reused connection could be sent twice.
    """

    def __init__(self, user_agent: str) -> None:
        self._user_agent = user_agent
        self._client = ConnectionClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
        on_chunk: Callable[[bytes], None] | None = None,
        on_header: Callable[[str], None] | None = None,
    ) -> Result[HttpAnswer, HttpError]:
        """Return the answer, or an error with whether the request was sent."""
        request = tornado.httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            user_agent=self._user_agent,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            streaming_callback=on_chunk,
            header_callback=on_header,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except tornado.simple_httpclient.HTTPTimeoutError as error:
            return Err(HttpError(classify_timeout(error), str(error)))
        except ConnectionRefusedError as error:
            return Err(HttpError(HttpFault.NOT_SENT, str(error)))
        except (OSError, tornado.httpclient.HTTPClientError) as error:
            return Err(HttpError(HttpFault.LOST, repr(error)))
        # Tornado reports requests without an HTTP response as status 599.
        if answer.code == 599:
            return Err(HttpError(HttpFault.LOST, str(answer.error)))
        if not is_final_status(answer.code):
            reason = 'malformed answer: no status of HTTP'
            return Err(HttpError(HttpFault.LOST, reason))
        return Ok(
            HttpAnswer(answer.code, answer.body or b'', dict(answer.headers))
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def classify_timeout(
    error: tornado.simple_httpclient.HTTPTimeoutError,
) -> HttpFault:
    """Return NOT_SENT if a timeout came before the request was sent."""
    # Tornado states the phase of a timeout in its message only.
    text = str(error)
    if 'connecting' in text or 'in request queue' in text:
        return HttpFault.NOT_SENT
    return HttpFault.LOST
