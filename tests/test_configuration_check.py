"""Check the tool that operators run before they send a configuration."""

from contextlib import redirect_stderr
from contextlib import redirect_stdout
from copy import deepcopy
from io import StringIO
import json
from pathlib import Path
import tempfile
from typing import Any
import unittest

from jackdawfield.cmdline import main
from jackdawfield.commands.base import ExitCode

ROUTE = {
    'name': 'turns',
    'host': 'h.example',
    'prefix': '/turns/',
    'kind': 'streaming',
    'service': 'model',
    'timeoutMs': 3000,
    'targetLatencyMs': 300,
    'retainContext': True,
    'retentionS': 60,
}
TOOL = {
    'name': 'tool',
    'host': 'h.example',
    'prefix': '/tool/',
    'kind': 'unsafe',
    'service': 'ledger',
    'timeoutMs': 3000,
    'maxAttempts': 1,
}
CONFIGURATION: dict[str, Any] = {
    'version': 7,
    'routes': [ROUTE, TOOL],
    'services': [{'name': 'model'}, {'name': 'ledger'}],
    'tenants': [{'name': 'org', 'apiKeys': ['k1'], 'ratePerS': 9, 'burst': 3}],
}
SPLIT_TO_NOTHING = [
    {'service': 'model', 'weight': 1},
    {'service': 'ledger', 'weight': 0},
]
# Changes of the first route, of the second, and of the organisation, with
# what is found then.
FIRST_ROUTE = (
    ('error', {'service': None}, 'no service gets its requests'),
    ('error', {'service': 'gone'}, 'service gone is not defined'),
    ('error', {'prefix': 'turns/'}, 'never matches: no path begins so'),
    ('error', {'timeoutMs': 0, 'targetLatencyMs': 0}, 'timeout of 0 s'),
    ('error', {'targetLatencyMs': 4000}, 'target latency of 4 s is longer'),
    ('error', {'gapAimMs': 4000}, 'pause of 4 s between events is longer'),
    ('error', {'maxAttempts': 0}, 'no attempt is allowed'),
    ('error', {'retentionS': 0}, 'turns are kept for no time'),
    ('warning', {'retainContext': False}, 'retention without turns'),
    ('warning', {'public': True}, 'which an open route has not'),
    ('warning', {'trafficSplit': SPLIT_TO_NOTHING}, 'its weight is 0'),
)
SECOND_ROUTE = (
    ('error', {'prefix': '/turns/'}, 'hidden by route turns'),
    ('warning', {'maxAttempts': 2}, 'only if the first has not run'),
    ('warning', {'resumable': True}, 'only streams can be resumed'),
    ('warning', {'gapAimMs': 5}, 'only streams have pauses'),
    ('warning', {'retainContext': True, 'retentionS': 9}, 'turns to keep'),
    ('warning', {'service': 'model'}, 'no route leads to it'),
)
ORGANISATION = (
    ('error', {'ratePerS': -1}, 'rate -1/s with burst 3'),
    ('warning', {'ratePerS': 0}, 'burst of 3 without a rate'),
    ('warning', {'burst': 0.5}, 'burst of 0.5 is below one request'),
    ('warning', {'apiKeys': []}, 'can send nothing: it has no key'),
)


class ToolTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.proposed = deepcopy(CONFIGURATION)

    def write(self, name: str, configuration: object) -> str:
        path = self.folder / name
        path.write_text(json.dumps(configuration))
        return str(path)

    def check(self, *arguments: str) -> tuple[int, str]:
        path = self.write('proposed.json', self.proposed)
        return self.run_tool(path, *arguments)

    def run_tool(self, *arguments: str) -> tuple[int, str]:
        output, errors = StringIO(), StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            command = ('--json', 'configuration', 'check', *arguments)
            code = main(command)
        return code, output.getvalue() or errors.getvalue()


class CheckTest(ToolTest):
    def assert_found(self, severity: str, text: str) -> None:
        code, output = self.check()
        found = [row for row in json.loads(output) if text in row['finding']]
        self.assertEqual([severity], [row['result'] for row in found])
        is_error = severity == 'error'
        self.assertEqual(ExitCode.REFUSED if is_error else ExitCode.OK, code)

    def test_sound_configuration_has_no_findings(self) -> None:
        code, output = self.check()
        self.assertEqual((ExitCode.OK, []), (code, json.loads(output)))

    def test_each_problem_is_found(self) -> None:
        for index, cases in enumerate((FIRST_ROUTE, SECOND_ROUTE)):
            for severity, change, text in cases:
                with self.subTest(text):
                    self.proposed = deepcopy(CONFIGURATION)
                    self.proposed['routes'][index].update(change)
                    self.assert_found(severity, text)
        for severity, change, text in ORGANISATION:
            with self.subTest(text):
                self.proposed = deepcopy(CONFIGURATION)
                self.proposed['tenants'][0].update(change)
                self.assert_found(severity, text)

    def test_routes_open_for_lack_of_organisations_are_named(self) -> None:
        self.proposed['tenants'] = []
        self.proposed['routes'].pop()
        self.proposed['services'].pop()
        self.assert_found('warning', 'open to everybody')

    def test_names_and_keys_that_stand_twice_are_found(self) -> None:
        other = {'name': 'other', 'apiKeys': ['k1']}
        self.proposed['tenants'].append(other)
        self.assert_found('error', 'has a key of organisation org')
        for kind in ('services', 'tenants'):
            with self.subTest(kind):
                self.proposed = deepcopy(CONFIGURATION)
                entries = self.proposed[kind]
                entries.append({**entries[0], 'apiKeys': []})
                self.assert_found('error', 'is listed twice')

    def test_wrong_type_is_refused_with_its_field(self) -> None:
        self.proposed['routes'][1]['timeoutMs'] = 'long'
        code, output = self.check()
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn('$.routes[1].timeoutMs', output)

    def test_missing_file_is_wrong_usage(self) -> None:
        code, output = self.run_tool('/none.json')
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn('/none.json', output)


class AgainstTest(ToolTest):
    def changes(self) -> tuple[int, list[tuple[str, str, str]]]:
        current = self.write('current.json', CONFIGURATION)
        code, output = self.check('--against', current)
        rows = json.loads(output)
        return code, [tuple(row.values()) for row in rows]

    def test_changes_are_told_in_words(self) -> None:
        proposed = self.proposed
        proposed['version'] = 8
        proposed['routes'][0]['timeoutMs'] = 2500
        proposed['routes'][0]['service'] = None
        proposed['routes'][0]['trafficSplit'] = [
            {'service': 'model', 'weight': 9},
            {'service': 'ledger', 'weight': 1},
        ]
        proposed['routes'][1]['kind'] = 'safe'
        proposed['services'].append({'name': 'spare'})
        proposed['tenants'][0]['apiKeys'] = ['k2', 'k3']
        proposed['tenants'][0]['ratePerS'] = 4
        proposed['limits'] = {'maxBodyBytes': 100}
        code, rows = self.changes()
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(
            {
                ('warning', 'service spare', 'no route leads to it'),
                ('change', 'limits', 'body bytes: 4194304 becomes 100'),
                ('change', 'route turns', 'timeout s: 3 becomes 2.5'),
                (
                    'change',
                    'route turns',
                    'targets: model x 1 becomes model x 9, ledger x 1',
                ),
                (
                    'change',
                    'route tool',
                    'kind: at most once becomes idempotent',
                ),
                ('change', 'service spare', 'added'),
                ('change', 'organisation org', 'rate per s: 9 becomes 4'),
                (
                    'change',
                    'organisation org',
                    'keys: 2 added, 1 withdrawn',
                ),
            },
            set(rows),
        )

    def test_version_that_is_not_higher_is_an_error(self) -> None:
        code, rows = self.changes()
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertEqual(
            [('error', 'version', '7 is not above 7 in force')], rows
        )
