"""Bound what all callers of an instance hold together."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging
import time
from typing import Protocol

from jackdawfield.gateway.http.memory_budget import choose_closed
from jackdawfield.gateway.http.memory_budget import choose_for_body
from jackdawfield.gateway.http.memory_budget import choose_refused
from jackdawfield.gateway.http.memory_budget import CONNECTION_BYTES
from jackdawfield.gateway.http.memory_budget import HANDLED_COPIES
from jackdawfield.gateway.http.memory_budget import Holder
from jackdawfield.gateway.http.memory_budget import SMALL_BYTES
from jackdawfield.gateway.work_slices import WorkSlices
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
DEFAULT_BUDGET_BYTES = 256 * 1024 * 1024
DEFAULT_CONNECTIONS = 2340
# More header fields are refused.
MAX_HEADER_FIELDS = 1000
# Share of the budget that is freed beyond what is needed, so that the next
# bytes fit.
SPARE_SHARE = 0.05
# Share of the connections that are closed when new ones find no room.
CLOSED_SHARE = 0.05
# Pause before connections are looked through again after none could be closed.
CLOSE_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0
# Retry-After of refusals for lack of memory.
RETRY_S = 0.5
STATUS_UNAVAILABLE = 503
NO_STATUS = 0
# Metric label: these refusals come before the route is known.
NO_ROUTE = 'none'


# Chooses connections that free an amount at a time.
Choice = Callable[[list[Holder], int, float], list[Holder]]


class Holding(Protocol):
    """Represents a connection to the limits."""

    held_bytes: int
    # Of these, what is held for copies of whole bodies.
    copy_bytes: int

    def describe(self, number: int) -> Holder:
        """Return what is held for it."""

    def give_way(self, reason: str) -> int:
        """Refuse its request or close it; return the status, 0 if closed."""


class RefusalLog:
    """Counts refusals, and logs at most one line a reason and second."""

    def __init__(self, count_reason: Callable[[str, int, str], None]) -> None:
        self._count_reason = count_reason
        self._logged_at_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def add(self, reason: str, status: int, **fields: object) -> None:
        """Count a refusal, and log it unless one was logged just before."""
        self._count_reason(NO_ROUTE, status, reason)
        count = self._unlogged.get(reason, 0) + 1
        self._unlogged[reason] = count
        now_s = time.monotonic()
        if now_s - self._logged_at_s.get(reason, 0.0) < LOG_INTERVAL_S:
            return
        self._logged_at_s[reason] = now_s
        self._unlogged[reason] = 0
        log_event(
            LOG,
            'caller_refused',
            logging.WARNING,
            reason=reason,
            status=status,
            count=count,
            **fields,
        )


class CallerLimits:
    """Holds the limits that the listeners of an instance share."""

    def __init__(
        self,
        budget_bytes: int = DEFAULT_BUDGET_BYTES,
        max_connections: int = DEFAULT_CONNECTIONS,
        slices: WorkSlices | None = None,
        count_reason: Callable[[str, int, str], None] = lambda *_: None,
    ) -> None:
        self.budget_bytes = budget_bytes
        self.max_connections = max_connections
        self.max_fields = MAX_HEADER_FIELDS
        self.slices = slices or WorkSlices()
        self.refusals = RefusalLog(count_reason)
        self.held_bytes = 0
        # What is held for whole bodies that are handled.
        self._handled_bytes = 0
        self._holdings: set[Holding] = set()
        self._is_freeing = False
        self._close_again_at_s = 0.0

    @property
    def open_connections(self) -> int:
        """Return how many connections the callers have open."""
        return len(self._holdings)

    def add(self, holding: Holding) -> bool:
        """Add a connection; return False if there is no room for it."""
        if self._is_short_of_connections:
            self._close_waiting()
        if self._is_short_of_connections:
            self.refusals.add('connections', NO_STATUS)
            return False
        self._holdings.add(holding)
        self.charge(holding, CONNECTION_BYTES)
        return True

    @property
    def _is_short_of_connections(self) -> bool:
        return len(self._holdings) >= self.max_connections

    def _close_waiting(self) -> None:
        """Close some connections, unless none could be just before."""
        now_s = time.monotonic()
        if now_s < self._close_again_at_s:
            return
        count = max(1, int(self.max_connections * CLOSED_SHARE))
        self._give_way('connections', choose_closed, count, self._holdings)
        if self._is_short_of_connections:
            self._close_again_at_s = now_s + CLOSE_INTERVAL_S

    def discard(self, holding: Holding) -> None:
        """Forget a connection and what was held for it."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held_bytes -= holding.held_bytes
            holding.held_bytes = 0

    def charge(self, holding: Holding, count: int) -> None:
        """Charge bytes that are held, or return some if negative."""
        if holding not in self._holdings:
            return
        holding.held_bytes += count
        self.held_bytes += count
        if self.is_full:
            self.free_soon()

    def free_soon(self) -> None:
        """Let connections give way in the next turn of the event loop."""
        if not self._is_freeing:
            self._is_freeing = True
            asyncio.get_running_loop().call_soon(self._free_excess)

    @property
    def is_full(self) -> bool:
        """Return whether more is held than the budget allows."""
        return self.held_bytes > self.budget_bytes

    def _free_excess(self) -> None:
        self._is_freeing = False
        excess = self.held_bytes - self.budget_bytes
        if excess <= 0:
            return
        excess += int(self.budget_bytes * SPARE_SHARE)
        self._refuse_bodies(excess, self._holdings)
        if self.is_full:
            self._give_way('memory', choose_refused, excess, self._holdings)

    def _refuse_bodies(
        self, excess: int, candidates: Iterable[Holding]
    ) -> None:
        """Refuse unfinished bodies, if that frees enough.

        Only large ones are looked at: there are few of them.
        """
        large = [h for h in candidates if h.held_bytes > SMALL_BYTES]
        self._give_way('memory', choose_for_body, excess, large)

    def _give_way(
        self,
        reason: str,
        choose: Choice,
        amount: int,
        candidates: Iterable[Holding],
    ) -> None:
        """Let the chosen ones of some connections give way."""
        holdings = list(candidates)
        holders = [
            holding.describe(number) for number, holding in enumerate(holdings)
        ]
        for holder in choose(holders, amount, time.monotonic()):
            self._end(holdings[holder.number], holder, reason)

    def _end(self, holding: Holding, holder: Holder, reason: str) -> None:
        status = holding.give_way(reason)
        self.refusals.add(
            reason,
            status,
            address=holder.address,
            phase=holder.phase.value,
            held_bytes=holder.held_bytes,
            held_by_all_bytes=self.held_bytes,
        )

    def admit_body(self, holding: Holding, body_bytes: int) -> int | None:
        """Charge the copies of a whole body; None if there is no room.

        A body is always admitted while no other large one is handled.
        """
        if body_bytes <= SMALL_BYTES:
            return 0
        copies = body_bytes * HANDLED_COPIES
        excess = self.held_bytes + copies - self.budget_bytes
        if excess > 0 and self._handled_bytes:
            self._refuse_bodies(excess, self._holdings - {holding})
            if self.held_bytes + copies > self.budget_bytes:
                return None
        self._handled_bytes += copies
        holding.copy_bytes += copies
        self.charge(holding, copies)
        return copies

    def end_body(self, holding: Holding, copies: int) -> None:
        """Return what was charged for the copies of a body."""
        self._handled_bytes -= copies
        holding.copy_bytes -= copies
        self.charge(holding, -copies)
