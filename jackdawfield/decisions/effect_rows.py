"""Define the table rows of effects and their settlement by operators.

An effect is a call that may not be repeated. Its row records whether it ran,
so that no instance runs it again. An operator settles an effect of unknown
outcome by a verdict that it ran or did not run.
"""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.model import CallNumber
from jackdawfield.model import EffectId
from jackdawfield.model import Incarnation
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId

EFFECT_PREFIX = 'effect/'


class RowState(Enum):
    """Lists the states of an effect's row."""

    OPEN = 'open'
    RAN = 'ran'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class EffectKey:
    """Identifies one call that may not be repeated."""

    organisation_id: OrganisationId
    program_id: ProgramId
    call_number: CallNumber

    @property
    def row_key(self) -> str:
        """Return the key of the effect's row."""
        prefix = program_prefix(self.organisation_id, self.program_id)
        return f'{prefix}{self.call_number:08d}'


@dataclass(frozen=True, slots=True)
class EffectRow:
    """Holds the stored value of one effect's row."""

    attempt_id: str
    dispatcher: Incarnation
    request_sha256: str
    route_name: str = ''
    opened_at_s: float = 0.0
    state: RowState = RowState.OPEN
    outcome: bytes = b''
    settled_by: str = ''


@dataclass(frozen=True, slots=True)
class NotSettleable:
    """Reports that an effect has a certain outcome or is still running."""

    state: RowState


@dataclass(frozen=True, slots=True)
class RowMalformed:
    """Reports a row that cannot be decoded as an effect."""

    key: str


def program_prefix(
    organisation_id: OrganisationId, program_id: ProgramId
) -> str:
    """Return the prefix of all effect rows of one program."""
    return f'{EFFECT_PREFIX}{organisation_id}/{program_id}/'


def effect_id(row_key: str) -> EffectId:
    """Return the id by which operators refer to the effect of a row."""
    return EffectId(row_key.removeprefix(EFFECT_PREFIX).replace('/', ':'))


def row_key(effect: EffectId) -> str:
    """Return the key of the row of an effect."""
    return EFFECT_PREFIX + effect.replace(':', '/')


def encode_effect(row: EffectRow) -> bytes:
    """Return the encoded value of an effect's row."""
    return msgspec.msgpack.encode(row)


def decode_effect(row: Row) -> Result[EffectRow, RowMalformed]:
    """Return the effect that a table row holds, or RowMalformed."""
    try:
        return Ok(msgspec.msgpack.decode(row.value, type=EffectRow))
    except msgspec.MsgspecError:
        return Err(RowMalformed(row.key))


def overwrite_transaction(
    key: str, revision: int, value: EffectRow
) -> Transaction:
    """Return the write of a row on condition of its revision."""
    return Transaction(
        conditions=(Condition(key, revision),),
        writes=(Put(key, encode_effect(value)),),
    )


def settleable_rows(
    rows: tuple[Row, ...], gone: frozenset[Incarnation]
) -> tuple[Row, ...]:
    """Return the rows that an operator may settle, in the given order.

    Dispatchers in `gone` can no longer run their effects.
    """
    return tuple(row for row in rows if _is_settleable(row, gone))


def settle_transaction(
    row: Row,
    verdict: RowState,
    operator: str,
    gone: frozenset[Incarnation],
    outcome: bytes = b'',
) -> Result[Transaction, NotSettleable | RowMalformed]:
    """Return the write that settles an unknown effect as RAN or NOT_RUN."""
    decoded = decode_effect(row)
    if isinstance(decoded, Err):
        return decoded
    effect = decoded.ok_value
    if not _is_settleable(row, gone):
        return Err(NotSettleable(effect.state))
    settled = replace(
        effect, state=verdict, outcome=outcome, settled_by=operator
    )
    return Ok(overwrite_transaction(row.key, row.revision, settled))


def _is_settleable(row: Row, gone: frozenset[Incarnation]) -> bool:
    decoded = decode_effect(row)
    if isinstance(decoded, Err):
        return False
    effect = decoded.ok_value
    if effect.state is RowState.UNKNOWN:
        return True
    return effect.state is RowState.OPEN and effect.dispatcher in gone
