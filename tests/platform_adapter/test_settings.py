import json
from pathlib import Path
import tempfile
import unittest

from result import Err

from jackdawfield.platform.settings import decode_settings
from jackdawfield.platform.settings import read_settings

SETTINGS = {
    'node': 'front-a-1',
    'ip': '10.1.0.11',
    'zone': 'a',
    'region': 'r',
    'zones': {'a': 'r', 'b': 's'},
    'listen': {'front': '10.1.0.11:8368', 'ready': '10.1.0.11:8369'},
    'internalPorts': [7780, 7795],
    'limits': {'memoryMb': 170, 'maxFds': 8200},
    'bounds': {'drainMs': 2500, 'graceS': 8, 'quotaSlack': 20},
    'platform': {'address': '10.200.1.7:8362', 'rowBytes': 65536},
    'newField': {'ignored': True},
}


class SettingsTest(unittest.TestCase):
    def test_decodes_the_settings_of_an_instance(self) -> None:
        settings = decode_settings(json.dumps(SETTINGS))
        self.assertEqual(settings.instance_id, 'front-a-1')
        self.assertEqual(settings.caller_port, 8368)
        self.assertEqual(settings.store_port, 8362)
        self.assertEqual(settings.regions_by_domain['b'], 's')
        self.assertEqual(settings.bounds.grace_s, 8)
        self.assertEqual(settings.max_descriptors, 8200)
        self.assertEqual(settings.row_bytes, 65536)

    def test_servers_are_pooled_only_under_the_contract_for_it(self) -> None:
        alone = decode_settings(json.dumps(SETTINGS))
        pooling = {**SETTINGS, 'contracts': ['base', 'pool']}
        together = decode_settings(json.dumps(pooling))
        self.assertFalse(alone.pools_servers)
        self.assertTrue(together.pools_servers)

    def test_slots_are_granted_under_pressure_or_as_operators_say(
        self,
    ) -> None:
        for contracts, choice, expected in (
            (['pool'], None, False),
            (['pool'], True, True),
            (['pool', 'pressure'], None, True),
            (['pool', 'pressure'], False, False),
        ):
            with self.subTest(contracts=contracts, choice=choice):
                wire = {**SETTINGS, 'contracts': contracts}
                if choice is not None:
                    wire['grantSlots'] = choice
                settings = decode_settings(json.dumps(wire))
                self.assertIs(settings.grants_slots, expected)

    def test_error_of_invalid_settings_names_the_file(self) -> None:
        for change in ({'node': 1}, {'platform': {'address': 'none'}}):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'boot.json'
                path.write_text(json.dumps({**SETTINGS, **change}))
                outcome = read_settings(path)
                assert isinstance(outcome, Err)
                self.assertIn('boot.json', str(outcome.err_value))

    def test_missing_file_is_an_error(self) -> None:
        self.assertIsInstance(read_settings(Path('/none/boot.json')), Err)
