"""Test on real daemons that finished programs are released on engines."""

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
    def start_fleet(self, deadline_s, sweep_s):
        configuration_value = configuration()
        template = replace(
            configuration_value.templates_by_name[TEMPLATE],
            deadline_s=deadline_s,
        )
        configuration_value = replace(
            configuration_value, templates_by_name={TEMPLATE: template}
        )
        fleet = Fleet(
            configuration_value=configuration_value,
            settings={'limits': {'sweep_s': sweep_s}},
        )
        self.addCleanup(fleet.close)
        return fleet

    def chat(self, program, daemon):
        wait_for(lambda: program.chat(daemon, number=1).status == 200)

    def held_programs(self, fleet):
        return fleet.engines[0].get('/cache')['held']

    def has_unconfirmed_release(self, fleet):
        return any(
            'event=released' in line and 'confirmed=False' in line
            for daemon in fleet.daemons_by_name.values()
            for line in daemon.log_text().splitlines()
        )

    def test_release_is_repeated_until_the_engine_confirms(self):
        fleet = self.start_fleet(deadline_s=600.0, sweep_s=600.0)
        daemon = fleet.first_daemon()
        program, other = Program(daemon), Program(daemon)
        self.chat(program, daemon)
        self.chat(other, daemon)
        fleet.engines[0].set_faults(down=True)
        self.assertEqual(200, program.end(daemon).status)
        wait_for(lambda: self.has_unconfirmed_release(fleet))
        fleet.engines[0].set_faults(down=False)
        wait_for(
            lambda: list(self.held_programs(fleet)) == [other.program_id],
            LIMIT_S,
        )

    def test_sweep_releases_programs_of_a_killed_home(self):
        fleet = self.start_fleet(deadline_s=4.0, sweep_s=0.5)
        daemons = list(fleet.daemons_by_name.values())
        program = Program(daemons[0])
        self.chat(program, daemons[0])
        self.assertEqual([program.program_id], list(self.held_programs(fleet)))
        key = f'program:{program.program_id}'
        home = fleet.daemons_by_name[choose_owner(key, fleet.daemons_by_name)]
        assert home.process is not None
        home.process.kill()
        wait_for(lambda: not self.held_programs(fleet), LIMIT_S)
