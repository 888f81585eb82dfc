"""Advance an instance's configuration to the head, never backwards."""

from dataclasses import dataclass
from dataclasses import replace

import msgspec
from result import Err

from jackdawfield.decisions.changes import apply_change
from jackdawfield.decisions.configuration import bucket_prefix
from jackdawfield.decisions.configuration import change_key
from jackdawfield.decisions.configuration import ChangeRecord
from jackdawfield.decisions.configuration import Head
from jackdawfield.decisions.configuration import snapshot_prefix
from jackdawfield.model import Configuration
from jackdawfield.model import Version

RETAINED_CHANGES = 128
MAX_SINGLE_READS = 4


@dataclass(frozen=True, slots=True)
class HeadReceived:
    """Reports the head as read from the table or received from a peer."""

    head: Head


@dataclass(frozen=True, slots=True)
class ChangesReceived:
    """Reports change rows, in any order and possibly with gaps."""

    records: tuple[ChangeRecord, ...]


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """Reports a complete configuration read from a snapshot."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class SnapshotIncomplete:
    """Reports that the snapshot at the head is not complete."""


Event = HeadReceived | ChangesReceived | SnapshotReceived | SnapshotIncomplete


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Requests a read of one change row."""

    key: str


@dataclass(frozen=True, slots=True)
class ReadPrefix:
    """Requests a read of the change rows of a bucket."""

    prefix: str


@dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Requests a read of a snapshot's parts."""

    prefix: str
    head: Head


@dataclass(frozen=True, slots=True)
class Applied:
    """Reports that a higher version is now in force in this instance."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Reports a change row that this instance cannot apply."""

    version: Version


Action = ReadRow | ReadPrefix | ReadSnapshot | Applied | Unreadable


class Follower:
    """Applies changes strictly in the order of their versions."""

    def __init__(
        self,
        configuration: Configuration = Configuration(),  # noqa: B008
    ) -> None:
        """Start from a configuration, by default the empty one."""
        self.configuration = configuration
        self.head = Head()
        self._buffered_by_version: dict[int, ChangeRecord] = {}
        self._applied_by_version: dict[int, ChangeRecord] = {}

    def on(self, event: Event) -> tuple[Action, ...]:
        """Return the reads to make or the reports after an event."""
        before = self.configuration.version
        match event:
            case HeadReceived(head):
                self._advance_head(head)
            case ChangesReceived(records):
                self._buffer(records)
            case SnapshotReceived(configuration):
                self._install_snapshot(configuration)
            case SnapshotIncomplete():
                self.head = replace(self.head, snapshot_version=Version(0))
        unreadable = self._apply_buffered()
        if unreadable is not None:
            return (unreadable,)
        has_advanced = self.configuration.version > before
        report = (Applied(self.configuration),) if has_advanced else ()
        return report + self._missing_reads()

    def is_behind(self) -> bool:
        """Return whether the version in force is lower than the head's."""
        return self.configuration.version < self.head.version

    def changes_since(self, version: int) -> tuple[ChangeRecord, ...] | None:
        """Return the changes after a version, None if not all are retained."""
        versions = range(version + 1, self.configuration.version + 1)
        if any(number not in self._applied_by_version for number in versions):
            return None
        return tuple(self._applied_by_version[number] for number in versions)

    def _advance_head(self, head: Head) -> None:
        if head.version < self.head.version:
            return
        if head.snapshot_version < self.head.snapshot_version:
            return
        self.head = head

    def _buffer(self, records: tuple[ChangeRecord, ...]) -> None:
        for record in records:
            if record.version > self.configuration.version:
                self._buffered_by_version[record.version] = record

    def _install_snapshot(self, configuration: Configuration) -> None:
        if configuration.version > self.configuration.version:
            self.configuration = configuration

    def _apply_buffered(self) -> Unreadable | None:
        while True:
            version = self.configuration.version + 1
            record = self._buffered_by_version.pop(version, None)
            if record is None:
                return None
            try:
                applied = apply_change(self.configuration, record.change())
            except (msgspec.MsgspecError, KeyError):
                return Unreadable(record.version)
            if isinstance(applied, Err):
                return Unreadable(record.version)
            self.configuration = applied.ok_value
            self._record_applied(record)

    def _record_applied(self, record: ChangeRecord) -> None:
        self._applied_by_version[record.version] = record
        self._applied_by_version.pop(record.version - RETAINED_CHANGES, None)
        if record.version > self.head.version:
            self.head = replace(
                self.head, version=record.version, change_id=record.change_id
            )

    def _missing_reads(self) -> tuple[Action, ...]:
        version = self.configuration.version
        if version >= self.head.version:
            return ()
        if version < self.head.snapshot_version:
            prefix = snapshot_prefix(self.head.snapshot_version)
            return (ReadSnapshot(prefix, self.head),)
        versions = range(version + 1, self.head.version + 1)
        if len(versions) <= MAX_SINGLE_READS:
            return tuple(ReadRow(change_key(number)) for number in versions)
        prefixes = dict.fromkeys(bucket_prefix(number) for number in versions)
        return tuple(ReadPrefix(prefix) for prefix in prefixes)
