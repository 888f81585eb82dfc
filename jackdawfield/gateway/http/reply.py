"""Write one response to a caller."""

import asyncio
from collections.abc import Awaitable
import logging

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPOutputError
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from jackdawfield.gateway.calls import CONNECTION_HEADERS
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Stage
from jackdawfield.gateway.http.caller_stream import CallerStream
from jackdawfield.gateway.http.caller_stream import CloseReason
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import Framing
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.messages import STATUSES_WITHOUT_BODY
from jackdawfield.sockets import reset_at_close

LOG = logging.getLogger(__name__)
PHRASES_BY_STATUS = responses
LENGTH_HEADER = 'content-length'


class Reply:
    """Represents one response to a caller and writes it.

    The head is written together with the first piece of the body. A response
    has ended once it was finished or aborted.

    A body without a length is sent in chunks, the last of which states that
    it is complete. One whose end is not confirmed by its server, or whose
    caller does not accept chunks, is unframed: it ends with its connection,
    which is reset unless the response was finished.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        has_body: bool = True,
        accepts_chunks: bool = True,
    ) -> None:
        self._connection = connection
        # Whether a response to the request's method has a body.
        self._has_body = has_body
        self._accepts_chunks = accepts_chunks
        self._is_unframed = False
        assert isinstance(connection.stream, CallerStream)
        self._stream = connection.stream
        # The head that was set and is not yet written.
        self._head: tuple[ResponseStartLine, HTTPHeaders] | None = None
        # What the call waits for, logged if its caller leaves or it times out.
        self.stage = Stage.RATE
        self.has_written = False
        self.has_ended = False
        self.status = 0

    @property
    def closed_by(self) -> CloseReason | None:
        """Return what closed the connection, None while it is open."""
        return self._stream.close_reason if self._stream.closed() else None

    def record_sent(self) -> None:
        """Record that the call is sent to a server, so that it may run."""
        self.stage = Stage.SERVER

    def send(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        """Write a complete plain-text response made by this instance."""
        body = text.encode() + b'\n'
        headers = HTTPHeaders(
            {'Content-Type': 'text/plain', 'Content-Length': str(len(body))}
        )
        if retry_after_s is not None:
            headers['Retry-After'] = f'{retry_after_s:.3f}'
        self._head = _start_line(status), headers
        self._is_unframed = False
        self.status = status
        ignore_write_error(self._write(body if self._has_body else b''))
        self.finish()

    def set_head(
        self, head: ResponseHead, withholds_end: bool = False
    ) -> None:
        """Set the head from that of a backend server's response.

        Headers of the connection to the server are left out. With
        `withholds_end` a length is left out too: it would make the response
        whole with the last byte of its body, before it is finished.
        """
        headers = HTTPHeaders()
        for name, value in head.headers:
            if name.lower() in CONNECTION_HEADERS:
                continue
            if withholds_end and name.lower() == LENGTH_HEADER:
                continue
            headers.add(name, value)
        has_length = head.framing is Framing.LENGTH and not withholds_end
        self._head = _start_line(head.status), headers
        self._is_unframed = self._needs_no_framing(head, has_length)
        self.status = head.status

    def _needs_no_framing(self, head: ResponseHead, has_length: bool) -> bool:
        if not self._has_body or head.status in STATUSES_WITHOUT_BODY:
            return False
        if has_length:
            return False
        return head.framing is Framing.CONNECTION or not self._accepts_chunks

    def _write(self, piece: bytes) -> Awaitable[None]:
        head, self._head = self._head, None
        self.has_written = True
        if self._is_unframed:
            return self._write_unframed(head, piece)
        if head is None:
            return self._connection.write(piece)
        line, headers = head
        if self._connection.params.no_keep_alive:
            headers['Connection'] = 'close'
        return self._connection.write_headers(line, headers, piece)

    def _write_unframed(
        self, head: tuple[ResponseStartLine, HTTPHeaders] | None, piece: bytes
    ) -> Awaitable[None]:
        """Write past Tornado, which would send the body in chunks."""
        if head is None:
            return self._stream.write(piece)
        if not self._stream.closed():
            reset_at_close(self._stream.socket, True)
        line, headers = head
        headers['Connection'] = 'close'
        lines = [f'{line.version} {line.code} {line.reason}']
        lines += [f'{name}: {value}' for name, value in headers.get_all()]
        encoded = '\r\n'.join([*lines, '', '']).encode('latin-1')
        return self._stream.write(encoded + piece)

    async def write(self, piece: bytes) -> bool:
        """Write a piece of the body; False if the caller disconnected."""
        try:
            await self._write(piece)
        except StreamClosedError:
            return False
        return True

    def finish(self) -> None:
        """Complete the response."""
        self.has_ended = True
        if self._is_unframed:
            self._finish_unframed()
            return
        if self._connection.params.no_keep_alive:
            # Tornado closes the connection once the response is written.
            self._stream.close_reason = CloseReason.LAST_RESPONSE
        if self._head is not None:
            ignore_write_error(self._write(b''))
        try:
            self._connection.finish()
        except HTTPOutputError:
            LOG.warning('event=answer_shorter_than_announced')

    def _finish_unframed(self) -> None:
        if self._stream.closed():
            return
        self._stream.close_reason = CloseReason.LAST_RESPONSE

        def close(written: asyncio.Future[None]) -> None:
            if not written.cancelled() and written.exception() is None:
                reset_at_close(self._stream.socket, False)
            self._connection.close()

        asyncio.ensure_future(self._write(b'')).add_done_callback(close)

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self.has_ended = True
        self._connection.close()

    def end_incomplete(self, end: BodyEnd | None) -> Failure | None:
        """End a response whose body is incomplete.

        The end is None if the caller has disconnected. If the caller is
        connected and nothing was written, return a failure to send in place
        of the head that was set; otherwise abort the response.
        """
        if end is not None and not self.has_written:
            return Failure(502, 'answer cut')
        self.abort()
        return None


def _start_line(status: int) -> ResponseStartLine:
    phrase = PHRASES_BY_STATUS.get(status, 'Unknown')
    return ResponseStartLine('HTTP/1.1', status, phrase)


def ignore_write_error(written: Awaitable[None]) -> None:
    """Start a write and ignore its error if the caller has disconnected.

    In that case the connection's close callback cancels the handler.
    """
    future = asyncio.ensure_future(written)
    future.add_done_callback(lambda f: f.cancelled() or f.exception())
