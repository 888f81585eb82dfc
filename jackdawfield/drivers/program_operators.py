"""Show and end programs for operators.

The home of a program is the instance that owns it and runs its calls.
"""

from dataclasses import dataclass
from typing import Any

from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.programs import find_home
from jackdawfield.drivers.admin import AdminContext
from jackdawfield.drivers.admin import OperatorHandler
from jackdawfield.drivers.homes import HomesDriver
from jackdawfield.drivers.programs import ProgramsDriver
from jackdawfield.messages.calls import EndProgram
from jackdawfield.messages.calls import ProgramAnswer
from jackdawfield.model import ProgramId


@dataclass(frozen=True, slots=True)
class ProgramView:
    """Describes a program for operators.

    The epoch counts the owners that the program has had.
    """

    program_id: str
    organisation_id: str
    template: str
    state: str
    turns: int
    tokens: int
    epoch: int


@dataclass(frozen=True, slots=True)
class ProgramRefused:
    """Holds the reason why a program was not shown or ended."""

    error: str


class ProgramAdminHandler(OperatorHandler):
    """Gives handlers access to the programs whose home is this instance."""

    def initialize(  # type: ignore[override]
        self, admin: AdminContext, homes: HomesDriver, programs: ProgramsDriver
    ) -> None:
        """Set the components that the handlers use."""
        self.admin = admin
        self.homes = homes
        self.programs = programs

    def find_program(self, program: str) -> ProgramHome | None:
        """Return a program's home, or answer 404 and return None."""
        program_id = ProgramId(program)
        home = self.homes.homes_by_id.get(program_id)
        if home is not None and home.row is not None:
            return home
        members_by_id = self.admin.contracts.members_by_id
        home_id = find_home(program_id, members_by_id)
        self.answer(ProgramRefused(f'not at home here but at {home_id}'), 404)
        return None


class ProgramListHandler(ProgramAdminHandler):
    """Lists the programs whose home is this instance."""

    def get(self) -> None:
        """Answer with the programs."""
        homes = self.homes.homes_by_id.values()
        self.answer(
            [describe_program(home) for home in homes if home.row is not None]
        )


class ProgramDetailHandler(ProgramAdminHandler):
    """Shows or ends one program."""

    def get(self, program: str) -> None:
        """Answer with the program."""
        home = self.find_program(program)
        if home is not None:
            self.answer(describe_program(home))

    async def delete(self, program: str) -> None:
        """End the program on behalf of its organisation."""
        home = self.find_program(program)
        if home is None or home.row is None:
            return
        request = EndProgram(
            home.program_id, home.row.organisation_id, 'ended by operator'
        )
        match await self.programs.end(request):
            case ProgramAnswer() as answer:
                self.answer(answer)
            case failed:
                self.answer(ProgramRefused(failed.reason), failed.status)


def describe_program(home: ProgramHome) -> ProgramView:
    """Return the description of a program for operators."""
    assert home.row is not None
    turns = home.history.turns if home.history is not None else ()
    return ProgramView(
        home.program_id,
        home.row.organisation_id,
        home.row.template_name,
        home.state.value,
        len(turns),
        sum(turn.tokens for turn in turns),
        home.row.epoch,
    )


def program_routes(
    admin: AdminContext, homes: HomesDriver, programs: ProgramsDriver
) -> list[Any]:
    """Return the HTTP routes of this module."""
    arguments = {'admin': admin, 'homes': homes, 'programs': programs}
    return [
        ('/admin/v1/programs', ProgramListHandler, arguments),
        (
            r'/admin/v1/programs/([a-z0-9.-]+)',
            ProgramDetailHandler,
            arguments,
        ),
    ]
