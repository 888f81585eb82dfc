"""Send calls to the store, directly or relayed by another instance."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
import logging
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.hedging import first_answer
from jackdawfield.gateway.hedging import Source
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.storage.connections import StoreConnections
from jackdawfield.logs import log_event
from jackdawfield.messages.store_calls import StoreCall
from jackdawfield.messages.store_calls import StoreReply
from jackdawfield.messages.store_calls import StoreUnreached

LOG = logging.getLogger(__name__)
# After the direct path failed, relays are tried before it for this long.
DIRECT_AVOID_S = 1.0
MAX_RELAYS = 2
RELAY_MARGIN_S = 0.2
# A path that has not answered this long after it should have is overdue: the
# next one is tried beside it.
OVERDUE_S = 0.4
# Statuses of the store for a call that it refused without any effect.
REFUSED_STATUSES = (429, 503)


@dataclass(slots=True)
class _Read:
    """Holds a read, and what its direct attempts have met so far."""

    call: StoreCall
    is_kept_pending: bool = False
    # Set once the store has answered that it refuses the read.
    refusal: ExchangeError | None = None


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
        self._connections = StoreConnections(pool, host, port)
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

        Without one, the call is lost if any path may have carried it. Only
        one path at a time carries it.
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
        found = await self._connections.call(
            StoreCall(method, target, body, timeout_s)
        )
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

    async def read(
        self, target: str, wait_s: float, timeout_s: float
    ) -> Result[StoreReply, ExchangeError]:
        """Return the store's answer to a read that it holds for wait_s.

        The next path is tried as soon as the one before fails or is overdue.
        """
        read = _Read(StoreCall('GET', target, b'', timeout_s, wait_s))
        overdue_s = wait_s + OVERDUE_S
        kept, new = self._direct_sources(read, overdue_s)
        relays = [
            Source(partial(self._read_by_relay, address, read.call), overdue_s)
            for address in self._ranked_relays()
        ]
        avoids_direct = self.is_direct_avoided
        sources = [*relays, new] if avoids_direct else [kept, new, *relays]
        found = await first_answer(sources)
        return found.map_err(lambda errors: errors[0])

    def _direct_sources(
        self, read: _Read, overdue_s: float
    ) -> tuple[Source[StoreReply, ExchangeError], ...]:
        """Return a read over a kept connection, and over a new one."""
        return (
            Source(partial(self._read_over_kept, read), overdue_s),
            Source(partial(self._read_over_new, read), overdue_s),
        )

    async def _read_over_kept(
        self, read: _Read
    ) -> Result[StoreReply, ExchangeError]:
        read.is_kept_pending = True
        found = await self._read_directly(read)
        read.is_kept_pending = False
        return found

    async def _read_over_new(
        self, read: _Read
    ) -> Result[StoreReply, ExchangeError]:
        if read.refusal is not None:
            return Err(read.refusal)
        found = await self._read_directly(read, over_new_connection=True)
        if isinstance(found, Ok) and read.is_kept_pending:
            # A kept connection has fallen silent, and others may have, too.
            log_event(LOG, 'store_connections_silent')
            self._connections.discard_idle(keep_last=True)
        return found

    async def _read_directly(
        self, read: _Read, over_new_connection: bool = False
    ) -> Result[StoreReply, ExchangeError]:
        started_s = time.monotonic()
        found = await self._connections.call(read.call, over_new_connection)
        if self._record_direct_result(found, started_s):
            return found
        if isinstance(found, Err):
            return found
        reason = f'store answered {found.ok_value.status}'
        read.refusal = ExchangeError(Fault.NOT_SENT, reason)
        return Err(read.refusal)

    async def _read_by_relay(
        self, address: str, call: StoreCall
    ) -> Result[StoreReply, ExchangeError]:
        found = await self._links.request(
            address, call, call.timeout_s + RELAY_MARGIN_S
        )
        match found:
            case Ok(StoreReply() as reply):
                self._preferred_relay = address
                self.reached_at_s = time.monotonic()
                if not self.is_direct_avoided:
                    self._avoid_direct('overdue')
                return Ok(reply)
        return Err(ExchangeError(Fault.LOST, 'no instance reaches the store'))

    def _ranked_relays(self) -> list[str]:
        """Return the addresses of the relays to try, the last used first."""
        addresses = self._relay_addresses()
        if self._preferred_relay in addresses:
            addresses.remove(self._preferred_relay)
            addresses.insert(0, self._preferred_relay)
        return addresses[:MAX_RELAYS]

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
        self._avoid_direct(reason)
        return False

    def _avoid_direct(self, reason: str) -> None:
        self._set_direct(False, reason)
        self._direct_avoided_until_s = time.monotonic() + DIRECT_AVOID_S

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
        message = StoreCall(method, target, body, timeout_s)
        fault = Fault.NOT_SENT
        for address in self._ranked_relays():
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
        if call.wait_s is not None:
            return await self._answer_relayed_read(call, call.wait_s)
        started_s = time.monotonic()
        found = await self._connections.call(call)
        if self._record_direct_result(found, started_s):
            return found.unwrap()
        if isinstance(found, Err):
            error = found.err_value
            return StoreUnreached(error.fault is Fault.LOST, error.reason)
        return StoreUnreached(False, f'store answered {found.ok_value.status}')

    async def _answer_relayed_read(
        self, call: StoreCall, wait_s: float
    ) -> object:
        sources = self._direct_sources(_Read(call), wait_s + OVERDUE_S)
        match await first_answer(sources):
            case Ok(reply):
                return reply
            case Err(errors):
                return StoreUnreached(True, errors[0].reason)
