"""Test chains that an instance's cache has no room for."""

import os
import time
import unittest

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.chains import Chain
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.standins.row_store import MemoryRowStore
from tests.gateway.programs.test_turns import ORGANISATION
from tests.gateway.programs.test_turns import PROGRAM
from tests.gateway.programs.test_turns import record

ROW_BYTES = 65536
TURN_BYTES = 100_000
TURNS = 4


class LongChainTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a kept turn that no instance can continue from, as what
    # is read of its chain drops out of the cache before it is used.
    async def test_a_chain_larger_than_the_cache_is_read(self) -> None:
        rows = MemoryRowStore()
        accounts = ProgramAccounts(rows, 'a')
        expiry = RowExpiry(rows)
        turns = TurnStore(rows, accounts, expiry, ROW_BYTES, TurnCache(0))
        parent = None
        for number in range(TURNS):
            kept = record(f'{number}', parent, os.urandom(TURN_BYTES))
            await turns.commit(PROGRAM, kept, None, time.monotonic() + 2.0)
            parent = kept.turn_id
        for cache_bytes in (0, TURN_BYTES // 2, 2 * TURN_BYTES):
            with self.subTest(cache_bytes):
                reader = ChainReader(rows, TurnCache(cache_bytes))
                found = await reader.read_chain(
                    ORGANISATION, PROGRAM, TurnId(f'{TURNS - 1}')
                )
                self.assertIsInstance(found, Chain)
                assert isinstance(found, Chain)
                self.assertEqual(len(found.records), TURNS)
