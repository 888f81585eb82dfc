"""Show and change instances, backend servers, programs and effects.

An effect is the record of a call that may run at most once.
"""

from typing import Any
from typing import ClassVar

from result import Err
from result import Result

from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import Output
from jackdawfield.commands.client import CommandError
from jackdawfield.commands.client import CommandFault


def rows_table(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> Output:
    """Return the fields of JSON objects that the columns name as a table."""
    return Output(
        columns,
        tuple(tuple(row.get(c, '') for c in columns) for row in rows),
    )


class Listing(Command):
    """Lists the JSON objects of a resource; a subclass sets the columns."""

    path: ClassVar[str] = ''
    columns: ClassVar[tuple[str, ...]] = ()

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each object of the resource."""
        fetched = context.client.get(self.path)
        return fetched.map(lambda rows: rows_table(self.columns, rows))


class Instances(Listing):
    """Lists the instances in a daemon's list of members."""

    name = 'instances'
    summary = 'list the instances of the daemon'
    path = '/admin/v1/instances'
    columns = ('instance_id', 'domain_id', 'region_id', 'peer_address')


class Servers(Listing):
    """Lists the backend servers."""

    name = 'list'
    summary = 'list the backend servers'
    path = '/admin/v1/servers'
    columns = ('server_id', 'domain_id', 'pool', 'address', 'slots', 'state')


class Programs(Listing):
    """Lists the programs that the called daemon owns as their home."""

    name = 'list'
    summary = 'list the programs whose home is the called daemon'
    path = '/admin/v1/programs'
    columns = ('program_id', 'organisation_id', 'state', 'turns')


class Effects(Listing):
    """Lists the effects of unknown outcome."""

    name = 'list'
    summary = 'list at-most-once calls whose outcome is unknown'
    path = '/admin/v1/effects'
    columns = ('effect_id', 'organisation_id', 'route', 'state', 'at')


class ShowProgram(Command):
    """Shows one program."""

    name = 'show'
    summary = 'show one program'
    arguments = (Argument('program', 'id of the program'),)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each field of the program."""
        path = f'/admin/v1/programs/{context.options.program}'
        return context.client.get(path).map(fields_table)


class EndProgramCommand(Command):
    """Ends one program."""

    name = 'end'
    summary = 'end one program and release its resources'
    arguments = (Argument('program', 'id of the program'),)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """End the program and return its state."""
        path = f'/admin/v1/programs/{context.options.program}'
        return context.client.delete(path).map(fields_table)


class SettleEffect(Command):
    """Records the outcome of an effect of unknown outcome."""

    name = 'settle'
    summary = 'record whether a call of unknown outcome ran'
    arguments = (
        Argument('effect', 'id of the effect'),
        Argument('--ran', 'it ran', flag=True),
        Argument('--not-run', 'it did not run', flag=True),
        Argument('--note', 'how this is known', default=''),
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Record the outcome and return the effect."""
        options = context.options
        if options.ran == options.not_run:
            reason = 'exactly one of --ran and --not-run is required'
            return Err(CommandError(CommandFault.USAGE, reason))
        outcome = 'ran' if options.ran else 'not run'
        path = f'/admin/v1/effects/{options.effect}/settle'
        body = {
            'outcome': outcome,
            'operator': options.operator,
            'note': options.note,
        }
        return context.client.post(path, body).map(fields_table)


class DrainServer(Command):
    """Drains a backend server."""

    name = 'drain'
    summary = 'give a backend server no new calls'
    arguments = (Argument('server', 'id of the backend server'),)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Start the drain and return the server's state."""
        path = f'/admin/v1/servers/{context.options.server}/drain'
        return context.client.post(path, {}).map(fields_table)


class Status(Command):
    """Shows the status of the called daemon."""

    name = 'status'
    summary = 'show the status of the called daemon'

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return the daemon's status."""
        return context.client.get('/admin/v1/status').map(fields_table)


def fields_table(value: dict[str, Any]) -> Output:
    """Return a row for each field of a JSON object."""
    return Output(('field', 'value'), tuple(value.items()))
