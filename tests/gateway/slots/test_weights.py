"""Test the weights of organisations that compete for slots."""

import unittest
from unittest import mock

from jackdawfield.gateway.model import Organisation
from jackdawfield.gateway.slots.weights import OrganisationWeights
from jackdawfield.model import OrganisationId

SMALL = OrganisationId('small')
LARGE = OrganisationId('large')
FREE = OrganisationId('free')


def make_configuration(rates: dict[OrganisationId, float]) -> mock.Mock:
    organisations = {
        name: Organisation(name, None, rate, rate)
        for name, rate in rates.items()
    }
    return mock.Mock(organisations_by_id=organisations)


class WeightsTest(unittest.TestCase):
    def test_weight_is_the_rate_or_the_mean_of_the_rates(self) -> None:
        weights = OrganisationWeights()
        rates = {SMALL: 2.0, LARGE: 8.0, FREE: 0.0}
        configuration = make_configuration(rates)
        self.assertEqual(weights.weight_of(SMALL, configuration), 2.0)
        self.assertEqual(weights.weight_of(LARGE, configuration), 8.0)
        self.assertEqual(weights.weight_of(FREE, configuration), 5.0)
        self.assertEqual(weights.weight_of(None, configuration), 5.0)

    def test_weights_follow_the_configuration(self) -> None:
        weights = OrganisationWeights()
        self.assertEqual(weights.weight_of(FREE, None), 1.0)
        before = make_configuration({SMALL: 2.0, FREE: 0.0})
        after = make_configuration({SMALL: 4.0, FREE: 0.0})
        self.assertEqual(weights.weight_of(FREE, before), 2.0)
        self.assertEqual(weights.weight_of(FREE, after), 4.0)
        without = make_configuration({FREE: 0.0})
        self.assertEqual(weights.weight_of(FREE, without), 1.0)
