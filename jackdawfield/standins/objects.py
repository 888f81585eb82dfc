"""Fake the object store with paths as in S3."""

from dataclasses import dataclass
from dataclasses import field

from jackdawfield.standins.base import Faults
from jackdawfield.standins.base import StandInHandler


@dataclass
class ObjectState:
    """Holds the objects by their path."""

    faults: Faults = field(default_factory=Faults)
    objects_by_path: dict[str, bytes] = field(default_factory=dict)


class ObjectHandler(StandInHandler):
    """Stores, returns and deletes objects."""

    def put(self, path: str) -> None:
        """Store an object."""
        self.state.objects_by_path[path] = self.request.body
        self.send_json({})

    def get(self, path: str) -> None:
        """Return an object, or 404 without one."""
        value = self.state.objects_by_path.get(path)
        if value is None:
            self.set_status(404)
            self.finish()
            return
        self.finish(value)

    def delete(self, path: str) -> None:
        """Delete an object."""
        self.state.objects_by_path.pop(path, None)
        self.set_status(204)
        self.finish()


ROUTES = [('/([a-z0-9-]+/.+)', ObjectHandler)]
State = ObjectState
