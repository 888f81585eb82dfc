"""Explain the outcome of one request from log files."""

from collections.abc import Iterator
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
from jackdawfield.explain import explain_request

STANDARD_INPUT = Path('-')


class Explain(Command):
    """Shows a request's log lines in order and the cause of its outcome."""

    name = 'explain'
    summary = 'show from logs what became of a request, and why'
    arguments = (
        Argument('request_id', 'id of the request'),
        # As a repeated argument, the option `file` is a list of paths.
        Argument(
            'file', 'log files, - for standard input', Path, repeated=True
        ),
    )

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Return a row for each log line; the note states the cause."""
        options = context.options
        try:
            explanation = explain_request(
                options.request_id, read_lines(options.file)
            )
        except OSError as error:
            return Err(CommandError(CommandFault.USAGE, str(error)))
        rows = tuple(
            (
                line.at,
                line.instance,
                line.event,
                ' '.join(f'{k}={v}' for k, v in line.fields.items()),
            )
            for line in explanation.lines
        )
        # The exit code 1 also stands for a request without any log line.
        code = ExitCode.OK if rows else ExitCode.REFUSED
        columns = ('at', 'instance', 'event', 'fields')
        note = f'{explanation.request_id}: {explanation.cause}'
        return Ok(Output(columns, rows, code, note))


def read_lines(paths: list[Path]) -> Iterator[str]:
    """Yield the lines of files; raise OSError if one cannot be read."""
    for path in paths:
        if path == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with path.open(encoding='utf-8', errors='replace') as file:
            yield from file
