"""Decides which instance owns an organisation's rate, and from when.

Owners follow from the table of members by rendezvous hashing. An owner acts
only while its view of the table is fresh: it was just read, or a majority of
the members know of no newer one. A new owner acts only once a majority know
its view and every older one has gone stale, unless the owner before is known
to have stopped.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.decisions.placement import owner
from jackdawfield.gateway.member_rows import MemberRow
from jackdawfield.gateway.member_rows import none_suspended
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId

# A view of the members older than this gives no rights.
FRESH_S = 2.2
# Changes may reach a reader of the table this much later than readers of
# other tables, while the store forgets its history.
FEED_LAG_S = 1.2
CLOCK_MARGIN_S = 0.3
TAKEOVER_WAIT_S = FRESH_S + FEED_LAG_S + CLOCK_MARGIN_S


@dataclass(frozen=True, slots=True)
class Lost:
    """Says that an organisation's rate now belongs to another instance."""

    organisation_id: OrganisationId
    new_owner: InstanceId


class Ownership:
    """Tracks the owners of rates by one instance's view of the members."""

    def __init__(self, own_id: InstanceId) -> None:
        self._own_id = own_id
        self._members_by_id: dict[InstanceId, MemberRow] = {}
        self._organisation_ids: frozenset[OrganisationId] = frozenset()
        self._active_from_by_id: dict[OrganisationId, float] = {}
        self._owners_by_id: dict[OrganisationId, InstanceId | None] = {}
        self._viewed_at_s = float('-inf')
        self.version = 0
        # The newest version by which a member's role changed.
        self._moved_version = 0
        # When each member was last asked, and how new its view was.
        self._attested_by_id: dict[InstanceId, tuple[float, int]] = {}
        # Since when a majority know this view.
        self._known_at_s: float | None = None
        # Rights that wait for a majority, with the earliest time to act.
        self._waits_by_id: dict[OrganisationId, float] = {}
        # When this view's serving members last changed.
        self._changed_at_s: float | None = None
        # The own row was written over that of an incarnation that has ended,
        # while no right was moving, so that its rights are still free.
        self.inherited = False
        # The whole fleet starts for the first time: there are no older owners.
        self.first_start = False

    def saw(self, asked_at_s: float) -> None:
        """Note when a view that holds was asked for."""
        self._viewed_at_s = max(self._viewed_at_s, asked_at_s)

    def just_read(self, now_s: float) -> bool:
        """Return whether the table itself was read a moment ago."""
        return now_s - self._viewed_at_s < FRESH_S

    def fresh(self, now_s: float) -> bool:
        """Return whether the view gives rights."""
        if self.just_read(now_s):
            return True
        own = self._members_by_id.get(self._own_id)
        if own is None or not own.serving:
            return False
        agreeing = sum(
            now_s - asked_at_s < FRESH_S and version <= self.version
            for asked_at_s, version in self._attested_by_id.values()
        )
        return self._is_majority(agreeing + 1)

    @property
    def needs_attestations(self) -> bool:
        """Return whether rights wait for a majority to know this view."""
        return bool(self._waits_by_id)

    @property
    def known(self) -> bool:
        """Return whether a majority know this view."""
        return self._known_at_s is not None

    def outlasted(self, now_s: float) -> bool:
        """Return whether no right of any older view can still be used."""
        if self._waits_by_id or self._known_at_s is None:
            return False
        if now_s - self._known_at_s <= FRESH_S + CLOCK_MARGIN_S:
            return False
        if any(at_s > now_s for at_s in self._active_from_by_id.values()):
            return False
        return self.settled(now_s) and self.fresh(now_s)

    def attested(
        self,
        member_id: InstanceId,
        asked_at_s: float,
        version: int,
        now_s: float,
    ) -> None:
        """Note how new a member's view was when it was asked."""
        row = self._members_by_id.get(member_id)
        if row is None or row.left:
            return
        self._attested_by_id[member_id] = (asked_at_s, version)
        self._end_waits(now_s)

    def _end_waits(self, now_s: float) -> None:
        """Set when to act, once a majority know this view."""
        if self.known and not self._waits_by_id:
            return
        knowing = sum(
            known >= self._moved_version
            for _, known in self._attested_by_id.values()
        )
        if not self._is_majority(knowing + 1):
            return
        if self._known_at_s is None:
            self._known_at_s = now_s
        for organisation_id, at_s in self._waits_by_id.items():
            late_s = max(at_s, now_s + FRESH_S + CLOCK_MARGIN_S)
            self._active_from_by_id[organisation_id] = late_s
        self._waits_by_id.clear()

    def _is_majority(self, count: int) -> bool:
        members = sum(not row.left for row in self._members_by_id.values())
        return 2 * count > members

    def owner_of(self, organisation_id: OrganisationId) -> InstanceId | None:
        """Return the owner of an organisation's rate in this view."""
        if organisation_id not in self._owners_by_id:
            return owner(str(organisation_id), self._serving())
        return self._owners_by_id[organisation_id]

    def _serving(self) -> list[InstanceId]:
        return [
            instance_id
            for instance_id, row in self._members_by_id.items()
            if row.serving
        ]

    def _roles_by_id(self) -> dict[InstanceId, tuple[str, bool, bool]]:
        return {
            instance_id: (row.incarnation, row.serving, row.left)
            for instance_id, row in self._members_by_id.items()
        }

    def may_grant(self, organisation_id: OrganisationId, now_s: float) -> bool:
        """Return whether this instance may grant tokens now."""
        active_from_s = self._active_from_by_id.get(organisation_id)
        if active_from_s is None or now_s < active_from_s:
            return False
        return self.fresh(now_s)

    def active_since_s(self, organisation_id: OrganisationId) -> float:
        """Return since when this instance may grant; raise KeyError if not."""
        return self._active_from_by_id[organisation_id]

    def take_over(self, organisation_id: OrganisationId, now_s: float) -> bool:
        """Act at once after a hand-over; False if this is not the owner."""
        if self.owner_of(organisation_id) != self._own_id:
            return False
        self._active_from_by_id[organisation_id] = now_s
        self._waits_by_id.pop(organisation_id, None)
        return True

    def give_up(self, now_s: float) -> list[Lost]:
        """End every right that is in force, and return the next owners."""
        others = [i for i in self._serving() if i != self._own_id]
        lost = []
        for organisation_id in list(self._active_from_by_id):
            acted = self.may_grant(organisation_id, now_s)
            del self._active_from_by_id[organisation_id]
            new = owner(str(organisation_id), others)
            if acted and new is not None:
                lost.append(Lost(organisation_id, new))
        return lost

    def set_organisations(
        self, organisation_ids: Iterable[OrganisationId], now_s: float
    ) -> list[Lost]:
        """Follow the organisations of the configuration in force."""
        self._organisation_ids = frozenset(organisation_ids)
        return self._update(self._members_by_id, now_s)

    def set_members(
        self,
        members_by_id: Mapping[InstanceId, MemberRow],
        version: int,
        now_s: float,
    ) -> list[Lost]:
        """Follow the table of members; return the rights that moved away."""
        if self._changed_at_s is None and not none_suspended(
            members_by_id.values()
        ):
            self.inherited = False
        # Rights that are lost are handed over if the old view was fresh.
        before = self._serving()
        roles = self._roles_by_id()
        lost = self._update(dict(members_by_id), now_s)
        self.version = max(self.version, version)
        # A row that only tells that rights have settled moves none of them.
        if roles != self._roles_by_id():
            self._moved_version = version
            self._known_at_s = None
        for member_id in list(self._attested_by_id):
            row = members_by_id.get(member_id)
            if row is None or row.left:
                del self._attested_by_id[member_id]
        if self._changed_at_s is None or before != self._serving():
            self._changed_at_s = now_s
        self._end_waits(now_s)
        return lost

    def _update(
        self, members_by_id: dict[InstanceId, MemberRow], now_s: float
    ) -> list[Lost]:
        before = self._members_by_id
        self._members_by_id = members_by_id
        serving = self._serving()
        lost = []
        for organisation_id in self._organisation_ids:
            old = self._owners_by_id.get(organisation_id)
            known = old is not None
            new = owner(str(organisation_id), serving)
            self._owners_by_id[organisation_id] = new
            if new == self._own_id and (not known or old != new):
                if self._may_act_at_once(old, before, known, now_s):
                    self._active_from_by_id[organisation_id] = now_s
                else:
                    self._wait(organisation_id, now_s)
            if new != self._own_id:
                self._waits_by_id.pop(organisation_id, None)
                held = self._active_from_by_id.pop(organisation_id, None)
                # Rights that had gone stale may be another's already.
                acted = held is not None and held <= now_s
                if acted and self.fresh(now_s) and new is not None:
                    lost.append(Lost(organisation_id, new))
        self._forget_removed()
        return lost

    def _wait(self, organisation_id: OrganisationId, now_s: float) -> None:
        """Let a right begin once every older view has gone stale."""
        at_s = now_s + TAKEOVER_WAIT_S
        if self.first_start:
            self._active_from_by_id[organisation_id] = at_s
        else:
            self._waits_by_id[organisation_id] = at_s

    def _may_act_at_once(
        self,
        old: InstanceId | None,
        before: dict[InstanceId, MemberRow],
        known: bool,
        now_s: float,
    ) -> bool:
        if not known and (self.inherited or self.settled(now_s)):
            return True
        row = self._members_by_id.get(old) if old is not None else None
        if row is None or not row.proven_dead or old not in before:
            return False
        return self.settled(now_s)

    def settled(self, now_s: float) -> bool:
        """Return whether this view has outlasted every older one."""
        changed_s = self._changed_at_s
        return changed_s is not None and now_s - changed_s > TAKEOVER_WAIT_S

    def _forget_removed(self) -> None:
        for organisation_id in list(self._owners_by_id):
            if organisation_id not in self._organisation_ids:
                del self._owners_by_id[organisation_id]
                self._active_from_by_id.pop(organisation_id, None)
                self._waits_by_id.pop(organisation_id, None)
