"""Test that sources without end leave the event loop to the others."""

import asyncio
import unittest

from jackdawfield.gateway.work_slices import WorkSlices


class WorkSlicesTest(unittest.IsolatedAsyncioTestCase):
    async def test_sources_take_turns(self) -> None:
        slices = WorkSlices()
        order: list[str] = []

        async def run(name: str) -> None:
            for _ in range(3):
                await slices.pause()
                order.append(name)

        await asyncio.gather(run('a'), run('b'))
        self.assertEqual(order, ['a', 'b'] * 3)

    # Guards against sources that take the whole loop together, although each
    # of them pauses.
    async def test_one_slice_runs_at_a_time(self) -> None:
        slices = WorkSlices()
        done = 0

        async def run() -> None:
            nonlocal done
            await slices.pause()
            done += 1

        tasks = [asyncio.create_task(run()) for _ in range(12)]
        seen = []
        while done < len(tasks):
            before = done
            await asyncio.sleep(0)
            seen.append(done - before)
        self.assertLessEqual(max(seen), 1)

    async def test_a_cancelled_source_holds_nobody_up(self) -> None:
        slices = WorkSlices()
        cancelled = asyncio.create_task(slices.pause())
        await asyncio.sleep(0)
        cancelled.cancel()
        await slices.pause()
        self.assertEqual(slices.deferred_count, 2)
