"""Renews an instance's lease through the table and its peers."""

import asyncio
from collections.abc import Callable
import logging
import secrets
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.acceptance import MemberStatus
from jackdawfield.decisions.attestations import AttestationAge
from jackdawfield.decisions.configuration import decode_head
from jackdawfield.decisions.configuration import HEAD_KEY
from jackdawfield.decisions.lease import ClockAdvanced
from jackdawfield.decisions.lease import Event
from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseReport
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import PeerDead
from jackdawfield.decisions.lease import PeerReported
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.lease import VersionApplied
from jackdawfield.decisions.membership import FailureDetector
from jackdawfield.decisions.membership import join_transaction
from jackdawfield.decisions.membership import leave_transaction
from jackdawfield.decisions.membership import member_key
from jackdawfield.decisions.membership import read_roster
from jackdawfield.decisions.membership import ROSTER_HEAD_KEY
from jackdawfield.decisions.membership import ROSTER_PREFIX
from jackdawfield.decisions.renewal import AskPeer
from jackdawfield.decisions.renewal import asks_for_confirmation
from jackdawfield.decisions.renewal import asks_of_unattested_peers
from jackdawfield.decisions.renewal import is_fresh
from jackdawfield.decisions.renewal import plan_renewal
from jackdawfield.decisions.renewal import ReadTable
from jackdawfield.decisions.renewal import RenewalPlan
from jackdawfield.decisions.renewal import requires_echo
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Row
from jackdawfield.drivers.configuration import ConfigurationStore
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.messages.contracts import AskReport
from jackdawfield.messages.contracts import PeerReport
from jackdawfield.model import Configuration
from jackdawfield.model import DomainId
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import RegionId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
HEADS_PREFIX = 'head/'
INCARNATION_BYTES = 8
ASKS_AT_ONCE = 32


class LeaseKeeper:
    """Keeps the lease, the roster and what peers attest."""

    def __init__(
        self,
        settings: Settings,
        table: TableClient,
        links: PeerLinks,
        store: ConfigurationStore,
    ) -> None:
        self._settings = settings
        self._table = table
        self._links = links
        self._store = store
        self._lease_settings = LeaseSettings(
            settings.lease.lease_s, settings.lease.outage_limit_s
        )
        self.ask_timeout_s = settings.lease.lease_s / 6
        self._listeners: list[Callable[[], None]] = []
        self._wake = asyncio.Event()
        self._asks = asyncio.Semaphore(ASKS_AT_ONCE)
        self._left = False
        self._begin()
        store.listen(self._on_configuration)

    def _begin(self) -> None:
        name = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        self.lease = Lease(name, self._lease_settings)
        self.lease = self.lease.on(VersionApplied(self._store.version), 0.0)
        self.standing: MemberStatus | None = None
        self.contacts = FailureDetector(self._lease_settings.lease_s)
        self.rows_by_incarnation: dict[Incarnation, Row] = {}
        self._echo_by_incarnation: dict[Incarnation, float] = {}

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the roster or of the dead."""
        self._listeners.append(listener)

    def valid(self, now_s: float) -> bool:
        """Return whether keyed work may be dispatched now."""
        return not self._left and self.lease.is_valid(now_s)

    def established(self, now_s: float) -> bool:
        """Return whether this instance may accept commits."""
        standing = self.standing
        return standing is not None and standing.is_established(
            self.lease, now_s
        )

    def own_row(self) -> Row | None:
        """Return the own row of the roster as last read."""
        return self.rows_by_incarnation.get(self.lease.incarnation)

    def wake(self) -> None:
        """Renew soon instead of at the next interval."""
        self._wake.set()

    async def wait_wake(self, limit_s: float) -> None:
        """Wait until woken, at most for a time."""
        try:
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def leave(self) -> None:
        """Give up every right, then leave the roster."""
        self._left = True
        if self.standing is not None:
            await self._table.transact(
                leave_transaction(self.lease.incarnation)
            )

    async def renew(self) -> None:
        """Try the sources of a renewal until the lease is fresh."""
        if self._left:
            return
        if self._lost_entry():
            log_event(LOG, 'evicted', incarnation=self.lease.incarnation)
            self._begin()
        if self.standing is None and not await self._join():
            return
        was_valid = self.lease.is_valid(time.monotonic())
        plan = plan_renewal(self.lease, time.monotonic())
        if not await self._try_in_order(plan):
            await self._gather(plan)
        if self.lease.applied < self.lease.highest_version:
            await self._read_table()
        if not self.established(time.monotonic()):
            await self._ask_all(asks_for_confirmation(self.lease))
        self._log_validity(was_valid)

    def _log_validity(self, was_valid: bool) -> None:
        is_valid = self.lease.is_valid(time.monotonic())
        if was_valid != is_valid:
            log_event(LOG, 'lease', valid=is_valid)

    def _lost_entry(self) -> bool:
        if self.standing is None:
            return False
        entry = self.lease.roster.entry(self.lease.incarnation)
        return entry is None or entry.evicted

    async def _join(self) -> bool:
        rows = await self._read_roster_rows()
        if isinstance(rows, Err):
            return False
        settings = self._settings
        entry = RosterEntry(
            self.lease.incarnation,
            0,
            instance_id=InstanceId(settings.instance_id),
            domain_id=DomainId(settings.domain_id),
            region_id=RegionId(settings.region_id),
            peer_address=settings.peer_address,
        )
        known = read_roster(rows.ok_value)
        outcome = await self._table.transact(join_transaction(entry, known))
        if not isinstance(outcome, Committed):
            log_event(LOG, 'join_failed', reason=outcome)
            return False
        joined_at_s = time.monotonic()
        if not await self._read_table():
            return False
        self.standing = MemberStatus(joined_at_s)
        log_event(LOG, 'joined', incarnation=self.lease.incarnation)
        await self._ask_all(
            AskPeer(other)
            for other in self.lease.unattested_peers(joined_at_s)
        )
        return True

    async def _try_in_order(self, plan: RenewalPlan) -> bool:
        answered = False
        for source in plan.order:
            match source:
                case ReadTable():
                    await self._read_table()
                case AskPeer():
                    answered = await self._ask(source) or answered
            if is_fresh(self.lease, time.monotonic()):
                return True
        if not answered and plan.fallback is not None:
            await self._read_table()
        return is_fresh(self.lease, time.monotonic())

    async def _gather(self, plan: RenewalPlan) -> None:
        await self._ask_all(plan.contact_asks)
        await self._ask_all(
            asks_of_unattested_peers(self.lease, time.monotonic())
        )
        missing = self.lease.unattested_peers(time.monotonic())
        await asyncio.gather(*(self._probe(entry) for entry in missing))
        self.on(ClockAdvanced())

    async def _read_table(self) -> bool:
        found = await self._table.read_prefix(HEADS_PREFIX)
        if isinstance(found, Err):
            log_event(LOG, 'heads_unread', reason=found.err_value)
            return False
        answer = found.ok_value
        rows_by_key = {row.key: row for row in answer.rows}
        roster = self.lease.roster
        mark = rows_by_key.get(ROSTER_HEAD_KEY)
        if mark is not None and mark.revision > roster.revision:
            rows = await self._read_roster_rows()
            if isinstance(rows, Err):
                return False
            roster = read_roster(rows.ok_value)
        head = decode_head(rows_by_key.get(HEAD_KEY))
        if head.version > self._store.version:
            await self._store.catch_up(head)
        self.on(TableRead(answer.asked_at_s, head.version, roster))
        return True

    async def read_roster(self) -> Roster | None:
        """Return the roster as the table has it now, None if away."""
        rows = await self._read_roster_rows()
        if isinstance(rows, Err):
            return None
        return read_roster(rows.ok_value)

    async def _read_roster_rows(self) -> Result[tuple[Row, ...], str]:
        found = await self._table.read_prefix(ROSTER_PREFIX)
        if isinstance(found, Err):
            log_event(LOG, 'roster_unread', reason=found.err_value)
            return Err(str(found.err_value))
        rows = found.ok_value.rows
        self.rows_by_incarnation = {
            entry.incarnation: row
            for entry in read_roster(rows).entries
            for row in rows
            if row.key == member_key(entry.incarnation)
        }
        return Ok(rows)

    async def _ask_all(self, asks: object) -> None:
        await asyncio.gather(*(self._ask(ask) for ask in asks))  # type: ignore

    async def _ask(self, ask: AskPeer) -> bool:
        entry = ask.entry
        asked_at_s = time.monotonic()
        standing = self.standing
        message = AskReport(
            self.lease.incarnation,
            self.lease.highest_version,
            self.lease.applied,
            self.lease.roster.revision,
            ask.contact,
            standing is not None and not standing.confirmed,
            entry.incarnation,
            self._echo_by_incarnation.get(entry.incarnation, 0.0),
        )
        async with self._asks:
            found = await self._links.request(
                entry.peer_address, message, self.ask_timeout_s
            )
        if isinstance(found, Err):
            await self._probe(entry)
            return False
        report: PeerReport = found.ok_value
        if report.incarnation != entry.incarnation:
            self.on(PeerDead(entry.incarnation))
            return False
        self._take_report(report, asked_at_s)
        if requires_echo(self.lease, ask):
            await self._ask(AskPeer(entry))
        return True

    def _take_report(self, report: PeerReport, asked_at_s: float) -> None:
        now_s = time.monotonic()
        self._echo_by_incarnation[report.incarnation] = report.sent_s
        self.contacts.record_contact(report.incarnation, now_s)
        if report.confirmed and self.standing is not None:
            self.standing = self.standing.on_confirmed()
        self._store.take_rows(report.change_rows)
        if report.version > self._store.version:
            self.wake()
        roster = report.roster or self.lease.roster
        same = report.roster_revision == roster.revision
        known = LeaseReport(
            report.version,
            roster,
            report.read_age_s,
            report.attestations,
            frozenset(report.dead),
            report.group_ages if same else (),
        )
        self.on(PeerReported(asked_at_s, known))

    async def _probe(self, entry: RosterEntry) -> None:
        host, _, port = entry.peer_address.rpartition(':')
        try:
            async with asyncio.timeout(self.ask_timeout_s):
                _, writer = await asyncio.open_connection(
                    host.strip('[]'), int(port)
                )
            writer.close()
        except ConnectionRefusedError:
            log_event(LOG, 'peer_dead', incarnation=entry.incarnation)
            self.on(PeerDead(entry.incarnation))
        except (OSError, TimeoutError):
            return

    async def answer(self, message: AskReport) -> PeerReport:
        """Answer a peer and count what its question attests."""
        now_s = time.monotonic()
        self.contacts.record_contact(message.incarnation, now_s)
        self._count_attestation(message)
        if message.roster_revision > self.lease.roster.revision:
            self.wake()
        known = self.lease.report(now_s, message.contact, message.incarnation)
        newer = known.roster.revision > message.roster_revision
        return PeerReport(
            self.lease.incarnation,
            now_s,
            known.version,
            known.roster.revision,
            known.read_age_s,
            known.roster if newer else None,
            known.attestations,
            known.group_ages,
            tuple(known.dead),
            message.wants_confirmation and self._confirms(message, now_s),
            self._store.rows_since(message.applied),
        )

    def _confirms(self, message: AskReport, now_s: float) -> bool:
        standing = self.standing
        return standing is not None and standing.may_confirm(
            message.incarnation, self.lease, now_s
        )

    def _count_attestation(self, message: AskReport) -> None:
        if (
            message.echo_incarnation != self.lease.incarnation
            or not message.echo_s
        ):
            return
        if message.roster_revision > self.lease.roster.revision:
            return
        known = LeaseReport(
            message.version,
            self.lease.roster,
            None,
            (AttestationAge(message.incarnation, 0.0),),
            frozenset(),
        )
        self.on(PeerReported(message.echo_s, known))

    def on(self, event: Event) -> None:
        """Take an event into the lease and tell what follows from it."""
        now_s = time.monotonic()
        before = self.lease
        self.lease = before.on(event, now_s)
        roster_moved = self.lease.roster is not before.roster
        if roster_moved:
            self.contacts.on_roster(self.lease.roster, now_s)
        if self.standing is not None:
            self.standing = self.standing.on_roster(self.lease.roster, now_s)
        if roster_moved or self.lease.dead != before.dead:
            for listener in self._listeners:
                listener()

    def _on_configuration(
        self, before: Configuration, after: Configuration
    ) -> None:
        self.on(VersionApplied(after.version))
