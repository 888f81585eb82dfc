"""Serve scripted responses on loopback and record the requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from jackdawfield.standins.base import reset_connection

Script = Callable[['ReceivedRequest'], Awaitable[None]]


@dataclass
class ReceivedRequest:
    """Holds one request and its connection."""

    head: bytes
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    def header(self, name: str) -> str:
        """Return a header's value by its lower-case name, empty if absent."""
        for line in self.head.decode('latin-1').split('\r\n')[1:]:
            key, _, value = line.partition(': ')
            if key.lower() == name:
                return value
        return ''

    def reset(self) -> None:
        """Reset the connection instead of closing it."""
        reset_connection(self.writer)

    def answer(
        self, body: bytes, status: str = '200 OK', extra: str = ''
    ) -> bytes:
        """Return the bytes of a response to this request."""
        return answer(self.header('x-id'), body, status, extra)


def answer(
    request_id: str, body: bytes, status: str = '200 OK', extra: str = ''
) -> bytes:
    """Return the bytes of a response with the test headers."""
    head = (
        f'HTTP/1.1 {status}\r\nX-Id: {request_id}\r\nX-Sign: s\r\n'
        f'{extra}Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


@dataclass
class ScriptedServer:
    """Represents a server that runs a script for each request.

    `lost` counts the connections that broke or that the client closed.
    """

    script: Script
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    lost: int = 0
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> 'ScriptedServer':
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening; open connections stay."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                received = await self._read(reader, writer)
                self.requests.append(received)
                await self.script(received)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            self.lost += 1
        finally:
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> ReceivedRequest:
        head = await reader.readuntil(b'\r\n\r\n')
        received = ReceivedRequest(head, b'', writer, reader)
        length = int(received.header('content-length') or 0)
        received.body = await reader.readexactly(length)
        return received
