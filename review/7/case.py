"""Spend programs' budgets, and go on over two outages of the store."""

import asyncio
import os
from pathlib import Path
import sys
import time

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.harness.deployment import configuration  # noqa: E402
from review.harness.deployment import Deployment  # noqa: E402
from review.harness.deployment import MODEL_SERVICE  # noqa: E402
from review.harness.deployment import new_id  # noqa: E402
from review.harness.deployment import play  # noqa: E402
from review.harness.deployment import route  # noqa: E402
from review.harness.fleet import Instance  # noqa: E402
from review.harness.store import Mode  # noqa: E402
from review.harness.worker import PREFIX  # noqa: E402
from review.harness.worker import Worker  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'lhr-a': 'lhr-north', 'lhr-b': 'lhr-north'}
MACHINES_PER_ZONE = 3
# The bounds of minarwalk-prod-grown, where they differ.
BOUNDS = {
    'ackMs': 6000,
    'catchUpS': 6,
    'drainMs': 4000,
    'configApplyMs': 4000,
    'recoverS': 15,
    'passMs': 300,
}
KEY = '3fexd9dnn2ctnfzs989a'
CHUNK_TOKENS = 9
EVENTS_PER_TURN = 4
# The most that one turn generates.
MOST_TOKENS = CHUNK_TOKENS * EVENTS_PER_TURN
BUDGET_TOKENS = 8 * MOST_TOKENS
OUTAGE_S = 3.0
# Longer than stableMs, so that the store is stable again.
CALM_S = 6.0
GRACE_S = 8.0
RETRY_S = 0.3
PROGRAMS = 8


class Program:
    """Runs a program that goes on after 402, as those without end do."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.program_id = new_id()
        self.session_id = new_id()
        # The tokens that the caller got in all turns.
        self.tokens = 0

    async def turn(self, machine: Instance) -> int:
        """Send one turn of the program to a machine; return the status."""
        request_id = new_id()
        headers = [
            (PREFIX + 'Model', 'm'),
            (PREFIX + 'Token-Usage', f'400,{MOST_TOKENS}'),
            (PREFIX + 'Token-Budget', str(BUDGET_TOKENS)),
            (PREFIX + 'Program-Id', self.program_id),
            (PREFIX + 'Session-Id', self.session_id),
            (PREFIX + 'Finish-Ms', '5200'),
        ]
        found = await self.deployment.call(
            machine,
            KEY,
            'POST',
            '/guide/2f',
            headers,
            b'next',
            3000,
            request_id,
        )
        status, tokens = 0, 0
        if found is not None:
            status = found.status
            tokens = found.body.count(b'\ndata:') * CHUNK_TOKENS
        self.tokens += tokens
        self.deployment.log(
            f'program {self.program_id}, turn {request_id} at {machine.name}:'
            f' {status}, {tokens} tokens, {self.tokens} so far'
        )
        return status

    async def try_at(self, machines: list[Instance]) -> None:
        """Send the turn again at other machines until it is served."""
        for machine in machines:
            if await self.turn(machine) == 200:
                return
            await asyncio.sleep(RETRY_S)

    async def spend(self, machine: Instance) -> None:
        """Spend the whole budget, in calm."""
        while await self.turn(machine) == 200:
            pass
        if self.tokens != BUDGET_TOKENS:
            raise RuntimeError(f'{self.tokens} tokens in calm')


async def go_on_in_outage(
    deployment: Deployment, programs: list[Program], machines: list[Instance]
) -> None:
    """Let the store not answer for a while, in which turns are sent."""
    if TROUBLE:
        deployment.log(f'the store is down for {OUTAGE_S} s, silent')
        deployment.store.set_mode(Mode.SILENT)
    ends_at_s = time.monotonic() + OUTAGE_S
    await asyncio.sleep(0.5)
    tries = asyncio.gather(*(p.try_at(machines) for p in programs))
    await asyncio.sleep(max(0.0, ends_at_s - time.monotonic()))
    deployment.store.set_mode(Mode.UP)
    deployment.log('the store is up')
    await tries


async def roll(deployment: Deployment) -> None:
    """Stop and start the machines in turn, as planned work does."""
    for machine in deployment.machines:
        await machine.stop_and_restart(GRACE_S)
        await machine.wait_ready()
        deployment.log(f'{machine.name} was stopped and is ready again')


async def run(deployment: Deployment) -> bool:
    """Return whether the programs' budgets held."""
    workers = [
        Worker(
            f'i-{zone}',
            MODEL_SERVICE,
            zone,
            f'{deployment.net}.{200 + n}',
            deployment.store,
            deployment.runs,
            EVENTS_PER_TURN,
        )
        for n, zone in enumerate(ZONES, 1)
    ]
    guide = route(
        'guide',
        'streaming',
        MODEL_SERVICE,
        retentionS=60.0,
        sticky=True,
        gapAimMs=150,
    )
    await deployment.start(
        workers,
        configuration([guide], {'hule930': KEY}, CHUNK_TOKENS),
        MACHINES_PER_ZONE,
        bounds=BOUNDS,
    )
    await asyncio.sleep(CALM_S)
    programs = [Program(deployment) for _ in range(PROGRAMS)]
    first, second, third, fourth, *_ = deployment.machines
    await asyncio.gather(*(p.spend(first) for p in programs))
    await go_on_in_outage(deployment, programs, [second, third])
    await asyncio.sleep(CALM_S)
    await asyncio.gather(*(p.turn(first) for p in programs))
    if TROUBLE:
        await roll(deployment)
    await asyncio.sleep(CALM_S)
    await asyncio.gather(*(p.turn(first) for p in programs))
    await go_on_in_outage(deployment, programs, [fourth])
    most = BUDGET_TOKENS + MOST_TOKENS
    tokens = [program.tokens for program in programs]
    held = max(tokens) <= most
    deployment.log(
        f'tokens handed to the callers of the programs: {tokens};'
        f' {BUDGET_TOKENS} + {MOST_TOKENS} = {most} are allowed for each:'
        f' BUDGET {"held" if held else "broken"}'
    )
    return held


sys.exit(asyncio.run(play(Path(__file__).parent, ZONES, run)))
