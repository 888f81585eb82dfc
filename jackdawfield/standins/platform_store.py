"""Fake the platform's row store with its HTTP interface."""

import asyncio
from base64 import b64decode
from base64 import b64encode
from functools import partial
import json
from typing import Any

from result import Err
import tornado.web

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.gateway.storage.rows import RowConflict
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsRejected
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.standins.base import close_unanswered
from jackdawfield.standins.base import FreePortServer
from jackdawfield.standins.row_store import MemoryRowStore

MS_PER_S = 1000
# Only the operators and the platform may write these.
PROTECTED_TABLES = ('op', 'servers')
# Limits of the rows in one answer.
MAX_ROWS = 500
MAX_ROWS_BYTES = 1_000_000


def decode_key(wire: dict[str, Any]) -> RowKey:
    """Return the key of an encoded row."""
    return RowKey(wire['table'], wire.get('part', ''), wire['key'])


def encode_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as it is encoded in JSON."""
    key = row.key
    wire = {'table': key.table, 'part': key.part, 'key': key.key}
    if row.value is None:
        return {**wire, 'ver': row.version, 'deleted': True}
    value = b64encode(row.value).decode()
    return {**wire, 'ver': row.version, 'value': value}


def first_rows(rows: tuple[StoredRow, ...]) -> tuple[StoredRow, ...]:
    """Return the first rows that fit into one answer, at least one."""
    size = 0
    for count, row in enumerate(rows):
        size += len(b64encode(row.value or b''))
        if count and (count >= MAX_ROWS or size > MAX_ROWS_BYTES):
            return rows[:count]
    return rows


class PlatformStoreStandIn(FreePortServer):
    """Serves a store of rows.

    While `is_refusing` is set, it answers 503; while `is_silent` is set, it
    does not answer.
    """

    def __init__(self, rows: MemoryRowStore) -> None:
        self.rows = rows
        self.is_refusing = False
        self.is_silent = False
        self.call_count = 0
        super().__init__(r'/-/([a-z-]+)', _Handler, standin=self)


class _Handler(tornado.web.RequestHandler):
    """Handles one call."""

    def initialize(self, standin: PlatformStoreStandIn) -> None:
        """Store the stand-in that is served."""
        self.standin = standin

    async def prepare(self) -> None:
        """Count the call, and refuse it or leave it unanswered if set so."""
        self.standin.call_count += 1
        if self.standin.is_silent:
            await asyncio.sleep(3600)
        if self.standin.is_refusing:
            self.send_error(503)

    async def get(self, name: str) -> None:
        """Read rows or wait for changes."""
        argument = partial(self.get_query_argument, strip=False)
        stored = self.standin.rows
        if name == 'rows-get':
            read = await stored.read(
                argument('table'),
                argument('part', ''),
                argument('from', ''),
                argument('to', ''),
            )
        elif name == 'rows-feed':
            wait_s = int(argument('waitMs', '0')) / MS_PER_S
            changed = await stored.changes(
                argument('table'), int(argument('after')), wait_s
            )
            if isinstance(changed, Err):
                self.send_error(410 if changed.err_value.history_gone else 503)
                return
            self.send_rows(changed.ok_value.rows, changed.ok_value.version)
            return
        else:
            self.send_error(404)
            return
        if isinstance(read, Err):
            self.send_error(503)
            return
        rows = first_rows(read.ok_value.rows)
        has_more = len(rows) < len(read.ok_value.rows)
        self.send_rows(rows, read.ok_value.version, has_more)

    async def post(self, name: str) -> None:
        """Apply a transaction."""
        wire = json.loads(self.request.body)
        transaction = RowTransaction(
            tuple((decode_key(e), e['ver']) for e in wire['precondition']),
            tuple(
                (decode_key(e), b64decode(e['value'])) for e in wire['puts']
            ),
            tuple(decode_key(e) for e in wire['remove']),
        )
        tables = {key.table for key, _ in transaction.puts}
        if tables.intersection(PROTECTED_TABLES):
            self.send_error(403)
            return
        outcome = await self.standin.rows.transact(transaction, 1.0)
        match outcome:
            case Committed(revision):
                self.send_rows((), revision)
            case RowConflict(rows):
                self.set_status(412)
                self.send_rows(rows, self.standin.rows.version)
            case OutcomeUnknown():
                close_unanswered(self)
            case NotApplied():
                self.send_error(503)
            case RowsRejected():
                self.send_error(413)

    def send_rows(
        self, rows: tuple[StoredRow, ...], version: int, has_more: bool = False
    ) -> None:
        """Send rows, the newest version and whether more rows follow."""
        wire = [encode_row(row) for row in rows]
        self.finish(
            json.dumps(
                {
                    'rows': wire,
                    'ver': version,
                    'nowMs': 0,
                    'hasMore': has_more,
                }
            )
        )
