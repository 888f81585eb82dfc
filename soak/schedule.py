"""Draws a seeded schedule of faults."""

from dataclasses import dataclass
from enum import Enum
import random

# Faults begin after the fleet has settled and end before the last calm.
FIRST_S = 3.0
CALM_S = 4.0
LEAST_GAP_S = 0.3
MOST_GAP_S = 1.6


class FaultKind(Enum):
    """Names what goes wrong, with the share of it in a schedule."""

    KILL = 'kill'
    KILL_MANY = 'kill many'
    PAUSE = 'pause'
    PLANNED_STOP = 'planned stop'
    STORE_CUT = 'store cut'
    STORE_ONE_WAY = 'store answers lost'
    STORE_SLOW = 'store slow'
    STORE_RESET = 'store connections reset'
    STORE_AWAY = 'store away'
    STORE_TROUBLE = 'store troubled'
    SERVER_RESET = 'server connections reset'
    SERVER_SILENT = 'server silent'
    SERVER_SLOW = 'server slow'
    SERVER_REFUSING = 'server refusing'
    SERVER_CUTTING = 'server cutting answers'
    SERVER_EXTRA = 'server sending extra answers'
    SERVER_LEAVING = 'server leaving'
    KEY_WITHDRAWN = 'key withdrawn'
    CONFIGURATION = 'configuration'


WEIGHTS_BY_KIND = {kind: 2 for kind in FaultKind} | {
    FaultKind.KILL: 3,
    FaultKind.PLANNED_STOP: 4,
    FaultKind.KILL_MANY: 1,
    FaultKind.STORE_AWAY: 1,
    FaultKind.KEY_WITHDRAWN: 3,
}


@dataclass(frozen=True, slots=True)
class Fault:
    """Holds one fault; its target is a number taken modulo what there is."""

    kind: FaultKind
    at_s: float
    lasts_s: float
    target: int

    @property
    def ends_s(self) -> float:
        """Return when the fault ends, in seconds of the run."""
        return self.at_s + self.lasts_s


def draw_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, in the order of their time."""
    chance = random.Random(seed)
    kinds = list(WEIGHTS_BY_KIND)
    weights = list(WEIGHTS_BY_KIND.values())
    faults = []
    at_s = FIRST_S
    last_s = length_s - CALM_S
    while at_s < last_s:
        kind = chance.choices(kinds, weights)[0]
        lasts_s = min(chance.uniform(0.5, 3.0), last_s - at_s)
        fault = Fault(kind, at_s, lasts_s, chance.randrange(1000))
        faults.append(fault)
        at_s += chance.uniform(LEAST_GAP_S, MOST_GAP_S)
    return faults
