"""Answer operators who list and lift quarantines."""

from dataclasses import dataclass
import json
import logging
import time

from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.quarantine_sharing import QuarantineSharing
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_quarantine import PAGE
from jackdawfield.messages.fleet_quarantine import RequestDigest

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PageAnswer:
    """Holds the status and the JSON text of an answer."""

    status: int
    text: str


class QuarantinePage:
    """Lists the quarantined requests and lifts a quarantine."""

    def __init__(
        self, quarantine: Quarantine, sharing: QuarantineSharing
    ) -> None:
        self._quarantine = quarantine
        self._sharing = sharing

    def answer(self, method: str, target: str) -> PageAnswer | None:
        """Return the answer to a request, None if it is for another page."""
        if target == PAGE and method == 'GET':
            return PageAnswer(200, json.dumps(self._rows()))
        if target.startswith(f'{PAGE}/') and method == 'DELETE':
            return self._lift(target.removeprefix(f'{PAGE}/'))
        return None

    def _rows(self) -> list[dict[str, object]]:
        return [
            {
                'digest': found.digest.hex(),
                'term': found.term,
                'left_s': round(found.left_s),
                'servers': ' '.join(found.server_ids),
            }
            for found in self._quarantine.quarantined(time.monotonic())
        ]

    def _lift(self, text: str) -> PageAnswer:
        try:
            digest = RequestDigest(bytes.fromhex(text))
        except ValueError:
            return PageAnswer(400, json.dumps({'error': 'not a digest'}))
        if not self._quarantine.lift(digest):
            return PageAnswer(404, json.dumps({'error': 'not quarantined'}))
        log_event(LOG, 'quarantine_lifted', digest=text)
        self._sharing.notify()
        return PageAnswer(200, json.dumps({'digest': text, 'state': 'lifted'}))
