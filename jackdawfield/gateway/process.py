"""Run one instance of the gateway as a process."""

import asyncio
import logging
import signal

import uvloop

from jackdawfield.gateway.adapter import Adapter
from jackdawfield.gateway.daemon import Gateway
from jackdawfield.gateway.model import GatewaySettings
from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)


def run(settings: GatewaySettings, adapter: Adapter) -> None:
    """Serve until SIGTERM or SIGINT.

    The uvloop event loop makes fewer system calls than asyncio's.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve_until_stopped(settings, adapter))


async def _serve_until_stopped(
    settings: GatewaySettings, adapter: Adapter
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # There is nothing to reload: the configuration is read from the store.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: log_event(LOG, 'reload_requested')
    )
    gateway = Gateway(settings, adapter)
    await gateway.start()
    await stop.wait()
    await gateway.stop()
