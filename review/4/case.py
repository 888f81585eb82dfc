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
LOOKUPS = 200
LOOKUPS_PER_S = 20
# After so many lookups, two turns meet a worker in trouble.
TROUBLE_AFTER = 40
TURNS = 2
# The rule counts from eight late requests on.
LEAST = 8


async def play(fleet: Fleet, is_troubled: bool) -> str | None:
    """Send lookups to one machine while two turns get bytes without end."""
    routes = [
        turns_route(),
        route('look', 'safe', 'desk', timeoutMs=int(TIMEOUT_S * 1000)),
    ]
    await fleet.start(routes)
    for number, zone in enumerate(('bahir-dar', 'gondar', 'bole'), 1):
        await fleet.add_worker(
            f'i-engine-{number}', 'engine', 'minds', zone,
            first_s=0.05, gap_s=0.02, events=4, slots=12,
            # A stream without end is made of line feeds.
            chunk_bytes=4000, fill='0a',
        )
        await fleet.add_worker(
            f'i-desk-{number}', 'plain', 'desk', zone, work_s=0.03, slots=6,
        )
    await fleet.wait_until_ready()
    machine = fleet.machines[0]
    took_s = []

    async def look() -> None:
        _, answer = await fleet.request(
            machine, 'GET', '/look/x', time_s=BUDGET_S
        )
        took_s.append(answer.ended_at - answer.sent_at)

    for number in range(LOOKUPS):
        if number == TROUBLE_AFTER:
            body = b'ENDLESS ' if is_troubled else b'sound '
            for turn in range(TURNS):
                fleet.spawn(fleet.turn(machine, f'p{turn}', body))
        fleet.spawn(look())
        await asyncio.sleep(1 / LOOKUPS_PER_S)
    await asyncio.sleep(BUDGET_S + 0.5)
    if len(took_s) != LOOKUPS:
        raise CannotRun(f'{len(took_s)} of {LOOKUPS} lookups have ended')
    unanswered = [t for t in took_s if t > TIMEOUT_S]
    late = [t for t in unanswered if t > TIMEOUT_S + LATE_S]
    fleet.note(
        f'{len(unanswered)} lookups had no answer at the timeout of '
        f'{TIMEOUT_S} s, {len(late)} of them none {LATE_S} s later'
    )
    if len(late) >= LEAST and 2 * len(late) > len(unanswered):
        return (
            f'{len(late)} of {len(unanswered)} requests without an answer at '
            f'the timeout had none {LATE_S} s later'
        )
    return None


run_case(Path(__file__).parent, play)
