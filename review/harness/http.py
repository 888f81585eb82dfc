"""Speak plain HTTP/1.1 over asyncio streams, for stand-ins and callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import socket
import struct

MAX_HEAD_BYTES = 262144


@dataclass
class Message:
    """Holds a request or a response; `first` are the words of its first line.

    A response is complete only with the end that its framing announces.
    """

    first: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b''
    is_complete: bool = True

    def get(self, name: str, default: str = '') -> str:
        """Return a header's value."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a message's head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip(), value.strip()))
    return Message(lines[0].split(' ', 2), headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_eof: bool
) -> None:
    """Read a message's body and note whether it is complete."""
    try:
        if message.get('transfer-encoding').lower() == 'chunked':
            while True:
                size = int(
                    (await reader.readuntil(b'\r\n')).split(b';')[0], 16
                )
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                message.body += piece[:-2]
        length = message.get('content-length')
        if length:
            while len(message.body) < int(length):
                piece = await reader.read(65536)
                if not piece:
                    raise asyncio.IncompleteReadError(b'', None)
                message.body += piece
            return
        if until_eof:
            while piece := await reader.read(65536):
                message.body += piece
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_complete = False


def encode(first: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Encode a message; the caller gives its length if it needs one."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


Handle = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


@dataclass
class Server:
    """Serves requests one after another on each connection.

    The handler returns whether the connection is kept.
    """

    host: str
    handle: Handle
    port: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, on a free port if none is given."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                if request.get('expect').lower() == '100-continue':
                    writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
                await read_body(reader, request, until_eof=False)
                if not request.is_complete:
                    break
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.close()


async def request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
    timeout_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; None without any response."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=MAX_HEAD_BYTES
            )
            try:
                if body or method == 'POST':
                    length = ('Content-Length', str(len(body)))
                    headers = [*headers, length]
                line = f'{method} {target} HTTP/1.1'
                writer.write(encode(line, headers, body))
                response = await read_head(reader)
                if response is not None:
                    await read_body(reader, response, until_eof=True)
                return response
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
