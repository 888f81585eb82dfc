"""Fake the table service with the JSON interface of etcd."""

from base64 import b64decode
from base64 import b64encode
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from jackdawfield.standins.base import Faults
from jackdawfield.standins.base import StandInHandler


@dataclass
class TableState:
    """Holds the rows, the revision and the counts of operations."""

    faults: Faults = field(default_factory=Faults)
    values_by_key: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 1
    counts: Counter[str] = field(default_factory=Counter)

    def encode_range(self, start: bytes, end: bytes) -> list[dict[str, str]]:
        """Return the rows of a range as etcd encodes them."""
        if not end:
            keys = [start] if start in self.values_by_key else []
        else:
            keys = sorted(
                k
                for k in self.values_by_key
                if k >= start and (end == b'\0' or k < end)
            )
        rows = []
        for key in keys:
            value, revision = self.values_by_key[key]
            rows.append(
                {
                    'key': b64encode(key).decode(),
                    'value': b64encode(value).decode(),
                    'mod_revision': str(revision),
                }
            )
        return rows

    def is_satisfied(self, compare: dict[str, Any]) -> bool:
        """Return whether a row has the revision of a comparison."""
        key = b64decode(compare['key'])
        _, revision = self.values_by_key.get(key, (b'', 0))
        return revision == int(compare.get('mod_revision', 0))

    def apply(self, operation: dict[str, Any]) -> None:
        """Apply a put or a delete at the current revision."""
        put = operation.get('request_put')
        if put is not None:
            value = b64decode(put.get('value', ''))
            key = b64decode(put['key'])
            self.values_by_key[key] = (value, self.revision)
            return
        self.values_by_key.pop(
            b64decode(operation['request_delete_range']['key']), None
        )


class RangeHandler(StandInHandler):
    """Reads single rows and ranges of rows."""

    def post(self) -> None:
        """Return the rows and the revision."""
        state: TableState = self.state
        body = self.json_body()
        state.counts['read'] += 1
        rows = state.encode_range(
            b64decode(body['key']), b64decode(body.get('range_end', ''))
        )
        header = {'revision': str(state.revision)}
        self.send_json(
            {'header': header, 'kvs': rows, 'count': str(len(rows))}
        )


class TransactionHandler(StandInHandler):
    """Applies transactions."""

    def post(self) -> None:
        """Apply a transaction and return whether its comparisons succeeded."""
        state: TableState = self.state
        body = self.json_body()
        state.counts['transaction'] += 1
        succeeded = all(state.is_satisfied(c) for c in body.get('compare', ()))
        if succeeded and body.get('success'):
            state.revision += 1
            state.counts['write'] += len(body['success'])
            for operation in body['success']:
                state.apply(operation)
        header = {'revision': str(state.revision)}
        self.send_json({'header': header, 'succeeded': succeeded})


class CountsHandler(StandInHandler):
    """Serves the counts of reads, transactions and writes."""

    def get(self) -> None:
        """Return the counts."""
        self.send_json(dict(self.state.counts))


ROUTES = [
    ('/v3/kv/range', RangeHandler),
    ('/v3/kv/txn', TransactionHandler),
    ('/counts', CountsHandler),
]
State = TableState
