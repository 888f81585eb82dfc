"""Run one instance as a process of its own, and read what it uses."""

import asyncio
import json
import os
from pathlib import Path
import sys
import tempfile
from typing import Any

from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.platform.__main__ import SETTINGS_VARIABLE
from jackdawfield.platform.settings import METRICS_PORT
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import MemoryRowStore
from tests.gateway.harness import CONFIGURATION
from tests.gateway.harness import configuration
from tests.gateway.harness import free_port
from tests.gateway.harness import HOST
from tests.gateway.scripted_server import Script
from tests.gateway.scripted_server import ScriptedServer

BYTES_PER_KB = 1024
START_TIMEOUT_S = 20.0
# Time after which an instance that does not answer is taken to hang.
ANSWER_TIMEOUT_S = 30.0
ROUTED_HEAD = 'GET /open/ordinary HTTP/1.1\r\nHost: h.example\r\n'


def own_host() -> str:
    """Return a loopback address of this process: one port is fixed."""
    high, low = divmod(os.getpid(), 254)
    return f'127.64.{high % 254}.{low + 1}'


class InstanceProcess:
    """Runs an instance, its store and one backend server."""

    def __init__(self, script: Script, **limits: int) -> None:
        self.host = own_host()
        self.caller_port = free_port()
        self.health_port = free_port()
        self.metrics_port = METRICS_PORT
        self._limits = limits
        self._rows = MemoryRowStore()
        self._store = PlatformStoreStandIn(self._rows)
        self._server = ScriptedServer(script)
        self._folder = tempfile.TemporaryDirectory()
        self._process: asyncio.subprocess.Process | None = None
        self.most_sockets = 0

    async def start(self) -> None:
        """Start the process and wait until it answers ready."""
        self._store.start(HOST)
        await self._server.start()
        entry = {
            'service': 'model',
            'address': f'{HOST}:{self._server.port}',
            'zone': 'a',
            'slots': 64,
            'state': 'ready',
        }
        wire = json.dumps(configuration(1)).encode()
        self._rows.put(CONFIGURATION, wire)
        self._rows.put(
            RowKey('servers', '', 'i-1'), json.dumps(entry).encode()
        )
        folder = Path(self._folder.name)
        path = folder / 'settings.json'
        path.write_text(json.dumps(self._settings()))
        with (folder / 'log').open('wb') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'jackdawfield.platform',
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.status_of(self.health_port) != 200:
                await asyncio.sleep(0.1)

    def _settings(self) -> dict[str, Any]:
        return {
            'node': 'g0',
            'ip': self.host,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listen': {
                'front': f'{self.host}:{self.caller_port}',
                'ready': f'{self.host}:{self.health_port}',
                'control': f'{self.host}:{free_port()}',
            },
            'internalPorts': [0, 0],
            'limits': self._limits,
            'platform': {'address': f'{HOST}:{self._store.port}'},
        }

    async def stop(self) -> None:
        """Kill the process and stop what it was connected to."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._store.stop()
        await self._server.stop()
        self._folder.cleanup()

    @property
    def lives(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def _proc_folder(self) -> Path:
        assert self._process is not None
        return Path('/proc') / str(self._process.pid)

    def peak_bytes(self) -> int:
        """Return the most memory that the process has held."""
        status = (self._proc_folder / 'status').read_text()
        line = next(x for x in status.splitlines() if x.startswith('VmHWM'))
        return int(line.split()[1]) * BYTES_PER_KB

    def count_sockets(self) -> None:
        """Count the sockets that the process has open now."""
        count = 0
        for path in (self._proc_folder / 'fd').iterdir():
            try:
                count += os.readlink(path).startswith('socket:')
            except OSError:
                continue
        self.most_sockets = max(self.most_sockets, count)

    async def status_of(self, port: int) -> int:
        """Return the status of an ordinary request, 0 without an answer."""
        head = f'{ROUTED_HEAD}X-Jackdawfield-Request-Id: r-{os.urandom(4)!r}'
        try:
            reader, writer = await asyncio.open_connection(self.host, port)
        except OSError:
            return 0
        try:
            writer.write(f'{head}\r\nConnection: close\r\n\r\n'.encode())
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await reader.readline()
            return int(line.split()[1]) if line else 0
        except OSError:
            return 0
        finally:
            writer.close()

    async def answers_within(self, port: int, limit_s: float) -> bool:
        """Return whether an ordinary request, sent again, is answered 200."""
        try:
            async with asyncio.timeout(limit_s):
                while await self.status_of(port) != 200:
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return False
        return True
