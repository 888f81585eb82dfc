"""Change the roster and merge it with the platform's list and the peers."""

from collections.abc import Mapping
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import replace

import msgspec

from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.renewal import relay_candidates
from jackdawfield.decisions.roster import assign_groups
from jackdawfield.decisions.roster import Roster
from jackdawfield.decisions.roster import RosterEntry
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Delete
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import Write
from jackdawfield.model import BackendServer
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import Member
from jackdawfield.model import ServerId
from jackdawfield.model import ServerState

ROSTER_PREFIX = 'roster/'
ROSTER_REVISION_KEY = 'roster/revision'
ROSTER_HEAD_KEY = 'head/roster'
MEMBER_PREFIX = 'roster/member/'
EVICT_AFTER_LEASES = 2


def member_key(incarnation: Incarnation) -> str:
    """Return the key of an incarnation's row."""
    return f'{MEMBER_PREFIX}{incarnation}'


def read_roster(rows: tuple[Row, ...]) -> Roster:
    """Return the roster from one read of all rows with its prefix.

    A row without `joined_revision` takes its own revision as the joining
    order.
    """
    revision = 0
    entries = []
    for row in rows:
        if row.key == ROSTER_REVISION_KEY:
            revision = row.revision
            continue
        entry = msgspec.json.decode(row.value, type=RosterEntry)
        joined_revision = entry.joined_revision or row.revision
        entries.append(replace(entry, joined_revision=joined_revision))
    return Roster(revision, assign_groups(entries))


def join_transaction(entry: RosterEntry, roster: Roster) -> Transaction:
    """Return the transaction by which an incarnation enters the roster.

    It also removes earlier incarnations at the same address: since the new
    one listens there, they have ended.
    """
    removals = tuple(
        Delete(member_key(other.incarnation))
        for other in roster.entries
        if other.peer_address == entry.peer_address
        and other.incarnation != entry.incarnation
    )
    row = Put(member_key(entry.incarnation), msgspec.json.encode(entry))
    return Transaction(
        (), (row, *removals, *_revision_writes(entry.incarnation))
    )


def leave_transaction(incarnation: Incarnation) -> Transaction:
    """Return the transaction by which an incarnation leaves the roster.

    It must have stopped all work under organisation keys for good.
    """
    return Transaction(
        (), (Delete(member_key(incarnation)), *_revision_writes(incarnation))
    )


def evict_transaction(
    entry: RosterEntry, row: Row, own_row: Row
) -> Transaction:
    """Return the transaction that marks another incarnation as evicted.

    It conflicts if that row or the own one has changed, so that an instance
    that has itself been evicted or removed evicts no other.
    """
    value = msgspec.json.encode(replace(entry, evicted=True))
    return Transaction(
        (
            Condition(row.key, row.revision),
            Condition(own_row.key, own_row.revision),
        ),
        (Put(row.key, value), *_revision_writes(entry.incarnation)),
    )


def remove_transaction(row: Row, own_row: Row) -> Transaction:
    """Return the transaction that removes an incarnation that cannot act.

    It conflicts if that row or the own one has changed.
    """
    incarnation = Incarnation(row.key.removeprefix(MEMBER_PREFIX))
    return Transaction(
        (
            Condition(row.key, row.revision),
            Condition(own_row.key, own_row.revision),
        ),
        (Delete(row.key), *_revision_writes(incarnation)),
    )


def _revision_writes(incarnation: Incarnation) -> tuple[Write, ...]:
    value = incarnation.encode()
    return (Put(ROSTER_REVISION_KEY, value), Put(ROSTER_HEAD_KEY, value))


@dataclass(frozen=True, slots=True)
class Evict:
    """Requests the eviction of an incarnation without recent contact."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Remove:
    """Requests the removal of an incarnation that can no longer act."""

    incarnation: Incarnation


Action = Evict | Remove


@dataclass(frozen=True, slots=True)
class ContactRecord:
    """Holds the times of an incarnation's last contact and eviction."""

    incarnation: Incarnation
    last_contact_at_s: float
    evicted_at_s: float | None = None


class FailureDetector:
    """Holds the last contacts of members, to evict those without contact."""

    def __init__(self, lease_s: float) -> None:
        """Hold the lease's length in seconds."""
        self._lease_s = lease_s
        self._records_by_incarnation: dict[Incarnation, ContactRecord] = {}
        self._checked_at_s = float('-inf')
        self._is_relay = False

    def on_roster(self, roster: Roster, now_s: float) -> None:
        """Track new entries from now and drop those that left."""
        listed: dict[Incarnation, ContactRecord] = {}
        for entry in roster.entries:
            name = entry.incarnation
            record = self._records_by_incarnation.get(name) or ContactRecord(
                name, now_s
            )
            if entry.evicted and record.evicted_at_s is None:
                record = replace(record, evicted_at_s=now_s)
            listed[name] = record
        self._records_by_incarnation = listed

    def record_contact(self, incarnation: Incarnation, now_s: float) -> None:
        """Record contact with an incarnation that has asked or answered."""
        record = self._records_by_incarnation.get(incarnation)
        if record is not None:
            after = replace(record, last_contact_at_s=now_s)
            self._records_by_incarnation[incarnation] = after

    def decide_changes(
        self, lease: Lease, established: bool, now_s: float
    ) -> tuple[Action, ...]:
        """Return the changes that this instance makes to its group's entries.

        The relay has contact with every member of its group, so it watches
        all of them; the next in order watches the relay. Time without
        contact counts only while this instance runs without a pause and in
        the same role. Only an established member, as defined in acceptance,
        makes changes.
        """
        own = lease.roster.entry(lease.incarnation)
        if own is None or own.evicted:
            return ()
        members = relay_candidates(lease, own.group_id)
        self._reset_after_gap(
            lease.incarnation == members[0].incarnation, now_s
        )
        if not established or not lease.is_valid(now_s):
            return ()
        if self._is_relay:
            watched = lease.roster.entries
        elif len(members) > 1 and members[1].incarnation == lease.incarnation:
            watched = members[:1]
        else:
            return ()
        actions = (
            self._decide_action(entry, lease, now_s)
            for entry in watched
            if entry.incarnation != lease.incarnation
            and entry.group_id == own.group_id
        )
        return tuple(action for action in actions if action is not None)

    def _reset_after_gap(self, is_relay: bool, now_s: float) -> None:
        is_after_gap = now_s - self._checked_at_s >= self._lease_s
        if is_after_gap or is_relay != self._is_relay:
            self._records_by_incarnation = {
                name: replace(record, last_contact_at_s=now_s)
                for name, record in self._records_by_incarnation.items()
            }
        self._checked_at_s = now_s
        self._is_relay = is_relay

    def _decide_action(
        self, entry: RosterEntry, lease: Lease, now_s: float
    ) -> Action | None:
        record = self._records_by_incarnation.get(entry.incarnation)
        if record is None:
            return None
        if entry.incarnation in lease.dead:
            return Remove(entry.incarnation)
        if entry.evicted and record.evicted_at_s is not None:
            waited_s = now_s - record.evicted_at_s
            is_lease_over = waited_s >= self._lease_s
            return Remove(entry.incarnation) if is_lease_over else None
        silent_s = now_s - record.last_contact_at_s
        if silent_s >= EVICT_AFTER_LEASES * self._lease_s:
            return Evict(entry.incarnation)
        return None


def merge_members(
    lease: Lease,
    listed_by_id: Mapping[InstanceId, Member],
    unlisted: Set[InstanceId] = frozenset(),
) -> Mapping[InstanceId, Member]:
    """Return the instances that may get work; the roster takes precedence.

    The platform's list lags behind the roster: an instance that it does not
    list yet may get work, one that it no longer lists may not. The list is
    used alone until a roster has been read.
    """
    if not lease.roster.entries:
        return dict(listed_by_id)
    members = {}
    for entry in lease.roster.entries:
        if entry.evicted or entry.incarnation in lease.dead:
            continue
        if entry.instance_id in unlisted:
            continue
        listed = listed_by_id.get(entry.instance_id)
        members[entry.instance_id] = Member(
            entry.instance_id,
            entry.incarnation,
            entry.domain_id,
            entry.region_id,
            entry.peer_address,
            listed is not None and listed.leaving,
        )
    return members


def merge_servers(
    previous_by_id: Mapping[ServerId, BackendServer],
    listed: tuple[BackendServer, ...],
    drained: frozenset[ServerId] = frozenset(),
) -> Mapping[ServerId, BackendServer]:
    """Return the servers of a new list, with those to drain as leaving.

    A server that is gone from the list, is leaving in it or is drained by an
    operator gets no new work. A leaving server stays leaving even if a later
    list is out of date; one with a new address is a new server.
    """
    servers = {}
    for server in listed:
        previous = previous_by_id.get(server.server_id)
        has_left = (
            previous is not None
            and previous.state is ServerState.DRAINING
            and previous.address == server.address
        )
        if has_left or server.server_id in drained:
            server = replace(server, state=ServerState.DRAINING)
        servers[server.server_id] = server
    return servers
