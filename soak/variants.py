"""Inject deliberate defects into an instance, one per variant.

A variant breaks at least one promise, to verify that the soak detects it.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import sys
from typing import Any

from result import Err

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.entry import CallHandler
from jackdawfield.gateway.fleet.shared_tables import SharedTables
from jackdawfield.gateway.http import connection as connection_module
from jackdawfield.gateway.http.connection import Connection
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.reply import Reply
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.exchange import ServerExchange
from jackdawfield.gateway.servers.guard import CallGuard
from jackdawfield.gateway.servers.notices import NoticeRecorder
from jackdawfield.gateway.servers.relay_client import RelayClient
from jackdawfield.gateway.servers.server_limits import ServerLimits
from jackdawfield.gateway.storage.measured import MeasuredStore
from jackdawfield.gateway.storage.rows import RowConflict
from jackdawfield.gateway.streams.progress import Complete
from jackdawfield.gateway.streams.progress import PassOn
from jackdawfield.gateway.streams.progress import StreamEnded
from jackdawfield.gateway.streams.progress import StreamProgress
from jackdawfield.messages.fleet_relays import RelayRefused

# One in this many body chunks is dropped.
DROP_INTERVAL_CHUNKS = 9
# One in this many requests is dropped.
DROP_INTERVAL_REQUESTS = 100
ROLLBACK_DELAY_S = 1.0
LONG_POLL_S = 6.0


def _patch(owner: Any, name: str, value: object) -> None:
    """Replace an attribute; setattr avoids a type error for the assignment."""
    setattr(owner, name, value)


def repeat_lost_calls() -> None:
    """Treat every call kind as repeatable after a lost response."""
    _patch(CallKind, 'repeatable', property(lambda _: True))


def refuse_lost_calls() -> None:
    """Refuse calls with a lost response as if they had not been executed."""
    start = Dispatcher.start

    async def changed(self: Dispatcher, *args: Any) -> object:
        outcome = await start(self, *args)
        if isinstance(outcome, Failure):
            return Refusal(503, outcome.reason, 0.1)
        return outcome

    _patch(Dispatcher, 'start', changed)


def take_any_answer() -> None:
    """Accept any bytes on a connection as the response to its request."""

    def data_received(self: Any, data: bytes) -> None:
        self._parser.receive_data(data)
        if self._request is not None and not self._has_ended:
            self._parse()

    request = ServerExchange._request

    def without_echo(self: ServerExchange, *args: Any) -> object:
        return dataclasses.replace(request(self, *args), echo_header='')

    _patch(Connection, 'data_received', data_received)
    _patch(ServerExchange, '_request', without_echo)


def drop_pieces() -> None:
    """Drop one in DROP_INTERVAL_CHUNKS chunks of the response bodies."""
    write = Reply.write
    chunk_count = 0

    async def changed(self: Reply, chunk: bytes) -> bool:
        nonlocal chunk_count
        chunk_count += 1
        if chunk_count % DROP_INTERVAL_CHUNKS == 0:
            return True
        return await write(self, chunk)

    _patch(Reply, 'write', changed)


def repeat_events() -> None:
    """Resume a broken stream from its start."""
    resume = Dispatcher.resume

    async def changed(self: Dispatcher, sent: Any, *args: Any) -> object:
        return await resume(self, sent, None, False)

    _patch(Dispatcher, 'resume', changed)
    _patch(StreamProgress, '_is_repeated', lambda *_: False)


def complete_unfinished_events() -> None:
    """Pass on what is left of an event when its connection has ended."""
    on = StreamProgress.on

    def changed(self: Any, event: Any) -> object:
        rest = self._parser.rest if self._parser else b''
        if isinstance(event, StreamEnded) and event.is_whole and rest:
            return PassOn(rest), Complete(event.is_confirmed)
        return on(self, event)

    _patch(StreamProgress, 'on', changed)


def keep_turns_in_memory() -> None:
    """Keep turns only in the memory of the instance that served them."""

    async def commit(self: Any, _: Any, record: Any, *__: Any) -> bool:
        self._cache.add(record)
        return True

    _patch(TurnStore, 'commit', commit)


def ignore_budgets() -> None:
    """Grant every token reservation."""

    async def reserve(*_: Any) -> Verdict:
        return Verdict.FITS

    _patch(ProgramAccounts, 'reserve', reserve)
    _patch(ProgramAccounts, 'is_likely_to_fit', lambda *_: True)
    _patch(ProgramAccounts, 'is_granted', lambda *_: True)


def ignore_rates() -> None:
    """Admit every call regardless of its organisation's rate."""

    async def admit(*_: Any) -> None:
        return None

    _patch(Admission, 'admit', admit)


def stay_on_first_configuration() -> None:
    """Ignore every configuration after the first without an error."""
    apply = Gateway._apply_configuration

    def changed(self: Gateway, data: bytes, row_version: int) -> None:
        if self.call_handler.configuration is None:
            apply(self, data, row_version)

    _patch(Gateway, '_apply_configuration', changed)


def go_back() -> None:
    """Return to the previous configuration some time after each update."""
    apply = Gateway._apply_configuration

    def restore(self: Gateway, before: object) -> None:
        _patch(self.call_handler, 'configuration', before)

    def changed(self: Gateway, data: bytes, row_version: int) -> None:
        before = self.call_handler.configuration
        apply(self, data, row_version)
        if before is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(ROLLBACK_DELAY_S, restore, self, before)

    _patch(Gateway, '_apply_configuration', changed)


def cut_at_stop() -> None:
    """Stop without waiting for the calls in flight."""
    _patch(Gateway, 'stop', Gateway.close)


def ignore_endings() -> None:
    """Send requests to servers whatever they did to others."""
    _patch(CallGuard, 'check', lambda *_: None)
    _patch(CallGuard, 'may_send_again', lambda *_: True)


def drop_requests() -> None:
    """Close some connections without an answer to the request."""
    serve = CallHandler.serve
    request_count = 0

    async def changed(
        self: CallHandler, request: Any, headers: Any, reply: Reply
    ) -> None:
        nonlocal request_count
        request_count += 1
        if request_count % DROP_INTERVAL_REQUESTS == 0:
            reply.abort()
            return
        await serve(self, request, headers, reply)

    _patch(CallHandler, 'serve', changed)


def give_store_up() -> None:
    """Reject all writes after one that neither committed nor conflicted."""
    transact = MeasuredStore.transact
    has_failed_write = False

    async def changed(self: MeasuredStore, *args: Any) -> object:
        nonlocal has_failed_write
        if has_failed_write:
            return NotApplied('given up')
        outcome = await transact(self, *args)
        has_failed_write = not isinstance(outcome, Committed | RowConflict)
        return outcome

    _patch(MeasuredStore, 'transact', changed)


def stay_cut() -> None:
    """Serve no call through another instance."""

    async def open_relay(*_: Any) -> object:
        return Err(RelayRefused('no relays', False))

    _patch(RelayClient, 'open', open_relay)


def wait_on_silent_connections() -> None:
    """Give no long poll up before its own timeout."""

    async def await_changes(
        self: SharedTables, table: str, after_version: int, _: float
    ) -> object:
        return await self._poll_store(table, after_version, LONG_POLL_S)

    _patch(SharedTables, 'await_changes', await_changes)


def ignore_server_limits() -> None:
    """Send calls to servers with a limit without a token."""

    async def take(*_: Any) -> None:
        return None

    _patch(ServerLimits, 'take', take)


def state_length() -> None:
    """Pass the length of a turn's answer on, as its server stated it."""
    set_head = Reply.set_head

    def changed(
        self: Reply, head: ResponseHead, withholds_end: bool = False
    ) -> None:
        set_head(self, head)

    _patch(Reply, 'set_head', changed)


def handle_all_at_once() -> None:
    """Handle all that has arrived before anything else."""
    _patch(connection_module, 'SLICE_PIECES', sys.maxsize)


def ignore_leaving() -> None:
    """Go by the rows of servers alone."""
    _patch(NoticeRecorder, '_record_leaving', lambda *_: None)


VARIANTS_BY_NAME: dict[str, Callable[[], None]] = {
    'repeat-lost-calls': repeat_lost_calls,
    'refuse-lost-calls': refuse_lost_calls,
    'take-any-answer': take_any_answer,
    'drop-pieces': drop_pieces,
    'repeat-events': repeat_events,
    'complete-unfinished-events': complete_unfinished_events,
    'keep-turns-in-memory': keep_turns_in_memory,
    'ignore-budgets': ignore_budgets,
    'ignore-rates': ignore_rates,
    'stay-on-first-configuration': stay_on_first_configuration,
    'go-back': go_back,
    'cut-at-stop': cut_at_stop,
    'drop-requests': drop_requests,
    'ignore-endings': ignore_endings,
    'give-store-up': give_store_up,
    'stay-cut': stay_cut,
    'wait-on-silent-connections': wait_on_silent_connections,
    'ignore-server-limits': ignore_server_limits,
    'state-length': state_length,
    'handle-all-at-once': handle_all_at_once,
    'ignore-leaving': ignore_leaving,
}
