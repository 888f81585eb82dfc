"""Fake a model engine with an HTTP interface for chat completions."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b
import json
import time
from typing import Any

import tornado.iostream

from jackdawfield.standins.base import Faults
from jackdawfield.standins.base import StandInHandler

CHARACTERS_PER_TOKEN = 4
PROGRAM_HEADER = 'X-Program'
REQUEST_HEADER = 'X-Request-Id'


@dataclass
class Stream:
    """Holds the words of one response, so that its stream can be resumed.

    `produced` is the number of words generated so far.
    """

    words: list[str]
    prompt_tokens: int
    cached_tokens: int
    produced: int = 0
    cancelled: bool = False


@dataclass
class EngineState:
    """Holds the settings, load, prefix cache and received requests.

    `report_lag_s` delays cache events and loads, `drop_every_event` n leaves
    out each n-th event, and `break_after_tokens` n closes the connection of
    one stream after n tokens.
    """

    faults: Faults = field(default_factory=Faults)
    step_s: float = 0.002
    step_per_stream_s: float = 0.0002
    prefill_tokens_per_s: float = 50_000.0
    cache_limit_tokens: int = 100_000
    report_lag_s: float = 0.2
    drop_every_event: int = 7
    break_after_tokens: int = 0
    checks_fencing: bool = False
    highest_fencing: int = 0
    running: int = 0
    streams_by_id: dict[str, Stream] = field(default_factory=dict)
    tokens_by_program: OrderedDict[str, int] = field(
        default_factory=OrderedDict
    )
    events: list[dict[str, Any]] = field(default_factory=list)
    event_count: int = 0
    loads: list[tuple[float, int]] = field(default_factory=list)
    models: list[str] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    requests: list[dict[str, str]] = field(default_factory=list)

    def publish_event(self, kind: str, program: str, tokens: int) -> None:
        """Publish a cache event, but leave out every drop_every_event-th."""
        self.event_count += 1
        if self.event_count % self.drop_every_event == 0:
            return
        self.events.append(
            {
                'number': self.event_count,
                'at_s': time.monotonic(),
                'kind': kind,
                'program': program,
                'tokens': tokens,
            }
        )

    def store_prefix(self, program: str, tokens: int) -> None:
        """Cache a program's prefix and evict the oldest over the limit."""
        if not program:
            return
        self.tokens_by_program[program] = tokens
        self.tokens_by_program.move_to_end(program)
        self.publish_event('stored', program, tokens)
        while sum(self.tokens_by_program.values()) > self.cache_limit_tokens:
            evicted, count = self.tokens_by_program.popitem(last=False)
            self.publish_event('evicted', evicted, count)

    def release_prefix(self, program: str) -> None:
        """Remove a program's prefix from the cache."""
        tokens = self.tokens_by_program.pop(program, 0)
        if tokens:
            self.publish_event('released', program, tokens)

    def change_load(self, difference: int) -> None:
        """Change the number of running streams, which is the load."""
        self.running += difference
        self.loads.append((time.monotonic(), self.running))
        del self.loads[:-1000]

    def delayed_load(self) -> int:
        """Return the load of report_lag_s ago."""
        limit_s = time.monotonic() - self.report_lag_s
        loads = [load for at_s, load in self.loads if at_s <= limit_s]
        return loads[-1] if loads else 0


def generate_words(messages: Any, count: int) -> list[str]:
    """Return a number of words that depend only on the prompt."""
    seed = json.dumps(messages, sort_keys=True).encode()
    words = []
    for number in range(count):
        digest = blake2b(seed + str(number).encode(), digest_size=3)
        words.append(digest.hexdigest() + ' ')
    return words


def estimate_prompt_tokens(messages: Any) -> int:
    """Return an estimate of a prompt's length in tokens."""
    return max(1, len(json.dumps(messages)) // CHARACTERS_PER_TOKEN)


class ChatHandler(StandInHandler):
    """Serves chat completions, streamed or as one response."""

    async def post(self) -> None:
        """Generate a response to the messages."""
        state: EngineState = self.state
        body = self.json_body()
        headers = self.request.headers
        program = headers.get(PROGRAM_HEADER, '')
        request_id = headers.get(REQUEST_HEADER, str(time.monotonic()))
        state.requests.append(
            {
                'program': program,
                'body': self.request.body.decode(),
                'headers': json.dumps(dict(headers.get_all())),
            }
        )
        tokens = estimate_prompt_tokens(body['messages'])
        cached = min(tokens, state.tokens_by_program.get(program, 0))
        stream = Stream(
            generate_words(body['messages'], int(body.get('max_tokens', 16))),
            tokens,
            cached,
        )
        state.streams_by_id[request_id] = stream
        state.change_load(1)
        try:
            await asyncio.sleep((tokens - cached) / state.prefill_tokens_per_s)
            state.store_prefix(program, tokens + len(stream.words))
            await self.send(stream, body.get('stream', False), 0)
        except tornado.iostream.StreamClosedError:
            pass
        finally:
            state.change_load(-1)

    async def send(self, stream: Stream, streamed: bool, start: int) -> None:
        """Send the words from a start on, and generate those that are new."""
        state: EngineState = self.state
        if streamed:
            self.set_header('Content-Type', 'text/event-stream')
        for number in range(start, len(stream.words)):
            if stream.cancelled:
                break
            if number >= stream.produced:
                delay_s = state.step_s
                delay_s += state.step_per_stream_s * state.running
                await asyncio.sleep(delay_s)
                stream.produced = number + 1
            if not streamed:
                continue
            self.write(event_line(number, stream.words[number]))
            await self.flush()
            if state.break_after_tokens and (
                number + 1 == state.break_after_tokens
            ):
                state.break_after_tokens = 0
                self.close_connection()
                return
        self.finish_response(stream, streamed)

    def finish_response(self, stream: Stream, streamed: bool) -> None:
        """Send the end of the response with the usage."""
        usage = {
            'prompt_tokens': stream.prompt_tokens,
            'completion_tokens': stream.produced,
            'prompt_tokens_details': {'cached_tokens': stream.cached_tokens},
        }
        if streamed:
            end = {'choices': [], 'usage': usage}
            self.finish(f'data: {json.dumps(end)}\n\ndata: [DONE]\n\n')
            return
        message = {'role': 'assistant', 'content': ''.join(stream.words)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        self.send_json({'choices': [choice], 'usage': usage})


def event_line(number: int, word: str) -> str:
    """Return one token as a server-sent event."""
    choice = {'index': 0, 'delta': {'content': word}}
    return f'data: {json.dumps({"id": str(number), "choices": [choice]})}\n\n'


class StreamHandler(ChatHandler):
    """Resumes and cancels streams."""

    async def get(self, request_id: str) -> None:
        """Resume a stream from the token with the number `from`."""
        stream = self.state.streams_by_id.get(request_id)
        if stream is None:
            self.set_status(404)
            self.finish()
            return
        start = int(self.get_argument('from', '0'))
        self.state.change_load(1)
        try:
            await self.send(stream, True, start)
        finally:
            self.state.change_load(-1)

    def delete(self, request_id: str) -> None:
        """Cancel a stream."""
        stream = self.state.streams_by_id.get(request_id)
        if stream is not None:
            stream.cancelled = True
        self.send_json({'cancelled': stream is not None})


class CacheHandler(StandInHandler):
    """Serves the cached prefixes and the published cache events."""

    def get(self) -> None:
        """Return the cached tokens by program, and events after a delay."""
        state: EngineState = self.state
        after = int(self.get_argument('after', '0'))
        limit_s = time.monotonic() - state.report_lag_s
        events = [
            event
            for event in state.events
            if event['number'] > after and event['at_s'] <= limit_s
        ]
        cached_tokens = dict(state.tokens_by_program)
        self.send_json({'held': cached_tokens, 'events': events})


class CacheActionHandler(StandInHandler):
    """Releases, exports and imports the cached prefixes of programs."""

    def post(self, action: str) -> None:
        """Apply an action to the programs that the body names."""
        state: EngineState = self.state
        body = self.json_body()
        programs = body['programs']
        match action:
            case 'release':
                for program in programs:
                    state.release_prefix(program)
                self.send_json({'released': programs})
            case 'export':
                blocks = {
                    p: state.tokens_by_program.get(p, 0) for p in programs
                }
                self.send_json({'blocks': blocks})
            case _:
                for program, tokens in body['blocks'].items():
                    state.store_prefix(program, tokens)
                self.send_json({'imported': programs})


class LoadHandler(StandInHandler):
    """Serves the load of report_lag_s ago."""

    def get(self) -> None:
        """Return the load of report_lag_s ago and the loaded models."""
        self.send_json(
            {
                'running': self.state.delayed_load(),
                'models': self.state.models,
            }
        )


class OrderHandler(StandInHandler):
    """Executes orders, and refuses old fencing numbers if configured."""

    async def post(self) -> None:
        """Execute an order, or refuse its old fencing number with 409."""
        state: EngineState = self.state
        body = self.json_body()
        fencing = int(body.get('fencing', 0))
        if state.checks_fencing and fencing < state.highest_fencing:
            self.set_status(409)
            self.finish('{"error": "old fencing number"}')
            return
        state.highest_fencing = max(fencing, state.highest_fencing)
        await asyncio.sleep(float(body.get('wait_s', 0)))
        state.orders.append(body)
        if body.get('order') == 'load_model':
            state.models = [body['model']]
        self.send_json({'applied': True})


class ReceivedHandler(StandInHandler):
    """Serves the received requests and orders."""

    def get(self) -> None:
        """Return all requests and orders."""
        state: EngineState = self.state
        received = {'requests': state.requests, 'orders': state.orders}
        self.finish(json.dumps(received))


ROUTES = [
    ('/v1/chat/completions', ChatHandler),
    ('/v1/streams/(.+)', StreamHandler),
    ('/cache', CacheHandler),
    ('/cache/(release|export|import)', CacheActionHandler),
    ('/load', LoadHandler),
    ('/orders', OrderHandler),
    ('/seen', ReceivedHandler),
]
State = EngineState
