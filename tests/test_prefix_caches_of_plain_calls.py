"""Show that calls without a prompt leave nothing behind in the caches."""

import unittest

from jackdawfield.decisions.caches import PrefixCaches
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId


class PlainCallsTest(unittest.TestCase):
    # Guards against memory that grows with each call of a plain service.
    def test_calls_without_tokens_are_not_kept(self) -> None:
        caches = PrefixCaches()
        server_id = ServerId('s')
        caches.set_server(server_id, 100)
        for n in range(1000):
            caches.record_use(server_id, ProgramId(f'c{n}'), 0)
        self.assertEqual(len(caches._tokens_by_server[server_id]), 0)


if __name__ == '__main__':
    unittest.main()
