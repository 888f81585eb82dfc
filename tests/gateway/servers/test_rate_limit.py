import unittest

from jackdawfield.gateway.http.messages import ResponseHead
from jackdawfield.gateway.servers.rate_limit import MIN_PER_S
from jackdawfield.gateway.servers.rate_limit import RateLimit
from jackdawfield.gateway.servers.rate_limit import VALID_S
from jackdawfield.platform.headers import decode_limit


class RateLimitTest(unittest.TestCase):
    def test_newest_answer_counts(self) -> None:
        limit = RateLimit()
        self.assertIsNone(limit.current(10.0))
        self.assertTrue(limit.record_named(4.0, 10.0))
        self.assertFalse(limit.record_named(4.0, 11.0))
        self.assertTrue(limit.record_named(3.0, 12.0))
        # What another instance tells may be older.
        self.assertFalse(limit.record_named(9.0, 11.5))
        self.assertEqual(limit.current(12.0), 3.0)

    # Guards against a limit that ends by an answer from before it, or never.
    def test_limit_ends_with_the_answers_that_name_it(self) -> None:
        limit = RateLimit()
        limit.record_named(4.0, 10.0)
        self.assertFalse(limit.record_unnamed(9.0))
        self.assertEqual(limit.current(10.1), 4.0)
        self.assertTrue(limit.record_unnamed(10.1))
        self.assertIsNone(limit.current(10.2))
        limit.record_named(4.0, 11.0)
        self.assertIsNone(limit.current(11.1 + VALID_S))

    def test_limit_near_zero_leaves_a_request_that_tells_its_end(self) -> None:
        limit = RateLimit()
        limit.record_named(0.0, 10.0)
        self.assertEqual(limit.current(10.0), MIN_PER_S)


class DecodeLimitTest(unittest.TestCase):
    def decode(self, *values: str) -> float | None:
        headers = tuple(('Server-Limit', value) for value in values)
        return decode_limit(ResponseHead(200, 'OK', headers))

    def test_decimal_number_is_a_limit(self) -> None:
        self.assertIsNone(self.decode())
        self.assertEqual(self.decode('6'), 6.0)
        self.assertEqual(self.decode('3.25'), 3.25)
        self.assertEqual(self.decode('0'), 0.0)
        self.assertEqual(self.decode('5.5', '4', '9'), 4.0)

    def test_anything_else_is_no_limit(self) -> None:
        for value in (
            '-1',
            'nan',
            'inf',
            '1e9',
            '',
            ' ',
            '.5',
            '5.',
            '1,5',
            '9' * 5000,
            '\u0663',
        ):
            self.assertIsNone(self.decode(value), value[:20])
        self.assertEqual(self.decode('x', '4'), 4.0)
