"""A turn is lost with its chain, as another program's part was removed."""

import asyncio
from pathlib import Path
import signal

from standins.fleet import BOUNDS
from standins.fleet import CannotRun
from standins.fleet import Fleet
from standins.fleet import run_case
from standins.fleet import turns_route

RETENTION_S = 60.0
# The second program goes on from the first one's turn at this age, the third
# one from the second one's turn.
SECOND_AFTER_S = 44.0
THIRD_AFTER_S = 36.0
# The days of tub-agentes have kill_all with down_s 0.99 and 1.2.
DOWN_S = 1.0
LAST_S = 4.0
TRY_EACH_S = 1.0


async def play(fleet: Fleet, is_troubled: bool) -> str | None:
    """Have three programs go on from one another's turns."""
    await fleet.start([turns_route(RETENTION_S)])
    await fleet.add_worker(
        'i-engine-1', 'engine', 'minds', 'bahir-dar', first_s=0.1, events=6
    )
    await fleet.wait_until_ready()
    first, second, _ = fleet.machines
    first_id, answer = await fleet.turn(first, 'p1', b'input 1\n')
    if not is_whole(answer):
        raise CannotRun('the first turn was not answered whole')
    await asyncio.sleep(SECOND_AFTER_S)
    second_id, answer = await fleet.turn(second, 'p2', b'input 2\n', first_id)
    if not is_whole(answer):
        raise CannotRun('the second turn was not answered whole')
    answered_at = fleet.now()
    await asyncio.sleep(THIRD_AFTER_S)

    if is_troubled:
        await kill_all(fleet)
    began_at = fleet.now()
    others = []
    tries = []
    number = 0
    while fleet.now() < began_at + BOUNDS['recoverS']:
        number += 1
        # Without the fault, the machine that served the turn goes on.
        machine = fleet.machines[number % 3] if is_troubled else second
        third_id, answer = await fleet.turn(
            machine, 'p3', b'input 3\n', second_id, Finish_Ms='9000'
        )
        tries.append((fleet.now(), third_id, answer.status))
        if fleet.ran(third_id):
            return None
        _, answer = await fleet.turn(machine, f'q{number}', b'input q\n')
        others.append((fleet.now(), is_whole(answer)))
        await asyncio.sleep(TRY_EACH_S)
    last = [ok for at, ok in others if at > fleet.now() - LAST_S]
    fleet.note(f'other turns of the last {LAST_S} s: {last}')
    if not last or sum(last) < 0.8 * len(last):
        fleet.note('fewer than four fifths of the other turns were served')
        return None
    age_s = fleet.now() - answered_at
    return (
        f'LOST: turn {second_id} was answered whole {age_s:.1f} s ago, less '
        f'than retentionS (60 s); after the final fault a turn that names it '
        f'reached no worker in {len(tries)} tries by recoverS, with the '
        f'statuses {[status for _, _, status in tries]}, and {sum(last)} of '
        f'{len(last)} other turns were served in the last {LAST_S} s'
    )


async def kill_all(fleet: Fleet) -> None:
    """Kill all processes of the system and start them again."""
    await asyncio.gather(
        *(machine.stop(signal.SIGKILL) for machine in fleet.machines)
    )
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines:
        await machine.start()


def is_whole(answer) -> bool:
    """Return whether a turn was answered with success and to its end."""
    return answer.status == 200 and answer.whole


run_case(Path(__file__).parent, play)
