"""Serves operators' views of programs and ends programs for them."""

from dataclasses import dataclass
from typing import Any

from jackdawfield.decisions.homes import ProgramHome
from jackdawfield.decisions.programs import find_home
from jackdawfield.drivers.admin import Admin
from jackdawfield.drivers.admin import OperatorHandler
from jackdawfield.drivers.homes import HomesDriver
from jackdawfield.drivers.programs import ProgramsDriver
from jackdawfield.messages.calls import EndProgram
from jackdawfield.messages.calls import ProgramAnswer
from jackdawfield.model import ProgramId


@dataclass(frozen=True, slots=True)
class ProgramView:
    """Describes a program at its home to operators."""

    program_id: str
    organisation_id: str
    template: str
    state: str
    turns: int
    tokens: int
    epoch: int


@dataclass(frozen=True, slots=True)
class ProgramRefused:
    """Tells why a program was not shown or ended."""

    error: str


class ProgramPage(OperatorHandler):
    """Reaches the programs at home on this instance."""

    def initialize(  # type: ignore[override]
        self, admin: Admin, homes: HomesDriver, programs: ProgramsDriver
    ) -> None:
        """Keep what the handlers need."""
        self.admin = admin
        self.homes = homes
        self.programs = programs

    def found(self, program: str) -> ProgramHome | None:
        """Return a program at home here, None after a refusal."""
        program_id = ProgramId(program)
        known = self.homes.homes_by_id.get(program_id)
        if known is not None and known.row is not None:
            return known
        members_by_id = self.admin.contracts.members_by_id
        place = find_home(program_id, members_by_id)
        self.answer(ProgramRefused(f'not at home here but at {place}'), 404)
        return None


class ProgramListPage(ProgramPage):
    """Lists the programs at home here."""

    def get(self) -> None:
        """Answer with the programs."""
        known = self.homes.homes_by_id.values()
        self.answer([view(item) for item in known if item.row is not None])


class ProgramDetailPage(ProgramPage):
    """Shows or ends one program."""

    def get(self, program: str) -> None:
        """Answer with the program."""
        known = self.found(program)
        if known is not None:
            self.answer(view(known))

    async def delete(self, program: str) -> None:
        """End the program for its organisation."""
        known = self.found(program)
        if known is None or known.row is None:
            return
        request = EndProgram(
            known.program_id, known.row.organisation_id, 'ended by operator'
        )
        match await self.programs.end(request):
            case ProgramAnswer() as answer:
                self.answer(answer)
            case failed:
                self.answer(ProgramRefused(failed.reason), failed.status)


def view(known: ProgramHome) -> ProgramView:
    """Return what operators see of a program."""
    assert known.row is not None
    turns = known.history.turns if known.history is not None else ()
    return ProgramView(
        known.program_id,
        known.row.organisation_id,
        known.row.template_name,
        known.state.value,
        len(turns),
        sum(turn.tokens for turn in turns),
        known.row.epoch,
    )


def program_routes(
    admin: Admin, homes: HomesDriver, programs: ProgramsDriver
) -> list[Any]:
    """Return the routes of this module."""
    arguments = {'admin': admin, 'homes': homes, 'programs': programs}
    return [
        ('/admin/v1/programs', ProgramListPage, arguments),
        (
            r'/admin/v1/programs/([a-z0-9.-]+)',
            ProgramDetailPage,
            arguments,
        ),
    ]
