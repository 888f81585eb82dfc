"""Define the rows of the table of members, one for each seat."""

from collections.abc import Iterable

import msgspec

from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId

MEMBERS_TABLE = 'seats'


class MemberRow(msgspec.Struct, frozen=True):
    """Holds the state of a seat's holder; a suspended one owns no rates."""

    instance_id: InstanceId
    address: str
    domain_id: DomainId
    region_id: RegionId
    incarnation: str
    # Every ownership that predates its own has expired, so that its next
    # incarnation may act at once.
    established: bool = False
    suspended: bool = False
    # Its address refused connections, so that its process has ended.
    proven_dead: bool = False
    # Every ownership that it held has expired or was handed over, so that
    # another instance may take the seat.
    left: bool = False

    @property
    def is_serving(self) -> bool:
        """Return whether the instance may own rates."""
        return not self.suspended


def decode_member(data: bytes) -> MemberRow:
    """Decode a member's row; raise one of DECODE_ERRORS if malformed."""
    return msgspec.msgpack.decode(data, type=MemberRow)


def encode_member(row: MemberRow) -> bytes:
    """Encode a member's row."""
    return msgspec.msgpack.encode(row)


def no_takeover_pending(rows: Iterable[MemberRow]) -> bool:
    """Return whether no suspended member still has to be taken over from.

    A member that joins does not count: it becomes the owner of some rates, and
    the owners of all other rates stay the same.
    """
    return all(row.left or row.is_serving for row in rows)


def mark_left(row: MemberRow) -> MemberRow:
    """Return a member's row as suspended, with every ownership ended."""
    return msgspec.structs.replace(
        row, suspended=True, established=False, left=True
    )


def mark_suspended(row: MemberRow, proven_dead: bool) -> MemberRow:
    """Return a member's row as suspended, its ownerships yet to expire."""
    return msgspec.structs.replace(
        row, suspended=True, proven_dead=proven_dead, established=False
    )
