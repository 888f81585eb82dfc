"""Define the base class, arguments and output of operators' commands."""

import argparse
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
import json
from typing import Any
from typing import ClassVar

from result import Result

from jackdawfield.commands.client import CommandError
from jackdawfield.commands.client import OperatorClient


class ExitCode(IntEnum):
    """Lists the exit codes of the tool."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    FORBIDDEN = 4
    NOT_YET_ACCEPTED = 5


@dataclass(frozen=True, slots=True)
class Argument:
    """Represents one argument of a command, with its name in argparse.

    `kind` converts the text of a value, `repeated` takes one or more values,
    and `flag` takes none.
    """

    name: str
    help: str
    kind: Any = str
    default: Any = None
    required: bool = False
    repeated: bool = False
    flag: bool = False

    def add_to(self, parser: argparse.ArgumentParser) -> None:
        """Add the argument to a parser."""
        is_option = self.name.startswith('-')
        if self.flag:
            parser.add_argument(self.name, help=self.help, action='store_true')
            return
        values: dict[str, Any] = {'help': self.help, 'type': self.kind}
        if is_option:
            values['required'] = self.required
            values['default'] = self.default
        if self.repeated:
            values['nargs'] = '+'
        parser.add_argument(self.name, **values)


@dataclass(frozen=True, slots=True)
class Output:
    """Holds the table, note and exit code that a command results in."""

    columns: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]
    exit_code: ExitCode = ExitCode.OK
    note: str = ''

    def as_json(self) -> str:
        """Return the rows as a JSON list of objects."""
        rows = [dict(zip(self.columns, r, strict=True)) for r in self.rows]
        return json.dumps(rows, indent=2, default=str)

    def as_text(self) -> str:
        """Return the table in aligned columns, with the note below."""
        rows = [self.columns, *self.rows]
        cells = [[str(cell) for cell in row] for row in rows]
        columns = list(zip(*cells, strict=True))
        widths = [max(len(cell) for cell in column) for column in columns]
        text = '\n'.join(
            '  '.join(
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in cells
        )
        return f'{text}\n{self.note}' if self.note else text


@dataclass(frozen=True, slots=True)
class Context:
    """Holds the client and the parsed options of a command."""

    client: OperatorClient
    options: argparse.Namespace
    urls: tuple[str, ...] = field(default_factory=tuple)


class Command:
    """Represents one command; subclasses set the attributes and run()."""

    name: ClassVar[str] = ''
    summary: ClassVar[str] = ''
    arguments: ClassVar[tuple[Argument, ...]] = ()

    def run(self, context: Context) -> Result[Output, CommandError]:
        """Run the command and return its output, or the error."""
        raise NotImplementedError
