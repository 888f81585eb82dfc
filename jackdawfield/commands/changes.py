"""Submit changes of the configuration and show their history."""

from dataclasses import dataclass
import secrets
import time
from typing import Any

import msgspec
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

ATTEMPTS = 5
RETRY_WAIT_S = 0.5
CHANGE_ARGUMENTS = (
    Argument(
        '--seen-version',
        'version that the change is based on; the newest by default',
        int,
    ),
    Argument('--change-id', 'id of an earlier attempt at the same change'),
)


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Represents a change with the version that it is based on."""

    change_id: str
    seen_version: int
    operator: str
    name: str
    body: Any


def read_configuration(context: Context) -> Result[Any, CommandError]:
    """Return the daemon's current configuration."""
    return context.client.get('/admin/v1/configuration')


def submit(
    context: Context, name: str, body: object
) -> Result[Output, CommandError]:
    """Submit a change under one id, so that retries apply it only once."""
    seen_version = context.options.seen_version
    if seen_version is None:
        match read_configuration(context):
            case Err(error):
                return Err(error)
            case Ok(value):
                seen_version = value['version']
    change_id = context.options.change_id or secrets.token_hex(8)
    request = ChangeRequest(
        change_id,
        seen_version,
        context.options.operator,
        name,
        msgspec.to_builtins(body),
    )
    return send(context, request)


def send(
    context: Context, request: ChangeRequest
) -> Result[Output, CommandError]:
    """Send a change, up to ATTEMPTS times if the daemon is unreachable."""
    body = msgspec.to_builtins(request)
    for attempt in range(ATTEMPTS):
        match context.client.post('/admin/v1/changes', body):
            case Err(CommandError(CommandFault.UNREACHABLE, _)) as failed:
                last = failed
                time.sleep(RETRY_WAIT_S * (attempt + 1))
            case Err(error):
                return Err(error)
            case Ok(result):
                return Ok(outcome_table(request.change_id, result))
    reason = f'{last.err_value.reason}; repeat with --change-id'
    return Err(
        CommandError(CommandFault.UNREACHABLE, f'{reason} {request.change_id}')
    )


def outcome_table(change_id: str, result: Any) -> Output:
    """Return the state and version of a submitted change as a table."""
    is_accepted = result['state'] == 'accepted'
    pending_instances = ' '.join(result.get('waiting', ()))
    return Output(
        ('change', 'state', 'version', 'still to be told'),
        ((change_id, result['state'], result['version'], pending_instances),),
        ExitCode.OK if is_accepted else ExitCode.NOT_YET_ACCEPTED,
    )


class History(Command):
    """Lists the newest changes of the configuration."""

    name = 'history'
    summary = 'list the newest changes of the configuration'

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each change, the newest last."""
        fetched = context.client.get('/admin/v1/history')
        return fetched.map(
            lambda records: Output(
                ('version', 'at', 'operator', 'change', 'id'),
                tuple(
                    (
                        record['version'],
                        record['at'],
                        record['operator'],
                        record['name'],
                        record['change_id'],
                    )
                    for record in records
                ),
            )
        )
