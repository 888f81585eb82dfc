"""Test what an instance concludes about its own paths to the servers.

The pattern: an instance loses its paths to some or all servers, for seconds
or a moment, while servers end, are full or fall silent.
"""

import itertools
import unittest

from jackdawfield.gateway.servers.reachability import Path
from jackdawfield.gateway.servers.reachability import Reachability
from jackdawfield.gateway.servers.reachability import SILENCE_S

A = ('a', 1)
B = ('b', 1)
C = ('c', 1)


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = Reachability()
        self.reachability.record_heard(A, 1.0)

    def test_two_silent_servers_are_a_cut(self) -> None:
        self.assertFalse(self.reachability.record_silent(A, 2.0, 2.4))
        self.assertTrue(self.reachability.record_silent(B, 2.1, 2.5))
        self.assertEqual(self.reachability.cut_since_s, 2.5)
        for address in (A, B, C):
            self.assertIs(self.reachability.path(address), Path.PEER)

    def test_one_silent_server_is_no_cut(self) -> None:
        for number in range(9):
            at_s = 2.0 + number
            self.reachability.record_silent(A, at_s, at_s + 0.4)
        self.assertIs(self.reachability.path(A), Path.DIRECT)

    def test_silent_servers_are_no_cut_while_another_is_heard(self) -> None:
        self.reachability.record_silent(A, 2.0, 2.4)
        self.reachability.record_heard(C, 2.45)
        self.reachability.record_silent(B, 2.1, 2.5)
        self.assertIsNone(self.reachability.cut_since_s)

    def test_one_byte_ends_a_cut(self) -> None:
        self.reachability.record_silent(A, 2.0, 2.4)
        self.reachability.record_silent(B, 2.1, 2.5)
        self.assertTrue(self.reachability.record_heard(C, 3.0))
        for address in (A, B, C):
            self.assertIs(self.reachability.path(address), Path.DIRECT)

    def test_refused_path_keeps_its_open_connections(self) -> None:
        self.reachability.record_reached_by_peer(A, is_refused_here=True)
        self.assertIs(self.reachability.path(A), Path.KEPT)
        # Bytes on an open connection say nothing about new ones.
        self.reachability.record_heard(A, 3.0)
        self.assertIs(self.reachability.path(A), Path.KEPT)
        self.reachability.record_connected(A, 4.0)
        self.assertIs(self.reachability.path(A), Path.DIRECT)

    def test_lost_paths_are_tried_in_turn(self) -> None:
        for address in (A, B):
            self.reachability.record_reached_by_peer(address, True)
        tried = [self.reachability.next_trial((A, B, C), n) for n in range(4)]
        self.assertEqual(tried, [A, B, A, B])
        self.reachability.record_connected(A, 5.0)
        self.assertEqual(self.reachability.next_trial((A, B, C), 6.0), B)
        # A server that is listed no more is forgotten.
        self.assertIsNone(self.reachability.next_trial((A, C), 7.0))

    def test_cut_instance_tries_all_servers(self) -> None:
        self.reachability.record_silent(A, 2.0, 2.4)
        self.reachability.record_silent(B, 2.1, 2.5)
        tried = {self.reachability.next_trial((A, B, C), n) for n in range(3)}
        self.assertEqual(tried, {A, B, C})

    def test_idle_instance_is_silent_and_not_cut(self) -> None:
        self.assertFalse(self.reachability.is_silent(1.0 + SILENCE_S / 2))
        self.assertTrue(self.reachability.is_silent(1.0 + SILENCE_S))
        self.assertIs(self.reachability.path(A), Path.DIRECT)

    def test_all_short_histories_are_judged_by_their_evidence(self) -> None:
        """Search all orders of six events against plain definitions."""
        kinds = ('heard', 'connected', 'silent', 'peer')
        events = [(kind, who) for kind in kinds for who in (A, B)]
        for history in itertools.product(events, repeat=6):
            reachability = Reachability()
            for number, (kind, who) in enumerate(history):
                now_s = float(number)
                match kind:
                    case 'heard':
                        reachability.record_heard(who, now_s)
                    case 'connected':
                        reachability.record_connected(who, now_s)
                    case 'silent':
                        reachability.record_silent(who, now_s, now_s)
                    case 'peer':
                        reachability.record_reached_by_peer(who, False)
            self.assert_evidence(reachability, history)

    def assert_evidence(
        self,
        reachability: Reachability,
        history: tuple[tuple[str, tuple[str, int]], ...],
    ) -> None:
        silent: set[tuple[str, int]] = set()
        proven: set[tuple[str, int]] = set()
        for kind, who in history:
            match kind:
                case 'silent':
                    silent.add(who)
                case 'peer':
                    proven.add(who)
                case _:
                    # A sign of any server ends a cut and its lost paths.
                    proven -= {A, B} if len(silent) == 2 else {who}
                    silent.clear()
        is_cut = len(silent) == 2
        if (reachability.cut_since_s is not None) != is_cut:
            self.fail(f'cut is wrong after {history}')
        for who in (A, B):
            is_lost = is_cut or who in proven
            if (reachability.path(who) is not Path.DIRECT) != is_lost:
                self.fail(f'path to {who} is wrong after {history}')
