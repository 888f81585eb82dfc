"""A turn that was answered whole is lost, as the store was down meanwhile."""

import asyncio
from pathlib import Path

from standins.fleet import CannotRun
from standins.fleet import Fleet
from standins.fleet import run_case
from standins.fleet import STABLE_S
from standins.fleet import turns_route

# The days of tub-agentes have the store answer 503 for up to 6.5 s.
DOWN_S = 6.0


async def play(fleet: Fleet, is_troubled: bool) -> str | None:
    """Send three turns; the store goes down while the second one runs."""
    await fleet.start([turns_route()])
    await fleet.add_worker(
        'i-engine-1', 'engine', 'minds', 'bahir-dar',
        framing='length', first_s=0.3, gap_s=0.05, events=8,
    )
    await fleet.wait_until_ready()
    first_machine = fleet.machines[0]
    first_id, answer = await fleet.turn(first_machine, 'p1', b'input 1\n')
    if not is_whole(answer):
        raise CannotRun('the first turn was not answered whole')
    await asyncio.sleep(1)

    down_until = fleet.now() + DOWN_S
    if is_troubled:
        fleet.store.set_down(True)
    second_id, answer = await fleet.turn(
        first_machine, 'p1', b'input 2\n', first_id
    )
    answered_at = fleet.now()
    if is_troubled:
        await asyncio.sleep(max(0.0, down_until - fleet.now()))
        fleet.store.set_down(False)
    if not is_whole(answer):
        fleet.note('the second turn was not answered whole: it may be lost')
        return None
    # The store is stable again, and the machines are in touch.
    await asyncio.sleep(STABLE_S + 1)

    denied = []
    for machine in fleet.machines:
        _, answer = await fleet.turn(machine, 'p1', b'input 3\n', second_id)
        if answer.status in (404, 410):
            denied.append(f'{answer.status} at {machine.name}')
    if not denied:
        return None
    age_s = fleet.now() - answered_at
    return (
        f'LOST: turn {second_id} was answered whole {age_s:.1f} s ago, less '
        f'than retentionS (60 s); a turn that names it got {denied}'
    )


def is_whole(answer) -> bool:
    """Return whether a turn was answered with success and to its end."""
    return answer.status == 200 and answer.whole


run_case(Path(__file__).parent, play)
