"""Renew an instance's lease from the table and from its peers.

An attestation is the statement of a peer that it has no newer version of the
configuration. An echo is the sending time of a peer's last report, returned
to that peer with the next request, so that it can date the attestation by its
own clock.
"""

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
from jackdawfield.decisions.lease import Event
from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.lease import LeaseReport
from jackdawfield.decisions.lease import LeaseSettings
from jackdawfield.decisions.lease import PeerDead
from jackdawfield.decisions.lease import PeerReported
from jackdawfield.decisions.lease import TableRead
from jackdawfield.decisions.lease import TimePassed
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
# The head rows hold the newest versions of the configuration and roster.
HEADS_PREFIX = 'head/'
INCARNATION_BYTES = 8
MAX_CONCURRENT_ASKS = 32


class LeaseManager:
    """Holds the lease of this instance, with its roster and attestations.

    A lease belongs to one incarnation; an evicted instance joins again as a
    new incarnation.
    """

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
        self._ask_slots = asyncio.Semaphore(MAX_CONCURRENT_ASKS)
        self._has_left = False
        self._start_incarnation()
        store.add_listener(self._on_configuration)

    def _start_incarnation(self) -> None:
        incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        self.lease = Lease(incarnation, self._lease_settings)
        self.lease = self.lease.on(VersionApplied(self._store.version), 0.0)
        self.member_status: MemberStatus | None = None
        self.failure_detector = FailureDetector(self._lease_settings.lease_s)
        self.rows_by_incarnation: dict[Incarnation, Row] = {}
        self._echo_s_by_incarnation: dict[Incarnation, float] = {}

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a listener when the roster or the set of dead changes."""
        self._listeners.append(listener)

    def is_valid(self, now_s: float) -> bool:
        """Return whether work under a key may be dispatched at this time."""
        return not self._has_left and self.lease.is_valid(now_s)

    def is_established(self, now_s: float) -> bool:
        """Return whether this instance may declare commits accepted."""
        status = self.member_status
        return status is not None and status.is_established(self.lease, now_s)

    def own_row(self) -> Row | None:
        """Return this instance's row in the roster as last read."""
        return self.rows_by_incarnation.get(self.lease.incarnation)

    def wake(self) -> None:
        """Start the next renewal early."""
        self._wake.set()

    async def wait_for_wake(self, limit_s: float) -> None:
        """Wait until woken, at most for the limit in seconds."""
        try:
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def leave(self) -> None:
        """Invalidate the lease, then leave the roster."""
        self._has_left = True
        if self.member_status is not None:
            await self._table.transact(
                leave_transaction(self.lease.incarnation)
            )

    async def renew(self) -> None:
        """Try the sources of the renewal plan until the lease is fresh.

        Join the roster first if this incarnation is not in it; after an
        eviction, join as a new incarnation.
        """
        if self._has_left:
            return
        if self._has_lost_entry():
            log_event(LOG, 'evicted', incarnation=self.lease.incarnation)
            self._start_incarnation()
        if self.member_status is None and not await self._join():
            return
        was_valid = self.lease.is_valid(time.monotonic())
        plan = plan_renewal(self.lease, time.monotonic())
        if not await self._try_in_order(plan):
            await self._gather_attestations(plan)
        if self.lease.applied < self.lease.highest_version:
            await self._read_table()
        if not self.is_established(time.monotonic()):
            await self._ask_all(asks_for_confirmation(self.lease))
        self._log_validity(was_valid)

    def _log_validity(self, was_valid: bool) -> None:
        is_valid = self.lease.is_valid(time.monotonic())
        if was_valid != is_valid:
            log_event(LOG, 'lease', valid=is_valid)

    def _has_lost_entry(self) -> bool:
        if self.member_status is None:
            return False
        entry = self.lease.roster.entry(self.lease.incarnation)
        return entry is None or entry.evicted

    async def _join(self) -> bool:
        result = await self._read_roster_rows()
        if isinstance(result, Err):
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
        roster = read_roster(result.ok_value)
        outcome = await self._table.transact(join_transaction(entry, roster))
        if not isinstance(outcome, Committed):
            log_event(LOG, 'join_failed', reason=outcome)
            return False
        joined_at_s = time.monotonic()
        if not await self._read_table():
            return False
        self.member_status = MemberStatus(joined_at_s)
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

    async def _gather_attestations(self, plan: RenewalPlan) -> None:
        await self._ask_all(plan.contact_asks)
        await self._ask_all(
            asks_of_unattested_peers(self.lease, time.monotonic())
        )
        unattested = self.lease.unattested_peers(time.monotonic())
        await asyncio.gather(*(self._probe(entry) for entry in unattested))
        self.on(TimePassed())

    async def _read_table(self) -> bool:
        result = await self._table.read_prefix(HEADS_PREFIX)
        if isinstance(result, Err):
            log_event(LOG, 'heads_unread', reason=result.err_value)
            return False
        answer = result.ok_value
        rows_by_key = {row.key: row for row in answer.rows}
        roster = self.lease.roster
        roster_head_row = rows_by_key.get(ROSTER_HEAD_KEY)
        if (
            roster_head_row is not None
            and roster_head_row.revision > roster.revision
        ):
            roster_result = await self._read_roster_rows()
            if isinstance(roster_result, Err):
                return False
            roster = read_roster(roster_result.ok_value)
        head = decode_head(rows_by_key.get(HEAD_KEY))
        if head.version > self._store.version:
            await self._store.catch_up(head)
        self.on(TableRead(answer.asked_at_s, head.version, roster))
        return True

    async def read_roster(self) -> Roster | None:
        """Read the roster and its rows from the table; None if that failed."""
        result = await self._read_roster_rows()
        if isinstance(result, Err):
            return None
        return read_roster(result.ok_value)

    async def _read_roster_rows(self) -> Result[tuple[Row, ...], str]:
        result = await self._table.read_prefix(ROSTER_PREFIX)
        if isinstance(result, Err):
            log_event(LOG, 'roster_unread', reason=result.err_value)
            return Err(str(result.err_value))
        rows = result.ok_value.rows
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
        status = self.member_status
        message = AskReport(
            self.lease.incarnation,
            self.lease.highest_version,
            self.lease.applied,
            self.lease.roster.revision,
            ask.contact,
            status is not None and not status.confirmed,
            entry.incarnation,
            self._echo_s_by_incarnation.get(entry.incarnation, 0.0),
        )
        async with self._ask_slots:
            result = await self._links.request(
                entry.peer_address, message, self.ask_timeout_s
            )
        if isinstance(result, Err):
            await self._probe(entry)
            return False
        report: PeerReport = result.ok_value
        if report.incarnation != entry.incarnation:
            self.on(PeerDead(entry.incarnation))
            return False
        self._apply_report(report, asked_at_s)
        if requires_echo(self.lease, ask):
            await self._ask(AskPeer(entry))
        return True

    def _apply_report(self, report: PeerReport, asked_at_s: float) -> None:
        now_s = time.monotonic()
        self._echo_s_by_incarnation[report.incarnation] = report.sent_s
        self.failure_detector.record_contact(report.incarnation, now_s)
        if report.confirmed and self.member_status is not None:
            self.member_status = self.member_status.on_confirmed()
        self._store.apply_rows(report.change_rows)
        if report.version > self._store.version:
            self.wake()
        roster = report.roster or self.lease.roster
        is_same_roster = report.roster_revision == roster.revision
        lease_report = LeaseReport(
            report.version,
            roster,
            report.read_age_s,
            report.attestations,
            frozenset(report.dead),
            report.group_ages if is_same_roster else (),
        )
        self.on(PeerReported(asked_at_s, lease_report))

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
        """Answer a peer's request and record the attestation it carries."""
        now_s = time.monotonic()
        self.failure_detector.record_contact(message.incarnation, now_s)
        self._record_attestation(message)
        if message.roster_revision > self.lease.roster.revision:
            self.wake()
        lease_report = self.lease.report(
            now_s, message.contact, message.incarnation
        )
        is_roster_newer = (
            lease_report.roster.revision > message.roster_revision
        )
        return PeerReport(
            self.lease.incarnation,
            now_s,
            lease_report.version,
            lease_report.roster.revision,
            lease_report.read_age_s,
            lease_report.roster if is_roster_newer else None,
            lease_report.attestations,
            lease_report.group_ages,
            tuple(lease_report.dead),
            message.wants_confirmation and self._may_confirm(message, now_s),
            self._store.rows_since(message.applied),
        )

    def _may_confirm(self, message: AskReport, now_s: float) -> bool:
        status = self.member_status
        return status is not None and status.may_confirm(
            message.incarnation, self.lease, now_s
        )

    def _record_attestation(self, message: AskReport) -> None:
        if (
            message.echo_incarnation != self.lease.incarnation
            or not message.echo_s
        ):
            return
        if message.roster_revision > self.lease.roster.revision:
            return
        lease_report = LeaseReport(
            message.version,
            self.lease.roster,
            None,
            (AttestationAge(message.incarnation, 0.0),),
            frozenset(),
        )
        self.on(PeerReported(message.echo_s, lease_report))

    def on(self, event: Event) -> None:
        """Apply an event to the lease and notify the listeners."""
        now_s = time.monotonic()
        before = self.lease
        self.lease = before.on(event, now_s)
        has_roster_changed = self.lease.roster is not before.roster
        if has_roster_changed:
            self.failure_detector.on_roster(self.lease.roster, now_s)
        if self.member_status is not None:
            self.member_status = self.member_status.on_roster(
                self.lease.roster, now_s
            )
        if has_roster_changed or self.lease.dead != before.dead:
            for listener in self._listeners:
                listener()

    def _on_configuration(
        self, before: Configuration, after: Configuration
    ) -> None:
        self.on(VersionApplied(after.version))
