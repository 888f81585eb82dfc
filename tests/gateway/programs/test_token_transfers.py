"""Test that unused tokens of programs move between instances.

Load pattern: instances are stopped and started in turn while the store is
away, and the next calls of their programs come in at others.
"""

import asyncio
import itertools
import random
import time
from typing import Any
import unittest
from unittest import mock

from result import Err
from result import Ok
from result import Result

from jackdawfield.background import BackgroundTasks
from jackdawfield.decisions.table import NotApplied
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.calls import Refusal
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.accounts import Verdict
from jackdawfield.gateway.programs.advances import Advance
from jackdawfield.gateway.programs.advances import Advances
from jackdawfield.gateway.programs.ledger import Reserve
from jackdawfield.gateway.programs.ledger import Settle
from jackdawfield.gateway.programs.served_programs import NAME_INTERVAL_S
from jackdawfield.gateway.programs.served_programs import ProgramDirectory
from jackdawfield.gateway.programs.served_programs import ServedPrograms
from jackdawfield.gateway.programs.spending import BORROW_AFTER_S
from jackdawfield.gateway.programs.spending import Spending
from jackdawfield.gateway.programs.token_holders import rank_holders
from jackdawfield.gateway.programs.token_pool import TokenPool
from jackdawfield.gateway.programs.unused_tokens import UnusedTokens
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowsRead
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.gateway.storage.rows import StoreError
from jackdawfield.standins.row_store import MemoryRowStore
from tests.gateway.harness import Fleet
from tests.gateway.programs.test_overdraft import short_stream
from tests.gateway.programs.test_turns import PROGRAM

MOST = 286
EVENT = 11
USED = 7 * EVENT
BORROW_AFTER = 'jackdawfield.gateway.programs.spending.BORROW_AFTER_S'
SERVED = 'jackdawfield.gateway.programs.served_programs'
SEATS = ('a', 'b', 'c')
REQUEST_NUMBERS = itertools.count()


class AwayStore(MemoryRowStore):
    """Applies nothing while it is away."""

    def __init__(self) -> None:
        super().__init__()
        self.is_away = False

    async def read(
        self, table: str, part: str, start_key: str = '', end_key: str = ''
    ) -> Result[RowsRead, StoreError]:
        if self.is_away:
            return Err(StoreError('away'))
        return await super().read(table, part, start_key, end_key)

    async def transact(
        self, transaction: RowTransaction, timeout_s: float
    ) -> RowOutcome:
        if self.is_away:
            return NotApplied('away')
        return await super().transact(transaction, timeout_s)


class Links:
    """Passes messages to instances by address; some lose or refuse them."""

    def __init__(self) -> None:
        self.handlers_by_address: dict[str, dict[type, Any]] = {}
        self.ended: set[str] = set()
        # Instances whose next answers are lost.
        self.unheard: set[str] = set()

    async def request(
        self, address: str, message: object, timeout_s: float
    ) -> Result[Any, PeerError]:
        if address in self.ended:
            return Err(PeerError(PeerFault.NOT_SENT, 'refused'))
        handler = self.handlers_by_address[address][type(message)]
        answer = await handler(message)
        if address in self.unheard:
            return Err(PeerError(PeerFault.LOST, 'timeout'))
        return Ok(answer)


class Instance:
    """Holds what one instance knows of programs."""

    def __init__(self, name: str, store: MemoryRowStore, links: Links) -> None:
        handlers = links.handlers_by_address[name] = {}
        server = mock.Mock()
        server.handle = handlers.__setitem__
        own_seat = SeatId(name) if name in SEATS else None
        members = mock.Mock(own_address=name, own_seat=own_seat)
        members.other_rows_by_seat = {
            SeatId(seat): mock.Mock(address=seat)
            for seat in SEATS
            if seat != name
        }
        members.rows_by_seat = members.other_rows_by_seat
        members.peer_addresses.return_value = [
            seat for seat in SEATS if seat != name
        ]
        self.ownership = ownership = mock.Mock(spec=Ownership)
        ownership.is_sole_owner.return_value = False
        ownership.owner_of.side_effect = lambda key: rank_holders(
            key, [SeatId(seat) for seat in SEATS]
        )[0]
        ownership.successors_of.side_effect = lambda key: rank_holders(
            key, [SeatId(seat) for seat in SEATS if seat != name]
        )
        self.tasks = BackgroundTasks()
        unused = UnusedTokens(links, members)  # type: ignore[arg-type]
        self.pool = unused.pool
        self.accounts = ProgramAccounts(
            store, f'{name}/{random.random()}', unused.collect
        )
        unused.register(server, self.accounts)
        self.advances = Advances(
            members,
            links,  # type: ignore[arg-type]
            ownership,
            self.accounts,
            self.pool,
        )
        self.advances.register(server)

    async def serve(
        self, budget: int, used: int = USED, limit_s: float = 1.0
    ) -> int:
        """Serve a call; return the tokens that were handed over."""
        call = mock.Mock(spec=Call)
        call.request_id = f'r{next(REQUEST_NUMBERS)}'
        call.deadline_s = time.monotonic() + limit_s
        call.route = mock.Mock(keeps_turns=False)
        call.headers = mock.Mock(budget_tokens=budget, max_tokens=MOST)
        spending = Spending(
            self.accounts, self.advances, self.tasks, PROGRAM, call, EVENT
        )
        handed_over = 0
        try:
            if isinstance(await spending.begin(), Refusal):
                return 0
            if not await spending.wait_until_reserved():
                return 0
            while handed_over < used and await spending.hand_over(1):
                handed_over += EVENT
                await asyncio.sleep(0)
            return handed_over
        finally:
            spending.end()

    async def reserve_and_keep(self, budget: int) -> None:
        """Serve a call while the store answers."""
        verdict = await self.accounts.reserve(
            PROGRAM, Reserve(MOST, budget, True), time.monotonic() + 1.0
        )
        assert verdict is Verdict.FITS
        self.accounts.keep_unused(PROGRAM, Settle(MOST, USED, budget))


class PoolTest(unittest.TestCase):
    def test_tokens_are_taken_once(self) -> None:
        pool = TokenPool()
        pool.put('p', 30, 1.0)
        pool.put('p', 20, 2.0)
        given = pool.take('p', 40)
        assert given is not None
        self.assertEqual((given.tokens, given.at_s), (40, 2.0))
        self.assertEqual(pool.take_of('p'), 10)
        self.assertIsNone(pool.take('p', 40))

    def test_part_of_an_advance_is_used_from_what_was_taken_first(
        self,
    ) -> None:
        advance = Advance(taken=30, borrowed=50)
        used = advance.part_used(44)
        self.assertEqual(used, Advance(30, 14))
        self.assertEqual(advance.without(used), Advance(0, 36))

    def test_directory_names_the_latest_instances(self) -> None:
        directory = ProgramDirectory()
        for address in ('a', 'b', 'a', 'c', 'd'):
            directory.note(address, ('p', 'q'))
        self.assertEqual(directory.find('p'), ('d', 'c', 'a'))
        self.assertEqual(directory.find('r'), ())

    # Guards against a store that comes and goes, and with it a message to
    # each holder.
    def test_programs_are_named_once_while_the_store_flickers(self) -> None:
        served = ServedPrograms(mock.Mock(), mock.Mock(), mock.Mock())
        with (
            mock.patch.object(served._tasks, 'spawn') as spawn,
            mock.patch(
                f'{SERVED}.ServedPrograms.name_programs', new=mock.Mock()
            ),
        ):
            for number in range(20):
                served.note_store(is_away=number % 2 == 0, now_s=number / 10)
            spawn.assert_called_once()
            served.note_store(is_away=True, now_s=NAME_INTERVAL_S + 1)
            self.assertEqual(spawn.call_count, 2)

    def test_stopped_holder_leaves_the_order_of_the_others(self) -> None:
        first, *others = rank_holders('p', [SeatId(s) for s in 'abcd'])
        self.assertEqual(rank_holders('p', others), others)
        self.assertNotEqual(first, others[0])


class TransferCase(unittest.IsolatedAsyncioTestCase):
    """Starts three instances that hold seats, and no network."""

    async def asyncSetUp(self) -> None:
        borrow_after = mock.patch(BORROW_AFTER, 0.005)
        borrow_after.start()
        self.addCleanup(borrow_after.stop)
        self.store = AwayStore()
        self.links = Links()
        self.by_name = {name: self.start(name) for name in SEATS}
        seats = [SeatId(seat) for seat in SEATS]
        ranked = rank_holders(PROGRAM.text, seats)
        self.first, self.second, self.last = (str(seat) for seat in ranked)

    def start(self, name: str) -> Instance:
        """Start an instance, as a new incarnation that knows nothing."""
        return Instance(name, self.store, self.links)

    async def stop(self, name: str) -> None:
        """Stop an instance as planned, and start it again."""
        advances = self.by_name[name].advances
        advances.begin_stop(is_store_away=self.store.is_away)
        await advances.end_stop(time.monotonic() + 1.0)
        await advances._tasks.wait(1.0)
        self.by_name[name] = self.start(name)

    async def play(self, dice: random.Random, budget: int) -> int:
        used = 0
        for _ in range(40):
            self.store.is_away = dice.random() < 0.6
            self.links.unheard = {n for n in SEATS if dice.random() < 0.1}
            name = dice.choice(SEATS)
            if dice.random() < 0.25:
                await self.stop(name)
            calls = [
                self.by_name[dice.choice(SEATS)].serve(
                    budget, dice.randrange(EVENT, MOST, EVENT), 0.08
                )
                for _ in range(dice.choice((1, 1, 2)))
            ]
            for instance in self.by_name.values():
                instance.advances.note_store(self.store.is_away)
            used += sum(await asyncio.gather(*calls))
        return used


class TransferTest(TransferCase):
    # Guards against a program that is refused after a planned stop, although
    # the tokens of its next call were granted to the stopped instance.
    async def test_next_call_uses_the_tokens_of_a_stopped_instance(
        self,
    ) -> None:
        for name in SEATS:
            with self.subTest(name):
                self.store.is_away = False
                budget = 1000 * MOST
                await self.by_name[name].reserve_and_keep(budget)
                self.store.is_away = True
                await self.stop(name)
                for other in self.by_name.values():
                    served = await other.serve(budget)
                    self.assertEqual(served, USED)

    # Guards against tokens that lie with an instance which lives, and that
    # the next one knows from the program's row.
    async def test_writers_of_the_row_give_tokens(self) -> None:
        budget = 1000 * MOST
        await self.by_name[self.last].reserve_and_keep(budget)
        await self.by_name[self.first].accounts.refresh(PROGRAM)
        self.store.is_away = True
        served = await self.by_name[self.first].serve(budget, MOST)
        self.assertEqual(served, MOST)
        left = self.by_name[self.last].accounts.give_away(PROGRAM, 2 * MOST)
        self.assertEqual(left, MOST - USED)

    # Guards against tokens that lie with an instance which lives, and that
    # the next one has never heard of.
    async def test_instance_that_served_the_program_gives_tokens(
        self,
    ) -> None:
        budget = 1000 * MOST
        unseated = self.start('d')
        await unseated.reserve_and_keep(budget)
        self.store.is_away = True
        self.assertEqual(await self.by_name[self.last].serve(budget), 0)
        unseated.advances.note_store(is_away=True)
        await unseated.advances.served._tasks.wait(1.0)
        self.assertEqual(await self.by_name[self.last].serve(budget), USED)

    # Guards against a caller that waits for a store which is known to be
    # away as long as for one that is slow.
    async def test_call_waits_less_for_a_store_that_was_lost(self) -> None:
        instance = self.by_name['a']
        spending = Spending(
            instance.accounts,
            instance.advances,
            instance.tasks,
            PROGRAM,
            mock.Mock(spec=Call),
            EVENT,
        )
        before_s = BORROW_AFTER_S
        with mock.patch(BORROW_AFTER, before_s):
            self.assertEqual(spending._store_wait_s, before_s)
            instance.advances.note_store(is_away=True)
            self.assertLess(spending._store_wait_s, before_s)

    # Guards against tokens that a write which is under way counts on.
    async def test_account_in_use_gives_nothing(self) -> None:
        accounts = self.by_name['a'].accounts
        await self.by_name['a'].reserve_and_keep(1000 * MOST)
        self.store.is_away = True
        reserving = asyncio.create_task(
            accounts.reserve(
                PROGRAM, Reserve(3 * MOST, 1000 * MOST), time.monotonic() + 0.2
            )
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(accounts.give_away(PROGRAM, MOST), 0)
        await reserving

    # Guards against tokens that are sent once more after a hand-over whose
    # answer was lost, as the peer was killed halfway.
    async def test_hand_over_that_may_have_arrived_is_not_repeated(
        self,
    ) -> None:
        await self.by_name[self.last].reserve_and_keep(1000 * MOST)
        self.links.unheard.add(self.first)
        await self.stop(self.last)
        self.assertEqual(self.by_name[self.second].pool.tokens, 0)
        self.assertEqual(self.by_name[self.first].pool.tokens, 2 * MOST - USED)

    async def test_second_holder_takes_what_the_first_refused(self) -> None:
        await self.by_name[self.last].reserve_and_keep(1000 * MOST)
        self.links.ended.add(self.first)
        await self.stop(self.last)
        pool = self.by_name[self.second].pool
        self.assertEqual(pool.tokens, 2 * MOST - USED)

    async def test_killed_holder_takes_the_tokens_with_it(self) -> None:
        budget = 5 * MOST
        await self.by_name[self.last].reserve_and_keep(budget)
        self.store.is_away = True
        await self.stop(self.last)
        self.by_name[self.first] = self.start(self.first)
        self.assertEqual(await self.by_name[self.last].serve(budget), 0)

    async def test_all_that_stop_at_once_lose_tokens_but_gain_none(
        self,
    ) -> None:
        budget = 4 * MOST
        await self.by_name[self.last].reserve_and_keep(budget)
        self.store.is_away = True
        await asyncio.gather(*(self.stop(name) for name in SEATS))
        served = [await i.serve(budget) for i in self.by_name.values()]
        pooled = sum(i.pool.tokens for i in self.by_name.values())
        self.assertLessEqual(sum(served) + pooled, 2 * MOST - USED)

    # Guards against taken tokens that are kept beside the reservation which
    # is written once the store is back.
    async def test_store_is_back_in_the_middle_of_a_call(self) -> None:
        budget = 1000 * MOST
        await self.by_name[self.last].reserve_and_keep(budget)
        self.store.is_away = True
        await self.stop(self.last)
        instance = self.by_name[self.last]
        serving = asyncio.create_task(instance.serve(budget, limit_s=2.0))
        await asyncio.sleep(0.05)
        self.store.is_away = False
        self.assertEqual(await serving, USED)
        await instance.tasks.wait(3.0)
        granted = instance.accounts.granted_tokens(PROGRAM)
        unused = sum(i.pool.tokens for i in self.by_name.values())
        unused += sum(
            i.accounts.give_away(PROGRAM, granted)
            for i in self.by_name.values()
        )
        self.assertEqual(granted - unused, 2 * USED)

    # Guards against a successor that lends what the stopped lender has lent.
    async def test_next_lender_knows_what_was_lent(self) -> None:
        for instance in self.by_name.values():
            instance.ownership.is_sole_owner.return_value = True
            instance.advances.loans.is_informed = True
        lender = self.by_name[self.first].advances.lender
        self.assertEqual(await lender.lend(PROGRAM.text, MOST), MOST)
        await self.stop(self.first)
        self.assertEqual(await lender.lend(PROGRAM.text, MOST), 0)
        successor = self.by_name[self.second].advances.lender
        self.assertEqual(await successor.lend(PROGRAM.text, MOST), 0)

    # Guards against a 402 for a budget whose rest was given away.
    async def test_given_tokens_are_collected_before_a_refusal(self) -> None:
        budget = 4 * MOST
        await self.by_name[self.last].reserve_and_keep(budget)
        await self.stop(self.last)
        served = 0
        while await self.by_name[self.last].serve(budget) == USED:
            served += 1
        self.assertEqual(served + 1, (budget - MOST) // USED + 1)

    # Guards against tokens that two instances use.
    async def test_budget_is_never_spent_twice(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                await self.asyncSetUp()
                budget = 6 * MOST
                used = await self.play(random.Random(seed), budget)
                self.assertLessEqual(used, budget)
                self.assertGreater(used, 0)


class LoanTest(TransferCase):
    """Plays the same while the tokens of one call are lent beside.

    An instance that was stopped has released its ownerships, and lends no
    more in its next incarnation.
    """

    async def asyncSetUp(self) -> None:
        self.released: set[str] = set()
        await super().asyncSetUp()

    def lender_of(self, program: str) -> SeatId | None:
        seats = [SeatId(s) for s in SEATS if s not in self.released]
        ranked = rank_holders(program, seats)
        return ranked[0] if ranked else None

    def start(self, name: str) -> Instance:
        instance = super().start(name)
        lends = name not in self.released
        instance.advances.loans.is_informed = True
        instance.ownership.owner_of.side_effect = self.lender_of
        instance.ownership.successors_of.side_effect = lambda program: (
            rank_holders(
                program,
                [
                    SeatId(seat)
                    for seat in SEATS
                    if seat != name and seat not in self.released
                ],
            )
        )
        instance.ownership.is_sole_owner.side_effect = lambda program, _: (
            lends and self.lender_of(program) == name
        )
        return instance

    async def stop(self, name: str) -> None:
        self.released.add(name)
        await super().stop(name)

    # Guards against loans that go beyond the tokens of one call.
    async def test_budget_is_exceeded_by_one_call_at_most(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                await self.asyncSetUp()
                budget = 6 * MOST
                used = await self.play(random.Random(seed), budget)
                self.assertLessEqual(used, budget + MOST)

    # Guards against a record of loans that goes to one that lends no more.
    async def test_loans_are_known_after_two_stops(self) -> None:
        self.store.is_away = True
        lender = self.by_name[self.first].advances.lender
        self.assertEqual(await lender.lend(PROGRAM.text, MOST), MOST)
        await self.stop(self.first)
        await self.stop(self.second)
        third = self.by_name[self.last].advances.lender
        self.assertEqual(await third.lend(PROGRAM.text, MOST), 0)


class OutageTest(unittest.IsolatedAsyncioTestCase):
    # Guards against `budget not readable now` at the instance that gets the
    # next call of a program, whose instance was stopped as planned.
    async def test_program_goes_on_after_a_planned_stop(self) -> None:
        fleet = Fleet()
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(2)
        fleet.server.script = short_stream
        first, second = fleet.gateways
        for gateway in fleet.gateways:
            await fleet.wait_until(
                lambda g=gateway: len(g.members.rows_by_seat) == 2
            )
            # Nothing is lent.
            gateway.overdraft_lender.close()
        headers = {
            'Program_Id': 'program',
            'Token_Usage': '10,99',
            'Token_Budget': '10000',
            'Deadline_Ms': '1500',
        }
        answer = await fleet.call(first, 'r1', '/resumable/x', **headers)
        self.assertTrue(answer.whole)
        fleet.store.is_refusing = True
        await first.stop()
        fleet.gateways.remove(first)
        answer = await fleet.call(second, 'r2', '/resumable/x', **headers)
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertGreater(second.advances.transfers.taken_tokens, 0)
