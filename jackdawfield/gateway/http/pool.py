"""Pool idle connections by address and open new ones."""

import asyncio
from enum import Enum
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.idle_limits import IdleLimits
from jackdawfield.gateway.http.messages import DEFAULT_IDLE_S
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.http.reasons import reason_of
from jackdawfield.gateway.work_slices import WorkSlices

SWEEP_INTERVAL_S = 1.0


class Listening(Enum):
    """Names what a connection attempt tells about a server."""

    YES = 'yes'
    NO = 'no'
    UNKNOWN = 'unknown'


class ConnectionPool:
    """Holds idle connections by address, the last used first."""

    def __init__(
        self,
        slices: WorkSlices | None = None,
        longest_idle_s: float = DEFAULT_IDLE_S,
    ) -> None:
        self._slices = slices or WorkSlices()
        self._idle_limits = IdleLimits(longest_idle_s)
        self._idle_by_address: dict[tuple[str, int], list[Connection]] = {}
        self.opened_count = 0
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, host: str, port: int, timeout_s: float
    ) -> Result[Connection, ExchangeError]:
        """Return an idle connection or open one within the timeout."""
        idle = self.take_idle(host, port)
        if idle is not None:
            return Ok(idle)
        return await self.open(host, port, timeout_s)

    def take_idle(
        self, host: str, port: int, echo_value: str = ''
    ) -> Connection | None:
        """Return an idle connection that can be used, None without one.

        One that has carried the request with this echo value is closed.
        """
        now_s = time.monotonic()
        address = (host, port)
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if not self._can_be_reused(address, connection, now_s):
                self._end_idle(address, connection, now_s)
            elif connection.has_carried(echo_value):
                connection.abort(LossReason.CARRIED_BEFORE)
            elif connection.has_unread_input:
                connection.abort(LossReason.CLOSED_OR_LATE_BYTES)
            else:
                return connection
        return None

    def has_idle(self, host: str, port: int) -> bool:
        """Return whether an idle connection to an address can be used."""
        address = (host, port)
        now_s = time.monotonic()
        return any(
            self._can_be_reused(address, connection, now_s)
            for connection in self._idle_by_address.get(address, ())
        )

    async def open(
        self, host: str, port: int, timeout_s: float
    ) -> Result[Connection, ExchangeError]:
        """Open a connection within the timeout.

        An address that can't be connected to is an error like any other.
        """
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._slices), host, port
                )
        except (OSError, ValueError, OverflowError) as error:
            reason = reason_of(error, LossReason.NO_CONNECTION)
            if type(error) is TimeoutError:
                reason = LossReason.NO_CONNECTION_IN_TIME
            is_refused = isinstance(error, ConnectionRefusedError)
            return Err(ExchangeError(Fault.NOT_SENT, reason, is_refused))
        return Ok(connection)

    async def probe(self, host: str, port: int, timeout_s: float) -> Listening:
        """Return whether anything listens; its connection is kept as idle."""
        match await self.open(host, port, timeout_s):
            case Ok(connection):
                connection.wait_for_use()
                self._keep(host, port, connection)
                return Listening.YES
            case Err(error):
                return Listening.NO if error.is_refused else Listening.UNKNOWN

    def release(self, host: str, port: int, connection: Connection) -> None:
        """Return a connection to the pool if it can be reused."""
        if connection.reset_for_reuse():
            self._keep(host, port, connection)

    def _keep(self, host: str, port: int, connection: Connection) -> None:
        idle = self._idle_by_address.setdefault((host, port), [])
        idle.append(connection)
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def discard_idle(
        self, host: str, port: int, keep_last: bool = False
    ) -> None:
        """Close the idle connections to an address, but for the last used."""
        idle = self._idle_by_address.pop((host, port), [])
        if keep_last and idle:
            self._idle_by_address[(host, port)] = [idle.pop()]
        for connection in idle:
            connection.abort(LossReason.OTHERS_SILENT)

    def _sweep(self) -> None:
        now_s = time.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            usable = []
            for connection in idle:
                if self._can_be_reused(address, connection, now_s):
                    usable.append(connection)
                else:
                    self._end_idle(address, connection, now_s)
            if usable:
                self._idle_by_address[address] = usable
            else:
                del self._idle_by_address[address]
        self._sweep_timer = None
        if self._idle_by_address:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _end_idle(
        self, address: tuple[str, int], connection: Connection, now_s: float
    ) -> None:
        if connection.is_closed_by_server and connection.stated_idle_s is None:
            idle_s = connection.idle_s(now_s)
            self._idle_limits.record_closed(address, idle_s)
        connection.abort(LossReason.IDLE)

    def _can_be_reused(
        self, address: tuple[str, int], connection: Connection, now_s: float
    ) -> bool:
        """Return whether it is open and has not been idle for too long."""
        if not connection.is_usable:
            return False
        limit_s = connection.stated_idle_s
        if limit_s is None:
            limit_s = self._idle_limits.limit_s(address)
        return connection.idle_s(now_s) < limit_s

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.abort(LossReason.STOPPING)
        self._idle_by_address.clear()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
