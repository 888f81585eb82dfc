"""Keeps idle connections to servers and opens new ones."""

import asyncio
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.connections import Connection
from jackdawfield.gateway.connections import ExchangeError
from jackdawfield.gateway.connections import Fault

SWEEP_S = 1.0


class ConnectionPool:
    """Keeps idle connections by address, the last used first."""

    def __init__(self) -> None:
        self._idle_by_address: dict[tuple[str, int], list[Connection]] = {}
        self.opened = 0
        self._sweeper: asyncio.TimerHandle | None = None

    async def acquire(
        self, host: str, port: int, timeout_s: float
    ) -> Result[Connection, ExchangeError]:
        """Return a kept connection or open one within the timeout."""
        now_s = time.monotonic()
        kept = self._idle_by_address.get((host, port), [])
        while kept:
            connection = kept.pop()
            if connection.usable and connection.idle_until_s > now_s:
                return Ok(connection)
            connection.abort('idle for too long')
        return await self.open(host, port, timeout_s)

    async def open(
        self, host: str, port: int, timeout_s: float
    ) -> Result[Connection, ExchangeError]:
        """Open a connection within the timeout."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    Connection, host, port
                )
        except (OSError, TimeoutError) as error:
            reason = f'{type(error).__name__} {error}'.strip()
            return Err(ExchangeError(Fault.NOT_SENT, reason))
        return Ok(connection)

    def release(self, host: str, port: int, connection: Connection) -> None:
        """Keep a connection whose exchange has ended, if it is clean."""
        if not connection.finish():
            return
        kept = self._idle_by_address.setdefault((host, port), [])
        kept.append(connection)
        if self._sweeper is None:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        now_s = time.monotonic()
        for address, kept in list(self._idle_by_address.items()):
            good = []
            for connection in kept:
                if connection.usable and connection.idle_until_s > now_s:
                    good.append(connection)
                else:
                    connection.abort('idle for too long')
            if good:
                self._idle_by_address[address] = good
            else:
                del self._idle_by_address[address]
        self._sweeper = None
        if self._idle_by_address:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Close every idle connection."""
        for kept in self._idle_by_address.values():
            for connection in kept:
                connection.abort('stopping')
        self._idle_by_address.clear()
        if self._sweeper is not None:
            self._sweeper.cancel()
