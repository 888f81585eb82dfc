"""Simulate a model engine and a plain service in virtual time."""

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from typing import Protocol

from bench._clock import Clock
from jackdawfield.decisions.pool_events import FailureKind

PREFILL_TOKENS_PER_S = 12000.0
STEP_S = 0.018
STEP_PER_SEQUENCE_S = 0.0004
STEP_RATIO_DURING_PREFILL = 1.4


class Listener(Protocol):
    """Receives the events of a job."""

    def on_started(self, job: 'Job') -> None:
        """Handle the first token, or the start of a service call."""

    def on_done(self, job: 'Job') -> None:
        """Handle the end of the answer."""

    def on_failed(self, job: 'Job', kind: FailureKind) -> None:
        """Handle a failure."""


@dataclass(slots=True, eq=False)
class Job:
    """Represents one call on a server."""

    context_id: str
    prompt_tokens: int
    output_tokens: int
    service_s: float
    listener: Listener
    cached_tokens: int = 0
    ended: bool = False


class FakeEngine:
    """Simulates continuous batching, in order of arrival, and a prefix cache.

    One sequence at a time is prefilled while the others decode. Each decode
    step gives every decoding sequence one token, so a sequence ends at a
    step count fixed when its decoding starts.
    """

    def __init__(self, clock: Clock, slots: int, cache_tokens: int) -> None:
        self._clock = clock
        self._slots = slots
        self._cache_limit_tokens = cache_tokens
        self._tokens_by_context: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._queue: deque[Job] = deque()
        self._prefilling: deque[Job] = deque()
        self._decoding: list[tuple[float, int, Job]] = []
        self._running: set[Job] = set()
        self._step_count = 0.0
        self._advanced_at_s = 0.0
        self._decode_version = 0
        self._prefill_version = 0
        self._sequence = 0
        self.is_alive = True
        self.is_stuck = False
        self.speed_factor = 1.0
        self.evicted_ids: list[str] = []

    def get_load(self) -> tuple[int, int]:
        """Return the numbers of running and queued jobs."""
        return len(self._running), len(self._queue)

    def cached_contexts(self) -> list[tuple[str, int]]:
        """Return the ids and tokens of the cached contexts."""
        return list(self._tokens_by_context.items())

    def release_context(self, context_id: str) -> None:
        """Remove an ended context from the cache."""
        self._cached_tokens -= self._tokens_by_context.pop(context_id, 0)

    def submit(self, job: Job) -> None:
        """Queue a job, or fail it if the engine is down."""
        if not self.is_alive:
            self._clock.call_later(0.001, self._fail, job)
            return
        self._queue.append(job)
        self._admit()

    def cancel(self, job: Job) -> None:
        """Cancel a job without notifying its listener."""
        job.ended = True
        if job in self._running:
            self._advance_steps()
            self._running.discard(job)
            if self._prefilling and self._prefilling[0] is job:
                self._prefilling.popleft()
                self._schedule_prefill()
            self._decoding = [d for d in self._decoding if d[2] is not job]
            self._decoding.sort()
            self._admit()
            self._schedule_decode()

    def set_speed(self, speed_factor: float) -> None:
        """Set the speed, 1 for the normal one; 0 stops all progress."""
        self._advance_steps()
        self.is_stuck = speed_factor == 0
        self.speed_factor = speed_factor or 1.0
        if not self.is_stuck:
            self._schedule_prefill()
        self._schedule_decode()

    def crash(self) -> None:
        """Fail every job and clear the cache."""
        jobs = [*self._queue, *self._running]
        self._advance_steps()
        self.is_alive = False
        self.is_stuck = False
        self.speed_factor = 1.0
        self._decode_version += 1
        self._prefill_version += 1
        self._queue.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._running.clear()
        self._tokens_by_context.clear()
        self._cached_tokens = 0
        for job in sorted(jobs, key=lambda j: j.context_id):
            self._fail(job)

    def _fail(self, job: Job) -> None:
        if job.ended:
            return
        job.ended = True
        job.listener.on_failed(job, FailureKind.UNREACHABLE)

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._slots:
            job = self._queue.popleft()
            if job.ended:
                continue
            self._advance_steps()
            self._running.add(job)
            self._prefilling.append(job)
            if len(self._prefilling) == 1:
                self._schedule_prefill()
        self._schedule_decode()

    def _schedule_prefill(self) -> None:
        self._prefill_version += 1
        while self._prefilling and self._prefilling[0].ended:
            self._prefilling.popleft()
        if not self._prefilling or self.is_stuck:
            return
        job = self._prefilling[0]
        cached_tokens = self._tokens_by_context.get(job.context_id, 0)
        job.cached_tokens = min(cached_tokens, job.prompt_tokens)
        uncached_tokens = job.prompt_tokens - job.cached_tokens
        delay_s = uncached_tokens / (PREFILL_TOKENS_PER_S * self.speed_factor)
        self._clock.call_later(
            delay_s, self._on_prefilled, self._prefill_version
        )

    def _on_prefilled(self, version: int) -> None:
        if version != self._prefill_version or self.is_stuck:
            return
        self._advance_steps()
        job = self._prefilling.popleft()
        self._cache(job.context_id, job.prompt_tokens)
        self._sequence += 1
        end_step = self._step_count + job.output_tokens
        heappush(self._decoding, (end_step, self._sequence, job))
        self._schedule_prefill()
        self._schedule_decode()
        job.listener.on_started(job)

    def _advance_steps(self) -> None:
        elapsed_s = self._clock.now_s - self._advanced_at_s
        self._advanced_at_s = self._clock.now_s
        if not self.is_stuck:
            self._step_count += elapsed_s / self._step_s()

    def _step_s(self) -> float:
        step_s = STEP_S + STEP_PER_SEQUENCE_S * len(self._decoding)
        if self._prefilling:
            step_s *= STEP_RATIO_DURING_PREFILL
        return step_s / self.speed_factor

    def _schedule_decode(self) -> None:
        self._decode_version += 1
        if not self._decoding or self.is_stuck:
            return
        remaining_steps = max(0.0, self._decoding[0][0] - self._step_count)
        self._clock.call_later(
            remaining_steps * self._step_s(),
            self._on_decoded,
            self._decode_version,
        )

    def _on_decoded(self, version: int) -> None:
        if version != self._decode_version or self.is_stuck:
            return
        self._advance_steps()
        _, _, job = heappop(self._decoding)
        self._running.discard(job)
        self._cache(job.context_id, job.prompt_tokens + job.output_tokens)
        job.ended = True
        self._admit()
        job.listener.on_done(job)

    def _cache(self, context_id: str, tokens: int) -> None:
        self._cached_tokens += tokens - self._tokens_by_context.get(
            context_id, 0
        )
        self._tokens_by_context[context_id] = tokens
        self._tokens_by_context.move_to_end(context_id)
        while (
            self._cached_tokens > self._cache_limit_tokens
            and len(self._tokens_by_context) > 1
        ):
            evicted_id, cached_tokens = self._tokens_by_context.popitem(
                last=False
            )
            self._cached_tokens -= cached_tokens
            self.evicted_ids.append(evicted_id)


class FakeService:
    """Simulates a service that runs calls in order on a number of slots."""

    def __init__(self, clock: Clock, slots: int) -> None:
        self._clock = clock
        self._slots = slots
        self._queue: deque[Job] = deque()
        self._running = 0

    def get_load(self) -> tuple[int, int]:
        """Return the numbers of running and queued jobs."""
        return self._running, len(self._queue)

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._queue.append(job)
        self._admit()

    def cancel(self, job: Job) -> None:
        """Cancel a job without notifying its listener."""
        job.ended = True

    def _admit(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            if job.ended:
                continue
            self._running += 1
            job.listener.on_started(job)
            self._clock.call_later(job.service_s, self._on_done, job)

    def _on_done(self, job: Job) -> None:
        self._running -= 1
        self._admit()
        if job.ended:
            return
        job.ended = True
        job.listener.on_done(job)
