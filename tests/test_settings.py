from pathlib import Path
import unittest

from result import Err
from result import Ok

from jackdawfield.settings import load_settings
from jackdawfield.settings import parse_settings
from jackdawfield.settings import split_address

EXAMPLES = Path(__file__).parent.parent / 'examples'
VALID_SETTINGS = (EXAMPLES / 'small-site.json').read_text()


class SettingsTest(unittest.TestCase):
    def error(self, old: str, new: str) -> str:
        self.assertIn(old, VALID_SETTINGS)
        result = parse_settings(VALID_SETTINGS.replace(old, new), 'entry.json')
        assert isinstance(result, Err)
        return str(result.err_value)

    def test_examples_are_valid(self) -> None:
        paths = sorted(EXAMPLES.glob('*.json'))
        self.assertTrue(paths)
        for path in paths:
            self.assertIsInstance(load_settings(path), Ok, path)

    def test_defaults_are_filled_in(self) -> None:
        settings = parse_settings(VALID_SETTINGS, 'x').unwrap()
        self.assertEqual(6.0, settings.lease.lease_s)

    def test_unknown_key_is_rejected_with_file_and_path(self) -> None:
        text = self.error('"table_url"', '"tabel_url": 1, "table_url"')
        self.assertIn('entry.json', text)
        self.assertIn('tabel_url', text)
        self.assertIn('$.platform', text)

    def test_wrong_values_are_rejected_with_path_and_expectation(self) -> None:
        cases = (
            ('"127.0.0.1:8080"', '"localhost:8080"', '$.caller_address'),
            ('"127.0.0.1:8080"', '8080', '$.caller_address'),
            ('"site-0"', '"Site 0"', '$.instance_id'),
            ('"replace-this-operator-token"', '"x"', '$.operator_token'),
        )
        for old, new, path in cases:
            text = self.error(old, new)
            self.assertIn(path, text)
            self.assertIn('Expected', text)

    def test_missing_key_and_malformed_text_are_rejected(self) -> None:
        self.assertIn('domain_id', self.error('"domain_id": "site",', ''))
        self.assertIn('entry.json', self.error('{', ''))

    def test_unreadable_file_is_rejected(self) -> None:
        result = load_settings(Path('/nonexistent/entry.json'))
        assert isinstance(result, Err)
        self.assertIn('/nonexistent/entry.json', str(result.err_value))

    def test_address_is_split_into_ip_address_and_port(self) -> None:
        self.assertEqual(('127.0.0.1', 80), split_address('127.0.0.1:80'))
        self.assertEqual(('::1', 80), split_address('[::1]:80'))
