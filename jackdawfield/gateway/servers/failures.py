"""Share reports of failing backend servers among the instances.

In a large fleet each instance sends a server few requests, so a single
instance would detect late that the server fails part of them.
"""

from dataclasses import replace
import logging
import time

from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.broadcast import Broadcast
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_servers import FailureNoted
from jackdawfield.messages.fleet_servers import ServerEjected
from jackdawfield.messages.fleet_servers import ServerFailed
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

LOG = logging.getLogger(__name__)
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
    """Counts failures over the instances and spreads ejections.

    An instance reports its failures to a member of its failure domain, which
    passes them on to the other members. A member that ejects a server tells
    the instances that follow tables through it.
    """

    def __init__(
        self,
        servers: Servers,
        region_id: RegionId,
        broadcast: Broadcast,
    ) -> None:
        self._region_id = region_id
        self._servers = servers
        self._broadcast = broadcast
        self._failed_at_s_by_id: dict[ServerId, float] = {}

    def register(self, server: PeerServer) -> None:
        """Register the handlers of other instances' messages."""
        server.handle(ServerFailed, self._handle_report)
        server.handle(ServerEjected, self._handle_ejection)

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
        self._count(state, 1.0)
        if last_s is not None and now_s - last_s < REPORT_INTERVAL_S:
            return
        self._send(
            ServerFailed(server_id, state.entry.started_ms, self._region_id)
        )

    def _send(self, message: ServerFailed) -> None:
        """Send a report to the members, or to one that passes it on."""
        if self._broadcast.is_member:
            self._forward(message)
        else:
            self._broadcast.to_nearest(message)

    def _forward(self, message: ServerFailed) -> None:
        self._broadcast.to_members(replace(message, is_forwarded=True))

    async def _handle_report(self, message: ServerFailed) -> FailureNoted:
        state = self._state_of(message.server_id, message.started_ms)
        if state is None:
            return FailureNoted()
        if not message.is_forwarded and self._broadcast.is_member:
            self._forward(message)
        is_same_region = message.region_id == self._region_id
        self._count(state, 1.0 if is_same_region else OTHER_REGION_WEIGHT)
        return FailureNoted()

    def _state_of(
        self, server_id: ServerId, started_ms: int
    ) -> ServerState | None:
        state = self._servers.by_id.get(server_id)
        if state is None or state.entry.started_ms != started_ms:
            return None
        return state

    async def _handle_ejection(self, message: ServerEjected) -> FailureNoted:
        state = self._state_of(message.server_id, message.started_ms)
        if state is not None:
            state.ejection.eject(
                message.seconds, message.times, time.monotonic()
            )
            _log_ejection(state)
        return FailureNoted()

    def _count(self, state: ServerState, weight: float) -> None:
        """Count a failure, and spread the ejection that it causes."""
        ejection = state.ejection
        if not ejection.record_report(weight, time.monotonic()):
            return
        _log_ejection(state)
        entry = state.entry
        message = ServerEjected(
            entry.server_id,
            entry.started_ms,
            ejection.nominal_s,
            ejection.consecutive_ejections,
        )
        self._broadcast.to_followers(message)


def _log_ejection(state: ServerState) -> None:
    ejection = state.ejection
    log_event(
        LOG,
        'server_shunned',
        server=state.entry.server_id,
        times=ejection.consecutive_ejections,
        seconds=round(ejection.ejected_s, 2),
    )
