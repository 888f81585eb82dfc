"""Test streams of programs while the store is unavailable.

Load pattern: programs of a few short calls begin and go on during an outage
of the store, among them some that loop until their budget ends.
"""

import asyncio
import unittest
from unittest import mock

from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.programs.loan_sharing import LoanSharing
from jackdawfield.gateway.programs.overdraft import OverdraftLender
from jackdawfield.gateway.programs.turns import program_key
from jackdawfield.model import OrganisationId
from tests.gateway.harness import Answer
from tests.gateway.harness import Fleet
from tests.gateway.scripted_server import ReceivedRequest
from tests.gateway.test_streams import event
from tests.gateway.test_streams import EVENT_COUNT
from tests.gateway.test_streams import send_chunk
from tests.gateway.test_streams import send_head
from tests.gateway.test_streams import TOKENS_PER_EVENT

MOST = EVENT_COUNT * TOKENS_PER_EVENT
EVENTS_PER_CALL = 2
USED = EVENTS_PER_CALL * TOKENS_PER_EVENT
PROGRAM = program_key(OrganisationId('org'), 'program').text


async def short_stream(received: ReceivedRequest) -> None:
    send_head(received)
    for number in range(EVENTS_PER_CALL):
        send_chunk(received, event(number))
    received.writer.write(b'0\r\n\r\n')


class LenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        ownership = mock.Mock(spec=Ownership)
        ownership.is_sole_owner.return_value = True
        self.ownership = ownership
        members = mock.Mock(other_rows_by_seat={})
        members.peer_addresses.return_value = []
        self.loans = LoanSharing(members, mock.Mock())
        self.loans.is_informed = True
        self.lender = OverdraftLender(ownership, self.loans)

    async def test_tokens_of_one_call_are_lent_once(self) -> None:
        self.assertEqual(await self.lender.lend('p', MOST), MOST)
        self.assertEqual(await self.lender.lend('p', MOST), 0)
        self.assertEqual(await self.lender.lend('q', MOST), MOST)
        self.lender.take_back('p', MOST - USED)
        self.assertEqual(await self.lender.lend('p', MOST), MOST - USED)
        self.lender.take_back('p', 10 * MOST)
        self.assertEqual(await self.lender.lend('p', MOST), MOST)

    async def test_nothing_is_lent_while_another_may_lend(self) -> None:
        self.ownership.is_sole_owner.return_value = False
        self.assertEqual(await self.lender.lend('p', MOST), 0)

    async def test_nothing_is_lent_before_earlier_loans_are_known(
        self,
    ) -> None:
        self.loans.is_informed = False
        self.assertEqual(await self.lender.lend('p', MOST), 0)


class OutageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(2)
        self.fleet.server.script = short_stream
        for gateway in self.fleet.gateways:
            await self.fleet.wait_until(
                lambda g=gateway: len(g.members.rows_by_seat) == 2
            )
            gateway.advances.loans.is_informed = True
            # As if the members had not changed for a while.
            ownership = gateway.rate_owner.ownership
            ownership._serving_changed_at_s -= 60
            await self.fleet.wait_until(
                lambda o=ownership: o._is_settled(boot_time_s())
            )
        self.number = 0

    async def call(self, gateway: int, budget: int) -> Answer:
        self.number += 1
        return await self.fleet.call(
            self.fleet.gateways[gateway],
            f'r{self.number}',
            '/resumable/x',
            Program_Id='program',
            Token_Usage=f'10,{MOST}',
            Token_Budget=str(budget),
            Deadline_Ms='1500',
        )

    async def granted(self) -> int:
        account = self.fleet.gateways[0].accounts
        await account.refresh(type(program_key(None, ''))(PROGRAM))
        return account.granted_tokens(type(program_key(None, ''))(PROGRAM))

    async def test_program_is_served_from_borrowed_tokens(self) -> None:
        self.fleet.store.is_refusing = True
        for _ in range(MOST // USED):
            answer = await self.call(0, 1000)
            self.assertEqual((answer.status, answer.whole), (200, True))
        # The tokens of one call are used up over all instances.
        answer = await self.call(1, 1000)
        self.assertEqual(answer.status, 503)

    async def test_borrowed_tokens_are_recorded_afterwards(self) -> None:
        self.fleet.store.is_refusing = True
        for _ in range(2):
            self.assertTrue((await self.call(0, 1000)).whole)
        self.fleet.store.is_refusing = False
        async with asyncio.timeout(8.0):
            while await self.granted() < 2 * USED:
                await asyncio.sleep(0.1)

    async def test_budget_is_exceeded_by_one_call_at_most(self) -> None:
        budget = 2 * MOST
        given = 0
        for round_number in range(4):
            self.fleet.store.is_refusing = round_number % 2 == 1
            for number in range(4):
                answer = await self.call(number % 2, budget)
                given += answer.body.count(b'data:') * TOKENS_PER_EVENT
        self.assertLessEqual(given, budget + MOST)
        self.assertGreaterEqual(given, MOST)
