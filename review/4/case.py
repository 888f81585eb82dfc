"""A request that crashes its workers is forgotten as all processes end."""

import asyncio
from pathlib import Path
import signal

from standins.fleet import CannotRun
from standins.fleet import Fleet
from standins.fleet import run_case
from standins.fleet import STABLE_S
from standins.fleet import turns_route
from standins.fleet import WorkerProcess

# Retries after the third crash that the rule allows.
ALLOWED = 3
# The workers are back after some seconds.
BACK_S = 2.0
# How long the machines are dark.
DARK_S = 1.0
KILLS = 4
SENDS = 4
PAUSE_S = 1.5


async def keep_running(worker: WorkerProcess, zone: str, options) -> None:
    """Start a worker again some seconds after each crash."""
    while True:
        await worker.process.wait()
        worker.fleet.note(f'worker {worker.worker_id} has crashed')
        await asyncio.sleep(BACK_S)
        await worker.start('engine', 'minds', zone, **options)


async def play(fleet: Fleet, is_troubled: bool) -> str | None:
    """Send the request again and again; kill all machines meanwhile."""
    await fleet.start([turns_route()])
    options = {'first_s': 0.1, 'gap_s': 0.02, 'events': 4}
    for number, zone in enumerate(('bahir-dar', 'gondar', 'bole'), 1):
        worker = await fleet.add_worker(
            f'i-engine-{number}', 'engine', 'minds', zone, **options
        )
        fleet.spawn(keep_running(worker, zone, options))
    await fleet.wait_until_ready()

    sent = []

    async def send_again() -> None:
        for _ in range(SENDS):
            machine = fleet.machines[len(sent) % len(fleet.machines)]
            started_at = machine.started_at
            request_id, _ = await fleet.turn(
                machine, f'p{len(sent)}', b'POISON 7'
            )
            sent.append((request_id, machine.started_at == started_at))
            _, other = await fleet.turn(machine, f'q{len(sent)}', b'sound')
            if other.status not in (200, 502, 503):
                raise CannotRun(f'a sound turn had {other.status}')
            await asyncio.sleep(PAUSE_S)

    await send_again()
    for _ in range(KILLS):
        if is_troubled:
            await asyncio.gather(
                *(m.stop(signal.SIGKILL) for m in fleet.machines)
            )
            await asyncio.sleep(DARK_S)
            for machine in fleet.machines:
                await machine.start()
        await fleet.wait_until_ready()
        await send_again()

    crashes = sorted(
        line['at'] for request_id, _ in sent for line in fleet.ran(request_id)
    )
    fleet.note(f'crashes at {[round(at, 1) for at in crashes]}')
    if len(crashes) < ALLOWED:
        return None
    later = [at for at in crashes if at > crashes[2] + STABLE_S]
    if len(later) <= ALLOWED:
        return None
    return (
        f'{len(crashes)} workers crashed under the request, {len(later)} of '
        f'them over {STABLE_S} s after the third; {ALLOWED} are allowed'
    )


run_case(Path(__file__).parent, play)
