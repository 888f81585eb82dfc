"""Fake a service that records and numbers the requests that it runs."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json

from jackdawfield.standins.base import Faults
from jackdawfield.standins.base import StandInHandler


@dataclass
class ServiceState:
    """Holds each request that ran, with its headers."""

    faults: Faults = field(default_factory=Faults)
    runs: list[dict[str, str]] = field(default_factory=list)


class RunHandler(StandInHandler):
    """Runs requests."""

    async def post(self, action: str) -> None:
        """Record the request, wait for wait_s, and return its number.

        The wait and the response's status are fields of the body; a header
        sets the wait of a request without one.
        """
        text = self.request.body.decode()
        headers = json.dumps(dict(self.request.headers.get_all()))
        self.state.runs.append(
            {'action': action, 'body': text, 'headers': headers}
        )
        number = len(self.state.runs)
        wait_s = float(self.request.headers.get('X-Test-Wait-S', '0'))
        body = json.loads(text) if text else {}
        if isinstance(body, dict):
            wait_s = float(body.get('wait_s', wait_s))
            self.set_status(int(body.get('status', 200)))
        await asyncio.sleep(wait_s)
        self.send_json({'action': action, 'run': number, 'done': True})


class RunsHandler(StandInHandler):
    """Serves the requests that ran."""

    def get(self) -> None:
        """Return all requests that ran."""
        self.finish(json.dumps(self.state.runs))


ROUTES = [('/run/([a-z-]+)', RunHandler), ('/runs', RunsHandler)]
State = ServiceState
