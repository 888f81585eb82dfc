"""Read chains of turns from memory or the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
import logging

from result import Err
from result import Ok
from result import Result

from jackdawfield.gateway.hedging import first_answer
from jackdawfield.gateway.hedging import Source
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_rows import read_program
from jackdawfield.gateway.programs.turns import all_parts
from jackdawfield.gateway.programs.turns import index_key
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.gateway.storage.rows import read_row
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.logs import log_event
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
MAX_CHAIN_TURNS = 500
# Other instances are asked for a chain that the store has not given within
# this time.
COPIES_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class TurnNotFound:
    """Reports that the organisation has no such turn."""


@dataclass(frozen=True, slots=True)
class TurnUnavailable:
    """Reports that a turn may exist but cannot be read now."""

    reason: str


@dataclass(frozen=True, slots=True)
class Chain:
    """Holds a turn and its ancestors, oldest first."""

    records: tuple[TurnRecord, ...]
    # Another instance had them; the store gave no answer.
    is_copy: bool = False


ChainResult = Chain | TurnNotFound | TurnUnavailable
# Returns a turn with its ancestors from other instances, or nothing.
ReadCopies = Callable[
    [OrganisationId | None, ProgramKey, TurnId],
    Awaitable[tuple[TurnRecord, ...]],
]


class ChainReader:
    """Reads turns with their ancestors, from memory or the store.

    While the store gives none, other instances are asked for their copies.
    """

    def __init__(self, store: RowStore, cache: TurnCache) -> None:
        self._store = store
        self.cache = cache
        self.read_copies: ReadCopies | None = None

    def is_cached(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> bool:
        """Return whether a turn is cached in memory."""
        return self.cache.get(organisation_id, turn_id) is not None

    async def read_chain(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> ChainResult:
        """Return a turn's chain; TurnNotFound only if all parts were read."""
        key = (organisation_id, program, turn_id)
        sources = [Source(partial(self._try_stored, *key), COPIES_AFTER_S)]
        if self.read_copies is not None:
            copies = partial(self._try_copies, self.read_copies, *key)
            sources.append(Source(copies, COPIES_AFTER_S))
        match await first_answer(sources):
            case Ok(found):
                return found
            case Err(errors):
                return errors[0]

    async def _try_stored(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> Result[Chain | TurnNotFound, TurnUnavailable]:
        found = await self._read_stored(organisation_id, program, turn_id)
        if isinstance(found, TurnUnavailable):
            return Err(found)
        return Ok(found)

    async def _try_copies(
        self,
        read_copies: ReadCopies,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> Result[Chain | TurnNotFound, TurnUnavailable]:
        records = await read_copies(organisation_id, program, turn_id)
        if not records:
            return Err(TurnUnavailable('no instance has it'))
        return Ok(Chain(records, is_copy=True))

    async def _read_stored(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> ChainResult:
        records: list[TurnRecord] = []
        # The turns that are read for this chain, also those that the cache
        # has no room for.
        loaded = TurnCache()
        next_program, next_id = program, turn_id
        while len(records) < MAX_CHAIN_TURNS:
            found = await self._find_turn(
                organisation_id, next_program, next_id, loaded
            )
            if not isinstance(found, TurnRecord):
                # The turn itself exists, so that the caller gets no 404 for
                # a missing ancestor.
                if records and isinstance(found, TurnNotFound):
                    return TurnUnavailable('an earlier turn is gone')
                return found
            records.append(found)
            if found.parent_id is None:
                return Chain(tuple(reversed(records)))
            next_program = ProgramKey(found.parent_program or program.text)
            next_id = found.parent_id
        return TurnUnavailable('the chain is too long')

    async def _find_turn(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
        loaded: TurnCache,
    ) -> TurnRecord | TurnNotFound | TurnUnavailable:
        record = loaded.get(organisation_id, turn_id)
        record = record or self.cache.get(organisation_id, turn_id)
        if record is not None:
            return record
        found = await self._load_program(program, loaded)
        if isinstance(found, TurnUnavailable):
            return found
        record = loaded.get(organisation_id, turn_id)
        if record is not None:
            return record
        return await self._search_index(organisation_id, turn_id, loaded)

    async def _load_program(
        self, program: ProgramKey, loaded: TurnCache
    ) -> TurnUnavailable | None:
        """Read the turns of a program into the cache and those loaded."""
        read = await read_program(self._store, program)
        if isinstance(read, Err):
            return TurnUnavailable(read.err_value)
        records = read.ok_value
        for record in records.values():
            loaded.add(record)
            self.cache.add(record)
        log_event(
            LOG, 'turns_loaded', program=program.text, turns=len(records)
        )
        return None

    async def _search_index(
        self,
        organisation_id: OrganisationId | None,
        turn_id: TurnId,
        loaded: TurnCache,
    ) -> TurnRecord | TurnNotFound | TurnUnavailable:
        """Find a turn of another program by the index rows of all parts."""
        results = await asyncio.gather(
            *(
                self._read_index(organisation_id, turn_id, part)
                for part in all_parts()
            )
        )
        programs = [found for found in results if isinstance(found, str)]
        for text in programs:
            unavailable = await self._load_program(ProgramKey(text), loaded)
            if unavailable is not None:
                return unavailable
            record = loaded.get(organisation_id, turn_id)
            if record is not None:
                return record
        for found in results:
            if isinstance(found, TurnUnavailable):
                return found
        if programs:
            return TurnUnavailable('the turn is listed but its rows are gone')
        return TurnNotFound()

    async def _read_index(
        self,
        organisation_id: OrganisationId | None,
        turn_id: TurnId,
        part: str,
    ) -> str | TurnUnavailable | None:
        key = index_key(organisation_id, turn_id, part)
        read = await read_row(self._store, key)
        if isinstance(read, Err):
            return TurnUnavailable(read.err_value.reason)
        row = read.ok_value
        if row is None or row.value is None:
            return None
        return row.value.decode()
