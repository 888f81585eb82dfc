"""Tests on real daemons that engines free what finished programs hold."""

from dataclasses import replace
import unittest

from jackdawfield.decisions.placement import choose_owner
from tests.fleet import configuration
from tests.fleet import Fleet
from tests.fleet import Program
from tests.fleet import TEMPLATE
from tests.fleet import wait_for

LIMIT_S = 40.0


class ReleasesPathTest(unittest.TestCase):
    def fleet_with(self, deadline_s, sweep_s):
        value = configuration()
        template = replace(
            value.templates_by_name[TEMPLATE], deadline_s=deadline_s
        )
        value = replace(value, templates_by_name={TEMPLATE: template})
        fleet = Fleet(
            configuration_value=value,
            settings={'limits': {'sweep_s': sweep_s}},
        )
        self.addCleanup(fleet.close)
        return fleet

    def chat(self, program, daemon):
        wait_for(lambda: program.chat(daemon, number=1).status == 200)

    def held(self, fleet):
        return fleet.engines[0].get('/cache')['held']

    def unconfirmed(self, fleet):
        return any(
            'event=released' in line and 'confirmed=False' in line
            for daemon in fleet.daemons_by_name.values()
            for line in daemon.log_text().splitlines()
        )

    def test_release_is_repeated_until_the_engine_confirms(self):
        fleet = self.fleet_with(deadline_s=600.0, sweep_s=600.0)
        daemon = fleet.any_daemon()
        program, other = Program(daemon), Program(daemon)
        self.chat(program, daemon)
        self.chat(other, daemon)
        fleet.engines[0].faults(down=True)
        self.assertEqual(200, program.end(daemon).status)
        wait_for(lambda: self.unconfirmed(fleet))
        fleet.engines[0].faults(down=False)
        wait_for(lambda: list(self.held(fleet)) == [other.program_id], LIMIT_S)

    def test_sweep_frees_what_a_killed_home_left(self):
        fleet = self.fleet_with(deadline_s=4.0, sweep_s=0.5)
        daemons = list(fleet.daemons_by_name.values())
        program = Program(daemons[0])
        self.chat(program, daemons[0])
        self.assertEqual([program.program_id], list(self.held(fleet)))
        key = f'program:{program.program_id}'
        home = fleet.daemons_by_name[choose_owner(key, fleet.daemons_by_name)]
        assert home.process is not None
        home.process.kill()
        wait_for(lambda: not self.held(fleet), LIMIT_S)
