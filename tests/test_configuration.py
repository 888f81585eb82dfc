from dataclasses import replace
from itertools import product
import unittest

import msgspec
from result import Err

from jackdawfield.decisions.changes import apply_change
from jackdawfield.decisions.changes import ChangeFault
from jackdawfield.decisions.changes import GiveKey
from jackdawfield.decisions.changes import PutOrganisation
from jackdawfield.decisions.changes import PutRoute
from jackdawfield.decisions.changes import PutTemplate
from jackdawfield.decisions.changes import RemoveOrganisation
from jackdawfield.decisions.changes import SetParameters
from jackdawfield.decisions.changes import WithdrawKey
from jackdawfield.decisions.commit import CommitAttempt
from jackdawfield.decisions.commit import Finished
from jackdawfield.decisions.commit import MAX_ROUNDS
from jackdawfield.decisions.commit import ReadRows
from jackdawfield.decisions.commit import RowsRead
from jackdawfield.decisions.commit import TransactionEnded
from jackdawfield.decisions.commit import Write
from jackdawfield.decisions.configuration import change_id_key
from jackdawfield.decisions.configuration import CommitFault
from jackdawfield.decisions.configuration import decode_head
from jackdawfield.decisions.configuration import decode_records
from jackdawfield.decisions.configuration import Head
from jackdawfield.decisions.configuration import HEAD_KEY
from jackdawfield.decisions.configuration import is_snapshot_due
from jackdawfield.decisions.configuration import Proposal
from jackdawfield.decisions.configuration import read_snapshot
from jackdawfield.decisions.configuration import snapshot_prefix
from jackdawfield.decisions.configuration import snapshot_transactions
from jackdawfield.decisions.follower import ChangesReceived
from jackdawfield.decisions.follower import Follower
from jackdawfield.decisions.follower import HeadReceived
from jackdawfield.decisions.follower import ReadPrefix
from jackdawfield.decisions.follower import ReadRow
from jackdawfield.decisions.follower import ReadSnapshot
from jackdawfield.decisions.follower import SnapshotIncomplete
from jackdawfield.decisions.follower import SnapshotReceived
from jackdawfield.decisions.follower import Unreadable
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Row
from jackdawfield.model import Configuration
from jackdawfield.model import Organisation
from jackdawfield.model import Route
from jackdawfield.model import RouteKind
from jackdawfield.model import Template
from jackdawfield.model import TemplateParameters

ORGANISATION = Organisation('a', 2.0, 5)
CHANGES = (
    PutOrganisation(ORGANISATION),
    PutTemplate(Template('quote', 1000, 5, 60.0)),
    PutRoute(Route('chat', RouteKind.CHAT, 'small')),
    SetParameters('a', 'quote', TemplateParameters(500, frozenset({'chat'}))),
    GiveKey('k1', 'a', '0' * 64),
    WithdrawKey('k1'),
)


class Table:
    """Holds rows and applies transactions with the faults in `faults`."""

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.faults = []
        self.delayed = []

    def read(self, key):
        return self.rows.get(key)

    def prefix(self, prefix):
        return tuple(
            row for key, row in self.rows.items() if key.startswith(prefix)
        )

    def transact(self, transaction):
        fault = self.faults.pop(0) if self.faults else 'none'
        if fault == 'refused':
            return NotApplied('down')
        if fault == 'late':
            self.delayed.append(transaction)
        if fault in ('late', 'dropped'):
            return OutcomeUnknown('timeout')
        outcome = self._apply(transaction)
        return OutcomeUnknown('timeout') if fault == 'lost' else outcome

    def apply_delayed(self):
        for transaction in self.delayed:
            self._apply(transaction)
        self.delayed = []

    def _apply(self, transaction):
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.revision if row else 0) != condition.revision:
                return Conflict()
        self.revision += 1
        for write in transaction.writes:
            row = Row(write.key, write.value, self.revision)
            self.rows[write.key] = row
        return Committed(self.revision)


def make_proposal(change, seen, change_id=None):
    change_id = change_id or f'id-{seen}'
    return Proposal(change_id, seen, 'op', '2026-01-01', change)


def run_commit(table, item, configuration, attempt_class=CommitAttempt):
    attempt = attempt_class(item)
    action = attempt.start()
    while True:
        match action:
            case ReadRows(head_key, id_key):
                action = attempt.on(
                    RowsRead(
                        table.read(head_key), table.read(id_key), configuration
                    )
                )
            case Write(transaction):
                outcome = table.transact(transaction)
                action = attempt.on(TransactionEnded(outcome))
            case Finished(result):
                return result


def filled_table(changes=CHANGES):
    table, configuration = Table(), Configuration()
    for change in changes:
        run_commit(
            table, make_proposal(change, configuration.version), configuration
        )
        configuration = apply_change(configuration, change).unwrap()
    return table, configuration


def follow(table, state, actions):
    reads = 0
    while actions:
        action, *actions = actions
        match action:
            case ReadRow(key):
                found = (table.read(key),)
            case ReadPrefix(prefix):
                found = table.prefix(prefix)
            case ReadSnapshot(prefix, head):
                reads += 1
                snapshot = read_snapshot(table.prefix(prefix), head)
                event = SnapshotIncomplete()
                if snapshot:
                    event = SnapshotReceived(snapshot)
                actions = [*actions, *state.on(event)]
                continue
            case _:
                continue
        reads += 1
        records = decode_records(found)
        state.on(ChangesReceived(records))
    return reads


def follow_head(table, state):
    head = decode_head(table.read(HEAD_KEY))
    return follow(table, state, state.on(HeadReceived(head)))


class ChangeTest(unittest.TestCase):
    def test_every_change_is_applied(self):
        _, configuration = filled_table()
        self.assertEqual(len(CHANGES), configuration.version)
        self.assertTrue(configuration.keys_by_id['k1'].withdrawn)
        organisation = configuration.organisations_by_id['a']
        limits = organisation.parameters_by_template['quote']
        self.assertEqual(500, limits.budget_tokens)

    def test_each_invalid_change_has_its_fault(self):
        _, configuration = filled_table()
        bad = replace(ORGANISATION, rate_per_s=float('nan'))
        for change, fault in (
            (PutOrganisation(bad), ChangeFault.BAD_LIMIT),
            (PutOrganisation(replace(bad, organisation_id='')), 'bad id'),
            (PutTemplate(Template('t', 0, 1, 1.0)), ChangeFault.BAD_LIMIT),
            (RemoveOrganisation('b'), ChangeFault.UNKNOWN_ORGANISATION),
            (WithdrawKey('k2'), ChangeFault.UNKNOWN_KEY),
            (GiveKey('k1', 'a', '0' * 64), ChangeFault.KEY_EXISTS),
            (GiveKey('k2', 'a', 'secret'), ChangeFault.BAD_DIGEST),
            (GiveKey('k2', 'b', '0' * 64), ChangeFault.UNKNOWN_ORGANISATION),
            (
                SetParameters(
                    'a', 'quote', TemplateParameters(1, frozenset({'x'}))
                ),
                ChangeFault.UNKNOWN_ROUTE,
            ),
        ):
            with self.subTest(change=change):
                found = apply_change(configuration, change).unwrap_err().fault
                self.assertEqual(ChangeFault(fault), found)

    def test_removal_of_an_organisation_revokes_its_keys(self):
        _, configuration = filled_table(CHANGES[:5])
        after = apply_change(configuration, RemoveOrganisation('a')).unwrap()
        self.assertTrue(after.keys_by_id['k1'].withdrawn)


class CommitTest(unittest.TestCase):
    def test_one_of_two_concurrent_changes_is_committed(self):
        table, configuration = filled_table()
        version = configuration.version
        first = make_proposal(CHANGES[0], version, 'first')
        second = make_proposal(CHANGES[1], version, 'second')
        self.assertEqual(
            version + 1, run_commit(table, first, configuration).unwrap()
        )
        error = run_commit(table, second, configuration).unwrap_err()
        self.assertIs(CommitFault.VERSION_CONFLICT, error.fault)
        self.assertEqual(version + 1, error.version)

    def test_id_of_another_change_is_refused(self):
        table, configuration = filled_table()
        duplicate = make_proposal(CHANGES[1], configuration.version, 'id-0')
        error = run_commit(table, duplicate, configuration).unwrap_err()
        self.assertIs(CommitFault.CHANGE_ID_TAKEN, error.fault)

    def find_wrong_results(self, attempt_class):
        wrong = []
        kinds = ('none', 'lost', 'dropped', 'late', 'refused')
        for faults in product(kinds, repeat=3):
            table, configuration = filled_table(CHANGES[:1])
            table.faults = list(faults)
            item = make_proposal(CHANGES[1], 1, 'mine')
            result = run_commit(table, item, configuration, attempt_class)
            table.apply_delayed()
            is_committed = table.read(change_id_key('mine')) is not None
            is_unsettled = (
                isinstance(result, Err)
                and result.err_value.fault is CommitFault.UNSETTLED
            )
            if not is_unsettled and result.is_ok() != is_committed:
                wrong.append(faults)
        return wrong

    def test_lost_and_delayed_writes_are_resolved(self):
        self.assertEqual([], self.find_wrong_results(CommitAttempt))

    def test_check_detects_a_missing_fence(self):
        class Unfenced(CommitAttempt):
            def _on_rows_read(self, head_row, change_id_row, configuration):
                if self._rounds_left < MAX_ROUNDS and not change_id_row:
                    self._uncertain_revision = None
                    return self._give_up()
                return super()._on_rows_read(
                    head_row, change_id_row, configuration
                )

        self.assertNotEqual([], self.find_wrong_results(Unfenced))


class FollowerTest(unittest.TestCase):
    def test_each_change_takes_one_read(self):
        table, configuration = filled_table(CHANGES[:5])
        state = Follower()
        follow_head(table, state)
        run_commit(table, make_proposal(CHANGES[5], 5), configuration)
        self.assertEqual(1, follow_head(table, state))
        self.assertTrue(state.configuration.keys_by_id['k1'].withdrawn)

    def test_starts_from_the_snapshot_and_the_changes_after_it(self):
        many = CHANGES[:3] * 100
        table, configuration = filled_table(many)
        head_row = table.read(HEAD_KEY)
        self.assertTrue(is_snapshot_due(decode_head(head_row)))
        for transaction in snapshot_transactions(configuration, head_row):
            table.transact(transaction)
        run_commit(table, make_proposal(CHANGES[0], 300), configuration)
        state = Follower()
        self.assertEqual(2, follow_head(table, state))
        self.assertEqual(301, state.configuration.version)

    def test_changes_are_read_if_the_snapshot_is_incomplete(self):
        table, configuration = filled_table(CHANGES)
        for transaction in snapshot_transactions(
            configuration, table.read(HEAD_KEY)
        ):
            table.transact(transaction)
        prefix = snapshot_prefix(configuration.version)
        del table.rows[f'{prefix}0000']
        state = Follower()
        follow_head(table, state)
        self.assertEqual(configuration, state.configuration)

    def test_version_never_decreases(self):
        table, configuration = filled_table()
        state = Follower()
        follow_head(table, state)
        stale = decode_records(table.prefix('configuration/change/'))[:2]
        for event in (
            HeadReceived(Head(version=1)),
            ChangesReceived(stale),
            SnapshotReceived(Configuration()),
        ):
            self.assertEqual((), state.on(event))
            self.assertEqual(configuration, state.configuration)

    def test_nothing_is_applied_across_a_gap(self):
        table, _ = filled_table()
        state = Follower()
        records = decode_records(table.prefix('configuration/change/'))
        actions = state.on(ChangesReceived(records[2:]))
        self.assertEqual(0, state.configuration.version)
        self.assertEqual((), actions)
        state.on(ChangesReceived(records[:2]))
        self.assertEqual(6, state.configuration.version)

    def test_version_stays_before_an_unreadable_change(self):
        table, _ = filled_table()
        records = decode_records(table.prefix('configuration/change/'))
        broken = replace(records[1], body=msgspec.Raw(b'{}'))
        state = Follower()
        actions = state.on(ChangesReceived((records[0], broken)))
        self.assertEqual((Unreadable(2),), actions)
        self.assertEqual(1, state.configuration.version)
