"""Provide the lease, configuration and members to other components."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import logging
import time

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.configuration import CommitError
from jackdawfield.decisions.configuration import CommitFault
from jackdawfield.decisions.configuration import decode_head
from jackdawfield.decisions.configuration import encode_record
from jackdawfield.decisions.configuration import Proposal
from jackdawfield.decisions.configuration import record_from_proposal
from jackdawfield.decisions.credentials import authenticate
from jackdawfield.decisions.credentials import CredentialError
from jackdawfield.decisions.credentials import Identity
from jackdawfield.decisions.membership import Evict
from jackdawfield.decisions.membership import evict_transaction
from jackdawfield.decisions.membership import merge_members
from jackdawfield.decisions.membership import merge_servers
from jackdawfield.decisions.membership import Remove
from jackdawfield.decisions.membership import remove_transaction
from jackdawfield.decisions.renewal import renewal_interval_s
from jackdawfield.decisions.table import Condition
from jackdawfield.drivers.announcements import ChangeDistributor
from jackdawfield.drivers.announcements import ChangeOutcome
from jackdawfield.drivers.configuration import ConfigurationStore
from jackdawfield.drivers.leases import LeaseManager
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.platform import InstanceListClient
from jackdawfield.drivers.platform import TableClient
from jackdawfield.drivers.withdrawals import is_key_valid
from jackdawfield.drivers.withdrawals import key_withdrawn_failure
from jackdawfield.drivers.withdrawals import WithdrawalWatcher
from jackdawfield.errors import make_failure
from jackdawfield.logs import log_event
from jackdawfield.messages.calls import CallEvent
from jackdawfield.messages.calls import CallFailed
from jackdawfield.messages.contracts import AskReport
from jackdawfield.model import BackendServer
from jackdawfield.model import Configuration
from jackdawfield.model import Execution
from jackdawfield.model import InstanceId
from jackdawfield.model import Member
from jackdawfield.model import ServerId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
MIN_RENEWAL_GAP_S = 0.1


class FleetStateDriver:
    """Holds the lease, configuration, members and servers of one instance."""

    def __init__(
        self,
        settings: Settings,
        table: TableClient,
        instances: InstanceListClient,
        links: PeerLinks,
    ) -> None:
        self._settings = settings
        self._table = table
        self._instances = instances
        self.store = ConfigurationStore(table)
        self.lease_manager = LeaseManager(settings, table, links, self.store)
        self._distributor = ChangeDistributor(
            self.lease_manager, self.store, links
        )
        self._withdrawal_watcher = WithdrawalWatcher()
        self.store.add_listener(self._withdrawal_watcher.on_configuration)
        self.lease_manager.add_listener(self._merge_members)
        self.members_by_id: Mapping[InstanceId, Member] = {}
        self.servers_by_id: Mapping[ServerId, BackendServer] = {}
        self._listed_members_by_id: Mapping[InstanceId, Member] = {}
        self._delisted_ids: set[InstanceId] = set()
        self._drained_server_ids: frozenset[ServerId] = frozenset()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self.store.configuration

    def register(self, server: PeerServer) -> None:
        """Register the handlers of other instances' messages."""
        server.handle(AskReport, self.lease_manager.answer)
        self._distributor.register(server)

    async def start(self) -> None:
        """Read the platform's list and join the roster, then renew the lease.

        Later reads and renewals run in the background.
        """
        await self._read_list()
        await self.lease_manager.renew()
        self._tasks.append(asyncio.create_task(self._poll_list()))
        self._tasks.append(asyncio.create_task(self._renew_periodically()))

    async def stop(self) -> None:
        """Stop the background tasks and leave the roster."""
        for task in self._tasks:
            task.cancel()
        await self.lease_manager.leave()

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def is_lease_valid(self, now_s: float) -> bool:
        """Return whether work under a key may be dispatched at this time."""
        return self.lease_manager.is_valid(now_s)

    def is_established(self, now_s: float) -> bool:
        """Return whether this instance may accept commits and take over."""
        return self.lease_manager.is_established(now_s)

    def authenticate(
        self, header: str | None
    ) -> Result[Identity, CredentialError]:
        """Return the organisation and key of an Authorization header."""
        keys_by_id = self.configuration.keys_by_id
        return authenticate(header, keys_by_id)

    def dispatch_refusal(self, key_id: str) -> CallFailed | None:
        """Return why a key's work may not be dispatched, None if it may."""
        if not self.is_lease_valid(time.monotonic()):
            reason = 'instance lost its lease'
            return make_failure(503, 'no_lease', reason, retry_after_s=1.0)
        if not is_key_valid(self.configuration, key_id):
            return key_withdrawn_failure(Execution.NOT_RUN)
        return None

    def until_withdrawn(
        self, key_id: str, events: AsyncIterator[CallEvent]
    ) -> AsyncIterator[CallEvent]:
        """Yield a call's events, or an error once its key is withdrawn."""
        return self._withdrawal_watcher.until_withdrawn(key_id, events)

    async def commit_change(
        self, proposal: Proposal
    ) -> Result[ChangeOutcome, CommitError]:
        """Commit a change, distribute it and wait for its acceptance.

        The wait is limited; without acceptance, the outcome is COMMITTED. The
        commit fails if the roster row of this instance has changed, such as
        by its eviction.
        """
        own_row = self.lease_manager.own_row()
        if own_row is None:
            fault = CommitFault.UNAVAILABLE
            return Err(CommitError(fault, proposal.seen_version))
        conditions = (Condition(own_row.key, own_row.revision),)
        committed = await self.store.commit(proposal, conditions)
        if isinstance(committed, Err):
            return committed
        version = committed.ok_value
        self.store.apply_rows((encode_record(record_from_proposal(proposal)),))
        if self.store.version < version:
            await self._read_configuration()
        outcome = await self._distributor.distribute(
            proposal.change_id, version
        )
        await self.store.write_due_snapshot()
        return Ok(outcome)

    def drain_server(self, server_id: ServerId) -> None:
        """Dispatch no new work from this instance to a backend server."""
        self._drained_server_ids |= {server_id}
        self.servers_by_id = merge_servers(
            self.servers_by_id,
            tuple(self.servers_by_id.values()),
            self._drained_server_ids,
        )

    async def _read_configuration(self) -> None:
        match await self.store.read_head():
            case Ok(row):
                await self.store.catch_up(decode_head(row))

    async def _renew_periodically(self) -> None:
        while True:
            started_s = time.monotonic()
            try:
                await self.lease_manager.renew()
                await self._update_roster()
            except Exception:
                LOG.exception('event=renewal_failed')
            now_s = time.monotonic()
            interval_s = renewal_interval_s(self.lease_manager.lease, now_s)
            elapsed_s = now_s - started_s
            await asyncio.sleep(MIN_RENEWAL_GAP_S)
            await self.lease_manager.wait_for_wake(
                max(0.0, interval_s - elapsed_s)
            )

    async def _update_roster(self) -> None:
        now_s = time.monotonic()
        lease = self.lease_manager.lease
        established = self.lease_manager.is_established(now_s)
        changes = self.lease_manager.failure_detector.decide_changes(
            lease, established, now_s
        )
        # The read also updates the rows on which the writes are conditional.
        if not changes or await self.lease_manager.read_roster() is None:
            return
        own_row = self.lease_manager.own_row()
        for change in changes:
            row = self.lease_manager.rows_by_incarnation.get(
                change.incarnation
            )
            entry = lease.roster.entry(change.incarnation)
            if own_row is None or row is None or entry is None:
                continue
            match change:
                case Evict():
                    transaction = evict_transaction(entry, row, own_row)
                case Remove():
                    transaction = remove_transaction(row, own_row)
            outcome = await self._table.transact(transaction)
            log_event(
                LOG,
                'roster_changed',
                change=type(change).__name__,
                incarnation=change.incarnation,
                outcome=type(outcome).__name__,
            )
            self.lease_manager.wake()

    async def _poll_list(self) -> None:
        while True:
            await asyncio.sleep(self._settings.platform.list_interval_s)
            await self._read_list()

    async def _read_list(self) -> None:
        match await self._instances.fetch():
            case Ok(answer):
                listed_by_id = {m.instance_id: m for m in answer.members}
                self._delisted_ids |= self._listed_members_by_id.keys()
                self._delisted_ids -= listed_by_id.keys()
                self._listed_members_by_id = listed_by_id
                self.servers_by_id = merge_servers(
                    self.servers_by_id,
                    answer.servers,
                    self._drained_server_ids,
                )
                self._merge_members()
            case Err(error):
                log_event(LOG, 'list_unread', reason=error)

    def _merge_members(self) -> None:
        self.members_by_id = merge_members(
            self.lease_manager.lease,
            self._listed_members_by_id,
            self._delisted_ids,
        )
