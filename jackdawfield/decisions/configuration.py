"""Define the table rows and transactions of the configuration's versions.

A bucket here is a range of CHANGES_PER_BUCKET versions, whose change rows
share a key prefix, so that they can be read at once.
"""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.changes import apply_change
from jackdawfield.decisions.changes import Change
from jackdawfield.decisions.changes import ChangeError
from jackdawfield.decisions.changes import GiveKey
from jackdawfield.decisions.changes import PutOrganisation
from jackdawfield.decisions.changes import PutRoute
from jackdawfield.decisions.changes import PutTemplate
from jackdawfield.decisions.changes import RemoveOrganisation
from jackdawfield.decisions.changes import SetParameters
from jackdawfield.decisions.changes import WithdrawKey
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.model import ChangeId
from jackdawfield.model import Configuration
from jackdawfield.model import Version

HEAD_KEY = 'head/configuration'
CHANGES_PER_BUCKET = 64
SNAPSHOT_INTERVAL_CHANGES = 256
SNAPSHOT_PART_BYTES = 65_536

CHANGES_BY_NAME: dict[str, type] = {
    cls.__name__: cls
    for cls in (
        PutOrganisation,
        RemoveOrganisation,
        PutTemplate,
        PutRoute,
        SetParameters,
        GiveKey,
        WithdrawKey,
    )
}


@dataclass(frozen=True, slots=True)
class Head:
    """Refers to the newest change and the newest complete snapshot."""

    version: Version = Version(0)
    change_id: ChangeId = ChangeId('')
    snapshot_version: Version = Version(0)
    snapshot_parts: int = 0


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Holds one committed change as stored in its row of the table."""

    version: Version
    change_id: ChangeId
    operator: str
    at: str
    name: str
    body: msgspec.Raw

    def change(self) -> Change:
        """Return the change; msgspec.MsgspecError if it cannot be read."""
        return msgspec.json.decode(self.body, type=CHANGES_BY_NAME[self.name])


@dataclass(frozen=True, slots=True)
class Proposal:
    """Holds an operator's change and the version that it is based on."""

    change_id: ChangeId
    seen_version: Version
    operator: str
    at: str
    change: Change


class CommitFault(Enum):
    """Lists the reasons why a change was not committed."""

    INVALID = 'invalid'
    VERSION_CONFLICT = 'another change came first'
    CHANGE_ID_TAKEN = 'the change id stands for another change'
    UNAVAILABLE = 'the table is away; nothing was written'
    UNSETTLED = 'the outcome is not known yet; repeat under the same id'


@dataclass(frozen=True, slots=True)
class CommitError:
    """Reports why a change is not known to be committed."""

    fault: CommitFault
    version: Version
    cause: ChangeError | None = None


def change_key(version: int) -> str:
    """Return the key of a change's row, grouped for reads by prefix."""
    return f'{bucket_prefix(version)}{version:012d}'


def bucket_prefix(version: int) -> str:
    """Return the key prefix of the bucket with a version's row."""
    return f'configuration/change/{version // CHANGES_PER_BUCKET:010d}/'


def change_id_key(change_id: ChangeId) -> str:
    """Return the key of the row that makes a change id unique."""
    return f'configuration/id/{change_id}'


def encode_record(record: ChangeRecord) -> bytes:
    """Return a change's row as JSON."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> ChangeRecord:
    """Return a change from its row."""
    return msgspec.json.decode(value, type=ChangeRecord)


def decode_head(row: Row | None) -> Head:
    """Return the head from its row, version 0 without one."""
    if row is None or row.revision == 0:
        return Head()
    return msgspec.json.decode(row.value, type=Head)


def record_from_proposal(proposal: Proposal) -> ChangeRecord:
    """Return the record of a proposal, one version after its base."""
    return ChangeRecord(
        version=Version(proposal.seen_version + 1),
        change_id=proposal.change_id,
        operator=proposal.operator,
        at=proposal.at,
        name=type(proposal.change).__name__,
        body=msgspec.Raw(msgspec.json.encode(proposal.change)),
    )


def commit_transaction(
    configuration: Configuration,
    head_row: Row | None,
    proposal: Proposal,
    extra_conditions: tuple[Condition, ...] = (),
) -> Result[Transaction, CommitError]:
    """Return the transaction that commits a change on its base version.

    The error is VERSION_CONFLICT if the head has another version, UNAVAILABLE
    if `configuration` is not at the head, INVALID if the change is not valid.
    """
    head = decode_head(head_row)
    if head.version != proposal.seen_version:
        return Err(CommitError(CommitFault.VERSION_CONFLICT, head.version))
    if configuration.version != head.version:
        return Err(CommitError(CommitFault.UNAVAILABLE, head.version))
    applied = apply_change(configuration, proposal.change)
    if isinstance(applied, Err):
        cause = applied.err_value
        return Err(CommitError(CommitFault.INVALID, head.version, cause))
    record = record_from_proposal(proposal)
    next_head = replace(
        head, version=record.version, change_id=record.change_id
    )
    row = encode_record(record)
    return Ok(
        Transaction(
            conditions=(
                Condition(HEAD_KEY, head_row.revision if head_row else 0),
                Condition(change_key(record.version), 0),
                Condition(change_id_key(record.change_id), 0),
                *extra_conditions,
            ),
            writes=(
                Put(HEAD_KEY, msgspec.json.encode(next_head)),
                Put(change_key(record.version), row),
                Put(change_id_key(record.change_id), row),
            ),
        )
    )


def committed_version(
    proposal: Proposal, row: Row
) -> Result[Version, CommitError]:
    """Return the version at which a change was committed under its id.

    The error is CHANGE_ID_TAKEN if the id belongs to another change.
    """
    record = decode_record(row.value)
    expected = record_from_proposal(proposal)
    if (record.name, record.body) != (expected.name, expected.body):
        return Err(CommitError(CommitFault.CHANGE_ID_TAKEN, record.version))
    return Ok(record.version)


def fence_transaction(head_row: Row | None) -> Transaction:
    """Return a rewrite of the head that makes a delayed commit fail.

    It changes the head's revision, on which the commit is conditional.
    """
    revision = head_row.revision if head_row else 0
    value = msgspec.json.encode(decode_head(head_row))
    return Transaction(
        (Condition(HEAD_KEY, revision),), (Put(HEAD_KEY, value),)
    )


def is_snapshot_due(head: Head) -> bool:
    """Return whether enough changes follow the newest snapshot for another."""
    return head.version - head.snapshot_version >= SNAPSHOT_INTERVAL_CHANGES


def snapshot_prefix(version: int) -> str:
    """Return the prefix of a snapshot's parts."""
    return f'configuration/snapshot/{version:012d}/'


def snapshot_transactions(
    configuration: Configuration, head_row: Row
) -> tuple[Transaction, ...]:
    """Return the writes of a snapshot's parts and, last, of the head."""
    head = decode_head(head_row)
    body = msgspec.json.encode(configuration)
    prefix = snapshot_prefix(configuration.version)
    parts = [
        body[start : start + SNAPSHOT_PART_BYTES]
        for start in range(0, len(body), SNAPSHOT_PART_BYTES)
    ]
    next_head = replace(
        head,
        snapshot_version=configuration.version,
        snapshot_parts=len(parts),
    )
    writes = tuple(
        Transaction((), (Put(f'{prefix}{number:04d}', part),))
        for number, part in enumerate(parts)
    )
    finish = Transaction(
        (Condition(HEAD_KEY, head_row.revision),),
        (Put(HEAD_KEY, msgspec.json.encode(next_head)),),
    )
    return (*writes, finish)


def read_snapshot(rows: tuple[Row, ...], head: Head) -> Configuration | None:
    """Return a snapshot from its parts, None if it is not complete."""
    if len(rows) != head.snapshot_parts:
        return None
    body = b''.join(row.value for row in sorted(rows, key=lambda r: r.key))
    try:
        return msgspec.json.decode(body, type=Configuration)
    except msgspec.MsgspecError:
        return None


def decode_records(rows: tuple[Row, ...]) -> tuple[ChangeRecord, ...]:
    """Return the changes of a range of rows in the order of versions."""
    records = (decode_record(row.value) for row in rows)
    return tuple(sorted(records, key=lambda record: record.version))
