"""Decide what callers' connections may hold, and which give way."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from enum import IntEnum
import heapq

BYTES_PER_MB = 1024 * 1024
# What the process needs beside its callers: code, tables and connections.
PROCESS_MB = 64
# Room for what the allocator can't reuse at once.
USABLE_SHARE = 0.8
# A whole body is copied when it is joined and when it is sent to a server.
HANDLED_COPIES = 2
# Room for the largest body, its copies, its head and what is read ahead.
BODIES_IN_BUDGET = 4
# A request that holds less gives way after those that hold more.
SMALL_BYTES = 64 * 1024
# What the objects of an idle connection take.
CONNECTION_BYTES = 16 * 1024
# What a header field takes beside its bytes, as it is kept by three layers.
FIELD_BYTES = 400
# What is read ahead of a server's response while its caller does not read.
RESPONSE_AHEAD_BYTES = 256 * 1024
# Without progress for this long, a connection gives way before the others.
STALL_S = 2.0
# Share of the sockets for callers; the others are for servers, store, peers.
CALLER_SOCKET_SHARE = 0.6
# The platform reserves these descriptors for files.
FILE_DESCRIPTORS = 200
MIN_CONNECTIONS = 16


class Phase(Enum):
    """Names how far the request of a connection has come."""

    IDLE = 'idle'
    ARRIVING = 'arriving'
    HANDLED = 'handled'


@dataclass(frozen=True, slots=True)
class Holder:
    """Describes one connection and what is held for it.

    `unread_bytes` wait for the caller to read them. Times are by the monotonic
    clock: when the present request began, and when the caller last sent or
    read anything.
    """

    number: int
    address: str
    phase: Phase
    held_bytes: int
    unread_bytes: int
    began_at_s: float
    progress_at_s: float


class _Rank(IntEnum):
    """Orders the connections that give way, the first ones first."""

    STALLED_BODY = 0
    NEWEST_BODY = 1
    STALLED_READER = 2
    STALLED_SENDER = 3
    NEWEST_SENDER = 4
    SLOWEST_READER = 5
    LONGEST_IDLE = 6


def budget_bytes(memory_mb: int, cache_bytes: int, max_body_bytes: int) -> int:
    """Return how much may be held for all callers together."""
    left = (memory_mb - PROCESS_MB) * BYTES_PER_MB - cache_bytes
    return max(int(left * USABLE_SHARE), BODIES_IN_BUDGET * max_body_bytes)


def connection_limit(max_descriptors: int) -> int:
    """Return how many connections callers may have open."""
    sockets = max_descriptors - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(sockets * CALLER_SOCKET_SHARE))


def choose_refused(
    holders: Iterable[Holder], excess_bytes: int, now_s: float
) -> list[Holder]:
    """Return the connections that give way to free so many bytes.

    Bodies that are not whole go first: those that have stalled, then the
    newest. Requests that are handled stay, unless their callers do not read.
    """
    ranked = sorted(
        (key, holder)
        for holder in holders
        if (key := _refusal_key(holder, now_s)) is not None
    )
    refused: list[Holder] = []
    for _, holder in ranked:
        if excess_bytes <= 0:
            break
        refused.append(holder)
        excess_bytes -= holder.held_bytes
    return refused


def choose_for_body(
    holders: Iterable[Holder], excess_bytes: int, now_s: float
) -> list[Holder]:
    """Return the unfinished bodies that give way to a whole one.

    None gives way if all of them together do not free so many bytes.
    """
    bodies = [
        holder
        for holder in holders
        if holder.phase is Phase.ARRIVING and holder.held_bytes > SMALL_BYTES
    ]
    if sum(holder.held_bytes for holder in bodies) < excess_bytes:
        return []
    return choose_refused(bodies, excess_bytes, now_s)


def _refusal_key(
    holder: Holder, now_s: float
) -> tuple[_Rank, float, int] | None:
    """Return the place in the order of refusals, None for those that stay."""
    number = holder.number
    progress_at_s = holder.progress_at_s
    has_stalled = now_s - progress_at_s > STALL_S
    is_large = holder.held_bytes > SMALL_BYTES
    match holder.phase:
        case Phase.ARRIVING if has_stalled:
            rank = _Rank.STALLED_BODY if is_large else _Rank.STALLED_SENDER
            return rank, progress_at_s, number
        case Phase.ARRIVING:
            rank = _Rank.NEWEST_BODY if is_large else _Rank.NEWEST_SENDER
            return rank, -holder.began_at_s, number
        case Phase.IDLE:
            return _Rank.LONGEST_IDLE, progress_at_s, number
        case Phase.HANDLED if holder.unread_bytes and has_stalled:
            return _Rank.STALLED_READER, progress_at_s, number
        case Phase.HANDLED if holder.unread_bytes > SMALL_BYTES:
            return _Rank.SLOWEST_READER, progress_at_s, number
    return None


def choose_closed(
    holders: Iterable[Holder], count: int, now_s: float
) -> list[Holder]:
    """Return the connections that give way to new ones.

    Those of addresses with more than an equal part go first, then those that
    do not send or read on, the slowest first, then the longest idle.
    Connections whose requests are handled stay while their callers read.
    """
    waiting = [holder for holder in holders if _is_waiting(holder, now_s)]
    counts_by_address = collections.Counter(
        holder.address for holder in waiting
    )
    equal_part = len(waiting) / max(1, len(counts_by_address))

    def key(holder: Holder) -> tuple[bool, bool, float]:
        return (
            counts_by_address[holder.address] < equal_part,
            holder.phase is Phase.IDLE,
            holder.progress_at_s,
        )

    return heapq.nsmallest(count, waiting, key)


def _is_waiting(holder: Holder, now_s: float) -> bool:
    """Return whether a connection waits for its caller."""
    if holder.phase is not Phase.HANDLED:
        return True
    return holder.unread_bytes > 0 and now_s - holder.progress_at_s > STALL_S
