"""Send what one instance has learnt to the others."""

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.table_sharing import TableSharing

SEND_TIMEOUT_S = 0.3


class Broadcast:
    """Sends messages over the members, without waiting for their answers.

    Members tell each other and the instances that follow tables through
    them; an instance without a seat tells the nearest member.
    """

    def __init__(
        self, members: Members, sharing: TableSharing, links: PeerLinks
    ) -> None:
        self._members = members
        self._sharing = sharing
        self._links = links
        self._tasks = BackgroundTasks()

    @property
    def is_member(self) -> bool:
        """Return whether this instance holds a seat."""
        return self._members.own_seat is not None

    def to_nearest(self, message: object) -> None:
        """Send a message to the nearest member, if any."""
        seat_id = self._members.nearest_seat()
        if seat_id is not None:
            self._spawn(self._members.rows_by_seat[seat_id].address, message)

    def to_members(self, message: object) -> None:
        """Send a message to the other members."""
        for row in self._members.other_rows_by_seat.values():
            self._spawn(row.address, message)

    def to_followers(self, message: object) -> None:
        """Send a message to the instances that follow tables through this."""
        for address in self._sharing.follower_addresses():
            self._spawn(address, message)

    def _spawn(self, address: str, message: object) -> None:
        self._tasks.spawn(
            self._links.request(address, message, SEND_TIMEOUT_S)
        )

    def close(self) -> None:
        """Cancel the messages under way."""
        self._tasks.cancel()
