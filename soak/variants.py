"""Breaks an instance on purpose, one promise a variant."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.gateway.admission import Admission
from jackdawfield.gateway.calls import Failure
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.connections import Connection
from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.dispatch import Dispatcher
from jackdawfield.gateway.front import Reply
from jackdawfield.gateway.measured_store import MeasuredStore
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.rows import RowConflict
from jackdawfield.gateway.turn_store import TurnStore
from jackdawfield.gateway.turn_store import Verdict

# The variant that forgets a piece drops one of so many.
DROPPED_OF = 9
BACK_AFTER_S = 1.0


def _patch(owner: Any, name: str, value: object) -> None:
    """Replace a method; through a variable, so that types stay out of it."""
    setattr(owner, name, value)


def repeat_lost_calls() -> None:
    """Send calls of every kind again when their answer is lost."""
    _patch(CallKind, 'repeatable', property(lambda _: True))


def refuse_lost_calls() -> None:
    """Say of calls whose answer is lost that they have not run."""
    start = Dispatcher.start

    async def changed(self: Dispatcher, *args: Any) -> object:
        outcome = await start(self, *args)
        if isinstance(outcome, Failure):
            return Refusal(503, outcome.reason, 0.1)
        return outcome

    _patch(Dispatcher, 'start', changed)


def take_any_answer() -> None:
    """Take the next bytes of a connection for the answer."""

    def data_received(self: Any, data: bytes) -> None:
        self._parser.receive_data(data)
        if self._request is not None and not self._ended:
            self._parse()

    request = Dispatcher._request

    def without_echo(self: Dispatcher, *args: Any) -> object:
        return dataclasses.replace(request(self, *args), echo_header='')

    _patch(Connection, 'data_received', data_received)
    _patch(Dispatcher, '_request', without_echo)


def drop_pieces() -> None:
    """Lose a piece of an answer now and then."""
    write = Reply.write
    count = 0

    async def changed(self: Reply, piece: bytes) -> bool:
        nonlocal count
        count += 1
        if count % DROPPED_OF == 0:
            return True
        return await write(self, piece)

    _patch(Reply, 'write', changed)


def keep_turns_in_memory() -> None:
    """Keep turns only in the instance that served them."""

    async def commit(self: Any, _: Any, record: Any, *__: Any) -> bool:
        self._cache.add(record)
        return True

    _patch(TurnStore, 'commit', commit)


def ignore_budgets() -> None:
    """Let every reservation fit."""

    async def reserve(*_: Any) -> Verdict:
        return Verdict.FITS

    async def settle(*_: Any) -> None:
        return None

    _patch(TurnStore, 'reserve', reserve)
    _patch(TurnStore, 'settle', settle)
    _patch(TurnStore, 'is_likely_to_fit', lambda *_: True)


def ignore_rates() -> None:
    """Admit every call."""

    async def admit(*_: Any) -> None:
        return None

    _patch(Admission, 'admit', admit)


def stay_on_first_configuration() -> None:
    """Never take a newer configuration over, and claim to."""
    apply = Gateway._apply_configuration

    def changed(self: Gateway, data: bytes) -> None:
        if self.call_handler.configuration is None:
            apply(self, data)

    _patch(Gateway, '_apply_configuration', changed)


def go_back() -> None:
    """Fall back to the configuration before the last."""
    apply = Gateway._apply_configuration

    def restore(self: Gateway, before: object) -> None:
        _patch(self.call_handler, 'configuration', before)

    def changed(self: Gateway, data: bytes) -> None:
        before = self.call_handler.configuration
        apply(self, data)
        if before is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(BACK_AFTER_S, restore, self, before)

    _patch(Gateway, '_apply_configuration', changed)


def cut_at_stop() -> None:
    """Stop without waiting for the calls under way."""
    _patch(Gateway, 'stop', Gateway.close)


def give_store_up() -> None:
    """Never write again once a write had no answer."""
    transact = MeasuredStore.transact
    given_up = False

    async def changed(self: MeasuredStore, *args: Any) -> object:
        nonlocal given_up
        if given_up:
            return NotApplied('given up')
        outcome = await transact(self, *args)
        given_up = not isinstance(outcome, Committed | RowConflict)
        return outcome

    _patch(MeasuredStore, 'transact', changed)


VARIANTS_BY_NAME: dict[str, Callable[[], None]] = {
    'repeat-lost-calls': repeat_lost_calls,
    'refuse-lost-calls': refuse_lost_calls,
    'take-any-answer': take_any_answer,
    'drop-pieces': drop_pieces,
    'keep-turns-in-memory': keep_turns_in_memory,
    'ignore-budgets': ignore_budgets,
    'ignore-rates': ignore_rates,
    'stay-on-first-configuration': stay_on_first_configuration,
    'go-back': go_back,
    'cut-at-stop': cut_at_stop,
    'give-store-up': give_store_up,
}
