"""Starts, stops and signals the processes of the instances."""

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
from soak.launch import SKEW_VARIABLE
from soak.launch import VARIANT_VARIABLE
from soak.proxy import Proxy
from soak.world import GRACE_S
from soak.world import RATE_OVERSHOOT
from soak.world import RATE_SLACK
from soak.world import RATE_WINDOW_S

CALLER_PORT = 18080
HEALTH_PORT = 18081
PEER_PORT = 18082
MEMORY_MB = 200
START_LIMIT_S = 15.0
METRICS_TIMEOUT_S = 0.5
VERSION_LINE = 'jackdawfield_configuration_version '


class Instance:
    """Holds one instance and its process, if it has one."""

    def __init__(
        self,
        name: str,
        host: str,
        store: Proxy,
        seeds: list[str],
        directory: Path,
        variant: str,
        skew_s: float,
    ) -> None:
        self.name = name
        self.host = host
        self.store = store
        self._seeds = seeds
        self._directory = directory
        self._variant = variant
        self._skew_s = skew_s
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0
        self.lock = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
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
            'platform': {'address': f'{self.store.host}:{self.store.port}'},
            'bounds': {
                'graceS': GRACE_S,
                'quotaWindowS': RATE_WINDOW_S,
                'quotaOvershoot': RATE_OVERSHOOT,
                'quotaSlack': RATE_SLACK,
            },
            'bootstrap': self._starts == 0,
            'seeds': self._seeds,
        }
        path = self._directory / f'{self.name}.json'
        path.write_text(json.dumps(wire))
        return path

    async def start(self) -> None:
        """Start the process; its log goes to a file."""
        path = self._write_settings()
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(path),
            VARIANT_VARIABLE: self._variant,
            SKEW_VARIABLE: str(self._skew_s),
        }
        log_path = self._directory / f'{self.name}.{self._starts}.log'
        self._starts += 1
        with log_path.open('wb') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak.launch',
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> bool:
        """Wait until the instance says that it is ready."""
        limit_s = time.monotonic() + START_LIMIT_S
        url = f'http://{self.host}:{HEALTH_PORT}/'
        while time.monotonic() < limit_s:
            if await _get(url) is not None:
                return True
            await asyncio.sleep(0.1)
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the own process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait_end(self, limit_s: float) -> bool:
        """Wait for the process to end; False if it did not in time."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(limit_s):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def version(self) -> int | None:
        """Return the version of its configuration, None if unreached."""
        url = f'http://{self.host}:{METRICS_PORT}/metrics'
        text = await _get(url)
        for line in (text or '').splitlines():
            if line.startswith(VERSION_LINE):
                return int(float(line.removeprefix(VERSION_LINE)))
        return None


async def _get(url: str) -> str | None:
    client = AsyncHTTPClient()
    try:
        answer = await client.fetch(url, request_timeout=METRICS_TIMEOUT_S)
    except (HTTPClientError, OSError):
        return None
    return answer.body.decode()
