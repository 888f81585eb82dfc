"""Lend programs the tokens of one call while the store is unavailable.

A program may exceed its budget by the tokens of one call. The member that a
program's key hashes to lends these once over the whole fleet, so that a call
can begin before its reservation is written. They are given back unless they
were handed over and the budget did not hold them.
"""

import time

from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.messages.fleet_budgets import AskOverdraft
from jackdawfield.messages.fleet_budgets import GiveBackOverdraft
from jackdawfield.messages.fleet_budgets import OverdraftGivenBack
from jackdawfield.messages.fleet_budgets import OverdraftGranted
from jackdawfield.model import OrganisationId

ASK_TIMEOUT_S = 0.2
# A member that started so lately lends nothing: its earlier incarnation may
# have lent the same tokens in this outage.
MIN_UPTIME_S = 2.0
# Lent tokens are remembered for this many programs, the oldest forgotten.
PROGRAMS_KEPT = 20_000


class OverdraftLender:
    """Lends the tokens of one call to each program that it owns."""

    def __init__(self, ownership: Ownership) -> None:
        self._ownership = ownership
        self._started_at_s = time.monotonic()
        self._lent_by_program: dict[str, int] = {}
        self._is_closed = False

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(AskOverdraft, self._answer_ask)
        server.handle(GiveBackOverdraft, self._answer_give_back)

    async def _answer_ask(self, ask: AskOverdraft) -> OverdraftGranted:
        return OverdraftGranted(self.lend(ask.program, ask.most_tokens))

    async def _answer_give_back(
        self, message: GiveBackOverdraft
    ) -> OverdraftGivenBack:
        self.take_back(message.program, message.tokens)
        return OverdraftGivenBack()

    def lend(self, program: str, most_tokens: int) -> int:
        """Lend what is left of the tokens, none if another may lend too."""
        uptime_s = time.monotonic() - self._started_at_s
        if self._is_closed or uptime_s < MIN_UPTIME_S:
            return 0
        if not self._ownership.is_sole_owner(
            OrganisationId(program), boot_time_s()
        ):
            return 0
        lent = self._lent_by_program.pop(program, 0)
        tokens = max(0, most_tokens - lent)
        self._lent_by_program[program] = lent + tokens
        while len(self._lent_by_program) > PROGRAMS_KEPT:
            del self._lent_by_program[next(iter(self._lent_by_program))]
        return tokens

    def close(self) -> dict[str, int]:
        """Lend nothing more; return the tokens that are lent, by program."""
        lent_by_program = {
            program: lent
            for program, lent in self._lent_by_program.items()
            if lent
        }
        self._lent_by_program.clear()
        self._is_closed = True
        return lent_by_program

    def next_lenders(self, program: str) -> list[SeatId]:
        """Return who lends once this instance stops, the next one first."""
        return self._ownership.successors_of(OrganisationId(program))

    def adopt(self, program: str, tokens: int) -> None:
        """Count tokens as lent that an earlier lender has lent."""
        lent = self._lent_by_program.pop(program, 0)
        self._lent_by_program[program] = lent + tokens

    def take_back(self, program: str, tokens: int) -> None:
        """Lend these tokens again when they are asked for."""
        lent = self._lent_by_program.get(program, 0)
        self._lent_by_program[program] = max(0, lent - tokens)


class Overdrafts:
    """Borrows tokens for this instance's calls."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        ownership: Ownership,
        lender: OverdraftLender,
    ) -> None:
        self._members = members
        self._links = links
        self._ownership = ownership
        self._lender = lender
        self._tasks = BackgroundTasks()

    def _lender_address(self, program: ProgramKey) -> str | None:
        """Return a program's lender, None if it is this instance or none."""
        seat_id = self._ownership.owner_of(OrganisationId(program.text))
        if seat_id is None or seat_id == self._members.own_seat:
            return None
        row = self._members.rows_by_seat.get(seat_id)
        return row.address if row is not None else None

    async def borrow(self, program: ProgramKey, most_tokens: int) -> int:
        """Return the tokens that may be handed over without a record."""
        address = self._lender_address(program)
        if address is None:
            return self._lender.lend(program.text, most_tokens)
        found = await self._links.request(
            address, AskOverdraft(program.text, most_tokens), ASK_TIMEOUT_S
        )
        match found:
            case Ok(OverdraftGranted(tokens)):
                return tokens
        return 0

    def give_back(self, program: ProgramKey, tokens: int) -> None:
        """Give tokens back that were not handed over or are recorded."""
        if tokens <= 0:
            return
        address = self._lender_address(program)
        if address is None:
            self._lender.take_back(program.text, tokens)
            return
        message = GiveBackOverdraft(program.text, tokens)
        self._tasks.spawn(self._links.request(address, message, ASK_TIMEOUT_S))
