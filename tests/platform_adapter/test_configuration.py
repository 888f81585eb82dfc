import json
import random
import unittest

from result import Err
from result import Ok

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

    # Guards against a row that ends the follower of the servers, or names a
    # server to which no connection can be opened.
    def test_odd_server_row_is_an_error(self) -> None:
        huge = int('9' * 400)
        for change in (
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1:-1'},
            {'address': '10.0.0.1:99999'},
            {'address': f'10.0.0.1:{"9" * 5000}'},
            {'address': ':8080'},
            {'address': '10.0.0.1\0:8080'},
            {'address': '10.0.0.1\r\nX: y:8080'},
            {'address': f'{"a" * 70}.example:8080'},
            {'address': 'h\u00f6st:8080'},
            {'slots': 0},
            {'slots': -5},
            {'slots': huge},
            {'born': -1},
            {'born': huge},
            {'born': 10**30},
        ):
            data = json.dumps({**SERVER, **change}).encode()
            with self.subTest(change=str(change)[:60]):
                self.assertIsInstance(decode_server('i', data), Err)
        good = json.dumps(SERVER).encode()
        for key in ('', 'a\r\nb', 'a\u0100', 'a b'):
            self.assertIsInstance(decode_server(key, good), Err)
        for nesting in ('[', '{"a":'):
            self.assertIsInstance(
                decode_server('i', nesting.encode() * 200_000), Err
            )
            nested = json.dumps(SERVER)[:-1] + ', "x": ' + nesting * 200_000
            self.assertIsInstance(decode_server('i', nested.encode()), Err)

    def test_random_bytes_and_values_are_errors_or_usable(self) -> None:
        drawn = random.Random(1)
        values = ['', 'x', None, [], {}, 0, -1, 1e300, True, '1.1.1.1:1']
        for _ in range(3000):
            wire: dict[str, object] = dict(SERVER)
            for name in drawn.sample(sorted(wire), 2):
                wire[name] = drawn.choice(values)
            data = json.dumps(wire).encode()
            if drawn.random() < 0.3:
                place = drawn.randrange(len(data))
                data = data[:place] + drawn.randbytes(2) + data[place + 1 :]
            decoded = decode_server('i', data)
            if isinstance(decoded, Ok):
                entry = decoded.ok_value
                self.assertTrue(0 < entry.port <= 65535 and entry.slots > 0)
                entry.host.encode('idna')
