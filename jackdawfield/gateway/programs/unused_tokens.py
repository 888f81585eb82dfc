"""Ask other instances for the tokens of a program that they do not use."""

import asyncio
from collections.abc import Iterable

from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.messages.fleet_budgets import ReturnTokens
from jackdawfield.messages.fleet_budgets import TokensReturned

# A call waits this long at most before it is refused for its budget.
ASK_TIMEOUT_S = 0.3


def writer_name(address: str, incarnation: str) -> str:
    """Return how an incarnation of an instance is named in ledgers."""
    return f'{address}/{incarnation}'


class UnusedTokens:
    """Collects unused tokens from the instances that served a program."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def register(self, server: PeerServer, accounts: ProgramAccounts) -> None:
        """Return this instance's unused tokens when others ask for them."""

        async def answer(message: ReturnTokens) -> TokensReturned:
            program = ProgramKey(message.program)
            return TokensReturned(await accounts.return_unused(program))

        server.handle(ReturnTokens, answer)

    async def collect(
        self, program: ProgramKey, writers: Iterable[str]
    ) -> bool:
        """Ask the writers of a program's row; return whether any returned.

        A later incarnation at a writer's address holds none of its tokens.
        """
        addresses = [writer.rpartition('/')[0] for writer in writers]
        answers = await asyncio.gather(
            *(self._ask(address, program) for address in addresses)
        )
        return any(answers)

    async def _ask(self, address: str, program: ProgramKey) -> bool:
        found = await self._links.request(
            address, ReturnTokens(program.text), ASK_TIMEOUT_S
        )
        match found:
            case Ok(TokensReturned(any=returned)):
                return returned
        return False
