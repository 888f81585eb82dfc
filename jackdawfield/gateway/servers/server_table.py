"""Apply the rows of the table of backend servers."""

from collections.abc import Callable
import logging
import time

from result import Err
from result import Result

from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.logs import log_event
from jackdawfield.model import ServerId

LOG = logging.getLogger(__name__)

DecodeEntry = Callable[[str, bytes], Result[ServerEntry, Exception]]


class ServerTable:
    """Decodes rows and updates the servers by them."""

    def __init__(self, servers: Servers, decode_entry: DecodeEntry) -> None:
        self._servers = servers
        self._decode_entry = decode_entry

    def _decode(self, rows: tuple[StoredRow, ...]) -> list[ServerEntry]:
        entries = []
        for row in rows:
            if row.value is None:
                continue
            decoded = self._decode_entry(row.key.key, row.value)
            if isinstance(decoded, Err):
                log_event(LOG, 'server_unreadable', reason=decoded.err_value)
                continue
            entries.append(decoded.ok_value)
        return entries

    def replace_all(
        self, rows: tuple[StoredRow, ...], after_outage: bool
    ) -> None:
        """Replace the servers by those of the whole table."""
        entries = self._decode(rows)
        self._servers.replace_all(entries, time.monotonic(), after_outage)
        log_event(LOG, 'servers_listed', count=len(entries))

    def apply_changes(
        self, rows: tuple[StoredRow, ...], after_outage: bool
    ) -> None:
        """Apply the rows that changed."""
        entries_by_id = {e.server_id: e for e in self._decode(rows)}
        for row in rows:
            server_id = ServerId(row.key.key)
            entry = entries_by_id.get(server_id)
            if entry is None:
                # An unreadable row names no usable server.
                self._servers.remove(
                    server_id, time.monotonic(), after_outage and not row.value
                )
                log_event(
                    LOG, 'server_unlisted', server=server_id, held=after_outage
                )
                continue
            self._servers.put(entry)
            log_event(
                LOG,
                'server_listed',
                server=server_id,
                service=entry.service,
                leaving=entry.is_draining,
            )
