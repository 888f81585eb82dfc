"""Keeps recent turns in memory, within a limit of bytes."""

from collections import OrderedDict

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.turns import TurnRecord
from jackdawfield.model import OrganisationId


class TurnCache:
    """Keeps recent turns in memory, within a limit of bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._by_id: OrderedDict[
            tuple[OrganisationId | None, TurnId], TurnRecord
        ] = OrderedDict()

    def get(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> TurnRecord | None:
        """Return a turn that is kept here."""
        key = (organisation_id, turn_id)
        record = self._by_id.get(key)
        if record is not None:
            self._by_id.move_to_end(key)
        return record

    def add(self, record: TurnRecord) -> None:
        """Keep a turn and drop the least recently used over the limit."""
        key = (record.organisation_id, record.turn_id)
        if key in self._by_id:
            return
        self._by_id[key] = record
        self._bytes += record.size
        while self._bytes > self._limit_bytes:
            _, dropped = self._by_id.popitem(last=False)
            self._bytes -= dropped.size
