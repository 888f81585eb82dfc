"""Show and change organisations and their parameters."""

from result import Result

from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import Output
from jackdawfield.commands.changes import CHANGE_ARGUMENTS
from jackdawfield.commands.changes import read_configuration
from jackdawfield.commands.changes import submit
from jackdawfield.commands.client import CommandError
from jackdawfield.decisions.changes import PutOrganisation
from jackdawfield.decisions.changes import RemoveOrganisation
from jackdawfield.decisions.changes import SetParameters
from jackdawfield.model import Organisation
from jackdawfield.model import OrganisationId
from jackdawfield.model import Parameters
from jackdawfield.model import RouteName
from jackdawfield.model import TemplateName

ORGANISATION_ARGUMENT = Argument('organisation', 'id of the organisation')


class ListOrganisations(Command):
    """Lists the organisations with their contracts."""

    name = 'list'
    summary = 'list the organisations with rate, burst and weight'

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each organisation."""
        return read_configuration(context).map(
            lambda value: Output(
                ('organisation', 'rate/s', 'burst', 'weight', 'templates'),
                tuple(
                    (
                        name,
                        item['rate_per_s'],
                        item['burst'],
                        item['weight'],
                        ' '.join(sorted(item['parameters_by_template'])),
                    )
                    for name, item in sorted(
                        value['organisations_by_id'].items()
                    )
                ),
            )
        )


class SetOrganisation(Command):
    """Adds an organisation or replaces its contract."""

    name = 'set'
    summary = 'add an organisation or replace its contract'
    arguments = (
        ORGANISATION_ARGUMENT,
        Argument('--rate-per-s', 'requests a second', float, required=True),
        Argument('--burst', 'requests at once', int, required=True),
        Argument('--weight', 'share under load', float, 1.0),
        *CHANGE_ARGUMENTS,
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the contract; parameters of templates are unchanged."""
        options = context.options
        organisation = Organisation(
            OrganisationId(options.organisation),
            options.rate_per_s,
            options.burst,
            options.weight,
        )
        fetched = read_configuration(context).map(
            lambda value: current_parameters(value, options.organisation)
        )
        return fetched.and_then(
            lambda parameters: submit(
                context,
                'PutOrganisation',
                PutOrganisation(with_parameters(organisation, parameters)),
            )
        )


def current_parameters(
    value: dict[str, dict[str, dict[str, dict[str, dict[str, list[str]]]]]],
    organisation: str,
) -> dict[str, dict[str, list[str]]]:
    """Return an organisation's current parameters by template."""
    current = value['organisations_by_id'].get(organisation, {})
    return current.get('parameters_by_template', {})


def with_parameters(
    organisation: Organisation,
    parameters_by_template: dict[str, dict[str, list[str]]],
) -> Organisation:
    """Return an organisation with the given parameters."""
    return Organisation(
        organisation.organisation_id,
        organisation.rate_per_s,
        organisation.burst,
        organisation.weight,
        {
            TemplateName(name): Parameters(
                int(str(item['budget_tokens'])),
                frozenset(RouteName(r) for r in item['route_names']),
            )
            for name, item in parameters_by_template.items()
        },
    )


class RemoveOrganisationCommand(Command):
    """Removes an organisation."""

    name = 'remove'
    summary = 'remove an organisation and withdraw its keys'
    arguments = (ORGANISATION_ARGUMENT, *CHANGE_ARGUMENTS)

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the removal."""
        organisation_id = OrganisationId(context.options.organisation)
        change = RemoveOrganisation(organisation_id)
        return submit(context, 'RemoveOrganisation', change)


class SetParametersCommand(Command):
    """Sets an organisation's parameters for one template."""

    name = 'parameters'
    summary = 'set budget and open routes of a template for an organisation'
    arguments = (
        ORGANISATION_ARGUMENT,
        Argument('template', 'name of the template'),
        Argument('--budget-tokens', 'of one program', int, required=True),
        Argument(
            '--route', 'routes that are open', required=True, repeated=True
        ),
        *CHANGE_ARGUMENTS,
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Submit the parameters."""
        options = context.options
        routes = frozenset(RouteName(name) for name in options.route)
        change = SetParameters(
            OrganisationId(options.organisation),
            TemplateName(options.template),
            Parameters(options.budget_tokens, routes),
        )
        return submit(context, 'SetParameters', change)
