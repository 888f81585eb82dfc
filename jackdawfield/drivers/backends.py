"""Call model engines and plain services over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import json
from typing import Any

from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.http import HttpAnswer
from jackdawfield.drivers.http import HttpClient
from jackdawfield.drivers.http import HttpError
from jackdawfield.drivers.http import HttpFault
from jackdawfield.event_stream import EventParser

PROGRAM_HEADER = 'X-Program'
REQUEST_HEADER = 'X-Request-Id'
DONE_MARKER = b'[DONE]'


@dataclass(frozen=True, slots=True)
class Token:
    """Holds the text of one generated token."""

    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Holds the token counts of a complete generation."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class BackendError:
    """Reports that a backend server gave no complete answer."""

    fault: HttpFault
    reason: str


EngineEvent = Token | Usage | BackendError


class EngineStreamParser:
    """Parses the stream of a chat completion into engine events."""

    def __init__(self) -> None:
        self._parser = EventParser()
        self._is_malformed = False
        self.is_done = False

    def feed(self, chunk: bytes) -> list[EngineEvent]:
        """Return the events that a chunk completes.

        A malformed stream ends with an error; what follows is ignored.
        """
        if self._is_malformed:
            return []
        events: list[EngineEvent] = []
        try:
            for event in self._parser.feed(chunk):
                if event.data is not None:
                    events.extend(self._parse_data(event.data))
        except ValueError as error:
            events.append(self._malformed(str(error)))
            return events
        if self._parser.is_oversized:
            events.append(self._malformed('event too large'))
        return events

    def _malformed(self, reason: str) -> BackendError:
        self._is_malformed = True
        return BackendError(HttpFault.LOST, f'malformed stream: {reason}')

    def _parse_data(self, data: bytes) -> list[EngineEvent]:
        if data == DONE_MARKER:
            self.is_done = True
            return []
        value = json.loads(data)
        usage = value.get('usage')
        if usage is not None:
            return [parse_usage(usage)]
        choices = value.get('choices')
        if not choices:
            return []
        text = choices[0].get('delta', {}).get('content', '')
        return [Token(text)] if text else []


def parse_usage(usage: dict[str, Any]) -> Usage:
    """Return the token counts of an engine's usage object."""
    details = usage.get('prompt_tokens_details') or {}
    return Usage(
        int(usage.get('prompt_tokens', 0)),
        int(usage.get('completion_tokens', 0)),
        int(details.get('cached_tokens', 0)),
    )


class EngineClient:
    """Streams chat completions from model engines."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def chat(
        self,
        address: str,
        program_id: str,
        request_id: str,
        body: bytes,
        timeout_s: float,
    ) -> AsyncIterator[EngineEvent]:
        """Yield tokens, then the usage, or an error if incomplete."""
        headers = {
            'Content-Type': 'application/json',
            PROGRAM_HEADER: program_id,
            REQUEST_HEADER: request_id,
        }
        async for event in self._stream(
            'POST',
            f'http://{address}/v1/chat/completions',
            body,
            headers,
            timeout_s,
        ):
            yield event

    async def resume(
        self, address: str, request_id: str, start: int, timeout_s: float
    ) -> AsyncIterator[EngineEvent]:
        """Yield the events of a stream after its first `start` tokens."""
        url = f'http://{address}/v1/streams/{request_id}?from={start}'
        async for event in self._stream('GET', url, None, {}, timeout_s):
            yield event

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel the generation of a stream."""
        url = f'http://{address}/v1/streams/{request_id}'
        await self._http.request('DELETE', url)

    async def _stream(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> AsyncIterator[EngineEvent]:
        parser = EngineStreamParser()
        queue: asyncio.Queue[EngineEvent] = asyncio.Queue()

        def on_chunk(chunk: bytes) -> None:
            for event in parser.feed(chunk):
                queue.put_nowait(event)

        fetch = asyncio.create_task(
            self._http.request(method, url, body, headers, timeout_s, on_chunk)
        )
        getter: asyncio.Task[EngineEvent] | None = None
        try:
            while True:
                getter = asyncio.create_task(queue.get())
                await asyncio.wait(
                    (fetch, getter), return_when=asyncio.FIRST_COMPLETED
                )
                if getter.done():
                    yield getter.result()
                    continue
                getter.cancel()
                break
            while not queue.empty():
                yield queue.get_nowait()
            error = incomplete_stream_error(fetch.result(), parser.is_done)
            if error is not None:
                yield error
        finally:
            fetch.cancel()
            if getter is not None:
                getter.cancel()


def incomplete_stream_error(
    result: Result[HttpAnswer, HttpError], is_done: bool
) -> BackendError | None:
    """Return the error of an ended stream, None if it is complete."""
    match result:
        case Ok(HttpAnswer(200, _)) if is_done:
            return None
        case Ok(HttpAnswer(200, _)):
            return BackendError(HttpFault.LOST, 'answer ended early')
        case Ok(HttpAnswer(status, _)):
            return BackendError(HttpFault.LOST, f'status {status}')
        case Err(HttpError(fault, reason)):
            return BackendError(fault, reason)


class ServiceClient:
    """Calls plain services and sends each request once."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def run(
        self,
        address: str,
        action: str,
        request_id: str,
        body: bytes,
        timeout_s: float,
    ) -> Result[HttpAnswer, BackendError]:
        """Return the answer, or an error with whether the request was sent."""
        headers = {
            'Content-Type': 'application/json',
            REQUEST_HEADER: request_id,
        }
        result = await self._http.request(
            'POST',
            f'http://{address}/run/{action}',
            body,
            headers,
            timeout_s,
        )
        return result.map_err(lambda e: BackendError(e.fault, e.reason))
