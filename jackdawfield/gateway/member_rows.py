"""Defines the rows by which instances know each other."""

from collections.abc import Iterable

import msgspec

from jackdawfield.model import DomainId
from jackdawfield.model import RegionId


class MemberRow(msgspec.Struct, frozen=True):
    """Describes an instance; one that is suspended holds no rights."""

    address: str
    domain_id: DomainId
    region_id: RegionId
    incarnation: str
    # Its rights, if it has any, have outlasted every older owner's.
    established: bool = False
    suspended: bool = False
    # Its address refused connections, or a later incarnation answered.
    proven_dead: bool = False
    # Whatever rights it had are over.
    left: bool = False

    @property
    def serving(self) -> bool:
        """Return whether the instance may hold rights."""
        return not self.suspended


def decode_member(data: bytes) -> MemberRow:
    """Return the member of a row; raise MsgspecError if unreadable."""
    return msgspec.msgpack.decode(data, type=MemberRow)


def none_suspended(rows: Iterable[MemberRow]) -> bool:
    """Return whether no member's rights are moving to the others.

    A member that joins only takes rights over, so that those which another
    keeps have not moved.
    """
    return all(row.left or row.serving for row in rows)


def leaving(row: MemberRow) -> MemberRow:
    """Return the row of a member whose rights are over."""
    return msgspec.structs.replace(
        row, suspended=True, established=False, left=True
    )


def suspended(row: MemberRow, proven_dead: bool) -> MemberRow:
    """Return a member's row without its rights."""
    return msgspec.structs.replace(
        row, suspended=True, proven_dead=proven_dead, established=False
    )
