"""Let programs stop and return within the retention of their last turn."""

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))

from standins import has_trouble
from standins import run_case
from turns import Programs

RETENTION_S_BY_ROUTE = {'quick': 8.0, 'plan': 100.0}
# The programs stop for so long.
PAUSE_S = 64.0
PROGRAMS = 5
TRIES = 6
TRY_INTERVAL_S = 0.4
TRIES_THAT_COUNT = 5
BUDGET = 4000
# The programs' aims lie beyond the end of the case.
FINISH_MS = 100000


async def play(record):
    programs = Programs(record)
    try:
        await programs.start(RETENTION_S_BY_ROUTE)
        machines = programs.machines
        for number in range(PROGRAMS):
            program, machine = f'p-{number}', machines[number]
            for route, turn, previous in (
                ('quick', 1, ''),
                ('plan', 2, f'p-{number}-1'),
            ):
                answer, _ = await programs.turn(
                    machine, route, program, f'{program}-{turn}', BUDGET,
                    FINISH_MS, previous,
                )
                assert answer.status == 200, 'a turn was not served in calm'
        if has_trouble():
            await asyncio.sleep(PAUSE_S)
        finish_ms = FINISH_MS
        if has_trouble():
            finish_ms -= int(PAUSE_S * 1000)
        lost = first_served = 0
        for number in range(PROGRAMS):
            program = f'p-{number}'
            reached = 0
            for attempt in range(TRIES):
                # Other machines than the one that served the turns before.
                machine = machines[(number + 1 + attempt) % len(machines)]
                if machine is machines[number]:
                    continue
                turn_id = f'{program}-3-{attempt}'
                answer, _ = await programs.turn(
                    machine, 'plan', program, turn_id, BUDGET, finish_ms,
                    f'{program}-2',
                )
                reached += turn_id in programs.prompts
                if reached:
                    break
                await asyncio.sleep(TRY_INTERVAL_S)
            lost += not reached
            answer, _ = await programs.turn(
                machines[number], 'plan', f'new-{number}', f'new-{number}-1',
                BUDGET, FINISH_MS,
            )
            first_served += answer.status == 200
        print(
            'turns that reached no worker in', TRIES_THAT_COUNT, 'tries:',
            lost, 'of', PROGRAMS, '- first turns served:', first_served,
        )
        return lost > 0 and first_served == PROGRAMS
    finally:
        await programs.stop()


run_case(play, HERE)
