"""Parse the operators' command line and run the named command."""

import argparse
from collections.abc import Sequence
from importlib import import_module
import os
from pathlib import Path
import sys

from result import Err
from result import Ok

from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import ExitCode
from jackdawfield.commands.client import CommandError
from jackdawfield.commands.client import CommandFault
from jackdawfield.commands.client import OperatorClient

COMMANDS_BY_NAME = {
    'check': 'local:Check',
    'configuration check': 'configuration:CheckConfiguration',
    'effects list': 'fleet:Effects',
    'effects settle': 'fleet:SettleEffect',
    'explain': 'explain:Explain',
    'history': 'changes:History',
    'instances': 'fleet:Instances',
    'keys give': 'keys:GiveKeyCommand',
    'keys list': 'keys:ListKeys',
    'keys withdraw': 'keys:WithdrawKeyCommand',
    'load': 'load:Load',
    'organisations list': 'organisations:ListOrganisations',
    'organisations parameters': 'organisations:SetParametersCommand',
    'organisations remove': 'organisations:RemoveOrganisationCommand',
    'organisations set': 'organisations:SetOrganisation',
    'programs end': 'fleet:EndProgramCommand',
    'programs list': 'fleet:Programs',
    'programs show': 'fleet:ShowProgram',
    'quarantine lift': 'quarantine:LiftQuarantine',
    'quarantine list': 'quarantine:Quarantined',
    'report burn': 'report:Burn',
    'replay': 'local:Replay',
    'routes list': 'templates:ListRoutes',
    'routes set': 'templates:SetRoute',
    'servers drain': 'fleet:DrainServer',
    'servers list': 'fleet:Servers',
    'status': 'fleet:Status',
    'templates list': 'templates:ListTemplates',
    'templates set': 'templates:SetTemplate',
}
URL_VARIABLE = 'JACKDAWFIELD_URL'
TOKEN_FILE_VARIABLE = 'JACKDAWFIELD_TOKEN_FILE'
EPILOG = """exit codes: 0 done; 1 refused; 2 wrong usage; 3 daemon not
reached; 4 operator token refused; 5 committed, not yet in force everywhere"""
EXIT_CODES_BY_FAULT = {
    CommandFault.REFUSED: ExitCode.REFUSED,
    CommandFault.USAGE: ExitCode.USAGE,
    CommandFault.UNREACHABLE: ExitCode.UNREACHABLE,
    CommandFault.FORBIDDEN: ExitCode.FORBIDDEN,
}


def load_command(target: str) -> Command:
    """Return the command of a target, MODULE:CLASS, of the table."""
    module, _, name = target.partition(':')
    command_class = getattr(
        import_module(f'jackdawfield.commands.{module}'), name
    )
    command: Command = command_class()
    return command


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='jackdawfield',
        description='Operates a fleet of jackdawfield instances.',
        epilog=EPILOG,
    )
    parser.add_argument(
        '--url',
        default=os.environ.get(URL_VARIABLE, 'http://127.0.0.1:9090'),
        help=f'operators\' address of a daemon (or {URL_VARIABLE})',
    )
    parser.add_argument(
        '--token-file',
        type=Path,
        default=os.environ.get(TOKEN_FILE_VARIABLE),
        help=f'file with the operators\' token (or {TOKEN_FILE_VARIABLE})',
    )
    parser.add_argument(
        '--operator',
        default=os.environ.get('USER', 'operator'),
        help='name that the history shows',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    add_commands(parser)
    return parser


def add_commands(parser: argparse.ArgumentParser) -> None:
    """Add every command of the table, in its group if it has one."""
    top = parser.add_subparsers(
        required=True, metavar='COMMAND', title='commands'
    )
    parsers_by_group = {}
    for full_name, target in COMMANDS_BY_NAME.items():
        command = load_command(target)
        group, _, _ = full_name.rpartition(' ')
        parent = top
        if group:
            if group not in parsers_by_group:
                summary = f'show and change {group}'
                group_parser = top.add_parser(group, help=summary)
                parsers_by_group[group] = group_parser.add_subparsers(
                    required=True, metavar='COMMAND', title='commands'
                )
            parent = parsers_by_group[group]
        child = parent.add_parser(
            command.name, help=command.summary, description=command.summary
        )
        for argument in command.arguments:
            argument.add_to(child)
        child.set_defaults(command=command)


def read_token(path: Path | None) -> str:
    """Return the operators' token of a file, empty without a path."""
    if path is None:
        return ''
    return Path(path).read_text(encoding='utf-8').strip()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return the exit code."""
    options = build_parser().parse_args(arguments)
    try:
        token = read_token(options.token_file)
    except OSError as error:
        return print_error(CommandError(CommandFault.USAGE, str(error)))
    client = OperatorClient(options.url, token)
    match options.command.run(Context(client, options)):
        case Ok(output):
            print(output.as_json() if options.json else output.as_text())
            if options.json and output.note:
                print(f'jackdawfield: {output.note}', file=sys.stderr)
            return int(output.exit_code)
        case Err(error):
            return print_error(error)
    return int(ExitCode.USAGE)


def print_error(error: CommandError) -> int:
    """Print an error and return its exit code."""
    print(f'jackdawfield: {error.reason}', file=sys.stderr)
    return int(EXIT_CODES_BY_FAULT[error.fault])


if __name__ == '__main__':
    sys.exit(main())
