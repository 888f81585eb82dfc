"""Carry HTTP/1.1 requests over connections that are reused when clean.

An error states whether the request may have reached the server.
"""

import asyncio
from collections import deque
import errno
import logging
import socket
import time
from typing import cast

import h11
from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import encode_request
from jackdawfield.gateway.http.messages import ExchangeError
from jackdawfield.gateway.http.messages import Fault
from jackdawfield.gateway.http.messages import Framing
from jackdawfield.gateway.http.messages import framing_of
from jackdawfield.gateway.http.messages import OutgoingRequest
from jackdawfield.gateway.http.messages import Part
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.messages import stated_idle_limit_s
from jackdawfield.gateway.http.part_queue import PartQueue
from jackdawfield.gateway.http.reasons import LossReason
from jackdawfield.gateway.http.reasons import reason_of
from jackdawfield.gateway.work_slices import SLICE_PIECES
from jackdawfield.gateway.work_slices import WorkSlices
from jackdawfield.logs import log_event
from jackdawfield.sockets import has_unread_input

LOG = logging.getLogger(__name__)
MAX_HEAD_BYTES = 65536
# Interim heads and late responses skipped before a request's response.
MAX_SKIPPED_RESPONSES = 8
# The kernel closes a connection whose data or probes stay unacknowledged for
# this long. It overrides the number of keep-alive probes.
TCP_USER_TIMEOUT_MS = 5000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
READ_PAUSE_BYTES = 262144
# Requests that a connection remembers, so as to carry none of them again.
CARRIED_KEPT = 32
# Errors by which the kernel gives up on a peer.
UNREACHED_ERRORS = frozenset(
    (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
)


class Connection(asyncio.Protocol):
    """Represents a connection that carries one request at a time.

    A request is never sent again.
    """

    def __init__(self, slices: WorkSlices) -> None:
        self._slices = slices
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._parts = PartQueue()
        # Whether received bytes wait to be parsed in a later slice.
        self._has_unparsed = False
        self._is_paused = False
        self._request: OutgoingRequest | None = None
        self._framing = Framing.LENGTH
        self._is_late_response = False
        self._skipped_responses = 0
        self._carried: deque[str] = deque(maxlen=CARRIED_KEPT)
        # Whether an earlier request was carried.
        self._is_reused = False
        self._has_ended = False
        self._is_lost = False
        # How long the server keeps it idle, None if it did not say.
        self.stated_idle_s: float | None = None
        self.lost_reason = LossReason.NONE
        # Whether the server closed the connection, and not this instance.
        self.is_closed_by_server = False
        self._idle_since_s = 0.0
        self._closed_at_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over and set the socket's timeouts."""
        # Transports of other event loops do not derive from asyncio's classes.
        self._transport = cast(asyncio.Transport, transport)
        set_socket_timeouts(transport)

    def data_received(self, data: bytes) -> None:
        """Parse data from the server."""
        if self._request is None or self._has_ended:
            # Kept, these bytes would be parsed as the next request's response.
            self.abort(LossReason.BYTES_WITHOUT_REQUEST)
            return
        self._parser.receive_data(data)
        if not self._has_unparsed:
            self._parse()

    def eof_received(self) -> bool:
        """Handle the end of data, which ends a response without a length."""
        self.is_closed_by_server = not self._is_lost
        self._closed_at_s = time.monotonic()
        if self._request is not None and not self._has_ended:
            self._parser.receive_data(b'')
            self._parse()
        self._mark_lost(LossReason.CLOSED_BY_SERVER)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark a response in progress as cut.

        A connection on which nothing gets through ends by the kernel's
        timeouts, and not by the server.
        """
        has_timed_out = isinstance(exc, TimeoutError) or (
            isinstance(exc, OSError) and exc.errno in UNREACHED_ERRORS
        )
        if not self._is_lost and not has_timed_out:
            self.is_closed_by_server = True
        closed = LossReason.CLOSED
        self._mark_lost(reason_of(exc, closed) if exc else closed)

    def _mark_lost(self, reason: LossReason) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self.lost_reason = reason
        self._closed_at_s = self._closed_at_s or time.monotonic()
        if self._request is not None and not self._has_ended:
            self._parts.put(BodyEnd.CUT)

    def _parse(self) -> None:
        """Parse what has arrived, at most one slice of it at once.

        Nothing more is read until the rest was parsed.
        """
        try:
            self._has_unparsed = self._parse_slice()
        except h11.RemoteProtocolError as error:
            if self.is_closed_by_server:
                self.abort(LossReason.CLOSED_BY_SERVER)
                return
            self._abort_malformed(str(error))
            return
        if self._has_unparsed:
            self._slices.resume_later(self._parse_rest)
        self._pause_reading()

    def _abort_malformed(self, problem: str) -> None:
        """Close the connection, and log a problem without received bytes."""
        # The parser names the problem first, and quotes after a colon.
        problem = problem.partition(':')[0]
        log_event(LOG, 'answer_malformed', logging.WARNING, problem=problem)
        self.abort(LossReason.MALFORMED)

    def _parse_rest(self) -> None:
        self._has_unparsed = False
        if self._is_lost or self._has_ended:
            return
        self._parse()
        self._resume_reading()

    def _parse_slice(self) -> bool:
        """Parse one slice; return whether more may be parsed."""
        for _ in range(SLICE_PIECES):
            if self._has_ended or self._is_lost:
                return False
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._handle_head(event)
                case h11.InformationalResponse():
                    self._skip_response()
                case h11.Data(data=data):
                    if not self._is_late_response:
                        self._parts.put(bytes(data))
                case h11.EndOfMessage():
                    self._handle_end()
                case h11.ConnectionClosed():
                    self._mark_lost(LossReason.CLOSED_BY_SERVER)
                    return False
                case h11.NEED_DATA | h11.PAUSED:
                    return False
        return not self._has_ended and not self._is_lost

    def _handle_head(self, event: h11.Response) -> None:
        request = self._request
        assert request is not None
        headers = tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in event.headers.raw_items()
        )
        head = ResponseHead(
            event.status_code,
            event.reason.decode('latin-1'),
            headers,
            framing_of(request.method, event.status_code, headers),
        )
        if not head.is_final:
            self._abort_malformed('no status of HTTP')
            return
        if request.echo_header:
            echoed = head.get(request.echo_header)
            if echoed is None and self._is_reused:
                # It may be a late response to an earlier request.
                self.abort(LossReason.NO_REQUEST_ID)
                return
            if echoed is not None and echoed != request.echo_value:
                # Skip a late response to an earlier request.
                self._is_late_response = True
                self._skip_response()
                return
        self._framing = head.framing
        self.stated_idle_s = stated_idle_limit_s(head)
        self._parts.put(head)

    def _skip_response(self) -> None:
        """Count a skipped response; close the connection after too many."""
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            self.abort(LossReason.TOO_MANY_ANSWERS)

    def _handle_end(self) -> None:
        if not self._is_late_response:
            self._has_ended = True
            is_confirmed = self._framing is not Framing.CONNECTION
            self._parts.put(
                BodyEnd.WHOLE if is_confirmed else BodyEnd.UNCONFIRMED
            )
            return
        rest, closed = self._parser.trailing_data
        self._is_late_response = False
        request = self._request
        assert request is not None
        if closed or self._parser.their_state is h11.MUST_CLOSE:
            self.abort(LossReason.LATE_ANSWER)
            return
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        encode_request(self._parser, request)
        if rest:
            self._parser.receive_data(rest)

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can carry another request."""
        transport = self._transport
        return (
            not self._is_lost
            and transport is not None
            and not transport.is_closing()
        )

    @property
    def has_unread_input(self) -> bool:
        """Return whether bytes or a close wait in the socket, unread.

        An idle connection with either can't carry another request.
        """
        transport = self._transport
        sock = transport.get_extra_info('socket') if transport else None
        if sock is None or sock.fileno() < 0:
            return False
        return has_unread_input(sock.fileno())

    def has_carried(self, echo_value: str) -> bool:
        """Return whether a request with this value was carried before."""
        return bool(echo_value) and echo_value in self._carried

    def send(self, request: OutgoingRequest) -> Result[None, ExchangeError]:
        """Write a request; on an error none of it was sent.

        A request that the connection has carried before is not written: a
        late copy of its first response could not be told from the second.
        """
        if self.has_carried(request.echo_value):
            self.abort(LossReason.CARRIED_BEFORE)
        if not self.is_usable or self._transport is None:
            return Err(ExchangeError(Fault.NOT_SENT, self.lost_reason))
        self._carried.append(request.echo_value)
        data = encode_request(self._parser, request)
        self._request = request
        self._has_ended = False
        self._is_late_response = False
        self._skipped_responses = 0
        self._transport.write(data)
        return Ok(None)

    async def next_part(self) -> Part:
        """Return the response's head, next its body's pieces, last its end."""
        part = await self._parts.get()
        self._resume_reading()
        return part

    def _pause_reading(self) -> None:
        """Stop reading while much that has arrived is not yet taken."""
        is_full = self._parts.body_bytes > READ_PAUSE_BYTES
        if self._is_paused or not (is_full or self._has_unparsed):
            return
        if self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        is_full = self._parts.body_bytes > READ_PAUSE_BYTES // 2
        if not self._is_paused or is_full or self._has_unparsed:
            return
        if self.is_usable and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def reset_for_reuse(self) -> bool:
        """Reset a clean connection for its next request, or abort it.

        Return whether the connection can be reused.
        """
        parser = self._parser
        transport = self._transport
        rest, closed = parser.trailing_data
        clean = (
            self._has_ended
            and not rest
            and not closed
            and self.is_usable
            and transport is not None
            and transport.get_write_buffer_size() == 0
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
        )
        if not clean:
            self.abort(LossReason.NOT_REUSABLE)
            return False
        parser.start_next_cycle()
        self._request = None
        self._parts.clear()
        self._resume_reading()
        self._is_reused = True
        self.wait_for_use()
        return True

    def wait_for_use(self) -> None:
        """Begin the time for which the connection is idle."""
        self._idle_since_s = time.monotonic()

    def idle_s(self, now_s: float) -> float:
        """Return how long it has been idle, at most until it was closed."""
        return (self._closed_at_s or now_s) - self._idle_since_s

    def abort(self, reason: LossReason) -> None:
        """Close the connection at once, which cancels its request."""
        self._mark_lost(reason)
        if self._transport is not None:
            self._transport.abort()


def set_socket_timeouts(transport: asyncio.BaseTransport) -> None:
    """Set timeouts that close a connection to an unresponsive peer."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
