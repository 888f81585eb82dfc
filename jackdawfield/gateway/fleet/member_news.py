"""Tell the other members to read their table, as it was written."""

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.messages.fleet_tables import MembersWritten
from jackdawfield.messages.fleet_tables import MembersWrittenNoted

TELL_TIMEOUT_S = 0.5


class MemberNews:
    """Tells the other members of each write of this instance."""

    def __init__(self, members: Members, links: PeerLinks) -> None:
        self._members = members
        self._links = links
        self._tasks = BackgroundTasks()
        members.add_written_listener(self._tell_all)

    def register(self, server: PeerServer) -> None:
        """Handle the news of other instances."""
        server.handle(MembersWritten, self._note)

    async def _note(self, _: MembersWritten) -> MembersWrittenNoted:
        self._members.read_wanted.set()
        return MembersWrittenNoted()

    def _tell_all(self) -> None:
        """Have each member read the table; those not told read later."""
        self._members.read_wanted.set()
        for row in self._members.other_rows_by_seat.values():
            self._tasks.spawn(
                self._links.request(
                    row.address, MembersWritten(), TELL_TIMEOUT_S
                )
            )
