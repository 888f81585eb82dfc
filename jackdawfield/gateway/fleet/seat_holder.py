"""Take a seat of the own failure domain, and keep or leave it.

A row is written only under the version that was read, so that an instance
that was suspended while unreachable detects it before it acts again. Only an
instance that leaves writes its row under any version.
"""

import asyncio
from collections.abc import Coroutine
import logging
import random
from typing import Any

import msgspec
from result import Err

from jackdawfield.background import BackgroundTasks
from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.table import Committed
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_rows import decode_member
from jackdawfield.gateway.fleet.member_rows import encode_member
from jackdawfield.gateway.fleet.member_rows import mark_left
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.member_rows import no_takeover_pending
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowOutcome
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
WRITE_TIMEOUT_S = 1.0
RECLAIM_RETRY_S = 0.3
# Time for which a start waits for its seat; then the attempt goes on in the
# background.
RECLAIM_WAIT_S = 0.3
# Minimum time between two writes to the table by one instance. The last write
# is read back in it, or arrives late.
WRITE_INTERVAL_S = 1.0
# The instances of a failure domain try to take a vacant seat one after
# another within this time.
CLAIM_SPREAD_S = 1.0
# The whole fleet has started for the first time within this time of the
# start of each process, so that no earlier owners exist.
FIRST_START_S = 10.0


class SeatHolder:
    """Writes the row of the seat that this instance holds."""

    def __init__(self, members: Members, store: RowStore) -> None:
        self._members = members
        self._store = store
        self._started_at_s = boot_time_s()
        self._next_write_s = 0.0
        self._claim_timer: asyncio.TimerHandle | None = None
        self._write_task: asyncio.Task[None] | None = None
        self.is_leaving = False
        # Determined when a seat is taken; Ownership explains them.
        self.inherited = False
        self._claimed_at_first_start = False
        members.add_listener(self._on_members_changed)

    @property
    def is_first_start(self) -> bool:
        """Return whether the whole fleet is starting for the first time."""
        return self._claimed_at_first_start and self._is_young

    @property
    def _is_young(self) -> bool:
        return boot_time_s() - self._started_at_s < FIRST_START_S

    def _own_row(self, established: bool = False) -> MemberRow:
        settings = self._members.settings
        return MemberRow(
            self._members.own_id,
            self._members.own_address,
            settings.domain_id,
            settings.region_id,
            self._members.incarnation,
            established,
        )

    async def begin_reclaim(self, tasks: BackgroundTasks) -> None:
        """Take the earlier seat, or go on with that in the background.

        Without an answer of the store, the members are followed meanwhile.
        """
        trying = asyncio.create_task(self.try_reclaim())
        done, _ = await asyncio.wait((trying,), timeout=RECLAIM_WAIT_S)
        if done and trying.result():
            return
        self._members.adopts_earlier = True
        tasks.spawn(self._end_reclaim(trying))

    async def _end_reclaim(self, trying: asyncio.Task[bool]) -> None:
        if not await trying:
            await self.reclaim()

    async def reclaim(self) -> None:
        """Take the seat of this instance's earlier incarnation, if any.

        The table is read until that is settled, or the instance leaves.
        Meanwhile the seat is held as other instances know it.
        """
        self._members.adopts_earlier = True
        while not self.is_leaving and not await self.try_reclaim():
            await asyncio.sleep(RECLAIM_RETRY_S)

    async def try_reclaim(self) -> bool:
        """Try once to take the earlier seat; return whether it is settled."""
        read = await self._store.read(MEMBERS_TABLE, '')
        if isinstance(read, Err):
            return False
        rows_by_seat = {
            SeatId(row.key.key): (decode_member(row.value), row.version)
            for row in read.ok_value.rows
            if row.value is not None
        }
        for seat_id, (row, version) in rows_by_seat.items():
            if row.instance_id != self._members.own_id or row.left:
                continue
            if row.incarnation == self._members.incarnation:
                # An earlier write succeeded, and only its answer was lost.
                return True
            # Members that told of the seat also know what it has handed over.
            inherited = (
                self._members.own_seat is None
                and row.is_serving
                and row.established
                and no_takeover_pending(r for r, _ in rows_by_seat.values())
            )
            own_row = self._own_row(established=inherited)
            outcome = await self._write(seat_id, own_row, version)
            if not isinstance(outcome, Committed):
                return False
            self.inherited = inherited and self._members.own_seat is None
            log_event(LOG, 'seat_reclaimed', seat=seat_id, inherited=inherited)
            return True
        return True

    def _on_members_changed(self) -> None:
        if self.is_leaving:
            return
        own_seat = self._members.own_seat
        if own_seat is not None:
            row = self._members.rows_by_seat[own_seat]
            if row.incarnation != self._members.incarnation:
                # The earlier incarnation may have handed its ownerships over
                # while its row could not be written. The other members tell.
                self.inherited = False
            if not row.is_serving:
                self._start_write(self._rejoin(own_seat))
            elif len(self._members.own_seats) > 1:
                self._start_write(self._release_extra())
            return
        self._schedule_claim()

    def _schedule_claim(self) -> None:
        if self._claim_timer is not None or not self._members.vacant_seats():
            return
        self._claim_timer = asyncio.get_running_loop().call_later(
            random.random() * CLAIM_SPREAD_S, self._claim_if_vacant
        )

    def _claim_if_vacant(self) -> None:
        self._claim_timer = None
        if self.is_leaving or self._members.own_seat is not None:
            return
        vacant = self._members.vacant_seats()
        if vacant and self._try_start_write():
            self._start_write(self._claim(random.choice(vacant)))
            return
        self._schedule_claim()

    def _start_write(self, work: Coroutine[Any, Any, None]) -> None:
        if self._write_task is not None and not self._write_task.done():
            work.close()
            return
        self._write_task = asyncio.create_task(work)

    async def _claim(self, seat_id: SeatId) -> None:
        """Write this instance's row into a vacant seat.

        Members shows the seat once the row is read back.
        """
        self._claimed_at_first_start = (
            self._members.settings.first_start
            and seat_id not in self._members.rows_by_seat
            and self._is_young
        )
        self.inherited = False
        version = self._members.versions_by_seat.get(seat_id, 0)
        own_row = self._own_row(established=self._claimed_at_first_start)
        outcome = await self._write(seat_id, own_row, version)
        log_event(
            LOG,
            'seat_claimed',
            seat=seat_id,
            first=self._claimed_at_first_start,
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Committed):
            # Another seat may still be vacant.
            await asyncio.sleep(WRITE_INTERVAL_S)
            self._schedule_claim()

    async def _rejoin(self, seat_id: SeatId) -> None:
        version = self._members.versions_by_seat.get(seat_id)
        row = self._members.rows_by_seat.get(seat_id)
        if row is None or version is None:
            return
        self.inherited = False
        self._claimed_at_first_start = False
        outcome = await self._write(seat_id, self._own_row(), version)
        log_event(
            LOG,
            'suspended',
            seat=seat_id,
            incarnation=row.incarnation,
            outcome=type(outcome).__name__,
        )

    async def _release_extra(self) -> None:
        """Leave the seats beyond the first, taken by late writes."""
        for seat_id in self._members.own_seats[1:]:
            row = self._members.rows_by_seat[seat_id]
            version = self._members.versions_by_seat[seat_id]
            await self._write(seat_id, mark_left(row), version)

    async def _write(
        self, seat_id: SeatId, row: MemberRow, version: int | None
    ) -> RowOutcome:
        """Write a member's row, under the given version if there is one."""
        key = RowKey(MEMBERS_TABLE, '', seat_id)
        conditions = () if version is None else ((key, version),)
        put = (key, encode_member(row))
        outcome = await self._store.transact(
            RowTransaction(conditions, (put,)), WRITE_TIMEOUT_S
        )
        if isinstance(outcome, Committed):
            self._members.record_written()
        return outcome

    async def write_established(self) -> None:
        """Record that every ownership older than this instance's expired."""
        seat_id = self._members.own_seat
        if seat_id is None or self.is_leaving:
            return
        row = self._members.rows_by_seat[seat_id]
        version = self._members.versions_by_seat[seat_id]
        if not row.is_serving or row.established:
            return
        if not self._try_start_write():
            return
        established = msgspec.structs.replace(row, established=True)
        outcome = await self._write(seat_id, established, version)
        log_event(
            LOG,
            'established',
            seat=seat_id,
            outcome=type(outcome).__name__,
        )

    async def clear_suspended(self) -> None:
        """Record that every ownership of suspended members has expired."""
        if not self._try_start_write():
            return
        for seat_id in self.seats_to_clear():
            member = self._members.rows_by_seat[seat_id]
            version = self._members.versions_by_seat[seat_id]
            outcome = await self._write(seat_id, mark_left(member), version)
            log_event(
                LOG,
                'member_cleared',
                seat=seat_id,
                instance=member.instance_id,
                outcome=type(outcome).__name__,
            )

    def seats_to_clear(self) -> list[SeatId]:
        """Return the suspended members that this instance must clear."""
        rows = self._members.rows_by_seat
        serving = [seat for seat, row in rows.items() if row.is_serving]
        own_seat = self._members.own_seat
        return [
            seat_id
            for seat_id, row in rows.items()
            if not row.is_serving
            and not row.left
            and own_seat is not None
            and choose_owner(seat_id, serving) == own_seat
        ]

    def _try_start_write(self) -> bool:
        """Start the next write interval; False before the last one ended."""
        now_s = boot_time_s()
        if now_s < self._next_write_s:
            return False
        self._next_write_s = now_s + WRITE_INTERVAL_S
        return True

    async def leave(self) -> None:
        """Record that this instance has ended all its ownerships."""
        self.is_leaving = True
        for seat_id in self._members.own_seats:
            # Another instance may have taken it during the last write.
            if seat_id not in self._members.own_seats:
                continue
            row = self._members.rows_by_seat[seat_id]
            await self._write(seat_id, mark_left(row), None)
