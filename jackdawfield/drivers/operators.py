"""Serve the operators' interface to the configuration and the fleet."""

from dataclasses import dataclass
from dataclasses import replace
from datetime import datetime
from datetime import UTC
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.changes import Change
from jackdawfield.decisions.changes import ChangeError
from jackdawfield.decisions.configuration import CHANGES_BY_NAME
from jackdawfield.decisions.configuration import CommitError
from jackdawfield.decisions.configuration import CommitFault
from jackdawfield.decisions.configuration import Proposal
from jackdawfield.drivers.admin import AdminContext
from jackdawfield.drivers.admin import OperatorHandler
from jackdawfield.drivers.announcements import ChangeOutcome
from jackdawfield.model import ChangeId
from jackdawfield.model import Configuration
from jackdawfield.model import ServerId
from jackdawfield.model import Version

STATUS_BY_FAULT = {
    CommitFault.INVALID: 400,
    CommitFault.VERSION_CONFLICT: 409,
    CommitFault.CHANGE_ID_TAKEN: 409,
    CommitFault.UNAVAILABLE: 503,
    CommitFault.UNSETTLED: 503,
}


class ChangeBody(msgspec.Struct, frozen=True):
    """Holds the body of an operator's request for a change."""

    change_id: str
    seen_version: int
    operator: str
    name: str
    body: Any


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """Holds why an operator's request was not fulfilled.

    With `retry_under_same_id`, the change may be committed all the same; a
    retry under the same id is safe.
    """

    error: str
    version: int
    retry_under_same_id: bool = False


def parse_change(text: bytes, submitted_at: str) -> Result[Proposal, str]:
    """Return the change that a request proposes, or why it is malformed.

    `submitted_at` is a time in ISO format.
    """
    try:
        change_body = msgspec.json.decode(text, type=ChangeBody)
        change_class = CHANGES_BY_NAME.get(change_body.name)
        if change_class is None or not change_body.change_id:
            return Err(f'unknown change {change_body.name}')
        change: Change = msgspec.convert(change_body.body, change_class)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    return Ok(
        Proposal(
            ChangeId(change_body.change_id),
            Version(change_body.seen_version),
            change_body.operator,
            submitted_at,
            change,
        )
    )


def refusal_from_error(error: CommitError) -> ChangeRefused:
    """Return a commit's error in the form that operators read."""
    text = error.fault.value
    match error.cause:
        case ChangeError(fault, subject):
            text = f'{text}: {fault.value}: {subject}'
    may_be_committed = error.fault is CommitFault.UNSETTLED
    return ChangeRefused(text, error.version, may_be_committed)


def without_digests(configuration: Configuration) -> Configuration:
    """Return a configuration without the digests of keys' secrets."""
    keys_by_id = {
        key_id: replace(record, secret_sha256='')
        for key_id, record in configuration.keys_by_id.items()
    }
    return replace(configuration, keys_by_id=keys_by_id)


class ChangesHandler(OperatorHandler):
    """Commits operators' changes."""

    async def post(self) -> None:
        """Commit a change; answer with its outcome or the refusal."""
        submitted_at = datetime.now(UTC).isoformat(timespec='milliseconds')
        match parse_change(self.request.body, submitted_at):
            case Err(reason):
                self.answer(ChangeRefused(reason, 0), 400)
                return
            case Ok(proposal):
                pass
        match await self.admin.contracts.commit_change(proposal):
            case Ok(ChangeOutcome() as outcome):
                self.answer(outcome)
            case Err(error):
                status = STATUS_BY_FAULT[error.fault]
                self.answer(refusal_from_error(error), status)


class ConfigurationHandler(OperatorHandler):
    """Serves the configuration in force on this instance."""

    def get(self) -> None:
        """Answer with the configuration."""
        self.answer(without_digests(self.admin.contracts.configuration))


class HistoryHandler(OperatorHandler):
    """Serves the newest changes."""

    async def get(self) -> None:
        """Answer with the changes, oldest first."""
        match await self.admin.contracts.store.history():
            case Ok(records):
                self.answer(records)
            case Err(reason):
                self.answer(ChangeRefused(reason, 0), 503)


class InstancesHandler(OperatorHandler):
    """Serves the instances that may get work."""

    def get(self) -> None:
        """Answer with the members."""
        self.answer(list(self.admin.contracts.members_by_id.values()))


class ServersHandler(OperatorHandler):
    """Serves the list of backend servers."""

    def get(self) -> None:
        """Answer with the backend servers."""
        self.answer(list(self.admin.contracts.servers_by_id.values()))


class DrainServerHandler(OperatorHandler):
    """Drains a backend server, for this instance only."""

    def post(self, server: str) -> None:
        """Drain the server and answer with its entry, or 404 if unknown."""
        contracts = self.admin.contracts
        if ServerId(server) not in contracts.servers_by_id:
            self.answer(ChangeRefused(f'unknown server {server}', 0), 404)
            return
        contracts.drain_server(ServerId(server))
        self.answer(contracts.servers_by_id[ServerId(server)])


def operator_routes(admin: AdminContext) -> list[Any]:
    """Return the routes of this module."""
    arguments = {'admin': admin}
    return [
        ('/admin/v1/changes', ChangesHandler, arguments),
        ('/admin/v1/configuration', ConfigurationHandler, arguments),
        ('/admin/v1/history', HistoryHandler, arguments),
        ('/admin/v1/instances', InstancesHandler, arguments),
        ('/admin/v1/servers', ServersHandler, arguments),
        (
            r'/admin/v1/servers/([^/]+)/drain',
            DrainServerHandler,
            arguments,
        ),
    ]
