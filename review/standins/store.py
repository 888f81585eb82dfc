"""Stand in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
from base64 import b64encode
from contextlib import suppress
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from standins.http_wire import encode
from standins.http_wire import Message
from standins.http_wire import read_request

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS = 500
TX_S = 0.005
READ_S = 0.004
PROTECTED_TABLES = ('op', 'servers')
Key = tuple[str, str, str]


def key_of(entry: dict) -> Key:
    """Return the key that an entry of a call names."""
    return entry['table'], entry.get('part', ''), entry['key']


class Store:
    """Holds rows under one counter of versions.

    While `is_down` is set, it answers each call with 503.
    """

    def __init__(self, note) -> None:
        self._note = note
        self.is_down = False
        self.version = 0
        self._rows: dict[Key, tuple[str, int]] = {}
        self._history: list[tuple[Key, str | None, int]] = []
        self._changed = asyncio.Event()
        self._part_locks: dict[str, asyncio.Lock] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def stop(self) -> None:
        """Stop listening and close the channels."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def set_down(self, is_down: bool) -> None:
        """Take the store down or up again; waiting calls end."""
        self._note('store down' if is_down else 'store up')
        self.is_down = is_down
        self._wake()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator and the workers do."""
        data = b64encode(json.dumps(value).encode()).decode()
        self._apply({(table, '', key): data}, ())

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self._apply({}, ((table, '', key),))

    def keys(self, table: str) -> list[Key]:
        """Return the keys of a table's rows."""
        return [key for key in self._rows if key[0] == table]

    def _apply(self, puts: dict[Key, str], removes: tuple[Key, ...]) -> None:
        self.version += 1
        for key, value in puts.items():
            self._rows[key] = value, self.version
            self._history.append((key, value, self.version))
        for key in removes:
            if self._rows.pop(key, None) is not None:
                self._history.append((key, None, self.version))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                status, answer = await self._answer(request)
                data = json.dumps(answer).encode()
                head = [('Content-Type', 'application/json')]
                writer.write(encode(f'HTTP/1.1 {status} X', head, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            with suppress(OSError):
                writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        if self.is_down:
            return 503, {}
        method, target, _ = request.start.split(' ')
        url = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        match method, url.path:
            case 'POST', '/-/rows-tx':
                return await self._transact(request.body)
            case 'GET', '/-/rows-get':
                await asyncio.sleep(READ_S)
                return 200, self._get(query)
            case 'GET', '/-/rows-feed':
                return await self._feed(query)
        return 404, {}

    async def _transact(self, body: bytes) -> tuple[int, dict]:
        call = json.loads(body)
        expected = call.get('precondition', [])
        puts = {key_of(e): e['value'] for e in call.get('puts', [])}
        removes = tuple(key_of(e) for e in call.get('remove', []))
        count = len(expected) + len(puts) + len(removes)
        if count > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            return 400, {}
        if {key[0] for key in (*puts, *removes)} & set(PROTECTED_TABLES):
            return 403, {}
        parts = {key_of(e)[1] for e in expected}
        parts |= {key[1] for key in (*puts, *removes)}
        if len(parts) > 1:
            return 400, {}
        lock = self._part_locks.setdefault(''.join(parts), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
            if self.is_down:
                return 503, {}
            for entry in expected:
                row = self._rows.get(key_of(entry))
                if (row[1] if row else 0) != entry['ver']:
                    return 412, self._conflict(expected)
            self._apply(puts, removes)
            return 200, self._reply([])

    def _conflict(self, expected: list[dict]) -> dict:
        keys = [key_of(entry) for entry in expected]
        return self._reply([k for k in keys if k in self._rows])

    def _reply(self, keys: list[Key], has_more: bool = False) -> dict:
        rows = [
            {
                'table': key[0],
                'part': key[1],
                'key': key[2],
                'value': self._rows[key][0],
                'ver': self._rows[key][1],
            }
            for key in keys
        ]
        return {
            'rows': rows,
            'ver': self.version,
            'hasMore': has_more,
            'nowMs': int(time.monotonic() * 1000),
        }

    def _get(self, query: dict[str, str]) -> dict:
        start, end = query.get('from', ''), query.get('to', '')
        limit = min(MAX_ROWS, int(query.get('limit', MAX_ROWS)))
        keys = sorted(
            key
            for key in self._rows
            if key[0] == query['table']
            and key[1] == query.get('part', '')
            and key[2] >= start
            and (not end or key[2] < end)
        )
        page, size = [], 0
        for key in keys[:limit]:
            size += len(self._rows[key][0])
            if page and size > MAX_CALL_BYTES:
                break
            page.append(key)
        return self._reply(page, len(page) < len(keys))

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query['after'])
        until = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            if self.is_down:
                return 503, {}
            found = [
                change
                for change in self._history
                if change[0][0] == query['table'] and change[2] > after
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        # A row that has changed more than once is listed as it is now.
        newest = {key: (value, ver) for key, value, ver in found}
        rows = []
        for key, (value, ver) in sorted(newest.items(), key=lambda i: i[1][1]):
            row = {'table': key[0], 'part': key[1], 'key': key[2], 'ver': ver}
            rows.append(
                {**row, 'deleted': True}
                if value is None
                else {**row, 'value': value}
            )
        return 200, {**self._reply([]), 'rows': rows}
