import asyncio
import logging
import unittest

from jackdawfield.background import BackgroundTasks


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.tasks = BackgroundTasks()
        self.addCleanup(self.tasks.cancel)
        self.runs = 0

    async def fail_twice(self) -> None:
        self.runs += 1
        if self.runs < 3:
            raise ValueError('odd input')
        await asyncio.sleep(3600)

    # Guards against a loop that one odd input ends for good.
    async def test_failed_task_runs_again_and_is_logged(self) -> None:
        with self.assertLogs(level=logging.ERROR) as logs:
            self.tasks.supervise('loop', self.fail_twice)
            async with asyncio.timeout(5.0):
                while self.runs < 3:
                    await asyncio.sleep(0.01)
        self.assertEqual(self.tasks.restart_count, 2)
        self.assertIn('task=loop', logs.output[0])
