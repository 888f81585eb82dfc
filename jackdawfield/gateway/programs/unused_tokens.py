"""Ask other instances for the tokens of a program that they do not use."""

import asyncio
from collections.abc import Iterable

from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.token_holders import HOLDERS_ASKED
from jackdawfield.gateway.programs.token_holders import other_holders
from jackdawfield.gateway.programs.token_pool import TokenPool
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.messages.fleet_budgets import ReturnTokens
from jackdawfield.messages.fleet_budgets import TokensReturned

# A call waits this long at most before it is refused for its budget.
ASK_TIMEOUT_S = 0.3


def writer_name(address: str, incarnation: str) -> str:
    """Return how an incarnation of an instance is named in ledgers."""
    return f'{address}/{incarnation}'


def address_of_writer(writer: str) -> str:
    """Return the address of an instance that is named in a ledger."""
    return writer.rpartition('/')[0]


class UnusedTokens:
    """Collects unused tokens from the instances that have some."""

    def __init__(self, links: PeerLinks, members: Members) -> None:
        self._links = links
        self._members = members
        self.pool = TokenPool()
        self._accounts: ProgramAccounts | None = None

    def register(self, server: PeerServer, accounts: ProgramAccounts) -> None:
        """Return this instance's unused tokens when others ask for them."""
        self._accounts = accounts

        async def answer(message: ReturnTokens) -> TokensReturned:
            program = ProgramKey(message.program)
            given = self.pool.take_of(program.text)
            if given:
                return TokensReturned(
                    await accounts.return_given(program, given)
                )
            return TokensReturned(await accounts.return_unused(program))

        server.handle(ReturnTokens, answer)

    async def collect(
        self, program: ProgramKey, writers: Iterable[str]
    ) -> bool:
        """Ask the writers of a program's row and the holders of tokens.

        Return whether any returned some. A later incarnation at a writer's
        address holds none of its tokens.
        """
        given = self.pool.take_of(program.text)
        if given and self._accounts is not None:
            self._accounts.receive(program, given)
        holders = other_holders(self._members, program.text)
        addresses = dict.fromkeys(
            (
                *(address_of_writer(writer) for writer in writers),
                *holders[:HOLDERS_ASKED],
            )
        )
        answers = await asyncio.gather(
            *(self._ask(address, program) for address in addresses)
        )
        return bool(given) or any(answers)

    async def _ask(self, address: str, program: ProgramKey) -> bool:
        found = await self._links.request(
            address, ReturnTokens(program.text), ASK_TIMEOUT_S
        )
        match found:
            case Ok(TokensReturned(any=returned)):
                return returned
        return False
