"""Check settings files and replay traces without a daemon."""

from pathlib import Path

from result import Err
from result import Ok
from result import Result

from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import ExitCode
from jackdawfield.commands.base import Output
from jackdawfield.commands.client import CommandError
from jackdawfield.commands.client import CommandFault
from jackdawfield.replay import replay
from jackdawfield.settings import load_settings


class Check(Command):
    """Checks settings files."""

    name = 'check'
    summary = 'check files of settings'
    arguments = (Argument('file', 'files to check', Path, repeated=True),)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each valid file, or the first error."""
        rows = []
        for path in context.options.file:
            loaded = load_settings(path)
            if isinstance(loaded, Err):
                reason = str(loaded.err_value)
                return Err(CommandError(CommandFault.REFUSED, reason))
            rows.append((path, loaded.ok_value.instance_id, 'ok'))
        return Ok(Output(('file', 'instance', 'result'), tuple(rows)))


class Replay(Command):
    """Replays recorded programs and compares their outcomes."""

    name = 'replay'
    summary = 'replay recorded programs and compare with stated outcomes'
    arguments = (Argument('trace', 'traces to replay', Path, repeated=True),)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each difference, or one for a trace without any."""
        rows: list[tuple[object, ...]] = []
        has_differences = False
        for path in context.options.trace:
            result = replay(path)
            if isinstance(result, Err):
                error = result.err_value
                reason = f'{error.path}:{error.line}: {error.reason}'
                return Err(CommandError(CommandFault.USAGE, reason))
            replayed = result.ok_value
            differences = replayed.differences
            has_differences = has_differences or not replayed.ok
            rows.extend(
                (path, d.line, d.expected, d.found) for d in differences
            )
            if not differences:
                compared = f'{replayed.compared} compared'
                rows.append((path, '', compared, 'as stated'))
        code = ExitCode.REFUSED if has_differences else ExitCode.OK
        columns = ('trace', 'line', 'expected', 'found')
        return Ok(Output(columns, tuple(rows), code))
