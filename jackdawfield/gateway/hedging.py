"""Ask a second source before the first one's time is up."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

T = TypeVar('T')
E = TypeVar('E')


@dataclass(frozen=True, slots=True)
class Source(Generic[T, E]):
    """Holds a request, and the time after which it is overdue.

    An overdue request goes on, and the next source is asked beside it.
    """

    ask: Callable[[], Awaitable[Result[T, E]]]
    overdue_s: float


async def first_answer(
    sources: Sequence[Source[T, E]],
) -> Result[T, tuple[E, ...]]:
    """Ask the sources in their order and return the first Ok.

    The next one is asked as soon as one fails or is overdue. The others are
    cancelled. If all fail, return their errors in the order of the sources.
    """
    waiting = list(sources)
    asked: list[asyncio.Future[Result[T, E]]] = []
    pending: set[asyncio.Future[Result[T, E]]] = set()
    try:
        while waiting or pending:
            timeout_s = None
            if waiting:
                source = waiting.pop(0)
                asked.append(asyncio.ensure_future(source.ask()))
                pending.add(asked[-1])
                timeout_s = source.overdue_s if waiting else None
            done, pending = await asyncio.wait(
                pending,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                found = task.result()
                if isinstance(found, Ok):
                    return found
        return Err(tuple(task.result().unwrap_err() for task in asked))
    finally:
        for task in pending:
            task.cancel()
