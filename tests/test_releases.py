"""Test that servers release the memory of finished programs."""

import unittest

from jackdawfield.decisions.programs import EndReason
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.releases import CheckPrograms
from jackdawfield.decisions.releases import HeldReported
from jackdawfield.decisions.releases import is_finished
from jackdawfield.decisions.releases import ProgramEnded
from jackdawfield.decisions.releases import ProgramsChecked
from jackdawfield.decisions.releases import Release
from jackdawfield.decisions.releases import ReleaseAnswered
from jackdawfield.decisions.releases import Releases
from jackdawfield.decisions.releases import TimePassed
from jackdawfield.model import Template

NONE = frozenset()
HELD = frozenset({'p'})


class ReleasesTest(unittest.TestCase):
    def setUp(self):
        self.releases = Releases(grace_s=10.0)

    def test_release_is_repeated_with_backoff_until_confirmed(self):
        order = Release('s', ('p',))
        ended = ProgramEnded('p', ('s',), 0.0)
        self.assertEqual((order,), self.releases.on(ended))
        sent_s = [
            now_s / 10
            for now_s in range(1, 100)
            if self.releases.on(TimePassed(now_s / 10))
        ]
        self.assertEqual([0.5, 1.5, 3.5, 7.5], sent_s)
        self.releases.on(ReleaseAnswered('s', ('p',), False, 10.0))
        self.assertEqual((order,), self.releases.on(TimePassed(60.0)))
        self.releases.on(ReleaseAnswered('s', ('p',), True, 60.0))
        self.assertEqual((), self.releases.on(TimePassed(999.0)))
        self.assertEqual(0, self.releases.unconfirmed_count)

    def test_new_program_is_not_checked_before_the_grace_age(self):
        for now_s in (0.0, 5.0, 9.9):
            report = HeldReported('s', HELD, now_s)
            self.assertEqual((), self.releases.on(report))
        self.assertEqual(
            (CheckPrograms('s', ('p',)),),
            self.releases.on(HeldReported('s', HELD, 10.0)),
        )

    def test_checks_follow_the_doubling_age(self):
        checks_s = []
        for now_s in range(100):
            if self.releases.on(HeldReported('s', HELD, float(now_s))):
                checks_s.append(now_s)
                self.releases.on(
                    ProgramsChecked('s', HELD, NONE, float(now_s))
                )
        self.assertEqual([10, 20, 40, 80], checks_s)

    def test_memory_left_after_a_crash_is_released(self):
        self.releases.on(HeldReported('s', HELD, 0.0))
        self.releases.on(HeldReported('s', HELD, 10.0))
        checked = ProgramsChecked('s', NONE, HELD, 10.0)
        self.assertEqual((Release('s', ('p',)),), self.releases.on(checked))

    def test_age_restarts_when_a_program_is_reported_again(self):
        self.releases.on(HeldReported('s', HELD, 0.0))
        self.releases.on(HeldReported('s', NONE, 9.0))
        back = HeldReported('s', HELD, 11.0)
        self.assertEqual((), self.releases.on(back))

    def test_state_of_a_removed_server_is_dropped(self):
        self.releases.on(ProgramEnded('p', ('s',), 0.0))
        self.releases.retain_servers(frozenset())
        self.assertEqual((), self.releases.on(TimePassed(99.0)))


class GoneTest(unittest.TestCase):
    def test_absent_ended_and_overdue_programs_are_finished(self):
        templates = {'t': Template('t', 1, 1, 60.0)}
        running = ProgramRow('p', 'o', 't', 1, 'i', 100.0)
        ended = ProgramRow(
            'p', 'o', 't', 1, 'i', 100.0, end_reason=EndReason.REQUESTED
        )
        self.assertTrue(is_finished(None, templates, 110.0))
        self.assertTrue(is_finished(ended, templates, 110.0))
        self.assertFalse(is_finished(running, templates, 110.0))
        self.assertTrue(is_finished(running, templates, 160.0))
        self.assertFalse(is_finished(running, {}, 999.0))
