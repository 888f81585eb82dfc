from contextlib import redirect_stderr
from contextlib import redirect_stdout
from io import StringIO
import json
from pathlib import Path
import unittest

from jackdawfield.cmdline import build_parser
from jackdawfield.cmdline import COMMANDS_BY_NAME
from jackdawfield.cmdline import load_command
from jackdawfield.cmdline import main
from jackdawfield.commands.base import ExitCode
from tests.fleet import DaemonProcess
from tests.fleet import Fleet
from tests.fleet import free_port
from tests.fleet import http
from tests.fleet import key
from tests.fleet import OPERATOR_TOKEN
from tests.fleet import Program
from tests.fleet import TEMPLATE

ROOT = Path(__file__).parent.parent


def run(*arguments: str) -> tuple[int, str, str]:
    output = StringIO()
    errors = StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        try:
            code = main(arguments)
        except SystemExit as stop:
            code = int(stop.code or 0)
    return code, output.getvalue(), errors.getvalue()


class TableTest(unittest.TestCase):
    def test_every_command_declares_its_name_and_summary(self) -> None:
        for full_name, target in COMMANDS_BY_NAME.items():
            command = load_command(target)
            self.assertTrue(full_name.endswith(command.name), full_name)
            self.assertTrue(command.summary, full_name)
        self.assertIn('exit codes', build_parser().format_help())

    def test_exit_codes_of_wrong_usage_and_unreachable_daemon(self) -> None:
        self.assertEqual(ExitCode.USAGE, run('keys')[0])
        url = f'http://127.0.0.1:{free_port()}'
        code, _, errors = run('--url', url, 'status')
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn('jackdawfield: ', errors)

    def test_settling_an_effect_requires_exactly_one_outcome(self) -> None:
        for flags in ((), ('--ran', '--not-run')):
            code, _, errors = run('effects', 'settle', 'effect', *flags)
            self.assertEqual(ExitCode.USAGE, code)
            self.assertIn('--not-run', errors)

    def test_check_reports_the_file(self) -> None:
        code, output, _ = run('check', str(ROOT / 'examples/entry.json'))
        self.assertEqual(ExitCode.OK, code)
        self.assertIn('ok', output)
        code, _, errors = run('check', str(ROOT / 'pyproject.toml'))
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn('pyproject.toml', errors)


class FleetCommandTest(unittest.TestCase):
    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.token = cls.fleet.directory / 'token'
        cls.token.write_text(OPERATOR_TOKEN)

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        daemon = self.fleet.first_daemon()
        return run(
            '--url',
            daemon.operator_url,
            '--token-file',
            str(self.token),
            *arguments,
        )

    def test_status_as_table_and_as_json(self) -> None:
        code, output, _ = self.run_command('status')
        self.assertEqual(ExitCode.OK, code)
        self.assertIn('lease_valid', output)
        _, output, _ = self.run_command('--json', 'status')
        fields = {row['field']: row['value'] for row in json.loads(output)}
        self.assertTrue(fields['lease_valid'])

    def test_wrong_token_is_forbidden(self) -> None:
        wrong = self.fleet.directory / 'wrong'
        wrong.write_text('wrong')
        daemon = self.fleet.first_daemon()
        code, _, _ = run(
            '--url', daemon.operator_url, '--token-file', str(wrong), 'status'
        )
        self.assertEqual(ExitCode.FORBIDDEN, code)

    def test_load_completes_a_trace(self) -> None:
        keys = self.fleet.directory / 'keys.json'
        names = ('sieves', 'shakers')
        keys.write_text(json.dumps({name: key(name) for name in names}))
        daemons = self.fleet.daemons_by_name.values()
        trace = ROOT / 'examples/load.jsonl'
        code, output, _ = self.run_command(
            'load',
            str(trace),
            '--keys',
            str(keys),
            '--caller-url',
            *(daemon.caller_url for daemon in daemons),
        )
        self.assertEqual(ExitCode.OK, code, output)
        self.assertIn('programs  40', output)

    def rows(self, *arguments: str) -> list[dict[str, object]]:
        code, output, errors = self.run_command('--json', *arguments)
        self.assertEqual(ExitCode.OK, code, errors)
        rows: list[dict[str, object]] = json.loads(output)
        return rows

    def begin(self, clear_key: str) -> int:
        daemons = list(self.fleet.daemons_by_name.values())
        return http(
            'POST',
            f'{daemons[-1].caller_url}/v1/programs',
            {'template': TEMPLATE},
            {'Authorization': f'Bearer {clear_key}'},
        ).status

    def test_key_is_valid_from_its_creation_to_its_revocation(self) -> None:
        given = self.rows('keys', 'give', 'sieves')[0]
        self.assertEqual('accepted', given['state'])
        clear_key = str(given['key, shown this once'])
        self.assertEqual(200, self.begin(clear_key))
        listed = self.run_command('keys', 'list')[1]
        self.assertIn(str(given['key id']), listed)
        self.assertNotIn(clear_key.split('_')[2], listed)
        withdrawn = self.rows('keys', 'withdraw', str(given['key id']))[0]
        self.assertEqual('accepted', withdrawn['state'])
        self.assertEqual(401, self.begin(clear_key))

    def test_change_on_an_old_version_is_rejected(self) -> None:
        arguments = ('templates', 'set', 'quotes', '--turn-limit', '5')
        limits = ('--budget-tokens', '100', '--deadline-s', '60')
        self.rows(*arguments, *limits)
        code, _, errors = self.run_command(
            *arguments, *limits, '--seen-version', '1'
        )
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn('another change came first', errors)
        names = [row['name'] for row in self.rows('templates', 'list')]
        self.assertIn('quotes', names)
        changes = [row['change'] for row in self.rows('history')]
        self.assertIn('PutTemplate', changes)

    def test_contract_and_parameters_are_set_and_listed(self) -> None:
        contract = ('--rate-per-s', '7.5', '--burst', '9')
        self.rows('organisations', 'set', 'looms', *contract)
        budget = ('--budget-tokens', '500', '--route', 'quote')
        self.rows('organisations', 'parameters', 'looms', TEMPLATE, *budget)
        self.rows('organisations', 'set', 'looms', *contract)
        listed = {
            row['organisation']: row
            for row in self.rows('organisations', 'list')
        }
        self.assertEqual(7.5, listed['looms']['rate/s'])
        self.assertEqual(TEMPLATE, listed['looms']['templates'])
        self.rows('organisations', 'remove', 'looms')
        self.assertNotIn('looms', str(self.rows('organisations', 'list')))

    def test_instances_servers_and_routes_are_listed(self) -> None:
        self.assertEqual(2, len(self.rows('instances')))
        self.assertEqual(2, len(self.rows('servers', 'list')))
        added = ('routes', 'set', 'hours', '--kind', 'service')
        self.rows(*added, '--pool', 'orders', '--open')
        routes = {row['name']: row for row in self.rows('routes', 'list')}
        self.assertTrue(routes['hours']['open'])
        self.assertFalse(routes['booking']['repeatable'])

    def test_program_is_listed_shown_and_ended_by_its_owner(self) -> None:
        daemons = list(self.fleet.daemons_by_name.values())
        program = Program(daemons[0])
        program.chat(daemons[0])
        shown = [
            (daemon, self.show(daemon, program.program_id))
            for daemon in daemons
        ]
        owners = [d for d, (code, _) in shown if code == ExitCode.OK]
        self.assertEqual(1, len(owners))
        for daemon, (code, errors) in shown:
            if daemon is not owners[0]:
                self.assertEqual(ExitCode.REFUSED, code)
                self.assertIn('not at home here', errors)
        url = ('--url', owners[0].operator_url)
        listed = self.run_command(*url, 'programs', 'list')[1]
        self.assertIn(program.program_id, listed)
        ended = self.run_command(*url, 'programs', 'end', program.program_id)
        self.assertEqual(ExitCode.OK, ended[0], ended[2])
        self.assertEqual(410, program.chat(daemons[0]).status)

    def show(self, daemon: DaemonProcess, program_id: str) -> tuple[int, str]:
        code, _, errors = self.run_command(
            '--url', daemon.operator_url, 'programs', 'show', program_id
        )
        return code, errors
