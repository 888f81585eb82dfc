"""Carries out the faults of a schedule."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import random
import signal
import time

from jackdawfield.gateway.rows import RowKey
from jackdawfield.standins.platform_store import PlatformStoreStandIn
from jackdawfield.standins.row_store import Trouble as StoreTrouble
from soak.backend import Backend
from soak.backend import Misbehaviour
from soak.instances import Instance
from soak.proxy import Proxy
from soak.proxy import Trouble as LinkTrouble
from soak.record import Record
from soak.record import Trouble
from soak.schedule import Fault
from soak.schedule import FaultKind
from soak.world import CONFIGURATION
from soak.world import configuration
from soak.world import GRACE_S
from soak.world import probe_key
from soak.world import server_entry

# Kills of many leave at least this many instances running.
LEFT_RUNNING = 1
# One fault in this many of the store's links touches all instances.
ALL_LINKS_OF = 4
# Lets connections that were lost meanwhile be noticed.
TAIL_S = 1.0
STORE_TROUBLES = 12
LEAVING_S = 0.5
LINK_TROUBLES_BY_KIND = {
    FaultKind.STORE_CUT: LinkTrouble.SILENT,
    FaultKind.STORE_ONE_WAY: LinkTrouble.ANSWERS_HELD,
    FaultKind.STORE_SLOW: LinkTrouble.SLOW,
    FaultKind.SERVER_SILENT: LinkTrouble.SILENT,
    FaultKind.SERVER_SLOW: LinkTrouble.SLOW,
}
MISBEHAVIOURS_BY_KIND = {
    FaultKind.SERVER_REFUSING: Misbehaviour.REFUSING,
    FaultKind.SERVER_CUTTING: Misbehaviour.CUTTING,
    FaultKind.SERVER_EXTRA: Misbehaviour.EXTRA,
}


class Faults:
    """Brings faults about and records how long they lasted."""

    def __init__(
        self,
        seed: int,
        record: Record,
        store: PlatformStoreStandIn,
        instances: list[Instance],
        backends: list[tuple[Backend, Proxy]],
    ) -> None:
        self._chance = random.Random(seed)
        self._record = record
        self._store = store
        self._instances = instances
        self._backends = backends
        self._links_in_use: set[Proxy] = set()
        self._version = 0
        self.key_version = 0
        self._actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_MANY: self._kill_many,
            FaultKind.PAUSE: self._pause,
            FaultKind.PLANNED_STOP: self._stop,
            FaultKind.STORE_CUT: self._trouble_store_link,
            FaultKind.STORE_ONE_WAY: self._trouble_store_link,
            FaultKind.STORE_SLOW: self._trouble_store_link,
            FaultKind.STORE_RESET: self._reset_store_link,
            FaultKind.STORE_AWAY: self._refuse_at_store,
            FaultKind.STORE_TROUBLE: self._trouble_store,
            FaultKind.SERVER_RESET: self._reset_server,
            FaultKind.SERVER_SILENT: self._trouble_server_link,
            FaultKind.SERVER_SLOW: self._trouble_server_link,
            FaultKind.SERVER_REFUSING: self._misbehave,
            FaultKind.SERVER_CUTTING: self._misbehave,
            FaultKind.SERVER_EXTRA: self._misbehave,
            FaultKind.SERVER_LEAVING: self._leave_server,
            FaultKind.KEY_WITHDRAWN: self._withdraw_key,
            FaultKind.CONFIGURATION: self._configure,
        }

    async def bring(self, fault: Fault) -> None:
        """Bring one fault about, until it is over."""
        await self._actions[fault.kind](fault)

    def write_servers(self) -> None:
        """List every server."""
        for backend, proxy in self._backends:
            self._list_server(backend, proxy, False)

    def write_configuration(self, with_new_key: bool) -> None:
        """Write the next version, with another key for the probes."""
        before = probe_key(self.key_version)
        self._version += 1
        if with_new_key:
            self.key_version = self._version
        now_s = time.monotonic()
        wire = configuration(self._version, self.key_version)
        self._store.rows.put(CONFIGURATION, json.dumps(wire).encode())
        if with_new_key:
            self._record.withdrawn_at_s_by_key[before] = now_s

    def _note(
        self, fault: Fault, instance: Instance | None, from_s: float
    ) -> None:
        self._record.troubles.append(
            Trouble(
                fault.kind.value,
                None if instance is None else instance.name,
                from_s,
                time.monotonic() + TAIL_S,
            )
        )

    def _instance(self, fault: Fault) -> Instance:
        return self._instances[fault.target % len(self._instances)]

    def _backend(self, fault: Fault) -> tuple[Backend, Proxy]:
        return self._backends[fault.target % len(self._backends)]

    # Processes

    async def _kill(self, fault: Fault) -> None:
        instance = self._instance(fault)
        if instance.lock.locked():
            return
        async with instance.lock:
            from_s = time.monotonic()
            await instance.kill()
            await asyncio.sleep(fault.lasts_s)
            await instance.start()
            await instance.wait_ready()
            self._note(fault, instance, from_s)

    async def _kill_many(self, fault: Fault) -> None:
        killed = self._instances[LEFT_RUNNING:]
        await asyncio.gather(
            *(
                self._kill(Fault(fault.kind, 0, fault.lasts_s, number))
                for number in range(LEFT_RUNNING, len(killed) + LEFT_RUNNING)
            )
        )

    async def _pause(self, fault: Fault) -> None:
        instance = self._instance(fault)
        if instance.lock.locked():
            return
        async with instance.lock:
            from_s = time.monotonic()
            instance.send(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts_s)
            instance.send(signal.SIGCONT)
            self._note(fault, instance, from_s)

    async def _stop(self, fault: Fault) -> None:
        instance = self._instance(fault)
        if instance.lock.locked():
            return
        async with instance.lock:
            from_s = time.monotonic()
            self._record.planned_stops.append((instance.name, from_s))
            instance.send(signal.SIGTERM)
            if not await instance.wait_end(GRACE_S + TAIL_S):
                await instance.kill()
            await instance.start()
            await instance.wait_ready()
            self._note(fault, instance, from_s)

    # The store

    async def _trouble_store_link(self, fault: Fault) -> None:
        if fault.target % ALL_LINKS_OF == 0:
            troubled = list(self._instances)
        else:
            troubled = [self._instance(fault)]
        await asyncio.gather(
            *(self._trouble_link(fault, i.store, i) for i in troubled)
        )

    async def _trouble_link(
        self, fault: Fault, link: Proxy, instance: Instance | None
    ) -> None:
        if link in self._links_in_use:
            return
        self._links_in_use.add(link)
        from_s = time.monotonic()
        link.set(LINK_TROUBLES_BY_KIND[fault.kind])
        await asyncio.sleep(fault.lasts_s)
        link.set(LinkTrouble.NONE)
        self._links_in_use.discard(link)
        self._note(fault, instance, from_s)

    async def _reset_store_link(self, fault: Fault) -> None:
        instance = self._instance(fault)
        from_s = time.monotonic()
        instance.store.reset()
        self._note(fault, instance, from_s)

    async def _refuse_at_store(self, fault: Fault) -> None:
        from_s = time.monotonic()
        self._store.refusing = True
        await asyncio.sleep(fault.lasts_s)
        self._store.refusing = False
        self._note(fault, None, from_s)

    async def _trouble_store(self, fault: Fault) -> None:
        from_s = time.monotonic()
        kinds = list(StoreTrouble)
        troubles = self._chance.choices(kinds, k=STORE_TROUBLES)
        self._store.rows.troubles.extend(troubles)
        while self._store.rows.troubles:
            await asyncio.sleep(0.1)
        self._note(fault, None, from_s)

    # Backend servers

    async def _reset_server(self, fault: Fault) -> None:
        from_s = time.monotonic()
        self._backend(fault)[1].reset()
        self._note(fault, None, from_s)

    async def _trouble_server_link(self, fault: Fault) -> None:
        await self._trouble_link(fault, self._backend(fault)[1], None)

    async def _misbehave(self, fault: Fault) -> None:
        backend = self._backend(fault)[0]
        misbehaviour = MISBEHAVIOURS_BY_KIND[fault.kind]
        from_s = time.monotonic()
        backend.misbehaviours.add(misbehaviour)
        await asyncio.sleep(fault.lasts_s)
        backend.misbehaviours.discard(misbehaviour)
        self._note(fault, None, from_s)

    def _list_server(
        self, backend: Backend, proxy: Proxy, leaving: bool
    ) -> None:
        entry = server_entry(f'{proxy.host}:{proxy.port}', leaving)
        key = RowKey('servers', '', backend.server_id)
        self._store.rows.put(key, entry)

    async def _leave_server(self, fault: Fault) -> None:
        backend, proxy = self._backend(fault)
        from_s = time.monotonic()
        self._list_server(backend, proxy, True)
        await asyncio.sleep(LEAVING_S)
        self._store.rows.remove(RowKey('servers', '', backend.server_id))
        await asyncio.sleep(fault.lasts_s)
        self._list_server(backend, proxy, False)
        self._note(fault, None, from_s)

    # Operators

    async def _withdraw_key(self, _: Fault) -> None:
        self.write_configuration(with_new_key=True)

    async def _configure(self, _: Fault) -> None:
        self.write_configuration(with_new_key=False)
