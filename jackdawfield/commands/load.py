"""Generate load on running daemons from a trace of programs."""

import asyncio
import json
from pathlib import Path
import sys

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
from jackdawfield.load import LoadReport
from jackdawfield.load import read_trace
from jackdawfield.load import TraceRunner

COLUMNS = ('of', 'count', 'p50 ms', 'p95 ms', 'p99 ms', 'max ms')


class Load(Command):
    """Replays a trace and shows latencies and refusals."""

    name = 'load'
    summary = 'run a trace of programs against running daemons'
    arguments = (
        Argument('trace', 'file of programs, one JSON object a line', Path),
        Argument(
            '--caller-url',
            'callers\' addresses of the daemons',
            required=True,
            repeated=True,
        ),
        Argument(
            '--keys',
            'JSON file of keys by organisation',
            Path,
            required=True,
        ),
        Argument('--speed', 'divides the times of the trace', float, 1.0),
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Replay the trace and return the table of latencies."""
        options = context.options
        match read_trace(options.trace):
            case Err(error):
                return Err(CommandError(CommandFault.USAGE, str(error)))
            case Ok(programs):
                pass
        try:
            keys = json.loads(options.keys.read_text(encoding='utf-8'))
        except (OSError, ValueError) as error:
            reason = f'{options.keys}: {error}'
            return Err(CommandError(CommandFault.USAGE, reason))
        runner = TraceRunner(tuple(options.caller_url), keys, show_progress)
        report = asyncio.run(runner.run_trace(programs, options.speed))
        return Ok(latency_table(report, len(programs)))


def show_progress(line: str) -> None:
    """Print a line of progress to standard error."""
    print(line, file=sys.stderr, flush=True)


def latency_table(report: LoadReport, expected: int) -> Output:
    """Return the table of latencies, with counts by status as the note."""
    outcomes = ', '.join(
        f'{name}: {count}'
        for name, count in sorted(report.counts_by_status.items())
    )
    is_complete = report.programs.get_total_count() == expected
    code = ExitCode.OK if is_complete else ExitCode.REFUSED
    return Output(COLUMNS, report.rows(), code, f'answers: {outcomes}')
