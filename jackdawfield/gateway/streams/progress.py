"""Decide what becomes of a stream of events from a backend server.

Only complete events are passed on, so a stream that breaks off can be resumed
after the last event that the caller has: no event is repeated, left out or
joined from two parts. A response of another content type is passed on as it
arrives and never resumed.
"""

from dataclasses import dataclass

from jackdawfield.decoding import parse_count
from jackdawfield.event_stream import EventParser
from jackdawfield.event_stream import StreamEvent


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Holds what a route and a call allow for a stream.

    `max_gap_s` is the longest time without a complete event with data, after
    which callers abandon a stream. Without `resume_gap_s` a silent stream is
    not resumed before it fails. `max_events` is None without a token budget,
    `max_bytes` if what was passed on is not kept.
    """

    max_gap_s: float
    max_resumptions: int = 0
    resume_gap_s: float | None = None
    max_events: int | None = None
    max_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class HeadArrived:
    """Reports the head of a response and whether events follow it.

    The end of the connection is all that marks the end of an unframed one.
    """

    is_event_stream: bool
    is_framed: bool = True


@dataclass(frozen=True, slots=True)
class PieceArrived:
    """Reports a piece of a response's body."""

    data: bytes
    now_s: float


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Reports the end of a response; it is not whole if it broke off.

    The end of an unframed response is not confirmed.
    """

    is_whole: bool
    now_s: float
    is_confirmed: bool = True


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time when no piece has arrived for a while."""

    now_s: float


StreamInput = HeadArrived | PieceArrived | StreamEnded | TimePassed


@dataclass(frozen=True, slots=True)
class PassOn:
    """Orders to write bytes to the caller, with the events they hold."""

    data: bytes
    events: tuple[StreamEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class Complete:
    """Orders to end the response to the caller as complete.

    Unless that is confirmed, only the end of the connection may say so.
    """

    is_confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Resume:
    """Orders to continue the stream after an event.

    The id is None if the caller has no event and the stream starts anew.
    With `elsewhere`, another server is preferred.
    """

    last_event_id: bytes | None
    elsewhere: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Fail:
    """Orders to end the response to the caller as incomplete."""

    reason: str


StreamAction = PassOn | Complete | Resume | Fail


class StreamProgress:
    """Holds how far one stream has come, over all servers that sent it."""

    def __init__(
        self,
        limits: StreamLimits,
        last_event_id: bytes | None,
        started_at_s: float,
    ) -> None:
        self._limits = limits
        self.last_event_id = last_event_id
        self.events_passed = 0
        self._passed_bytes = 0
        self.resumptions = 0
        # Time of the last complete event, first that of the call's arrival.
        self._progress_at_s = started_at_s
        # None while the body is passed on without looking for events.
        self._parser: EventParser | None = None
        self._has_passed_raw = False
        self._all_have_ids = True
        # Whether each id so far was one more than the id before.
        self._ids_are_consecutive = True
        self._awaits_first_event = True
        # Framing of the first response, which the caller's one has too.
        self._is_framed: bool | None = None

    def on(self, event: StreamInput) -> tuple[StreamAction, ...]:
        """Return what to do after something happened to the stream."""
        match event:
            case HeadArrived(is_event_stream, is_framed):
                if self._is_framed is None:
                    self._is_framed = is_framed
                return self._on_head(is_event_stream)
            case PieceArrived(data, now_s):
                return self._on_piece(data, now_s)
            case StreamEnded():
                return (self._on_end(event),)
            case TimePassed(now_s):
                return self._on_time_passed(now_s)

    def next_check_s(self) -> float:
        """Return when TimePassed is due if no piece arrives."""
        gap_s = self._limits.max_gap_s
        if self._may_resume_silent and self._limits.resume_gap_s is not None:
            gap_s = min(gap_s, self._limits.resume_gap_s)
        return self._progress_at_s + gap_s

    @property
    def _may_resume_silent(self) -> bool:
        return self._limits.resume_gap_s is not None and not self.resumptions

    def _on_head(self, is_event_stream: bool) -> tuple[StreamAction, ...]:
        self._awaits_first_event = True
        if is_event_stream:
            self._parser = EventParser()
            return ()
        self._parser = None
        if self.resumptions and self.events_passed:
            return (Fail('resumed with another kind of response'),)
        return ()

    def _on_piece(self, data: bytes, now_s: float) -> tuple[StreamAction, ...]:
        parser = self._parser
        if parser is None:
            self._has_passed_raw = True
            self._progress_at_s = now_s
            return (PassOn(data),)
        actions: list[StreamAction] = []
        passed: list[StreamEvent] = []
        failure: Fail | None = None
        for event in parser.feed(data):
            failure = self._failure_of(event)
            if failure is not None:
                break
            if not self._is_repeated(event):
                passed.append(event)
                self._record(event)
        if any(event.data is not None for event in passed):
            self._progress_at_s = now_s
        if passed:
            raw = b''.join(event.raw for event in passed)
            self._passed_bytes += len(raw)
            actions.append(PassOn(raw, tuple(passed)))
        if failure is not None:
            actions.append(failure)
        elif parser.is_oversized:
            actions.append(self._resume_or_fail('endless event', now_s))
        elif self._is_too_large:
            actions.append(Fail('larger than a turn may be'))
        else:
            # Bytes that complete no event with data are as good as silence.
            actions.extend(self._on_time_passed(now_s))
        return tuple(actions)

    @property
    def _is_too_large(self) -> bool:
        limit_bytes = self._limits.max_bytes
        return limit_bytes is not None and self._passed_bytes > limit_bytes

    def _is_repeated(self, event: StreamEvent) -> bool:
        """Return whether the caller already has an event."""
        if event.event_id is None or self.last_event_id is None:
            return False
        if event.event_id == self.last_event_id:
            return True
        number = _number(event.event_id)
        last_number = _number(self.last_event_id)
        if number is None or last_number is None:
            return False
        return number <= last_number

    def _failure_of(self, event: StreamEvent) -> Fail | None:
        """Return the failure if an event must not follow the last one."""
        limit = self._limits.max_events
        if (
            limit is not None
            and event.data is not None
            and self.events_passed >= limit
            and not self._is_repeated(event)
        ):
            return Fail('more events than the call allows')
        if not self.resumptions or not self._awaits_first_event:
            return None
        if not self.events_passed or not self._ids_are_consecutive:
            return None
        number = _number(event.event_id)
        last_number = _number(self.last_event_id)
        if number is None or last_number is None:
            return None
        if number > last_number + 1:
            return Fail('events are missing after a resumption')
        return None

    def _record(self, event: StreamEvent) -> None:
        self._awaits_first_event = False
        if event.data is not None:
            self.events_passed += 1
        if event.event_id is None:
            self._all_have_ids = self._all_have_ids and event.data is None
            return
        number = _number(event.event_id)
        last_number = _number(self.last_event_id)
        if last_number is not None and number != last_number + 1:
            self._ids_are_consecutive = False
        self.last_event_id = event.event_id

    def _on_end(self, end: StreamEnded) -> Complete | Resume | Fail:
        if not end.is_whole:
            return self._resume_or_fail('cut', end.now_s)
        if self._parser is not None and self._parser.rest:
            return self._resume_or_fail('ended inside an event', end.now_s)
        if self._is_framed and not end.is_confirmed:
            return self._resume_or_fail('end not confirmed', end.now_s)
        return Complete(end.is_confirmed)

    def _on_time_passed(self, now_s: float) -> tuple[StreamAction, ...]:
        gap_s = now_s - self._progress_at_s
        if gap_s >= self._limits.max_gap_s:
            return (Fail('no complete event in time'),)
        resume_gap_s = self._limits.resume_gap_s
        if (
            self._may_resume_silent
            and resume_gap_s is not None
            and gap_s >= resume_gap_s
        ):
            return (self._resume_or_fail('silent', now_s, elsewhere=True),)
        return ()

    def _resume_or_fail(
        self, reason: str, now_s: float, elsewhere: bool = False
    ) -> Resume | Fail:
        if (
            self.resumptions >= self._limits.max_resumptions
            or self._has_passed_raw
            or not self._all_have_ids
            or now_s - self._progress_at_s >= self._limits.max_gap_s
        ):
            return Fail(reason)
        self.resumptions += 1
        self._parser = None
        return Resume(self.last_event_id, elsewhere, reason)


def _number(event_id: bytes | None) -> int | None:
    if event_id is None:
        return None
    return parse_count(event_id.decode('latin-1'))
