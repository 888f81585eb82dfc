"""Inject the faults of a schedule."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from functools import partial
import json
import random
import signal
import time

from jackdawfield.background import BackgroundTasks
from jackdawfield.gateway.storage.rows import RowKey
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import StoreFault
from soak.backend import Backend
from soak.backend import Misbehaviour
from soak.instances import Instance
from soak.proxy import FaultProxy
from soak.proxy import LinkFault
from soak.record import FaultInterval
from soak.record import NoticeInterval
from soak.record import Record
from soak.record import ServerEnd
from soak.scenario import build_configuration
from soak.scenario import CONFIGURATION_KEY
from soak.scenario import encode_server_row
from soak.scenario import probe_key
from soak.scenario import SERVER_RESTART_S
from soak.scenario import STOP_GRACE_S
from soak.schedule import Fault
from soak.schedule import FaultKind

# KILL_MOST leaves this many instances alone.
SPARED_INSTANCES = 1
# One in this many store link faults affects all instances.
ALL_LINKS_DIVISOR = 4
# Instances detect connections lost during a fault within this time.
DETECTION_MARGIN_S = 1.0
# Number of consecutive store calls to which random faults are assigned.
STORE_CALL_FAULT_COUNT = 12
# Time between two stops of a series, shorter than a stop takes.
SERIES_GAP_S = 1.3
# A removed server is listed as draining for this time first.
DRAIN_S = 0.5
SILENCE_BEFORE_CHANGE_S = 0.2
LINK_FAULTS_BY_KIND = {
    FaultKind.STORE_STALLED: LinkFault.STALLED,
    FaultKind.STORE_RESPONSES_STALLED: LinkFault.RESPONSES_STALLED,
    FaultKind.STORE_SLOW: LinkFault.SLOW,
    FaultKind.SERVER_STALLED: LinkFault.STALLED,
    FaultKind.SERVER_SLOW: LinkFault.SLOW,
}
MISBEHAVIOURS_BY_KIND = {
    FaultKind.SERVER_REFUSING: Misbehaviour.REFUSING,
    FaultKind.SERVER_TRUNCATING: Misbehaviour.TRUNCATING,
    FaultKind.SERVER_EXTRA_RESPONSES: Misbehaviour.EXTRA_RESPONSES,
    FaultKind.SERVER_UNFRAMED: Misbehaviour.UNFRAMED,
    FaultKind.SERVER_ENDLESS: Misbehaviour.ENDLESS,
}


class FaultInjector:
    """Injects faults and records when each of them was active."""

    def __init__(
        self,
        seed: int,
        record: Record,
        store: PlatformStoreStandIn,
        instances: list[Instance],
        backends: list[tuple[Backend, FaultProxy]],
    ) -> None:
        self._rng = random.Random(seed)
        self._record = record
        self._store = store
        self._instances = instances
        self._backends = backends
        self._faulty_proxies: set[FaultProxy] = set()
        self._configuration_version = 0
        self._restarts = BackgroundTasks()
        # Whether the request that ends servers is being sent.
        self.has_ending_request = False
        self.key_version = 0
        self._actions_by_kind: dict[
            FaultKind, Callable[[Fault], Awaitable[None]]
        ] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_MOST: self._kill_most,
            FaultKind.PAUSE: self._pause,
            FaultKind.PLANNED_STOP: self._stop_gracefully,
            FaultKind.STORE_STALLED: self._degrade_store_link,
            FaultKind.STORE_RESPONSES_STALLED: self._degrade_store_link,
            FaultKind.STORE_SLOW: self._degrade_store_link,
            FaultKind.STORE_RESET: self._reset_store_link,
            FaultKind.STORE_SILENT: self._silence_store_links,
            FaultKind.STORE_UNAVAILABLE: self._refuse_store_requests,
            FaultKind.STORE_CALL_FAULTS: self._inject_store_call_faults,
            FaultKind.SERVER_RESET: self._reset_server_link,
            FaultKind.SERVER_STALLED: self._degrade_server_link,
            FaultKind.SERVER_SLOW: self._degrade_server_link,
            FaultKind.SERVER_REFUSING: self._make_server_misbehave,
            FaultKind.SERVER_TRUNCATING: self._make_server_misbehave,
            FaultKind.SERVER_EXTRA_RESPONSES: self._make_server_misbehave,
            FaultKind.SERVER_UNFRAMED: self._make_server_misbehave,
            FaultKind.SERVER_ENDLESS: self._make_server_misbehave,
            FaultKind.SERVER_LIMITED: self._name_limit,
            FaultKind.SERVER_ANNOUNCING: self._announce_leaving,
            FaultKind.SERVER_PATHS_CUT: self._cut_from_servers,
            FaultKind.SERVER_DRAINING: self._remove_server,
            FaultKind.SERVER_ENDING: self._let_request_end_servers,
            FaultKind.STOP_SERIES: self._stop_in_series,
            FaultKind.KEY_WITHDRAWN: self._withdraw_key,
            FaultKind.CONFIGURATION: self._write_configuration_only,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and return after its end."""
        await self._actions_by_kind[fault.kind](fault)

    def write_server_rows(self) -> None:
        """Write a row for every backend server."""
        for backend, proxy in self._backends:
            self._write_server_row(backend, proxy, False)

    def write_configuration(self, with_new_key: bool) -> None:
        """Write the next version, which may replace the probe key."""
        previous_key = probe_key(self.key_version)
        self._configuration_version += 1
        if with_new_key:
            self.key_version = self._configuration_version
        now_s = time.monotonic()
        wire = build_configuration(
            self._configuration_version, self.key_version
        )
        self._store.rows.put(CONFIGURATION_KEY, json.dumps(wire).encode())
        self._record.configured_at_s_by_version[
            self._configuration_version
        ] = now_s
        if with_new_key:
            self._record.withdrawn_at_s_by_key[previous_key] = now_s

    def _record_interval(
        self, fault: Fault, instance: Instance | None, start_s: float
    ) -> None:
        self._record.fault_intervals.append(
            FaultInterval(
                fault.kind.value,
                None if instance is None else instance.name,
                start_s,
                time.monotonic() + DETECTION_MARGIN_S,
            )
        )

    def _target_instance(self, fault: Fault) -> Instance:
        return self._instances[fault.target % len(self._instances)]

    def _target_backend(self, fault: Fault) -> tuple[Backend, FaultProxy]:
        return self._backends[fault.target % len(self._backends)]

    # Processes

    async def _kill(self, fault: Fault) -> None:
        instance = self._target_instance(fault)
        if instance.process_fault_lock.locked():
            return
        async with instance.process_fault_lock:
            start_s = time.monotonic()
            await instance.kill()
            await asyncio.sleep(fault.lasts_s)
            await instance.start()
            await instance.wait_until_ready()
            self._record_interval(fault, instance, start_s)

    async def _kill_most(self, fault: Fault) -> None:
        killed = self._instances[SPARED_INSTANCES:]
        await asyncio.gather(
            *(
                self._kill(Fault(fault.kind, 0, fault.lasts_s, index))
                for index in range(
                    SPARED_INSTANCES, len(killed) + SPARED_INSTANCES
                )
            )
        )

    async def _pause(self, fault: Fault) -> None:
        instance = self._target_instance(fault)
        if instance.process_fault_lock.locked():
            return
        async with instance.process_fault_lock:
            start_s = time.monotonic()
            instance.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts_s)
            instance.send_signal(signal.SIGCONT)
            self._record_interval(fault, instance, start_s)

    async def _stop_gracefully(self, fault: Fault) -> None:
        instance = self._target_instance(fault)
        if instance.process_fault_lock.locked():
            return
        async with instance.process_fault_lock:
            start_s = time.monotonic()
            self._record.planned_stops.append((instance.name, start_s))
            instance.send_signal(signal.SIGTERM)
            if not await instance.wait_for_exit(
                STOP_GRACE_S + DETECTION_MARGIN_S
            ):
                await instance.kill()
            await instance.start()
            await instance.wait_until_ready()
            self._record_interval(fault, instance, start_s)

    async def _stop_in_series(self, fault: Fault) -> None:
        async with asyncio.TaskGroup() as group:
            for offset in range(len(self._instances)):
                target = fault.target + offset
                stop = replace(
                    fault, kind=FaultKind.PLANNED_STOP, target=target
                )
                group.create_task(self._stop_gracefully(stop))
                await asyncio.sleep(SERIES_GAP_S)

    # The store

    async def _degrade_store_link(self, fault: Fault) -> None:
        if fault.target % ALL_LINKS_DIVISOR == 0:
            affected = list(self._instances)
        else:
            affected = [self._target_instance(fault)]
        await asyncio.gather(
            *(self._degrade_link(fault, i.store_proxy, i) for i in affected)
        )

    async def _degrade_link(
        self, fault: Fault, proxy: FaultProxy, instance: Instance | None
    ) -> None:
        if proxy in self._faulty_proxies:
            return
        self._faulty_proxies.add(proxy)
        start_s = time.monotonic()
        proxy.set_fault(LINK_FAULTS_BY_KIND[fault.kind])
        await asyncio.sleep(fault.lasts_s)
        proxy.set_fault(LinkFault.NONE)
        self._faulty_proxies.discard(proxy)
        self._record_interval(fault, instance, start_s)

    async def _reset_store_link(self, fault: Fault) -> None:
        instance = self._target_instance(fault)
        start_s = time.monotonic()
        instance.store_proxy.reset_connections()
        self._record_interval(fault, instance, start_s)

    async def _silence_store_links(self, fault: Fault) -> None:
        """Silence all open connections to the store, then change something."""
        start_s = time.monotonic()
        for instance in self._instances:
            instance.store_proxy.silence_connections()
        self._record_interval(fault, None, start_s)
        await asyncio.sleep(SILENCE_BEFORE_CHANGE_S)
        self.write_configuration(with_new_key=False)

    async def _refuse_store_requests(self, fault: Fault) -> None:
        start_s = time.monotonic()
        self._store.is_refusing = True
        await asyncio.sleep(fault.lasts_s)
        self._store.is_refusing = False
        self._record_interval(fault, None, start_s)

    async def _inject_store_call_faults(self, fault: Fault) -> None:
        start_s = time.monotonic()
        kinds = list(StoreFault)
        call_faults = self._rng.choices(kinds, k=STORE_CALL_FAULT_COUNT)
        self._store.rows.injected_faults.extend(call_faults)
        while self._store.rows.injected_faults:
            await asyncio.sleep(0.1)
        self._record_interval(fault, None, start_s)

    # Backend servers

    async def _reset_server_link(self, fault: Fault) -> None:
        start_s = time.monotonic()
        self._target_backend(fault)[1].reset_connections()
        self._record_interval(fault, None, start_s)

    async def _degrade_server_link(self, fault: Fault) -> None:
        await self._degrade_link(fault, self._target_backend(fault)[1], None)

    async def _make_server_misbehave(self, fault: Fault) -> None:
        backend = self._target_backend(fault)[0]
        misbehaviour = MISBEHAVIOURS_BY_KIND[fault.kind]
        start_s = time.monotonic()
        backend.misbehaviours.add(misbehaviour)
        await asyncio.sleep(fault.lasts_s)
        backend.misbehaviours.discard(misbehaviour)
        self._record_interval(fault, None, start_s)

    async def _name_limit(self, fault: Fault) -> None:
        backend = self._target_backend(fault)[0]
        start_s = time.monotonic()
        backend.misbehaviours.add(Misbehaviour.LIMITED)
        await asyncio.sleep(fault.lasts_s)
        backend.misbehaviours.discard(Misbehaviour.LIMITED)
        self._record.limit_intervals.append(
            NoticeInterval(backend.server_id, start_s, time.monotonic())
        )

    async def _announce_leaving(self, fault: Fault) -> None:
        """Let a server say that it leaves, then start it anew.

        Its row lists it as ready all the while.
        """
        backend, proxy = self._target_backend(fault)
        start_s = time.monotonic()
        backend.misbehaviours.add(Misbehaviour.LEAVING)
        await asyncio.sleep(fault.lasts_s)
        backend.misbehaviours.discard(Misbehaviour.LEAVING)
        self._record.leaving_intervals.append(
            NoticeInterval(backend.server_id, start_s, time.monotonic())
        )
        proxy.mark_restarted()
        self._write_server_row(backend, proxy, False)
        self._record_interval(fault, None, start_s)

    def _write_server_row(
        self, backend: Backend, proxy: FaultProxy, is_draining: bool
    ) -> None:
        entry = encode_server_row(
            f'{proxy.host}:{proxy.port}', is_draining, proxy.started_ms
        )
        key = RowKey('servers', '', backend.server_id)
        self._store.rows.put(key, entry)

    async def _remove_server(self, fault: Fault) -> None:
        backend, proxy = self._target_backend(fault)
        start_s = time.monotonic()
        self._write_server_row(backend, proxy, True)
        await asyncio.sleep(DRAIN_S)
        self._store.rows.remove(RowKey('servers', '', backend.server_id))
        await asyncio.sleep(fault.lasts_s)
        self._write_server_row(backend, proxy, False)
        self._record_interval(fault, None, start_s)

    async def _let_request_end_servers(self, fault: Fault) -> None:
        for backend, proxy in self._backends:
            backend.end = partial(self._end_server, fault, backend, proxy)
        self.has_ending_request = True
        await asyncio.sleep(fault.lasts_s)
        self.has_ending_request = False
        for backend, _ in self._backends:
            backend.end = None
        await self._restarts.wait(SERVER_RESTART_S + DETECTION_MARGIN_S)

    def _end_server(
        self, fault: Fault, backend: Backend, proxy: FaultProxy
    ) -> None:
        if not proxy.is_listening:
            return
        proxy.stop()
        end = ServerEnd(backend.server_id, time.monotonic())
        self._record.server_ends.append(end)
        self._restarts.spawn(self._restart_server(fault, backend, proxy))

    async def _restart_server(
        self, fault: Fault, backend: Backend, proxy: FaultProxy
    ) -> None:
        start_s = time.monotonic()
        await asyncio.sleep(SERVER_RESTART_S)
        await proxy.start()
        self._write_server_row(backend, proxy, False)
        self._record_interval(fault, None, start_s)

    async def _cut_from_servers(self, fault: Fault) -> None:
        """Cut an instance; return at once, as the cut outlasts the faults."""
        instance = self._target_instance(fault)
        instance.cut_from_servers(is_refused=fault.target % 2 == 0)
        now_s = time.monotonic()
        self._record.fault_intervals.append(
            FaultInterval(
                fault.kind.value, instance.name, now_s, now_s + fault.lasts_s
            )
        )

    # Operators

    async def _withdraw_key(self, _: Fault) -> None:
        self.write_configuration(with_new_key=True)

    async def _write_configuration_only(self, _: Fault) -> None:
        self.write_configuration(with_new_key=False)
