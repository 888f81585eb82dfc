"""Define the ids, rows, states, limits and homes of programs.

The home of a program is the instance that owns it: it runs the program's
calls in order and is the only one that writes its rows.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield import charts
from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.placement import owner_in_domain
from jackdawfield.model import DomainId
from jackdawfield.model import Epoch
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import Member
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import Template
from jackdawfield.model import TemplateName


class ProgramState(Enum):
    """Represents the state of a program at its home."""

    NEW = 'new'
    RUNNING = 'running'
    PAUSED = 'paused'
    ENDING = 'ending'
    ENDED = 'ended'
    MOVED = 'moved'


class ProgramEvent(Enum):
    """Represents an event of the program chart.

    TURN_DURABLE is fired for each answered turn, also for one whose commit
    is overdue, and for one of an adopted program, which is not committed.
    """

    CALL = 'call'
    TURN_DURABLE = 'turn_durable'
    CALL_FAILED = 'call_failed'
    END = 'end'
    RELEASED = 'released'
    FENCED = 'fenced'


PROGRAM_CHART = charts.load('program', ProgramState, ProgramEvent)


class EndReason(Enum):
    """Represents the reason for which a program ended."""

    REQUESTED = 'said'
    TURN_LIMIT = 'turn limit'
    DEADLINE = 'deadline'
    IDLE = 'idle'
    BUDGET = 'budget'
    KEY_WITHDRAWN = 'key withdrawn'


@dataclass(frozen=True, slots=True)
class Segment:
    """Represents consecutive turns that were moved to the object store.

    The chain is the chain hash after the last turn.
    """

    object_key: str
    first_turn: int
    last_turn: int
    chain: bytes


@dataclass(frozen=True, slots=True)
class ProgramRow:
    """Represents the table row of a program, without its turns.

    The epoch grows by 1 each time the program gets a new home.
    """

    program_id: ProgramId
    organisation_id: OrganisationId
    template_name: TemplateName
    epoch: Epoch
    home: Incarnation
    started_unix_s: float
    state: ProgramState = ProgramState.PAUSED
    end_reason: EndReason | None = None
    parent_id: ProgramId | None = None
    segments: tuple[Segment, ...] = ()

    @property
    def segment_turns(self) -> int:
        """Return the number of turns that the segments hold."""
        return self.segments[-1].last_turn if self.segments else 0


@dataclass(frozen=True, slots=True)
class ForeignProgram:
    """Refuses a call of an organisation that does not own the program."""


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """Refuses a call of a program that has ended."""

    reason: EndReason


@dataclass(frozen=True, slots=True)
class UnknownProgram:
    """Refuses a call of a program that does not exist."""


@dataclass(frozen=True, slots=True)
class InvalidProgramId:
    """Refuses a program id from which no failure domain can be read."""


@dataclass(frozen=True, slots=True)
class InvalidRow:
    """Reports a row that cannot be decoded or is another program's."""

    reason: str


ProgramError = ForeignProgram | ProgramEnded | UnknownProgram


def new_program_id(domain_id: DomainId, token: str) -> ProgramId:
    """Return the id of a program that begins in a failure domain."""
    return ProgramId(f'{domain_id}.{token}')


def parse_domain_id(
    program_id: ProgramId,
) -> Result[DomainId, InvalidProgramId]:
    """Return the failure domain in which a program began."""
    domain, dot, token = program_id.rpartition('.')
    if not (domain and dot and token) or '/' in program_id:
        return Err(InvalidProgramId())
    return Ok(DomainId(domain))


def find_home(
    program_id: ProgramId, members_by_id: Mapping[InstanceId, Member]
) -> InstanceId | None:
    """Return the instance that is a program's home, None if there is none.

    It is in the program's failure domain if that has an instance, else in
    any other one.
    """
    key = f'program:{program_id}'
    domain_id = parse_domain_id(program_id)
    if isinstance(domain_id, Err):
        return None
    in_domain = owner_in_domain(key, domain_id.ok_value, members_by_id)
    if in_domain is not None:
        return in_domain
    return choose_owner(
        key,
        (m.instance_id for m in members_by_id.values() if not m.leaving),
    )


def rows_prefix(program_id: ProgramId) -> str:
    """Return the key prefix of all rows of a program."""
    return f'program/{program_id}/'


def row_key(program_id: ProgramId) -> str:
    """Return the key of a program's row."""
    return f'{rows_prefix(program_id)}row'


def turn_key(program_id: ProgramId, number: int) -> str:
    """Return the key of the row of one turn."""
    return f'{rows_prefix(program_id)}turn/{number:06d}'


def encode_row(row: ProgramRow) -> bytes:
    """Encode a program row for the table."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes) -> Result[ProgramRow, InvalidRow]:
    """Decode a program row from its table value."""
    try:
        return Ok(msgspec.msgpack.decode(value, type=ProgramRow))
    except msgspec.MsgspecError as error:
        return Err(InvalidRow(str(error)))


def check_access(
    row: ProgramRow, organisation_id: OrganisationId
) -> Result[None, ProgramError]:
    """Check that an organisation owns the program."""
    if row.organisation_id != organisation_id:
        return Err(ForeignProgram())
    return Ok(None)


def check_open(row: ProgramRow) -> Result[None, ProgramError]:
    """Check that a program has not ended."""
    if row.end_reason is not None:
        return Err(ProgramEnded(row.end_reason))
    return Ok(None)


def find_end_reason(
    row: ProgramRow,
    template: Template,
    turns: int,
    last_active_unix_s: float,
    now_unix_s: float,
) -> EndReason | None:
    """Return the limit that ends the program now, None without one."""
    if row.end_reason is not None:
        return None
    if turns >= template.turn_limit:
        return EndReason.TURN_LIMIT
    if now_unix_s - row.started_unix_s >= template.deadline_s:
        return EndReason.DEADLINE
    if now_unix_s - last_active_unix_s >= template.idle_limit_s:
        return EndReason.IDLE
    return None


def end_row(row: ProgramRow, reason: EndReason) -> ProgramRow:
    """Return the row of a program that is ending and takes no new calls."""
    return replace(row, state=ProgramState.ENDING, end_reason=reason)


def claim_row(row: ProgramRow, incarnation: Incarnation) -> ProgramRow:
    """Return the row under the next epoch with another home."""
    return replace(row, epoch=Epoch(row.epoch + 1), home=incarnation)
