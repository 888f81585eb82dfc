"""Send calls to the store over this instance's own connections."""

import asyncio

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.messages.store_calls import StoreCall
from jackdawfield.messages.store_calls import StoreReply

CONNECT_TIMEOUT_S = 0.5
# Above what the store sends: 1 MB of rows, encoded as base64 in JSON.
MAX_REPLY_BYTES = 4 * 1024 * 1024


class StoreConnections:
    """Calls the store over kept and new connections."""

    def __init__(self, pool: ConnectionPool, host: str, port: int) -> None:
        self._pool = pool
        self._host = host
        self._port = port

    def discard_idle(self, keep_last: bool = False) -> None:
        """Close the kept connections, as others have fallen silent.

        The one that was used last may be known to work.
        """
        self._pool.discard_idle(self._host, self._port, keep_last)

    async def call(
        self, call: StoreCall, over_new_connection: bool = False
    ) -> Result[StoreReply, ExchangeError]:
        """Send a call once; the error tells whether it may have arrived."""
        connect = self._pool.acquire
        if over_new_connection:
            connect = self._pool.open
        connect_s = min(CONNECT_TIMEOUT_S, call.timeout_s)
        acquired = await connect(self._host, self._port, connect_s)
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        headers = [('Host', f'{self._host}:{self._port}')]
        if call.body:
            headers.append(('Content-Type', 'application/json'))
        request = OutgoingRequest(
            call.method, call.target, tuple(headers), call.body
        )
        sent = connection.send(request)
        if isinstance(sent, Err):
            return sent
        try:
            async with asyncio.timeout(call.timeout_s):
                reply = await read_reply(connection)
        except TimeoutError:
            connection.abort(LossReason.TIMEOUT)
            self.discard_idle()
            return Err(ExchangeError(Fault.LOST, 'timeout'))
        except asyncio.CancelledError:
            connection.abort(LossReason.CANCELLED)
            raise
        if reply is None:
            reason = connection.lost_reason
            connection.abort(reason)
            return Err(ExchangeError(Fault.LOST, reason))
        self._pool.release(self._host, self._port, connection)
        return Ok(reply)


async def read_reply(connection: Connection) -> StoreReply | None:
    """Read a complete response.

    Return None if it was cut, may have been cut, or is too large.
    """
    head = await connection.next_part()
    if not isinstance(head, ResponseHead):
        return None
    pieces = []
    size = 0
    while size <= MAX_REPLY_BYTES:
        match await connection.next_part():
            case bytes(piece):
                pieces.append(piece)
                size += len(piece)
            case BodyEnd.WHOLE:
                return StoreReply(head.status, b''.join(pieces))
            case _:
                return None
    connection.abort(LossReason.ANSWER_TOO_LARGE)
    return None
