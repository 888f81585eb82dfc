"""Replay recorded traces of a program and compare the outcomes.

The decision modules run on a simulated table in memory, without a network.
"""

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import msgspec
from result import Err
from result import Ok
from result import Result

import jackdawfield.decisions.home_events as ev
from jackdawfield.decisions.ordering import ArrivalId
from jackdawfield.decisions.programs import ProgramRow
from jackdawfield.decisions.tails import Tail
from jackdawfield.model import CallNumber
from jackdawfield.model import Epoch
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import Template
from jackdawfield.model import TemplateName
from jackdawfield.virtual import VirtualInstance
from jackdawfield.virtual import VirtualTable

ORGANISATION = OrganisationId('recorded')
PROGRAM = ProgramId('d.recorded')
TEMPLATE = Template(TemplateName('recorded'), 1_000_000, 52, 3600.0)


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True):
    """Holds the time of a step and its line in the trace."""

    at_s: float
    line: int = 0


class Begin(Step, frozen=True, tag='begin'):
    """Represents the start of the program on an instance."""

    instance: str = ''


class Call(Step, frozen=True, tag='call'):
    """Represents a call with the caller's tails and position.

    A tail holds sealed turns that are not durable yet; the position is the
    chain hash of the last turn. With forget, the call has neither.
    """

    instance: str = ''
    arrival: str = ''
    number: int = 0
    body: str = ''
    organisation: str = ORGANISATION
    forget: bool = False


class Finish(Step, frozen=True, tag='finish'):
    """Represents the end of the running call with a complete answer."""

    instance: str = ''
    number: int = 0
    answer: str = ''


class Fail(Step, frozen=True, tag='fail'):
    """Represents the end of the running call without a complete answer."""

    instance: str = ''
    number: int = 0


class Table(Step, frozen=True, tag='table'):
    """Represents a change of the faults that the table simulates."""

    down: bool = False
    lose_answers: int = 0


class Crash(Step, frozen=True, tag='crash'):
    """Represents the crash of an instance; its next step starts a new one."""

    instance: str = ''


class Expect(Step, frozen=True, tag='expect'):
    """Holds a call's expected outcome: durable, sealed, waiting, an error.

    A sealed answer comes with a tail, because its turn is not durable yet.
    """

    arrival: str = ''
    outcome: str = ''
    answer: str = ''


class ExpectHistory(Step, frozen=True, tag='expect_history'):
    """Holds the answers that the table is expected to store."""

    answers: tuple[str, ...] = ()


AnyStep = Begin | Call | Finish | Fail | Table | Crash | Expect | ExpectHistory


@dataclass(frozen=True, slots=True)
class ReplayError:
    """Reports a trace that cannot be read."""

    path: str
    line: int
    reason: str


@dataclass(frozen=True, slots=True)
class Difference:
    """Reports an outcome that differs from the expected one."""

    line: int
    expected: str
    found: str


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Holds the number of compared outcomes and the differences."""

    path: str
    compared: int
    differences: tuple[Difference, ...]

    @property
    def ok(self) -> bool:
        """Return whether outcomes were compared and all were as expected."""
        return self.compared > 0 and not self.differences


@dataclass(slots=True)
class Replay:
    """Holds the instances, the table and the caller's state of one trace."""

    table: VirtualTable = field(default_factory=VirtualTable)
    instances_by_name: dict[str, VirtualInstance] = field(default_factory=dict)
    outcomes_by_arrival: dict[str, tuple[str, str]] = field(
        default_factory=dict
    )
    tails: list[Tail] = field(default_factory=list)
    position: bytes | None = None
    started: int = 0
    compared: int = 0
    differences: list[Difference] = field(default_factory=list)

    def apply_step(self, step: AnyStep) -> None:
        """Apply one step of a trace."""
        for instance in self.instances_by_name.values():
            instance.advance(step.at_s)
        self._collect_outputs()
        match step:
            case Begin():
                self._begin(step)
            case Call():
                self._call(step)
            case Finish(at_s, _, name, number, answer):
                self.get_instance(name).finish(number, answer.encode(), at_s)
            case Fail(at_s, _, name, number):
                failed = ev.TurnFailed(CallNumber(number), at_s)
                self.get_instance(name).on(failed)
            case Table(_, _, down, lose_answers):
                self.table.down = down
                self.table.lose_answers = lose_answers
            case Crash(_, _, name):
                self.instances_by_name.pop(name, None)
            case Expect(_, line, arrival, outcome, answer):
                actual = self.outcomes_by_arrival.get(arrival, ('waiting', ''))
                self._compare(line, (outcome, answer), actual)
            case ExpectHistory(_, line, answers):
                turns = self.table.history(ORGANISATION, PROGRAM).turns
                stored = tuple(turn.answer.decode() for turn in turns)
                self._compare(line, answers, stored)
        self._collect_outputs()

    def get_instance(self, name: str) -> VirtualInstance:
        """Return an instance; start it if it is not running."""
        instance = self.instances_by_name.get(name)
        if instance is None:
            self.started += 1
            incarnation = Incarnation(f'{name}-{self.started}')
            instance = VirtualInstance(
                PROGRAM, incarnation, self.table, TEMPLATE
            )
            self.instances_by_name[name] = instance
        return instance

    def _begin(self, step: Begin) -> None:
        row = ProgramRow(
            PROGRAM,
            ORGANISATION,
            TEMPLATE.name,
            Epoch(1),
            Incarnation(''),
            step.at_s,
        )
        begin = ev.BeginRequested(ArrivalId('begin'), row, step.at_s)
        self.get_instance(step.instance).on(begin)

    def _call(self, step: Call) -> None:
        presented = ev.CallReceived(
            ArrivalId(step.arrival),
            OrganisationId(step.organisation),
            CallNumber(step.number),
            step.body.encode(),
            step.at_s,
            step.at_s,
            None if step.forget else self.position,
            () if step.forget else tuple(self.tails),
        )
        self.get_instance(step.instance).on(presented)

    def _collect_outputs(self) -> None:
        for instance in self.instances_by_name.values():
            for action in instance.take_outputs():
                self._record_outcome(action)

    def _record_outcome(self, action: ev.Action) -> None:
        match action:
            case ev.Answer(arrival_id, record, tail):
                outcome = 'durable' if tail is None else 'sealed'
                answer = record.answer.decode()
                self.outcomes_by_arrival[arrival_id] = (outcome, answer)
                self.position = record.chain
                self.tails = [] if tail is None else [*self.tails, tail]
            case ev.Refuse(arrival_id, error):
                name = type(error).__name__
                self.outcomes_by_arrival[arrival_id] = (name, '')

    def _compare(self, line: int, expected: object, actual: object) -> None:
        self.compared += 1
        if expected != actual:
            difference = Difference(line, str(expected), str(actual))
            self.differences.append(difference)


def replay(path: Path | str) -> Result[ReplayReport, ReplayError]:
    """Replay one trace and compare its outcomes with the expected ones."""
    try:
        lines = Path(path).read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return Err(ReplayError(str(path), 0, str(error)))
    state = Replay()
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            step = msgspec.json.decode(line, type=AnyStep)
        except msgspec.MsgspecError as error:
            return Err(ReplayError(str(path), number, str(error)))
        state.apply_step(msgspec.structs.replace(step, line=number))
    report = ReplayReport(str(path), state.compared, tuple(state.differences))
    return Ok(report)
