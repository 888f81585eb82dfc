import logging
import unittest

from jackdawfield.logs import KeyValueFormatter
from jackdawfield.logs import log_event
from jackdawfield.logs import quote


class LogsTest(unittest.TestCase):
    def test_special_characters_in_values_are_quoted(self) -> None:
        self.assertEqual('plain', quote('plain'))
        for text in ('a b', 'a=b', 'a"b', 'a\nb', 'a\r\nb', ''):
            quoted = quote(text)
            self.assertTrue(quoted.startswith('"'), text)
            self.assertNotIn('\n', quoted)
            self.assertNotIn('\r', quoted)

    def test_event_is_one_line_of_pairs(self) -> None:
        logger = logging.getLogger('tests.logs')
        with self.assertLogs(logger) as captured:
            log_event(logger, 'request', status=200, path='/a b')
        line = KeyValueFormatter('i-1').format(captured.records[0])
        self.assertIn('instance=i-1', line)
        self.assertIn('event=request status=200 path="/a b"', line)
        self.assertEqual(1, len(line.splitlines()))

    def test_third_party_message_and_traceback_are_one_line(self) -> None:
        logger = logging.getLogger('tests.logs')
        with self.assertLogs(logger) as captured:
            try:
                raise ValueError('two\nlines')
            except ValueError:
                logger.exception('it failed')
        line = KeyValueFormatter('i-1').format(captured.records[0])
        self.assertEqual(1, len(line.splitlines()))
        self.assertIn('event=message text="it failed"', line)

    def test_key_in_a_third_party_message_is_redacted(self) -> None:
        logger = logging.getLogger('tests.logs')
        with self.assertLogs(logger) as captured:
            logger.error('GET /?key=jf_k1_%s failed', 'ab' * 32)
        line = KeyValueFormatter('i-1').format(captured.records[0])
        self.assertIn('jf_k1_[secret]', line)
        self.assertNotIn('ab' * 32, line)
