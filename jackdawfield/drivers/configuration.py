"""Read and commit the configuration through the table service."""

import asyncio
from collections.abc import Callable
import logging

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.commit import CommitAttempt
from jackdawfield.decisions.commit import Finished
from jackdawfield.decisions.commit import ReadFailed
from jackdawfield.decisions.commit import ReadRows
from jackdawfield.decisions.commit import RowsRead
from jackdawfield.decisions.commit import TransactionEnded
from jackdawfield.decisions.commit import Write
from jackdawfield.decisions.configuration import bucket_prefix
from jackdawfield.decisions.configuration import ChangeRecord
from jackdawfield.decisions.configuration import CommitError
from jackdawfield.decisions.configuration import decode_head
from jackdawfield.decisions.configuration import decode_record
from jackdawfield.decisions.configuration import decode_records
from jackdawfield.decisions.configuration import encode_record
from jackdawfield.decisions.configuration import Head
from jackdawfield.decisions.configuration import HEAD_KEY
from jackdawfield.decisions.configuration import is_snapshot_due
from jackdawfield.decisions.configuration import Proposal
from jackdawfield.decisions.configuration import read_snapshot
from jackdawfield.decisions.configuration import snapshot_transactions
from jackdawfield.decisions.follower import Action
from jackdawfield.decisions.follower import Applied
from jackdawfield.decisions.follower import ChangesReceived
from jackdawfield.decisions.follower import Event
from jackdawfield.decisions.follower import Follower
from jackdawfield.decisions.follower import HeadReceived
from jackdawfield.decisions.follower import ReadPrefix
from jackdawfield.decisions.follower import ReadRow
from jackdawfield.decisions.follower import ReadSnapshot
from jackdawfield.decisions.follower import SnapshotIncomplete
from jackdawfield.decisions.follower import SnapshotReceived
from jackdawfield.decisions.follower import Unreadable
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Row
from jackdawfield.drivers.platform import TableClient
from jackdawfield.logs import log_event
from jackdawfield.model import Configuration
from jackdawfield.model import Version

LOG = logging.getLogger(__name__)

Listener = Callable[[Configuration, Configuration], None]


class ConfigurationStore:
    """Holds the configuration in force here and commits changes to it."""

    def __init__(self, table: TableClient) -> None:
        self._table = table
        self._follower = Follower()
        self._catch_up_lock = asyncio.Lock()
        self._listeners: list[Listener] = []

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self._follower.configuration

    @property
    def version(self) -> Version:
        """Return the version in force here."""
        return self._follower.configuration.version

    def add_listener(self, listener: Listener) -> None:
        """Call a listener with the old and new configuration on a change."""
        self._listeners.append(listener)

    def apply_rows(self, change_rows: tuple[bytes, ...]) -> None:
        """Apply change rows from a peer; ignore all if one is unreadable."""
        try:
            records = tuple(decode_record(row) for row in change_rows)
        except msgspec.MsgspecError as error:
            log_event(LOG, 'change_rows_unreadable', reason=error)
            return
        self._handle(ChangesReceived(records))

    def rows_since(self, version: int) -> tuple[bytes, ...]:
        """Return the change rows after a version; none if not all are kept."""
        records = self._follower.changes_since(version) or ()
        return tuple(encode_record(record) for record in records)

    async def catch_up(self, head: Head) -> bool:
        """Read and apply changes up to a head; return whether none is missing.

        Each action is performed once, so that the loop ends if rows cannot be
        read.
        """
        async with self._catch_up_lock:
            pending = list(self._handle(HeadReceived(head)))
            done_actions: set[Action] = set()
            while pending:
                action = pending.pop(0)
                if isinstance(action, Applied) or action in done_actions:
                    continue
                done_actions.add(action)
                event = await self._perform(action)
                if event is not None:
                    pending.extend(self._handle(event))
            return not self._follower.is_behind()

    async def read_head(self) -> Result[Row | None, str]:
        """Read the head's row; None if there is none yet."""
        return await self._read_row(HEAD_KEY)

    async def commit(
        self, proposal: Proposal, extra_conditions: tuple[Condition, ...]
    ) -> Result[Version, CommitError]:
        """Commit a change at most once and return its version."""
        attempt = CommitAttempt(proposal, extra_conditions)
        action = attempt.start()
        while True:
            match action:
                case ReadRows(head_key, change_id_key):
                    event = await self._read_rows(head_key, change_id_key)
                    action = attempt.on(event)
                case Write(transaction):
                    outcome = await self._table.transact(transaction)
                    action = attempt.on(TransactionEnded(outcome))
                case Finished(result):
                    return result

    async def write_due_snapshot(self) -> None:
        """Write a snapshot if one is due at the head."""
        if not is_snapshot_due(self._follower.head):
            return
        match await self.read_head():
            case Ok(Row() as row) if is_snapshot_due(decode_head(row)):
                pass
            case _:
                return
        if not await self.catch_up(decode_head(row)):
            return
        for transaction in snapshot_transactions(self.configuration, row):
            outcome = await self._table.transact(transaction)
            if not isinstance(outcome, Committed):
                log_event(LOG, 'snapshot_unwritten', reason=outcome)
                return
        log_event(LOG, 'snapshot', version=self.version)

    async def history(self) -> Result[tuple[ChangeRecord, ...], str]:
        """Read the newest changes, oldest first."""
        rows: list[Row] = []
        newest = self._follower.head.version
        # A bucket has more than 50 versions, so these cover the newest 50.
        prefixes = {bucket_prefix(newest), bucket_prefix(max(0, newest - 50))}
        for prefix in sorted(prefixes):
            match await self._table.read_prefix(prefix):
                case Ok(answer):
                    rows.extend(answer.rows)
                case Err(error):
                    return Err(str(error))
        return Ok(decode_records(tuple(rows)))

    def _handle(self, event: Event) -> tuple[Action, ...]:
        before = self._follower.configuration
        actions = self._follower.on(event)
        after = self._follower.configuration
        if after is not before:
            log_event(LOG, 'configuration', version=after.version)
            for listener in self._listeners:
                listener(before, after)
        return actions

    async def _read_row(self, key: str) -> Result[Row | None, str]:
        match await self._table.read(key):
            case Ok(answer):
                return Ok(answer.rows[0] if answer.rows else None)
            case Err(error):
                return Err(str(error))

    async def _read_rows(
        self, head_key: str, change_id_key: str
    ) -> RowsRead | ReadFailed:
        head_row = await self._read_row(head_key)
        if isinstance(head_row, Err):
            return ReadFailed()
        change_id_row = await self._read_row(change_id_key)
        if isinstance(change_id_row, Err):
            return ReadFailed()
        await self.catch_up(decode_head(head_row.ok_value))
        return RowsRead(
            head_row.ok_value, change_id_row.ok_value, self.configuration
        )

    async def _perform(self, action: Action) -> Event | None:
        match action:
            case ReadRow(key):
                result = await self._table.read(key)
            case ReadPrefix(prefix) | ReadSnapshot(prefix):
                result = await self._table.read_prefix(prefix)
            case Unreadable(version):
                log_event(LOG, 'change_unreadable', version=version)
                return None
            case Applied():
                return None
        if isinstance(result, Err):
            log_event(LOG, 'changes_unread', reason=result.err_value)
            return None
        rows = result.ok_value.rows
        if not isinstance(action, ReadSnapshot):
            return ChangesReceived(decode_records(rows))
        snapshot = read_snapshot(rows, action.head)
        return SnapshotReceived(snapshot) if snapshot else SnapshotIncomplete()
