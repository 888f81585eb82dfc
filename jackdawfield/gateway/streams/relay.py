"""Relay a stream of events from backend servers to a caller."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
import logging
import math
import time

from jackdawfield.event_stream import StreamEvent
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import Framing
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.dispatch import SentCall
from jackdawfield.gateway.streams.progress import Complete
from jackdawfield.gateway.streams.progress import Fail
from jackdawfield.gateway.streams.progress import HeadArrived
from jackdawfield.gateway.streams.progress import PassOn
from jackdawfield.gateway.streams.progress import PieceArrived
from jackdawfield.gateway.streams.progress import Resume
from jackdawfield.gateway.streams.progress import StreamEnded
from jackdawfield.gateway.streams.progress import StreamInput
from jackdawfield.gateway.streams.progress import StreamLimits
from jackdawfield.gateway.streams.progress import StreamProgress
from jackdawfield.gateway.streams.progress import TimePassed
from jackdawfield.gateway.work_slices import SLICE_PIECES
from jackdawfield.gateway.work_slices import WorkSlices
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
STATUS_OK = 200
EVENT_STREAM_TYPE = 'text/event-stream'
# Callers abandon a stream without a complete event for the longest of these:
# a minimum, and multiples of the route's target latency and allowed pause.
MIN_ABANDONED_GAP_S = 2.0
TARGETS_UNTIL_ABANDONED = 4.0
PAUSES_UNTIL_ABANDONED = 8.0
# A stream is ended this long after its caller should have abandoned it.
ABANDONED_MARGIN_S = 0.5
# A silent stream is resumed elsewhere after this share of the gap, while its
# caller still waits.
RESUME_GAP_SHARE = 0.6
MAX_RESUMPTIONS = 3

# A turn's answer is held in memory until it is kept.
MAX_TURN_BYTES = 4 * 1024 * 1024

Write = Callable[[bytes, tuple[StreamEvent, ...]], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Relayed:
    """Holds how a relayed response ended.

    The end is None if the caller disconnected. `first_piece_s` is the time
    from sending the request until the first piece of the response's body.
    """

    end: BodyEnd | None
    sent: SentCall
    first_piece_s: float
    reason: str = ''


def stream_limits(call: Call, tokens_per_event: int) -> StreamLimits:
    """Return the limits of a call's stream; 0 tokens an event if unknown."""
    route = call.route
    abandoned_s = max(
        MIN_ABANDONED_GAP_S,
        TARGETS_UNTIL_ABANDONED * route.target_latency_s,
        PAUSES_UNTIL_ABANDONED * route.event_gap_s,
    )
    max_events = None
    if call.headers.budget_tokens is not None and tokens_per_event:
        max_events = math.ceil(call.headers.max_tokens / tokens_per_event)
    resume_gap_s = None
    if route.is_resumable and route.attempt_limit > 1:
        resume_gap_s = RESUME_GAP_SHARE * abandoned_s
    return StreamLimits(
        abandoned_s + ABANDONED_MARGIN_S,
        MAX_RESUMPTIONS if route.is_resumable else 0,
        resume_gap_s,
        max_events,
        MAX_TURN_BYTES if route.keeps_turns else None,
    )


class StreamRelay:
    """Relays one stream, resumed at a server where it breaks off."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        sent: SentCall,
        limits: StreamLimits,
        write: Write,
        slices: WorkSlices,
    ) -> None:
        self._slices = slices
        # The rest of the last piece, in slices.
        self._rest: Iterator[bytes] = iter(())
        self._dispatcher = dispatcher
        self._sent = sent
        self._write = write
        call = sent.call
        self._progress = StreamProgress(
            limits, call.headers.last_event_id, call.arrived_at_s
        )
        self._first_piece_s: float | None = None
        # Whether the present response's slot and connection are released.
        self._is_released = False

    async def run(self) -> Relayed:
        """Relay until the response has ended or the caller has left."""
        try:
            return await self._run()
        finally:
            self._release(None)

    async def _run(self) -> Relayed:
        event: StreamInput = _head_event(self._sent.response.head)
        while True:
            for action in self._progress.on(event):
                match action:
                    case PassOn(data, events):
                        self._sent.response.has_begun = True
                        if not await self._write(data, events):
                            return self._relayed(None)
                    case Resume():
                        failure = await self._resume(action)
                        if failure is not None:
                            return self._relayed(BodyEnd.CUT, failure.reason)
                    case Complete(is_confirmed):
                        end = BodyEnd.WHOLE
                        if not is_confirmed:
                            end = BodyEnd.UNCONFIRMED
                        self._release(end)
                        return self._relayed(end)
                    case Fail(reason):
                        self._release(BodyEnd.CUT)
                        return self._relayed(BodyEnd.CUT, reason)
            event = await self._next_event()

    async def _next_event(self) -> StreamInput:
        rest = next(self._rest, None)
        if rest is not None:
            await self._slices.pause()
            return PieceArrived(rest, time.monotonic())
        response = self._sent.response
        check_in_s = self._progress.next_check_s() - time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, check_in_s)):
                part = await response.next_part()
        except TimeoutError:
            return TimePassed(time.monotonic())
        if self._first_piece_s is None:
            self._first_piece_s = response.first_piece_s
        if isinstance(part, bytes):
            self._rest = split_lines(part, SLICE_PIECES)
            return PieceArrived(next(self._rest), time.monotonic())
        return StreamEnded(
            part is not BodyEnd.CUT,
            time.monotonic(),
            is_confirmed=part is BodyEnd.WHOLE,
        )

    async def _resume(self, action: Resume) -> Failure | None:
        self._release(BodyEnd.CUT)
        self._rest = iter(())
        log_event(
            LOG,
            'stream_broken',
            logging.WARNING,
            request=self._sent.call.request_id,
            server=self._sent.response.server.entry.server_id,
            reason=action.reason,
            events=self._progress.events_passed,
            resumption=self._progress.resumptions,
        )
        resumed = await self._dispatcher.resume(
            self._sent, action.last_event_id, action.elsewhere
        )
        if isinstance(resumed, Failure):
            return resumed
        self._sent = resumed
        self._is_released = False
        head = resumed.response.head
        if head.status != STATUS_OK:
            self._release(BodyEnd.CUT)
            return Failure(502, f'resumed with status {head.status}')
        for refusal in self._progress.on(_head_event(head)):
            if isinstance(refusal, Fail):
                self._release(BodyEnd.CUT)
                return Failure(502, refusal.reason)
        return None

    def _release(self, end: BodyEnd | None) -> None:
        if self._is_released:
            return
        self._is_released = True
        self._dispatcher.release(self._sent.response, end)

    def _relayed(self, end: BodyEnd | None, reason: str = '') -> Relayed:
        return Relayed(end, self._sent, self._first_piece_s or 0.0, reason)


def split_lines(piece: bytes, count: int) -> Iterator[bytes]:
    """Yield a piece that is not empty in parts of at most so many lines."""
    start = 0
    while start < len(piece):
        end = start
        for _ in range(count):
            end = piece.find(b'\n', end) + 1
            if not end:
                end = len(piece)
                break
        yield piece[start:end]
        start = end


def _head_event(head: ResponseHead) -> HeadArrived:
    content_type = (head.get('content-type') or '').lower()
    is_event_stream = content_type.startswith(EVENT_STREAM_TYPE)
    return HeadArrived(
        head.status == STATUS_OK and is_event_stream,
        head.framing is not Framing.CONNECTION,
    )
