"""Build one instance of the gateway, start it and stop it."""

import asyncio
import logging
import secrets
import time

from result import Err

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.adapter import Adapter
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.entry import CallHandler
from jackdawfield.gateway.fleet.broadcast import Broadcast
from jackdawfield.gateway.fleet.failure_detector import FailureDetector
from jackdawfield.gateway.fleet.member_rows import MEMBERS_TABLE
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.seat_holder import SeatHolder
from jackdawfield.gateway.fleet.shared_tables import SharedTables
from jackdawfield.gateway.fleet.table_sharing import TableSharing
from jackdawfield.gateway.gauges import add_gauges
from jackdawfield.gateway.http.caller_exchange import IncomingRequest
from jackdawfield.gateway.http.caller_exchange import RawHeaders
from jackdawfield.gateway.http.drain import drain
from jackdawfield.gateway.http.pool import ConnectionPool
from jackdawfield.gateway.http.reply import Reply
from jackdawfield.gateway.listeners import Listeners
from jackdawfield.gateway.loop_watch import LoopWatch
from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.gateway.programs.accounts import ProgramAccounts
from jackdawfield.gateway.programs.advances import Advances
from jackdawfield.gateway.programs.chains import ChainReader
from jackdawfield.gateway.programs.expiry import RowExpiry
from jackdawfield.gateway.programs.stream_calls import StreamCalls
from jackdawfield.gateway.programs.turn_cache import TurnCache
from jackdawfield.gateway.programs.turn_store import TurnStore
from jackdawfield.gateway.programs.unused_tokens import UnusedTokens
from jackdawfield.gateway.programs.unused_tokens import writer_name
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.gateway.rates.owner import RateOwner
from jackdawfield.gateway.servers.choice import MISSING_GRACE_S
from jackdawfield.gateway.servers.connected import build_servers
from jackdawfield.gateway.servers.dispatch import Dispatcher
from jackdawfield.gateway.servers.endings import EndedServers
from jackdawfield.gateway.servers.exchange import ServerExchange
from jackdawfield.gateway.servers.failures import FailureReports
from jackdawfield.gateway.servers.guard import CallGuard
from jackdawfield.gateway.servers.notices import NoticeRecorder
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.gateway.servers.quarantine_page import QuarantinePage
from jackdawfield.gateway.servers.quarantine_sharing import QuarantineSharing
from jackdawfield.gateway.servers.reachability import Reachability
from jackdawfield.gateway.servers.relay_client import RelayClient
from jackdawfield.gateway.servers.relay_server import RelayServer
from jackdawfield.gateway.servers.server_limits import ServerLimits
from jackdawfield.gateway.servers.server_paths import ServerPaths
from jackdawfield.gateway.servers.server_table import ServerTable
from jackdawfield.gateway.servers.slot_queue import SlotQueue
from jackdawfield.gateway.slots.gauges import add_slot_gauges
from jackdawfield.gateway.slots.pooling import build_pooling
from jackdawfield.gateway.stop_rule import StopRule
from jackdawfield.gateway.storage.follower import TableFollower
from jackdawfield.gateway.storage.measured import MeasuredStore
from jackdawfield.gateway.storage.path import StorePath
from jackdawfield.gateway.storage.rows import StoredRow
from jackdawfield.gateway.work_slices import WorkSlices
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)
BYTES_PER_MB = 1024 * 1024
# Share of an instance's memory for the cache of its served turns.
CACHE_SHARE = 0.15
CHECK_INTERVAL_S = 0.25
EXPIRY_INTERVAL_S = 5.0
# Time for answers to requests of other instances that were taken before.
PEER_GRACE_S = 0.3
# End of the grace period, reserved for the last answers and for closing.
STOP_MARGIN_S = 0.8


class Gateway:
    """Represents one instance: its components, their start and their stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        metrics_port: int | None = None,
    ) -> None:
        self.settings = settings
        self._metrics_port = metrics_port or settings.metrics_port
        self._adapter = adapter
        self._incarnation = secrets.token_hex(4)
        self._tasks = BackgroundTasks()
        self.work_slices = WorkSlices()
        self.loop_watch = LoopWatch()
        self.stop_rule = StopRule()
        self.is_stopping = False
        self.metrics = GatewayMetrics(settings.instance_id)
        self._cache_bytes = int(
            settings.memory_mb * BYTES_PER_MB * CACHE_SHARE
        )
        self.listeners = Listeners(settings, self._cache_bytes, self.metrics)
        self._build_store()
        self._build_calls()
        self.followers = self._build_followers()
        add_gauges(self)
        if self.slot_pooling is not None:
            add_slot_gauges(self.metrics, self.slot_pooling)
        self._build_listeners()

    def _build_listeners(self) -> None:
        self.listeners.build(
            self._serve,
            self._has_route,
            lambda: self.is_ready,
            self.quarantine_page,
        )
        self.caller_listener = self.listeners.callers

    def _build_store(self) -> None:
        settings = self.settings
        self.links = PeerLinks()
        self.peers = PeerServer()
        self.store_pool = ConnectionPool(self.work_slices)
        self.store_path = StorePath(
            self.store_pool,
            settings.store_host,
            settings.store_port,
            self.links,
            lambda: self.members.relay_addresses(),
        )
        self.store = MeasuredStore(
            self._adapter.open_store(self.store_path), self.metrics
        )
        self.members = Members(settings, self._incarnation)
        self.seat_holder = SeatHolder(self.members, self.store)
        self.detector = FailureDetector(self.members, self.store, self.links)
        self.table_sharing = TableSharing()
        self.shared_tables = SharedTables(self.store, self.members, self.links)

    def _build_calls(self) -> None:
        settings = self.settings
        self.servers, self.server_pool = build_servers(
            settings, self.work_slices
        )
        self.slot_queue = SlotQueue(self.servers, self.metrics)
        self.slot_pooling = build_pooling(
            self.members,
            self.links,
            self.slot_queue,
            self.server_pool,
            self.metrics,
        )
        self._build_broadcasts()
        self._build_server_paths()
        self._build_quarantine()
        self._build_dispatcher()
        self.rate_owner = RateOwner(
            settings.bounds,
            self.members,
            self.seat_holder,
            self.detector,
            self.links,
        )
        self.admission = Admission(
            self.members, self.detector, self.links, self.rate_owner
        )
        self._build_programs()
        self.call_handler = CallHandler(
            self.dispatcher,
            self.stream_calls,
            self.admission,
            self.metrics,
            self.stop_rule,
        )

    def _build_quarantine(self) -> None:
        self.quarantine = Quarantine()
        self.quarantine_sharing = QuarantineSharing(
            self.quarantine, self.members, self.table_sharing, self.links
        )
        self.quarantine_page = QuarantinePage(
            self.quarantine, self.quarantine_sharing
        )
        self.ended_servers = EndedServers(
            self.servers,
            self.server_paths,
            self.quarantine,
            self.quarantine_sharing.notify,
        )

    def _build_dispatcher(self) -> None:
        exchange = ServerExchange(
            self.servers,
            self.server_pool,
            self.server_paths,
            self._adapter.header_format,
            self.notices,
            self.failure_reports.report,
        )
        guard = CallGuard(self.quarantine, self.ended_servers)
        self.dispatcher = Dispatcher(
            self.slot_queue,
            exchange,
            guard,
            self.server_limits,
            self.stop_rule,
            self.slot_pooling.client if self.slot_pooling else None,
        )

    def _build_broadcasts(self) -> None:
        self.broadcast = Broadcast(
            self.members, self.table_sharing, self.links
        )
        self.server_limits = ServerLimits(
            self.servers, self.members, self.links, self.broadcast
        )
        self.notices = NoticeRecorder(
            self.server_limits,
            self._adapter.header_format.decode_notices,
            self.settings.bounds.drain_s,
        )
        self.failure_reports = FailureReports(
            self.servers, self.settings.region_id, self.broadcast
        )

    def _build_server_paths(self) -> None:
        self.reachability = Reachability()
        self.relay_client = RelayClient(
            self.links, self.members.peer_addresses
        )
        self.relay_server = RelayServer(
            self.slot_queue,
            self.server_pool,
            self.reachability,
            self.server_limits,
            self.notices,
            lambda: self.is_stopping,
        )
        self.server_paths = ServerPaths(
            self.servers,
            self.server_pool,
            self.reachability,
            self.relay_client,
        )

    def _build_programs(self) -> None:
        settings = self.settings
        cache = TurnCache(self._cache_bytes)
        self.expiry = RowExpiry(self.store)
        self.unused_tokens = UnusedTokens(self.links, self.members)
        self.accounts = ProgramAccounts(
            self.store,
            writer_name(self.members.own_address, self._incarnation),
            self.unused_tokens.collect,
        )
        turns = TurnStore(
            self.store, self.accounts, self.expiry, settings.row_bytes, cache
        )
        chains = ChainReader(self.store, cache)
        self.advances = Advances(
            self.members,
            self.links,
            self.rate_owner.ownership,
            self.accounts,
            self.unused_tokens.pool,
        )
        self.advances.share_turns(chains)
        self.overdraft_lender = self.advances.lender
        self.stream_calls = StreamCalls(
            self.dispatcher,
            chains,
            turns,
            self.accounts,
            self.advances,
            self.expiry,
            self.admission,
            self.metrics,
            self.work_slices,
        )

    @property
    def restarted_task_count(self) -> int:
        """Return how often a background task has failed."""
        return self._tasks.restart_count

    @property
    def configuration_table(self) -> TableFollower:
        """Return the follower of the table that holds the configuration."""
        return self.followers[0]

    def _build_followers(self) -> list[TableFollower]:
        apply_rows = self._apply_configuration_rows
        source = self.shared_tables
        server_table = ServerTable(self.servers, self._adapter.decode_server)
        followers = [
            TableFollower(
                source,
                self._adapter.configuration_row.table,
                apply_rows,
                apply_rows,
            ),
            TableFollower(
                source,
                self._adapter.servers_table,
                server_table.replace_all,
                server_table.apply_changes,
                MISSING_GRACE_S,
                read_held=source.copies.read_held,
            ),
            TableFollower(
                source,
                MEMBERS_TABLE,
                self.members.apply_snapshot,
                self.members.apply_changes,
                on_confirmed=self.rate_owner.ownership.confirm_view,
            ),
        ]
        for follower in followers:
            self.table_sharing.add(follower)
        self.call_handler.configuration_table = followers[0]
        return followers

    async def start(self) -> None:
        """Listen and start the background tasks."""
        settings = self.settings
        self.store_path.register(self.peers)
        self.detector.register(self.peers)
        self.rate_owner.register(self.peers)
        self.failure_reports.register(self.peers)
        self.quarantine_sharing.register(self.peers, self.ended_servers)
        self.table_sharing.register(self.peers)
        self.relay_server.register(self.peers)
        self.server_limits.register(self.peers)
        self.advances.register(self.peers)
        self.unused_tokens.register(self.peers, self.accounts)
        if self.slot_pooling is not None:
            self.slot_pooling.start(self.peers, self._tasks)
        await self.peers.start(f'{settings.host}:{settings.peer_port}', None)
        self.listeners.listen(settings, self._metrics_port)
        for follower in self.followers[:-1]:
            self._tasks.supervise(follower.table, follower.run)
        self._tasks.supervise(MEMBERS_TABLE, self._follow_members)
        self._tasks.supervise('checks', self._run_checks)
        self._tasks.supervise('expiry', self._remove_expired)
        self._tasks.supervise('views', self.rate_owner.poll_views)
        self._tasks.supervise('quarantine', self.quarantine_sharing.run)
        self._tasks.supervise('trials', self.server_paths.run_trials)
        self._tasks.supervise('loans', self.advances.loans.run)
        log_event(
            LOG,
            'started',
            incarnation=self._incarnation,
            domain=settings.domain_id,
        )

    async def _follow_members(self) -> None:
        # An own seat is taken first, since its rates may be granted at once.
        await self.seat_holder.begin_reclaim(self._tasks)
        await self.followers[-1].run()

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            await self.expiry.remove_expired()

    async def _run_checks(self) -> None:
        while True:
            await self.loop_watch.sleep(CHECK_INTERVAL_S)
            for server_id in self.servers.expire(time.monotonic()):
                log_event(LOG, 'server_gone', server=server_id)
            self.advances.note_store(is_away=not self.store_path.is_direct)
            if self.rate_owner.ownership.older_views_expired(boot_time_s()):
                await self.seat_holder.write_established()
                await self.seat_holder.clear_suspended()

    def _apply_configuration_rows(
        self, rows: tuple[StoredRow, ...], _: bool
    ) -> None:
        for row in rows:
            if row.key == self._adapter.configuration_row and row.value:
                self._apply_configuration(row.value, row.version)

    def _apply_configuration(self, data: bytes, row_version: int) -> None:
        decoded = self._adapter.decode_configuration(data)
        if isinstance(decoded, Err):
            log_event(
                LOG,
                'configuration_unreadable',
                logging.ERROR,
                row_version=row_version,
                reason=decoded.err_value,
            )
            return
        configuration = decoded.ok_value
        current = self.call_handler.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.call_handler.configuration = configuration
        self.stream_calls.configuration = configuration
        self.slot_queue.configuration = configuration
        self.rate_owner.configure(configuration)
        self.advances.configure(configuration)
        self.listeners.apply_body_limit(configuration.body_limit_bytes)
        table = self.configuration_table
        log_event(
            LOG,
            'configuration_applied',
            version=configuration.version,
            row_version=row_version,
            read_from=table.read_from,
            unconfirmed_s=round(table.age_s(), 2),
        )

    def _has_route(self, raw_headers: RawHeaders, target: str) -> bool:
        host = self._adapter.decode_headers(raw_headers).host
        return self.call_handler.has_route(host, target)

    async def _serve(self, request: IncomingRequest, reply: Reply) -> None:
        headers = self._adapter.decode_headers(request.raw_headers)
        await self.call_handler.serve(request, headers, reply)

    @property
    def is_ready(self) -> bool:
        """Return whether the instance is configured and has servers."""
        if self.is_stopping or self.call_handler.configuration is None:
            return False
        return bool(self.servers.by_id)

    async def stop(self) -> None:
        """Drain the instance and close it within the grace period."""
        self.is_stopping = True
        started_s = time.monotonic()
        grace_s = self.settings.bounds.grace_s
        drain_until_s = started_s + grace_s - STOP_MARGIN_S
        self.caller_listener.disable_keep_alive()
        log_event(LOG, 'stopping', in_flight=self.caller_listener.in_flight)
        self.detector.is_leaving = True
        self.rate_owner.hand_over_all()
        if self.slot_pooling is not None:
            self._tasks.spawn(self.slot_pooling.stop())
        self.advances.begin_stop(is_store_away=not self.store_path.is_direct)
        # A store that is slow or away must not delay what callers wait for.
        leaving = asyncio.create_task(self.seat_holder.leave())
        await drain(
            self.caller_listener,
            started_s,
            drain_until_s,
            self.stop_rule.refuse_calls_due_after,
        )
        await self.relay_server.drain(drain_until_s)
        await self.advances.end_stop(drain_until_s)
        await self._wait_until_left(leaving, drain_until_s)
        log_event(LOG, 'stopped', in_flight=self.caller_listener.in_flight)
        await self.close()

    async def _wait_until_left(
        self, leaving: asyncio.Task[None], until_s: float
    ) -> None:
        """Wait until the seats are left, at most until a monotonic time."""
        left_s = max(0.0, until_s - time.monotonic())
        _, pending = await asyncio.wait((leaving,), timeout=left_s)
        if pending:
            leaving.cancel()
            log_event(LOG, 'seats_not_left', logging.WARNING)

    async def close(self) -> None:
        """Cancel the background tasks and close all connections."""
        self._tasks.cancel()
        self.ended_servers.close()
        self.server_paths.close()
        self.broadcast.close()
        self.quarantine_sharing.close()
        if self.slot_pooling is not None:
            self.slot_pooling.close()
        await self.listeners.close()
        await self.peers.stop(PEER_GRACE_S)
        await self.links.close()
        self.store_pool.close()
        self.server_pool.close()
