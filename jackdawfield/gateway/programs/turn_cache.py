"""Keep turns in memory, within a limit of bytes if there is one."""

from collections import OrderedDict
from math import inf

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.model import OrganisationId


class TurnCache:
    """Holds the most recently used turns, within a limit of bytes."""

    def __init__(self, limit_bytes: float = inf) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._records_by_key: OrderedDict[
            tuple[OrganisationId | None, TurnId], TurnRecord
        ] = OrderedDict()

    def get(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> TurnRecord | None:
        """Return a turn and mark it as used; None if it is not cached."""
        key = (organisation_id, turn_id)
        record = self._records_by_key.get(key)
        if record is not None:
            self._records_by_key.move_to_end(key)
        return record

    def latest(self) -> list[TurnRecord]:
        """Return the turns, the most recently used first."""
        return list(reversed(self._records_by_key.values()))

    def add(self, record: TurnRecord) -> None:
        """Add a turn and evict the least recently used over the limit.

        Of the copies of a turn, the one that is stored for longest is held.
        """
        key = (record.organisation_id, record.turn_id)
        present = self._records_by_key.get(key)
        if present is not None:
            if present.kept_until_s >= record.kept_until_s:
                return
            del self._records_by_key[key]
            self._used_bytes -= present.memory_bytes
        self._records_by_key[key] = record
        self._used_bytes += record.memory_bytes
        while self._used_bytes > self._limit_bytes:
            _, dropped = self._records_by_key.popitem(last=False)
            self._used_bytes -= dropped.memory_bytes
