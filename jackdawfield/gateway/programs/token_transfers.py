"""Move unused tokens of programs between instances without the store.

Tokens are moved and never copied: a sender first takes them out of what it
holds. Those that are lost on the way count as spent in the program's row.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
from contextlib import suppress
import logging

from result import Err
from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.overdraft import OverdraftLender
from jackdawfield.gateway.programs.served_programs import ServedPrograms
from jackdawfield.gateway.programs.token_holders import HOLDERS_ASKED
from jackdawfield.gateway.programs.token_holders import is_first_holder
from jackdawfield.gateway.programs.token_holders import other_holders
from jackdawfield.gateway.programs.token_pool import TokenPool
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.unused_tokens import address_of_writer
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_budgets import HandOverTokens
from jackdawfield.messages.fleet_budgets import TakeTokens
from jackdawfield.messages.fleet_budgets import TokensGiven
from jackdawfield.messages.fleet_budgets import TokensTaken

LOG = logging.getLogger(__name__)
ASK_TIMEOUT_S = 0.2
# Writers of a program's row that are asked beside the holders.
WRITERS_ASKED = 2
# Programs in one message, and in all that an instance sends at its stop; the
# most recently used ones go first.
PROGRAMS_PER_MESSAGE = 1000
MAX_PROGRAMS_HANDED_OVER = 8000
# Limits of the time that a hand-over may take at a stop.
MIN_HAND_OVER_S = 0.1
MAX_HAND_OVER_S = 0.5


class TokenTransfers:
    """Gives tokens to the holders of programs, and takes them from them."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        accounts: ProgramAccounts,
        lender: OverdraftLender,
        pool: TokenPool,
        served: ServedPrograms,
    ) -> None:
        self._members = members
        self._links = links
        self._accounts = accounts
        self._lender = lender
        self._pool = pool
        self._served = served
        self._tasks = BackgroundTasks()
        self._is_stopping = False
        self.taken_tokens = 0
        self.handed_over_tokens = 0

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(TakeTokens, self._answer_take)
        server.handle(HandOverTokens, self._answer_hand_over)

    async def _answer_take(self, message: TakeTokens) -> TokensGiven:
        given = self._pool.take(message.program, message.most_tokens)
        if given is not None:
            return TokensGiven(given.tokens, boot_time_s() - given.at_s)
        unused = self._accounts.give_away(
            ProgramKey(message.program), message.most_tokens
        )
        return TokensGiven(unused, 0.0)

    async def _answer_hand_over(self, message: HandOverTokens) -> TokensTaken:
        now_s = boot_time_s()
        for program, tokens in message.tokens_by_program.items():
            self._pool.put(program, tokens, now_s)
        for program, tokens in message.lent_by_program.items():
            self._lender.adopt(program, tokens)
        return TokensTaken()

    async def take(
        self, program: ProgramKey, most: int, request_id: str
    ) -> int:
        """Take tokens that other instances hold; return how many.

        They are the caller's, which gives back what it does not use.
        """
        given = self._pool.take(program.text, most)
        if given is not None:
            found = [('pool', TokensGiven(given.tokens, 0.0))]
        else:
            found = await self._ask_all(program, most)
        tokens = sum(answer.tokens for _, answer in found)
        self.give(program, tokens - most)
        self.taken_tokens += min(tokens, most)
        log_event(
            LOG,
            'tokens_taken',
            request=request_id,
            program=program.text,
            tokens=min(tokens, most),
            sources=','.join(source for source, _ in found) or None,
            age_s=round(max((a.age_s for _, a in found), default=0.0), 2),
        )
        return min(tokens, most)

    async def _ask_all(
        self, program: ProgramKey, most: int
    ) -> list[tuple[str, TokensGiven]]:
        """Ask who may hold tokens of a program; return who gave some.

        Those who served it are asked if its holders have none.
        """
        writers = self._accounts.writers_of(program)[:WRITERS_ASKED]
        holders = other_holders(self._members, program.text)[:HOLDERS_ASKED]
        asked = (*holders, *map(address_of_writer, writers))
        given, served = await asyncio.gather(
            self._ask(program, most, asked), self._served.find(program)
        )
        if given:
            return given
        return await self._ask(
            program, most, [a for a in served if a not in asked]
        )

    async def _ask(
        self, program: ProgramKey, most: int, asked: Iterable[str]
    ) -> list[tuple[str, TokensGiven]]:
        addresses = dict.fromkeys(asked)
        # An earlier incarnation of this instance may have written the row.
        addresses.pop(self._members.own_address, None)
        message = TakeTokens(program.text, most)
        answers = await asyncio.gather(
            *(
                self._links.request(address, message, ASK_TIMEOUT_S)
                for address in addresses
            )
        )
        return list(_given(addresses, answers))

    def give(self, program: ProgramKey, tokens: int) -> None:
        """Give tokens to the program's holder, without waiting."""
        if tokens <= 0:
            return
        if not self._is_stopping and is_first_holder(
            self._members, program.text
        ):
            self._pool.put(program.text, tokens, boot_time_s())
            return
        self._tasks.spawn(
            self._send({program.text: tokens}, {}, ASK_TIMEOUT_S)
        )

    async def hand_over_lent(self, limit_s: float) -> None:
        """Tell the next lenders what was lent, and lend nothing more."""
        await self._send({}, self._lender.close(), limit_s)

    async def hand_over_unused(self, limit_s: float) -> None:
        """Give away what no call uses, since this instance stops.

        What calls leave that are still under way is given away if this is
        called again.
        """
        self._is_stopping = True
        unused = self._accounts.give_all_away()
        for program, tokens in self._pool.take_all().items():
            unused[program] = unused.get(program, 0) + tokens
        limit_s = min(max(MIN_HAND_OVER_S, limit_s), MAX_HAND_OVER_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._send(unused, {}, limit_s)

    async def _send(
        self,
        tokens_by_program: Mapping[str, int],
        lent_by_program: Mapping[str, int],
        limit_s: float,
    ) -> None:
        """Send tokens to the programs' holders, to each its own."""
        programs = dict.fromkeys((*lent_by_program, *tokens_by_program))
        programs_by_holders: dict[tuple[str, ...], list[str]] = {}
        for program in list(programs)[:MAX_PROGRAMS_HANDED_OVER]:
            holders = (
                self._next_lenders(program)
                if program in lent_by_program
                else other_holders(self._members, program)
            )[:HOLDERS_ASKED]
            programs_by_holders.setdefault(tuple(holders), []).append(program)
        sent = []
        for addresses, held in programs_by_holders.items():
            for start in range(0, len(held), PROGRAMS_PER_MESSAGE):
                batch = held[start : start + PROGRAMS_PER_MESSAGE]
                message = HandOverTokens(
                    _only(tokens_by_program, batch),
                    _only(lent_by_program, batch),
                )
                sent.append(self._send_to_one(addresses, message, limit_s))
        await asyncio.gather(*sent)

    def _next_lenders(self, program: str) -> list[str]:
        """Return the addresses of those that lend after this instance.

        Another holder may have stopped as well, and will not lend again.
        """
        rows = self._members.other_rows_by_seat
        return [
            rows[seat_id].address
            for seat_id in self._lender.next_lenders(program)
            if seat_id in rows
        ]

    async def _send_to_one(
        self, holders: tuple[str, ...], message: HandOverTokens, limit_s: float
    ) -> None:
        """Send a message to the first holder that can take it.

        One that may have taken it is the last: tokens are given only once.
        """
        address, outcome = None, 'no holder'
        for address in holders:
            found = await self._links.request(address, message, limit_s)
            outcome = _outcome_of(found)
            if outcome != PeerFault.NOT_SENT.value:
                break
        tokens = sum(message.tokens_by_program.values())
        self.handed_over_tokens += tokens
        log_event(
            LOG,
            'tokens_handed_over',
            holder=address,
            programs=len(message.tokens_by_program),
            tokens=tokens,
            lent=sum(message.lent_by_program.values()),
            outcome=outcome,
        )


def _given(
    addresses: Iterable[str], answers: Iterable[Result[object, PeerError]]
) -> Iterable[tuple[str, TokensGiven]]:
    for address, answer in zip(addresses, answers, strict=True):
        match answer:
            case Ok(TokensGiven(tokens) as given) if tokens > 0:
                yield address, given


def _only(
    tokens_by_program: Mapping[str, int], programs: Iterable[str]
) -> dict[str, int]:
    return {
        program: tokens_by_program[program]
        for program in programs
        if program in tokens_by_program
    }


def _outcome_of(found: Result[object, PeerError]) -> str:
    match found:
        case Ok():
            return 'taken'
        case Err(error):
            return str(error.fault.value)
