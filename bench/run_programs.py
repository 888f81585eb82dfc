"""Measure the cost of durability, takeovers, sealed tails and history.

The home of a program is the instance that owns it. A sealed tail holds turns
that are not durable yet; the caller keeps it and presents it later.
"""

from collections.abc import Iterator
from dataclasses import dataclass
import heapq
import json
from random import Random
from statistics import quantiles

from jackdawfield.decisions.commit_events import Action
from jackdawfield.decisions.commit_events import Answered
from jackdawfield.decisions.commit_events import Commit
from jackdawfield.decisions.commit_events import Durable
from jackdawfield.decisions.commit_events import RowOwned
from jackdawfield.decisions.commit_events import Submitted
from jackdawfield.decisions.commit_events import TimePassed
from jackdawfield.decisions.commit_events import Turn
from jackdawfield.decisions.commits import CommitLimits
from jackdawfield.decisions.commits import Committer
from jackdawfield.decisions.history import encode_record
from jackdawfield.decisions.history import History
import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.opening import Opened as ProgramOpened
from jackdawfield.decisions.opening import Opening
from jackdawfield.decisions.programs import encode_row
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.programs import row_key
from jackdawfield.decisions.programs import turn_key
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.tails import make_tail
from jackdawfield.decisions.tails import seal
from jackdawfield.messages.base import encode
from jackdawfield.messages.calls import CallRequest
from jackdawfield.model import CallNumber
from jackdawfield.model import Epoch
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RouteName
from jackdawfield.model import TemplateName

SEED = 7
INSTANCES = 9
TABLE_WRITES_PER_S = 300.0
PROGRAM_WRITE_SHARE = 0.5
WINDOWS_MS = (0, 10, 20, 50, 100)
RATES_PER_S = (10, 45, 180)
DURATION_S = 30.0
REGION_ROUND_TRIP_S = 0.025
DOMAIN_ROUND_TRIP_S = 0.002
ADDED_P50_LIMIT_S = 0.1
ORGANISATION_ID = OrganisationId('sieves')
SEAL_KEY = bytes(32)
WORDS = 'mesh sieve soil standard order freight cloth tray quote lab'.split()
MESSAGE_BYTES = 900
ANSWER_BYTES = 2400
LARGEST_TURNS = 52
LARGEST_TOKENS = 270_000
BYTES_PER_TOKEN = 4


def generate_text(random: Random, size_bytes: int) -> bytes:
    """Return random words of a total size in bytes."""
    words: list[str] = []
    while sum(map(len, words)) + len(words) < size_bytes:
        words.append(random.choice(WORDS) + str(random.randrange(1000)))
    return ' '.join(words).encode()[:size_bytes]


def create_history(
    random: Random,
    program_id: str,
    turns: int,
    message_bytes: int = MESSAGE_BYTES,
    answer_bytes: int = ANSWER_BYTES,
) -> History:
    """Return a random history with a number of turns."""
    history = History(ORGANISATION_ID, ProgramId(program_id))
    for _ in range(turns):
        request = generate_text(random, message_bytes)
        answer = generate_text(random, answer_bytes)
        record = history.make_record(b'digest', request, answer, 1)
        history = history.extend((record,)).unwrap()
    return history


@dataclass(slots=True)
class CommitFigures:
    """Holds the figures of one run of group commit."""

    turns: int = 0
    transactions: int = 0
    added_s: tuple[float, ...] = ()

    @property
    def p50_s(self) -> float:
        """Return the median of the added time."""
        return quantiles(self.added_s, n=100)[49]

    @property
    def p95_s(self) -> float:
        """Return the 95th percentile of the added time."""
        return quantiles(self.added_s, n=100)[94]


class CommitRun:
    """Runs one instance's committer in virtual time."""

    def __init__(self, limits: CommitLimits, round_trip_s: float) -> None:
        self._committer = Committer(limits)
        self._round_trip_s = round_trip_s
        self._events: list[tuple[float, int, object]] = []
        self._event_count = 0
        self._ended_at_s_by_program: dict[ProgramId, float] = {}
        self.transactions = 0
        self.added_s: list[float] = []

    def run(self, random: Random, rate_per_s: float) -> None:
        """Commit turns that end at random times within the duration."""
        now_s = 0.0
        template = create_history(random, 'd.p', 1).turns[0]
        while now_s < DURATION_S:
            now_s += random.expovariate(rate_per_s)
            program_id = ProgramId(f'd.{self._event_count}')
            self._schedule(now_s, Turn(program_id, template))
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            self._process_event(now_s, event)

    def _schedule(self, at_s: float, event: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, event))

    def _process_event(self, now_s: float, event: object) -> None:
        match event:
            case Turn(program_id):
                self._ended_at_s_by_program[program_id] = now_s
                self._committer.on(RowOwned(program_id, 1))
                self._apply_actions(
                    self._committer.on(Submitted(event, now_s)), now_s
                )
            case Answered():
                self._apply_actions(self._committer.on(event), now_s)
            case TimePassed():
                self._apply_actions(self._committer.on(event), now_s)

    def _apply_actions(
        self, actions: tuple[Action, ...], now_s: float
    ) -> None:
        for action in actions:
            match action:
                case Commit():
                    self.transactions += 1
                    at_s = now_s + self._round_trip_s
                    answer = Answered(Committed(1), at_s)
                    self._schedule(at_s, answer)
                case Durable(Turn(program_id)):
                    ended_at_s = self._ended_at_s_by_program.pop(program_id)
                    self.added_s.append(now_s - ended_at_s)
                    self._committer.close(program_id)
        due_s = self._committer.next_due_s
        if due_s is not None:
            at_s = max(due_s, now_s)
            self._schedule(at_s, TimePassed(at_s))


def run_commits(window_s: float, rate_per_s: float) -> CommitFigures:
    """Return the figures of all instances at one rate of the whole fleet."""
    interval_s = INSTANCES / (TABLE_WRITES_PER_S * PROGRAM_WRITE_SHARE)
    limits = CommitLimits(window_s, interval_s)
    transactions = 0
    added_s: list[float] = []
    for number in range(INSTANCES):
        is_near = number < INSTANCES * 2 // 3
        round_trip_s = DOMAIN_ROUND_TRIP_S if is_near else REGION_ROUND_TRIP_S
        run = CommitRun(limits, round_trip_s)
        run.run(Random(SEED + number), rate_per_s / INSTANCES)
        transactions += run.transactions
        added_s.extend(run.added_s)
    return CommitFigures(len(added_s), transactions, tuple(added_s))


def measure_commits() -> Iterator[str]:
    """Print the cost of group commits and yield the missed bounds."""
    print(f'programs: group commit, {INSTANCES} instances, virtual time')
    print('turns/s  window ms  writes/turn  writes/s  added p50 ms  p95 ms')
    limit_per_s = TABLE_WRITES_PER_S * PROGRAM_WRITE_SHARE
    for rate_per_s in RATES_PER_S:
        for window_ms in WINDOWS_MS:
            figures = run_commits(window_ms / 1000, rate_per_s)
            writes_per_s = figures.transactions / DURATION_S
            print(
                f'{rate_per_s:7} {window_ms:10} '
                f'{figures.transactions / figures.turns:12.3f} '
                f'{writes_per_s:9.1f} {figures.p50_s * 1000:13.1f} '
                f'{figures.p95_s * 1000:7.1f}'
            )
            if writes_per_s > limit_per_s:
                yield (
                    f'programs: {writes_per_s:.1f} writes/s over {limit_per_s}'
                )
            default = CommitLimits().window_s * 1000
            if window_ms <= default and figures.p50_s > ADDED_P50_LIMIT_S:
                yield f'programs: {figures.p50_s:.3f} s added by durability'


def measure_takeovers() -> Iterator[str]:
    """Print the round trips of a takeover and yield the missed bounds."""
    print('programs: takeover, by turns of history')
    print('turns  reads  writes  ms near  ms across the region link')
    for turns in (1, 12, LARGEST_TURNS):
        history = create_history(Random(SEED), 'd.p', turns)
        row = ProgramRow(
            history.program_id,
            ORGANISATION_ID,
            TemplateName('quote'),
            Epoch(1),
            Incarnation('old'),
            0.0,
        )
        rows = [Row(row_key(row.program_id), encode_row(row), 1)]
        rows.extend(
            Row(turn_key(row.program_id, t.number), encode_record(t), 1)
            for t in history.turns
        )
        reads, writes, opened = take_over(history.program_id, tuple(rows))
        near_ms = (reads + writes) * DOMAIN_ROUND_TRIP_S * 1000
        far_ms = (reads + writes) * REGION_ROUND_TRIP_S * 1000
        print(f'{turns:5} {reads:6} {writes:7} {near_ms:8.1f} {far_ms:10.1f}')
        if not opened or reads + writes > 2:
            yield f'programs: takeover of {turns} turns in {reads + writes}'


def take_over(
    program_id: ProgramId, rows: tuple[Row, ...]
) -> tuple[int, int, bool]:
    """Return the reads and writes of a takeover and whether it succeeded."""
    opening = Opening(program_id, Incarnation('new'))
    step: object = opening.start()
    reads = writes = 0
    while True:
        match step:
            case ev.ReadProgram():
                reads += 1
                step = opening.on(ev.ProgramRead(rows, 0.0))
            case ev.Claim():
                writes += 1
                step = opening.on(ev.ClaimAnswered(Committed(2), 0.0))
            case _:
                return reads, writes, isinstance(step, ProgramOpened)


def measure_tails() -> Iterator[str]:
    """Print the bytes of sealed tails and yield the missed bounds."""
    print('programs: bytes of sealed tails, outage from the given turn on')
    print('outage after turn  first tail  later tails  plain turn')
    plain_bytes = MESSAGE_BYTES + ANSWER_BYTES
    for durable_turns in (0, 6, 20):
        history = create_history(Random(SEED), 'd.p', durable_turns + 6)
        row = ProgramRow(
            history.program_id,
            ORGANISATION_ID,
            TemplateName('quote'),
            Epoch(1),
            Incarnation('old'),
            0.0,
        )
        tail_sizes = []
        for number in range(durable_turns + 1, durable_turns + 7):
            is_first = number == durable_turns + 1
            whole_bytes = (256 << 10) if is_first else 0
            tail = make_tail(
                history.up_to(number), row, number - 1, whole_bytes
            )
            nonce = number.to_bytes(12, 'big')
            sealed = seal(
                SEAL_KEY, nonce, ORGANISATION_ID, history.program_id, tail
            )
            tail_sizes.append(len(sealed))
        max_later_bytes = max(tail_sizes[1:])
        print(
            f'{durable_turns:17} {tail_sizes[0]:11} {max_later_bytes:12}'
            f' {plain_bytes:11}'
        )
        if max_later_bytes > plain_bytes:
            yield (
                f'programs: a tail of {max_later_bytes} bytes'
                f' for {plain_bytes} of text'
            )


def measure_region_bytes() -> Iterator[str]:
    """Print the bytes sent over the region link and yield missed bounds."""
    print('programs: request bytes over the region link, largest program')
    print('turn  history held here  history sent again')
    part_bytes = LARGEST_TOKENS * BYTES_PER_TOKEN // LARGEST_TURNS
    random = Random(SEED)
    history = create_history(
        random, 'd.p', LARGEST_TURNS, part_bytes // 2, part_bytes // 2
    )
    held_bytes_by_turn = []
    sent_bytes_by_turn = []
    for turn in history.turns:
        held_bytes = measure_request_bytes(turn.number, [turn.request])
        earlier_turns = history.turns[: turn.number - 1]
        earlier_parts = [
            part for t in earlier_turns for part in (t.request, t.answer)
        ]
        sent_bytes = measure_request_bytes(
            turn.number, [*earlier_parts, turn.request]
        )
        held_bytes_by_turn.append(held_bytes)
        sent_bytes_by_turn.append(sent_bytes)
        if turn.number in (1, 2, 12, LARGEST_TURNS):
            print(f'{turn.number:4} {held_bytes:18} {sent_bytes:19}')
    print(f' all {sum(held_bytes_by_turn):18} {sum(sent_bytes_by_turn):19}')
    if max(held_bytes_by_turn) > 2 * held_bytes_by_turn[0]:
        yield 'programs: requests grow with the history'


def measure_request_bytes(number: int, contents: list[bytes]) -> int:
    """Return the bytes of the message that submits a call to a home."""
    messages = [{'role': 'user', 'content': c.decode()} for c in contents]
    request = CallRequest(
        'request',
        ORGANISATION_ID,
        ProgramId('d.p'),
        CallNumber(number),
        RouteName('mesh-model'),
        json.dumps({'model': 'mesh-model', 'messages': messages}).encode(),
        60.0,
    )
    name, body = encode(request)
    return len(name) + len(body)


def run() -> list[str]:
    """Print every table and return the missed bounds."""
    return [
        *measure_commits(),
        *measure_takeovers(),
        *measure_tails(),
        *measure_region_bytes(),
    ]
