"""Let a worker that names a limit stay without requests for a while."""

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))

from standins import call
from standins import configuration
from standins import Deployment
from standins import has_trouble
from standins import run_case
from standins import STABLE_S
from standins import Worker

SERVICE = 'desk'
ZONES = {'a': 'north', 'b': 'north', 'c': 'south'}
LIMIT_PER_S = 2.0
FIRST_CALLS = 6
QUIET_S = 12.0
SHORT_QUIET_S = 1.0
CROWD = 36
WINDOW_S = 4.0


class LimitedWorker(Worker):
    """Names its limit in each answer."""

    async def run(self, writer, head, headers, body):
        await asyncio.sleep(0.1)
        writer.write(
            f'HTTP/1.1 200 OK\r\n{head}Server-Limit: {LIMIT_PER_S}\r\n'
            'Content-Length: 2\r\n\r\nok'.encode()
        )


async def play(record):
    deployment = Deployment(record, ZONES)
    worker = LimitedWorker(record, 'i-1', 'a', SERVICE)
    try:
        await deployment.store.start('127.0.0.1')
        await worker.start('127.0.0.1')
        deployment.store.put(
            'op',
            'config',
            configuration(
                [{'name': SERVICE, 'healthPath': '/health', 'maxConns': 96}],
                [('stock', SERVICE, {})],
            ),
        )
        deployment.store.put('servers', worker.id, worker.entry())
        for zone in ZONES:
            deployment.add_machine(f'front-{zone}-0', zone)
        machines = deployment.machines
        deployment.seeds = [machine.control for machine in machines]
        for machine in machines:
            await machine.start(bootstrap=True)
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(STABLE_S)

        def send(request_id, number):
            front = machines[number % len(machines)].front
            return call(record, front, request_id, 'GET', '/stock/x')

        # Each machine passes on two answers that name the limit.
        for number in range(FIRST_CALLS):
            await send(f'first-{number}', number)
            await asyncio.sleep(0.8)
        await asyncio.sleep(QUIET_S if has_trouble() else SHORT_QUIET_S)
        run_before = len(worker.runs)
        began_s = record.now_s()
        await asyncio.gather(*(send(f'c-{n}', n) for n in range(CROWD)))
        left_s = began_s + WINDOW_S - record.now_s()
        await asyncio.sleep(max(0.0, left_s))
        run = [at for at, _ in worker.runs[run_before:]
               if at < began_s + WINDOW_S]
        allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
        print('requests in 4 s:', len(run), 'allowed:', allowed)
        return len(run) > allowed
    finally:
        worker.end()
        await deployment.stop()


run_case(play, HERE, record_name='limit-record.txt')
