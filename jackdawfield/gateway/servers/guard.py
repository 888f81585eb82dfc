"""Keep requests that end backend servers from being sent to others."""

import logging
import time

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.endings import EndedServers
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.quarantine import Verdict
from jackdawfield.gateway.servers.request_digest import digest_of
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_quarantine import RequestDigest

LOG = logging.getLogger(__name__)
STATUS_REFUSED = 503
# Reasons that callers get, and their Retry-After.
QUARANTINED = 'quarantined'
WATCHED = 'suspected, and running already'
WATCHED_RETRY_S = 1.0
UNDECIDED = 'suspected, not decided yet'
UNDECIDED_RETRY_S = 0.3
# Servers that may have ended under one request before it is sent no more.
MAX_BROKEN = 2


class CallGuard:
    """Decides whether a call may be sent, and watches how it ends.

    While nothing is suspected, no request's digest is computed.
    """

    def __init__(self, quarantine: Quarantine, ended: EndedServers) -> None:
        self._quarantine = quarantine
        self._ended = ended
        # Request id of the suspected call that is under way here.
        self._watched_id_by_digest: dict[RequestDigest, str] = {}

    def check(self, call: Call) -> Refusal | None:
        """Return a refusal if a call must not be sent now."""
        if self._quarantine.is_empty:
            return None
        digest = digest_of(call)
        now_s = time.monotonic()
        match self._quarantine.verdict(digest, now_s):
            case Verdict.FREE:
                return None
            case Verdict.UNDECIDED:
                return Refusal(STATUS_REFUSED, UNDECIDED, UNDECIDED_RETRY_S)
            case Verdict.WATCHED:
                running_id = self._watched_id_by_digest.get(digest)
                if running_id in (None, call.request_id):
                    return None
                return Refusal(STATUS_REFUSED, WATCHED, WATCHED_RETRY_S)
            case Verdict.QUARANTINED:
                return self._refuse(call, digest, now_s)

    def _refuse(
        self, call: Call, digest: RequestDigest, now_s: float
    ) -> Refusal:
        conviction = self._quarantine.conviction(digest, now_s)
        assert conviction is not None
        log_event(
            LOG,
            'request_quarantined',
            logging.WARNING,
            request=call.request_id,
            digest=digest.hex(),
            servers=','.join(conviction.server_ids),
        )
        return Refusal(STATUS_REFUSED, QUARANTINED, conviction.left_s)

    def may_send_again(self, call: Call) -> bool:
        """Return whether a call that broke off may go to another server."""
        digest = digest_of(call)
        if self._ended.broken_count(digest) >= MAX_BROKEN:
            return False
        return self.check(call) is None

    def begin(self, call: Call) -> None:
        """Record that a call is sent to a server."""
        if self._quarantine.is_empty:
            return
        digest = digest_of(call)
        verdict = self._quarantine.verdict(digest, time.monotonic())
        if verdict is Verdict.WATCHED:
            self._watched_id_by_digest[digest] = call.request_id

    def end(self, call: Call) -> None:
        """Record that a call is no longer at a server."""
        if not self._watched_id_by_digest:
            return
        digest = digest_of(call)
        if self._watched_id_by_digest.get(digest) == call.request_id:
            del self._watched_id_by_digest[digest]

    def record_broken(
        self, call: Call, server: ServerState, had_begun: bool
    ) -> None:
        """Record that a server closed the connection of a running call.

        `had_begun` tells that a part of the answer was passed on.
        """
        self._ended.record_broken(digest_of(call), server, had_begun)

    def record_whole(self, call: Call) -> None:
        """Record that a call ended whole at a server."""
        if not self._quarantine.is_empty:
            digest = digest_of(call)
            self._quarantine.record_whole(digest, time.monotonic())
