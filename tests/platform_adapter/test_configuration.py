import json
import unittest

from result import Err

from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.routes import choose_service
from jackdawfield.gateway.routes import find_route
from jackdawfield.platform.configuration import decode_configuration
from jackdawfield.platform.configuration import decode_server


def route(name: str, prefix: str, **more: object) -> dict[str, object]:
    return {
        'name': name,
        'host': 'Host.example',
        'prefix': prefix,
        'kind': 'streaming',
        'timeoutMs': 4000,
        'service': 's1',
        **more,
    }


CONFIGURATION = {
    'version': 7,
    'routes': [
        route('short', '/a/'),
        route('long', '/a/b/', kind='safe', public=True),
        route(
            'split',
            '/c/',
            service=None,
            trafficSplit=[
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
        ),
    ],
    'services': [
        {
            'name': 's1',
            'healthPath': '/health',
            'maxConns': 160,
            'engine': {'slots': 16, 'kvCapacity': 1000, 'chunkTokens': 11},
        }
    ],
    'tenants': [
        {'name': 't', 'apiKeys': ['k1', 'k2'], 'ratePerS': 98, 'burst': 98}
    ],
}

SERVER = {
    'service': 's1',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'slots': 16,
    'state': 'ready',
    'callSeq': 4,
}


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        data = json.dumps(CONFIGURATION).encode()
        self.configuration = decode_configuration(data).unwrap()

    def test_route_has_the_longest_matching_prefix(self) -> None:
        for host, target, name in (
            ('host.example', '/a/x', 'short'),
            ('host.example', '/a/b/x?q=/c/', 'long'),
            ('host.example', '/a', None),
            ('host.example', '/d/?/a/', None),
            ('other.example', '/a/x', None),
        ):
            found = find_route(self.configuration, host, target)
            self.assertEqual(found.name if found else None, name)

    def test_requests_are_split_by_weight(self) -> None:
        found = find_route(self.configuration, 'host.example', '/c/')
        assert found is not None
        chosen = [choose_service(found, str(n)) for n in range(2000)]
        self.assertAlmostEqual(chosen.count('s2') / 2000, 0.1, delta=0.03)

    def test_kind_open_route_and_keys(self) -> None:
        long = find_route(self.configuration, 'host.example', '/a/b/')
        assert long is not None
        self.assertIs(long.kind, CallKind.IDEMPOTENT)
        self.assertTrue(long.is_open)
        keys = self.configuration.organisation_ids_by_key
        self.assertEqual(keys, {'k1': 't', 'k2': 't'})

    def test_unreadable_configuration_is_an_error(self) -> None:
        for data in (b'{', b'{"version": "x"}', b'\xff'):
            self.assertIsInstance(decode_configuration(data), Err)

    def test_malformed_server_row_is_an_error(self) -> None:
        good = decode_server('i', json.dumps(SERVER).encode())
        self.assertEqual(good.unwrap().address, '10.128.0.9:8080')
        for change in (
            {'state': 'asleep'},
            {'slots': '16'},
            {'address': 'nowhere'},
            {'zone': None},
        ):
            data = json.dumps({**SERVER, **change}).encode()
            self.assertIsInstance(decode_server('i', data), Err)
        self.assertIsInstance(decode_server('i', b'\x00'), Err)
