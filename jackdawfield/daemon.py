"""Run one instance of the scheduler."""

import argparse
import asyncio
import logging
from pathlib import Path
import signal
import ssl
import sys
import time

import grpc
from result import Err
from result import Ok
import tornado.web

from jackdawfield.drivers.admin import admin_application
from jackdawfield.drivers.admin import AdminContext
from jackdawfield.drivers.backends import EngineClient
from jackdawfield.drivers.backends import ServiceClient
from jackdawfield.drivers.caller_application import caller_application
from jackdawfield.drivers.callers import CallerContext
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.effect_calls import EffectCalls
from jackdawfield.drivers.effect_operators import effect_routes
from jackdawfield.drivers.effects import EffectsDriver
from jackdawfield.drivers.forwarding import Forwarder
from jackdawfield.drivers.homes import HomesDriver
from jackdawfield.drivers.http import HttpClient
from jackdawfield.drivers.lease_view import ManagedLeaseView
from jackdawfield.drivers.listening import DrainableServer
from jackdawfield.drivers.operators import operator_routes
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.drivers.platform import InstanceListClient
from jackdawfield.drivers.platform import ObjectClient
from jackdawfield.drivers.platform import TableClient
from jackdawfield.drivers.pools import PoolsDriver
from jackdawfield.drivers.program_operators import program_routes
from jackdawfield.drivers.programs import ProgramsDriver
from jackdawfield.drivers.rates import RatesDriver
from jackdawfield.drivers.releases import ReleasesDriver
from jackdawfield.drivers.stewards import StewardsDriver
from jackdawfield.logs import configure_logs
from jackdawfield.logs import log_event
from jackdawfield.metrics import Registry
from jackdawfield.settings import load_settings
from jackdawfield.settings import Settings
from jackdawfield.settings import split_address
from jackdawfield.settings import TlsSettings

LOG = logging.getLogger(__name__)
EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_DRAIN_INCOMPLETE = 3
PEER_GRACE_S = 0.5
# The header with sealed tails can exceed the default limit of 64 KiB.
MAX_HEADER_BYTES = 1 << 20
DRAIN_CHECK_S = 0.05
# Time for a request to arrive on a connection that was just accepted.
LAST_REQUEST_S = 0.1


class Daemon:
    """Holds the components of one instance and starts and stops them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.http = HttpClient(f'jackdawfield/{settings.instance_id}')
        self.links = PeerLinks(channel_credentials(settings.peer_tls))
        self.peers = PeerServer()
        self.metrics = Registry(settings.instance_id)
        self._build_fleet_state()
        self._build_pools()
        self._build_programs()
        self._build_interfaces()
        self._servers: list[DrainableServer] = []

    def _build_fleet_state(self) -> None:
        """Build the components for leases, configuration and rates."""
        settings = self.settings
        platform = settings.platform
        self.table = TableClient(
            self.http, platform.table_url, platform.timeout_s
        )
        instances = InstanceListClient(
            self.http, platform.instances_url, platform.timeout_s
        )
        self.contracts = FleetStateDriver(
            settings, self.table, instances, self.links
        )
        self.rates = RatesDriver(
            settings,
            self.contracts,
            self.table,
            self.links,
            ManagedLeaseView(self.contracts.lease_manager),
            self.metrics,
        )

    def _build_pools(self) -> None:
        """Build the components that assign calls to backend servers."""
        settings = self.settings
        stewards = StewardsDriver(
            settings, self.contracts, self.links, self.http
        )
        self.pools = PoolsDriver(
            settings, self.contracts, self.links, stewards
        )

    def _build_programs(self) -> None:
        """Build the components for programs, effects and engine caches."""
        settings = self.settings
        platform = settings.platform
        objects = ObjectClient(
            self.http, platform.object_url, platform.timeout_s
        )
        self.homes = HomesDriver(settings, self.contracts, self.table, objects)
        self.releases = ReleasesDriver(
            settings, self.contracts, self.table, self.http
        )
        self.homes.add_end_listener(self.releases.release_program)
        services = ServiceClient(self.http)
        self.effects = EffectsDriver(self.table, self.contracts.lease_manager)
        self.programs = ProgramsDriver(
            settings,
            self.contracts,
            self.pools,
            EngineClient(self.http),
            services,
            self.homes,
            self.metrics,
            EffectCalls(self.effects, services),
        )

    def _build_interfaces(self) -> None:
        """Build the callers' and the operators' interfaces."""
        settings = self.settings
        self.entry = CallerContext(
            settings,
            self.contracts,
            self.rates,
            Forwarder(self.programs, self.links),
            set(),
            self.metrics,
        )
        self.admin = AdminContext(settings, self.contracts, self.metrics)

    async def start(self) -> None:
        """Listen for peers, start the components, then listen for requests."""
        self.contracts.register(self.peers)
        self.pools.register(self.peers)
        self.programs.register(self.peers)
        self.rates.register(self.peers)
        await self.peers.start(
            self.settings.peer_address,
            server_credentials(self.settings.peer_tls),
        )
        await self.contracts.start()
        await self.rates.start()
        self.homes.start()
        self.pools.start()
        self.releases.start()
        self._listen(
            admin_application(
                self.admin,
                [
                    *operator_routes(self.admin),
                    *effect_routes(self.admin, self.effects),
                    *program_routes(self.admin, self.homes, self.programs),
                ],
            ),
            self.settings.operator_address,
            None,
        )
        self._listen(
            caller_application(self.entry),
            self.settings.caller_address,
            self.settings.caller_tls,
        )
        log_event(LOG, 'started', domain=self.settings.domain_id)

    def _listen(
        self,
        application: tornado.web.Application,
        address: str,
        tls: TlsSettings | None,
    ) -> None:
        host, port = split_address(address)
        server = DrainableServer(
            application,
            ssl_options=ssl_context(tls),
            max_body_size=self.settings.limits.body_bytes,
            max_header_size=MAX_HEADER_BYTES,
        )
        server.listen_at(host, port)
        self._servers.append(server)

    async def stop(self) -> bool:
        """Drain and stop; return False if work was interrupted.

        The drain lasts at most `drain_s` of the settings.
        """
        deadline_s = time.monotonic() + self.settings.limits.drain_s
        self.admin.draining = True
        for server in self._servers:
            server.disable_keep_alive()
        log_event(LOG, 'draining')
        await self._wait_until_idle(deadline_s)
        is_drained = await self._end_connections(deadline_s)
        self.pools.stop()
        await self.rates.stop()
        await self.homes.stop(self.settings.platform.timeout_s)
        await self.effects.stop()
        await self.releases.stop()
        await self.contracts.stop()
        await self.peers.stop(PEER_GRACE_S)
        await self.links.close()
        self.http.close()
        log_event(LOG, 'stopped', whole=is_drained)
        return is_drained

    async def _wait_until_idle(self, deadline_s: float) -> None:
        while self._is_busy() and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_CHECK_S)

    async def _end_connections(self, deadline_s: float) -> bool:
        """Stop listening and close each connection after its answer.

        Return False if work is still under way at the deadline.
        """
        for server in self._servers:
            server.stop_listening()
        await asyncio.sleep(LAST_REQUEST_S)
        while True:
            for server in self._servers:
                server.close_idle()
            if not self._is_busy() and not self._has_connections():
                return True
            if time.monotonic() >= deadline_s:
                return False
            await asyncio.sleep(DRAIN_CHECK_S)

    def _has_connections(self) -> bool:
        return any(server.connection_count for server in self._servers)

    def _is_busy(self) -> bool:
        open_exchanges = self.peers.open_exchange_count
        if self.effects.is_busy:
            return True
        return bool(self.entry.requests_in_flight or open_exchanges)


def ssl_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, None without settings."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.private_key_file)
    return context


def read_tls(tls: TlsSettings) -> tuple[bytes, bytes, bytes | None]:
    """Return the private key, certificate and authority certificate."""
    authority = None
    if tls.authority_file is not None:
        authority = Path(tls.authority_file).read_bytes()
    return (
        Path(tls.private_key_file).read_bytes(),
        Path(tls.certificate_file).read_bytes(),
        authority,
    )


def channel_credentials(
    tls: TlsSettings | None,
) -> grpc.ChannelCredentials | None:
    """Return the TLS credentials of links to peers."""
    if tls is None:
        return None
    private_key, certificate, authority = read_tls(tls)
    return grpc.ssl_channel_credentials(authority, private_key, certificate)


def server_credentials(
    tls: TlsSettings | None,
) -> grpc.ServerCredentials | None:
    """Return the TLS credentials of the listener for peers."""
    if tls is None:
        return None
    private_key, certificate, authority = read_tls(tls)
    return grpc.ssl_server_credentials(
        [(private_key, certificate)], authority, authority is not None
    )


async def run(settings: Settings) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    daemon = Daemon(settings)
    await daemon.start()
    await stop_requested.wait()
    is_drained = await daemon.stop()
    return EXIT_OK if is_drained else EXIT_DRAIN_INCOMPLETE


def main() -> int:
    """Run the daemon with the settings that the command line names."""
    parser = argparse.ArgumentParser(
        prog='jackdawfieldd',
        description='Runs one instance of the jackdawfield scheduler.',
    )
    parser.add_argument('settings', type=Path, help='file of settings')
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    options = parser.parse_args()
    match load_settings(options.settings):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_SETTINGS
        case Ok(settings):
            pass
    if options.check:
        print(f'{options.settings}: ok')
        return EXIT_OK
    configure_logs(settings.instance_id, settings.log_level)
    return asyncio.run(run(settings))


if __name__ == '__main__':
    sys.exit(main())
