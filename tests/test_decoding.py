import unittest

from jackdawfield.decoding import parse_count
from jackdawfield.gateway.http.messages import DEFAULT_IDLE_S
from jackdawfield.gateway.http.messages import idle_limit_s
from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.streams.progress import _number
from jackdawfield.platform.headers import decode_headers

MANY_DIGITS = '9' * 5000
ARABIC_DIGITS = '\u0663\u0664'
SUPERSCRIPT = '\u00b2'


class ParseCountTest(unittest.TestCase):
    def test_only_short_ascii_digits_are_a_count(self) -> None:
        self.assertEqual(parse_count('0120'), 120)
        for text in (
            None,
            '',
            '-1',
            '+1',
            '1.5',
            '1_0',
            ' 1',
            '1\n',
            MANY_DIGITS,
            ARABIC_DIGITS,
            SUPERSCRIPT,
        ):
            self.assertIsNone(parse_count(text), text)

    # Guards against a number of a server or caller that raises an exception
    # where its connection or stream is handled.
    def test_odd_numbers_of_others_are_as_absent(self) -> None:
        for text in (MANY_DIGITS, ARABIC_DIGITS, SUPERSCRIPT):
            headers = (('Keep-Alive', f'timeout={text}'),)
            head = ResponseHead(200, 'OK', headers)
            self.assertEqual(idle_limit_s(head), DEFAULT_IDLE_S)
            self.assertIsNone(_number(text.encode()))
            decoded = decode_headers(
                [('X-Jackdawfield-Deadline-Ms', text)],
            )
            self.assertIsNone(decoded.time_left_s)
