"""Measure transactions of the row store, and split what exceeds one."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import TransactionLimits

Put = tuple[RowKey, bytes]
Puts = tuple[Put, ...]
Entry = TypeVar('Entry')

# Names of the fields, punctuation and the version of an encoded entry.
ENTRY_OVERHEAD_BYTES = 64
BODY_OVERHEAD_BYTES = 64


def key_bytes(key: RowKey) -> int:
    """Return how many bytes an entry without a value takes at most."""
    names = (key.table, key.part, key.key)
    encoded = sum(len(msgspec.json.encode(name)) for name in names)
    return ENTRY_OVERHEAD_BYTES + encoded


def put_bytes(put: Put) -> int:
    """Return how many bytes an entry with its value takes at most."""
    key, value = put
    return key_bytes(key) + (len(value) + 2) // 3 * 4


def is_within(limits: TransactionLimits, transaction: RowTransaction) -> bool:
    """Return whether a transaction is within the limits."""
    keys = [key for key, _ in transaction.expected]
    keys += transaction.removes
    entries = len(keys) + len(transaction.puts)
    body_bytes = BODY_OVERHEAD_BYTES
    body_bytes += sum(map(key_bytes, keys))
    body_bytes += sum(map(put_bytes, transaction.puts))
    return entries <= limits.entries and body_bytes <= limits.body_bytes


def split_entries(
    entries: Iterable[Entry],
    limits: TransactionLimits,
    entry_bytes: Callable[[Entry], int],
) -> Iterator[tuple[Entry, ...]]:
    """Return entries in order, in batches within the limits.

    An entry over the limit is a batch of its own.
    """
    batch: list[Entry] = []
    left_bytes = limits.body_bytes - BODY_OVERHEAD_BYTES
    for entry in entries:
        size = entry_bytes(entry)
        if batch and (len(batch) >= limits.entries or size > left_bytes):
            yield tuple(batch)
            batch = []
            left_bytes = limits.body_bytes - BODY_OVERHEAD_BYTES
        batch.append(entry)
        left_bytes -= size
    if batch:
        yield tuple(batch)


def count_fitting(groups: Iterable[Puts], limits: TransactionLimits) -> int:
    """Return how many groups of rows, in order, fit into one transaction.

    The first one counts even if it does not fit by itself.
    """
    count = 0
    left_entries, left_bytes = limits.entries, limits.body_bytes
    for group in groups:
        left_entries -= len(group)
        left_bytes -= sum(map(put_bytes, group))
        if count and min(left_entries, left_bytes) < 0:
            break
        count += 1
    return count
