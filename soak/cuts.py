"""Cut an instance's own connections to the backend servers.

Loopback drops no packets, so a cut is made in the process: while the file
names one, new connections to any server hang or are refused, and with those
that hang, what servers send is held back until the cut is over.
"""

import asyncio
from enum import Enum
import os
from pathlib import Path
from typing import Any

from result import Err
from result import Result

from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.pool import ConnectionPool

CUT_FILE_VARIABLE = 'SOAK_CUT_FILE'
POLL_S = 0.02


class Cut(Enum):
    """Names what happens to an instance's connections to servers."""

    NONE = ''
    HANGING = 'hanging'
    REFUSED = 'refused'


def set_cut(path: Path, cut: Cut) -> None:
    """Cut an instance, or end its cut."""
    path.write_text(cut.value)


def _current_cut() -> Cut:
    path = Path(os.environ.get(CUT_FILE_VARIABLE, os.devnull))
    return Cut(path.read_text()) if path.exists() else Cut.NONE


class CuttablePool(ConnectionPool):
    """Opens connections to servers unless the instance is cut."""

    async def open(
        self, host: str, port: int, timeout_s: float
    ) -> Result[Connection, ExchangeError]:
        """Open a connection, hang until the timeout, or be refused."""
        cut = _current_cut()
        if cut is Cut.HANGING:
            await asyncio.sleep(timeout_s)
        if cut is not Cut.NONE:
            is_refused = cut is Cut.REFUSED
            return Err(ExchangeError(Fault.NOT_SENT, 'cut', is_refused))
        opened = await super().open(host, port, timeout_s)
        return opened.map(_hold_while_cut)


def _hold_while_cut(connection: Connection) -> Connection:
    """Hold back what arrives on a connection while the instance is cut."""
    receive = connection.data_received
    held: list[bytes] = []

    def deliver() -> None:
        if _current_cut() is Cut.HANGING:
            asyncio.get_running_loop().call_later(POLL_S, deliver)
            return
        data = b''.join(held)
        held.clear()
        receive(data)

    def data_received(data: bytes) -> None:
        if not held and _current_cut() is not Cut.HANGING:
            receive(data)
            return
        if not held:
            asyncio.get_running_loop().call_later(POLL_S, deliver)
        held.append(data)

    patched: Any = connection
    patched.data_received = data_received
    return connection


def make_cuttable() -> None:
    """Let the instance that this process runs be cut."""
    build = Gateway._build_server_paths

    def changed(self: Gateway) -> None:
        self.server_pool = CuttablePool()
        build(self)

    owner: Any = Gateway
    owner._build_server_paths = changed
