"""Show and change templates and routes."""

from typing import ClassVar

from result import Result

from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import Output
from jackdawfield.commands.changes import CHANGE_ARGUMENTS
from jackdawfield.commands.changes import read_configuration
from jackdawfield.commands.changes import submit
from jackdawfield.commands.client import CommandError
from jackdawfield.decisions.changes import PutRoute
from jackdawfield.decisions.changes import PutTemplate
from jackdawfield.model import Route
from jackdawfield.model import RouteKind
from jackdawfield.model import RouteName
from jackdawfield.model import Template
from jackdawfield.model import TemplateName


class ConfigurationListing(Command):
    """Lists one mapping of the configuration; a subclass sets the columns."""

    part: ClassVar[str] = ''
    columns: ClassVar[tuple[str, ...]] = ()

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each item of the mapping, sorted by name."""
        return read_configuration(context).map(
            lambda value: Output(
                self.columns,
                tuple(
                    tuple(item[column] for column in self.columns)
                    for _, item in sorted(value[self.part].items())
                ),
            )
        )


class ListTemplates(ConfigurationListing):
    """Lists the templates."""

    name = 'list'
    summary = 'list the templates with their limits'
    part = 'templates_by_name'
    columns = (
        'name',
        'budget_tokens',
        'turn_limit',
        'deadline_s',
        'idle_limit_s',
    )


class SetTemplate(Command):
    """Adds or replaces a template."""

    name = 'set'
    summary = 'add or replace a template'
    arguments = (
        Argument('template', 'name of the template'),
        Argument(
            '--budget-tokens',
            'token budget of one program',
            int,
            required=True,
        ),
        Argument(
            '--turn-limit',
            'maximum number of calls of one program',
            int,
            required=True,
        ),
        Argument(
            '--deadline-s',
            'maximum duration of one program',
            float,
            required=True,
        ),
        Argument(
            '--idle-limit-s', 'maximum time between two calls', float, 900.0
        ),
        *CHANGE_ARGUMENTS,
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the template."""
        options = context.options
        template = Template(
            TemplateName(options.template),
            options.budget_tokens,
            options.turn_limit,
            options.deadline_s,
            options.idle_limit_s,
        )
        return submit(context, 'PutTemplate', PutTemplate(template))


class ListRoutes(ConfigurationListing):
    """Lists the routes."""

    name = 'list'
    summary = 'list the routes'
    part = 'routes_by_name'
    columns = ('name', 'kind', 'pool', 'open', 'repeatable')


class SetRoute(Command):
    """Adds or replaces a route."""

    name = 'set'
    summary = 'add or replace a route'
    arguments = (
        Argument('route', 'name of the route'),
        Argument('--kind', 'chat or service', RouteKind, required=True),
        Argument('--pool', 'pool that serves it', required=True),
        Argument('--open', 'open to all, without a key', flag=True),
        Argument('--not-repeatable', 'each call runs at most once', flag=True),
        *CHANGE_ARGUMENTS,
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the route."""
        options = context.options
        route = Route(
            RouteName(options.route),
            options.kind,
            options.pool,
            options.open,
            not options.not_repeatable,
        )
        return submit(context, 'PutRoute', PutRoute(route))
