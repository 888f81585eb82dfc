"""Define the messages by which members share tables of the store."""

from dataclasses import dataclass

from jackdawfield.messages.base import message

# In place of a version, requests the whole table.
WHOLE_TABLE = -1


@message
@dataclass(frozen=True, slots=True)
class FollowTable:
    """Requests the rows of a table that changed after a version.

    Without any, the answer waits up to `wait_s`. `address` is that of the
    sender, to which failures of backend servers are reported meanwhile.
    """

    table: str
    after_version: int
    wait_s: float
    address: str
    # Rows that are read no more are wanted too, as the store is unavailable.
    any_age: bool = False


@message
@dataclass(frozen=True, slots=True)
class SharedRow:
    """Holds a row of a followed table; the value is None if it was removed."""

    key: str
    value: bytes | None
    version: int


@message
@dataclass(frozen=True, slots=True)
class TableRows:
    """Holds rows of a followed table up to a version.

    `age_s` is the time since the sender's last read of the table was sent,
    `held_s` the time from the request's arrival to this answer.
    """

    rows: tuple[SharedRow, ...]
    version: int
    age_s: float
    # Rows may be missing only because the store was unavailable.
    after_outage: bool
    held_s: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class ReadHeldRows:
    """Asks for the rows of a table that the store may have forgotten."""

    table: str


@message
@dataclass(frozen=True, slots=True)
class HeldRow:
    """Holds a row that is missing since an outage of the store.

    It counts as gone if it has not returned after `left_s`.
    """

    key: str
    value: bytes
    version: int
    left_s: float


@message
@dataclass(frozen=True, slots=True)
class HeldRows:
    """Answers a ReadHeldRows."""

    rows: tuple[HeldRow, ...]


@message
@dataclass(frozen=True, slots=True)
class MembersWritten:
    """Requests that a member reads the table of members, which has changed."""


@message
@dataclass(frozen=True, slots=True)
class MembersWrittenNoted:
    """Confirms a MembersWritten."""


@message
@dataclass(frozen=True, slots=True)
class TableNotFollowed:
    """Reports that the requested changes are not known."""

    reason: str
    # The table has to be requested as a whole.
    history_gone: bool = False
