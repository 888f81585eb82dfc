"""Spend a token budget, stop, and return within the retention."""

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-3'))

from standins import has_trouble
from standins import run_case
from turns import Programs
from turns import TURN_TOKENS

RETENTION_S_BY_ROUTE = {'quick': 8.0, 'plan': 100.0}
# The programs stop for so long.
PAUSE_S = 64.0
PROGRAMS = 3
# Three turns; the rule allows the tokens of one turn more.
BUDGET = 3 * TURN_TOKENS
TURNS_AFTER = 4
FINISH_MS = 100000


async def play(record):
    programs = Programs(record)
    tokens_by_program = {}
    try:
        await programs.start(RETENTION_S_BY_ROUTE)
        machines = programs.machines

        async def turn(machine, route, program, turn_id, finish_ms, previous):
            answer, tokens = await programs.turn(
                machine, route, program, turn_id, BUDGET, finish_ms, previous
            )
            before = tokens_by_program.get(program, 0)
            tokens_by_program[program] = before + tokens
            return answer.status

        for number in range(PROGRAMS):
            name = f'p-{number}'
            # The second turn comes in through another zone.
            for machine, route, turn_id, previous in (
                (machines[number], 'plan', f'{name}-1', ''),
                (machines[number + 3], 'quick', f'{name}-2', f'{name}-1'),
            ):
                status = await turn(
                    machine, route, name, turn_id, FINISH_MS, previous
                )
                assert status == 200, 'a turn was not served in calm'
        finish_ms = FINISH_MS
        if has_trouble():
            await asyncio.sleep(PAUSE_S)
            finish_ms -= int(PAUSE_S * 1000)
        for number in range(PROGRAMS):
            name, previous = f'p-{number}', f'p-{number}-1'
            for later in range(TURNS_AFTER):
                machine = machines[(number + 1 + later) % len(machines)]
                turn_id = f'{name}-{3 + later}'
                status = await turn(
                    machine, 'plan', name, turn_id, finish_ms, previous
                )
                if status != 200:
                    break
                previous = turn_id
        print('tokens handed over, with a budget of', BUDGET, 'and', TURN_TOKENS,
              'tokens a turn:', tokens_by_program)
        most = BUDGET + TURN_TOKENS
        return any(tokens > most for tokens in tokens_by_program.values())
    finally:
        await programs.stop()


run_case(play, HERE)
