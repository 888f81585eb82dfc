"""Draw a schedule of faults from a seed."""

from dataclasses import dataclass
from enum import Enum
import random

from soak.scenario import SERVER_RESTART_S

# Faults start after the fleet has settled and end before the fault-free
# period at the end of the run.
FIRST_FAULT_S = 3.0
FAULT_FREE_S = 4.0
MIN_GAP_S = 0.3
MAX_GAP_S = 1.6


class FaultKind(Enum):
    """Defines the kinds of faults."""

    KILL = 'kill'
    KILL_MOST = 'kill many'
    PAUSE = 'pause'
    PLANNED_STOP = 'planned stop'
    STORE_STALLED = 'store cut'
    STORE_RESPONSES_STALLED = 'store answers lost'
    STORE_SLOW = 'store slow'
    STORE_RESET = 'store connections reset'
    STORE_SILENT = 'store connections silent'
    STORE_UNAVAILABLE = 'store away'
    STORE_CALL_FAULTS = 'store troubled'
    SERVER_RESET = 'server connections reset'
    SERVER_STALLED = 'server silent'
    SERVER_SLOW = 'server slow'
    SERVER_REFUSING = 'server refusing'
    SERVER_TRUNCATING = 'server cutting answers'
    SERVER_EXTRA_RESPONSES = 'server sending extra answers'
    SERVER_LIMITED = 'server names a limit'
    SERVER_ENDLESS = 'server sending without end'
    SERVER_ANNOUNCING = 'server saying that it leaves'
    SERVER_DRAINING = 'server leaving'
    SERVER_ENDING = 'server ended by a request'
    SERVER_UNFRAMED = 'server ends answers with the connection'
    SERVER_PATHS_CUT = 'server paths of an instance cut'
    STOP_SERIES = 'planned stops in series'
    KEY_WITHDRAWN = 'key withdrawn'
    CONFIGURATION = 'configuration'


# These are not drawn by weight.
SEPARATE_KINDS = (
    FaultKind.SERVER_ENDING,
    FaultKind.SERVER_UNFRAMED,
    FaultKind.SERVER_PATHS_CUT,
    FaultKind.STOP_SERIES,
    FaultKind.STORE_SILENT,
    FaultKind.SERVER_LIMITED,
    FaultKind.SERVER_ENDLESS,
    FaultKind.SERVER_ANNOUNCING,
)
# Relative frequency of each other kind in a schedule.
WEIGHTS_BY_KIND = {
    kind: 2 for kind in FaultKind if kind not in SEPARATE_KINDS
} | {
    FaultKind.KILL: 3,
    FaultKind.PLANNED_STOP: 4,
    FaultKind.KILL_MOST: 1,
    FaultKind.STORE_UNAVAILABLE: 1,
    FaultKind.KEY_WITHDRAWN: 3,
}
# Share of runs with a series of planned stops.
STOP_SERIES_SHARE = 0.5
# Longest time in which servers end their answers with the connection.
MAX_UNFRAMED_S = 4.0
# Shortest time for which a server names a limit.
MIN_LIMITED_S = 9.0
# Longest time in which a server sends bytes without end, and shortest time
# for which one says that it leaves.
MAX_ENDLESS_S = 3.0
MIN_ANNOUNCING_S = 6.0
# Share of runs with an instance that is cut from all servers, and the latest
# begin of that before the last fault ends. It lasts until the run's end, as
# its callers are served through others.
CUT_SHARE = 0.5
CUT_KNOWN_S = 1.0


@dataclass(frozen=True, slots=True)
class Fault:
    """Holds one fault of a schedule, with times from the start of the run.

    The target is reduced modulo the number of instances or servers.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float
    target: int

    @property
    def end_s(self) -> float:
        """Return the end of the fault in seconds from the run's start."""
        return self.at_s + self.lasts_s


def draw_schedule(
    seed: int, length_s: float, has_ending_request: bool = False
) -> list[Fault]:
    """Return the faults of a run in the order of their start."""
    faults = _draw_short_faults(seed, length_s)
    faults_end_s = length_s - FAULT_FREE_S
    # A generator of its own keeps the other faults of a seed as they are.
    rng = random.Random(f'{seed} separate')
    if rng.random() < STOP_SERIES_SHARE:
        at_s = rng.uniform(FIRST_FAULT_S, faults_end_s / 2)
        series = Fault(FaultKind.STOP_SERIES, at_s, 0.0, rng.randrange(1000))
        faults.append(series)
    at_s = rng.uniform(FIRST_FAULT_S, faults_end_s)
    lasts_s = min(MAX_UNFRAMED_S, faults_end_s - at_s)
    kind = FaultKind.SERVER_UNFRAMED
    faults.append(Fault(kind, at_s, lasts_s, rng.randrange(1000)))
    if rng.random() < CUT_SHARE:
        at_s = rng.uniform(FIRST_FAULT_S, faults_end_s - CUT_KNOWN_S)
        kind = FaultKind.SERVER_PATHS_CUT
        faults.append(Fault(kind, at_s, length_s - at_s, rng.randrange(1000)))
    faults.append(_draw_silence(seed, faults_end_s))
    faults.append(_draw_limit(seed, faults_end_s))
    faults += _draw_announced_and_endless(seed, faults_end_s)
    if has_ending_request:
        lasts_s = faults_end_s - FIRST_FAULT_S - SERVER_RESTART_S
        kind = FaultKind.SERVER_ENDING
        faults.append(Fault(kind, FIRST_FAULT_S, lasts_s, 0))
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_silence(seed: int, faults_end_s: float) -> Fault:
    # A generator of its own keeps the other faults of a seed as they are.
    rng = random.Random(f'{seed} silence')
    at_s = rng.uniform(FIRST_FAULT_S, faults_end_s)
    return Fault(FaultKind.STORE_SILENT, at_s, 0.0, rng.randrange(1000))


def _draw_limit(seed: int, faults_end_s: float) -> Fault:
    # A generator of its own keeps the other faults of a seed as they are.
    rng = random.Random(f'{seed} limit')
    latest_s = max(FIRST_FAULT_S, faults_end_s - MIN_LIMITED_S)
    at_s = rng.uniform(FIRST_FAULT_S, latest_s)
    kind = FaultKind.SERVER_LIMITED
    return Fault(kind, at_s, faults_end_s - at_s, rng.randrange(1000))


def _draw_announced_and_endless(seed: int, faults_end_s: float) -> list[Fault]:
    # A generator of its own keeps the other faults of a seed as they are.
    rng = random.Random(f'{seed} announced')
    latest_s = max(FIRST_FAULT_S, faults_end_s - MIN_ANNOUNCING_S)
    at_s = rng.uniform(FIRST_FAULT_S, latest_s)
    announced = Fault(
        FaultKind.SERVER_ANNOUNCING,
        at_s,
        min(MIN_ANNOUNCING_S, faults_end_s - at_s),
        rng.randrange(1000),
    )
    at_s = rng.uniform(FIRST_FAULT_S, faults_end_s)
    lasts_s = min(MAX_ENDLESS_S, faults_end_s - at_s)
    kind = FaultKind.SERVER_ENDLESS
    return [announced, Fault(kind, at_s, lasts_s, rng.randrange(1000))]


def _draw_short_faults(seed: int, length_s: float) -> list[Fault]:
    rng = random.Random(seed)
    kinds = list(WEIGHTS_BY_KIND)
    weights = list(WEIGHTS_BY_KIND.values())
    faults = []
    at_s = FIRST_FAULT_S
    faults_end_s = length_s - FAULT_FREE_S
    while at_s < faults_end_s:
        kind = rng.choices(kinds, weights)[0]
        lasts_s = min(rng.uniform(0.5, 3.0), faults_end_s - at_s)
        fault = Fault(kind, at_s, lasts_s, rng.randrange(1000))
        faults.append(fault)
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return faults
