"""Test for how long idle connections are kept whose servers state nothing."""

import unittest

from jackdawfield.gateway.http.idle_limits import IdleLimits
from jackdawfield.gateway.http.messages import DEFAULT_IDLE_S
from jackdawfield.gateway.http.messages import IDLE_MARGIN_S

LONGEST_S = 30.0
ADDRESS = ('127.0.0.1', 1)


class IdleLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = IdleLimits(LONGEST_S)

    def test_connection_is_kept_until_its_server_closes_one(self) -> None:
        self.assertEqual(self.limits.limit_s(ADDRESS), LONGEST_S)
        self.limits.record_closed(ADDRESS, 10.0)
        self.assertEqual(self.limits.limit_s(ADDRESS), 10.0 - IDLE_MARGIN_S)

    def test_other_servers_keep_their_connections(self) -> None:
        self.limits.record_closed(ADDRESS, 10.0)
        self.assertEqual(self.limits.limit_s(('127.0.0.1', 2)), LONGEST_S)

    def test_later_close_does_not_lengthen_the_limit(self) -> None:
        self.limits.record_closed(ADDRESS, 10.0)
        self.limits.record_closed(ADDRESS, 20.0)
        self.assertEqual(self.limits.limit_s(ADDRESS), 10.0 - IDLE_MARGIN_S)

    def test_crash_does_not_end_the_reuse_of_connections(self) -> None:
        self.limits.record_closed(ADDRESS, 0.1)
        self.assertEqual(self.limits.limit_s(ADDRESS), DEFAULT_IDLE_S)


if __name__ == '__main__':
    unittest.main()
