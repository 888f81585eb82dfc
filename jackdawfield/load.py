"""Generate load on running daemons from a trace of programs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
import time
from typing import Literal

from hdrh.histogram import HdrHistogram
import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpClient

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
CALL_TIMEOUT_S = 300.0
PROGRESS_INTERVAL_S = 2.0


class LoadError(Exception):
    """Reports a trace that is not valid, with its file and line."""


class TraceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds one call of a program and the pause before it."""

    route: str
    kind: Literal['chat', 'service'] = 'chat'
    text: str = ''
    max_tokens: int = 16
    pause_s: float = 0.0


class TraceProgram(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds one program of a trace; at_s is relative to the trace's start."""

    at_s: float
    organisation: str
    template: str
    calls: list[TraceCall]


@dataclass
class LoadReport:
    """Holds the latencies in microseconds and the outcomes of a run."""

    programs: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
    )
    calls: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
    )
    counts_by_status: dict[str, int] = field(default_factory=dict)

    def count(self, status: str) -> None:
        """Count one response by its status."""
        count = self.counts_by_status.get(status, 0)
        self.counts_by_status[status] = count + 1

    def rows(self) -> tuple[tuple[str, int, *tuple[float, ...]], ...]:
        """Return the count and percentiles in ms of programs and calls."""
        rows = []
        for name, histogram in (
            ('programs', self.programs),
            ('calls', self.calls),
        ):
            values = [
                histogram.get_value_at_percentile(p) / US_PER_MS
                for p in PERCENTILES
            ]
            rows.append((name, histogram.get_total_count(), *values))
        return tuple(rows)


def read_trace(path: Path) -> Result[list[TraceProgram], LoadError]:
    """Return the programs of a trace, one JSON object a line."""
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return Err(LoadError(f'{path}: {error}'))
    programs = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            programs.append(msgspec.json.decode(line, type=TraceProgram))
        except msgspec.MsgspecError as error:
            return Err(LoadError(f'{path}:{number}: {error}'))
    return Ok(programs)


class TraceRunner:
    """Runs the programs of a trace through the callers' URLs of daemons."""

    def __init__(
        self,
        urls: tuple[str, ...],
        keys_by_organisation: dict[str, str],
        on_progress: Callable[[str], None],
    ) -> None:
        self._urls = urls
        self._keys_by_organisation = keys_by_organisation
        self._on_progress = on_progress
        self._http = HttpClient('jackdawfield-load')
        self._running_programs = 0
        self._answered_calls = 0
        self.report = LoadReport()

    async def run_trace(
        self, programs: list[TraceProgram], speed: float
    ) -> LoadReport:
        """Run all programs, with the trace's times divided by the speed."""
        progress_task = asyncio.create_task(
            self._report_progress(len(programs))
        )
        started_s = time.monotonic()
        tasks = [
            asyncio.create_task(self._run_program(n, p, started_s, speed))
            for n, p in enumerate(programs)
        ]
        await asyncio.gather(*tasks)
        progress_task.cancel()
        self._http.close()
        return self.report

    async def _report_progress(self, count: int) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            done = self.report.programs.get_total_count()
            self._on_progress(
                f'{done} of {count} programs done,'
                f' {self._running_programs} running,'
                f' {self._answered_calls} calls'
            )

    async def _run_program(
        self,
        number: int,
        program: TraceProgram,
        started_s: float,
        speed: float,
    ) -> None:
        due_s = started_s + program.at_s / speed
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        self._running_programs += 1
        program_started_s = time.monotonic()
        if await self._run_calls(number, program, speed):
            elapsed_us = int((time.monotonic() - program_started_s) * US_PER_S)
            self.report.programs.record_value(elapsed_us)
        self._running_programs -= 1

    async def _run_calls(
        self, number: int, program: TraceProgram, speed: float
    ) -> bool:
        key = self._keys_by_organisation.get(program.organisation, '')
        headers = {'Authorization': f'Bearer {key}'}
        url = self._urls[number % len(self._urls)]
        body = {'template': program.template}
        created = await self._send(f'{url}/v1/programs', body, headers)
        if created is None:
            return False
        headers['X-Jackdawfield-Program'] = json.loads(created.body)['program']
        for turn, call in enumerate(program.calls, 1):
            await asyncio.sleep(call.pause_s / speed)
            url = self._urls[(number + turn) % len(self._urls)]
            headers['X-Jackdawfield-Call'] = str(turn)
            started_s = time.monotonic()
            path, content = build_call(call)
            if await self._send(f'{url}{path}', content, headers) is None:
                return False
            elapsed_us = int((time.monotonic() - started_s) * US_PER_S)
            self.report.calls.record_value(elapsed_us)
            self._answered_calls += 1
        return True

    async def _send(
        self, url: str, body: object, headers: dict[str, str]
    ) -> HttpAnswer | None:
        result = await self._http.request(
            'POST',
            url,
            json.dumps(body).encode(),
            headers,
            CALL_TIMEOUT_S,
        )
        match result:
            case Ok(HttpAnswer(200) as answer):
                self.report.count('200')
                return answer
            case Ok(HttpAnswer(status, text)):
                self.report.count(failure_label(status, text))
            case Err(error):
                self.report.count(error.fault.value)
        return None


def build_call(call: TraceCall) -> tuple[str, dict[str, object]]:
    """Return the path and the body of a call's request."""
    if call.kind == 'service':
        return f'/v1/services/{call.route}', {'text': call.text}
    message = {'role': 'user', 'content': call.text}
    return '/v1/chat/completions', {
        'model': call.route,
        'messages': [message],
        'max_tokens': call.max_tokens,
    }


def failure_label(status: int, body: bytes) -> str:
    """Return the HTTP status and the error code of a failed response."""
    try:
        code = json.loads(body)['error']['code']
    except (ValueError, KeyError, TypeError):
        code = 'untyped'
    return f'{status} {code}'
