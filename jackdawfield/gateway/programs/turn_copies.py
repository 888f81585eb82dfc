"""Pass stored turns from instance to instance while the store is away.

A turn that was stored never changes, so that a copy of it is as good as its
rows. A copy is used only with all of its ancestors.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
import logging

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decoding import DECODE_ERRORS
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.hedging import first_answer
from jackdawfield.gateway.hedging import Source
from jackdawfield.gateway.model import TurnId
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.served_programs import ServedPrograms
from jackdawfield.gateway.programs.token_holders import HOLDERS_ASKED
from jackdawfield.gateway.programs.token_holders import other_holders
from jackdawfield.gateway.programs.token_transfers import MAX_HAND_OVER_S
from jackdawfield.gateway.programs.token_transfers import MIN_HAND_OVER_S
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turns import ProgramKey
from jackdawfield.gateway.programs.turns import TurnRecord
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_turns import KeepTurns
from jackdawfield.messages.fleet_turns import ReadTurns
from jackdawfield.messages.fleet_turns import TurnsKept
from jackdawfield.messages.fleet_turns import TurnsKnown
from jackdawfield.model import OrganisationId

LOG = logging.getLogger(__name__)
READ_TIMEOUT_S = 0.5
# The next instance is asked if one has not answered within this time.
READ_OVERDUE_S = 0.1
# Limit of the turns in one answer; it fits into a message between instances.
MAX_CHAIN_BYTES = 2 * 1024 * 1024
# What an instance hands over at a stop, in all and in one message.
MAX_HANDED_OVER_BYTES = 4 * 1024 * 1024
BATCH_BYTES = 512 * 1024

Records = tuple[TurnRecord, ...]


@dataclass(frozen=True, slots=True)
class NoCopy:
    """Reports that an instance does not have all turns of a chain."""


def is_whole_chain(
    records: Sequence[TurnRecord],
    organisation_id: OrganisationId | None,
    turn_id: TurnId,
) -> bool:
    """Return whether records are a turn of an organisation and its ancestors.

    They are ordered from the oldest to the turn.
    """
    if not records or records[-1].turn_id != turn_id:
        return False
    if any(r.organisation_id != organisation_id for r in records):
        return False
    parent_ids = [record.parent_id for record in records]
    return parent_ids == [None, *(r.turn_id for r in records[:-1])]


def cached_chain(
    cache: TurnCache, organisation_id: OrganisationId | None, turn_id: TurnId
) -> Records:
    """Return a turn with its ancestors from memory, empty if one is missing.

    It is empty, too, if it does not fit into a message.
    """
    records: list[TurnRecord] = []
    size = 0
    next_id: TurnId | None = turn_id
    while next_id is not None:
        record = cache.get(organisation_id, next_id)
        if record is None or size > MAX_CHAIN_BYTES:
            return ()
        records.append(record)
        size += record.memory_bytes
        next_id = record.parent_id
    return tuple(reversed(records)) if size <= MAX_CHAIN_BYTES else ()


class TurnCopies:
    """Asks other instances for turns, and hands own ones over at a stop."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        cache: TurnCache,
        accounts: ProgramAccounts,
        served: ServedPrograms,
    ) -> None:
        self._members = members
        self._links = links
        self._cache = cache
        self._accounts = accounts
        self._served = served
        self.found_count = 0

    def register(self, server: PeerServer) -> None:
        """Handle the requests of the other instances."""
        server.handle(ReadTurns, self._answer_read)
        server.handle(KeepTurns, self._answer_keep)

    async def _answer_read(self, message: ReadTurns) -> TurnsKnown:
        organisation_id = message.organisation_id
        chain = cached_chain(
            self._cache,
            OrganisationId(organisation_id) if organisation_id else None,
            TurnId(message.turn_id),
        )
        row, version = self._accounts.known_row(ProgramKey(message.program))
        turns = tuple(msgspec.msgpack.encode(record) for record in chain)
        return TurnsKnown(turns, row, version)

    async def _answer_keep(self, message: KeepTurns) -> TurnsKept:
        for record in _decode(message.turns):
            self._cache.add(record)
        return TurnsKept()

    async def read(
        self,
        organisation_id: OrganisationId | None,
        program: ProgramKey,
        turn_id: TurnId,
    ) -> Records:
        """Return a turn with its ancestors, empty if nobody has them all."""
        holders = other_holders(self._members, program.text)[:HOLDERS_ASKED]
        served = await self._served.find(program)
        message = ReadTurns(organisation_id, program.text, turn_id)
        sources = [
            Source(partial(self._ask, address, message), READ_OVERDUE_S)
            for address in dict.fromkeys((*served, *holders))
        ]
        found = await first_answer(sources)
        records = found.unwrap_or(())
        self.found_count += bool(records)
        log_event(
            LOG,
            'turns_from_peers',
            previous_turn=turn_id,
            program=program.text,
            turns=len(records),
            asked=len(sources),
        )
        return records

    async def _ask(
        self, address: str, message: ReadTurns
    ) -> Result[Records, NoCopy]:
        found = await self._links.request(address, message, READ_TIMEOUT_S)
        match found:
            case Ok(TurnsKnown() as known):
                pass
            case _:
                return Err(NoCopy())
        records = _decode(known.turns)
        organisation_id = message.organisation_id
        if not is_whole_chain(
            records,
            OrganisationId(organisation_id) if organisation_id else None,
            TurnId(message.turn_id),
        ):
            return Err(NoCopy())
        for record in records:
            self._cache.add(record)
        self._accounts.note_row(
            ProgramKey(message.program), known.row, known.version
        )
        return Ok(records)

    async def hand_over(self, limit_s: float) -> None:
        """Send the turns that were used last to their programs' holders.

        What is not sent within the limit is read from the store later.
        """
        limit_s = min(max(MIN_HAND_OVER_S, limit_s), MAX_HAND_OVER_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await asyncio.gather(
                    *(
                        self._send(address, records, limit_s)
                        for address, records in self._by_holder().items()
                    )
                )

    def _by_holder(self) -> dict[str, list[TurnRecord]]:
        """Return the turns to hand over by the address of their holder."""
        records_by_holder: dict[str, list[TurnRecord]] = {}
        size = 0
        for record in self._cache.latest():
            size += record.memory_bytes
            if size > MAX_HANDED_OVER_BYTES:
                break
            for address in other_holders(self._members, record.program)[:1]:
                records_by_holder.setdefault(address, []).append(record)
        return records_by_holder

    async def _send(
        self, address: str, records: list[TurnRecord], limit_s: float
    ) -> None:
        for batch in _batches(records):
            turns = tuple(msgspec.msgpack.encode(record) for record in batch)
            found = await self._links.request(
                address, KeepTurns(turns), limit_s
            )
            log_event(
                LOG,
                'turns_handed_over',
                holder=address,
                turns=len(turns),
                taken=isinstance(found, Ok),
            )
            if isinstance(found, Err):
                return


def _decode(turns: Iterable[bytes]) -> Records:
    """Return the turns, none if one can't be read."""
    try:
        return tuple(
            msgspec.msgpack.decode(turn, type=TurnRecord) for turn in turns
        )
    except DECODE_ERRORS:
        return ()


def _batches(records: Iterable[TurnRecord]) -> Iterable[list[TurnRecord]]:
    """Return records in batches that fit into a message."""
    batch: list[TurnRecord] = []
    size = 0
    for record in records:
        if batch and size + record.memory_bytes > BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += record.memory_bytes
    if batch:
        yield batch
