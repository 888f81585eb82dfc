"""Test that many small pieces of a body are held as a few."""

import asyncio
import unittest

from jackdawfield.gateway.http.messages import BodyEnd
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.http.part_queue import JOINED_BYTES
from jackdawfield.gateway.http.part_queue import PartQueue

HEAD = ResponseHead(200, 'OK', ())


class PartQueueTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a body in pieces of one byte whose objects take forty
    # times its bytes, and whose consumer takes each of them by itself.
    async def test_pieces_that_follow_each_other_are_joined(self) -> None:
        queue = PartQueue()
        queue.put(HEAD)
        for _ in range(JOINED_BYTES):
            queue.put(b'x')
        self.assertEqual(len(queue), 2)
        self.assertEqual(queue.body_bytes, JOINED_BYTES)
        self.assertEqual(await queue.get(), HEAD)
        self.assertEqual(await queue.get(), b'x' * JOINED_BYTES)
        self.assertEqual(queue.body_bytes, 0)

    async def test_joined_pieces_are_bounded(self) -> None:
        queue = PartQueue()
        for _ in range(4):
            queue.put(b'x' * JOINED_BYTES)
        self.assertEqual(len(queue), 4)

    async def test_order_of_the_parts_is_kept(self) -> None:
        queue = PartQueue()
        for part in (HEAD, b'a', b'b', BodyEnd.WHOLE, HEAD, b'c'):
            queue.put(part)
        taken = [await queue.get() for _ in range(5)]
        self.assertEqual(taken, [HEAD, b'ab', BodyEnd.WHOLE, HEAD, b'c'])

    async def test_a_waiting_consumer_gets_the_next_part(self) -> None:
        queue = PartQueue()
        taken = asyncio.create_task(queue.get())
        await asyncio.sleep(0)
        queue.put(b'x')
        self.assertEqual(await taken, b'x')
