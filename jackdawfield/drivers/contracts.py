"""Offers the lease, the configuration and the members to other parts."""

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
from jackdawfield.drivers.announcements import Announcer
from jackdawfield.drivers.announcements import ChangeOutcome
from jackdawfield.drivers.configuration import ConfigurationStore
from jackdawfield.drivers.leases import LeaseKeeper
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.platform import InstanceListClient
from jackdawfield.drivers.platform import TableClient
from jackdawfield.drivers.withdrawals import key_is_good
from jackdawfield.drivers.withdrawals import key_withdrawn
from jackdawfield.drivers.withdrawals import Withdrawals
from jackdawfield.errors import failure
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
SHORTEST_RENEWAL_GAP_S = 0.1


class ContractsDriver:
    """Renews the lease and follows configuration and members."""

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
        self.keeper = LeaseKeeper(settings, table, links, self.store)
        self._announcer = Announcer(self.keeper, self.store, links)
        self._withdrawals = Withdrawals()
        self.store.listen(self._withdrawals.on_configuration)
        self.keeper.listen(self._merge_members)
        self.members_by_id: Mapping[InstanceId, Member] = {}
        self.servers_by_id: Mapping[ServerId, BackendServer] = {}
        self._listed_by_id: Mapping[InstanceId, Member] = {}
        self._unlisted: set[InstanceId] = set()
        self._drained: frozenset[ServerId] = frozenset()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self.store.configuration

    def register(self, server: PeerServer) -> None:
        """Answer the messages of other instances."""
        server.handle(AskReport, self.keeper.answer)
        self._announcer.register(server)

    async def start(self) -> None:
        """Join and read once, then go on renewing."""
        await self._read_list()
        await self.keeper.renew()
        self._tasks.append(asyncio.create_task(self._follow_list()))
        self._tasks.append(asyncio.create_task(self._keep_lease()))

    async def stop(self) -> None:
        """Give up the lease and stop reading."""
        for task in self._tasks:
            task.cancel()
        await self.keeper.leave()

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def lease_valid(self, now_s: float) -> bool:
        """Return whether keyed work may be dispatched at a time."""
        return self.keeper.valid(now_s)

    def established(self, now_s: float) -> bool:
        """Return whether this instance may accept changes and take over."""
        return self.keeper.established(now_s)

    def authenticate(
        self, header: str | None
    ) -> Result[Identity, CredentialError]:
        """Return whose key a header carries."""
        keys_by_id = self.configuration.keys_by_id
        return authenticate(header, keys_by_id)

    def dispatch_refusal(self, key_id: str) -> CallFailed | None:
        """Return why keyed work must not be dispatched at this moment."""
        if not self.lease_valid(time.monotonic()):
            reason = 'instance lost its lease'
            return failure(503, 'no_lease', reason, retry_after_s=1.0)
        if not key_is_good(self.configuration, key_id):
            return key_withdrawn(Execution.NOT_RUN)
        return None

    def until_withdrawn(
        self, key_id: str, events: AsyncIterator[CallEvent]
    ) -> AsyncIterator[CallEvent]:
        """Yield the events of a call until its key is withdrawn."""
        return self._withdrawals.until_withdrawn(key_id, events)

    async def change(
        self, proposal: Proposal
    ) -> Result[ChangeOutcome, CommitError]:
        """Commit a change, tell it and wait until it is accepted."""
        own_row = self.keeper.own_row()
        if own_row is None:
            fault = CommitFault.UNAVAILABLE
            return Err(CommitError(fault, proposal.seen_version))
        conditions = (Condition(own_row.key, own_row.revision),)
        committed = await self.store.commit(proposal, conditions)
        if isinstance(committed, Err):
            return committed
        version = committed.ok_value
        self.store.take_rows((encode_record(record_from_proposal(proposal)),))
        if self.store.version < version:
            await self._read_configuration()
        outcome = await self._announcer.announce(proposal.change_id, version)
        await self.store.write_due_snapshot()
        return Ok(outcome)

    def drain_server(self, server_id: ServerId) -> None:
        """Give a backend server no new work."""
        self._drained |= {server_id}
        self.servers_by_id = merge_servers(
            self.servers_by_id,
            tuple(self.servers_by_id.values()),
            self._drained,
        )

    async def _read_configuration(self) -> None:
        match await self.store.read_head():
            case Ok(row):
                await self.store.catch_up(decode_head(row))

    async def _keep_lease(self) -> None:
        while True:
            started_s = time.monotonic()
            try:
                await self.keeper.renew()
                await self._change_roster()
            except Exception:
                LOG.exception('event=renewal_failed')
            now_s = time.monotonic()
            interval_s = renewal_interval_s(self.keeper.lease, now_s)
            elapsed_s = now_s - started_s
            await asyncio.sleep(SHORTEST_RENEWAL_GAP_S)
            await self.keeper.wait_wake(max(0.0, interval_s - elapsed_s))

    async def _change_roster(self) -> None:
        now_s = time.monotonic()
        lease = self.keeper.lease
        established = self.keeper.established(now_s)
        changes = self.keeper.contacts.decide_changes(
            lease, established, now_s
        )
        if not changes or await self.keeper.read_roster() is None:
            return
        own_row = self.keeper.own_row()
        for change in changes:
            row = self.keeper.rows_by_incarnation.get(change.incarnation)
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
            self.keeper.wake()

    async def _follow_list(self) -> None:
        while True:
            await asyncio.sleep(self._settings.platform.list_interval_s)
            await self._read_list()

    async def _read_list(self) -> None:
        match await self._instances.fetch():
            case Ok(answer):
                listed_by_id = {m.instance_id: m for m in answer.members}
                self._unlisted |= self._listed_by_id.keys()
                self._unlisted -= listed_by_id.keys()
                self._listed_by_id = listed_by_id
                self.servers_by_id = merge_servers(
                    self.servers_by_id, answer.servers, self._drained
                )
                self._merge_members()
            case Err(error):
                log_event(LOG, 'list_unread', reason=error)

    def _merge_members(self) -> None:
        self.members_by_id = merge_members(
            self.keeper.lease, self._listed_by_id, self._unlisted
        )
