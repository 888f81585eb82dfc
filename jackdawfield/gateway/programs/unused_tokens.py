"""Ask other instances for the tokens of a program that they do not use."""

import asyncio
from collections.abc import Iterable

from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.messages.fleet_budgets import ReturnTokens
from jackdawfield.messages.fleet_budgets import TokensReturned
from jackdawfield.model import InstanceId

# A call waits this long at most before it is refused for its budget.
ASK_TIMEOUT_S = 0.3


class UnusedTokens:
    """Collects unused tokens from the instances that served a program."""

    def __init__(self, members: Members, links: PeerLinks) -> None:
        self._members = members
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

        A writer is named by its instance and its incarnation. One that has
        ended holds no tokens any more.
        """
        addresses = [
            address
            for writer in writers
            if (address := self._address_of(writer)) is not None
        ]
        answers = await asyncio.gather(
            *(self._ask(address, program) for address in addresses)
        )
        return any(answers)

    def _address_of(self, writer: str) -> str | None:
        instance_id, _, incarnation = writer.rpartition('.')
        row = self._members.rows_by_id.get(InstanceId(instance_id))
        if row is None or row.left or row.incarnation != incarnation:
            return None
        return row.address

    async def _ask(self, address: str, program: ProgramKey) -> bool:
        found = await self._links.request(
            address, ReturnTokens(program.text), ASK_TIMEOUT_S
        )
        match found:
            case Ok(TokensReturned(any=returned)):
                return returned
        return False
