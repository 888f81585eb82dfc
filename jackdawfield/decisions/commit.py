"""Commit one change to the table and resolve answers that were lost."""

from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.configuration import change_id_key
from jackdawfield.decisions.configuration import commit_transaction
from jackdawfield.decisions.configuration import CommitError
from jackdawfield.decisions.configuration import CommitFault
from jackdawfield.decisions.configuration import committed_version
from jackdawfield.decisions.configuration import fence_transaction
from jackdawfield.decisions.configuration import HEAD_KEY
from jackdawfield.decisions.configuration import Proposal
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.model import Configuration
from jackdawfield.model import Version

MAX_ROUNDS = 6


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Reports the head, the row of the change id, and the configuration.

    The head is read before the row of the change id; `configuration` is the
    one up to that head.
    """

    head_row: Row | None
    change_id_row: Row | None
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Reports that the table could not be read."""


@dataclass(frozen=True, slots=True)
class TransactionEnded:
    """Reports the outcome of the transaction that was last requested."""

    outcome: TransactionOutcome


Event = RowsRead | ReadFailed | TransactionEnded


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Requests a read of the head and then of the change id's row."""

    head_key: str
    change_id_key: str


@dataclass(frozen=True, slots=True)
class Write:
    """Requests that a transaction be sent once, without retries."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class Finished:
    """Reports the committed version, or the reason why there is none."""

    result: Result[Version, CommitError]


Action = ReadRows | Write | Finished


class CommitAttempt:
    """Commits a proposal at most once, even if answers are lost.

    After a lost answer, a head at an unchanged revision does not prove that
    the commit failed, since it may be delayed. The head is then rewritten
    first, so that the delayed commit conflicts.
    """

    def __init__(
        self,
        proposal: Proposal,
        extra_conditions: tuple[Condition, ...] = (),
    ) -> None:
        """Hold the proposal and further conditions of its transaction."""
        self._proposal = proposal
        self._extra_conditions = extra_conditions
        self._uncertain_revision: int | None = None
        self._head_revision = 0
        self._is_fencing = False
        self._rounds_left = MAX_ROUNDS

    def start(self) -> Action:
        """Return the first read, since the change may be committed already."""
        return ReadRows(HEAD_KEY, change_id_key(self._proposal.change_id))

    def on(self, event: Event) -> Action:
        """Return the next step after an event."""
        match event:
            case RowsRead(head_row, change_id_row, configuration):
                return self._on_rows_read(
                    head_row, change_id_row, configuration
                )
            case ReadFailed():
                return self._give_up()
            case TransactionEnded(outcome):
                return self._on_transaction_ended(outcome)

    def _on_rows_read(
        self,
        head_row: Row | None,
        change_id_row: Row | None,
        configuration: Configuration,
    ) -> Action:
        if change_id_row is not None and change_id_row.revision:
            return Finished(committed_version(self._proposal, change_id_row))
        if self._rounds_left == 0:
            return self._give_up()
        self._rounds_left -= 1
        self._head_revision = head_row.revision if head_row else 0
        if self._head_revision == self._uncertain_revision:
            self._is_fencing = True
            return Write(fence_transaction(head_row))
        self._uncertain_revision = None
        return self._propose(head_row, configuration)

    def _propose(
        self, head_row: Row | None, configuration: Configuration
    ) -> Action:
        self._is_fencing = False
        transaction = commit_transaction(
            configuration, head_row, self._proposal, self._extra_conditions
        )
        match transaction:
            case Ok(value):
                return Write(value)
            case Err(error):
                return Finished(Err(error))

    def _on_transaction_ended(self, outcome: TransactionOutcome) -> Action:
        match outcome:
            case Committed() if not self._is_fencing:
                version = Version(self._proposal.seen_version + 1)
                return Finished(Ok(version))
            case OutcomeUnknown() if not self._is_fencing:
                self._uncertain_revision = self._head_revision
            case NotApplied():
                return self._give_up()
            case Committed() | Conflict() | OutcomeUnknown():
                pass
        return self.start()

    def _give_up(self) -> Action:
        fault = CommitFault.UNAVAILABLE
        if self._uncertain_revision is not None:
            fault = CommitFault.UNSETTLED
        return Finished(Err(CommitError(fault, self._proposal.seen_version)))
