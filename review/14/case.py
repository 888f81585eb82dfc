"""Freeze one machine for a moment while workers beat and leave."""

import asyncio
from pathlib import Path
import signal
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))

from standins import configuration
from standins import call
from standins import Deployment
from standins import DRAIN_S
from standins import has_trouble
from standins import run_case
from standins import STABLE_S
from standins import Worker

SERVICE = 'desk'
ZONES = {'a': 'north', 'b': 'north', 'c': 'south'}
BEAT_S = 1.2
FREEZE_S = 0.6
# The workers that leave were started some 3 s before, so they are still cold.
COLD_MS = 5000
# How long a worker that has left its list goes on serving.
SERVES_ON_S = 14.0
ROUNDS = 3
# Requesters at the machine that is frozen.
CALLERS = 4


class Fleet:
    def __init__(self, record):
        self.record = record
        self.deployment = Deployment(record, ZONES)
        self.store = self.deployment.store
        self.workers = []
        self.beats = {}
        self.removed_at_s = {}
        self.sent = {}
        self.statuses = {}
        self.in_touch_from_s = {}
        self.calls = 0

    async def start(self):
        await self.store.start('127.0.0.1')
        self.store.put(
            'op',
            'config',
            configuration(
                [{'name': SERVICE, 'healthPath': '/health', 'maxConns': 96}],
                [('order', SERVICE, {'kind': 'unsafe'})],
            ),
        )
        for number in range(2):
            await self.add_worker(f'i-stays-{number}', 0)
        add = self.deployment.add_machine
        machines = [add(f'front-a-{n}', 'a') for n in range(3)]
        machines += [add('front-b-0', 'b'), add('front-c-0', 'c')]
        self.deployment.seeds = [machine.control for machine in machines[:3]]
        for machine in machines:
            await machine.start(bootstrap=True)
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        self.added = [add('front-a-3', 'a')]
        for machine in self.added:
            await machine.start()
        for machine in self.added:
            await machine.wait_until_ready()
        await asyncio.sleep(STABLE_S)

    async def add_worker(self, worker_id, cold_ms):
        worker = Worker(self.record, worker_id, 'a', SERVICE, work_s=0.1)
        await worker.start('127.0.0.1')
        self.workers.append(worker)
        self.beats[worker_id] = asyncio.create_task(
            self.keep_beating(worker, time.monotonic() + cold_ms / 1000)
        )
        return worker

    async def keep_beating(self, worker, warm_at_s):
        """Write the entry every beat; it changes only while it is cold."""
        before = None
        while True:
            left_ms = max(0, round((warm_at_s - time.monotonic()) * 1000))
            if left_ms != before:
                before = left_ms
                self.beat(worker, left_ms)
            await asyncio.sleep(BEAT_S)

    def beat(self, worker, left_ms):
        self.store.put('servers', worker.id, worker.entry(coldLeftMs=left_ms))
        self.record.add('beat', worker=worker.id, cold_left_ms=left_ms)

    async def keep_calling(self, machine):
        while True:
            self.calls += 1
            request_id = f'r-{self.calls:05d}'
            self.sent[request_id] = (self.record.now_s(), machine.name)
            answer = await call(
                self.record, machine.front, request_id, 'POST', '/order/x',
                b'one',
            )
            self.statuses[request_id] = answer.status
            await asyncio.sleep(0.02)

    async def leave(self, number):
        """Start three workers; one leaves and never reports that it drains.

        Their beats are 0.1 s apart. The machine stands still from just after
        the first one's third beat until 0.2 s after the entry was removed.
        """
        for name in ('a', 'b'):
            await self.add_worker(f'i-comes-{name}{number}', COLD_MS)
            await asyncio.sleep(0.1)
        worker = await self.add_worker(f'i-leaves-{number}', COLD_MS)
        await asyncio.sleep(2 * BEAT_S - 0.15)
        machine = self.added[0]
        if has_trouble():
            machine.signal(signal.SIGSTOP)
        await asyncio.sleep(0.4)
        self.beats[worker.id].cancel()
        self.store.remove('servers', worker.id)
        self.removed_at_s[worker.id] = self.record.now_s()
        self.record.add('entry_removed', worker=worker.id)
        await asyncio.sleep(FREEZE_S - 0.4)
        if has_trouble():
            machine.signal(signal.SIGCONT)
        self.in_touch_from_s[machine.name] = self.record.now_s() + STABLE_S

    def late_runs(self):
        """Return the runs at workers that are gone for over drainMs.

        Only requests count that a machine in touch has taken.
        """
        for worker in self.workers:
            removed_at_s = self.removed_at_s.get(worker.id)
            if removed_at_s is None:
                continue
            for at_s, request_id in worker.runs:
                sent_at_s, machine = self.sent[request_id]
                if at_s <= removed_at_s + DRAIN_S:
                    continue
                if sent_at_s < self.in_touch_from_s[machine]:
                    continue
                yield worker.id, machine, request_id, at_s - removed_at_s


async def play(record):
    fleet = Fleet(record)
    callers = []
    try:
        await fleet.start()
        callers = [
            asyncio.create_task(fleet.keep_calling(machine))
            for machine in fleet.added
            for _ in range(CALLERS)
        ]
        for number in range(ROUNDS):
            await fleet.leave(number)
            await asyncio.sleep(1.0)
        first_s = min(fleet.removed_at_s.values())
        await asyncio.sleep(first_s + SERVES_ON_S - record.now_s())
        # The workers that have left exit, as they may by now.
        for worker in fleet.workers:
            if worker.id in fleet.removed_at_s:
                worker.end()
        await asyncio.sleep(0.5)
        late = list(fleet.late_runs())
        unanswered = [
            request_id
            for _, _, request_id, _ in late
            if fleet.statuses.get(request_id) != 200
        ]
        for worker_id, machine, request_id, after_s in late:
            record.add(
                'late_run',
                worker=worker_id,
                machine=machine,
                request=request_id,
                after_removal_s=round(after_s, 2),
            )
        print(
            len(late), 'requests reached a worker that is gone,',
            len(unanswered), 'of them were lost when it exited',
        )
        return bool(late)
    finally:
        for task in [*callers, *fleet.beats.values()]:
            task.cancel()
        for worker in fleet.workers:
            worker.end()
        await fleet.deployment.stop()


run_case(play, HERE)
