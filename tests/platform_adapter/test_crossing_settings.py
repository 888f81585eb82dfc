import json
import unittest

import msgspec

from jackdawfield.decisions.gateway_spill import GATEWAY_SPILL
from jackdawfield.decisions.spill_settings import SpillSettings
from jackdawfield.platform.settings import decode_settings
from tests.platform_adapter.test_settings import SETTINGS


def decode(crossing: dict[str, object]) -> SpillSettings:
    settings = {**SETTINGS, 'crossing': crossing}
    return decode_settings(json.dumps(settings)).spill


class CrossingTest(unittest.TestCase):
    def test_settings_without_prices_have_the_defaults(self) -> None:
        self.assertEqual(GATEWAY_SPILL, decode({}))
        without = decode_settings(json.dumps(SETTINGS))
        self.assertEqual(GATEWAY_SPILL, without.spill)

    def test_prices_and_link_are_read(self) -> None:
        spill = decode(
            {
                'domainCallS': 0.01,
                'domainMegabyteS': 0.02,
                'regionCallS': 0.3,
                'regionMegabyteS': 0.4,
                'regionLinkMbps': 30,
            }
        )
        self.assertEqual(0.01, spill.domain_price.call_s)
        self.assertEqual(0.02, spill.domain_price.megabyte_s)
        self.assertEqual(0.3, spill.region_price.call_s)
        self.assertEqual(0.4, spill.region_price.megabyte_s)
        self.assertEqual(3_750_000, spill.link.bytes_per_s)

    def test_negative_price_is_refused_with_its_field(self) -> None:
        for field in ('regionCallS', 'domainMegabyteS', 'regionLinkMbps'):
            with self.assertRaisesRegex(msgspec.ValidationError, field):
                decode({field: -1})
