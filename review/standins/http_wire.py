"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

Headers = list[tuple[str, str]]
STATUSES_WITHOUT_BODY = (204, 304)


@dataclass
class Message:
    """Holds a request or a response; `whole` tells that its body is."""

    start: str
    headers: Headers
    body: bytes = b''
    whole: bool = True

    def get(self, name: str, default: str = '') -> str:
        """Return a header's value by its lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the start line and the headers of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    start, *lines = data[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name, value.strip()))
    return Message(start, headers)


async def read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    """Read a body in chunks, up to the chunk that ends it."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        message.body += data[:size]


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a whole request."""
    message = await read_head(reader)
    if message.get('transfer-encoding'):
        await read_chunks(reader, message)
    else:
        length = int(message.get('content-length', '0'))
        message.body = await reader.readexactly(length)
    return message


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Read a response; it isn't whole if its channel ended too early."""
    message = await read_head(reader)
    message.whole = False
    try:
        if message.status in STATUSES_WITHOUT_BODY:
            pass
        elif message.get('transfer-encoding'):
            await read_chunks(reader, message)
        elif message.get('content-length'):
            left = int(message.get('content-length'))
            while left:
                data = await reader.read(left)
                if not data:
                    return message
                message.body += data
                left -= len(data)
        else:
            while data := await reader.read(65536):
                message.body += data
    except (asyncio.IncompleteReadError, ConnectionError):
        return message
    message.whole = True
    return message


def encode(start: str, headers: Headers, body: bytes | None = None) -> bytes:
    """Encode a message; a body that is given gets its length."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')


@dataclass
class Answer:
    """Holds what a requester got; status 0 if no head arrived."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    whole: bool = False
    reason: str = ''
    sent_at: float = 0.0
    ended_at: float = 0.0
