"""Test when calls are kept from servers, and what that costs the others."""

from dataclasses import replace
import time
import unittest
from unittest.mock import patch

from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.servers.endings import EndedServers
from jackdawfield.gateway.servers.guard import CallGuard
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.request_digest import digest_of
from jackdawfield.messages.fleet_quarantine import RequestDigest
from jackdawfield.messages.fleet_quarantine import ServerStart
from jackdawfield.model import OrganisationId
from jackdawfield.model import ServerId
from tests.gateway.servers.paths import lone_paths
from tests.gateway.servers.test_dispatch import make_call
from tests.gateway.servers.test_failures import server_list


def call_of(request_id: str, body: bytes = b'same') -> Call:
    call = make_call(CallKind.IDEMPOTENT)
    return replace(call, request_id=request_id, body=body)


class DigestTest(unittest.TestCase):
    def test_digest_depends_on_sender_target_and_body_only(self) -> None:
        call = call_of('a')
        headers = replace(call.headers, session_id='s', program_id=None)
        same = replace(call_of('b'), headers=headers)
        self.assertEqual(digest_of(call), digest_of(same))
        others = (
            replace(call, organisation_id=OrganisationId('o')),
            replace(call, method='GET'),
            replace(call, target='/p2'),
            replace(call, body=b'other'),
            replace(call, target='/', body=b'psame'),
        )
        digests = {digest_of(other) for other in others}
        self.assertEqual(len(digests | {digest_of(call)}), len(others) + 1)


class GuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()
        self.servers = server_list(3)
        ended = EndedServers(
            self.servers,
            lone_paths(self.servers, ConnectionPool()),
            self.quarantine,
            lambda: None,
        )
        self.guard = CallGuard(self.quarantine, ended)

    def end_servers(self, call: Call, count: int) -> None:
        now_s = time.monotonic()
        for number in range(count):
            self.quarantine.record_ending(
                ServerStart(ServerId(f'gone-{number}'), 1),
                {
                    digest_of(call): False,
                    RequestDigest(b'beside %d' % number): False,
                },
                now_s - 10.0 + number,
            )

    def test_nothing_is_hashed_while_nothing_is_suspected(self) -> None:
        call = call_of('a')
        with patch('jackdawfield.gateway.servers.guard.digest_of') as hashed:
            self.assertIsNone(self.guard.check(call))
            self.guard.begin(call)
            self.guard.record_whole(call)
            self.guard.end(call)
        hashed.assert_not_called()

    def test_quarantined_request_is_refused_as_not_run(self) -> None:
        self.end_servers(call_of('a'), 3)
        refusal = self.guard.check(call_of('b'))
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.status, 503)
        self.assertGreater(refusal.retry_after_s or 0.0, 0.0)
        self.assertIsNone(self.guard.check(call_of('c', b'another')))

    def test_suspect_runs_at_one_server_at_a_time(self) -> None:
        self.end_servers(call_of('a'), 2)
        first, second = call_of('b'), call_of('c')
        self.assertIsNone(self.guard.check(first))
        self.guard.begin(first)
        self.assertIsNone(self.guard.check(first))
        self.assertIsNotNone(self.guard.check(second))
        self.guard.end(first)
        self.assertIsNone(self.guard.check(second))

    def test_call_is_not_sent_to_a_third_server_after_two_ended(self) -> None:
        call = call_of('a')
        self.assertTrue(self.guard.may_send_again(call))
        self.end_servers(call, 1)
        self.assertTrue(self.guard.may_send_again(call))
        self.end_servers(call, 2)
        self.assertFalse(self.guard.may_send_again(call))

    def test_server_that_ended_is_not_chosen(self) -> None:
        state = self.servers.by_id[ServerId('s0')]
        now_s = time.monotonic()
        self.servers.mark_ended(ServerId('s0'), 6, now_s)
        self.assertEqual(state.absent_until_s, 0.0)
        self.servers.mark_ended(ServerId('s0'), 7, now_s)
        self.assertGreater(state.absent_until_s, now_s)


if __name__ == '__main__':
    unittest.main()
