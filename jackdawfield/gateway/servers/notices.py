"""Record what backend servers say of themselves in their answers."""

from collections.abc import Callable
from dataclasses import dataclass
import logging
import time

from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.servers.server_limits import ServerLimits
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
# A leaving server is used up to this long before it must not be any more: a
# call that was chosen for it has to be written.
LEAVING_MARGIN_S = 0.2


@dataclass(frozen=True, slots=True)
class ServerNotices:
    """Holds what the head of an answer says of its server.

    The limit is in requests per second, None if the head names none.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False


class NoticeRecorder:
    """Records the notices in answers to this instance and to its peers."""

    def __init__(
        self,
        limits: ServerLimits,
        decode: Callable[[ResponseHead], ServerNotices],
        drain_s: float,
    ) -> None:
        self._limits = limits
        self._decode = decode
        self.drain_s = drain_s

    def record(
        self, state: ServerState, head: ResponseHead, sent_at_s: float
    ) -> None:
        """Record the notices in the answer to a request of that time."""
        notices = self._decode(head)
        self._limits.record_answer(state, notices.limit_per_s, sent_at_s)
        if notices.is_leaving:
            self._record_leaving(state)

    def _record_leaving(self, state: ServerState) -> None:
        if state.has_announced_leaving:
            return
        usable_s = max(0.0, self.drain_s - LEAVING_MARGIN_S)
        state.announced_end_s = time.monotonic() + usable_s
        log_event(
            LOG,
            'server_leaving',
            server=state.entry.server_id,
            started_ms=state.entry.started_ms,
            usable_s=usable_s,
        )
