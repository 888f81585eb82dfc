"""Send calls to the store, directly or relayed by another instance."""

import asyncio
from collections.abc import Callable
import logging
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.http.connection import BodyEnd
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.connection import ExchangeError
from jackdawfield.gateway.http.connection import Fault
from jackdawfield.gateway.http.connection import OutgoingRequest
from jackdawfield.gateway.http.connection import ResponseHead
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.logs import log_event
from jackdawfield.messages.store_calls import StoreCall
from jackdawfield.messages.store_calls import StoreReply
from jackdawfield.messages.store_calls import StoreUnreached

LOG = logging.getLogger(__name__)
CONNECT_TIMEOUT_S = 0.5
# After the direct path failed, relays are tried before it for this long.
DIRECT_AVOID_S = 1.0
MAX_RELAYS = 2
RELAY_MARGIN_S = 0.2
# Above what the store sends: 1 MB of rows, encoded as base64 in JSON.
MAX_REPLY_BYTES = 4 * 1024 * 1024
# Statuses of the store for a call that it refused without any effect.
REFUSED_STATUSES = (429, 503)


class StorePath:
    """Calls the store, with other instances as relays if it is unreachable."""

    def __init__(
        self,
        pool: ConnectionPool,
        host: str,
        port: int,
        links: PeerLinks,
        relay_addresses: Callable[[], list[str]],
    ) -> None:
        self._pool = pool
        self._host = host
        self._port = port
        self._links = links
        self._relay_addresses = relay_addresses
        self._direct_avoided_until_s = 0.0
        self._preferred_relay: str | None = None
        self.reached_at_s = time.monotonic()
        self.is_direct = True

    def register(self, server: PeerServer) -> None:
        """Relay the store calls of other instances."""
        server.handle(StoreCall, self._answer_relayed)

    @property
    def is_direct_avoided(self) -> bool:
        """Return whether the direct path is avoided after a failure."""
        return time.monotonic() < self._direct_avoided_until_s

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Result[StoreReply, ExchangeError]:
        """Return the store's answer from the first path that yields one.

        Without one, the call is lost if any path may have carried it.
        """
        relay_errors = []
        if self.is_direct_avoided:
            relayed = await self._call_by_relay(
                method, target, body, timeout_s
            )
            if isinstance(relayed, Ok):
                return relayed
            relay_errors.append(relayed.err_value)
        started_s = time.monotonic()
        found = await self._call_directly(method, target, body, timeout_s)
        if self._record_direct_result(found, started_s):
            return found
        relayed = await self._call_by_relay(method, target, body, timeout_s)
        if isinstance(relayed, Ok):
            return relayed
        relay_errors.append(relayed.err_value)
        for error in relay_errors:
            if error.fault is Fault.LOST:
                return Err(error)
        return found

    def _record_direct_result(
        self, found: Result[StoreReply, ExchangeError], started_s: float
    ) -> bool:
        was_answered = (
            isinstance(found, Ok)
            and found.ok_value.status not in REFUSED_STATUSES
        )
        if was_answered:
            self._set_direct(True, '')
            self._direct_avoided_until_s = 0.0
            return True
        if started_s < self.reached_at_s and self.is_direct:
            # This call began before the last success, so its failure does not
            # show that the path is down now.
            return False
        reason = (
            found.err_value.reason if isinstance(found, Err) else 'refused'
        )
        self._set_direct(False, reason)
        self._direct_avoided_until_s = time.monotonic() + DIRECT_AVOID_S
        return False

    def _set_direct(self, direct: bool, reason: str) -> None:
        if direct:
            self.reached_at_s = time.monotonic()
        if direct == self.is_direct:
            return
        self.is_direct = direct
        name = 'store_regained' if direct else 'store_lost'
        log_event(LOG, name, reason=reason)

    async def _call_by_relay(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Result[StoreReply, ExchangeError]:
        addresses = self._relay_addresses()
        if self._preferred_relay in addresses:
            addresses.remove(self._preferred_relay)
            addresses.insert(0, self._preferred_relay)
        message = StoreCall(method, target, body, timeout_s)
        fault = Fault.NOT_SENT
        for address in addresses[:MAX_RELAYS]:
            found = await self._links.request(
                address, message, timeout_s + RELAY_MARGIN_S
            )
            match found:
                case Ok(StoreReply() as reply):
                    self._preferred_relay = address
                    self.reached_at_s = time.monotonic()
                    return Ok(reply)
                case Ok(StoreUnreached(sent=True)):
                    fault = Fault.LOST
                case Err(error) if error.fault is not PeerFault.NOT_SENT:
                    fault = Fault.LOST
            self._preferred_relay = None
        return Err(ExchangeError(fault, 'no instance reaches the store'))

    async def _answer_relayed(self, call: StoreCall) -> object:
        if self.is_direct_avoided:
            return StoreUnreached(False, 'the store is away from here too')
        started_s = time.monotonic()
        found = await self._call_directly(
            call.method, call.target, call.body, call.timeout_s
        )
        if self._record_direct_result(found, started_s):
            return found.unwrap()
        if isinstance(found, Err):
            error = found.err_value
            return StoreUnreached(error.fault is Fault.LOST, error.reason)
        return StoreUnreached(False, f'store answered {found.ok_value.status}')

    async def _call_directly(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Result[StoreReply, ExchangeError]:
        acquired = await self._pool.acquire(
            self._host, self._port, min(CONNECT_TIMEOUT_S, timeout_s)
        )
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        headers = [('Host', f'{self._host}:{self._port}')]
        if body:
            headers.append(('Content-Type', 'application/json'))
        request = OutgoingRequest(method, target, tuple(headers), body)
        sent = connection.send(request)
        if isinstance(sent, Err):
            return sent
        try:
            async with asyncio.timeout(timeout_s):
                reply = await read_reply(connection)
        except TimeoutError:
            connection.abort('timeout')
            return Err(ExchangeError(Fault.LOST, 'timeout'))
        except asyncio.CancelledError:
            connection.abort('cancelled')
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
    connection.abort('answer too large')
    return None
