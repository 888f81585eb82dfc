"""Stand in for the platform's store: rows, transactions and their feed."""

import asyncio
from base64 import b64encode
from enum import Enum
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from review.harness.http import encode
from review.harness.http import Message
from review.harness.http import reset
from review.harness.http import Server

TRANSACTION_S = 0.005
# linkMbps of the machines is 1,000.
LINK_BYTES_PER_S = 125_000_000
MAX_ROWS = 500
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
OPERATORS_TABLES = ('op', 'servers')


class Mode(Enum):
    """Names how the store treats calls; none of the faults does a thing."""

    UP = 'up'
    BUSY = 'answers 503'
    SILENT = 'does not answer'
    RESET = 'resets connections'


class Store:
    """Holds the rows and serves them; it loses nothing that it answered."""

    def __init__(self, host: str) -> None:
        self.server = Server(host, self._handle)
        self.mode = Mode.UP
        self.version = 1
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._log: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._started_s = time.monotonic()
        # When the link of each machine has carried what was sent there.
        self._free_s_by_host: dict[str, float] = {}

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a worker does; return its version."""
        data = json.dumps(value).encode()
        return self._apply([((table, '', key), b64encode(data).decode())], [])

    def remove(self, table: str, key: str) -> int:
        """Remove a row as the platform does."""
        return self._apply([], [(table, '', key)])

    def _apply(
        self,
        puts: list[tuple[tuple[str, str, str], str]],
        removes: list[tuple[str, str, str]],
    ) -> int:
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self._log.append(self._wire(key))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                table, part, name = key
                self._log.append(
                    {
                        'table': table,
                        'part': part,
                        'key': name,
                        'deleted': True,
                        'ver': self.version,
                    }
                )
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def _wire(self, key: tuple[str, str, str]) -> dict[str, object]:
        value, version = self.rows[key]
        table, part, name = key
        return {
            'table': table,
            'part': part,
            'key': name,
            'value': value,
            'ver': version,
        }

    def set_mode(self, mode: Mode) -> None:
        """Change how calls are treated; open ones share the new fate."""
        self.mode = mode
        if mode is Mode.RESET:
            for writer in list(self.server.writers):
                reset(writer)

    async def _handle(
        self,
        message: Message,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.mode is Mode.SILENT:
            await asyncio.sleep(3600)
        if self.mode is Mode.RESET:
            reset(writer)
            return False
        if self.mode is Mode.BUSY:
            return self._answer(writer, 503, {})
        url = urlsplit(message.first[1])
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        match message.first[0], url.path:
            case 'GET', '/-/rows-get':
                status, answer = self._get(query)
                rows = answer['rows']
                size = sum(len(str(row['value'])) for row in rows)
                await self._pace(writer, size)
            case 'GET', '/-/rows-feed':
                status, answer = await self._feed(query)
            case 'POST', '/-/rows-tx':
                await asyncio.sleep(TRANSACTION_S)
                status, answer = self._transact(message.body)
            case _:
                status, answer = 404, {}
        if self.mode is Mode.SILENT:
            await asyncio.sleep(3600)
        return self._answer(writer, status, answer)

    def _answer(
        self, writer: asyncio.StreamWriter, status: int, answer: dict
    ) -> bool:
        now_ms = int((time.monotonic() - self._started_s) * 1000)
        answer = {'ver': self.version, **answer, 'nowMs': now_ms}
        body = json.dumps(answer).encode()
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        writer.write(encode(f'HTTP/1.1 {status} Status', headers, body))
        return True

    async def _pace(self, writer: asyncio.StreamWriter, size: int) -> None:
        """Wait as long as a machine's link takes for so many bytes."""
        host = writer.get_extra_info('sockname')[0]
        peer = writer.get_extra_info('peername') or (host,)
        now_s = time.monotonic()
        free_s = max(now_s, self._free_s_by_host.get(peer[0], now_s))
        free_s += size / LINK_BYTES_PER_S
        self._free_s_by_host[peer[0]] = free_s
        await asyncio.sleep(free_s - now_s)

    def _get(self, query: dict[str, str]) -> tuple[int, dict]:
        limit = min(MAX_ROWS, int(query.get('limit', MAX_ROWS)))
        start, end = query.get('from', ''), query.get('to', '')
        keys = sorted(
            key
            for key in self.rows
            if key[0] == query.get('table', '')
            and key[1] == query.get('part', '')
            and key[2] >= start
            and (not end or key[2] < end)
        )
        rows: list[dict[str, object]] = []
        size = 0
        for key in keys:
            size += len(self.rows[key][0])
            if len(rows) >= limit or (rows and size > MAX_CALL_BYTES):
                break
            rows.append(self._wire(key))
        return 200, {'rows': rows, 'hasMore': len(rows) < len(keys)}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query.get('after', 0))
        wait_s = min(30.0, int(query.get('waitMs', 0)) / 1000)
        try:
            async with asyncio.timeout(wait_s):
                while not (rows := self._since(query['table'], after)):
                    await self._changed.wait()
        except TimeoutError:
            rows = self._since(query['table'], after)
        return 200, {'rows': rows}

    def _since(self, table: str, after: int) -> list[dict[str, object]]:
        return [
            row
            for row in self._log
            if row['table'] == table and int(str(row['ver'])) > after
        ]

    def _transact(self, body: bytes) -> tuple[int, dict]:
        if len(body) > MAX_CALL_BYTES:
            return 413, {}
        wire = json.loads(body)
        entries = [wire.get(n, []) for n in ('precondition', 'puts', 'remove')]
        if sum(map(len, entries)) > MAX_ENTRIES:
            return 413, {}
        expected, puts, removes = entries
        changed = [_key(entry) for entry in (*puts, *removes)]
        if any(table in OPERATORS_TABLES for table, _, _ in changed):
            return 403, {}
        parts = {part for _, part, _ in changed}
        if len(parts | {_key(entry)[1] for entry in expected}) > 1:
            return 400, {}
        present = [_key(entry) for entry in expected]
        for key, entry in zip(present, expected, strict=True):
            version = self.rows[key][1] if key in self.rows else 0
            if version != entry['ver']:
                rows = [self._wire(k) for k in present if k in self.rows]
                return 412, {'rows': rows}
        version = self._apply(
            [(_key(entry), entry['value']) for entry in puts],
            [_key(entry) for entry in removes],
        )
        return 200, {'ver': version}


def _key(entry: dict) -> tuple[str, str, str]:
    return entry['table'], entry.get('part', ''), entry['key']
