"""Choose the sources of a lease renewal and their order.

The instances of a group renew through its relay, the live member that has
been listed longest. Normally only the relay reads the table, so that the load
on the table does not grow with the members of a group.
"""

from dataclasses import dataclass

from jackdawfield.decisions.lease import Lease
from jackdawfield.decisions.roster import GroupId
from jackdawfield.decisions.roster import RosterEntry

RENEWALS_PER_LEASE = 4
MAX_RELAYS_ASKED = 2
MAX_CONFIRMERS_ASKED = 3
STALE_READ_LEASES = 0.6
STALE_RELAY_READ_LEASES = 0.3
FRESH_CONTACT_LEASES = 0.65
MAX_MISSING_ASKED = 16


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Requests a renewal by a read of the heads in the table."""


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Requests a peer's report, with its attestations if `contact` is set."""

    entry: RosterEntry
    contact: bool = False


Source = ReadTable | AskPeer


@dataclass(frozen=True, slots=True)
class RenewalPlan:
    """Lists the sources to try in order until the lease is fresh.

    `fallback` is used when no peer in `order` answered. The peers in
    `contact_asks` are asked when the lease is still not fresh.
    """

    order: tuple[Source, ...]
    contact_asks: tuple[AskPeer, ...]
    fallback: ReadTable | None = None


def renewal_interval_s(lease: Lease, now_s: float) -> float:
    """Return the time until the next renewal, in seconds.

    A relay without a fresh read of the table renews twice as often, because
    three ages add up: those of its members' attestations, of its exchange
    with the other relays and of its members' questions.
    """
    interval_s = lease.settings.lease_s / RENEWALS_PER_LEASE
    if is_relay(lease) and is_read_stale(lease, now_s):
        return interval_s / 2
    return interval_s


def is_read_stale(lease: Lease, now_s: float) -> bool:
    """Return whether the last read of the table is too old to renew by."""
    stale_leases = STALE_READ_LEASES
    if is_relay(lease):
        stale_leases = STALE_RELAY_READ_LEASES
    return (
        now_s - lease.newest_read_at_s >= stale_leases * lease.settings.lease_s
    )


def requires_echo(lease: Lease, ask: AskPeer) -> bool:
    """Return whether to ask a peer again at once, to echo its answer.

    By the echo the peer dates the attestation of this instance by its own
    clock. Relays need no echo, because each relay asks all others.
    """
    return ask.contact and not is_relay(lease)


def relay_candidates(
    lease: Lease, group_id: GroupId
) -> tuple[RosterEntry, ...]:
    """Return the live members of a group in the order in which they relay.

    The member listed longest is first, so that a newcomer never displaces a
    relay.
    """
    return tuple(
        entry
        for entry in lease.roster.entries
        if entry.group_id == group_id
        and not entry.evicted
        and entry.incarnation not in lease.dead
    )


def group_relays(lease: Lease) -> tuple[RosterEntry, ...]:
    """Return the relay of each group."""
    relay_by_group: dict[GroupId, RosterEntry] = {}
    for entry in lease.roster.entries:
        if not entry.evicted and entry.incarnation not in lease.dead:
            relay_by_group.setdefault(entry.group_id, entry)
    return tuple(relay_by_group.values())


def is_relay(lease: Lease) -> bool:
    """Return whether this instance reads the table for its group."""
    return any(e.incarnation == lease.incarnation for e in group_relays(lease))


def plan_renewal(lease: Lease, now_s: float) -> RenewalPlan:
    """Return the sources of the next renewal.

    The relay of a group reads the table, and the other members ask the
    relay. The next in order reads too when the relay's read is stale, so
    that at most two members of a group load a slow table. While the table is
    unreachable, the relays exchange the attestations of their groups and
    include them in their answers to members.
    """
    own = lease.roster.entry(lease.incarnation)
    if own is None:
        return RenewalPlan((ReadTable(),), ())
    members = relay_candidates(lease, own.group_id)
    if members and members[0].incarnation == lease.incarnation:
        others = (
            e
            for e in group_relays(lease)
            if e.incarnation != lease.incarnation
        )
        gather = tuple(AskPeer(entry, contact=True) for entry in others)
        return RenewalPlan((ReadTable(),), gather)
    contact = is_read_stale(lease, now_s)
    asks = tuple(
        AskPeer(entry, contact)
        for entry in members[:MAX_RELAYS_ASKED]
        if entry.incarnation != lease.incarnation
    )
    repeats = () if contact else tuple(AskPeer(a.entry, True) for a in asks)
    if members[1:2] and members[1].incarnation == lease.incarnation:
        return RenewalPlan((*asks, ReadTable()), repeats)
    return RenewalPlan(asks, repeats, ReadTable())


def asks_for_confirmation(lease: Lease) -> tuple[AskPeer, ...]:
    """Return the members that a newcomer asks to confirm it as established.

    They are the longest listed among those that joined before it.
    """
    own = lease.roster.entry(lease.incarnation)
    if own is None:
        return ()
    earlier = tuple(
        entry
        for entry in lease.roster.entries
        if entry.joined_revision < own.joined_revision
        and not entry.evicted
        and entry.incarnation not in lease.dead
    )
    return tuple(AskPeer(entry) for entry in earlier[:MAX_CONFIRMERS_ASKED])


def asks_of_unattested_peers(
    lease: Lease, now_s: float
) -> tuple[AskPeer, ...]:
    """Return the peers to ask directly because no relay attests them."""
    missing = lease.unattested_peers(now_s)[:MAX_MISSING_ASKED]
    return tuple(AskPeer(entry, contact=True) for entry in missing)


def is_fresh(lease: Lease, now_s: float) -> bool:
    """Return whether the lease is fresh enough to stop asking."""
    if not is_read_stale(lease, now_s):
        return True
    if is_relay(lease):
        return False
    fresh_s = FRESH_CONTACT_LEASES * lease.settings.lease_s
    return now_s - lease.contact_at_s < fresh_s
