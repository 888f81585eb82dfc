"""Replays recorded programs through the decisions and compares outcomes."""

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
    """Holds what every step of a trace has."""

    at_s: float
    line: int = 0


class Begin(Step, frozen=True, tag='begin'):
    """Begins the program at an instance."""

    instance: str = ''


class Call(Step, frozen=True, tag='call'):
    """Presents a call with the tails and position of the caller."""

    instance: str = ''
    arrival: str = ''
    number: int = 0
    body: str = ''
    organisation: str = ORGANISATION
    forget: bool = False


class Finish(Step, frozen=True, tag='finish'):
    """Ends the running call with a whole answer."""

    instance: str = ''
    number: int = 0
    answer: str = ''


class Fail(Step, frozen=True, tag='fail'):
    """Ends the running call without a whole answer."""

    instance: str = ''
    number: int = 0


class Table(Step, frozen=True, tag='table'):
    """Sets the faults of the table."""

    down: bool = False
    lose_answers: int = 0


class Crash(Step, frozen=True, tag='crash'):
    """Ends an instance; its next step starts a new one."""

    instance: str = ''


class Expect(Step, frozen=True, tag='expect'):
    """States how a call ended: durable, sealed, waiting or an error."""

    arrival: str = ''
    outcome: str = ''
    answer: str = ''


class ExpectHistory(Step, frozen=True, tag='expect_history'):
    """States the answers that the table holds."""

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
    """Reports an outcome that is not the stated one."""

    line: int
    expected: str
    found: str


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Holds how many outcomes were compared and which differed."""

    path: str
    compared: int
    differences: tuple[Difference, ...]

    @property
    def ok(self) -> bool:
        """Return whether every outcome was as stated."""
        return self.compared > 0 and not self.differences


@dataclass(slots=True)
class Replay:
    """Holds the instances, the table and the caller of one trace."""

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

    def run(self, step: AnyStep) -> None:
        """Apply one step of a trace."""
        for instance in self.instances_by_name.values():
            instance.advance(step.at_s)
        self._hear()
        match step:
            case Begin():
                self._begin(step)
            case Call():
                self._call(step)
            case Finish(at_s, _, name, number, answer):
                self.instance(name).finish(number, answer.encode(), at_s)
            case Fail(at_s, _, name, number):
                failed = ev.TurnFailed(CallNumber(number), at_s)
                self.instance(name).on(failed)
            case Table(_, _, down, lose_answers):
                self.table.down = down
                self.table.lose_answers = lose_answers
            case Crash(_, _, name):
                self.instances_by_name.pop(name, None)
            case Expect(_, line, arrival, outcome, answer):
                found = self.outcomes_by_arrival.get(arrival, ('waiting', ''))
                self._compare(line, (outcome, answer), found)
            case ExpectHistory(_, line, answers):
                turns = self.table.history(ORGANISATION, PROGRAM).turns
                held = tuple(turn.answer.decode() for turn in turns)
                self._compare(line, answers, held)
        self._hear()

    def instance(self, name: str) -> VirtualInstance:
        """Return an instance, started if it is not there."""
        found = self.instances_by_name.get(name)
        if found is None:
            self.started += 1
            incarnation = Incarnation(f'{name}-{self.started}')
            found = VirtualInstance(PROGRAM, incarnation, self.table, TEMPLATE)
            self.instances_by_name[name] = found
        return found

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
        self.instance(step.instance).on(begin)

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
        self.instance(step.instance).on(presented)

    def _hear(self) -> None:
        for instance in self.instances_by_name.values():
            for action in instance.take_outputs():
                self._output(action)

    def _output(self, action: ev.Action) -> None:
        match action:
            case ev.Answer(arrival_id, record, tail):
                kind = 'durable' if tail is None else 'sealed'
                answer = record.answer.decode()
                self.outcomes_by_arrival[arrival_id] = (kind, answer)
                self.position = record.chain
                self.tails = [] if tail is None else [*self.tails, tail]
            case ev.Refuse(arrival_id, error):
                name = type(error).__name__
                self.outcomes_by_arrival[arrival_id] = (name, '')

    def _compare(self, line: int, expected: object, found: object) -> None:
        self.compared += 1
        if expected != found:
            difference = Difference(line, str(expected), str(found))
            self.differences.append(difference)


def replay(path: Path | str) -> Result[ReplayReport, ReplayError]:
    """Replay one trace and compare its outcomes with the stated ones."""
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
        state.run(msgspec.structs.replace(step, line=number))
    report = ReplayReport(str(path), state.compared, tuple(state.differences))
    return Ok(report)
