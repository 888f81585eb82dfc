"""Run one seed: start the fleet, inject the faults, check the record."""

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
from soak.callers import LoadGenerator
from soak.checks import find_violations
from soak.faults import FaultInjector
from soak.instances import Instance
from soak.instances import PEER_PORT
from soak.proxy import FaultProxy
from soak.record import Record
from soak.record import VersionSample
from soak.record import Violation
from soak.scenario import CALLER_COUNT
from soak.scenario import INSTANCE_COUNT
from soak.scenario import SERVER_COUNT
from soak.schedule import draw_schedule
from soak.schedule import Fault
from soak.schedule import FAULT_FREE_S

LOOPBACK = '127.0.0.1'
# Bound of the wall clock error of each instance, in either direction.
MAX_CLOCK_SKEW_S = 2.0
VERSION_SAMPLE_INTERVAL_S = 0.25
# Time limit for calls in flight at the end of a run.
CALLERS_STOP_TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True)
class Report:
    """Holds the result of a run.

    Calls counts attempts, runs counts executions, and answered counts
    complete responses with status 200.
    """

    seed: int
    variant: str
    schedule: tuple[Fault, ...]
    violations: tuple[Violation, ...]
    calls: int
    runs: int
    answered: int


class SoakRun:
    """Holds the fleet, the load and the record of one run."""

    def __init__(
        self,
        seed: int,
        variant: str,
        directory: Path,
        has_ending_request: bool = False,
    ) -> None:
        self._seed = seed
        self._has_ending_request = has_ending_request
        self._variant = variant
        self._directory = directory
        self._record = Record()
        self._store = PlatformStoreStandIn(MemoryRowStore())
        self._backends: list[tuple[Backend, FaultProxy]] = []
        self._instances: list[Instance] = []
        self._load_tasks = BackgroundTasks()
        self._sampling_tasks = BackgroundTasks()

    async def run(self, length_s: float) -> Report:
        """Run the seed and return the report.

        SIGTERM and SIGINT cancel the run, which then kills its processes.
        """
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, task.cancel)
        schedule = draw_schedule(
            self._seed, length_s, self._has_ending_request
        )
        try:
            injector = await self._start_fleet()
            load = LoadGenerator(self._seed, self._instances, self._record)
            self._start_load(load, injector)
            await self._inject_faults(injector, schedule)
            self._record.fault_free_from_s = time.monotonic()
            await asyncio.sleep(FAULT_FREE_S)
            load.is_stopping = True
            await self._load_tasks.wait(CALLERS_STOP_TIMEOUT_S)
            load.close()
        finally:
            await self._stop_fleet()
        return self._build_report(schedule)

    async def _start_fleet(self) -> FaultInjector:
        self._store.start(LOOPBACK)
        for index in range(SERVER_COUNT):
            backend = Backend(f's{index}', self._record.runs)
            backend.start(LOOPBACK)
            proxy = FaultProxy(LOOPBACK, (LOOPBACK, backend.port))
            await proxy.start()
            self._backends.append((backend, proxy))
        rng = random.Random(self._seed)
        for index in range(INSTANCE_COUNT):
            proxy = FaultProxy(LOOPBACK, (LOOPBACK, self._store.port))
            await proxy.start()
            seed_addresses = [
                f'{instance_host(n)}:{PEER_PORT}'
                for n in range(INSTANCE_COUNT)
                if n != index
            ]
            instance = Instance(
                f'i{index}',
                instance_host(index),
                proxy,
                seed_addresses,
                self._directory,
                self._variant,
                rng.uniform(-MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S),
            )
            self._instances.append(instance)
        injector = FaultInjector(
            self._seed,
            self._record,
            self._store,
            self._instances,
            self._backends,
        )
        injector.write_configuration(with_new_key=True)
        injector.write_server_rows()
        await asyncio.gather(*(i.start() for i in self._instances))
        ready = await asyncio.gather(
            *(i.wait_until_ready() for i in self._instances)
        )
        if not all(ready):
            raise RuntimeError(
                f'an instance was not ready in time, logs in {self._directory}'
            )
        return injector

    def _start_load(
        self, load: LoadGenerator, injector: FaultInjector
    ) -> None:
        for number in range(CALLER_COUNT):
            is_limited = number % 2 == 0
            self._load_tasks.spawn(load.run_programs(is_limited))
        self._load_tasks.spawn(load.probe_keys(lambda: injector.key_version))
        for instance in self._instances:
            self._load_tasks.spawn(load.keep_connections(instance))
        self._load_tasks.spawn(
            load.send_ending_requests(lambda: injector.has_ending_request)
        )
        self._sampling_tasks.spawn(self._sample_versions())

    async def _sample_versions(self) -> None:
        while True:
            await asyncio.sleep(VERSION_SAMPLE_INTERVAL_S)
            await asyncio.gather(*map(self._sample_version, self._instances))

    async def _sample_version(self, instance: Instance) -> None:
        version = (
            await instance.read_configuration_version()
            if instance.is_running
            else None
        )
        if version is not None:
            sample = VersionSample(instance.name, time.monotonic(), version)
            self._record.version_samples.append(sample)

    async def _inject_faults(
        self, injector: FaultInjector, schedule: list[Fault]
    ) -> None:
        started_s = time.monotonic()
        # All faults are awaited: one that is still active after the run
        # would restart its instance.
        async with asyncio.TaskGroup() as group:
            for fault in schedule:
                due_s = started_s + fault.at_s - time.monotonic()
                await asyncio.sleep(max(0.0, due_s))
                group.create_task(injector.inject(fault))

    async def _stop_fleet(self) -> None:
        self._load_tasks.cancel()
        self._sampling_tasks.cancel()
        await asyncio.gather(*(i.kill() for i in self._instances))
        for instance in self._instances:
            instance.store_proxy.stop()
        for backend, proxy in self._backends:
            proxy.stop()
            backend.stop()
        self._store.stop()

    def _build_report(self, schedule: list[Fault]) -> Report:
        outcomes = self._record.outcomes
        return Report(
            self._seed,
            self._variant,
            tuple(schedule),
            tuple(find_violations(self._record)),
            len(outcomes),
            len(self._record.runs),
            sum(o.status == 200 and o.whole for o in outcomes),
        )


def instance_host(index: int) -> str:
    """Return an instance's loopback address, distinct between runs."""
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{pid % 250}.{10 + index}'
