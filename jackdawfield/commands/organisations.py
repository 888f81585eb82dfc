"""Show and change organisations and their parameters.

In these commands, a contract is an organisation's rate, burst and weight.
"""

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
from jackdawfield.model import RouteName
from jackdawfield.model import TemplateName
from jackdawfield.model import TemplateParameters

ORGANISATION_ARGUMENT = Argument('organisation', 'id of the organisation')


class ListOrganisations(Command):
    """Lists the organisations with their contracts."""

    name = 'list'
    summary = 'list the organisations with rate, burst, weight and templates'

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each organisation."""
        return read_configuration(context).map(
            lambda configuration: Output(
                ('organisation', 'rate/s', 'burst', 'weight', 'templates'),
                tuple(
                    (
                        name,
                        organisation['rate_per_s'],
                        organisation['burst'],
                        organisation['weight'],
                        ' '.join(
                            sorted(organisation['parameters_by_template'])
                        ),
                    )
                    for name, organisation in sorted(
                        configuration['organisations_by_id'].items()
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
        Argument('--rate-per-s', 'requests per second', float, required=True),
        Argument('--burst', 'requests allowed at once', int, required=True),
        Argument(
            '--weight',
            'relative share of capacity under load',
            float,
            1.0,
        ),
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
            lambda configuration: current_parameters(
                configuration, options.organisation
            )
        )
        return fetched.and_then(
            lambda parameters: submit(
                context,
                'PutOrganisation',
                PutOrganisation(with_parameters(organisation, parameters)),
            )
        )


def current_parameters(
    # By 'organisations_by_id', id, 'parameters_by_template', template, field;
    # only the path to `route_names` has this type.
    configuration: dict[
        str, dict[str, dict[str, dict[str, dict[str, list[str]]]]]
    ],
    organisation: str,
) -> dict[str, dict[str, list[str]]]:
    """Return an organisation's current parameters by template."""
    current = configuration['organisations_by_id'].get(organisation, {})
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
            TemplateName(name): TemplateParameters(
                # A number, unlike its declared type.
                int(str(parameters['budget_tokens'])),
                frozenset(RouteName(r) for r in parameters['route_names']),
            )
            for name, parameters in parameters_by_template.items()
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
        Argument(
            '--budget-tokens',
            'token budget of one program',
            int,
            required=True,
        ),
        Argument(
            '--route',
            'routes that are open to its programs',
            required=True,
            repeated=True,
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
            TemplateParameters(options.budget_tokens, routes),
        )
        return submit(context, 'SetParameters', change)
