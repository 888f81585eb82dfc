"""Call the operators' HTTP interface of a daemon."""

from dataclasses import dataclass
from enum import Enum
import json
from typing import Any

from result import Err
from result import Ok
from result import Result
import tornado.httpclient

REQUEST_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 5.0


class CommandFault(Enum):
    """Lists the reasons for which a command fails."""

    REFUSED = 'refused'
    USAGE = 'usage'
    UNREACHABLE = 'unreachable'
    FORBIDDEN = 'forbidden'


@dataclass(frozen=True, slots=True)
class CommandError:
    """Represents the failure of a command."""

    fault: CommandFault
    reason: str


class OperatorClient:
    """Sends requests to one daemon with the operators' token."""

    def __init__(self, url: str, token: str) -> None:
        self.url = url
        self._token = token

    def for_url(self, url: str) -> 'OperatorClient':
        """Return a client of another daemon with the same token."""
        return OperatorClient(url, self._token)

    def get(self, path: str) -> Result[Any, CommandError]:
        """Return the decoded JSON of a resource."""
        return self._send('GET', path, None)

    def post(self, path: str, body: object) -> Result[Any, CommandError]:
        """Send a JSON body and return the decoded JSON of the response."""
        return self._send('POST', path, json.dumps(body))

    def delete(self, path: str) -> Result[Any, CommandError]:
        """Delete a resource and return the decoded JSON of the response."""
        return self._send('DELETE', path, None)

    def _send(
        self, method: str, path: str, body: str | None
    ) -> Result[Any, CommandError]:
        client = tornado.httpclient.HTTPClient()
        try:
            response = client.fetch(
                f'{self.url}{path}',
                method=method,
                body=body,
                headers={'Authorization': f'Bearer {self._token}'},
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S,
                raise_error=False,
            )
        except (OSError, tornado.httpclient.HTTPClientError) as error:
            reason = f'{self.url}: {error}'
            return Err(CommandError(CommandFault.UNREACHABLE, reason))
        finally:
            client.close()
        return decode_response(response.code, response.body)


def decode_response(status: int, body: bytes) -> Result[Any, CommandError]:
    """Return the decoded JSON of a response, or the error of its status."""
    # Tornado's status for a request that timed out.
    if status == 599:
        return Err(CommandError(CommandFault.UNREACHABLE, 'timeout'))
    try:
        value = json.loads(body)
    except ValueError:
        reason = f'response with status {status} is not JSON'
        return Err(CommandError(CommandFault.REFUSED, reason))
    if status < 300:
        return Ok(value)
    reason = str(value.get('error', value))
    if status in (401, 403):
        return Err(CommandError(CommandFault.FORBIDDEN, reason))
    return Err(CommandError(CommandFault.REFUSED, reason))
