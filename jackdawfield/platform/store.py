"""Implement the HTTP client of the platform's row store."""

from base64 import b64decode
from base64 import b64encode
import logging
from urllib.parse import urlencode

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decoding import DECODE_ERRORS
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.storage.path import StorePath
from jackdawfield.gateway.storage.rows import RowConflict
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowsChanged
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import RowsRejected
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.gateway.storage.rows import TransactionLimits
from jackdawfield.gateway.storage.transactions import is_within
from jackdawfield.logs import log_event
from jackdawfield.platform.settings import MS_PER_S

LOG = logging.getLogger(__name__)
# Time for an answer, after the store has held it for as long as it may.
READ_TIMEOUT_S = 1.0
STATUS_OK = 200
STATUS_HISTORY_GONE = 410
STATUS_CONFLICT = 412
# A store that answers a transaction with one of these has written nothing.
STATUSES_NOT_APPLIED = (429, 503, 507)
# Nor will it, if the transaction is sent again.
STATUSES_REJECTED = (400, 403, 404, 413)
LIMITS = TransactionLimits(entries=100, body_bytes=1_000_000)


class _Row(msgspec.Struct):
    table: str = ''
    part: str = ''
    key: str = ''
    value: str | None = None
    ver: int = 0
    deleted: bool = False


class _Answer(msgspec.Struct, rename='camel'):
    ver: int = 0
    rows: list[_Row] = msgspec.field(default_factory=list)
    has_more: bool = False


def _decode_row(wire: _Row) -> StoredRow:
    value = None
    if wire.value is not None and not wire.deleted:
        value = _decode_value(wire.value)
    return StoredRow(RowKey(wire.table, wire.part, wire.key), value, wire.ver)


def _decode_value(text: str) -> bytes:
    """Return a row's value, empty if it is not encoded in base64."""
    try:
        return b64decode(text)
    except ValueError as error:
        log_event(LOG, 'value_unreadable', reason=error)
        return b''


def _decode_answer(body: bytes) -> Result[_Answer, StoreError]:
    try:
        return Ok(msgspec.json.decode(body, type=_Answer))
    except DECODE_ERRORS:
        log_event(LOG, 'store_answer_unreadable', logging.WARNING)
        return Err(StoreError('unreadable answer'))


def _encode_key(key: RowKey) -> dict[str, object]:
    return {'table': key.table, 'part': key.part, 'key': key.key}


def encode_transaction(transaction: RowTransaction) -> bytes:
    """Encode a transaction as a request body."""
    return msgspec.json.encode(
        {
            'precondition': [
                {**_encode_key(key), 'ver': version}
                for key, version in transaction.expected
            ],
            'puts': [
                {**_encode_key(key), 'value': b64encode(value).decode()}
                for key, value in transaction.puts
            ],
            'remove': [_encode_key(key) for key in transaction.removes],
        }
    )


class PlatformStore:
    """Represents the row store, reached directly or through an instance."""

    def __init__(self, path: StorePath) -> None:
        self._path = path
        self.limits = LIMITS

    async def read(
        self, table: str, part: str, start_key: str = '', end_key: str = ''
    ) -> Result[RowsRead, StoreError]:
        """Return the rows of a part with start_key <= key < end_key."""
        rows: list[StoredRow] = []
        version = 0
        while True:
            query = {'table': table, 'part': part}
            if start_key:
                query['from'] = start_key
            if end_key:
                query['to'] = end_key
            found = await self._get('rows-get', query, 0.0)
            if isinstance(found, Err):
                return found
            answer = found.ok_value
            page = [_decode_row(row) for row in answer.rows]
            rows += page
            version = version or answer.ver
            if not answer.has_more or not page:
                return Ok(RowsRead(tuple(rows), version))
            start_key = page[-1].key.key + '\0'

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        """Write rows and return the outcome.

        The transaction is sent at most once on each path, and not at all if
        it exceeds the limits.
        """
        if not is_within(self.limits, transaction):
            return RowsRejected('the transaction exceeds the limits')
        body = encode_transaction(transaction)
        found = await self._path.call('POST', '/-/rows-tx', body, timeout_s)
        if isinstance(found, Err):
            return _outcome_of_error(found.err_value)
        status, data = found.ok_value.status, found.ok_value.body
        if status in STATUSES_REJECTED:
            return RowsRejected(f'store answered {status}')
        if status in STATUSES_NOT_APPLIED:
            return NotApplied(f'store answered {status}')
        if status not in (STATUS_OK, STATUS_CONFLICT):
            return OutcomeUnknown(f'store answered {status}')
        answer = _decode_answer(data)
        if isinstance(answer, Err):
            return OutcomeUnknown(answer.err_value.reason)
        if status == STATUS_OK:
            return Committed(answer.ok_value.ver)
        rows = answer.ok_value.rows
        return RowConflict(tuple(_decode_row(row) for row in rows))

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[RowsChanged, StoreError]:
        """Return the rows changed after a version, by a long poll."""
        wait_ms = int(wait_s * MS_PER_S)
        query = {
            'table': table,
            'after': str(after_version),
            'waitMs': str(wait_ms),
        }
        found = await self._get('rows-feed', query, wait_s)
        if isinstance(found, Err):
            return found
        answer = found.ok_value
        rows = tuple(_decode_row(row) for row in answer.rows)
        return Ok(RowsChanged(rows, answer.ver))

    async def _get(
        self, name: str, query: dict[str, str], wait_s: float
    ) -> Result[_Answer, StoreError]:
        target = f'/-/{name}?{urlencode(query)}'
        timeout_s = wait_s + READ_TIMEOUT_S
        found = await self._path.read(target, wait_s, timeout_s)
        if isinstance(found, Err):
            return Err(StoreError(found.err_value.reason))
        status, data = found.ok_value.status, found.ok_value.body
        if status == STATUS_HISTORY_GONE:
            return Err(StoreError('history is gone', history_gone=True))
        if status != STATUS_OK:
            return Err(StoreError(f'store answered {status}'))
        return _decode_answer(data)


def _outcome_of_error(error: ExchangeError) -> RowOutcome:
    if error.fault is Fault.NOT_SENT:
        return NotApplied(error.reason)
    return OutcomeUnknown(error.reason)
