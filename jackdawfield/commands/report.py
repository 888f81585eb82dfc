"""Report on the metrics of daemons."""

from pathlib import Path
import time

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.burn import compute_report
from jackdawfield.burn_page import build_row
from jackdawfield.burn_page import list_columns
from jackdawfield.burn_page import render_page
from jackdawfield.commands.base import Argument
from jackdawfield.commands.base import Command
from jackdawfield.commands.base import Context
from jackdawfield.commands.base import Output
from jackdawfield.commands.client import CommandError
from jackdawfield.commands.client import CommandFault
from jackdawfield.commands.client import OperatorClient
from jackdawfield.metrics import Snapshot

METRICS_PATH = '/admin/v1/metrics'


def read_snapshot(client: OperatorClient) -> Result[Snapshot, CommandError]:
    """Return a snapshot of a daemon's metrics."""
    fetched = client.get(METRICS_PATH)
    if isinstance(fetched, Err):
        return fetched
    try:
        return Ok(msgspec.convert(fetched.ok_value, Snapshot))
    except msgspec.ValidationError as error:
        reason = f'{client.url}: {error}'
        return Err(CommandError(CommandFault.REFUSED, reason))


class Burn(Command):
    """Reports the burn rates of service-level objectives over daemons."""

    name = 'burn'
    summary = 'show how fast the error budgets burn'
    arguments = (
        Argument('--also', 'address of a further daemon', repeated=True),
        Argument('--html', 'write a page with plots to this file', kind=Path),
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Add up the daemons' metrics and return a row for each objective."""
        urls = context.options.also or []
        clients = [
            context.client,
            *(context.client.for_url(url) for url in urls),
        ]
        snapshots = []
        errors = []
        for client in clients:
            match read_snapshot(client):
                case Ok(snapshot):
                    snapshots.append(snapshot)
                case Err(error):
                    errors.append(error)
        if not snapshots:
            return Err(errors[0])
        report = compute_report(snapshots, time.time())
        if context.options.html is not None:
            try:
                context.options.html.write_text(render_page(report), 'utf-8')
            except OSError as fault:
                reason = str(fault)
                return Err(CommandError(CommandFault.USAGE, reason))
        note = '; '.join(f'not read: {error.reason}' for error in errors)
        rows = tuple(build_row(line) for line in report.lines)
        return Ok(Output(list_columns(report), rows, note=note))
