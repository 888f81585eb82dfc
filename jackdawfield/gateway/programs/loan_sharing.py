"""Share the loans to programs among the holders of seats.

Any of them may become a program's lender. So each loan is told to all of
them, to one before it is granted. One that starts asks the others before it
lends. It lends nothing until one that knows all loans has answered, or until
the programs that were served before its start can't return.
"""

import asyncio
from collections.abc import Iterable
from functools import partial
import logging

from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.hedging import first_answer
from jackdawfield.gateway.hedging import Source
from jackdawfield.gateway.programs.loan_book import LoanBook
from jackdawfield.gateway.storage.backoff import backoff_delays_s
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_loans import AskLoans
from jackdawfield.messages.fleet_loans import Loan
from jackdawfield.messages.fleet_loans import LoansKnown
from jackdawfield.messages.fleet_loans import LoansNoted
from jackdawfield.messages.fleet_loans import NoteLoans

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_S = 0.2
# A loan is granted only if another member notes it within this time.
WITNESS_TIMEOUT_S = 0.1
# The next member is asked if one has not answered within this time.
WITNESS_OVERDUE_S = 0.03
WITNESSES_ASKED = 3
# Pause before a member is told again.
RETRY_S = 0.2
# Pauses before the others are asked again; only time may tell if none of them
# knows the loans.
MIN_LEARN_PAUSE_S = 0.5
MAX_LEARN_PAUSE_S = 5.0
SEAT_CHECK_INTERVAL_S = 1.0
# At the fleet's first start, those who take seats this early have no earlier
# incarnation.
FIRST_START_S = 10.0


class LoanSharing:
    """Tells the other members of loans, and learns theirs."""

    def __init__(self, members: Members, links: PeerLinks) -> None:
        self.book = LoanBook()
        self._members = members
        self._links = links
        self._tasks = BackgroundTasks()
        self._started_at_s = boot_time_s()
        # Since when this instance holds a seat, and is told of loans.
        self._told_since_s = self._started_at_s
        # Whether every loan to a program that may return is known here.
        self.is_informed = False
        # How long a program may pause and return, unknown without a
        # configuration.
        self.retention_s = float('inf')
        self._untold_by_address: dict[str, dict[tuple[str, str], Loan]] = {}

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(AskLoans, self._answer_ask)
        server.handle(NoteLoans, self._answer_note)

    async def _answer_ask(self, message: AskLoans) -> LoansKnown:
        return LoansKnown(self.book.loans(), self.is_informed)

    async def _answer_note(self, message: NoteLoans) -> LoansNoted:
        for loan in message.loans:
            self.book.note(loan)
        return LoansNoted()

    async def run(self) -> None:
        """Learn the loans whenever this instance has taken a seat."""
        pauses_s = backoff_delays_s(MIN_LEARN_PAUSE_S, MAX_LEARN_PAUSE_S)
        while True:
            if self._members.own_seat is None:
                self.is_informed = False
                self._told_since_s = boot_time_s()
            elif not self.is_informed:
                await self.learn()
                await asyncio.sleep(next(pauses_s))
                continue
            await asyncio.sleep(SEAT_CHECK_INTERVAL_S)
            pauses_s = backoff_delays_s(MIN_LEARN_PAUSE_S, MAX_LEARN_PAUSE_S)

    async def learn(self) -> None:
        """Ask the other members for the loans that they know."""
        addresses = self._addresses()
        answers = await asyncio.gather(
            *(
                self._links.request(address, AskLoans(), ASK_TIMEOUT_S)
                for address in addresses
            )
        )
        informed_count = 0
        for answer in answers:
            match answer:
                case Ok(LoansKnown(loans, is_informed)):
                    self.book.add_unknown(loans)
                    informed_count += is_informed
        self.is_informed = (
            informed_count > 0
            or self._is_first_start
            or boot_time_s() - self._told_since_s > self.retention_s
        )
        if self.is_informed:
            log_event(
                LOG,
                'loans_learned',
                asked=len(addresses),
                informed=informed_count,
                loans=len(self.book.loans()),
            )

    @property
    def _is_first_start(self) -> bool:
        uptime_s = boot_time_s() - self._started_at_s
        return self._members.settings.first_start and uptime_s < FIRST_START_S

    def _addresses(self) -> list[str]:
        rows = self._members.other_rows_by_seat
        return [row.address for row in rows.values()]

    async def share_first(self, loan: Loan, borrower: str) -> bool:
        """Note a loan; return whether it outlives lender and borrower.

        `borrower` is the address of the instance that asks for it.
        """
        before = self.book.lent_for(loan.program, loan.request_id)
        self.share(loan)
        ranked = self._members.peer_addresses()
        witnesses = [address for address in ranked if address != borrower]
        message = NoteLoans((loan,))
        request = self._links.request
        sources: list[Source[LoansNoted, PeerError]] = [
            Source(
                partial(request, address, message, WITNESS_TIMEOUT_S),
                WITNESS_OVERDUE_S,
            )
            for address in witnesses[:WITNESSES_ASKED]
        ]
        noted = await first_answer(sources)
        if isinstance(noted, Ok) or not witnesses:
            return True
        self.share(Loan(loan.program, loan.request_id, before))
        return False

    def share(self, loan: Loan) -> None:
        """Note a loan, and tell the other members without waiting."""
        self.book.note(loan)
        for address in self._addresses():
            is_telling = address in self._untold_by_address
            untold = self._untold_by_address.setdefault(address, {})
            untold[loan.program, loan.request_id] = loan
            if not is_telling:
                self._tasks.spawn(self._tell(address))

    async def hand_over(self, limit_s: float) -> None:
        """Tell every member of all loans, since this instance stops."""
        message = NoteLoans(self.book.loans())
        if not message.loans:
            return
        await asyncio.gather(
            *(
                self._links.request(address, message, limit_s)
                for address in self._addresses()
            )
        )

    async def _tell(self, address: str) -> None:
        """Tell one member until it has noted all, or has left."""
        untold = self._untold_by_address[address]
        try:
            while untold and address in self._addresses():
                told = tuple(untold.values())
                found = await self._links.request(
                    address, NoteLoans(told), ASK_TIMEOUT_S
                )
                if isinstance(found, Ok):
                    _drop_told(untold, told)
                else:
                    await asyncio.sleep(RETRY_S)
        finally:
            del self._untold_by_address[address]


def _drop_told(
    untold: dict[tuple[str, str], Loan], told: Iterable[Loan]
) -> None:
    """Drop the loans that were told and have not changed since."""
    for loan in told:
        key = (loan.program, loan.request_id)
        if untold.get(key) == loan:
            del untold[key]
