"""List the requests that an instance has quarantined, and lift one."""

from result import Result

from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import Output
from jackdawfield.commands.client import CommandError
from jackdawfield.commands.fleet import fields_table
from jackdawfield.commands.fleet import Listing
from jackdawfield.messages.fleet_quarantine import PAGE


class Quarantined(Listing):
    """Lists the quarantined requests with the servers that they ended."""

    name = 'list'
    summary = 'list the requests that are refused for ending servers'
    path = PAGE
    columns = ('digest', 'term', 'left_s', 'servers')


class LiftQuarantine(Command):
    """Lifts one quarantine, at all instances."""

    name = 'lift'
    summary = 'send a quarantined request to servers again'
    arguments = (Argument('digest', 'digest that the list shows'),)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Lift the quarantine and return its state."""
        path = f'{PAGE}/{context.options.digest}'
        return context.client.delete(path).map(fields_table)
