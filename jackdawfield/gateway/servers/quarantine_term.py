"""Hold one quarantine of a request, from its conviction to its end."""

from dataclasses import dataclass

from jackdawfield.messages.fleet_quarantine import Conviction
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart
from jackdawfield.model import ServerId


@dataclass(slots=True)
class Term:
    """Holds the newest quarantine of a request.

    `number` counts the request's quarantines from 1. `support` holds the
    endings for which this instance convicted it, and is empty if another
    instance did. `version` and `is_relayed` are as in `Mark`.
    """

    number: int
    until_s: float
    server_ids: tuple[ServerId, ...]
    support: frozenset[ServerStart]
    is_lifted: bool
    version: int
    is_relayed: bool

    def conviction(self, digest: RequestDigest, now_s: float) -> Conviction:
        """Return the conviction that tells other instances of the term."""
        return Conviction(
            digest,
            self.number,
            self.until_s - now_s,
            self.server_ids,
            self.is_lifted,
        )
