import logging
import os
import time
import unittest
from unittest import mock

from jackdawfield.log_output import BoundedLogHandler
from jackdawfield.log_output import BYTES_PER_S
from jackdawfield.log_output import LINES_PER_S

# Much longer than writes that do not block, much shorter than a blocked one.
NON_BLOCKING_LIMIT_S = 2.0


class BoundedLogHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.logger = logging.Logger('tests.log_output')
        self.handler = BoundedLogHandler(writer)
        self.handler.setFormatter(logging.Formatter('%(message)s'))
        self.logger.addHandler(self.handler)
        clock = mock.patch('jackdawfield.log_output.time.monotonic')
        self.clock = clock.start()
        self.addCleanup(clock.stop)
        self.clock.return_value = 100.0

    def read(self) -> list[str]:
        data = b''
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data.decode().splitlines()

    def test_lines_over_the_rate_are_dropped_and_counted(self) -> None:
        for _ in range(3000):
            self.logger.info('event=call_ended request=a')
        lines = self.read()
        self.assertLess(len(lines), LINES_PER_S)
        self.clock.return_value = 101.0
        self.logger.info('event=call_ended request=b')
        dropped = 3000 - len(lines)
        self.assertEqual(
            self.read()[0],
            f'event=lines_left_out counts=call_ended:{dropped}',
        )

    def test_warnings_are_written_beyond_the_info_limit(self) -> None:
        for _ in range(3000):
            self.logger.info('event=call_ended request=a')
        self.logger.warning('event=call_refused request=b')
        self.assertIn('event=call_refused request=b', self.read())

    def test_bytes_are_bounded(self) -> None:
        for _ in range(400):
            self.logger.warning('event=long text=' + 'x' * 5000)
            self.read()
        self.clock.return_value = 100.5
        self.logger.warning('event=last')
        self.assertEqual(self.read(), [])
        self.assertGreater(BYTES_PER_S, 5000)

    def test_stalled_reader_does_not_block_writes(self) -> None:
        started_s = time.perf_counter()
        for second in range(60):
            self.clock.return_value = 100.0 + second
            for _ in range(300):
                self.logger.warning('event=call_refused ' + 'x' * 500)
        self.assertLess(time.perf_counter() - started_s, NON_BLOCKING_LIMIT_S)
        lines = self.read()
        self.assertTrue(all(line.startswith('event=') for line in lines))
        for second in range(100):
            self.clock.return_value = 200.0 + second
            self.logger.warning('event=after')
            lines += self.read()
        self.assertTrue(any('lines_left_out' in line for line in lines))
        self.assertEqual(lines[-1], 'event=after')

    def test_closed_reader_raises_no_error(self) -> None:
        reader, writer = os.pipe()
        handler = BoundedLogHandler(writer)
        os.close(reader)
        self.addCleanup(os.close, writer)
        logger = logging.Logger('tests.left')
        logger.addHandler(handler)
        with mock.patch.object(handler, 'handleError') as handle_error:
            logger.warning('event=unread')
        handle_error.assert_not_called()
