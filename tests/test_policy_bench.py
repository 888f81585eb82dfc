import unittest

from bench._scenarios import Scenario
from bench._scenarios import simulate
from bench._scenarios import Summary
from bench._variants import ABLATIONS_BY_NAME
from bench._workload import Load
from bench._workload import TAMICES


def simulate_flood(name: str) -> Summary:
    load = Load(0.6, 90.0, flood_level=5.0)
    scenario = Scenario('flood', load, lambda fleet: None, is_flooded=True)
    return simulate(TAMICES, scenario, ABLATIONS_BY_NAME[name], seed=7)


class PolicyBenchTest(unittest.TestCase):
    def test_same_seed_gives_same_figures(self) -> None:
        self.assertEqual(simulate_flood('all'), simulate_flood('all'))

    def test_flood_slows_others_more_without_fairness(self) -> None:
        fair = simulate_flood('all').worst_slowdown()
        unfair = simulate_flood('no fairness').worst_slowdown()
        self.assertLess(fair, 0.8 * unfair)
