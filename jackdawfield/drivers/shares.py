"""Run this instance's share holder on the network and the clock.

A contract is the rate limit of an organisation. It is divided into parts; the
parts at one instance are its share, and the share holder admits requests from
them. The ledger is the table row that lists the holders of a contract.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import time

from result import Err
from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.ledger import decode_ledger
from jackdawfield.decisions.ledger import ledger_key
from jackdawfield.decisions.rate_events import Action
from jackdawfield.decisions.rate_events import AdmissionRequested
from jackdawfield.decisions.rate_events import Admit
from jackdawfield.decisions.rate_events import ContractsChanged
from jackdawfield.decisions.rate_events import DrainStarted
from jackdawfield.decisions.rate_events import Event
from jackdawfield.decisions.rate_events import incarnation_of
from jackdawfield.decisions.rate_events import instance_of
from jackdawfield.decisions.rate_events import InstanceLeaseExpired
from jackdawfield.decisions.rate_events import LeaseRenewed
from jackdawfield.decisions.rate_events import LedgerRead
from jackdawfield.decisions.rate_events import LedgerWritten
from jackdawfield.decisions.rate_events import MessageReceived
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.decisions.rate_events import ReadLedger
from jackdawfield.decisions.rate_events import Refuse
from jackdawfield.decisions.rate_events import Send
from jackdawfield.decisions.rate_events import TimePassed
from jackdawfield.decisions.rate_events import WakeAt
from jackdawfield.decisions.rate_events import WakeDue
from jackdawfield.decisions.rate_events import WriteLedger
from jackdawfield.decisions.rates import ShareHolder
from jackdawfield.decisions.table import Row
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.lease_view import LeaseView
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.messages.rates import Ask
from jackdawfield.messages.rates import CloseShare
from jackdawfield.messages.rates import EpochOpened
from jackdawfield.messages.rates import Grant
from jackdawfield.messages.rates import GrantReceived
from jackdawfield.messages.rates import HolderId
from jackdawfield.messages.rates import NoAnswer
from jackdawfield.messages.rates import RateMessage
from jackdawfield.messages.rates import RateRefusal
from jackdawfield.messages.rates import RequestId
from jackdawfield.messages.rates import ShareClosed
from jackdawfield.model import Configuration
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.settings import Settings

LOG = logging.getLogger(__name__)
TICK_INTERVAL_S = 0.5
HAND_OVER_TIMEOUT_S = 2.0
REQUEST_CLASSES = (Ask, Grant, CloseShare, EpochOpened)
Waiter = asyncio.Future[RateRefusal | None]


class SharesDriver:
    """Passes events to the share holder and carries out its actions.

    Each incarnation of the instance has a holder of its own.
    """

    def __init__(
        self,
        settings: Settings,
        contracts: FleetStateDriver,
        table: TableClient,
        links: PeerLinks,
        lease_view: LeaseView,
        rate_settings: RateSettings,
    ) -> None:
        self._own_id = InstanceId(settings.instance_id)
        self._contracts = contracts
        self._table = table
        self._links = links
        self._lease_view = lease_view
        self._rate_settings = rate_settings
        self._answer_timeout_s = 2 * rate_settings.ask_limit_ms / 1000
        self._configuration: Configuration | None = None
        self._unexpired: Mapping[Incarnation, InstanceId] = {}
        self._holder = self._make_holder()
        self._waiters_by_key: dict[
            tuple[OrganisationId, RequestId], Waiter
        ] = {}
        self._tasks = BackgroundTasks()
        self._ticker: asyncio.Task[None] | None = None

    def _make_holder(self) -> ShareHolder:
        return ShareHolder(
            self._own_id,
            self._lease_view.own_incarnation(),
            self._rate_settings,
        )

    def register(self, server: PeerServer) -> None:
        """Register the handler of other holders' requests."""
        for cls in REQUEST_CLASSES:
            server.handle(cls, self._answer)

    async def start(self) -> None:
        """Start the periodic work."""
        self._ticker = asyncio.create_task(self._tick_periodically())

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._handle(TimePassed())

    async def stop(self) -> None:
        """Hand over the shares, within a time limit, and stop."""
        self._handle(DrainStarted())
        await self._tasks.wait(HAND_OVER_TIMEOUT_S)
        if self._ticker is not None:
            self._ticker.cancel()
        self._tasks.cancel()

    async def admit(self, event: AdmissionRequested) -> RateRefusal | None:
        """Count a request; return its refusal, None if it is admitted.

        A request with the same id waits for the same decision.
        """
        key = (event.organisation_id, event.request_id)
        waiter = self._waiters_by_key.get(key)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters_by_key[key] = waiter
            self._handle(event)
        return await asyncio.shield(waiter)

    def _handle(self, event: Event) -> None:
        now_s = time.monotonic()
        self._sync_holder(now_s)
        self._execute(self._holder.on(event, now_s))

    def _sync_holder(self, now_s: float) -> None:
        if self._lease_view.own_incarnation() != self._holder.incarnation:
            # The event after the expiry refuses the queued requests.
            expired = LeaseRenewed(float('-inf'))
            self._execute(self._holder.on(expired, now_s))
            self._execute(self._holder.on(TimePassed(), now_s))
            self._holder = self._make_holder()
            self._configuration = None
            self._unexpired = self._lease_view.unexpired_incarnations()
        renewed = LeaseRenewed(self._lease_view.lease_expires_at_s())
        self._execute(self._holder.on(renewed, now_s))
        if self._contracts.configuration is not self._configuration:
            self._configuration = self._contracts.configuration
            changed = make_contracts_changed(self._configuration)
            self._execute(self._holder.on(changed, now_s))
        self._sync_roster(now_s)

    def _sync_roster(self, now_s: float) -> None:
        unexpired = self._lease_view.unexpired_incarnations()
        if unexpired is self._unexpired:
            return
        before, self._unexpired = self._unexpired, unexpired
        for incarnation in before.keys() - unexpired.keys():
            expired = InstanceLeaseExpired(before[incarnation], incarnation)
            self._execute(self._holder.on(expired, now_s))

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Admit(organisation_id, request_id):
                    self._resolve(organisation_id, request_id, None)
                case Refuse(organisation_id, request_id, refusal):
                    self._resolve(organisation_id, request_id, refusal)
                case Send(receiver, message):
                    self._tasks.spawn(self._send(receiver, message))
                case ReadLedger(organisation_id):
                    self._tasks.spawn(self._read_ledger(organisation_id))
                case WriteLedger():
                    self._tasks.spawn(self._write_ledger(action))
                case WakeAt(organisation_id, at_s):
                    self._schedule_wake(organisation_id, at_s)

    def _resolve(
        self,
        organisation_id: OrganisationId,
        request_id: RequestId,
        refusal: RateRefusal | None,
    ) -> None:
        waiter = self._waiters_by_key.pop((organisation_id, request_id), None)
        if waiter is not None and not waiter.done():
            waiter.set_result(refusal)

    def _schedule_wake(
        self, organisation_id: OrganisationId, at_s: float
    ) -> None:
        delay_s = max(0.0, at_s - time.monotonic())
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._handle, WakeDue(organisation_id))

    async def _send(self, receiver: HolderId, message: RateMessage) -> None:
        member = self._contracts.members_by_id.get(instance_of(receiver))
        if member is None:
            return
        result = await self._links.request(
            member.peer_address, message, self._answer_timeout_s
        )
        match result:
            case Ok(NoAnswer()):
                return
            case Ok(Grant() | GrantReceived() | ShareClosed() as reply):
                self._handle(MessageReceived(reply))
            case Err(error):
                log_event(
                    LOG,
                    'holder_unanswered',
                    holder=receiver,
                    message=type(message).__name__,
                    reason=error.reason,
                )

    async def _answer(self, message: RateMessage) -> object:
        now_s = time.monotonic()
        self._sync_holder(now_s)
        reply: object = NoAnswer()
        other_actions = []
        for action in self._holder.on(MessageReceived(message), now_s):
            match action:
                case Send(_, answer) if is_direct_answer(message, answer):
                    reply = answer
                case _:
                    other_actions.append(action)
        self._execute(other_actions)
        return reply

    async def _read_ledger(self, organisation_id: OrganisationId) -> None:
        result = await self._table.read(ledger_key(organisation_id))
        row = None
        if isinstance(result, Ok):
            rows = result.ok_value.rows
            row = rows[0] if rows else Row(ledger_key(organisation_id), b'', 0)
            await self._report_expired(row)
        self._handle(LedgerRead(organisation_id, row))

    async def _report_expired(self, row: Row) -> None:
        ledger = decode_ledger(row).unwrap_or(None)
        if ledger is None:
            return
        suspected_by_incarnation = {
            incarnation_of(holder_id): instance_of(holder_id)
            for holder_id in ledger.parts_by_holder
            if incarnation_of(holder_id)
            not in self._lease_view.unexpired_incarnations()
        }
        if not suspected_by_incarnation:
            return
        # The cached roster may be older than the ledger.
        unexpired = await self._lease_view.read_unexpired_incarnations()
        if unexpired is None:
            return
        for incarnation in suspected_by_incarnation.keys() - unexpired.keys():
            self._handle(
                InstanceLeaseExpired(
                    suspected_by_incarnation[incarnation], incarnation
                )
            )

    async def _write_ledger(self, action: WriteLedger) -> None:
        outcome = await self._table.transact(action.transaction)
        log_event(
            LOG,
            'ledger_written',
            organisation=action.organisation_id,
            outcome=type(outcome).__name__,
        )
        self._handle(LedgerWritten(action.organisation_id, outcome))


def make_contracts_changed(configuration: Configuration) -> ContractsChanged:
    """Return the event that carries the contracts of a configuration."""
    return ContractsChanged(
        {
            organisation_id: Contract(
                organisation.rate_per_s, organisation.burst
            )
            for organisation_id, organisation in (
                configuration.organisations_by_id.items()
            )
        }
    )


def is_direct_answer(request: RateMessage, answer: RateMessage) -> bool:
    """Return whether a message answers the request on the same exchange.

    All other messages are sent as requests of their own.
    """
    match request, answer:
        case Ask(sequence=sequence), Grant(ask_sequence=ask_sequence):
            return sequence == ask_sequence
        case Grant(), GrantReceived():
            return True
        case CloseShare(), ShareClosed():
            return True
    return False
