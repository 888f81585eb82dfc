"""Choose the instances that hold given tokens of a program."""

from collections.abc import Iterable

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.seats import SeatId

# The second one holds what was given while the first one was stopped.
HOLDERS_ASKED = 2


def rank_holders(program: str, seat_ids: Iterable[SeatId]) -> list[SeatId]:
    """Return the seats that may hold a program's tokens, the first one first.

    The first one is also the one that lends to the program.
    """
    return sorted(
        seat_ids, key=lambda seat_id: -rendezvous_score(program, seat_id)
    )


def other_holders(members: Members, program: str) -> list[str]:
    """Return the addresses of the other instances that may hold tokens."""
    rows = members.other_rows_by_seat
    return [rows[seat_id].address for seat_id in rank_holders(program, rows)]


def is_first_holder(members: Members, program: str) -> bool:
    """Return whether this instance is the first to hold given tokens."""
    own_seat = members.own_seat
    if own_seat is None:
        return False
    seats = [own_seat, *members.other_rows_by_seat]
    return rank_holders(program, seats)[0] == own_seat
