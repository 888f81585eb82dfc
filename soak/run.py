"""Plays one seed: starts everything, brings the faults, checks."""

import asyncio
from dataclasses import dataclass
import os
from pathlib import Path
import random
import signal
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import MemoryRowStore
from soak.backend import Backend
from soak.callers import Callers
from soak.checks import check
from soak.faults import Faults
from soak.instances import Instance
from soak.instances import PEER_PORT
from soak.proxy import Proxy
from soak.record import Record
from soak.record import VersionSeen
from soak.record import Violation
from soak.schedule import CALM_S
from soak.schedule import draw_schedule
from soak.schedule import Fault
from soak.world import CALLERS
from soak.world import INSTANCES
from soak.world import SERVERS

LOOPBACK = '127.0.0.1'
# Wall clocks are wrong by up to this much.
MOST_SKEW_S = 2.0
VERSIONS_PAUSE_S = 0.25
# Callers finish what they have begun.
END_LIMIT_S = 8.0


@dataclass(frozen=True, slots=True)
class Report:
    """Holds what a run showed."""

    seed: int
    variant: str
    schedule: tuple[Fault, ...]
    violations: tuple[Violation, ...]
    calls: int
    runs: int
    answered: int


class Soak:
    """Owns the parts of one run."""

    def __init__(self, seed: int, variant: str, directory: Path) -> None:
        self._seed = seed
        self._variant = variant
        self._directory = directory
        self._record = Record()
        self._store = PlatformStoreStandIn(MemoryRowStore())
        self._backends: list[tuple[Backend, Proxy]] = []
        self._instances: list[Instance] = []
        self._calling = BackgroundTasks()
        self._watching = BackgroundTasks()

    async def play(self, length_s: float) -> Report:
        """Play the seed and return what it showed.

        A signal cancels the run, which ends its own processes first.
        """
        loop = asyncio.get_running_loop()
        playing = asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, playing.cancel)
        schedule = draw_schedule(self._seed, length_s)
        try:
            faults = await self._start()
            callers = Callers(self._seed, self._instances, self._record)
            self._run(callers, faults)
            await self._bring(faults, schedule)
            self._record.calm_from_s = time.monotonic()
            await asyncio.sleep(CALM_S)
            callers.ending = True
            await self._calling.wait(END_LIMIT_S)
            callers.close()
        finally:
            await self._stop()
        return self._report(schedule)

    async def _start(self) -> Faults:
        self._store.start(LOOPBACK)
        for number in range(SERVERS):
            backend = Backend(f's{number}', self._record.runs)
            backend.start(LOOPBACK)
            proxy = Proxy(LOOPBACK, (LOOPBACK, backend.port))
            await proxy.start()
            self._backends.append((backend, proxy))
        chance = random.Random(self._seed)
        for number in range(INSTANCES):
            proxy = Proxy(LOOPBACK, (LOOPBACK, self._store.port))
            await proxy.start()
            seeds = [
                f'{own_host(n)}:{PEER_PORT}'
                for n in range(INSTANCES)
                if n != number
            ]
            instance = Instance(
                f'i{number}',
                own_host(number),
                proxy,
                seeds,
                self._directory,
                self._variant,
                chance.uniform(-MOST_SKEW_S, MOST_SKEW_S),
            )
            self._instances.append(instance)
        faults = Faults(
            self._seed,
            self._record,
            self._store,
            self._instances,
            self._backends,
        )
        faults.write_configuration(with_new_key=True)
        faults.write_servers()
        await asyncio.gather(*(i.start() for i in self._instances))
        ready = await asyncio.gather(
            *(i.wait_ready() for i in self._instances)
        )
        if not all(ready):
            raise RuntimeError(f'not ready in time: {self._directory}')
        return faults

    def _run(self, callers: Callers, faults: Faults) -> None:
        for _ in range(CALLERS):
            self._calling.spawn(callers.run_programs())
        self._calling.spawn(callers.run_probes(lambda: faults.key_version))
        self._watching.spawn(self._watch_versions())

    async def _watch_versions(self) -> None:
        while True:
            await asyncio.sleep(VERSIONS_PAUSE_S)
            await asyncio.gather(*map(self._see_version, self._instances))

    async def _see_version(self, instance: Instance) -> None:
        version = await instance.version() if instance.running else None
        if version is not None:
            seen = VersionSeen(instance.name, time.monotonic(), version)
            self._record.versions.append(seen)

    async def _bring(self, faults: Faults, schedule: list[Fault]) -> None:
        started_s = time.monotonic()
        # A fault that outlived the run would start its instance again.
        async with asyncio.TaskGroup() as group:
            for fault in schedule:
                due_s = started_s + fault.at_s - time.monotonic()
                await asyncio.sleep(max(0.0, due_s))
                group.create_task(faults.bring(fault))

    async def _stop(self) -> None:
        self._calling.cancel()
        self._watching.cancel()
        await asyncio.gather(*(i.kill() for i in self._instances))
        for instance in self._instances:
            instance.store.stop()
        for backend, proxy in self._backends:
            proxy.stop()
            backend.stop()
        self._store.stop()

    def _report(self, schedule: list[Fault]) -> Report:
        outcomes = self._record.outcomes
        return Report(
            self._seed,
            self._variant,
            tuple(schedule),
            tuple(check(self._record)),
            len(outcomes),
            len(self._record.runs),
            sum(o.status == 200 and o.whole for o in outcomes),
        )


def own_host(number: int) -> str:
    """Return a loopback address of an instance, apart from other runs'."""
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{pid % 250}.{10 + number}'
