"""Share reports of failing backend servers among the instances.

In a large fleet each instance sends a server few requests, so a single
instance would detect late that the server fails part of them.
"""

import logging
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_servers import FailureNoted
from jackdawfield.messages.fleet_servers import ServerFailed
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

LOG = logging.getLogger(__name__)
REPORT_TIMEOUT_S = 0.3
# An instance at which this many servers fail within OWN_FAULT_S probably has a
# fault of its own, so it reports none of them.
OWN_FAULT_SERVERS = 3
OWN_FAULT_S = 1.0
# Minimum time between two reports of a server to the other instances.
REPORT_INTERVAL_S = 0.25
# Weight of a failure reported from another region, as the network may be its
# cause.
OTHER_REGION_WEIGHT = 0.5


class FailureReports:
    """Sends failure reports to the other instances and counts theirs."""

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
        """Register the handler of other instances' reports."""
        server.handle(ServerFailed, self._handle_report)

    def report(self, state: ServerState) -> None:
        """Count a failure of this instance's request and report it.

        Neither is done while many servers fail at this instance.
        """
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
        _count_report(state, 1.0)
        if last_s is not None and now_s - last_s < REPORT_INTERVAL_S:
            return
        entry = state.entry
        message = ServerFailed(server_id, entry.started_ms, self._region_id)
        for row in self._members.other_rows_by_id.values():
            self._tasks.spawn(
                self._links.request(row.address, message, REPORT_TIMEOUT_S)
            )

    async def _handle_report(self, message: ServerFailed) -> FailureNoted:
        state = self._servers.by_id.get(message.server_id)
        if state is None or state.entry.started_ms != message.started_ms:
            return FailureNoted()
        is_same_region = message.region_id == self._region_id
        weight = 1.0 if is_same_region else OTHER_REGION_WEIGHT
        _count_report(state, weight)
        return FailureNoted()


def _count_report(state: ServerState, weight: float) -> None:
    """Count a report; log an ejection that it causes as server_shunned."""
    ejection = state.ejection
    if not ejection.record_report(weight, time.monotonic()):
        return
    log_event(
        LOG,
        'server_shunned',
        server=state.entry.server_id,
        times=ejection.consecutive_ejections,
        seconds=round(ejection.ejected_s, 2),
    )
