"""Shares what instances see fail at backend servers.

In a large fleet each instance sends a server few requests, so that one alone
would learn late that a server fails part of them.
"""

import logging
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.members import Members
from jackdawfield.gateway.servers import Servers
from jackdawfield.gateway.servers import ServerState
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_servers import FailureNoted
from jackdawfield.messages.fleet_servers import ServerFailed
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

LOG = logging.getLogger(__name__)
REPORT_TIMEOUT_S = 0.3
# An instance to which this many servers fail within the time is likely to
# have a fault of its own, and tells nobody.
OWN_FAULT_SERVERS = 3
OWN_FAULT_S = 1.0
# A server is reported once within this time by an instance.
REPORT_PAUSE_S = 0.25
# Reports from another region may tell of the way and not of the server.
OTHER_REGION_WEIGHT = 0.5


class FailureReports:
    """Tells the other instances of failures, and takes theirs in."""

    def __init__(
        self,
        region_id: RegionId,
        servers: Servers,
        members: Members,
        links: PeerLinks,
    ) -> None:
        self._region_id = region_id
        self._servers = servers
        self._members = members
        self._links = links
        self._tasks = BackgroundTasks()
        self._failed_at_s_by_id: dict[ServerId, float] = {}

    def register(self, server: PeerServer) -> None:
        """Answer the reports of other instances."""
        server.handle(ServerFailed, self._answer)

    def report(self, state: ServerState) -> None:
        """Count a failure that this instance saw, and tell the others."""
        now_s = time.monotonic()
        server_id = state.entry.server_id
        last_s = self._failed_at_s_by_id.get(server_id)
        self._failed_at_s_by_id = {
            other_id: at_s
            for other_id, at_s in self._failed_at_s_by_id.items()
            if now_s - at_s < OWN_FAULT_S
        }
        self._failed_at_s_by_id[server_id] = now_s
        if len(self._failed_at_s_by_id) >= OWN_FAULT_SERVERS:
            return
        _note(state, 1.0)
        if last_s is not None and now_s - last_s < REPORT_PAUSE_S:
            return
        entry = state.entry
        message = ServerFailed(server_id, entry.started_ms, self._region_id)
        for row in self._members.others_by_id.values():
            self._tasks.spawn(
                self._links.request(row.address, message, REPORT_TIMEOUT_S)
            )

    async def _answer(self, message: ServerFailed) -> FailureNoted:
        state = self._servers.by_id.get(message.server_id)
        if state is None or state.entry.started_ms != message.started_ms:
            return FailureNoted()
        near = message.region_id == self._region_id
        weight = 1.0 if near else OTHER_REGION_WEIGHT
        _note(state, weight)
        return FailureNoted()


def _note(state: ServerState, weight: float) -> None:
    """Count a report, and log if the server is shunned from now on."""
    standing = state.standing
    if not standing.note(weight, time.monotonic()):
        return
    log_event(
        LOG,
        'server_shunned',
        server=state.entry.server_id,
        times=standing.times,
        seconds=round(standing.shunned_s, 2),
    )
