"""Start and signal the project's instances as the deploy file starts them."""

import asyncio
import json
import os
from pathlib import Path
import random
import signal
import tomllib

from review.harness.http import request

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT = 8368, 8369, 8367
READY_LIMIT_S = 25.0
# A process that ended is restarted by the platform after this delay.
RESTART_DELAY_S = 0.3


class NotRun(Exception):
    """Reports that the case could not run."""


class Instance:
    """Holds one machine of the deployment and its process."""

    def __init__(
        self, name: str, host: str, settings: dict, directory: Path
    ) -> None:
        self.name = name
        self.host = host
        self.settings = settings
        self._directory = directory
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self._directory / f'{self.name}.json'
        settings = {**self.settings, 'bootstrap': self.starts == 0}
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['JACKDAWFIELD_CONFIG'] = str(path)
        log_path = self._directory / f'{self.name}.{self.starts}.log'
        self.starts += 1
        with log_path.open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does whether it takes requests."""
        found = await request(
            self.host, READY_PORT, 'GET', '/-/ready', [], timeout_s=1.0
        )
        return found is not None and found.status == 200

    async def wait_ready(self) -> None:
        """Wait until it is ready."""
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this case has started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ended(self) -> int:
        """Wait for the end of the process; return its status."""
        assert self.process is not None
        return await self.process.wait()

    async def kill_and_restart(self) -> None:
        """Kill the process; the platform starts it again."""
        self.signal(signal.SIGKILL)
        await self.wait_ended()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    async def stop_and_restart(self, grace_s: float) -> None:
        """Stop the process as planned work does, and start it again."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.wait_ended()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.wait_ended()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()


def loopback_net() -> str:
    """Return the first three numbers of loopback addresses, chosen anew."""
    return f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'


def build_settings(
    name: str,
    host: str,
    zone: str,
    zones: dict[str, str],
    seeds: list[str],
    store: str,
    bounds: dict[str, float],
) -> dict:
    """Return settings as the deploy page shows them."""
    return {
        'node': name,
        'role': 'entry',
        'machineClass': 'front',
        'serves': ['front', 'control'],
        'ip': host,
        'zone': zone,
        'region': zones[zone],
        'zones': zones,
        'listen': {
            'front': f'{host}:{FRONT_PORT}',
            'ready': f'{host}:{READY_PORT}',
            'control': f'{host}:{CONTROL_PORT}',
        },
        'internalPorts': [7780, 7795],
        'seeds': [f'{seed}:{CONTROL_PORT}' for seed in seeds],
        'countsTowardLoss': False,
        'limits': {
            'cpuShare': 0.717,
            'cores': 3,
            'memoryMb': 320,
            'maxFds': 8200,
            'linkMbps': 1000.0,
            'diskMb': 0,
        },
        'dataDir': None,
        'discovery': 'platform',
        'entry': 'virtual_ip',
        'heartbeatMs': 1200,
        'contracts': [
            'base',
            'drain',
            'config',
            'cost',
            'recover',
            'agent',
            'stream',
            'engine',
            'tenants',
            'quota',
            'platform',
        ],
        'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
        'bounds': bounds,
        'platform': {
            'address': store,
            'form': 'table',
            'writesPerS': 800,
            'readsPerS': 2000,
            'txMs': 5.0,
            'partWritesS': 200,
            'rowBytes': 65536,
            'across': False,
            'historyS': 20,
            'blobBytes': 8388608,
            'blobMs': 25.0,
            'blobMbS': 80.0,
        },
    }


async def end_all(instances: list[Instance]) -> None:
    """End every process that this case has started."""
    for instance in instances:
        instance.signal(signal.SIGKILL)
    for instance in instances:
        if instance.process is not None:
            await instance.process.wait()
