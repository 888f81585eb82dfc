"""Hold this instance's view of the table of members."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decoding import DECODE_ERRORS
from jackdawfield.gateway.fleet.member_rows import decode_member
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.fleet.seats import seats_by_domain
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)


class Members:
    """Holds the holders of the seats, this instance among them or not."""

    def __init__(self, settings: GatewaySettings, incarnation: str) -> None:
        self.settings = settings
        self.own_id = settings.instance_id
        self.incarnation = incarnation
        self.own_address = f'{settings.host}:{settings.peer_port}'
        self.seats_by_domain = seats_by_domain(settings.regions_by_domain)
        self.rows_by_seat: dict[SeatId, MemberRow] = {}
        self.versions_by_seat: dict[SeatId, int] = {}
        # The newest version of any row of the table.
        self.version = 0
        # The store was unavailable at the start: the seat of this instance's
        # earlier incarnation, which has ended, is held without a new row.
        self.adopts_earlier = False
        # Set once an instance has written the table, until it is read again.
        self.read_wanted = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._written_listeners: list[Callable[[], None]] = []

    @property
    def seat_count(self) -> int:
        """Return the number of seats, whether they are held or not."""
        return sum(len(seats) for seats in self.seats_by_domain.values())

    @property
    def own_seats(self) -> list[SeatId]:
        """Return the seats that this instance holds, normally one."""
        return sorted(
            seat_id
            for seat_id, row in self.rows_by_seat.items()
            if self._is_own(row) and not row.left
        )

    def _is_own(self, row: MemberRow) -> bool:
        if row.incarnation == self.incarnation:
            return True
        return self.adopts_earlier and row.instance_id == self.own_id

    @property
    def own_seat(self) -> SeatId | None:
        """Return the seat that this instance votes with, None without one."""
        seats = self.own_seats
        return seats[0] if seats else None

    @property
    def other_rows_by_seat(self) -> dict[SeatId, MemberRow]:
        """Return the members that are not suspended, without this one."""
        return {
            seat_id: row
            for seat_id, row in self.rows_by_seat.items()
            if row.is_serving and not self._is_own(row)
        }

    def vacant_seats(self) -> list[SeatId]:
        """Return the seats of the own failure domain that may be taken."""
        vacant = []
        for seat_id in self.seats_by_domain[self.settings.domain_id]:
            row = self.rows_by_seat.get(seat_id)
            if row is None or row.left:
                vacant.append(seat_id)
        return vacant

    def seats_in_own_domain(self) -> list[SeatId]:
        """Return other members of the own failure domain.

        Different instances get them in different orders.
        """
        domain_id = self.settings.domain_id
        return self._rank(
            seat_id
            for seat_id, row in self.other_rows_by_seat.items()
            if row.domain_id == domain_id
        )

    def nearest_seat(self) -> SeatId | None:
        """Return a member of the own failure domain, else of the region."""
        region_id = self.settings.region_id
        in_region = self._rank(
            seat_id
            for seat_id, row in self.other_rows_by_seat.items()
            if row.region_id == region_id
        )
        seats = self.seats_in_own_domain() or in_region
        return seats[0] if seats else None

    def peer_addresses(self) -> list[str]:
        """Return other members, those of the own domain and region first.

        Different instances get them in different orders.
        """
        settings = self.settings
        rows = self.other_rows_by_seat
        ranked = sorted(
            self._rank(rows),
            key=lambda seat_id: (
                rows[seat_id].region_id != settings.region_id,
                rows[seat_id].domain_id != settings.domain_id,
            ),
        )
        return [rows[seat_id].address for seat_id in ranked]

    def _rank(self, seats: Iterable[SeatId]) -> list[SeatId]:
        own_id = str(self.own_id)
        return sorted(
            seats, key=lambda seat_id: -rendezvous_score(own_id, seat_id)
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each change of the members."""
        self._listeners.append(listener)

    def add_written_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each write of the table by this instance."""
        self._written_listeners.append(listener)

    def record_written(self) -> None:
        """Record that this instance has written the table."""
        for listener in self._written_listeners:
            listener()

    def apply_snapshot(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Replace the members by those of the whole table."""
        listed = {SeatId(row.key.key) for row in rows}
        for seat_id in self.rows_by_seat.keys() - listed:
            del self.rows_by_seat[seat_id]
            self.versions_by_seat.pop(seat_id, None)
        self._apply_rows(rows)

    def apply_changes(self, rows: tuple[StoredRow, ...], _: bool) -> None:
        """Apply the rows that changed."""
        self._apply_rows(rows)

    def _apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            self._apply_row(row)
        for listener in self._listeners:
            listener()

    def _apply_row(self, row: StoredRow) -> None:
        seat_id = SeatId(row.key.key)
        if row.value is None:
            self.rows_by_seat.pop(seat_id, None)
            self.versions_by_seat.pop(seat_id, None)
            self.version = max(self.version, row.version)
            log_event(LOG, 'member_left', seat=seat_id)
            return
        try:
            member = decode_member(row.value)
        except DECODE_ERRORS as error:
            log_event(LOG, 'member_unreadable', seat=seat_id, reason=error)
            return
        self.rows_by_seat[seat_id] = member
        self.versions_by_seat[seat_id] = row.version
        self.version = max(self.version, row.version)
        log_event(
            LOG,
            'member_known',
            seat=seat_id,
            instance=member.instance_id,
            incarnation=member.incarnation,
            suspended=member.suspended,
            proven_dead=member.proven_dead,
            version=row.version,
        )

    def relay_addresses(self) -> list[str]:
        """Return addresses that may relay to the store, nearest first."""
        settings = self.settings
        ranked = sorted(
            self.other_rows_by_seat.values(),
            key=lambda member: (
                member.region_id != settings.region_id,
                member.domain_id != settings.domain_id,
                member.address,
            ),
        )
        member_addresses = [member.address for member in ranked]
        known = (self.own_address, *member_addresses)
        return member_addresses + [
            seed for seed in settings.seed_addresses if seed not in known
        ]
