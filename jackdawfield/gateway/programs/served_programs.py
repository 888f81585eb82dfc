"""Tell while the store is away which instances served which programs.

An instance that loses the store names its recent programs to their holders,
so that another one that gets a next call finds what this one knows.
"""

import asyncio
from collections.abc import Callable
import logging

from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.programs.token_holders import HOLDERS_ASKED
from jackdawfield.gateway.programs.token_holders import other_holders
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_programs import AskWhoServed
from jackdawfield.messages.fleet_programs import ProgramsNoted
from jackdawfield.messages.fleet_programs import ProgramsServed
from jackdawfield.messages.fleet_programs import ServedBy

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_S = 0.2
# Programs that are named in one outage, and the least time between two times
# of naming them if the store is lost repeatedly.
PROGRAMS_NAMED = 2000
NAME_INTERVAL_S = 5.0
# Programs beyond this many are forgotten, the oldest first, and instances of
# one program.
PROGRAMS_KEPT = 20_000
ADDRESSES_KEPT = 3


class ProgramDirectory:
    """Holds which instances named a program, the latest first."""

    def __init__(self) -> None:
        self._addresses_by_program: dict[str, tuple[str, ...]] = {}

    def note(self, address: str, programs: tuple[str, ...]) -> None:
        """Record that an instance served programs."""
        for program in programs:
            known = self._addresses_by_program.pop(program, ())
            others = tuple(a for a in known if a != address)
            self._addresses_by_program[program] = (address, *others)[
                :ADDRESSES_KEPT
            ]
        while len(self._addresses_by_program) > PROGRAMS_KEPT:
            oldest = next(iter(self._addresses_by_program))
            del self._addresses_by_program[oldest]

    def find(self, program: str) -> tuple[str, ...]:
        """Return the instances that named a program."""
        return self._addresses_by_program.get(program, ())


class ServedPrograms:
    """Names own programs to their token holders, and asks these."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        recent_programs: Callable[[int], tuple[str, ...]],
    ) -> None:
        self._members = members
        self._links = links
        self._recent_programs = recent_programs
        self._directory = ProgramDirectory()
        self._tasks = BackgroundTasks()
        self._named_at_s = float('-inf')
        self.is_away = False

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(ProgramsServed, self._answer_served)
        server.handle(AskWhoServed, self._answer_ask)

    async def _answer_served(self, message: ProgramsServed) -> ProgramsNoted:
        self._directory.note(message.address, message.programs)
        return ProgramsNoted()

    async def _answer_ask(self, message: AskWhoServed) -> ServedBy:
        return ServedBy(self._directory.find(message.program))

    def note_store(self, is_away: bool, now_s: float) -> None:
        """Name the programs when the store is lost, once an outage."""
        is_lost = is_away and not self.is_away
        self.is_away = is_away
        if is_lost and now_s - self._named_at_s >= NAME_INTERVAL_S:
            self._named_at_s = now_s
            self._tasks.spawn(self.name_programs())

    async def name_programs(self) -> None:
        """Tell the holders of recent programs that they were served here."""
        own_address = self._members.own_address
        programs_by_holder: dict[str, list[str]] = {}
        for program in self._recent_programs(PROGRAMS_NAMED):
            for address in other_holders(self._members, program)[
                :HOLDERS_ASKED
            ]:
                programs_by_holder.setdefault(address, []).append(program)
        await asyncio.gather(
            *(
                self._links.request(
                    address,
                    ProgramsServed(own_address, tuple(programs)),
                    ASK_TIMEOUT_S,
                )
                for address, programs in programs_by_holder.items()
            )
        )
        log_event(LOG, 'programs_named', holders=len(programs_by_holder))

    async def find(self, program: ProgramKey) -> list[str]:
        """Return the other instances that served a program, if known."""
        holders = other_holders(self._members, program.text)[:HOLDERS_ASKED]
        message = AskWhoServed(program.text)
        answers = await asyncio.gather(
            *(
                self._links.request(address, message, ASK_TIMEOUT_S)
                for address in holders
            )
        )
        found = dict.fromkeys(self._directory.find(program.text))
        for answer in answers:
            match answer:
                case Ok(ServedBy(addresses)):
                    found.update(dict.fromkeys(addresses))
        found.pop(self._members.own_address, None)
        return list(found)
