"""Stands in for the platform's store over HTTP, by its published wire."""

import asyncio
from base64 import b64decode
from base64 import b64encode
from functools import partial
import json
from typing import Any

from result import Err
import tornado.web

from jackdawfield.decisions.table import Committed
from jackdawfield.gateway.rows import RowConflict
from jackdawfield.gateway.rows import RowKey
from jackdawfield.gateway.rows import RowTransaction
from jackdawfield.gateway.rows import StoredRow
from jackdawfield.standins.base import FreePortServer
from jackdawfield.standins.row_store import MemoryRowStore

MS_PER_S = 1000
# What only the operators and the platform itself write.
PROTECTED_TABLES = ('op', 'servers')


def key_of(wire: dict[str, Any]) -> RowKey:
    """Return the key that a row on the wire has."""
    return RowKey(wire['table'], wire.get('part', ''), wire['key'])


def encode_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as the wire has it."""
    key = row.key
    wire = {'table': key.table, 'part': key.part, 'key': key.key}
    if row.value is None:
        return {**wire, 'ver': row.version, 'deleted': True}
    value = b64encode(row.value).decode()
    return {**wire, 'ver': row.version, 'value': value}


class PlatformStoreStandIn(FreePortServer):
    """Serves a store of rows; refusing it answers 503, silent never."""

    def __init__(self, rows: MemoryRowStore) -> None:
        self.rows = rows
        self.refusing = False
        self.silent = False
        self.calls = 0
        super().__init__(r'/-/([a-z-]+)', _Handler, standin=self)


class _Handler(tornado.web.RequestHandler):
    """Answers one call."""

    def initialize(self, standin: PlatformStoreStandIn) -> None:
        """Take the stand-in that is served."""
        self.standin = standin

    async def prepare(self) -> None:
        """Refuse or swallow the call if the stand-in is told to."""
        self.standin.calls += 1
        if self.standin.silent:
            await asyncio.sleep(3600)
        if self.standin.refusing:
            self.send_error(503)

    async def get(self, name: str) -> None:
        """Read rows or wait for changes."""
        ask = partial(self.get_query_argument, strip=False)
        rows = self.standin.rows
        if name == 'rows-get':
            read = await rows.read(
                ask('table'), ask('part', ''), ask('from', ''), ask('to', '')
            )
        elif name == 'rows-feed':
            wait_s = int(ask('waitMs', '0')) / MS_PER_S
            found = await rows.changes(ask('table'), int(ask('after')), wait_s)
            if isinstance(found, Err):
                self.send_error(410 if found.err_value.history_gone else 503)
                return
            self.answer(found.ok_value.rows, found.ok_value.version)
            return
        else:
            self.send_error(404)
            return
        if isinstance(read, Err):
            self.send_error(503)
            return
        self.answer(read.ok_value.rows, read.ok_value.version)

    async def post(self, name: str) -> None:
        """Apply a transaction."""
        wire = json.loads(self.request.body)
        transaction = RowTransaction(
            tuple((key_of(e), e['ver']) for e in wire['precondition']),
            tuple((key_of(e), b64decode(e['value'])) for e in wire['puts']),
            tuple(key_of(e) for e in wire['remove']),
        )
        tables = {key.table for key, _ in transaction.puts}
        if tables.intersection(PROTECTED_TABLES):
            self.send_error(403)
            return
        outcome = await self.standin.rows.transact(transaction, 1.0)
        match outcome:
            case Committed(revision):
                self.answer((), revision)
            case RowConflict(rows):
                self.set_status(412)
                self.answer(rows, self.standin.rows.version)
            case _:
                self.send_error(503)

    def answer(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Write rows and the newest version."""
        wire = [encode_row(row) for row in rows]
        self.finish(json.dumps({'rows': wire, 'ver': version, 'nowMs': 0}))
