"""Compare ways to release the engine memory of ended programs.

The home of a program is the instance that owns it. A sweep compares the
programs that the engine holds with their rows; an outbox is a row per ended
program that is deleted after the release.
"""

from dataclasses import dataclass
from dataclasses import field
import random

from jackdawfield.decisions.releases import CheckPrograms
from jackdawfield.decisions.releases import HeldReported
from jackdawfield.decisions.releases import ProgramEnded
from jackdawfield.decisions.releases import ProgramsChecked
from jackdawfield.decisions.releases import Release
from jackdawfield.decisions.releases import ReleaseAnswered
from jackdawfield.decisions.releases import Releases
from jackdawfield.decisions.releases import TimePassed
from jackdawfield.model import ProgramId
from jackdawfield.model import ServerId

STEP_S = 0.25
SWEEP_S = 10.0
MEAN_DURATION_S = 120.0
TRIAL_S = 900.0
LAST_START_S = 400.0
STARTS_PER_S = 4.0
HOME_COUNT = 9
ENGINE = ServerId('engine')
ENGINE_DOWN_S = (250.0, 290.0)
CRASH_S = 285.0
CRASHED_HOME = 0
TAKEOVER_S = 12.0
TABLE_DOWN_S = (270.0, 330.0)


@dataclass
class Trial:
    """Holds the state and the figures of one way's run."""

    release_now: bool
    sweep: bool
    outbox: bool
    homes: list[Releases] = field(default_factory=list)
    held: dict[ProgramId, float] = field(default_factory=dict)
    ended: dict[ProgramId, float] = field(default_factory=dict)
    outbox_rows: dict[ProgramId, int] = field(default_factory=dict)
    delays_s: list[float] = field(default_factory=list)
    writes: int = 0
    reads: int = 0

    def run(self) -> None:
        """Start, end and release programs until the end of the trial."""
        generator = random.Random(7)
        self.homes = [Releases(SWEEP_S) for _ in range(HOME_COUNT)]
        program_count = int(LAST_START_S * STARTS_PER_S)
        starts = sorted(
            generator.uniform(0, LAST_START_S) for _ in range(program_count)
        )
        ends = [s + generator.expovariate(1 / MEAN_DURATION_S) for s in starts]
        for step in range(int(TRIAL_S / STEP_S)):
            now_s = step * STEP_S
            for number in range(program_count):
                if now_s <= starts[number] < now_s + STEP_S:
                    self.held[ProgramId(str(number))] = now_s
                if now_s <= ends[number] < now_s + STEP_S:
                    self.end_program(
                        ProgramId(str(number)), number % HOME_COUNT, now_s
                    )
            self.advance_time(now_s)

    def end_program(
        self, program_id: ProgramId, home: int, now_s: float
    ) -> None:
        """End a program at its home, or at its successor after the crash."""
        if home == CRASHED_HOME and now_s >= CRASH_S:
            home = CRASHED_HOME + 1
        self.ended[program_id] = now_s
        self.writes += 1
        if self.outbox:
            self.writes += 1
            self.outbox_rows[program_id] = home
        if self.release_now:
            self.process_event(
                home, ProgramEnded(program_id, (ENGINE,), now_s), now_s
            )

    def advance_time(self, now_s: float) -> None:
        """Apply what is due: the crash, the takeover, retries and a sweep."""
        if now_s == CRASH_S:
            self.homes[CRASHED_HOME] = Releases(SWEEP_S)
        if now_s == CRASH_S + TAKEOVER_S and self.outbox:
            self.reads += 1
            for program_id, home in list(self.outbox_rows.items()):
                if home == CRASHED_HOME:
                    event = ProgramEnded(program_id, (ENGINE,), now_s)
                    self.process_event(CRASHED_HOME + 1, event, now_s)
        for home in range(HOME_COUNT):
            self.process_event(home, TimePassed(now_s), now_s)
        if self.sweep and now_s % SWEEP_S == 0 and not is_engine_down(now_s):
            held = frozenset(self.held)
            self.process_event(1, HeldReported(ENGINE, held, now_s), now_s)

    def process_event(self, home: int, event: object, now_s: float) -> None:
        """Apply an event to a home and execute its actions."""
        for action in self.homes[home].on(event):  # type: ignore[arg-type]
            match action:
                case CheckPrograms(_, program_ids):
                    self.check_programs(home, frozenset(program_ids), now_s)
                case Release(_, program_ids):
                    self.release_programs(home, program_ids, now_s)

    def check_programs(
        self, home: int, program_ids: frozenset[ProgramId], now_s: float
    ) -> None:
        """Read the rows of the programs unless the table is down."""
        self.reads += len(program_ids)
        if TABLE_DOWN_S[0] <= now_s < TABLE_DOWN_S[1]:
            return
        ended_ids = program_ids & self.ended.keys()
        event = ProgramsChecked(
            ENGINE, program_ids - ended_ids, ended_ids, now_s
        )
        self.process_event(home, event, now_s)

    def release_programs(
        self, home: int, program_ids: tuple[ProgramId, ...], now_s: float
    ) -> None:
        """Release programs unless the engine is down."""
        if is_engine_down(now_s):
            answer = ReleaseAnswered(ENGINE, program_ids, False, now_s)
            self.process_event(home, answer, now_s)
            return
        if self.outbox:
            self.writes += len(program_ids)
        for program_id in program_ids:
            self.outbox_rows.pop(program_id, None)
            if self.held.pop(program_id, None) is not None:
                self.delays_s.append(now_s - self.ended[program_id])
        answer = ReleaseAnswered(ENGINE, program_ids, True, now_s)
        self.process_event(home, answer, now_s)


def is_engine_down(now_s: float) -> bool:
    """Return whether the engine is down."""
    return ENGINE_DOWN_S[0] <= now_s < ENGINE_DOWN_S[1]


def run() -> list[str]:
    """Print the figures of each way and return the missed bounds."""
    trials_by_name = {
        'repeats, no sweep': Trial(True, False, False),
        'sweep only': Trial(False, True, False),
        'release now, sweep later': Trial(True, True, False),
        'outbox': Trial(True, False, True),
        'outbox and sweep': Trial(True, True, True),
    }
    print('engine memory after programs ended; engine down 40 s,')
    print('table down 60 s, one home of 9 killed with releases pending')
    print('way                         rows  reads  p50 s  p99 s  max s left')
    for name, trial in trials_by_name.items():
        trial.run()
        delays = sorted(trial.delays_s)
        program_count = len(trial.ended)
        left_count = len(trial.held.keys() & trial.ended.keys())
        print(
            f'{name:25} {trial.writes / program_count:6.2f} '
            f'{trial.reads / program_count:6.2f} '
            f'{delays[len(delays) // 2]:6.2f} '
            f'{delays[len(delays) * 99 // 100]:6.1f} {delays[-1]:6.1f} '
            f'{left_count:4}'
        )
    chosen_trial = trials_by_name['release now, sweep later']
    left_count = len(chosen_trial.held.keys() & chosen_trial.ended.keys())
    return [f'{left_count} programs left in memory'] if left_count else []
