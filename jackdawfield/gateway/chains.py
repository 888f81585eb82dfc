"""Reads chains of turns from the store."""

import asyncio
from dataclasses import dataclass
import logging

from result import Err

from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.rows import read_row
from jackdawfield.gateway.rows import RowStore
from jackdawfield.gateway.turn_cache import TurnCache
from jackdawfield.gateway.turns import all_parts
from jackdawfield.gateway.turns import decode_turns
from jackdawfield.gateway.turns import index_key
from jackdawfield.gateway.turns import ProgramKey
from jackdawfield.gateway.turns import TurnError
from jackdawfield.gateway.turns import TurnRecord
from jackdawfield.gateway.turns import TURNS_TABLE
from jackdawfield.logs import log_event
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
# The key after every key that begins with a program's key and a slash.
AFTER_SLASH = '0'
MAX_CHAIN = 500


@dataclass(frozen=True, slots=True)
class Missing:
    """Says that no such turn of the organisation exists."""


@dataclass(frozen=True, slots=True)
class Uncertain:
    """Says that a turn may exist but cannot be read now."""

    reason: str


@dataclass(frozen=True, slots=True)
class Chain:
    """Holds a turn and all before it, the oldest first."""

    records: tuple[TurnRecord, ...]


ChainResult = Chain | Missing | Uncertain


class ChainReader:
    """Finds turns with all before them, in memory or in the store."""

    def __init__(self, store: RowStore, cache: TurnCache) -> None:
        self._store = store
        self.cache = cache

    def holds(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> bool:
        """Return whether a turn is in memory."""
        return self.cache.get(organisation_id, turn_id) is not None

    async def chain(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> ChainResult:
        """Return a turn's chain; Missing only if the store says so."""
        records: list[TurnRecord] = []
        next_program, next_id = program, turn_id
        while len(records) < MAX_CHAIN:
            found = await self._turn(organisation_id, next_program, next_id)
            if not isinstance(found, TurnRecord):
                # An ancestor that cannot be read does not deny its heir.
                if records and isinstance(found, Missing):
                    return Uncertain('an earlier turn is gone')
                return found
            records.append(found)
            if found.parent_id is None:
                return Chain(tuple(reversed(records)))
            next_program = ProgramKey(found.parent_program or program.text)
            next_id = found.parent_id
        return Uncertain('the chain is too long')

    async def _turn(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> TurnRecord | Missing | Uncertain:
        record = self.cache.get(organisation_id, turn_id)
        if record is not None:
            return record
        found = await self._load(program)
        if isinstance(found, Uncertain):
            return found
        record = self.cache.get(organisation_id, turn_id)
        if record is not None:
            return record
        return await self._search(organisation_id, turn_id)

    async def _load(self, program: ProgramKey) -> Uncertain | None:
        prefix = program.text + '/'
        read = await self._store.read(
            TURNS_TABLE, program.part, prefix, program.text + AFTER_SLASH
        )
        if isinstance(read, Err):
            return Uncertain(read.err_value.reason)
        try:
            records = decode_turns(read.ok_value.rows)
        except TurnError as error:
            log_event(LOG, 'turn_unreadable', program=program.text)
            return Uncertain(f'unreadable turn: {error}')
        for record in records.values():
            self.cache.add(record)
        log_event(
            LOG, 'turns_loaded', program=program.text, turns=len(records)
        )
        return None

    async def _search(
        self, organisation_id: OrganisationId | None, turn_id: TurnId
    ) -> TurnRecord | Missing | Uncertain:
        results = await asyncio.gather(
            *(
                self._indexed(organisation_id, turn_id, part)
                for part in all_parts()
            )
        )
        programs = [found for found in results if isinstance(found, str)]
        for text in programs:
            loaded = await self._load(ProgramKey(text))
            if loaded is not None:
                return loaded
            record = self.cache.get(organisation_id, turn_id)
            if record is not None:
                return record
        uncertain = [r for r in results if isinstance(r, Uncertain)]
        if uncertain:
            return uncertain[0]
        if programs:
            return Uncertain('the turn is listed but its rows are gone')
        return Missing()

    async def _indexed(
        self,
        organisation_id: OrganisationId | None,
        turn_id: TurnId,
        part: str,
    ) -> str | Uncertain | None:
        key = index_key(organisation_id, turn_id, part)
        read = await read_row(self._store, key)
        if isinstance(read, Err):
            return Uncertain(read.err_value.reason)
        row = read.ok_value
        if row is None or row.value is None:
            return None
        return row.value.decode()
