"""Check a gateway's configuration before it is sent."""

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
from jackdawfield.gateway.configuration_changes import find_changes
from jackdawfield.gateway.configuration_check import find_problems
from jackdawfield.gateway.configuration_check import Severity
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.platform.configuration import decode_configuration
from jackdawfield.platform.configuration import find_repeated

COLUMNS = ('result', 'entry', 'finding')
# Name of the entry of findings about the version.
VERSION_ENTRY = 'version'

Row = tuple[object, ...]


class CheckConfiguration(Command):
    """Checks a gateway's configuration and tells what it changes."""

    name = 'check'
    summary = 'check a configuration of the gateway before it is sent'
    arguments = (
        Argument('file', 'file with the configuration', Path),
        Argument('--against', 'file with the version in force', Path),
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each finding and change; 1 if any is an error."""
        options = context.options
        read = read_configuration(options.file)
        if isinstance(read, Err):
            return read
        data, proposed = read.ok_value
        error = Severity.ERROR.value
        rows: list[Row] = [(error, *found) for found in find_repeated(data)]
        rows += [
            (found.severity.value, found.entry, found.text)
            for found in find_problems(proposed)
        ]
        if options.against is not None:
            current = read_configuration(options.against)
            if isinstance(current, Err):
                return current
            rows += compare(current.ok_value[1], proposed)
        has_errors = any(row[0] == error for row in rows)
        code = ExitCode.REFUSED if has_errors else ExitCode.OK
        note = '' if rows else 'nothing found'
        return Ok(Output(COLUMNS, tuple(rows), code, note))


def read_configuration(
    path: Path,
) -> Result[tuple[bytes, FleetConfiguration], CommandError]:
    """Read a configuration as instances do; the error names the field."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(CommandError(CommandFault.USAGE, str(error)))
    decoded = decode_configuration(data)
    if isinstance(decoded, Err):
        reason = f'{path}: {decoded.err_value}'
        return Err(CommandError(CommandFault.REFUSED, reason))
    return Ok((data, decoded.ok_value))


def compare(
    current: FleetConfiguration, proposed: FleetConfiguration
) -> list[Row]:
    """Return a row for each change, and one if it would not be applied."""
    rows: list[Row] = []
    if proposed.version <= current.version:
        text = f'{proposed.version} is not above {current.version} in force'
        rows.append((Severity.ERROR.value, VERSION_ENTRY, text))
    rows += [
        ('change', change.entry, change.text)
        for change in find_changes(current, proposed)
    ]
    return rows
