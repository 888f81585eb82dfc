"""Decides which instance owns an organisation's rate, and from when.

Owners follow from the table of members by rendezvous hashing. An owner acts
only while its view of the table is fresh, and a new owner only once every
older view has gone stale, unless the owner before is known to have stopped.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from jackdawfield.decisions.placement import owner
from jackdawfield.gateway.member_rows import all_settled
from jackdawfield.gateway.member_rows import MemberRow
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId

# A view of the members older than this gives no rights.
FRESH_S = 2.2
# Changes may reach a reader of the table this much later than readers of
# other tables, while the store forgets its history.
FEED_LAG_S = 1.2
TAKEOVER_WAIT_S = FRESH_S + FEED_LAG_S + 0.3


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
        # When this view's serving members last changed.
        self._changed_at_s: float | None = None
        # The own row was written over that of an incarnation that has ended,
        # while no right was moving, so that its rights are still free.
        self.inherited = False

    def saw(self, asked_at_s: float) -> None:
        """Note when a view that holds was asked for."""
        self._viewed_at_s = max(self._viewed_at_s, asked_at_s)

    def fresh(self, now_s: float) -> bool:
        """Return whether the view gives rights."""
        return now_s - self._viewed_at_s < FRESH_S

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
        return True

    def set_organisations(
        self, organisation_ids: Iterable[OrganisationId], now_s: float
    ) -> list[Lost]:
        """Follow the organisations of the configuration in force."""
        self._organisation_ids = frozenset(organisation_ids)
        return self._update(self._members_by_id, now_s)

    def set_members(
        self, members_by_id: Mapping[InstanceId, MemberRow], now_s: float
    ) -> list[Lost]:
        """Follow the table of members; return the rights that moved away."""
        if self._changed_at_s is None and not all_settled(
            members_by_id.values()
        ):
            self.inherited = False
        before = self._serving()
        lost = self._update(dict(members_by_id), now_s)
        if self._changed_at_s is None or before != self._serving():
            self._changed_at_s = now_s
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
                self._active_from_by_id[organisation_id] = self._active_from(
                    old, before, known, now_s
                )
            if new != self._own_id:
                held = self._active_from_by_id.pop(organisation_id, None)
                # Rights that had gone stale may be another's already.
                acted = held is not None and held <= now_s
                if acted and self.fresh(now_s) and new is not None:
                    lost.append(Lost(organisation_id, new))
        self._forget_removed()
        return lost

    def _active_from(
        self,
        old: InstanceId | None,
        before: dict[InstanceId, MemberRow],
        known: bool,
        now_s: float,
    ) -> float:
        if not known and self.inherited:
            return now_s
        if not known and self.settled(now_s):
            return now_s
        row = self._members_by_id.get(old) if old is not None else None
        if row is not None and row.proven_dead and old in before:
            return now_s if self.settled(now_s) else now_s + TAKEOVER_WAIT_S
        return now_s + TAKEOVER_WAIT_S

    def settled(self, now_s: float) -> bool:
        """Return whether this view has outlasted every older one."""
        changed_s = self._changed_at_s
        return changed_s is not None and now_s - changed_s > TAKEOVER_WAIT_S

    def _forget_removed(self) -> None:
        for organisation_id in list(self._owners_by_id):
            if organisation_id not in self._organisation_ids:
                del self._owners_by_id[organisation_id]
                self._active_from_by_id.pop(organisation_id, None)
