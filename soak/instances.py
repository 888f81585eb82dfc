"""Start, stop and signal the processes of the instances."""

import asyncio
import json
import os
from pathlib import Path
import signal
import sys
import time

from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPClientError

from jackdawfield.platform.__main__ import SETTINGS_VARIABLE
from jackdawfield.platform.settings import METRICS_PORT
from soak.cuts import Cut
from soak.cuts import CUT_FILE_VARIABLE
from soak.cuts import set_cut
from soak.launch import SKEW_VARIABLE
from soak.launch import VARIANT_VARIABLE
from soak.proxy import FaultProxy
from soak.scenario import RATE_OVERSHOOT_RATIO
from soak.scenario import RATE_SLACK_CALLS
from soak.scenario import RATE_WINDOW_S
from soak.scenario import STOP_GRACE_S

CALLER_PORT = 18080
HEALTH_PORT = 18081
PEER_PORT = 18082
MEMORY_MB = 200
START_TIMEOUT_S = 15.0
HTTP_TIMEOUT_S = 0.5
VERSION_METRIC_PREFIX = 'jackdawfield_configuration_version '


class Instance:
    """Holds one instance and its process, if it was started."""

    def __init__(
        self,
        name: str,
        host: str,
        store_proxy: FaultProxy,
        seed_addresses: list[str],
        directory: Path,
        variant: str,
        clock_skew_s: float,
    ) -> None:
        self.name = name
        self.host = host
        self.store_proxy = store_proxy
        self._seed_addresses = seed_addresses
        self._directory = directory
        self._variant = variant
        self._clock_skew_s = clock_skew_s
        self._process: asyncio.subprocess.Process | None = None
        self._start_count = 0
        self.process_fault_lock = asyncio.Lock()

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        process = self._process
        return process is not None and process.returncode is None

    def _write_settings(self) -> Path:
        wire = {
            'node': self.name,
            'ip': self.host,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listen': {
                'front': f'{self.host}:{CALLER_PORT}',
                'ready': f'{self.host}:{HEALTH_PORT}',
                'control': f'{self.host}:{PEER_PORT}',
            },
            'internalPorts': [PEER_PORT, PEER_PORT],
            'limits': {'memoryMb': MEMORY_MB},
            'platform': {
                'address': f'{self.store_proxy.host}:{self.store_proxy.port}'
            },
            'bounds': {
                'graceS': STOP_GRACE_S,
                'quotaWindowS': RATE_WINDOW_S,
                'quotaOvershoot': RATE_OVERSHOOT_RATIO,
                'quotaSlack': RATE_SLACK_CALLS,
            },
            'bootstrap': self._start_count == 0,
            'seeds': self._seed_addresses,
        }
        path = self._directory / f'{self.name}.json'
        path.write_text(json.dumps(wire))
        return path

    async def start(self) -> None:
        """Start the process with its output in a new log file."""
        path = self._write_settings()
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(path),
            VARIANT_VARIABLE: self._variant,
            SKEW_VARIABLE: str(self._clock_skew_s),
            CUT_FILE_VARIABLE: str(self._cut_path),
        }
        log_path = self._directory / f'{self.name}.{self._start_count}.log'
        self._start_count += 1
        with log_path.open('wb') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak.launch',
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def _cut_path(self) -> Path:
        return self._directory / f'{self.name}.cut'

    def cut_from_servers(self, is_refused: bool) -> None:
        """Let the connections to servers hang or be refused, until the end."""
        set_cut(self._cut_path, Cut.REFUSED if is_refused else Cut.HANGING)

    async def wait_until_ready(self) -> bool:
        """Return True once the health port reports ready, False if late."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        url = f'http://{self.host}:{HEALTH_PORT}/'
        while time.monotonic() < deadline_s:
            if await _fetch_text(url) is not None:
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait for the process to exit; return False on a timeout."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def read_configuration_version(self) -> int | None:
        """Return the applied version, None without a metrics response."""
        url = f'http://{self.host}:{METRICS_PORT}/metrics'
        text = await _fetch_text(url)
        for line in (text or '').splitlines():
            if line.startswith(VERSION_METRIC_PREFIX):
                return int(float(line.removeprefix(VERSION_METRIC_PREFIX)))
        return None


async def _fetch_text(url: str) -> str | None:
    client = AsyncHTTPClient()
    try:
        response = await client.fetch(url, request_timeout=HTTP_TIMEOUT_S)
    except (HTTPClientError, OSError):
        return None
    return response.body.decode()
