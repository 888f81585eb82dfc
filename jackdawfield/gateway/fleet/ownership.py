"""Decide which instance owns an organisation's rate, and from when.

An ownership is the right of one instance to grant the tokens of an
organisation's rate. Owners follow from the table of members by rendezvous
hashing. A view is the table as one instance last read it. An ownership is
active only while the owner's view is fresh: it was just read, or a majority
of the seats confirm it, whose holders serve in it and report no newer version.
A new ownership becomes active at once if each other holder has the same view
or has ended. Otherwise it becomes active once no majority can confirm an older
view, since a majority of the seats have the new one or were left in it, and
every older view has expired, unless the previous owner handed it over. Views
are the same if the members have the same roles in them.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.member_rows import no_takeover_pending
from jackdawfield.gateway.fleet.ownership_records import LostOwnership
from jackdawfield.gateway.fleet.ownership_records import MemberView
from jackdawfield.gateway.fleet.ownership_records import OtherOwners
from jackdawfield.gateway.fleet.ownership_records import roles_digest
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.messages.fleet_rates import RolesDigest
from jackdawfield.model import OrganisationId

# A view that was not confirmed for this long makes no ownership active. Only
# whole reads confirm it: a wait for changes may miss some for a second while
# the store discards its history.
VIEW_VALID_S = 1.5
CLOCK_MARGIN_S = 0.3
TAKEOVER_WAIT_S = VIEW_VALID_S + CLOCK_MARGIN_S


class Ownership:
    """Holds the owners of rates according to one instance's view."""

    def __init__(self, seat_count: int) -> None:
        # All seats, whether they are held or not.
        self._seat_count = seat_count
        # The seat of this instance in the latest view, None without one.
        self._own_id: SeatId | None = None
        self._members_by_id: dict[SeatId, MemberRow] = {}
        self._organisation_ids: tuple[OrganisationId, ...] = ()
        # When each ownership of this instance became or becomes active.
        self._active_from_s_by_organisation: dict[OrganisationId, float] = {}
        self._owners_by_organisation: dict[OrganisationId, SeatId | None] = {}
        self._view_read_at_s = float('-inf')
        self.version = 0
        # Members that have released their ownerships and will own none again.
        self._leaving_incarnations: set[str] = set()
        self._other_owners_by_organisation: dict[
            OrganisationId, OtherOwners
        ] = {}
        # The newest version at which a member's incarnation or state changed.
        self._role_change_version = 0
        # When each other member was last polled, and its view's version.
        self._view_reports_by_id: dict[SeatId, tuple[float, int]] = {}
        # Since when no majority can confirm an older view.
        self._majority_at_s: float | None = None
        # The members' roles in this view.
        self._roles = RolesDigest(b'')
        # Whether each other holder has the same view or has ended.
        self._is_unanimous = False
        # The earliest activation of each ownership that awaits a majority.
        self._pending_by_organisation: dict[OrganisationId, float] = {}
        # When the serving members of this view last changed.
        self._serving_changed_at_s: float | None = None
        # This instance replaced the row of its earlier incarnation, which has
        # ended, while no takeover was pending: no other instance has taken
        # over the ownerships of that incarnation.
        self.inherited = False
        # The whole fleet starts for the first time, without earlier owners.
        self.first_start = False

    def confirm_view(self, asked_at_s: float) -> None:
        """Record that a read sent at this time confirmed the view."""
        self._view_read_at_s = max(self._view_read_at_s, asked_at_s)

    def is_recently_read(self, now_s: float) -> bool:
        """Return whether a read of the table still confirms the view."""
        return now_s - self._view_read_at_s < VIEW_VALID_S

    def is_fresh(self, now_s: float) -> bool:
        """Return whether ownerships by this view may be active."""
        if self.is_recently_read(now_s):
            return True
        if not self._is_serving(self._own_id):
            return False
        confirming = sum(
            now_s - asked_at_s < VIEW_VALID_S
            and version <= self.version
            and self._is_serving(member_id)
            for member_id, (
                asked_at_s,
                version,
            ) in self._view_reports_by_id.items()
        )
        return self._is_majority(confirming + 1)

    def _is_serving(self, seat_id: SeatId | None) -> bool:
        row = self._members_by_id.get(seat_id) if seat_id else None
        return row is not None and row.is_serving

    @property
    def has_pending(self) -> bool:
        """Return whether ownerships await a majority for this view."""
        return bool(self._pending_by_organisation)

    def older_views_expired(self, now_s: float) -> bool:
        """Return whether every ownership by an older view has expired."""
        if self._pending_by_organisation:
            return False
        if any(
            at_s > now_s
            for at_s in self._active_from_s_by_organisation.values()
        ):
            return False
        return self._is_settled(now_s) and self.is_fresh(now_s)

    def _is_settled(self, now_s: float) -> bool:
        """Return whether no ownership by an older view can be active."""
        if self._is_unanimous:
            return True
        if self._majority_at_s is None:
            return False
        held_s = now_s - self._majority_at_s
        return held_s > VIEW_VALID_S + CLOCK_MARGIN_S and self.is_stable(now_s)

    def record_view_report(
        self,
        member_id: SeatId,
        incarnation: str,
        asked_at_s: float,
        version: int,
        now_s: float,
    ) -> None:
        """Record the version of a member's view when it was polled."""
        row = self._members_by_id.get(member_id)
        if row is None or row.left or row.incarnation != incarnation:
            return
        self._view_reports_by_id[member_id] = (asked_at_s, version)
        self._schedule_pending(now_s)

    def record_round(
        self, views_by_id: Mapping[SeatId, MemberView | None], now_s: float
    ) -> None:
        """Record the views that a round of polls has found.

        None stands for a holder that has ended. Holders that did not answer
        are left out.
        """
        for member_id, row in self._members_by_id.items():
            if member_id == self._own_id or row.left:
                continue
            if member_id not in views_by_id:
                return
            view = views_by_id[member_id]
            if view is not None and not self._is_same_view(view):
                return
        self._is_unanimous = True
        if self._majority_at_s is None:
            self._majority_at_s = now_s
        active = self._active_from_s_by_organisation
        for organisation_id in self._pending_by_organisation:
            active[organisation_id] = now_s
        self._pending_by_organisation.clear()
        for organisation_id, active_from_s in active.items():
            active[organisation_id] = min(active_from_s, now_s)

    def _is_same_view(self, view: MemberView) -> bool:
        # The roles may have been the same before, in a view without a change
        # that was undone since.
        is_recent = view.version >= self._role_change_version
        return is_recent and view.roles == self._roles

    @property
    def roles(self) -> RolesDigest:
        """Return a digest of the members' roles in this view."""
        return self._roles

    @property
    def awaits_expiry(self) -> bool:
        """Return whether older views may still be in use."""
        return not self._is_unanimous

    def _schedule_pending(self, now_s: float) -> None:
        """Schedule pending ownerships once the view has a majority."""
        has_majority = self._majority_at_s is not None
        if has_majority and not self._pending_by_organisation:
            return
        if self._own_id is None:
            return
        up_to_date = sum(
            reported_version >= self._role_change_version
            for _, reported_version in self._view_reports_by_id.values()
        )
        # A seat that was left or never held confirms no older view.
        held = sum(not row.left for row in self._members_by_id.values())
        if not self._is_majority(up_to_date + 1 + self._seat_count - held):
            return
        if self._majority_at_s is None:
            self._majority_at_s = now_s
        for (
            organisation_id,
            earliest_s,
        ) in self._pending_by_organisation.items():
            activation_s = max(
                earliest_s, now_s + VIEW_VALID_S + CLOCK_MARGIN_S
            )
            self._active_from_s_by_organisation[organisation_id] = activation_s
        self._pending_by_organisation.clear()

    def _is_majority(self, count: int) -> bool:
        return 2 * count > self._seat_count

    def owner_of(self, organisation_id: OrganisationId) -> SeatId | None:
        """Return the seat that owns an organisation's rate in this view."""
        if organisation_id not in self._owners_by_organisation:
            return choose_owner(str(organisation_id), self._serving_ids())
        return self._owners_by_organisation[organisation_id]

    def _serving_ids(self) -> list[SeatId]:
        return [
            instance_id
            for instance_id, row in self._members_by_id.items()
            if row.is_serving
            and row.incarnation not in self._leaving_incarnations
        ]

    def successors_of(self, key: OrganisationId) -> list[SeatId]:
        """Return who owns a key once this instance stops, the next first."""
        others = (i for i in self._serving_ids() if i != self._own_id)
        return sorted(others, key=lambda i: -rendezvous_score(str(key), i))

    def may_grant(self, organisation_id: OrganisationId, now_s: float) -> bool:
        """Return whether this instance may grant tokens now."""
        active_from_s = self._active_from_s_by_organisation.get(
            organisation_id
        )
        if active_from_s is None or now_s < active_from_s:
            return False
        return self.is_fresh(now_s)

    def is_sole_owner(self, key: OrganisationId, now_s: float) -> bool:
        """Return whether this instance alone owns a key, by every view.

        The key need not be that of a rate.
        """
        if self._own_id is None or self.owner_of(key) != self._own_id:
            return False
        return self._is_settled(now_s) and self.is_fresh(now_s)

    def active_since_s(self, organisation_id: OrganisationId) -> float:
        """Return when an ownership became or becomes active.

        Raise KeyError if that is not scheduled.
        """
        return self._active_from_s_by_organisation[organisation_id]

    def is_stale(
        self,
        organisation_id: OrganisationId,
        version: int,
        leaving_incarnation: str = '',
    ) -> bool:
        """Return whether another became the owner after a version.

        A leaving owner, if named, does not count: until its row says that it
        leaves, newer views than the one by which it handed over have it as
        the owner.
        """
        others = self._other_owners_by_organisation.get(organisation_id)
        return others is not None and version < others.newest_version(
            leaving_incarnation
        )

    def take_over(
        self,
        organisation_id: OrganisationId,
        version: int,
        now_s: float,
        leaving_incarnation: str = '',
    ) -> bool:
        """Activate an ownership that was handed over by a view's version.

        No older view has to expire, as the previous owner grants no more.
        Return False if another is the owner, or was one since the version.
        """
        if self.owner_of(organisation_id) != self._own_id:
            return False
        if self.is_stale(organisation_id, version, leaving_incarnation):
            return False
        self._active_from_s_by_organisation[organisation_id] = now_s
        self._pending_by_organisation.pop(organisation_id, None)
        return True

    def release_all(self, now_s: float) -> list[LostOwnership]:
        """End every active or scheduled ownership.

        Return those that were active and have a next owner.
        """
        others = [i for i in self._serving_ids() if i != self._own_id]
        own_row = self._members_by_id.get(self._own_id or SeatId(''))
        leaving = own_row.incarnation if own_row is not None else ''
        lost = []
        for organisation_id in list(self._active_from_s_by_organisation):
            was_active = self.may_grant(organisation_id, now_s)
            del self._active_from_s_by_organisation[organisation_id]
            successor = choose_owner(str(organisation_id), others)
            if was_active and successor is not None:
                lost.append(
                    LostOwnership(
                        organisation_id, successor, self.version, leaving
                    )
                )
        return lost

    def released_incarnations(self) -> tuple[str, ...]:
        """Return the members known to have released their ownerships."""
        return tuple(sorted(self._leaving_incarnations))

    def mark_leaving(
        self, incarnation: str, now_s: float
    ) -> list[LostOwnership]:
        """Record that a member has released its ownerships and stops.

        Its successors are the owners from now on, before its row says so.
        Return the ownerships that were lost.
        """
        rows = self._members_by_id.values()
        if incarnation in self._leaving_incarnations or not any(
            row.incarnation == incarnation for row in rows
        ):
            return []
        self._leaving_incarnations.add(incarnation)
        self._serving_changed_at_s = now_s
        return self._recompute_owners(self._members_by_id, self._own_id, now_s)

    def set_organisations(
        self, organisation_ids: Iterable[OrganisationId], now_s: float
    ) -> list[LostOwnership]:
        """Replace the organisations; return the ownerships that were lost."""
        self._organisation_ids = tuple(organisation_ids)
        return self._recompute_owners(self._members_by_id, self._own_id, now_s)

    def set_members(
        self,
        members_by_id: Mapping[SeatId, MemberRow],
        own_id: SeatId | None,
        version: int,
        now_s: float,
    ) -> list[LostOwnership]:
        """Replace the members and the own seat; return lost ownerships."""
        if self._serving_changed_at_s is None and not no_takeover_pending(
            members_by_id.values()
        ):
            self.inherited = False
        previous_serving = self._serving_ids()
        previous_members = self._members_by_id
        roles = roles_digest(members_by_id)
        # Other changes of rows, such as `established`, move no ownership.
        if roles != self._roles:
            self._roles = roles
            self._role_change_version = version
            self._majority_at_s = None
            self._is_unanimous = False
            if not self.is_fresh(now_s):
                # Others may have been owners in views that were not read.
                self._active_from_s_by_organisation.clear()
                self._owners_by_organisation = dict.fromkeys(
                    self._owners_by_organisation
                )
        self.version = max(self.version, version)
        self._leaving_incarnations &= {
            row.incarnation for row in members_by_id.values()
        }
        # Lost ownerships are handed over if the previous view was fresh.
        lost = self._recompute_owners(dict(members_by_id), own_id, now_s)
        self._drop_reports_of_others(previous_members)
        if (
            self._serving_changed_at_s is None
            or previous_serving != self._serving_ids()
        ):
            self._serving_changed_at_s = now_s
        self._schedule_pending(now_s)
        return lost

    def _drop_reports_of_others(
        self, previous_members: Mapping[SeatId, MemberRow]
    ) -> None:
        """Drop the reports of those who hold their seats no more."""
        for member_id in list(self._view_reports_by_id):
            row = self._members_by_id.get(member_id)
            previous = previous_members.get(member_id)
            if (
                row is None
                or row.left
                or previous is None
                or row.incarnation != previous.incarnation
            ):
                del self._view_reports_by_id[member_id]

    def _recompute_owners(
        self,
        members_by_id: dict[SeatId, MemberRow],
        own_id: SeatId | None,
        now_s: float,
    ) -> list[LostOwnership]:
        previous_own = self._own_id
        self._members_by_id = members_by_id
        self._own_id = own_id
        serving = self._serving_ids()
        has_view = self._serving_changed_at_s is not None
        lost = []
        for organisation_id in self._organisation_ids:
            is_known = has_view and (
                organisation_id in self._owners_by_organisation
            )
            previous_owner = self._owners_by_organisation.get(organisation_id)
            next_owner = choose_owner(str(organisation_id), serving)
            self._owners_by_organisation[organisation_id] = next_owner
            was_own = previous_owner is not None and (
                previous_owner == previous_own
            )
            is_own = next_owner is not None and next_owner == own_id
            if is_own and was_own and own_id == previous_own:
                continue
            if was_own or not is_own:
                lost += self._lose(organisation_id, next_owner, now_s)
            if not is_own:
                self._record_other_owner(organisation_id, next_owner)
                continue
            # One that had no owner before, as far as this instance knows.
            if not is_known and (self.inherited or self._is_settled(now_s)):
                self._active_from_s_by_organisation[organisation_id] = now_s
            else:
                self._defer_activation(organisation_id, now_s)
        self._drop_removed_organisations()
        return lost

    def _record_other_owner(
        self, organisation_id: OrganisationId, owner: SeatId | None
    ) -> None:
        row = self._members_by_id[owner] if owner is not None else None
        others = self._other_owners_by_organisation.setdefault(
            organisation_id, OtherOwners()
        )
        others.record(row.incarnation if row else '', self.version)

    def _lose(
        self,
        organisation_id: OrganisationId,
        next_owner: SeatId | None,
        now_s: float,
    ) -> list[LostOwnership]:
        """End an ownership; return it if it has to be handed over."""
        self._pending_by_organisation.pop(organisation_id, None)
        began_at_s = self._active_from_s_by_organisation.pop(
            organisation_id, None
        )
        # With a stale view, another instance may be the owner already.
        had_begun = began_at_s is not None and began_at_s <= now_s
        if not had_begun or not self.is_fresh(now_s):
            return []
        if next_owner is None or next_owner == self._own_id:
            return []
        return [LostOwnership(organisation_id, next_owner, self.version)]

    def _defer_activation(
        self, organisation_id: OrganisationId, now_s: float
    ) -> None:
        """Schedule an ownership for when every older view has expired.

        Except at the first start of the fleet, it also awaits a majority.
        """
        activates_at_s = now_s + TAKEOVER_WAIT_S
        if self.first_start:
            self._active_from_s_by_organisation[organisation_id] = (
                activates_at_s
            )
        else:
            self._pending_by_organisation[organisation_id] = activates_at_s

    def is_stable(self, now_s: float) -> bool:
        """Return whether every view with other serving members has expired."""
        changed_s = self._serving_changed_at_s
        return changed_s is not None and now_s - changed_s > TAKEOVER_WAIT_S

    def _drop_removed_organisations(self) -> None:
        for organisation_id in list(self._owners_by_organisation):
            if organisation_id not in self._organisation_ids:
                del self._owners_by_organisation[organisation_id]
                self._active_from_s_by_organisation.pop(organisation_id, None)
                self._pending_by_organisation.pop(organisation_id, None)
                self._other_owners_by_organisation.pop(organisation_id, None)
