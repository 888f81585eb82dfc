"""Test that stored turns pass between instances while the store is away.

Load pattern: programs whose next turn comes in at another instance than the
one before, since that was stopped or the caller's way has changed.
"""

import asyncio
import dataclasses
from typing import Any
import unittest
from unittest import mock

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.chains import TurnUnavailable
from jackdawfield.gateway.programs.ledger import encode_row
from jackdawfield.gateway.programs.ledger import LedgerRow
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_copies import BATCH_BYTES
from jackdawfield.gateway.programs.turn_copies import is_whole_chain
from jackdawfield.gateway.programs.turn_copies import MAX_HANDED_OVER_BYTES
from jackdawfield.gateway.programs.turn_copies import TurnCopies
from jackdawfield.messages.fleet_turns import KeepTurns
from jackdawfield.messages.fleet_turns import ReadTurns
from jackdawfield.messages.fleet_turns import TurnsKept
from jackdawfield.messages.fleet_turns import TurnsKnown
from jackdawfield.model import OrganisationId
from jackdawfield.standins.row_store import MemoryRowStore
from jackdawfield.standins.row_store import StoreFault
from tests.gateway.harness import Fleet
from tests.gateway.programs.test_turns import ORGANISATION
from tests.gateway.programs.test_turns import PROGRAM
from tests.gateway.programs.test_turns import record

CACHE_BYTES = 50_000_000
CHAIN = (record('1', None, b'a'), record('2', '1', b'b'))


class WholeChainTest(unittest.TestCase):
    # Guards against a prompt that lacks earlier turns, or has another
    # organisation's.
    def test_chain_has_all_ancestors_of_one_organisation(self) -> None:
        first, second = CHAIN
        other = dataclasses.replace(
            first, organisation_id=OrganisationId('other')
        )
        turn = TurnId('2')
        self.assertTrue(is_whole_chain(CHAIN, ORGANISATION, turn))
        for records in ((), (second,), (second, first), (other, second)):
            self.assertFalse(is_whole_chain(records, ORGANISATION, turn))
        self.assertFalse(is_whole_chain(CHAIN, ORGANISATION, TurnId('1')))
        self.assertFalse(is_whole_chain(CHAIN, None, turn))


class Peers:
    """Answers for one peer from its memory, unless it has ended."""

    def __init__(self) -> None:
        self.peer: TurnCopies | None = None
        self.kept: list[KeepTurns] = []
        self.answer: TurnsKnown | None = None

    async def request(
        self, address: str, message: Any, timeout_s: float
    ) -> Result[Any, PeerError]:
        match message:
            case KeepTurns():
                self.kept.append(message)
                return Ok(TurnsKept())
            case ReadTurns() if self.answer is not None:
                return Ok(self.answer)
            case ReadTurns() if self.peer is not None:
                return Ok(await self.peer._answer_read(message))
        return Err(PeerError(PeerFault.LOST, 'timeout'))


class TurnCopiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryRowStore()
        self.peers = Peers()
        self.accounts = ProgramAccounts(self.store, 'own')
        self.reader = self.start(self.accounts)

    def start(self, accounts: ProgramAccounts) -> ChainReader:
        """Return an instance's reader of chains with an empty memory."""
        reader = ChainReader(self.store, TurnCache(CACHE_BYTES))
        members = mock.Mock(own_address='own')
        members.other_rows_by_seat = {SeatId('h'): mock.Mock(address='h')}
        served = mock.Mock()
        served.find = mock.AsyncMock(return_value=[])
        self.copies = TurnCopies(
            members,
            self.peers,  # type: ignore[arg-type]
            reader.cache,
            accounts,
            served,
        )
        reader.read_copies = self.copies.read
        return reader

    def start_peer(self, *cached: Any) -> ProgramAccounts:
        accounts = ProgramAccounts(self.store, 'peer')
        reader = self.start(accounts)
        for turn in cached:
            reader.cache.add(turn)
        self.peers.peer = self.copies
        return accounts

    async def chain(self) -> object:
        self.store.injected_faults.extend([StoreFault.UNAVAILABLE] * 50)
        return await self.reader.read_chain(ORGANISATION, PROGRAM, TurnId('2'))

    # Guards against 503 for a turn that the instance which served it has.
    async def test_chain_is_read_from_a_peer(self) -> None:
        accounts = self.start_peer(*CHAIN)
        accounts.note_row(PROGRAM, encode_row(LedgerRow(77)), 5)
        found = await self.chain()
        assert isinstance(found, Chain)
        self.assertEqual(found.records, CHAIN)
        self.assertTrue(found.is_copy)
        self.assertEqual(self.accounts.granted_tokens(PROGRAM), 77)

    async def test_part_of_a_chain_is_not_used(self) -> None:
        self.start_peer(CHAIN[1])
        self.assertIsInstance(await self.chain(), TurnUnavailable)
        turn = msgspec.msgpack.encode(CHAIN[1])
        for turns in ((turn,), (b'\xc1',)):
            self.peers.answer = TurnsKnown(turns)
            self.assertIsInstance(await self.chain(), TurnUnavailable)

    async def test_killed_peer_leaves_the_turn_unavailable(self) -> None:
        self.assertIsInstance(await self.chain(), TurnUnavailable)

    # Guards against a stale row of a peer that hides a newer one.
    async def test_older_row_of_a_peer_is_not_taken(self) -> None:
        self.accounts.note_row(PROGRAM, encode_row(LedgerRow(500)), 9)
        peer = self.start_peer(*CHAIN)
        peer.note_row(PROGRAM, encode_row(LedgerRow(77)), 5)
        await self.chain()
        self.assertEqual(self.accounts.granted_tokens(PROGRAM), 500)

    # Guards against a stop that sends more than its peers can take.
    async def test_turns_that_are_handed_over_are_bounded(self) -> None:
        for number in range(40):
            turn = record(str(number), None, bytes(300_000))
            self.reader.cache.add(turn)
        self.copies._cache = self.reader.cache
        await self.copies.hand_over(1.0)
        turns = [turn for message in self.peers.kept for turn in message.turns]
        sizes = [sum(map(len, m.turns)) for m in self.peers.kept]
        self.assertLessEqual(sum(sizes), MAX_HANDED_OVER_BYTES)
        self.assertLessEqual(max(sizes), BATCH_BYTES)
        self.assertIn(msgspec.msgpack.encode(turn), turns)


class OutageTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(2)
        self.first, self.second = self.fleet.gateways
        for gateway in self.fleet.gateways:
            await self.fleet.wait_until(
                lambda g=gateway: len(g.members.rows_by_seat) == 2
            )
        self.assertTrue(
            (await self.fleet.turn(self.first, 't1', b'one')).whole
        )

    async def go_on(self) -> None:
        """Send the next turn to the other instance; the store comes back."""
        turning = asyncio.create_task(
            self.fleet.turn(self.second, 't2', b'two', 't1')
        )
        await asyncio.sleep(0.7)
        self.assertFalse(turning.done())
        self.fleet.store.is_refusing = False
        answer = await turning
        self.assertEqual((answer.status, answer.whole), (200, True))

    # Guards against `turn not readable now` at another instance than the one
    # that served the turn before, although the store is back in time.
    async def test_turn_goes_on_elsewhere_once_the_store_is_back(
        self,
    ) -> None:
        self.fleet.store.is_refusing = True
        await self.go_on()

    async def test_turn_goes_on_after_a_planned_stop(self) -> None:
        self.fleet.store.is_refusing = True
        await self.first.stop()
        self.fleet.gateways.remove(self.first)
        await self.go_on()

    # Guards against a turn that is told not to exist without the store.
    async def test_unknown_turn_is_not_denied_while_the_store_is_away(
        self,
    ) -> None:
        self.fleet.store.is_refusing = True
        answer = await self.fleet.turn(self.second, 't2', b'two', 'unknown')
        self.assertEqual(answer.status, 503)
