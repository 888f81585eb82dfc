"""Remember which requests were sent to other failure domains of late."""

from collections import OrderedDict
from dataclasses import dataclass

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.model import DomainId


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Holds where a request was sent, and after how many failed attempts."""

    domain_id: DomainId
    sent_at_s: float
    failed_attempts: int


class SentRequests:
    """Holds requests sent to other domains, which may be returned."""

    def __init__(self, age_limit_s: float) -> None:
        self._age_limit_s = age_limit_s
        self._sent_by_id: OrderedDict[RequestId, SentRequest] = OrderedDict()

    def record(
        self, demand: SlotDemand, domain_id: DomainId, now_s: float
    ) -> None:
        """Record a request sent to a domain, and remove the older ones."""
        oldest_s = now_s - self._age_limit_s
        while self._sent_by_id:
            request_id, sent = next(iter(self._sent_by_id.items()))
            if sent.sent_at_s >= oldest_s:
                break
            del self._sent_by_id[request_id]
        self._sent_by_id[demand.request_id] = SentRequest(
            domain_id, now_s, len(demand.avoided_server_ids)
        )

    def pop_returned(self, demand: SlotDemand) -> DomainId | None:
        """Return the domain that returned a request, None if none did.

        A request with an attempt that failed since then was not returned.
        """
        sent = self._sent_by_id.pop(demand.request_id, None)
        if sent is None:
            return None
        if len(demand.avoided_server_ids) != sent.failed_attempts:
            return None
        return sent.domain_id
