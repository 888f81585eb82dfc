"""Obtain tokens for calls whose reservations the store does not answer.

Those that other instances hold come first, since the program's row counts
them already. What is missing is lent beyond the budget.
"""

import asyncio
from dataclasses import dataclass
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.loan_sharing import LoanSharing
from jackdawfield.gateway.programs.overdraft import OverdraftLender
from jackdawfield.gateway.programs.overdraft import Overdrafts
from jackdawfield.gateway.programs.served_programs import ServedPrograms
from jackdawfield.gateway.programs.token_pool import TokenPool
from jackdawfield.gateway.programs.token_transfers import ASK_TIMEOUT_S
from jackdawfield.gateway.programs.token_transfers import TokenTransfers
from jackdawfield.gateway.programs.turn_copies import TurnCopies
from jackdawfield.gateway.programs.turns import ProgramKey

# Programs are taken to return for so long, also if no route retains them.
MIN_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class Advance:
    """Holds a call's tokens that were taken from peers, and those lent."""

    taken: int = 0
    borrowed: int = 0

    @property
    def tokens(self) -> int:
        """Return the tokens that may be handed over without a reservation."""
        return self.taken + self.borrowed

    def part_used(self, used: int) -> 'Advance':
        """Return what a call has used of it; taken tokens are used first."""
        taken = min(used, self.taken)
        return Advance(taken, min(used - taken, self.borrowed))

    def without(self, part: 'Advance') -> 'Advance':
        """Return what is left of it without a part."""
        return Advance(self.taken - part.taken, self.borrowed - part.borrowed)


class Advances:
    """Obtains tokens while the store is away, and gives them back."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        ownership: Ownership,
        accounts: ProgramAccounts,
        pool: TokenPool,
    ) -> None:
        self.loans = LoanSharing(members, links)
        self.lender = OverdraftLender(ownership, self.loans)
        self._overdrafts = Overdrafts(
            members, links, ownership, self.lender, self.loans
        )
        self.served = ServedPrograms(members, links, accounts.recent_programs)
        self.transfers = TokenTransfers(
            members, links, accounts, self.lender, pool, self.served
        )
        self._tasks = BackgroundTasks()
        self._members = members
        self._links = links
        self._accounts = accounts
        self.turn_copies: TurnCopies | None = None

    def share_turns(self, chains: ChainReader) -> None:
        """Pass copies of turns to others, and ask them for theirs."""
        self.turn_copies = TurnCopies(
            self._members,
            self._links,
            chains.cache,
            self._accounts,
            self.served,
        )
        chains.read_copies = self.turn_copies.read

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        self.loans.register(server)
        self.lender.register(server)
        self.transfers.register(server)
        self.served.register(server)
        if self.turn_copies is not None:
            self.turn_copies.register(server)

    def configure(self, configuration: FleetConfiguration) -> None:
        """Take over how long programs may pause and return."""
        longest_s = configuration.longest_retention_s
        self.loans.retention_s = max(longest_s, MIN_RETENTION_S)

    @property
    def is_store_away(self) -> bool:
        """Return whether the path to the store is known to be lost."""
        return self.served.is_away

    def note_store(self, is_away: bool) -> None:
        """Name own programs to token holders when the store is lost."""
        self.served.note_store(is_away, boot_time_s())

    def begin_stop(self, is_store_away: bool) -> None:
        """Lend no more, and give away what others can't reserve now.

        While the store answers, calls that still come use the unused tokens.
        """
        self._tasks.spawn(self.transfers.hand_over_lent(ASK_TIMEOUT_S))
        self._tasks.spawn(self.loans.hand_over(ASK_TIMEOUT_S))
        if is_store_away:
            self._tasks.spawn(self.transfers.hand_over_unused(ASK_TIMEOUT_S))

    async def end_stop(self, until_s: float) -> None:
        """Give away what the last calls left, before a monotonic time.

        Turns are sent only if others can't read them from the store.
        """
        limit_s = until_s - time.monotonic()
        work = [self.transfers.hand_over_unused(limit_s)]
        if self.turn_copies is not None and self.served.is_away:
            work.append(self.turn_copies.hand_over(limit_s))
        await asyncio.gather(*work)

    async def obtain(
        self, program: ProgramKey, most: int, may_borrow: bool, request_id: str
    ) -> Advance:
        """Return tokens for one call, at most as many as it generates."""
        taken = await self.transfers.take(program, most, request_id)
        if taken >= most or not may_borrow:
            return Advance(taken)
        borrowed = await self._overdrafts.borrow(
            program, most - taken, request_id
        )
        return Advance(taken, borrowed)

    def give_back(
        self, program: ProgramKey, part: Advance, request_id: str
    ) -> None:
        """Give tokens back that were not handed over, or are reserved now."""
        self.transfers.give(program, part.taken)
        self._overdrafts.give_back(program, part.borrowed, request_id)
