"""Bytes without end from two workers keep a machine from serving anyone."""

import asyncio
from pathlib import Path

from standins.fleet import CannotRun
from standins.fleet import Fleet
from standins.fleet import route
from standins.fleet import run_case
from standins.fleet import turns_route

TIMEOUT_S = 1.2
# The rule looks at what has no answer this long after the timeout.
LATE_S = 0.5
# A requester waits longer than the route's timeout.
BUDGET_S = 3.0
ORDERS = 200
ORDERS_PER_S = 20
# After so many orders, two turns meet a worker in trouble.
TROUBLE_AFTER = 40
TURNS = 2
# The rule counts from eight late requests on.
LEAST = 8
# Requesters abandon a stream after a gap of so long.
GAP_S = 2.0


async def play(fleet: Fleet, is_troubled: bool) -> str | None:
    """Send orders to one machine while two turns get bytes without end."""
    routes = [
        turns_route(),
        route('book', 'unsafe', 'desk', timeoutMs=int(TIMEOUT_S * 1000)),
    ]
    await fleet.start(routes)
    for number, zone in enumerate(('bahir-dar', 'gondar', 'bole'), 1):
        await fleet.add_worker(
            f'i-engine-{number}', 'engine', 'minds', zone,
            first_s=0.05, gap_s=0.02, events=4, slots=12,
            # A stream without end comes in chunks of one byte.
            chunk_bytes=1,
        )
        await fleet.add_worker(
            f'i-desk-{number}', 'plain', 'desk', zone, work_s=0.03, slots=6,
        )
    await fleet.wait_until_ready()
    machine = fleet.machines[0]
    took_s = []

    async def order() -> None:
        _, answer = await fleet.request(
            machine, 'POST', '/book/x', b'order', BUDGET_S
        )
        took_s.append(answer.ended_at - answer.sent_at)

    async def turn(number: int, body: bytes) -> None:
        try:
            async with asyncio.timeout(GAP_S):
                await fleet.turn(machine, f'p{number}', body)
        except TimeoutError:
            fleet.note(f'the requester of turn {number} has left')

    for number in range(ORDERS):
        if number == TROUBLE_AFTER:
            body = b'ENDLESS ' if is_troubled else b'sound '
            for n in range(TURNS):
                fleet.spawn(turn(n, body))
        fleet.spawn(order())
        await asyncio.sleep(1 / ORDERS_PER_S)
    await asyncio.sleep(BUDGET_S + 0.5)
    if len(took_s) != ORDERS:
        raise CannotRun(f'{len(took_s)} of {ORDERS} orders have ended')
    unanswered = [t for t in took_s if t > TIMEOUT_S]
    late = [t for t in unanswered if t > TIMEOUT_S + LATE_S]
    fleet.note(
        f'{len(unanswered)} orders had no answer at the timeout of '
        f'{TIMEOUT_S} s, {len(late)} of them none {LATE_S} s later'
    )
    if len(late) >= LEAST and 2 * len(late) > len(unanswered):
        return (
            f'{len(late)} of {len(unanswered)} requests without an answer at '
            f'the timeout had none {LATE_S} s later'
        )
    return None


run_case(Path(__file__).parent, play)
