from enum import Enum
import json
import unittest

from jackdawfield import charts


class Light(Enum):
    OFF = 'off'
    ON = 'on'
    BROKEN = 'broken'


class Act(Enum):
    PRESS = 'press'
    BREAK = 'break'


def encode_chart(**changes: object) -> bytes:
    content = {
        'initial': 'off',
        'states': ['off', 'on', 'broken'],
        'events': ['press', 'break'],
        'final': ['broken'],
        'transitions': [
            {'from': ['off'], 'event': 'press', 'to': 'on'},
            {'from': ['on'], 'event': 'press', 'to': 'off'},
            {'from': ['on'], 'event': 'break', 'to': 'broken'},
        ],
    }
    return json.dumps(content | changes).encode()


class ChartTest(unittest.TestCase):
    def test_fires_transitions_and_rejects_other_events(self) -> None:
        chart = charts.parse(encode_chart(), Light, Act)
        self.assertEqual(Light.OFF, chart.initial)
        state = chart.fire(Light.OFF, Act.PRESS).unwrap()
        self.assertEqual(Light.ON, state)
        refused = chart.fire(Light.OFF, Act.BREAK).unwrap_err()
        self.assertEqual(charts.TransitionRefused('off', 'break'), refused)
        self.assertTrue(chart.is_final(Light.BROKEN))

    def test_rejects_files_that_are_not_valid(self) -> None:
        on_off = {'from': ['on'], 'event': 'press', 'to': 'off'}
        off_on = {'from': ['off'], 'event': 'press', 'to': 'on'}
        broken = {'from': ['on'], 'event': 'break', 'to': 'broken'}
        changes_by_fault: dict[str, dict[str, object]] = {
            'unknown field': {'extra': 1},
            'missing state': {'states': ['off', 'on']},
            'extra event': {'events': ['press', 'break', 'kick']},
            'unknown final state': {'final': ['gone']},
            'unused event': {'transitions': [off_on, on_off]},
            'duplicate transition': {'transitions': [off_on, off_on, broken]},
            'unreachable state': {'initial': 'broken'},
            'transition from final state': {
                'transitions': [off_on, {**broken, 'from': ['broken']}]
            },
            'no path to a final state': {
                'transitions': [off_on, {**broken, 'to': 'on'}],
            },
        }
        for name, change in changes_by_fault.items():
            with self.subTest(name):
                with self.assertRaises(charts.ChartError):
                    charts.parse(encode_chart(**change), Light, Act)
