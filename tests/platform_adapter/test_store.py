"""Test what the client of the platform's store makes of refusals."""

import unittest

from result import Ok
from result import Result

from jackdawfield.decisions.table import NotApplied
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowsRejected
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.messages.store_calls import StoreReply
from jackdawfield.platform.store import encode_transaction
from jackdawfield.platform.store import PlatformStore

STATUSES_THAT_LAST = (400, 403, 404, 413)
STATUSES_THAT_PASS = (429, 503, 507)
MAX_ENTRIES = 100
MAX_BODY_BYTES = 1_000_000


class AnsweringPath:
    """Answers each call with a status."""

    def __init__(self, status: int) -> None:
        self._status = status
        self.bodies: list[bytes] = []

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Result[StoreReply, object]:
        """Return the status."""
        self.bodies.append(body)
        return Ok(StoreReply(self._status, b'{}'))


def transaction(rows: int, row_bytes: int) -> RowTransaction:
    puts = tuple(
        (RowKey('turns', 'p01', f'"{number}"'), bytes(row_bytes))
        for number in range(rows)
    )
    return RowTransaction((), puts)


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusals_that_last_and_that_pass_differ(self) -> None:
        for statuses, expected in (
            (STATUSES_THAT_LAST, RowsRejected),
            (STATUSES_THAT_PASS, NotApplied),
        ):
            for status in statuses:
                with self.subTest(status):
                    store = PlatformStore(AnsweringPath(status))
                    outcome = await store.transact(transaction(1, 1), 1.0)
                    self.assertIsInstance(outcome, expected)

    # Guards against a call that the store can only answer with 413.
    async def test_what_exceeds_a_call_is_not_sent(self) -> None:
        for rows, row_bytes in ((101, 1), (16, 49_152), (1, 800_000)):
            with self.subTest((rows, row_bytes)):
                path = AnsweringPath(200)
                sent = transaction(rows, row_bytes)
                outcome = await PlatformStore(path).transact(sent, 1.0)
                self.assertIsInstance(outcome, RowsRejected)
                self.assertEqual(path.bodies, [])

    async def test_sizes_around_the_limits(self) -> None:
        for rows in (1, 15, 99, 100):
            for body_bytes in range(
                MAX_BODY_BYTES - 300, MAX_BODY_BYTES + 300, 7
            ):
                sent = transaction(rows, body_bytes * 3 // 4 // rows)
                path = AnsweringPath(200)
                await PlatformStore(path).transact(sent, 1.0)
                for body in path.bodies:
                    self.assertLessEqual(len(body), MAX_BODY_BYTES)
                    self.assertEqual(body, encode_transaction(sent))
                    self.assertLessEqual(rows, MAX_ENTRIES)
