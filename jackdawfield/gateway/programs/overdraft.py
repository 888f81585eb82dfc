"""Lend programs the tokens of one call while the store is unavailable.

A program may exceed its budget by the tokens of one call. The member that a
program's key hashes to lends these once over the whole fleet, so that a call
can begin before its reservation is written. They are given back unless they
were handed over and the budget did not hold them. What is lent outlives its
lender (loan_sharing).
"""

import logging

from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.programs.loan_sharing import LoanSharing
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_budgets import AskOverdraft
from jackdawfield.messages.fleet_budgets import GiveBackOverdraft
from jackdawfield.messages.fleet_budgets import OverdraftGivenBack
from jackdawfield.messages.fleet_budgets import OverdraftGranted
from jackdawfield.messages.fleet_loans import Loan
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_S = 0.2
# Stands for the requests of a loan that another lender has not named.
UNNAMED_REQUEST = ''


class OverdraftLender:
    """Lends the tokens of one call to each program that it owns."""

    def __init__(self, ownership: Ownership, loans: LoanSharing) -> None:
        self._ownership = ownership
        self._loans = loans
        self._is_closed = False

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(AskOverdraft, self._answer_ask)
        server.handle(GiveBackOverdraft, self._answer_give_back)

    async def _answer_ask(self, ask: AskOverdraft) -> OverdraftGranted:
        tokens = await self.lend(
            ask.program, ask.most_tokens, ask.request_id, ask.address
        )
        return OverdraftGranted(tokens)

    async def _answer_give_back(
        self, message: GiveBackOverdraft
    ) -> OverdraftGivenBack:
        self.take_back(message.program, message.tokens, message.request_id)
        return OverdraftGivenBack()

    async def lend(
        self,
        program: str,
        most_tokens: int,
        request_id: str = UNNAMED_REQUEST,
        borrower: str = '',
    ) -> int:
        """Lend what is left of the tokens, none if another may lend too.

        Nothing is lent before the loans of earlier lenders are known.
        `borrower` is the address of the instance that asks.
        """
        if self._is_closed:
            return 0
        if not self._loans.is_informed:
            log_event(LOG, 'loans_unknown', program=program)
            return 0
        if not self._ownership.is_sole_owner(
            OrganisationId(program), boot_time_s()
        ):
            return 0
        book = self._loans.book
        tokens = max(0, most_tokens - book.lent_to(program))
        if not tokens:
            return 0
        lent = book.lent_for(program, request_id) + tokens
        loan = Loan(program, request_id, lent)
        if not await self._loans.share_first(loan, borrower):
            log_event(LOG, 'loan_not_noted', program=program)
            return 0
        return tokens

    def close(self) -> dict[str, int]:
        """Lend nothing more; return the tokens that are lent, by program."""
        self._is_closed = True
        lent_by_program: dict[str, int] = {}
        for loan in self._loans.book.loans():
            lent = lent_by_program.get(loan.program, 0)
            lent_by_program[loan.program] = lent + loan.tokens
        return lent_by_program

    def next_lenders(self, program: str) -> list[SeatId]:
        """Return who lends once this instance stops, the next one first."""
        return self._ownership.successors_of(OrganisationId(program))

    def adopt(self, program: str, tokens: int) -> None:
        """Count tokens as lent that an earlier lender has lent, in all."""
        book = self._loans.book
        missing = tokens - book.lent_to(program)
        if missing > 0:
            lent = book.lent_for(program, UNNAMED_REQUEST) + missing
            self._loans.share(Loan(program, UNNAMED_REQUEST, lent))

    def take_back(
        self, program: str, tokens: int, request_id: str = UNNAMED_REQUEST
    ) -> None:
        """Lend these tokens again when they are asked for."""
        book = self._loans.book
        if not book.lent_for(program, request_id):
            request_id = UNNAMED_REQUEST
        if book.lent_for(program, request_id):
            self._loans.share(book.reduced(program, request_id, tokens))


class Overdrafts:
    """Borrows tokens for this instance's calls."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        ownership: Ownership,
        lender: OverdraftLender,
        loans: LoanSharing,
    ) -> None:
        self._members = members
        self._links = links
        self._ownership = ownership
        self._lender = lender
        self._loans = loans
        self._tasks = BackgroundTasks()

    def _lender_address(self, program: ProgramKey) -> str | None:
        """Return a program's lender, None if it is this instance or none."""
        seat_id = self._ownership.owner_of(OrganisationId(program.text))
        if seat_id is None or seat_id == self._members.own_seat:
            return None
        row = self._members.rows_by_seat.get(seat_id)
        return row.address if row is not None else None

    async def borrow(
        self, program: ProgramKey, most_tokens: int, request_id: str
    ) -> int:
        """Return the tokens that may be handed over without a record."""
        address = self._lender_address(program)
        if address is None:
            return await self._lender.lend(
                program.text, most_tokens, request_id
            )
        message = AskOverdraft(
            program.text, most_tokens, request_id, self._members.own_address
        )
        found = await self._links.request(address, message, ASK_TIMEOUT_S)
        match found:
            case Ok(OverdraftGranted(tokens)):
                # The lender may end before it has told anyone.
                loan = Loan(program.text, request_id, tokens)
                self._loans.book.add_unknown((loan,))
                return tokens
        return 0

    def give_back(
        self, program: ProgramKey, tokens: int, request_id: str
    ) -> None:
        """Give tokens back that were not handed over or are recorded."""
        if tokens <= 0:
            return
        address = self._lender_address(program)
        if address is None:
            self._lender.take_back(program.text, tokens, request_id)
            return
        book = self._loans.book
        book.note(book.reduced(program.text, request_id, tokens))
        message = GiveBackOverdraft(program.text, tokens, request_id)
        self._tasks.spawn(self._links.request(address, message, ASK_TIMEOUT_S))
