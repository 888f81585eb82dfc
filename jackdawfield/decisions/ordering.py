"""Order the calls of one program and answer repeats from records."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import NewType

from jackdawfield.model import CallNumber

# Identifies one request as received: a repeated call has a new arrival id.
ArrivalId = NewType('ArrivalId', str)


@dataclass(frozen=True, slots=True)
class CallArrived:
    """Reports an arriving call, its number and the digest of its body."""

    arrival_id: ArrivalId
    number: CallNumber
    digest: bytes
    now_s: float


@dataclass(frozen=True, slots=True)
class CallFinished:
    """Reports that the running call has been recorded."""

    number: CallNumber
    now_s: float


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Reports that the running call ended without a record."""

    number: CallNumber
    now_s: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Reports the time, so that queued calls can time out."""

    now_s: float


Event = CallArrived | CallFinished | CallFailed | TimePassed


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """Refuses a repeated call whose body differs from the first one."""

    number: CallNumber


@dataclass(frozen=True, slots=True)
class CallGap:
    """Refuses a call whose predecessor did not arrive in time."""

    number: CallNumber
    expected: CallNumber


@dataclass(frozen=True, slots=True)
class TooManyWaiting:
    """Refuses a call because the queue is full."""

    limit: int


@dataclass(frozen=True, slots=True)
class InvalidNumber:
    """Refuses a call number below 1."""

    number: CallNumber


OrderError = DigestMismatch | CallGap | TooManyWaiting | InvalidNumber


@dataclass(frozen=True, slots=True)
class Run:
    """Starts the next call."""

    arrival_id: ArrivalId
    number: CallNumber
    digest: bytes


@dataclass(frozen=True, slots=True)
class AnswerFromRecord:
    """Answers a repeat of a finished call from its record."""

    arrival_id: ArrivalId
    number: CallNumber


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuses a call that has not run."""

    arrival_id: ArrivalId
    error: OrderError


Action = Run | AnswerFromRecord | Refuse


@dataclass(frozen=True, slots=True)
class OrderLimits:
    """Bounds the queue of a program's calls.

    A queued call times out after wait_s seconds unless all calls between the
    running one and it have arrived; waiting is the longest queue.
    """

    wait_s: float = 2.0
    waiting: int = 16


@dataclass(slots=True)
class CallOrder:
    """Holds the running and the queued calls of one program."""

    limits: OrderLimits = field(default_factory=OrderLimits)
    digests: list[bytes] = field(default_factory=list)
    running: CallArrived | None = None
    waiting: list[CallArrived] = field(default_factory=list)

    @property
    def next_number(self) -> CallNumber:
        """Return the lowest call number that has no record."""
        return CallNumber(len(self.digests) + 1)

    @property
    def next_timeout_s(self) -> float | None:
        """Return when the next queued call times out, None without one."""
        times = [
            call.now_s + self.limits.wait_s
            for call in self.waiting
            if not self._has_all_predecessors(call)
        ]
        return min(times, default=None)

    def on(self, event: Event) -> tuple[Action, ...]:
        """Apply an event and return the actions that follow."""
        match event:
            case CallArrived():
                return self._arrived(event)
            case CallFinished(number, now_s):
                return self._finished(number, now_s)
            case CallFailed(_, now_s):
                self.running = None
                return self._start_next(now_s)
            case TimePassed(now_s):
                return self._time_out(now_s)

    def _arrived(self, call: CallArrived) -> tuple[Action, ...]:
        if call.number < 1:
            return (Refuse(call.arrival_id, InvalidNumber(call.number)),)
        if not self._matches(call):
            return (Refuse(call.arrival_id, DigestMismatch(call.number)),)
        if call.number < self.next_number:
            return (AnswerFromRecord(call.arrival_id, call.number),)
        if len(self.waiting) >= self.limits.waiting:
            error = TooManyWaiting(self.limits.waiting)
            return (Refuse(call.arrival_id, error),)
        self.waiting.append(call)
        return self._start_next(call.now_s)

    def _matches(self, call: CallArrived) -> bool:
        if call.number < self.next_number:
            return self.digests[call.number - 1] == call.digest
        others = [*self.waiting]
        if self.running is not None:
            others.append(self.running)
        return all(
            other.digest == call.digest
            for other in others
            if other.number == call.number
        )

    def _start_next(self, now_s: float) -> tuple[Action, ...]:
        if self.running is not None:
            return ()
        for call in self.waiting:
            if call.number == self.next_number:
                self.waiting.remove(call)
                self.running = call
                return (Run(call.arrival_id, call.number, call.digest),)
        return ()

    def _finished(
        self, number: CallNumber, now_s: float
    ) -> tuple[Action, ...]:
        if self.running is None or self.running.number != number:
            return ()
        self.digests.append(self.running.digest)
        self.running = None
        repeats = [call for call in self.waiting if call.number == number]
        # Timeouts of the other calls restart, as the next number has advanced.
        self.waiting = [
            replace(call, now_s=now_s)
            for call in self.waiting
            if call.number != number
        ]
        answers = tuple(
            AnswerFromRecord(call.arrival_id, number) for call in repeats
        )
        return (*answers, *self._start_next(now_s))

    def _time_out(self, now_s: float) -> tuple[Action, ...]:
        timed_out = [
            call
            for call in self.waiting
            if now_s - call.now_s >= self.limits.wait_s
            and not self._has_all_predecessors(call)
        ]
        self.waiting = [call for call in self.waiting if call not in timed_out]
        return tuple(
            Refuse(call.arrival_id, CallGap(call.number, self.next_number))
            for call in timed_out
        )

    def _has_all_predecessors(self, call: CallArrived) -> bool:
        if self.running is None:
            return False
        queued_numbers = {item.number for item in self.waiting}
        first_missing = self.running.number + 1
        while first_missing in queued_numbers:
            first_missing += 1
        return call.number < first_missing
