"""Validate operators' changes and apply them to a configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
import re
from typing import TypeVar

from result import Err
from result import Ok
from result import Result

from jackdawfield.model import Configuration
from jackdawfield.model import KeyId
from jackdawfield.model import KeyRecord
from jackdawfield.model import Organisation
from jackdawfield.model import OrganisationId
from jackdawfield.model import Route
from jackdawfield.model import Template
from jackdawfield.model import TemplateName
from jackdawfield.model import TemplateParameters
from jackdawfield.model import Version

_ID_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_KEY_ID_PATTERN = re.compile(r'[a-z0-9]{1,32}')
_DIGEST_PATTERN = re.compile(r'[0-9a-f]{64}')

K = TypeVar('K')
V = TypeVar('V')


@dataclass(frozen=True, slots=True)
class PutOrganisation:
    """Adds an organisation or replaces its contract."""

    organisation: Organisation


@dataclass(frozen=True, slots=True)
class RemoveOrganisation:
    """Removes an organisation and revokes its keys."""

    organisation_id: OrganisationId


@dataclass(frozen=True, slots=True)
class PutTemplate:
    """Adds or replaces a template."""

    template: Template


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Adds or replaces a route."""

    route: Route


@dataclass(frozen=True, slots=True)
class SetParameters:
    """Sets an organisation's parameters for one template."""

    organisation_id: OrganisationId
    template: TemplateName
    parameters: TemplateParameters


@dataclass(frozen=True, slots=True)
class GiveKey:
    """Issues a key to an organisation; holds the digest of its secret."""

    key_id: KeyId
    organisation_id: OrganisationId
    secret_sha256: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Revokes a key permanently."""

    key_id: KeyId


Change = (
    PutOrganisation
    | RemoveOrganisation
    | PutTemplate
    | PutRoute
    | SetParameters
    | GiveKey
    | WithdrawKey
)


class ChangeFault(Enum):
    """Lists the reasons why a change is not valid."""

    BAD_ID = 'bad id'
    BAD_LIMIT = 'limit out of range'
    BAD_DIGEST = 'digest is not SHA-256 in hex'
    UNKNOWN_ORGANISATION = 'unknown organisation'
    UNKNOWN_TEMPLATE = 'unknown template'
    UNKNOWN_ROUTE = 'unknown route'
    UNKNOWN_KEY = 'unknown key'
    KEY_EXISTS = 'key id is taken'


@dataclass(frozen=True, slots=True)
class ChangeError:
    """Reports why a change is not valid, with the name at fault."""

    fault: ChangeFault
    subject: str


def apply_change(
    configuration: Configuration, change: Change
) -> Result[Configuration, ChangeError]:
    """Return the configuration after a change, one version higher."""
    error = _validate(configuration, change)
    if error is not None:
        return Err(error)
    version = Version(configuration.version + 1)
    return Ok(replace(_apply(configuration, change), version=version))


def _apply(before: Configuration, change: Change) -> Configuration:
    match change:
        case PutOrganisation(organisation):
            return _with_organisation(before, organisation)
        case RemoveOrganisation(organisation_id):
            return _without_organisation(before, organisation_id)
        case PutTemplate(template):
            templates = _with_item(
                before.templates_by_name, template.name, template
            )
            return replace(before, templates_by_name=templates)
        case PutRoute(route):
            routes = _with_item(before.routes_by_name, route.name, route)
            return replace(before, routes_by_name=routes)
        case SetParameters(organisation_id, template_name, parameters):
            organisation = before.organisations_by_id[organisation_id]
            values = _with_item(
                organisation.parameters_by_template, template_name, parameters
            )
            return _with_organisation(
                before, replace(organisation, parameters_by_template=values)
            )
        case GiveKey(key_id, organisation_id, digest):
            record = KeyRecord(key_id, organisation_id, digest)
            return _with_key(before, record)
        case WithdrawKey(key_id):
            record = replace(before.keys_by_id[key_id], withdrawn=True)
            return _with_key(before, record)


def _with_item(values: Mapping[K, V], key: K, value: V) -> Mapping[K, V]:
    return {**values, key: value}


def _with_organisation(
    before: Configuration, organisation: Organisation
) -> Configuration:
    organisations = _with_item(
        before.organisations_by_id, organisation.organisation_id, organisation
    )
    return replace(before, organisations_by_id=organisations)


def _with_key(before: Configuration, record: KeyRecord) -> Configuration:
    keys = _with_item(before.keys_by_id, record.key_id, record)
    return replace(before, keys_by_id=keys)


def _without_organisation(
    before: Configuration, organisation_id: OrganisationId
) -> Configuration:
    organisations = dict(before.organisations_by_id)
    del organisations[organisation_id]
    keys = {
        key_id: replace(record, withdrawn=True)
        if record.organisation_id == organisation_id
        else record
        for key_id, record in before.keys_by_id.items()
    }
    return replace(before, organisations_by_id=organisations, keys_by_id=keys)


def _validate(before: Configuration, change: Change) -> ChangeError | None:
    match change:
        case PutOrganisation(organisation):
            return _validate_organisation(before, organisation)
        case RemoveOrganisation(organisation_id):
            return _require_organisation(before, organisation_id)
        case PutTemplate(template):
            return _validate_template(template)
        case PutRoute(route):
            return _validate_id(route.name) or _validate_id(route.pool)
        case SetParameters(organisation_id, name, parameters):
            return _require_organisation(
                before, organisation_id
            ) or _validate_parameters(before, name, parameters)
        case GiveKey():
            return _validate_key(before, change)
        case WithdrawKey(key_id):
            if key_id not in before.keys_by_id:
                return ChangeError(ChangeFault.UNKNOWN_KEY, key_id)
            return None


def _validate_id(name: str) -> ChangeError | None:
    if _ID_PATTERN.fullmatch(name):
        return None
    return ChangeError(ChangeFault.BAD_ID, name)


def _validate_organisation(
    before: Configuration, organisation: Organisation
) -> ChangeError | None:
    organisation_id = organisation.organisation_id
    error = _validate_id(organisation_id)
    if error is not None:
        return error
    limits = (organisation.rate_per_s, organisation.burst, organisation.weight)
    if not all(0 < limit < float('inf') for limit in limits):
        return ChangeError(ChangeFault.BAD_LIMIT, organisation_id)
    errors = (
        _validate_parameters(before, name, parameters)
        for name, parameters in organisation.parameters_by_template.items()
    )
    return next((item for item in errors if item is not None), None)


def _validate_template(template: Template) -> ChangeError | None:
    limits = (
        template.budget_tokens,
        template.turn_limit,
        template.deadline_s,
        template.idle_limit_s,
    )
    if not all(0 < limit < float('inf') for limit in limits):
        return ChangeError(ChangeFault.BAD_LIMIT, template.name)
    return _validate_id(template.name)


def _require_organisation(
    before: Configuration, organisation_id: OrganisationId
) -> ChangeError | None:
    if organisation_id in before.organisations_by_id:
        return None
    return ChangeError(ChangeFault.UNKNOWN_ORGANISATION, organisation_id)


def _validate_parameters(
    before: Configuration, name: TemplateName, parameters: TemplateParameters
) -> ChangeError | None:
    if name not in before.templates_by_name:
        return ChangeError(ChangeFault.UNKNOWN_TEMPLATE, name)
    if parameters.budget_tokens <= 0:
        return ChangeError(ChangeFault.BAD_LIMIT, name)
    unknown = sorted(parameters.route_names - before.routes_by_name.keys())
    if unknown:
        return ChangeError(ChangeFault.UNKNOWN_ROUTE, unknown[0])
    return None


def _validate_key(
    before: Configuration, change: GiveKey
) -> ChangeError | None:
    if _KEY_ID_PATTERN.fullmatch(change.key_id) is None:
        return ChangeError(ChangeFault.BAD_ID, change.key_id)
    if change.key_id in before.keys_by_id:
        return ChangeError(ChangeFault.KEY_EXISTS, change.key_id)
    if _DIGEST_PATTERN.fullmatch(change.secret_sha256) is None:
        return ChangeError(ChangeFault.BAD_DIGEST, change.key_id)
    return _require_organisation(before, change.organisation_id)
