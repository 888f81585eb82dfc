"""Fake the platform's list of instances, which lags behind changes."""

from dataclasses import dataclass
from dataclasses import field
import time
from typing import Any

from jackdawfield.standins.base import Faults
from jackdawfield.standins.base import StandInHandler


@dataclass
class InstancesState:
    """Holds each change of the list with the time at which it was made."""

    faults: Faults = field(default_factory=Faults)
    lag_s: float = 0.2
    changes: list[tuple[float, str, dict[str, Any] | None]] = field(
        default_factory=list
    )

    def delayed_entries(self, now_s: float) -> list[dict[str, Any]]:
        """Return the entries of the list as it was lag_s ago."""
        entries_by_id: dict[str, dict[str, Any]] = {}
        for at_s, name, entry in self.changes:
            if at_s > now_s - self.lag_s:
                break
            if entry is None:
                entries_by_id.pop(name, None)
                continue
            entries_by_id[name] = entry
        return list(entries_by_id.values())


class ListHandler(StandInHandler):
    """Serves the list."""

    def get(self) -> None:
        """Return the delayed list."""
        self.send_json(
            {'instances': self.state.delayed_entries(time.monotonic())}
        )


class EntryHandler(StandInHandler):
    """Changes single entries of the list."""

    def put(self, name: str) -> None:
        """Add or replace an entry."""
        entry = self.json_body()
        self.state.changes.append((time.monotonic(), name, entry))
        self.send_json({})

    def delete(self, name: str) -> None:
        """Remove an entry."""
        self.state.changes.append((time.monotonic(), name, None))
        self.send_json({})


ROUTES = [
    ('/v1/instances', ListHandler),
    ('/v1/instances/([a-z0-9-]+)', EntryHandler),
]
State = InstancesState
