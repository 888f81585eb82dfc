"""Connect to backend servers, directly or through another instance."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.pool import Listening
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.reachability import Address
from jackdawfield.gateway.servers.reachability import CONNECT_TIMEOUT_S
from jackdawfield.gateway.servers.reachability import Path
from jackdawfield.gateway.servers.reachability import Reachability
from jackdawfield.gateway.servers.relay_client import RelayClient
from jackdawfield.gateway.servers.relay_client import RelayedConnection
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# Interval and limit of the direct connection attempts while paths are lost.
TRIAL_INTERVAL_S = 0.5
TRIAL_TIMEOUT_S = 0.3

ServerConnection = Connection | RelayedConnection


@dataclass(frozen=True, slots=True)
class NotConnected:
    """Reports that there is no connection to a server.

    `is_server_fault` is False if only this instance's path is at fault.
    """

    reason: str
    is_server_fault: bool


class ServerPaths:
    """Connects to servers and learns from it which ones are reached."""

    def __init__(
        self,
        servers: Servers,
        pool: ConnectionPool,
        reachability: Reachability,
        relays: RelayClient,
    ) -> None:
        self._servers = servers
        self._pool = pool
        self._reachability = reachability
        self._relays = relays
        self._tasks = BackgroundTasks()
        # Servers that are being asked for a connection, here and by peers.
        self._probed: set[Address] = set()
        self._asked_about: set[Address] = set()

    async def connect(
        self, entry: ServerEntry, request_id: str = ''
    ) -> Result[ServerConnection, NotConnected]:
        """Return a connection to a server by the way that is open.

        It has not carried the request before.
        """
        address = (entry.host, entry.port)
        match self._reachability.path(address):
            case Path.DIRECT:
                return await self._connect_directly(entry, request_id)
            case Path.KEPT:
                kept = self._pool.take_idle(entry.host, entry.port, request_id)
                if kept is not None:
                    return Ok(kept)
        return await self._connect_by_peer(entry)

    async def _connect_directly(
        self, entry: ServerEntry, request_id: str
    ) -> Result[ServerConnection, NotConnected]:
        address = (entry.host, entry.port)
        kept = self._pool.take_idle(entry.host, entry.port, request_id)
        if kept is not None:
            return Ok(kept)
        asked_at_s = time.monotonic()
        opened = await self._pool.open(
            entry.host, entry.port, CONNECT_TIMEOUT_S
        )
        if isinstance(opened, Ok):
            self._record_connected(entry)
            return opened
        error = opened.err_value
        if error.is_refused:
            return await self._connect_by_peer(entry, error.reason)
        self._record_silent(entry, asked_at_s)
        if self._reachability.path(address) is Path.DIRECT:
            self._tasks.spawn(self._ask_peers(entry))
            return Err(NotConnected(error.reason, is_server_fault=True))
        return await self._connect_by_peer(entry)

    async def _connect_by_peer(
        self, entry: ServerEntry, refused_reason: str = ''
    ) -> Result[ServerConnection, NotConnected]:
        """Connect through a peer, after this instance was refused or not."""
        opened = await self._relays.open(entry, self._has_limit(entry))
        if isinstance(opened, Ok):
            if refused_reason:
                self._record_lost_path(entry, is_refused=True)
            log_event(
                LOG,
                'server_reached_by_peer',
                server=entry.server_id,
                peer=opened.ok_value.peer,
            )
            return opened
        refused = opened.err_value
        is_alone = not self._relays.has_peers
        is_server_fault = refused.has_tried or (
            bool(refused_reason) and is_alone
        )
        reason = refused_reason or refused.reason
        return Err(NotConnected(reason, is_server_fault))

    def _has_limit(self, entry: ServerEntry) -> bool:
        """Return whether a token was taken, as for each known limit."""
        state = self._servers.by_id.get(entry.server_id)
        if state is None:
            return False
        return state.rate_limit.current(time.monotonic()) is not None

    async def _ask_peers(self, entry: ServerEntry) -> None:
        """Ask whether peers reach a server that did not answer here."""
        address = (entry.host, entry.port)
        if address in self._asked_about:
            return
        self._asked_about.add(address)
        try:
            listening = await self._relays.probe(entry)
        finally:
            self._asked_about.discard(address)
        if listening is Listening.YES:
            self._record_lost_path(entry, is_refused=False)

    async def probe(self, entry: ServerEntry, timeout_s: float) -> Listening:
        """Return whether a server takes connections, from here or a peer.

        A refusal counts as that of the server only if peers get it too.
        """
        address = (entry.host, entry.port)
        if self._reachability.path(address) is not Path.DIRECT:
            return await self._relays.probe(entry)
        listening = await self._pool.probe(entry.host, entry.port, timeout_s)
        if listening is Listening.YES:
            self._record_connected(entry)
        if listening is not Listening.NO or not self._relays.has_peers:
            return listening
        return await self._relays.probe(entry)

    def run_if_path_is_sound(
        self, entry: ServerEntry, work: Callable[[], None]
    ) -> None:
        """Run work unless a failure may come from this instance's path.

        While no server is heard, that is asked first.
        """
        address = (entry.host, entry.port)
        if self._reachability.path(address) is not Path.DIRECT:
            return
        if not self._reachability.is_silent(time.monotonic()):
            work()
            return
        self._tasks.spawn(self._run_if_reached(entry, work))

    async def _run_if_reached(
        self, entry: ServerEntry, work: Callable[[], None]
    ) -> None:
        await self._probe_directly(entry)
        address = (entry.host, entry.port)
        is_heard = not self._reachability.is_silent(time.monotonic())
        if is_heard or not self._relays.has_peers:
            work()
            return
        await self._ask_peers(entry)
        if self._reachability.path(address) is Path.DIRECT:
            work()

    def record_heard(self, entry: ServerEntry) -> None:
        """Record bytes of a server on a direct connection."""
        address = (entry.host, entry.port)
        if self._reachability.record_heard(address, time.monotonic()):
            self._log_regained(entry)

    def watch_for_silence(self, entry: ServerEntry) -> None:
        """Ask a server for a connection if no server is heard any more."""
        address = (entry.host, entry.port)
        now_s = time.monotonic()
        if not self._reachability.is_silent(now_s):
            return
        if self._reachability.path(address) is Path.PEER:
            return
        self._try_directly(entry)

    def _try_directly(self, entry: ServerEntry) -> None:
        address = (entry.host, entry.port)
        if address in self._probed:
            return
        self._probed.add(address)
        self._tasks.spawn(self._probe_directly(entry))

    async def _probe_directly(self, entry: ServerEntry) -> None:
        asked_at_s = time.monotonic()
        try:
            listening = await self._pool.probe(
                entry.host, entry.port, TRIAL_TIMEOUT_S
            )
        finally:
            self._probed.discard((entry.host, entry.port))
        match listening:
            case Listening.YES:
                self._record_connected(entry)
            case Listening.UNKNOWN:
                self._record_silent(entry, asked_at_s)

    async def run_trials(self) -> None:
        """Try lost paths again until the task is cancelled."""
        while True:
            await asyncio.sleep(TRIAL_INTERVAL_S)
            entries_by_address = {
                (state.entry.host, state.entry.port): state.entry
                for state in self._servers.by_id.values()
            }
            address = self._reachability.next_trial(
                entries_by_address, time.monotonic()
            )
            if address is not None:
                self._try_directly(entries_by_address[address])

    def _record_connected(self, entry: ServerEntry) -> None:
        address = (entry.host, entry.port)
        if self._reachability.record_connected(address, time.monotonic()):
            self._log_regained(entry)

    def _record_silent(self, entry: ServerEntry, asked_at_s: float) -> None:
        address = (entry.host, entry.port)
        now_s = time.monotonic()
        if self._reachability.record_silent(address, asked_at_s, now_s):
            log_event(
                LOG,
                'cut_from_servers',
                logging.WARNING,
                server=entry.server_id,
            )

    def _record_lost_path(self, entry: ServerEntry, is_refused: bool) -> None:
        address = (entry.host, entry.port)
        if self._reachability.path(address) is not Path.DIRECT:
            return
        self._reachability.record_reached_by_peer(address, is_refused)
        log_event(
            LOG,
            'server_path_lost',
            logging.WARNING,
            server=entry.server_id,
            refused=is_refused,
        )

    def _log_regained(self, entry: ServerEntry) -> None:
        log_event(LOG, 'servers_regained', server=entry.server_id)

    def close(self) -> None:
        """Cancel the probes under way."""
        self._tasks.cancel()
        self._relays.close()
