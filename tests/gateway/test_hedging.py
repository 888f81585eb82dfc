import asyncio
import unittest

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.hedging import first_answer
from jackdawfield.gateway.hedging import Source

# Never elapses in a test.
LONG_S = 60.0


class FirstAnswerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.asked: list[str] = []
        self.cancelled: list[str] = []

    def source(
        self,
        name: str,
        answer: Result[str, str] | None,
        overdue_s: float = LONG_S,
    ) -> Source[str, str]:
        """Return a source; without an answer it hangs."""

        async def ask() -> Result[str, str]:
            self.asked.append(name)
            if answer is not None:
                return answer
            try:
                await asyncio.sleep(LONG_S)
            except asyncio.CancelledError:
                self.cancelled.append(name)
                raise
            return Err('not reached')

        return Source(ask, overdue_s)

    async def test_second_source_is_not_asked_without_need(self) -> None:
        found = await first_answer(
            [self.source('a', Ok('one')), self.source('b', Ok('two'))]
        )
        self.assertEqual(found, Ok('one'))
        self.assertEqual(self.asked, ['a'])

    async def test_next_source_is_asked_at_once_after_a_failure(self) -> None:
        found = await first_answer(
            [self.source('a', Err('lost')), self.source('b', Ok('two'))]
        )
        self.assertEqual(found, Ok('two'))

    async def test_overdue_source_goes_on_beside_the_next(self) -> None:
        found = await first_answer(
            [
                self.source('a', None, 0.01),
                self.source('b', Err('lost')),
                self.source('c', Ok('three')),
            ]
        )
        await asyncio.sleep(0)
        self.assertEqual(found, Ok('three'))
        self.assertEqual(self.cancelled, ['a'])

    async def test_all_errors_are_returned_in_the_order_asked(self) -> None:
        found = await first_answer(
            [self.source('a', Err('one')), self.source('b', Err('two'))]
        )
        self.assertEqual(found, Err(('one', 'two')))
