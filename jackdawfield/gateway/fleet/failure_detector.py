"""Suspend members that do not answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging
import random

from result import Err
from result import Ok

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_news import MemberNews
from jackdawfield.gateway.fleet.member_rows import encode_member
from jackdawfield.gateway.fleet.member_rows import mark_suspended
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.ownership_records import MemberView
from jackdawfield.gateway.fleet.ownership_records import roles_digest
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.gateway.storage.rows import RowStore
from jackdawfield.gateway.storage.rows import RowTransaction
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_rates import Ping
from jackdawfield.messages.fleet_rates import Pong

LOG = logging.getLogger(__name__)
WRITE_TIMEOUT_S = 1.0
# A member is probed after it has not answered for this long.
SUSPECT_AFTER_S = 0.5
# Instances that suspect the same member probe it one after another, so that
# most of them find it suspended already.
PROBE_SPREAD_S = 0.15
PROBE_TIMEOUT_S = 0.4
# Number of other members probed before one is suspended. If fewer than half of
# them answer, this instance is probably isolated itself and suspends nobody.
ISOLATION_PROBES = 4
# After this long even an instance that reaches few others suspends a member,
# if it reaches the store: most of the others may be gone as well.
SUSPEND_ALONE_AFTER_S = 4.0


@dataclass(frozen=True, slots=True)
class PolledView:
    """Holds a process's view, None if no process listens.

    A process that is not the holder is one that was started after it.
    """

    asked_at_s: float
    incarnation: str
    view: MemberView | None
    is_holder: bool
    # Incarnations that have released their ownerships, as it knows.
    released: tuple[str, ...] = ()


class FailureDetector:
    """Detects from missing answers that members are gone or cut off."""

    def __init__(
        self, members: Members, store: RowStore, links: PeerLinks
    ) -> None:
        self._members = members
        self._store = store
        self._links = links
        self._unanswered_since_by_seat: dict[SeatId, float] = {}
        self._probe_tasks_by_seat: dict[SeatId, asyncio.Task[None]] = {}
        self._news = MemberNews(members, links)
        self.is_leaving = False
        # Set by the owner of rates, who knows them.
        self.released_incarnations: Callable[[], tuple[str, ...]] = tuple

    def register(self, server: PeerServer) -> None:
        """Answer the pings of other instances, and note their news."""
        server.handle(Ping, self._answer_ping)
        self._news.register(server)

    async def _answer_ping(self, _: Ping) -> Pong:
        # One that is leaving grants nothing, and confirms no view any more.
        incarnation = '' if self.is_leaving else self._members.incarnation
        return Pong(
            incarnation,
            self._members.version,
            roles_digest(self._members.rows_by_seat),
            self.released_incarnations(),
        )

    async def ping(self, seat_id: SeatId) -> Pong | None:
        """Ping a member; None if it does not answer or was replaced."""
        row = self._members.rows_by_seat.get(seat_id)
        if row is None:
            return None
        found = await self._links.request(row.address, Ping(), PROBE_TIMEOUT_S)
        if isinstance(found, Err):
            return None
        pong: Pong = found.ok_value
        return pong if pong.incarnation == row.incarnation else None

    async def poll_view(self, seat_id: SeatId) -> PolledView | None:
        """Ask a seat's holder for its view; None if that is not known."""
        row = self._members.rows_by_seat.get(seat_id)
        if row is None:
            return None
        asked_at_s = boot_time_s()
        found = await self._links.request(row.address, Ping(), PROBE_TIMEOUT_S)
        match found:
            case Ok(Pong(incarnation, version, roles, released)):
                is_holder = incarnation == row.incarnation
                view = MemberView(version, roles)
                return PolledView(
                    asked_at_s, incarnation, view, is_holder, released
                )
        if await self._refuses_connections(row):
            return PolledView(asked_at_s, '', None, False)
        return None

    def record_answer(self, seat_id: SeatId) -> None:
        """Record that a member has answered."""
        self._unanswered_since_by_seat.pop(seat_id, None)

    def record_no_answer(self, seat_id: SeatId, now_s: float) -> None:
        """Record a missing answer; probe after SUSPECT_AFTER_S without any."""
        since_s = self._unanswered_since_by_seat.setdefault(seat_id, now_s)
        if (
            now_s - since_s < SUSPECT_AFTER_S
            or seat_id in self._probe_tasks_by_seat
        ):
            return
        task = asyncio.create_task(self._probe_later(seat_id, since_s))
        self._probe_tasks_by_seat[seat_id] = task
        task.add_done_callback(
            lambda _: self._probe_tasks_by_seat.pop(seat_id, None)
        )

    async def _probe_later(self, seat_id: SeatId, since_s: float) -> None:
        await asyncio.sleep(random.random() * PROBE_SPREAD_S)
        silent_s = boot_time_s() - since_s
        await self.suspend_if_unreachable(seat_id, silent_s)

    async def suspend_if_unreachable(
        self, seat_id: SeatId, silent_s: float = 0.0
    ) -> None:
        """Probe a member and suspend it if it seems to be gone."""
        row = self._members.rows_by_seat.get(seat_id)
        version = self._members.versions_by_seat.get(seat_id)
        if row is None or version is None or not row.is_serving:
            self.record_answer(seat_id)
            return
        is_proven_dead, pong = await asyncio.gather(
            self._refuses_connections(row), self.ping(seat_id)
        )
        if pong is not None:
            self.record_answer(seat_id)
            return
        may_be_isolated = silent_s < SUSPEND_ALONE_AFTER_S
        if not is_proven_dead and may_be_isolated:
            if not await self._reaches_others(seat_id):
                log_event(LOG, 'isolated', silent=seat_id)
                return
        suspended_row = mark_suspended(row, is_proven_dead)
        key = RowKey(MEMBERS_TABLE, '', seat_id)
        outcome = await self._store.transact(
            RowTransaction(
                ((key, version),), ((key, encode_member(suspended_row)),)
            ),
            WRITE_TIMEOUT_S,
        )
        log_event(
            LOG,
            'member_suspended',
            seat=seat_id,
            instance=row.instance_id,
            incarnation=row.incarnation,
            proven_dead=is_proven_dead,
            outcome=type(outcome).__name__,
        )

    async def _refuses_connections(self, row: MemberRow) -> bool:
        host, _, port = row.address.rpartition(':')
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def _reaches_others(self, seat_id: SeatId) -> bool:
        others = [
            other_id
            for other_id in self._members.other_rows_by_seat
            if other_id != seat_id
        ]
        probed = random.sample(others, min(ISOLATION_PROBES, len(others)))
        answers = await asyncio.gather(*(self.ping(o) for o in probed))
        return 2 * (len(probed) - answers.count(None)) >= len(probed)
