"""Tell the end of a backend server from the loss of one answer.

After a call's connection broke, a server that refuses connections, or that
is listed with a later start, has ended.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import logging
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.gateway.http.pool import Listening
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.server_paths import ServerPaths
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart

LOG = logging.getLogger(__name__)
# A process that ends closes its connections one after another.
PROBE_DELAY_S = 0.02
PROBE_TIMEOUT_S = 0.4
# Time in which a server that restarted at once is listed with its new start.
RESTART_LISTED_S = 10.0


@dataclass(slots=True)
class _BrokenCalls:
    """Holds the requests whose connections to a server broke."""

    broken_at_s: float
    had_begun_by_digest: dict[RequestDigest, bool] = field(
        default_factory=dict
    )
    # Whether the server took a connection afterwards.
    is_listening: bool = False


class EndedServers:
    """Finds the servers that ended while calls ran there."""

    def __init__(
        self,
        servers: Servers,
        paths: ServerPaths,
        quarantine: Quarantine,
        on_change: Callable[[], None],
    ) -> None:
        self._servers = servers
        self._paths = paths
        self._quarantine = quarantine
        self._on_change = on_change
        self._broken_by_start: dict[ServerStart, _BrokenCalls] = {}
        self._tasks = BackgroundTasks()
        self.ended_count = 0

    def record_broken(
        self, digest: RequestDigest, server: ServerState, had_begun: bool
    ) -> None:
        """Record that a server closed the connection of a running request.

        A server that is leaving or not listed any more may do so. `had_begun`
        tells that a part of the answer was passed on.
        """
        if not self._servers.is_usable(server):
            return
        entry = server.entry
        start = ServerStart(entry.server_id, entry.started_ms)
        broken = self._broken_by_start.get(start)
        if broken is None:
            broken = _BrokenCalls(time.monotonic())
            self._broken_by_start[start] = broken
            self._tasks.spawn(self._probe(start, entry))
        began_before = broken.had_begun_by_digest.get(digest, True)
        broken.had_begun_by_digest[digest] = had_begun and began_before
        if self._quarantine.has_ended(start):
            self._confirm(start)

    def broken_count(self, digest: RequestDigest) -> int:
        """Return how many servers a request has ended or may have ended."""
        unsure = [
            start
            for start, broken in self._broken_by_start.items()
            if digest in broken.had_begun_by_digest
            and not broken.is_listening
            and not self._quarantine.has_ended(start)
        ]
        return len(unsure) + self._quarantine.ending_count(digest)

    def confirm_restarted(self) -> None:
        """Confirm the servers that are listed anew; forget old ones."""
        now_s = time.monotonic()
        for start, broken in list(self._broken_by_start.items()):
            state = self._servers.by_id.get(start.server_id)
            if state and state.entry.started_ms > start.started_ms:
                self._confirm(start)
            elif now_s - broken.broken_at_s > RESTART_LISTED_S:
                del self._broken_by_start[start]

    def learn(self, starts: list[ServerStart]) -> None:
        """Take note of servers that ended, as another instance reports."""
        for start in starts:
            self._servers.mark_ended(
                start.server_id, start.started_ms, time.monotonic()
            )
            if start in self._broken_by_start:
                self._confirm(start)

    async def _probe(self, start: ServerStart, entry: ServerEntry) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        listening = await self._paths.probe(entry, PROBE_TIMEOUT_S)
        broken = self._broken_by_start.get(start)
        if broken is None:
            return
        broken.is_listening = listening is Listening.YES
        if listening is Listening.NO:
            self._confirm(start)

    def _confirm(self, start: ServerStart) -> None:
        """Record that a server has ended, and its suspects."""
        broken = self._broken_by_start[start]
        # What is recorded here is not recorded again at the next report.
        suspects, broken.had_begun_by_digest = broken.had_begun_by_digest, {}
        if not suspects:
            return
        now_s = time.monotonic()
        self._servers.mark_ended(start.server_id, start.started_ms, now_s)
        if not self._quarantine.has_ended(start):
            self.ended_count += 1
        self._quarantine.record_ending(start, suspects, now_s)
        log_event(
            LOG,
            'server_ended',
            logging.WARNING,
            server=start.server_id,
            suspects=','.join(sorted(digest.hex() for digest in suspects)),
        )
        self._on_change()

    def close(self) -> None:
        """Cancel the probes under way."""
        self._tasks.cancel()
